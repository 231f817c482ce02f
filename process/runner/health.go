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
)

// health judges a target by the outcomes of its runs. It detects faults that
// the target's own reports do not show.
type health struct {
	failedJobs  []batch.ID
	lastFailure time.Time

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
		*h = health{}
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
