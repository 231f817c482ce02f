package keeper

import (
	"sync/atomic"

	"github.com/azurerouter/azurerouter/process/ledger"
)

// counters holds the event counts since the start of the process.
type counters struct {
	accepted, notAccepted, undecided, forwarded, takenOver atomic.Uint64
}

// countSubmission counts a submission by its outcome.
func (c *counters) countSubmission(o Outcome) {
	switch o.Code {
	case Accepted:
		c.accepted.Add(1)
	case NotAccepted:
		c.notAccepted.Add(1)
	default:
		c.undecided.Add(1)
	}
}

// Counts holds counts of events of durable jobs since the start of the process.
type Counts struct {
	// Accepted, NotAccepted and Undecided count the submissions of callers by
	// outcome.
	Accepted    uint64 `json:"accepted"`
	NotAccepted uint64 `json:"not_accepted"`
	Undecided   uint64 `json:"undecided"`
	// Forwarded counts the calls that were forwarded to another entry and answered
	// by it.
	Forwarded uint64 `json:"forwarded"`
	// TakenOver counts the jobs claimed from dead owners.
	TakenOver uint64 `json:"taken_over"`
}

// Counts returns the current counts.
func (k *Keeper) Counts() Counts {
	return Counts{Accepted: k.counters.accepted.Load(), NotAccepted: k.counters.notAccepted.Load(), Undecided: k.counters.undecided.Load(),
		Forwarded: k.counters.forwarded.Load(), TakenOver: k.counters.takenOver.Load()}
}

// Dump is a snapshot of the keeper's state for operators.
type Dump struct {
	// Self is the name under which the entry owns jobs.
	Self ledger.Owner `json:"self"`
	// CaughtUp is whether the log has been read to its end since the start.
	CaughtUp bool `json:"caught_up"`
	// SnapshotRecords is the number of records read of the newest snapshot.
	SnapshotRecords uint64 `json:"snapshot_records"`
	// LogReadable is whether the last read of the log succeeded.
	LogReadable bool `json:"reads"`
	// LogUnavailable is whether the log refuses appends or leaves them unanswered.
	LogUnavailable bool `json:"away"`
	// Suspended is whether the runs of durable jobs are stopped because no append
	// has succeeded within ownerTTL.
	Suspended bool `json:"suspended"`
	// NextOffset is the offset of the next record to read.
	NextOffset uint64 `json:"next_offset"`
	// OwnedJobs is the number of jobs that run here.
	OwnedJobs int `json:"jobs_here"`
	// QueuedRecords is the number of records that wait to be appended.
	QueuedRecords int    `json:"records_queued"`
	Counts        Counts `json:"counts"`
}

// Dump returns a snapshot of the state.
func (k *Keeper) Dump() Dump {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Dump{Self: k.self, CaughtUp: k.reads.caughtUp, SnapshotRecords: k.snapshotRecords.Load(), LogReadable: !k.reads.readableSince.IsZero(), LogUnavailable: k.logUnavailable, Suspended: len(k.ownedJobs) > 0 && k.options.Now().Sub(k.lastAppend) > ownerTTL,
		NextOffset: k.nextOffset, OwnedJobs: len(k.ownedJobs), QueuedRecords: len(k.queue), Counts: k.Counts()}
}
