package placement

import (
	"math"
	"time"
)

// estimate is a decaying average of samples that starts at a prior of zero. The prior
// counts as much as a number of samples, so that few samples move it little.
type estimate struct {
	// value is the average including the prior, weight the number of samples in it.
	value, weight float64
	at            time.Time
}

// limits are the parameters of an estimate.
type limits struct {
	// prior is the weight of the prior in samples, cap the highest weight of all samples:
	// a new one counts for at least 1 / (cap + prior).
	prior, cap float64
	// halfLife is the time after which a sample counts half.
	halfLife time.Duration
}

// age reduces the weight of the samples by the time that has passed.
func (e *estimate) age(now time.Time, l limits) {
	if e.weight > 0 && now.After(e.at) {
		e.reduce(e.weight*math.Exp2(-float64(now.Sub(e.at))/float64(l.halfLife)), l)
	}
	e.at = now
}

// reduce sets a lower weight, which moves the value towards the prior.
func (e *estimate) reduce(weight float64, l limits) {
	if weight >= e.weight {
		return
	}
	e.value *= weight / (weight + l.prior) * (e.weight + l.prior) / e.weight
	e.weight = weight
}

// add adds a sample, given as its difference from the value.
func (e *estimate) add(difference float64, l limits) {
	e.weight = min(e.weight+1, l.cap)
	e.value += difference / (e.weight + l.prior)
}

// clip bounds the magnitude of a value.
func clip(value, limit float64) float64 { return max(-limit, min(value, limit)) }

// exp returns the exponential, for small arguments by a series with an error below 0.0004:
// it is computed for each target at each placement.
func exp(x float64) float64 {
	if x > -0.3 && x < 0.3 {
		return 1 + x*(1+x/2*(1+x/3))
	}
	return math.Exp(x)
}
