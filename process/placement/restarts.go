package placement

import "time"

// Parameters of Restarts.
const (
	// minPayShare is the share of restarted tasks that must take the usual time. A restart
	// loses some 140 ms. It saves 880 ms of a straggler of usually 170 ms, so that it pays
	// from one in seven on, and 220 ms of one of usually 60 ms: two in five.
	minPayShare = 0.35
	// restartPrior is the share assumed without samples.
	restartPrior = 0.6
)

// restartLimits: three restarts in vain end them, for about a minute.
var restartLimits = limits{prior: 4, cap: 40, halfLife: time.Minute}

// Restarts learns whether a task that was a straggler takes the usual time when it is
// started again elsewhere, or is slow by nature. The zero value is ready for use.
type Restarts struct {
	// paid is the share of tasks that took the usual time, less restartPrior.
	paid estimate
}

// Record adds a task that has ended after a restart.
func (r *Restarts) Record(now time.Time, usual bool) {
	r.paid.age(now, restartLimits)
	sample := 0.0
	if usual {
		sample = 1
	}
	r.paid.add(sample-restartPrior-r.paid.value, restartLimits)
}

// Pay reports whether stragglers are to be restarted.
func (r *Restarts) Pay(now time.Time) bool {
	r.paid.age(now, restartLimits)
	return restartPrior+r.paid.value >= minPayShare
}
