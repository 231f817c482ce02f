package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

const (
	// startupGrace is the time after a start or a pause of the process during
	// which it admits jobs without contact with an agent. Agents find an entry
	// within this time.
	startupGrace = time.Second
	// firstAgentWait is the time after a start of the process during which it admits the jobs
	// of a service of which no agent has enrolled yet. After a restart of all processes an
	// agent enrolls within this time: it starts, its target answers, and the leases of the
	// runs of an earlier agent end (at most 1.1 s).
	firstAgentWait = 5 * time.Second
	// minPause is the time without activity above which the process is taken to
	// have been paused.
	minPause = 500 * time.Millisecond
	// resumeDelay is the time after a pause in which no tasks are assigned. By then
	// the process has read which of its callers have left and may be served by
	// another entry.
	resumeDelay = 60 * time.Millisecond
	// maxTickGap is the time between two calls of Tick above which the process lacks
	// processor time, catchUpDelay how long it may take to read what has arrived
	// meanwhile.
	maxTickGap   = 150 * time.Millisecond
	catchUpDelay = 300 * time.Millisecond
	// maxCatchUp bounds the additional silence that is tolerated because of that.
	maxCatchUp = time.Second
)

// pauseDetector detects that the process was paused and did not run for a while.
// What it received before a pause is no evidence of the present state of the
// targets. It is safe for concurrent use.
type pauseDetector struct {
	// startedAt is when the process started.
	startedAt time.Time
	// lastActive is when activity was last recorded. All three integers are in
	// nanoseconds of Unix time.
	lastActive atomic.Int64
	// runningSince is when the process started or last resumed.
	runningSince atomic.Int64
	// resumedAt is when the process last resumed, or 0.
	resumedAt atomic.Int64
	// lastTick is when Tick was last called, catchesUpUntil when the process has
	// certainly read what arrived while it was not. Only Tick uses both.
	lastTick, catchesUpUntil time.Time
}

func (d *pauseDetector) start(now time.Time) {
	d.lastActive.Store(now.UnixNano())
	d.runningSince.Store(now.UnixNano())
	d.lastTick, d.startedAt = now, now
}

// recordTick records a call of Tick.
func (d *pauseDetector) recordTick(now time.Time) {
	if now.Sub(d.lastTick) > maxTickGap {
		d.catchesUpUntil = now.Add(catchUpDelay)
	}
	d.lastTick = now
}

// toleratedSilence returns the time without a message after which an agent is taken to be
// silent. Messages of agents may wait to be read while the process lacks processor time.
func (d *pauseDetector) toleratedSilence(now time.Time) time.Duration {
	if now.Before(d.catchesUpUntil) {
		return wire.RunsLostAfter + maxCatchUp
	}
	return wire.RunsLostAfter
}

// recordActivity records that the process runs now, and that it was paused if the
// time since the last call exceeds minPause.
func (d *pauseDetector) recordActivity(now time.Time) {
	previous := d.lastActive.Swap(now.UnixNano())
	if now.UnixNano()-previous > int64(minPause) {
		d.runningSince.Store(now.UnixNano())
		d.resumedAt.Store(now.UnixNano())
	}
}

// justResumed reports whether the process resumed less than resumeDelay ago.
func (d *pauseDetector) justResumed(now time.Time) bool {
	return now.UnixNano()-d.resumedAt.Load() < int64(resumeDelay)
}

// recentlyStarted reports whether the process started or resumed at most
// startupGrace ago.
func (d *pauseDetector) recentlyStarted(now time.Time) bool {
	return now.UnixNano()-d.runningSince.Load() <= int64(startupGrace)
}
