package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// supersededStep is by how much the number of the next run rises after a target
// has seen a higher one, left by another entry that ran the same job.
const supersededStep = 4

// runReported takes an agent's word on a run.
func (c *Core) runReported(now time.Time, p *pool, t *target, report wire.RunReport) {
	r := t.runs[report.Run]
	switch {
	case r == nil && report.Unstored:
		c.settleLateEnd(now, p, t, report.Run)
	case r == nil:
		if report.End == "" && report.Refused == "" {
			// A run that the entry has given up on.
			c.send(now, t, &wire.Orders{Stops: []batch.Run{report.Run}, Waiting: c.waitingFor(now, p, t)})
		}
	case report.Refused != "":
		c.runRefused(now, p, r, report.Refused)
	case report.End != "":
		if report.End == batch.EndDone {
			p.speeds.note(r.task, t.node, time.Duration(report.RanMS)*time.Millisecond)
		}
		c.noteDurableEnd(now, p, r, report.Unstored)
		c.runEnded(now, p, r, report.End)
	}
}

// drop forgets a run that is not alive.
func (p *pool) drop(r *run) {
	delete(r.target.runs, r.name())
	r.task.live = nil
	p.countOnTarget(r, -1)
}

func (p *pool) countOnTarget(r *run, by int) {
	r.task.job.steps[r.task.step].perTarget[r.target.node] += by
}

// runRefused handles a run that never started.
func (c *Core) runRefused(now time.Time, p *pool, r *run, reason wire.RefusedStart) {
	p.drop(r)
	j, t := r.task.job, r.target
	j.started--
	c.counters.refused(reason)
	c.env.Decided(decision.Decision{Step: "place", Job: j.Job.ID, Run: r.name(), Peer: t.node, Outcome: "turned_back",
		Reason: string(reason), Age: now.Sub(r.ordered), Routine: reason == wire.RefusedFull})
	switch reason {
	case wire.RefusedSession:
		t.sessionRefused = true
	case wire.RefusedSuperseded:
		r.task.number += supersededStep
	case wire.RefusedByTarget, wire.RefusedUnanswered:
		r.task.avoid = append(r.task.avoid, t.node)
	}
	if !j.ended {
		r.task.requeue()
	}
}

// runEnded handles a run that is certain to have ended.
func (c *Core) runEnded(now time.Time, p *pool, r *run, end batch.End) {
	p.drop(r)
	j := r.task.job
	c.counters.runEnded(end)
	if j.ended || r.task.done {
		return
	}
	if end != batch.EndDone {
		c.env.Decided(decision.Decision{Step: "run_end", Job: j.Job.ID, Run: r.name(), Peer: r.target.node, Outcome: string(end),
			Age: now.Sub(r.ordered), Inputs: []decision.Input{{Name: "failed_before", Value: int64(r.task.failed)}, {Name: "max_attempts", Value: int64(j.MaxAttempts)}}})
	}
	switch end {
	case batch.EndDone:
		if j.taskDone(r.task) {
			c.end(now, p, j, Result{Code: Completed})
		}
		return
	case batch.EndFailed:
		r.task.failed++
		r.task.avoid = append(r.task.avoid, r.target.node)
		if r.task.failed >= j.MaxAttempts {
			c.end(now, p, j, Result{Code: Failed, Reason: ReasonAttempts})
			return
		}
	default:
		r.task.avoid = append(r.task.avoid, r.target.node)
	}
	r.task.requeue()
}

// stopRun asks for the end of a run whose result nobody needs.
func (c *Core) stopRun(now time.Time, p *pool, r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	if r.target.connected {
		c.send(now, r.target, &wire.Orders{Stops: []batch.Run{r.name()}, Waiting: c.waitingFor(now, p, r.target)})
	}
}
