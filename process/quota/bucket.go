package quota

import "time"

// demandWindow is the time over which the demand of a team is measured.
const demandWindow = time.Second

// team is the use of one quota at this entry.
type team struct {
	// tokens is the number of starts left; it is negative after a large job.
	tokens float64
	filled time.Time
	// wanted counts the tasks since windowStart; demand is the rate of the last
	// full window, per second.
	windowStart time.Time
	wanted      int
	demand      float64
}

// take spends tokens, which fill up to capacity at rate per second.
func (t *team) take(now time.Time, rate, capacity float64, tasks int) bool {
	if elapsed := now.Sub(t.filled); elapsed > 0 {
		t.tokens = min(t.tokens+rate*elapsed.Seconds(), capacity)
		t.filled = now
	}
	if t.tokens <= 0 {
		return false
	}
	t.tokens -= float64(tasks)
	return true
}

// want counts tasks that callers asked for, started or not.
func (t *team) want(now time.Time, tasks int) {
	t.roll(now)
	t.wanted += tasks
}

func (t *team) roll(now time.Time) {
	elapsed := now.Sub(t.windowStart)
	if elapsed < demandWindow {
		return
	}
	t.demand = float64(t.wanted) / elapsed.Seconds()
	t.wanted, t.windowStart = 0, now
}

func (s *Shares) demand(now time.Time, name string) float64 {
	t := s.teams[name]
	if t == nil {
		return 0
	}
	t.roll(now)
	return t.demand
}
