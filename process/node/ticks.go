package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/runqueue"
)

// maxTickDelay is the delay of a pass above which the process counts as short of
// processor time. Tasks are ordered and sessions renewed that much too late.
const maxTickDelay = 50 * time.Millisecond

// maxMeanWait is the mean wait of goroutines for a processor above which it does. A request
// waits several times on its way.
const maxMeanWait = 10 * time.Millisecond

var errProcessorShort = errors.New("the process lacks processor time or was paused")

// tickMonitor measures how late the passes of a process are.
type tickMonitor struct {
	delay     tally.Gauge
	wait      tally.Gauge
	condition *observe.Condition
	// observe, if set, is called with the time and the delay of each pass.
	observe func(now time.Time, delay time.Duration)
	// longest is the longest delay since the last report, in nanoseconds.
	longest atomic.Int64
	// meter reads the waits of goroutines, of which reported are those of earlier reports.
	// Only report uses them.
	meter    *runqueue.Meter
	reported runqueue.Totals
}

func newTickMonitor(o *observe.Observer) *tickMonitor {
	return &tickMonitor{delay: o.Metrics.Gauge(observe.TickLateSeconds), wait: o.Metrics.Gauge(observe.GoroutineWaitSeconds),
		condition: o.Condition("processor_short"), meter: runqueue.NewMeter()}
}

// run calls tick until the context ends, at every tickInterval while busy reports that
// there is something to wait for, otherwise at every idleTickInterval.
func (t *tickMonitor) run(ctx context.Context, tick func(), busy func() bool) error {
	interval := tickInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for due := clock.Now().Add(interval); ; due = clock.Now().Add(interval) {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		now := clock.Now()
		t.noteDelay(now.Sub(due))
		if t.observe != nil {
			t.observe(now, now.Sub(due))
		}
		tick()
		interval = idleTickInterval
		if busy() {
			interval = tickInterval
		}
		timer.Reset(interval)
	}
}

// noteDelay records that a pass was late.
func (t *tickMonitor) noteDelay(delay time.Duration) {
	for {
		longest := t.longest.Load()
		if int64(delay) <= longest || t.longest.CompareAndSwap(longest, int64(delay)) {
			return
		}
	}
}

// report exports the longest delay and the mean wait since the last call.
func (t *tickMonitor) report() {
	longest, totals := time.Duration(t.longest.Swap(0)), t.meter.Read()
	wait := totals.MeanSince(t.reported)
	t.reported = totals
	t.delay.Update(longest.Seconds())
	t.wait.Update(wait.Seconds())
	if longest > maxTickDelay || wait > maxMeanWait {
		t.condition.Begin(errors.Wrapf(errProcessorShort, "passes up to %d ms late, goroutines wait %d us on average", longest.Milliseconds(), wait.Microseconds()))
		return
	}
	t.condition.End()
}
