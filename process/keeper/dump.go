package keeper

import (
	"sync/atomic"

	"github.com/azurerouter/azurerouter/process/ledger"
)

// counters count events since the start of the process.
type counters struct {
	accepted, notAccepted, undecided, forwarded, takenOver atomic.Uint64
}

func (c *counters) submitted(o Outcome) {
	switch o.Code {
	case Accepted:
		c.accepted.Add(1)
	case NotAccepted:
		c.notAccepted.Add(1)
	default:
		c.undecided.Add(1)
	}
}

// Counts are what has happened to durable jobs since the start of the process.
type Counts struct {
	// Submissions of callers by their outcome.
	Accepted    uint64 `json:"accepted"`
	NotAccepted uint64 `json:"not_accepted"`
	Undecided   uint64 `json:"undecided"`
	// Forwarded counts calls that another entry has answered, TakenOver jobs of
	// entries that are gone.
	Forwarded uint64 `json:"forwarded"`
	TakenOver uint64 `json:"taken_over"`
}

// Counts returns the counts up to now.
func (k *Keeper) Counts() Counts {
	return Counts{Accepted: k.counters.accepted.Load(), NotAccepted: k.counters.notAccepted.Load(), Undecided: k.counters.undecided.Load(),
		Forwarded: k.counters.forwarded.Load(), TakenOver: k.counters.takenOver.Load()}
}

// Dump is a copy of the state for operators.
type Dump struct {
	Self ledger.Owner `json:"self"`
	// CaughtUp is whether the log has been read once, Reads whether it can be
	// read now, Away whether appends are refused.
	CaughtUp bool `json:"caught_up"`
	Reads    bool `json:"reads"`
	Away     bool `json:"away"`
	// Suspended is whether the runs of durable jobs are stopped because the log
	// has not taken an append for too long.
	Suspended bool `json:"suspended"`
	// Next is the offset up to which the log has been read.
	Next uint64 `json:"next_offset"`
	// Mine are the jobs that run here, Queued the records that wait to be
	// appended.
	Mine   int    `json:"jobs_here"`
	Queued int    `json:"records_queued"`
	Counts Counts `json:"counts"`
}

// Dump returns the state now.
func (k *Keeper) Dump() Dump {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Dump{Self: k.self, CaughtUp: k.caughtUp, Reads: !k.healthySince.IsZero(), Away: k.away, Suspended: k.suspended,
		Next: k.next, Mine: len(k.mine), Queued: len(k.queue), Counts: k.Counts()}
}
