package runqueue

import (
	"math"
	"runtime"
	"runtime/metrics"
	"sync"
	"testing"
	"time"
)

// Guards against a histogram whose open buckets or empty parts distort the mean.
func TestMeanOfAHistogram(t *testing.T) {
	h := &metrics.Float64Histogram{Buckets: []float64{math.Inf(-1), 0, 0.002, 0.004, math.Inf(1)}, Counts: []uint64{0, 2, 0, 0}}
	before := sum(h)
	if got := before.MeanSince(Totals{}); got != time.Millisecond {
		t.Errorf("mean of the second bucket is %v, want 1ms", got)
	}
	h.Counts = []uint64{1, 2, 1, 2}
	if got, want := sum(h).MeanSince(before), (3+4+4)*time.Millisecond/4; got != want {
		t.Errorf("mean of the waits since is %v, want %v", got, want)
	}
	if got := before.MeanSince(before); got != 0 {
		t.Errorf("mean without a wait is %v, want 0", got)
	}
}

// Guards against a runtime that no longer has the histogram: the overload of a process would
// go unnoticed.
func TestWaitsOfBusyGoroutinesAreSeen(t *testing.T) {
	m := NewMeter()
	before := m.Read()
	var pending sync.WaitGroup
	for range 64 * runtime.GOMAXPROCS(0) {
		pending.Go(func() {
			for end := time.Now().Add(2 * time.Millisecond); time.Now().Before(end); {
			}
		})
	}
	pending.Wait()
	if got := m.Read().MeanSince(before); got < 5*time.Millisecond {
		t.Errorf("64 goroutines of 2 ms for each processor wait %v on average, want 5ms or more", got)
	}
}
