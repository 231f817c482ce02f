package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// supersededIncrement is added to the number of a task's last run after a target
// refused it because of a higher number, which another entry used for the same
// job.
const supersededIncrement = 4

// handleRunReport handles an agent's report of one run.
func (c *Core) handleRunReport(now time.Time, p *pool, t *target, report wire.RunReport) {
	r := t.runs[report.Run]
	switch {
	case reportsCrashOnly(report):
		c.noteCrash(now, p, report.Run, crashKindOf(report))
	case r == nil && report.WithheldMS > 0:
		c.noteLateStart(now, p, report.Run, now.Add(time.Duration(report.WithheldMS)*time.Millisecond))
	case r == nil && report.EndUnrecorded:
		c.resolveLateEnd(now, p, t, report.Run)
	case r == nil:
		if report.End == "" && report.RefusalReason == "" {
			// The entry does not wait for this run.
			c.send(now, p, t, &wire.Orders{Stops: []batch.Run{report.Run}, Waiting: c.announcedWaiting(now, p, t)})
		}
	case report.WithheldMS > 0:
		c.runWithheld(now, p, r, time.Duration(report.WithheldMS)*time.Millisecond)
	case report.RefusalReason != "":
		c.runRefused(now, p, r, report.RefusalReason)
	case report.End != "":
		if report.End == batch.EndDone {
			p.recordDuration(now, r, c.localDuration(r, time.Duration(report.RanMS)*time.Millisecond))
		}
		c.noteRestart(now, p, r, report)
		r.crash = crashKindOf(report)
		c.addDurableEnd(now, p, r, report)
		c.runEnded(now, p, r, report.End)
	}
}

// removeRun removes a run that is not alive.
func (p *pool) removeRun(r *run) {
	delete(r.target.runs, r.id())
	r.task.liveRun = nil
	p.addToNodeCount(r, -1)
}

func (p *pool) addToNodeCount(r *run, delta int) {
	r.task.job.steps[r.task.step].runsPerNode[r.target.node] += delta
}

// runRefused handles a run that never started. Its task is ready again, and the
// refusal does not count as a failure of the task.
func (c *Core) runRefused(now time.Time, p *pool, r *run, reason wire.StartRefusal) {
	p.removeRun(r)
	j, t := r.task.job, r.target
	j.runsStarted--
	c.counters.countRefusal(reason)
	c.env.Record(decision.Decision{Step: "place", Job: j.Job.ID, Run: r.id(), Peer: t.node, Outcome: "turned_back",
		Reason: string(reason), Age: now.Sub(r.orderedAt), Routine: reason == wire.RefusedFull})
	switch reason {
	case wire.RefusedSession:
		t.sessionRefused = true
	case wire.RefusedSuperseded:
		r.task.lastNumber += supersededIncrement
	case wire.RefusedByTarget, wire.RefusedUnanswered:
		r.task.avoidedNodes = append(r.task.avoidedNodes, t.node)
	}
	if !j.ended {
		r.task.requeue()
		c.enqueue(now, p, j)
	}
}

// runEnded handles a run that has certainly ended. Its task is ready again unless
// it is done or the job has ended.
func (c *Core) runEnded(now time.Time, p *pool, r *run, end batch.End) {
	p.removeRun(r)
	j := r.task.job
	c.counters.countRunEnd(end)
	if j.ended || r.task.done {
		return
	}
	if end != batch.EndDone {
		c.env.Record(decision.Decision{Step: "run_end", Job: j.Job.ID, Run: r.id(), Peer: r.target.node, Outcome: string(end),
			Age: now.Sub(r.orderedAt), Inputs: []decision.Input{{Name: "failed_before", Value: int64(r.task.failures)}, {Name: "max_attempts", Value: int64(j.MaxAttempts)}}})
	}
	switch end {
	case batch.EndDone:
		if j.completeTask(r.task) {
			c.endJob(now, p, j, Result{Code: Completed})
		}
		c.enqueue(now, p, j)
		return
	case batch.EndFailed:
		r.task.failures++
		r.task.avoidedNodes = append(r.task.avoidedNodes, r.target.node)
		if r.task.failures >= j.MaxAttempts {
			c.endJob(now, p, j, Result{Code: Failed, Reason: ReasonAttempts})
			return
		}
	default:
		r.task.avoidedNodes = append(r.task.avoidedNodes, r.target.node)
		if r.crash != noCrash {
			r.task.crashes.add(now, r.number, r.crash)
			if c.judgeCrashes(now, p, r.task) {
				return
			}
		}
	}
	r.task.requeue()
	c.enqueue(now, p, j)
}

// stopRun asks the agent to stop a run whose result is not needed.
func (c *Core) stopRun(now time.Time, p *pool, r *run) {
	if r.stopRequested {
		return
	}
	r.stopRequested = true
	if r.target.connected {
		c.send(now, p, r.target, &wire.Orders{Stops: []batch.Run{r.id()}, Waiting: c.announcedWaiting(now, p, r.target)})
	}
}
