package runner

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Retries of one start without an answer. Its task can't start elsewhere while a copy of the
// start may be carried out, so that the same target gets the start again.
const (
	// maxStartRetries is the number of retries that are made at once.
	maxStartRetries = 2
	// startRetryInterval is the interval of the further ones.
	startRetryInterval = 60 * time.Millisecond
	// startRetryPeriod is the time from the order after which a copy without an answer is the
	// last one: each of them makes the task wait for longer.
	startRetryPeriod = 3 * time.Second
)

// retryStart retries a start without an answer; if the run has started
// already, the target confirms it. After maxStartRetries it polls the target
// for the run, and retries at intervals.
func (c *Core) retryStart(now time.Time, h *heldRun) {
	c.lossyUntil = now.Add(lossyPeriod)
	if h.observed || h.state == stateStopping {
		return
	}
	h.unansweredStarts++
	if h.unansweredStarts <= maxStartRetries && c.mayRetryStart(h) {
		c.sendStart(now, h)
		return
	}
	h.unansweredAt = now
	c.requestPoll()
}

// mayRetryStart reports whether a start may be sent again.
func (c *Core) mayRetryStart(h *heldRun) bool {
	if h.state != stateStarting || h.startRejected {
		return false
	}
	return !c.leaving && !c.target.draining && !c.target.ends.lapsing() && !c.evacuation.Contains(c.options.Zone)
}

// withdrawIfPointless withdraws a start that has not been carried out, unless its task would
// have to wait for copies that are on their way and further copies make sense.
func (c *Core) withdrawIfPointless(now time.Time, h *heldRun) {
	if !c.mayRetryStart(h) || !h.copies.mayArrive(now) || h.copies.unansweredSentAt.Sub(h.startedAt) > startRetryPeriod {
		c.withdrawStart(now, h)
	}
}

// retryStarts repeats the starts without an answer that are due, or withdraws them. A target
// that does not answer at all gets none, since a start extends the lease.
func (c *Core) retryStarts(now time.Time) {
	if c.target.unreachable {
		return
	}
	var due []*heldRun
	for _, h := range c.runs {
		if h.state == stateStarting && !h.unansweredAt.IsZero() && !h.copies.pending && now.Sub(h.unansweredAt) >= startRetryInterval {
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(a, b *heldRun) int { return batch.Run.Compare(a.run, b.run) })
	for _, h := range due {
		c.withdrawIfPointless(now, h)
		if h.state == stateStarting {
			c.sendStart(now, h)
		}
	}
}

// withdrawStart gives up a start that has not been carried out but may still
// be. The stop makes the present life of the target refuse the run from then on.
func (c *Core) withdrawStart(now time.Time, h *heldRun) {
	c.env.Record(decision.Decision{Step: "start", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id,
		Outcome: "withdrawn", Reason: "target did not answer", Age: now.Sub(h.startedAt)})
	c.stopRun(now, h, wire.RefusedUnanswered)
}
