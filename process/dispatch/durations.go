package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/placement"
	"github.com/azurerouter/azurerouter/request/batch"
)

// expectedDuration returns the expected duration of a task of the group at the target,
// counted from its order. It is zero if the caller gave no estimate.
func (p *pool) expectedDuration(g group, t *target) time.Duration {
	usual := p.speeds.Class(g.job.Queue).Usual(g.job.Job.Steps[g.step].Estimate)
	return time.Duration(float64(usual) * p.expectedRatio(g, t))
}

// expectedRatio returns the expected duration of a task of the group at the target relative
// to that at a usual target.
func (p *pool) expectedRatio(g group, t *target) float64 {
	return p.speeds.Ratio(p.lastPass, p.speeds.Class(g.job.Queue), t.speed, t.loadWith(g.demand()))
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
