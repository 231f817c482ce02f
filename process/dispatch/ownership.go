package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// OwnDurableUntil extends the time for which this entry owns its durable jobs. Once that
// has passed, it orders none of their tasks and its next message to each agent stops
// their runs, because another entry may start them soon. An earlier end than the present
// one has no effect.
func (c *Core) OwnDurableUntil(end time.Time) { c.extend(&c.ownedUntil, end) }

// StartDurableUntil extends the time for which this entry knows the log of the durable jobs
// well enough to order their tasks. Once that has passed, their runs go on, but a job may
// have been cancelled, so that none of its tasks may start. An earlier end than the present
// one has no effect.
func (c *Core) StartDurableUntil(end time.Time) { c.extend(&c.startsUntil, end) }

// extend moves one of the ends that limit orders, unless it is later already.
func (c *Core) extend(limit *atomic.Int64, end time.Time) {
	for {
		present := limit.Load()
		if end.UnixNano() <= present {
			return
		}
		if limit.CompareAndSwap(present, end.UnixNano()) {
			c.resumeDurable(present)
			return
		}
	}
}

// resumeDurable assigns the tasks that waited because a limit had passed.
func (c *Core) resumeDurable(previousEnd int64) {
	if c.env.Now().UnixNano() < previousEnd {
		return
	}
	for _, p := range c.allPools() {
		p.mu.Lock()
		c.assign(c.env.Now(), p)
		p.mu.Unlock()
	}
}

// ownsDurable reports whether this entry owns its durable jobs.
func (c *Core) ownsDurable(now time.Time) bool { return now.UnixNano() < c.ownedUntil.Load() }

// mayStartDurable reports whether this entry may order tasks of its durable jobs.
func (c *Core) mayStartDurable(now time.Time) bool {
	return c.ownsDurable(now) && now.UnixNano() < c.startsUntil.Load()
}

// suspensionLogDelay is how long durable jobs are suspended before that is logged. An entry that
// had no durable job gets it with the answer to its next append.
const suspensionLogDelay = 200 * time.Millisecond

// checkOwnership sends a message to each agent with runs of durable jobs once this entry
// does not own them any more, which stops them.
func (c *Core) checkOwnership(now time.Time, p *pool) {
	if len(p.durable) == 0 || c.mayStartDurable(now) {
		c.noteResumed(p)
		return
	}
	if c.ownsDurable(now) {
		c.noteSuspended(now, p, "log not read")
		return
	}
	c.noteSuspended(now, p, "log not written")
	for _, t := range p.targetList {
		if t.connected && t.hasUnstoppedDurableRun() {
			c.send(now, p, t, &wire.Orders{Waiting: c.announcedWaiting(now, p, t)})
		}
	}
}

// noteResumed logs the end of a suspension.
func (c *Core) noteResumed(p *pool) {
	if p.suspensionLogged {
		c.recordSuspension(p, decision.Decision{Outcome: "resumed"})
	}
	p.suspendedSince, p.suspensionLogged = time.Time{}, false
}

// noteSuspended logs a suspension that lasts.
func (c *Core) noteSuspended(now time.Time, p *pool, reason string) {
	if p.suspendedSince.IsZero() {
		p.suspendedSince = now
	}
	if since := now.Sub(p.suspendedSince); since >= suspensionLogDelay && !p.suspensionLogged {
		p.suspensionLogged = true
		c.recordSuspension(p, decision.Decision{Outcome: "suspended", Reason: reason, Age: since})
	}
}

func (c *Core) recordSuspension(p *pool, d decision.Decision) {
	d.Step, d.Inputs = "durable", []decision.Input{{Name: "jobs", Value: int64(len(p.durable))}}
	c.env.Record(d)
}

func (t *target) hasUnstoppedDurableRun() bool {
	for _, r := range t.runs {
		if r.task.job.durableState != nil && !r.stopRequested {
			return true
		}
	}
	return false
}

// stopDurableRuns requests the stop of all runs of durable jobs and returns those whose
// stop was not requested before.
func (t *target) stopDurableRuns() []batch.Run {
	if !t.hasUnstoppedDurableRun() {
		return nil
	}
	var stops []batch.Run
	for _, r := range batch.SortedByRun(t.runs) {
		if r.task.job.durableState != nil && !r.stopRequested {
			r.stopRequested = true
			stops = append(stops, r.id())
		}
	}
	return stops
}
