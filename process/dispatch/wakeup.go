package dispatch

import (
	"sync/atomic"
	"time"
)

const (
	// startGrace is how long a process that starts, or runs again after it was
	// stopped, takes jobs before it has heard of a target. Agents find an entry
	// within this time.
	startGrace = time.Second
	// stoppedGap is the time without a tick after which a process was stopped.
	stoppedGap = 500 * time.Millisecond
	// settleTime is how long a process that was stopped orders nothing. By then
	// it has read which of its callers have left and may be served elsewhere.
	settleTime = 60 * time.Millisecond
)

// wakeup knows since when the process has been running without a break. What it
// believed before a break says nothing about the targets. It is safe for
// concurrent use.
type wakeup struct {
	noted atomic.Int64
	since atomic.Int64
	// resumed is when the process last ran again after it was stopped.
	resumed atomic.Int64
}

func (w *wakeup) start(now time.Time) {
	w.noted.Store(now.UnixNano())
	w.since.Store(now.UnixNano())
}

// note states that the process runs.
func (w *wakeup) note(now time.Time) {
	before := w.noted.Swap(now.UnixNano())
	if now.UnixNano()-before > int64(stoppedGap) {
		w.since.Store(now.UnixNano())
		w.resumed.Store(now.UnixNano())
	}
}

// settling reports whether the process has just run again after it was stopped.
func (w *wakeup) settling(now time.Time) bool {
	return now.UnixNano()-w.resumed.Load() < int64(settleTime)
}

// recent reports whether the process has been running for a short time only.
func (w *wakeup) recent(now time.Time) bool {
	return now.UnixNano()-w.since.Load() <= int64(startGrace)
}
