// Package keeper manages the durable jobs of one entry. It accepts jobs by
// appending them to a log that all entries share, records their progress there,
// and takes over the jobs of entries that have failed. Package ledger derives the
// owner of each job from the log; package dispatch runs the tasks.
package keeper

import (
	"context"
	"time"

	"github.com/azurerouter/azurerouter/process/ledger"
)

// Timing of job ownership. An owner starts no tasks once ownerTTL has passed since
// it sent its last successful append, or maxLogAge since it sent the last one that it
// has read from the log. Other entries claim its jobs only after they
// have read no record of it for takeoverAfter, which is longer. They start none of
// the tasks before every run of the dead owner is certain to have ended.
const (
	ownerTTL          = 2 * time.Second
	takeoverAfter     = 4 * time.Second
	heartbeatInterval = 700 * time.Millisecond
	// nonFirstTakeoverDelay is the extra time for which every entry but the first
	// by name waits before it takes over, so that entries seldom race for the jobs.
	nonFirstTakeoverDelay = 1500 * time.Millisecond
)

// AppendRequest is a request to append records to the log atomically.
type AppendRequest struct {
	// Writer, Epoch and Sequence let the log refuse the appends of a deposed owner
	// and give a repeated append the answer of the first one. An append without a
	// writer has no epoch and no sequence number.
	Writer   string
	Epoch    uint64
	Sequence uint64
	// ExpectedEnd, if set, is the offset at which the log must end; otherwise the
	// append is refused as EndMoved.
	ExpectedEnd *uint64
	Records     []ledger.Record
}

// Verdict is the result of an append.
type Verdict string

// Values of Verdict.
const (
	// Done: the records are in the log.
	Done Verdict = "done"
	// Refused: the append was refused and has no effect.
	Refused Verdict = "not_done"
	// Rejected: the append was refused because of its records and has no effect. Any
	// repeat is refused too.
	Rejected Verdict = "rejected"
	// EndMoved: the log does not end at the offset in AppendRequest.ExpectedEnd.
	EndMoved Verdict = "moved"
	// Fenced: the log has received a higher epoch of the writer.
	Fenced Verdict = "fenced"
	// OutOfSequence: the log expects another sequence number from the writer.
	OutOfSequence Verdict = "out_of_sequence"
	// Unknown: there is no usable answer; the append may have taken effect or may
	// do so later.
	Unknown Verdict = "unknown"
)

// AppendResult is the answer to an append. Err may explain any verdict but Done.
type AppendResult struct {
	Verdict Verdict
	Err     error
	// Next is the offset after the appended records, if the verdict is Done.
	Next uint64
}

// ReadRecord is a record that was read from the log, with its offset.
type ReadRecord struct {
	Offset uint64
	ledger.Record
}

// Page is a batch of records read from the log.
type Page struct {
	// Snapshot is set if the page is a snapshot: it holds the newest record of each
	// key and replaces everything that was read before.
	Snapshot bool
	// UpToDate is set if the page ended at the end of the log when it was read.
	UpToDate bool
	Records  []ReadRecord
	// Next is the offset after the last record of the page.
	Next uint64
}

// Log is the shared log of durable jobs.
type Log interface {
	// Append appends records to the log.
	Append(ctx context.Context, a AppendRequest) AppendResult
	// End returns the offset after the last record of the log at the time of the call.
	// from is the offset up to which the caller has read it.
	End(ctx context.Context, from uint64) (uint64, error)
	// Follow reads the log, a snapshot first, and passes it to the reader until the
	// context ends.
	Follow(ctx context.Context, reader Reader)
}

// Reader receives what Log.Follow reads. Its functions are called one at a time.
type Reader struct {
	// Apply receives each page in order.
	Apply func(Page)
	// NoteResult receives the error of each failed read, and nil after each successful
	// one.
	NoteResult func(error)
	// NoteSnapshot receives the number of records of a snapshot that have been read
	// while the snapshot is still being read.
	NoteSnapshot func(records int)
}
