package runner

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Limits of the judgement of a target.
const (
	// failedJobsLimit is how many different jobs have to fail in a row, with no
	// run done in between. One job alone may fail by its own fault.
	failedJobsLimit = 2
	// failureWindow is how far apart failures in a row may be.
	failureWindow = 3 * time.Second
	// minClosed and maxClosed bound the time for which a faulty target takes no
	// run; it doubles with each failed probe.
	minClosed = 400 * time.Millisecond
	maxClosed = 1600 * time.Millisecond
)

// health judges a target by the outcomes of its runs. It answers faults that
// the target's own reports do not show.
type health struct {
	failedJobs  []batch.ID
	lastFailure time.Time

	closed    wire.Closed
	closedFor time.Duration
	reopenAt  time.Time
	probing   bool
}

// done notes a run that completed. A probe that was slow does not open the
// target, a run that was started before it was closed says nothing.
func (h *health) done(now time.Time, slow bool) {
	switch {
	case h.closed != "":
	case h.probing && slow:
		h.close(now, wire.ClosedStalled)
	default:
		*h = health{}
	}
}

// failed notes a failed run.
func (h *health) failed(now time.Time, job batch.ID) {
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

// unwell notes a start that the target refused because it is not well.
func (h *health) unwell(now time.Time) { h.close(now, wire.ClosedFaulty) }

// stalled notes that runs make no progress.
func (h *health) stalled(now time.Time) { h.close(now, wire.ClosedStalled) }

func (h *health) close(now time.Time, reason wire.Closed) {
	if h.closed != "" {
		return
	}
	h.closedFor = min(max(minClosed, 2*h.closedFor), maxClosed)
	h.closed, h.probing = reason, false
	h.reopenAt = now.Add(h.closedFor)
	h.failedJobs = nil
}

// tick reopens the target for one run at a time when its time has passed. It
// reports whether anything changed.
func (h *health) tick(now time.Time) bool {
	if h.closed == "" || now.Before(h.reopenAt) {
		return false
	}
	h.closed, h.probing = "", true
	return true
}
