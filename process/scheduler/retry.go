package scheduler

import "time"

// Recent events are counted in windowBuckets buckets. Successes and retries look
// back over 10 s, long enough to smooth tasks of several seconds; batch starts
// over a minute, so that a burst of urgent work does not count as overload.
const (
	windowBuckets    = 10
	budgetBucket     = time.Second
	batchStartBucket = 6 * time.Second
)

// window counts the events of the last windowBuckets x bucket.
type window struct {
	bucket  time.Duration
	buckets [windowBuckets]struct{ number, count int64 }
}

func (w *window) span() time.Duration { return windowBuckets * w.bucket }

func (w *window) add(now time.Time) {
	current := w.number(now)
	b := &w.buckets[current%windowBuckets]
	if b.number != current {
		b.number, b.count = current, 0
	}
	b.count++
}

func (w *window) total(now time.Time) int64 {
	oldest, sum := w.number(now)-windowBuckets, int64(0)
	for _, b := range w.buckets {
		if b.number > oldest {
			sum += b.count
		}
	}
	return sum
}

func (w *window) number(now time.Time) int64 { return now.UnixNano() / int64(w.bucket) }

// retryBudget bounds retries by recent successes.
type retryBudget struct{ successes, retries window }

// take spends one retry, or reports false if the budget is used up.
func (b *retryBudget) take(now time.Time, share float64, minimum int) bool {
	if b.left(now, share, minimum) <= 0 {
		return false
	}
	b.retries.add(now)
	return true
}

// left returns how many retries may be spent now.
func (b *retryBudget) left(now time.Time, share float64, minimum int) float64 {
	allowed := max(float64(minimum), share*float64(b.successes.total(now)))
	return allowed - float64(b.retries.total(now))
}

// averageWeight gives the last 50 values about two thirds of the weight.
const averageWeight = 50

// average is an exponentially weighted mean.
type average struct {
	value time.Duration
	known bool
}

func (a *average) add(d time.Duration) {
	if !a.known {
		a.value, a.known = d, true
		return
	}
	a.value += (d - a.value) / averageWeight
}
