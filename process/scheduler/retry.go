package scheduler

import "time"

// Recent events are counted in windowBuckets buckets. The window for successes
// and retries is 10 s, long enough to smooth tasks of several seconds. The
// window for batch starts is a minute, so that a burst of urgent work does not
// count as overload.
const (
	windowBuckets         = 10
	retryBucketWidth      = time.Second
	batchStartBucketWidth = 6 * time.Second
)

// slidingWindow counts the events of the last windowBuckets buckets.
type slidingWindow struct {
	bucketWidth time.Duration
	buckets     [windowBuckets]struct{ number, count int64 }
}

func (w *slidingWindow) span() time.Duration { return windowBuckets * w.bucketWidth }

func (w *slidingWindow) add(now time.Time) {
	current := w.bucketNumber(now)
	b := &w.buckets[current%windowBuckets]
	if b.number != current {
		b.number, b.count = current, 0
	}
	b.count++
}

func (w *slidingWindow) total(now time.Time) int64 {
	oldest, sum := w.bucketNumber(now)-windowBuckets, int64(0)
	for _, b := range w.buckets {
		if b.number > oldest {
			sum += b.count
		}
	}
	return sum
}

func (w *slidingWindow) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(w.bucketWidth)
}

// retryBudget limits retries to a share of the recent successes.
type retryBudget struct{ successes, retries slidingWindow }

// take spends one retry, or reports false if the budget is used up.
func (b *retryBudget) take(now time.Time, share float64, minimum int) bool {
	if b.remaining(now, share, minimum) <= 0 {
		return false
	}
	b.retries.add(now)
	return true
}

// remaining returns how many retries may be made now.
func (b *retryBudget) remaining(now time.Time, share float64, minimum int) float64 {
	allowed := max(float64(minimum), share*float64(b.successes.total(now)))
	return allowed - float64(b.retries.total(now))
}

// averageWeight is the inverse of the weight of a new value. The last 50 values
// make up about two thirds of the mean.
const averageWeight = 50

// movingAverage is an exponentially weighted mean.
type movingAverage struct {
	value time.Duration
	known bool
}

func (a *movingAverage) add(d time.Duration) {
	if !a.known {
		a.value, a.known = d, true
		return
	}
	a.value += (d - a.value) / averageWeight
}
