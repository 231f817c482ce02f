package runonce

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
)

// resendAfter is when a caller submits its job again after a broken connection.
const resendAfter = 1300 * time.Millisecond

// caller submits the job, and submits it again at the other entry when its connection has
// broken or the entry has given up.
type caller struct {
	entry    *entryLife
	attempt  int
	answered bool
	cancel   func()
}

func (w *world) submit() {
	if w.scenario.durable {
		w.submitDurable(0)
		return
	}
	w.submitNonDurable(0, 0)
}

// submitDurable submits the job to an entry. An entry that has not accepted it within
// resendAfter is followed by the other one.
func (w *world) submitDurable(index int) {
	e := w.entries[index%entryCount]
	accepted := make(chan struct{}, 1)
	e.deliver(func() {
		go func() {
			if e.keeper.Submit(e.ctx, w.submission()).Code == keeper.Accepted {
				accepted <- struct{}{}
			}
		}()
	})
	w.after(resendAfter, func() {
		select {
		case <-accepted:
		default:
			if index < 4 {
				w.submitDurable(index + 1)
			}
		}
	})
}

// submitNonDurable submits the job to an entry, which first asks the other one to withdraw
// it if it was submitted before.
func (w *world) submitNonDurable(index int, priorWait time.Duration) {
	c := &w.caller
	c.entry, c.cancel = w.entries[index%entryCount], func() {}
	c.attempt++
	if !c.entry.alive {
		w.resend(index)
		return
	}
	if priorWait == 0 {
		w.submitAt(index, 0)
		return
	}
	w.withdraw(index, priorWait, false)
}

// withdraw waits until the other entry has no runs of the job. An entry that is frozen does
// not reply; its runs have ended wire.OwnerRunsLostAfter after it was last heard of.
func (w *world) withdraw(index int, priorWait time.Duration, asked bool) {
	attempt, other := w.caller.attempt, w.entries[(index+1)%entryCount]
	if !asked {
		other.deliver(func() { other.core.Withdraw(jobID) })
	}
	mayHaveRuns := other.running() && other.core.HasRuns(jobID) ||
		!other.running() && now().Before(other.freeze.since().Add(wire.OwnerRunsLostAfter))
	if mayHaveRuns && other.alive {
		w.after(timeStep, func() {
			if attempt == w.caller.attempt {
				w.withdraw(index, priorWait, true)
			}
		})
		return
	}
	w.submitAt(index, priorWait)
}

func (w *world) submitAt(index int, priorWait time.Duration) {
	c := &w.caller
	e, attempt, s := c.entry, c.attempt, w.submission()
	s.PriorWait = priorWait
	s.CallerTimeout -= priorWait
	e.deliver(func() {
		cancel := e.core.Submit(s, func(r dispatch.Result) {
			w.oracle.log("%s answers %s %s", entryName(e.index), r.Code, r.Reason)
			if attempt != c.attempt {
				return
			}
			if r.Code == dispatch.Completed || r.Code == dispatch.Failed {
				c.answered = true
				return
			}
			w.resend(index)
		})
		if attempt == c.attempt {
			c.cancel = cancel
		}
	})
}

// resend submits the job to the next entry after a while.
func (w *world) resend(index int) {
	w.caller.attempt++
	attempt := w.caller.attempt
	w.after(resendAfter, func() {
		if attempt == w.caller.attempt && index < 4 {
			w.submitNonDurable(index+1, resendAfter)
		}
	})
}

// breakConnection ends the connection of the caller to an entry. The entry may not learn
// of it.
func (w *world) breakConnection(index int, noticed bool) {
	c := &w.caller
	if w.scenario.durable || c.answered || c.entry != w.entries[index] {
		return
	}
	cancel, e := c.cancel, c.entry
	w.resend(index)
	if noticed {
		e.deliver(cancel)
	}
}

// jobEnded reports whether the job has its final result.
func (w *world) jobEnded() bool {
	if !w.scenario.durable {
		return w.caller.answered
	}
	for _, e := range w.entries {
		if e.running() && e.keeper.JobState(jobID) == dispatch.DurableEnded {
			return true
		}
	}
	return false
}
