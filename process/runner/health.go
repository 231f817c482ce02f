package runner

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Thresholds for judging the health of a target by the outcomes of its runs.
const (
	// failedJobsLimit is how many different jobs must fail, with no completed
	// run in between, before the target is closed. A single job may fail because
	// of its own fault.
	failedJobsLimit = 2
	// failureWindow is the longest time between two failures that are counted
	// together.
	failureWindow = 3 * time.Second
	// minClosedDuration and maxClosedDuration bound the time for which a faulty
	// target takes no runs. The time doubles with each failed probe.
	minClosedDuration = 400 * time.Millisecond
	maxClosedDuration = 1600 * time.Millisecond
	// A target counts as slow once slowLimit of its runs were slow, in different jobs and
	// without 1 / usualRunCredit usual runs for each of them. With 3 % of stragglers that
	// happens by chance about once in a million runs; at a target that has turned eight
	// times slower the first four runs are enough.
	slowLimit      = 4.0
	usualRunCredit = 0.5
)

// runSpeed is the judgement of the speed of a run.
type runSpeed uint8

const (
	speedUnknown runSpeed = iota
	speedUsual
	speedSlow
)

// health judges a target by the outcomes of its runs. It detects faults that
// the target's own reports do not show.
type health struct {
	failedJobs  []batch.ID
	lastFailure time.Time

	// slowRuns is the number of slow runs less usualRunCredit for each usual one, and
	// slowJobs are the jobs of the slow ones. lastSlow is when the last one was judged.
	slowRuns float64
	slowJobs []batch.ID
	lastSlow time.Time

	// closedReason is empty while the target takes runs. The target is closed
	// until reopenAt and then probed with one run at a time.
	closedReason   wire.ClosedReason
	closedDuration time.Duration
	reopenAt       time.Time
	probing        bool
}

// runDone records a completed run. A slow probe closes the target again. Runs
// that complete while the target is closed are ignored, because they were
// started before.
func (h *health) runDone(now time.Time, slow bool) {
	switch {
	case h.closedReason != "":
	case h.probing && slow:
		h.close(now, wire.ClosedStalled)
	default:
		*h = health{slowRuns: h.slowRuns, slowJobs: h.slowJobs, lastSlow: h.lastSlow}
	}
}

// noteSpeed records the speed of a run. It closes the target if too many runs are slow
// for stragglers of a healthy target.
func (h *health) noteSpeed(now time.Time, job batch.ID, speed runSpeed) {
	if h.closedReason != "" {
		return
	}
	if speed == speedUsual || now.Sub(h.lastSlow) > failureWindow {
		h.slowRuns = max(0, h.slowRuns-usualRunCredit)
		if h.slowRuns == 0 || now.Sub(h.lastSlow) > failureWindow {
			h.slowRuns, h.slowJobs = 0, nil
		}
	}
	if speed != speedSlow {
		return
	}
	h.lastSlow = now
	h.slowRuns++
	if !slices.Contains(h.slowJobs, job) {
		h.slowJobs = append(h.slowJobs, job)
	}
	if h.slowRuns >= slowLimit && len(h.slowJobs) >= minSlowJobs || h.probing {
		h.close(now, wire.ClosedStalled)
	}
}

// runFailed records a failed run.
func (h *health) runFailed(now time.Time, job batch.ID) {
	if h.probing {
		h.close(now, wire.ClosedFaulty)
		return
	}
	if now.Sub(h.lastFailure) > failureWindow {
		h.failedJobs = nil
	}
	h.lastFailure = now
	if slices.Contains(h.failedJobs, job) {
		return
	}
	h.failedJobs = append(h.failedJobs, job)
	if len(h.failedJobs) >= failedJobsLimit {
		h.close(now, wire.ClosedFaulty)
	}
}

// targetUnhealthy records a start that the target refused because it is
// unhealthy.
func (h *health) targetUnhealthy(now time.Time) { h.close(now, wire.ClosedFaulty) }

// runsStalled records that runs are slow or make no progress.
func (h *health) runsStalled(now time.Time) { h.close(now, wire.ClosedStalled) }

// close closes the target, unless it is closed already.
func (h *health) close(now time.Time, reason wire.ClosedReason) {
	if h.closedReason != "" {
		return
	}
	h.closedDuration = min(max(minClosedDuration, 2*h.closedDuration), maxClosedDuration)
	h.closedReason, h.probing = reason, false
	h.reopenAt = now.Add(h.closedDuration)
	h.failedJobs = nil
	h.slowRuns, h.slowJobs = 0, nil
}

// reopenIfDue reopens a closed target for probing when reopenAt has passed. It
// reports whether anything changed.
func (h *health) reopenIfDue(now time.Time) bool {
	if h.closedReason == "" || now.Before(h.reopenAt) {
		return false
	}
	h.closedReason, h.probing = "", true
	return true
}
