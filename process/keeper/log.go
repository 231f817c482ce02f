// Package keeper holds the durable jobs of one entry: it accepts them by writing
// them to a log that all entries share, records how far they have come, and
// takes over the jobs of entries that are gone. Package ledger decides whose a
// job is; package dispatch runs its tasks.
package keeper

import (
	"context"
	"time"

	"github.com/azurerouter/azurerouter/process/ledger"
)

// Times of an owner. An owner orders nothing once OwnerTTL has passed since it
// sent the last append that succeeded. Others take its jobs after silentAfter
// without a record of it, which is longer, and start nothing of them before the
// runs of a silent owner have ended for certain.
const (
	ownerTTL      = 2 * time.Second
	silentAfter   = 4 * time.Second
	aliveInterval = 700 * time.Millisecond
	// secondAfter is how much later another entry than the first by name takes
	// over, so that they seldom race.
	secondAfter = 1500 * time.Millisecond
)

// Append adds records to the log, all or none of them.
type Append struct {
	// Writer, Epoch and Sequence let the log refuse what a deposed owner sends
	// and answer a repeat as it answered the first time. Without a writer the
	// append is not numbered.
	Writer   string
	Epoch    uint64
	Sequence uint64
	// At is where the log has to end, unless it is nil.
	At      *uint64
	Records []ledger.Record
}

// Verdict is how the log answered an append.
type Verdict string

// Values of Verdict.
const (
	// Done: the records are in the log.
	Done Verdict = "done"
	// NotDone: refused, nothing was done.
	NotDone Verdict = "not_done"
	// Moved: the log does not end where the append said.
	Moved Verdict = "moved"
	// Fenced: a higher epoch of the writer was seen.
	Fenced Verdict = "fenced"
	// OutOfSequence: the log expects another sequence number of the writer.
	OutOfSequence Verdict = "out_of_sequence"
	// Unknown: no answer; the append may take effect later.
	Unknown Verdict = "unknown"
)

// Appended is the answer to an append. Err says more about any verdict but Done.
type Appended struct {
	Verdict Verdict
	Err     error
}

// Read is a record with its offset.
type Read struct {
	Offset uint64
	ledger.Record
}

// Page is a part of the log.
type Page struct {
	// Whole is set for the newest record of each key, which replace all that was
	// read before.
	Whole   bool
	Records []Read
	// Next is the offset after the page.
	Next uint64
}

// Log is the shared log of durable jobs.
type Log interface {
	Append(ctx context.Context, a Append) Appended
	// Follow passes pages until the context ends. state is told of each failure
	// to read, and nil after each success.
	Follow(ctx context.Context, apply func(Page), state func(error))
}
