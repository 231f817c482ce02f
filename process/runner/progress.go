package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Limits of the judgement of a target by the progress of its runs.
const (
	// slowFactor is how many times longer than its estimate a run takes that
	// counts as slow. Estimates, uneven tasks and the speeds of sound targets
	// together make up to two and a half.
	slowFactor = 3.5
	// minObserved is how long a run is observed before it is judged.
	minObserved = 80 * time.Millisecond
	// slowJobs is how many different jobs have to be slow. One job alone may
	// simply be longer than its estimate.
	slowJobs = 2
	// stallAfter is how long a run may show no progress at all, plus stallShare
	// of its estimate, because progress is shown in whole percent.
	stallAfter = 250 * time.Millisecond
	stallShare = 0.15
	// moveFactor times its estimate is what a slow run has to have left to be
	// stopped, so that it can run elsewhere.
	moveFactor = 1.5
)

// slowness returns how many times longer than its estimate a run takes at the
// speed it has shown, at least. It is zero while nothing can be said.
func (h *held) slowness(now time.Time) float64 {
	elapsed := now.Sub(h.confirmed)
	if h.state != stateRunning || h.estimate <= 0 || elapsed < minObserved {
		return 0
	}
	return float64(elapsed) / float64(h.estimate) * 100 / float64(max(h.percent, 1))
}

// left returns the time that a run still takes at the speed it has shown.
func (h *held) left(now time.Time) time.Duration {
	elapsed := now.Sub(h.confirmed)
	percent := max(h.percent, 1)
	return elapsed * time.Duration(100-percent) / time.Duration(percent)
}

// stalled reports whether a run stands still.
func (h *held) stalled(now time.Time) bool {
	limit := stallAfter + time.Duration(stallShare*float64(h.estimate))
	return h.state == stateRunning && now.Sub(h.percentAt) > limit
}

// checkProgress closes a target whose runs are slow or stand still, and stops
// the runs that would end sooner elsewhere.
func (c *Core) checkProgress(now time.Time) {
	var slow []*held
	jobs := make(map[batch.ID]bool)
	judged := 0
	for _, h := range batch.InOrder(c.runs) {
		if h.stalled(now) {
			c.judge(now, func() { c.health.stalled(now) })
			c.move(now, h)
			continue
		}
		slowness := h.slowness(now)
		if slowness == 0 {
			continue
		}
		judged++
		if slowness >= slowFactor {
			slow = append(slow, h)
			jobs[h.run.Task.Job] = true
		}
	}
	if len(slow) == 0 {
		return
	}
	if (len(jobs) >= slowJobs && 2*len(slow) > judged) || c.health.probing {
		c.judge(now, func() { c.health.stalled(now) })
	}
	if c.health.closed != wire.ClosedStalled {
		return
	}
	for _, h := range slow {
		if h.left(now) > time.Duration(moveFactor*float64(h.estimate)) {
			c.move(now, h)
		}
	}
}

// move stops a run so that its entry starts the task elsewhere.
func (c *Core) move(now time.Time, h *held) {
	c.env.Decided(decision.Decision{Step: "run", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id, Outcome: "stopped",
		Reason: "slow", Age: now.Sub(h.confirmed), Inputs: []decision.Input{{Name: "percent", Value: int64(h.percent)},
			{Name: "estimate_ms", Value: h.estimate.Milliseconds()}}})
	c.stop(now, h, wire.RefusedStopped)
}
