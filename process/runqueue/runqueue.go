// Package runqueue measures how long the goroutines of this process wait for a processor.
// The wait grows as soon as the process gets less processor time than its work needs,
// whatever takes the rest: its own share of the machine, or other processes.
package runqueue

import (
	"math"
	"runtime/metrics"
	"sync"
	"time"
)

// latencies is the histogram of the times that goroutines have spent in a state in which
// they could run before they ran. The runtime samples one in eight.
const latencies = "/sched/latencies:seconds"

// Totals are sums over the sampled waits since the process started.
type Totals struct {
	Waits  uint64
	Waited time.Duration
}

// MeanSince returns the mean wait between earlier totals and these, or 0 if there was none.
func (t Totals) MeanSince(earlier Totals) time.Duration {
	if t.Waits <= earlier.Waits {
		return 0
	}
	return (t.Waited - earlier.Waited) / time.Duration(t.Waits-earlier.Waits)
}

// Meter reads the totals. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	samples []metrics.Sample
}

// NewMeter returns a meter of this process.
func NewMeter() *Meter { return &Meter{samples: []metrics.Sample{{Name: latencies}}} }

// Read returns the totals. They are zero if the runtime has no such histogram.
func (m *Meter) Read() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics.Read(m.samples)
	if m.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return Totals{}
	}
	return sum(m.samples[0].Value.Float64Histogram())
}

// sum adds up a histogram of seconds. Each wait counts as the middle of its bucket.
func sum(h *metrics.Float64Histogram) Totals {
	var t Totals
	var seconds float64
	for i, count := range h.Counts {
		t.Waits += count
		seconds += float64(count) * middle(h.Buckets[i], h.Buckets[i+1])
	}
	t.Waited = time.Duration(seconds * float64(time.Second))
	return t
}

// middle returns the middle of a bucket, or its finite bound if the other is infinite.
func middle(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return max(high, 0)
	case math.IsInf(high, 1):
		return low
	}
	return (low + high) / 2
}
