package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Thresholds for judging the health of a target by the progress of its runs.
const (
	// slowFactor is the ratio of actual or projected duration to estimate from
	// which a run counts as slow. Inexact estimates, uneven tasks and speed
	// differences between healthy targets together account for a ratio of up to
	// 2.5.
	slowFactor = 3.5
	// minObservation is how long a run is observed before its speed is
	// evaluated.
	minObservation = 80 * time.Millisecond
	// minSlowJobs is how many different jobs must have slow runs before the
	// target is closed, see slowLimit. A single job may simply take longer than its
	// estimate.
	minSlowJobs = 2
	// A run counts as stalled if its progress has not changed for longer than
	// stallAfter plus stallEstimateShare of its estimate. The second part is
	// needed because progress is reported in whole percent.
	stallAfter         = 250 * time.Millisecond
	stallEstimateShare = 0.15
	// A slow run is stopped, so that it can run elsewhere, if its remaining time
	// exceeds evictFactor times its estimate.
	evictFactor = 1.5
	// restartCost is the time from the stop of a straggler to the start of its task
	// elsewhere: the stop takes effect, the end is reported, the start is ordered.
	restartCost = 60 * time.Millisecond
)

// slowdown returns the ratio of a run's duration, projected from its speed so
// far, to its estimate. The ratio is a lower bound while the progress is below
// one percent, and zero while the run can't be judged yet.
func (h *heldRun) slowdown(now time.Time) float64 {
	elapsed := now.Sub(h.confirmedAt)
	if h.state != stateRunning || h.estimate <= 0 || elapsed < minObservation {
		return 0
	}
	return float64(elapsed) / float64(h.estimate) * 100 / float64(max(h.progressPercent, 1))
}

// speedOf judges the duration of a completed run by its estimate.
func speedOf(ran, estimate time.Duration) runSpeed {
	switch {
	case estimate <= 0:
		return speedUnknown
	case ran > time.Duration(slowFactor*float64(estimate)):
		return speedSlow
	}
	return speedUsual
}

// remaining returns the time that a run still needs at its speed so far.
func (h *heldRun) remaining(now time.Time) time.Duration {
	elapsed := now.Sub(h.confirmedAt)
	percent := max(h.progressPercent, 1)
	return elapsed * time.Duration(100-percent) / time.Duration(percent)
}

// stalled reports whether a run has made no progress for too long.
func (h *heldRun) stalled(now time.Time) bool {
	limit := stallAfter + time.Duration(stallEstimateShare*float64(h.estimate))
	return h.state == stateRunning && now.Sub(h.progressAt) > limit
}

// paysToRestart reports whether the task would end sooner if the run was stopped and started
// again at a target of usual speed.
func (h *heldRun) paysToRestart(now time.Time) bool {
	return h.remaining(now) > restartCost+time.Duration(evictFactor*float64(h.estimate))
}

// checkProgress closes a target whose runs are slow or stalled, and stops the
// runs that would end sooner at another target.
func (c *Core) checkProgress(now time.Time) {
	var slow []*heldRun
	for _, h := range batch.SortedByRun(c.runs) {
		if h.stalled(now) {
			c.updateHealth(now, func() { c.health.runsStalled(now) })
			c.evict(now, h)
			continue
		}
		slowdown := h.slowdown(now)
		if slowdown == 0 {
			continue
		}
		if slowdown < slowFactor {
			c.judgeSpeed(now, h, speedUsual)
			continue
		}
		slow = append(slow, h)
		c.judgeSpeed(now, h, speedSlow)
	}
	for _, h := range slow {
		if h.stopIfSlow && h.paysToRestart(now) {
			c.evict(now, h)
		}
	}
	if c.health.closedReason != wire.ClosedStalled {
		return
	}
	for _, h := range slow {
		if h.remaining(now) > time.Duration(evictFactor*float64(h.estimate)) {
			c.evict(now, h)
		}
	}
}

// judgeSpeed counts a run for the speed of the target, once, or again if it turns out to
// be slow later.
func (c *Core) judgeSpeed(now time.Time, h *heldRun, speed runSpeed) {
	if speed <= h.speed {
		return
	}
	h.speed = speed
	c.updateHealth(now, func() { c.health.noteSpeed(now, h.run.Task.Job, speed) })
}

// evict stops a run so that its entry starts the task at another target.
func (c *Core) evict(now time.Time, h *heldRun) {
	c.env.Record(decision.Decision{Step: "run", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id, Outcome: "stopped",
		Reason: "slow", Age: now.Sub(h.confirmedAt), Inputs: []decision.Input{{Name: "percent", Value: int64(h.progressPercent)},
			{Name: "estimate_ms", Value: h.estimate.Milliseconds()}}})
	c.stopRun(now, h, wire.RefusedStopped)
}
