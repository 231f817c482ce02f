package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/placement"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// expectedDuration returns the expected duration of a task of the group at the target,
// counted from its order, if the target is in the rack of the group's data. It is zero if the caller gave no estimate.
func (p *pool) expectedDuration(g group, t *target) time.Duration {
	usual := p.speeds.Class(g.job.Queue).Usual(g.job.Job.Steps[g.step].Estimate)
	return time.Duration(float64(usual) * p.expectedRatio(g, t))
}

// expectedRatio returns the expected duration of a task of the group at the target relative
// to that at a usual target.
func (p *pool) expectedRatio(g group, t *target) float64 {
	return p.speeds.Ratio(p.lastPass, p.speeds.Class(g.job.Queue), t.speed, t.loadWith(g.demand()))
}

// usualDuration returns the duration by which an agent judges whether a run is slow: that of
// the group's tasks at a usual target. Estimates that are wrong by a factor would otherwise
// show all runs as slow. It is at least half the estimate, so that a class of which most tasks
// are short does not make the others stragglers.
func (p *pool) usualDuration(g group) time.Duration {
	estimate := g.job.Job.Steps[g.step].Estimate
	return max(estimate/2, p.speeds.Class(g.job.Queue).Usual(estimate))
}

// loadWith returns the share of the target's capacity that is in use once a task with the
// demand has started there.
func (t *target) loadWith(demand batch.Resources) float64 {
	if t.state.Capacity.MilliCPU <= 0 {
		return 0
	}
	used := t.state.Capacity.MilliCPU - t.expectedFree().MilliCPU + demand.MilliCPU
	return max(0, min(float64(used)/float64(t.state.Capacity.MilliCPU), 1))
}

// recordDuration records the duration of a completed run.
func (p *pool) recordDuration(now time.Time, r *run, ran time.Duration) {
	j := r.task.job
	p.speeds.Record(now, p.speeds.Class(j.Queue), r.target.speed, j.Job.Steps[r.task.step].Estimate, ran, r.load)
}

// incarnationOf identifies the process of a target. What was learned of an earlier one does
// not hold for it.
func incarnationOf(state wire.TargetState) placement.Incarnation {
	return placement.Incarnation{ID: state.Target, StartTime: state.StartTime}
}

// isOutOfService reports whether a closed target is cold when it is opened again. One that
// is closed for its speed or for failed runs is not: it is probed.
func isOutOfService(closed wire.ClosedReason) bool {
	switch closed {
	case wire.ClosedNoTarget, wire.ClosedDraining, wire.ClosedUnreachable, wire.ClosedEvacuated:
		return true
	}
	return false
}

// mayRestart reports whether an agent may stop a run of the task if it is a straggler. It
// may once for each task, as long as that pays. The runs of durable jobs are not stopped:
// such a job is not in a hurry, and the end of each run has to be recorded.
func (p *pool) mayRestart(t *task) bool {
	return t.job.durableState == nil && !t.restarted && p.restarts.Pay(p.lastPass)
}

// noteRestart learns from the end of a run whether it paid to restart its task.
func (c *Core) noteRestart(now time.Time, p *pool, r *run, report wire.RunReport) {
	t := r.task
	switch {
	case report.End == batch.EndStopped && !r.stopRequested && r.stopIfSlow && p.ranLong(t, report):
		t.restarted = true
		c.counters.stragglers.Add(1)
	case report.End == batch.EndDone && t.restarted:
		usual := p.speeds.Class(t.job.Queue).Usual(t.job.Job.Steps[t.step].Estimate)
		paid := time.Duration(report.RanMS)*time.Millisecond < stragglerFactor*usual
		if paid {
			c.counters.restartsPaid.Add(1)
		}
		p.restarts.Record(now, paid)
	}
}

// ranLong reports whether a run took longer than is usual. An agent also stops runs because
// their session has ended.
func (p *pool) ranLong(t *task, report wire.RunReport) bool {
	usual := p.speeds.Class(t.job.Queue).Usual(t.job.Job.Steps[t.step].Estimate)
	return time.Duration(report.RanMS)*time.Millisecond > usual
}

// stragglerFactor is the ratio to the usual duration from which a run that was started again
// counts as slow once more.
const stragglerFactor = 3

// resetSpeeds forgets the speeds of the targets in the zones that are taken back.
func (p *pool) resetSpeeds(now time.Time, before, after evacuation.State) {
	for _, t := range p.targetList {
		if before.Contains(t.zone) && !after.Contains(t.zone) {
			t.speed.Reset(now)
		}
	}
}
