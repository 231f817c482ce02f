package scheduler

import "time"

// The retry budget looks back over budgetBuckets x budgetBucket = 10 s, long
// enough to smooth tasks of several seconds.
const (
	budgetBuckets = 10
	budgetBucket  = time.Second
)

// retryBudget counts recent successes and retries in one-second buckets.
type retryBudget struct {
	buckets [budgetBuckets]struct{ second, successes, retries int64 }
}

func (b *retryBudget) success(now time.Time) { b.buckets[b.at(now)].successes++ }

// take spends one retry, or reports false if the budget is used up.
func (b *retryBudget) take(now time.Time, share float64, minimum int) bool {
	at := b.at(now)
	successes, retries := b.totals(now)
	if float64(retries) >= max(float64(minimum), share*float64(successes)) {
		return false
	}
	b.buckets[at].retries++
	return true
}

func (b *retryBudget) totals(now time.Time) (successes, retries int64) {
	oldest := second(now) - budgetBuckets
	for _, bucket := range b.buckets {
		if bucket.second > oldest {
			successes += bucket.successes
			retries += bucket.retries
		}
	}
	return successes, retries
}

// at returns the index of the current bucket, emptied if it is an old one.
func (b *retryBudget) at(now time.Time) int {
	current := second(now)
	bucket := &b.buckets[current%budgetBuckets]
	if bucket.second != current {
		bucket.second, bucket.successes, bucket.retries = current, 0, 0
	}
	return int(current % budgetBuckets)
}

func second(now time.Time) int64 { return now.UnixNano() / int64(budgetBucket) }

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
