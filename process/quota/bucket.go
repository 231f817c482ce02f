package quota

import "time"

// demandWindow is the time over which the demand of a team is measured.
const demandWindow = time.Second

// teamUsage is a team's token bucket and its measured demand at this entry.
type teamUsage struct {
	// tokens is the number of starts left; it is negative after a large job.
	tokens     float64
	refilledAt time.Time
	// requested counts the tasks requested since windowStart; demand is the rate
	// of the last full window, per second.
	windowStart time.Time
	requested   int
	demand      float64
}

// take refills the tokens at rate per second up to capacity and then spends one
// per task. It returns false if none is left.
func (t *teamUsage) take(now time.Time, rate, capacity float64, tasks int) bool {
	if elapsed := now.Sub(t.refilledAt); elapsed > 0 {
		t.tokens = min(t.tokens+rate*elapsed.Seconds(), capacity)
		t.refilledAt = now
	}
	if t.tokens <= 0 {
		return false
	}
	t.tokens -= float64(tasks)
	return true
}

// recordDemand counts tasks that callers requested, whether or not they are
// started.
func (t *teamUsage) recordDemand(now time.Time, tasks int) {
	t.advanceWindow(now)
	t.requested += tasks
}

// advanceWindow computes the demand and begins a new window if the current one
// is over.
func (t *teamUsage) advanceWindow(now time.Time) {
	elapsed := now.Sub(t.windowStart)
	if elapsed < demandWindow {
		return
	}
	t.demand = float64(t.requested) / elapsed.Seconds()
	t.requested, t.windowStart = 0, now
}

// demand returns a team's rate of requested tasks at this entry, per second.
func (s *Shares) demand(now time.Time, name string) float64 {
	t := s.teams[name]
	if t == nil {
		return 0
	}
	t.advanceWindow(now)
	return t.demand
}
