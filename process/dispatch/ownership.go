package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// OwnDurableUntil extends the time for which this entry owns its durable jobs. Once that
// has passed, it orders none of their tasks and its next message to each agent stops
// their runs, because another entry may start them soon. An earlier end than the present
// one has no effect.
func (c *Core) OwnDurableUntil(end time.Time) {
	for {
		present := c.ownedUntil.Load()
		if end.UnixNano() <= present {
			return
		}
		if c.ownedUntil.CompareAndSwap(present, end.UnixNano()) {
			c.resumeOwned(present)
			return
		}
	}
}

// resumeOwned assigns the tasks that waited because the ownership had ended.
func (c *Core) resumeOwned(previousEnd int64) {
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

// suspensionLogDelay is how long the ownership lacks before that is logged. An entry that
// had no durable job gets it with the answer to its next append.
const suspensionLogDelay = 200 * time.Millisecond

// checkOwnership sends a message to each agent with runs of durable jobs once this entry
// does not own them any more, which stops them.
func (c *Core) checkOwnership(now time.Time, p *pool) {
	if len(p.durable) == 0 || c.ownsDurable(now) {
		c.noteOwned(p)
		return
	}
	c.noteUnowned(now, p)
	for _, t := range p.targetList {
		if t.connected && t.hasUnstoppedDurableRun() {
			c.send(now, p, t, &wire.Orders{Waiting: c.announcedWaiting(now, p, t)})
		}
	}
}

// noteOwned logs the end of a suspension.
func (c *Core) noteOwned(p *pool) {
	if p.suspensionLogged {
		c.recordSuspension(p, decision.Decision{Outcome: "resumed"})
	}
	p.unownedSince, p.suspensionLogged = time.Time{}, false
}

// noteUnowned logs a suspension that lasts.
func (c *Core) noteUnowned(now time.Time, p *pool) {
	if p.unownedSince.IsZero() {
		p.unownedSince = now
	}
	if since := now.Sub(p.unownedSince); since >= suspensionLogDelay && !p.suspensionLogged {
		p.suspensionLogged = true
		c.recordSuspension(p, decision.Decision{Outcome: "suspended", Reason: "log not written", Age: since})
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
