package overload

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/runqueue"
)

// process simulates a process with a share of a core. It serves its requests in the order
// of their arrival, and a pass comes after the requests that arrived before it.
type process struct {
	// passesFirst is set if a pass comes before all requests, and counted is the part of its
	// processor time that the process counts as used, or 0 for all of it.
	passesFirst bool
	counted     float64
	waits       runqueue.Totals
	guard       *Guard
	now         time.Time
	used        time.Duration
	// backlog is the processor time of the requests that have not been served.
	backlog  time.Duration
	cores    float64
	cost     time.Duration
	rejected int
	admitted int
	changes  int
}

func newProcess(known, cores float64, cost time.Duration) *process {
	return &process{guard: NewGuard(known), now: time.UnixMilli(1_000_000), cores: cores, cost: cost}
}

const (
	passInterval = 15 * time.Millisecond
	step         = time.Millisecond
)

// run offers requests at a rate per second for a while.
func (p *process) run(d time.Duration, rate float64) {
	due, turn := p.now.Add(passInterval), time.Duration(-1)
	offered := 0.0
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(step) {
		for offered += rate * step.Seconds(); offered >= 1; offered-- {
			if p.guard.Admit(p.now) {
				p.admitted++
				p.backlog += p.cost
				continue
			}
			p.rejected++
		}
		served := min(p.backlog, time.Duration(p.cores*float64(step)))
		p.backlog -= served
		p.used += served
		p.waits.Waits++
		p.waits.Waited += time.Duration(float64(p.backlog) / p.cores)
		if turn < 0 && !p.now.Before(due) {
			turn = p.used + p.backlog
			if p.passesFirst {
				turn = p.used
			}
		}
		if turn >= 0 && p.used >= turn {
			if _, changed := p.guard.Observe(Sample{Now: p.now, Used: p.countedUse(), Delay: p.now.Sub(due), Waits: p.waits}); changed {
				p.changes++
			}
			due, turn = p.now.Add(passInterval), -1
		}
	}
}

// countedUse returns the processor time that the process counts as its own.
func (p *process) countedUse() time.Duration {
	if p.counted == 0 {
		return p.used
	}
	return time.Duration(p.counted * float64(p.used))
}

// Guards against an entry that answers nothing in time because its guard does not see the
// shortage: passes are served before requests, and the machine takes more than is counted.
func TestShortageThatPassesDoNotShowIsShed(t *testing.T) {
	const cores, cost, capacity = 0.192, 500 * time.Microsecond, 0.192 / 0.0005
	for _, times := range []float64{1.2, 1.5, 2, 4} {
		p := newProcess(cores, cores, cost)
		p.passesFirst, p.counted = true, 0.6
		p.run(2*time.Second, 0.5*capacity)
		if p.rejected > 0 {
			t.Fatalf("%.1f times the load: %d requests rejected before the overload", times, p.rejected)
		}
		worst := time.Duration(0)
		before := p.used
		for range 100 {
			p.run(100*time.Millisecond, times*capacity)
			worst = max(worst, time.Duration(float64(p.backlog)/cores))
		}
		if completed := float64(p.used-before) / float64(cost) / (10 * capacity); completed < 0.9 {
			t.Errorf("%.1f times the load: completed %.2f of what the process can carry, want 0.9", times, completed)
		}
		if worst > time.Second {
			t.Errorf("%.1f times the load: up to %v behind", times, worst)
		}
		if lag := time.Duration(float64(p.backlog) / cores); lag > 150*time.Millisecond {
			t.Errorf("%.1f times the load: %v behind after 10 s", times, lag)
		}
		p.run(2*time.Second, 0.5*capacity)
		rejected := p.rejected
		p.run(3*time.Second, 0.5*capacity)
		if p.rejected > rejected {
			t.Errorf("%.1f times the load: %d rejected later than 2 s after its end", times, p.rejected-rejected)
		}
	}
}

// Guards against an entry that falls behind for long under a lasting load above what it
// can carry, or that serves much less than it can.
func TestLoadAboveTheShareIsShed(t *testing.T) {
	for _, times := range []float64{1.5, 2, 4} {
		p := newProcess(0.192, 0.192, 500*time.Microsecond)
		capacity := 0.192 / 0.0005
		p.run(2*time.Second, 0.5*capacity)
		if p.rejected > 0 {
			t.Fatalf("%.1f times the load: %d requests rejected before the overload", times, p.rejected)
		}
		p.run(3*time.Second, times*capacity)
		before := p.admitted
		p.run(10*time.Second, times*capacity)
		if share := float64(p.admitted-before) / (10 * capacity); share < 0.7 || share > 1.05 {
			t.Errorf("%.1f times the load: admitted %.2f of what the process can carry", times, share)
		}
		if lag := time.Duration(float64(p.backlog) / p.cores); lag > 150*time.Millisecond {
			t.Errorf("%.1f times the load: %v behind", times, lag)
		}
		if !p.guard.Lasting(p.now) || p.changes != 1 {
			t.Errorf("%.1f times the load: lasting %t, changes %d, expected one", times, p.guard.Lasting(p.now), p.changes)
		}
		p.run(6*time.Second, 0.5*capacity)
		rejected := p.rejected
		p.run(3*time.Second, 0.5*capacity)
		if p.rejected > rejected || p.guard.Lasting(p.now) || p.changes != 2 {
			t.Errorf("%.1f times the load: after it %d rejected, lasting %t, changes %d", times, p.rejected-rejected, p.guard.Lasting(p.now), p.changes)
		}
	}
}

// Guards against rejections by a process that is not short: one below its share, one that
// was paused once or that other work on its machine delays for moments, and one that is
// late for another reason than its requests.
func TestProcessThatIsNotShortRejectsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		cores float64
		use   float64
		delay func(pass int) time.Duration
		rate  int
	}{
		"on time at full use":    {0.192, 1, func(int) time.Duration { return 2 * time.Millisecond }, 300},
		"paused once":            {0.192, 0.5, func(n int) time.Duration { return time.Duration(n/100%2) * 0 }, 300},
		"delayed by other work":  {0.192, 0.5, func(n int) time.Duration { return time.Duration(n%4) * 20 * time.Millisecond }, 300},
		"share unknown, delayed": {0, 0, func(n int) time.Duration { return time.Duration(n%2) * 60 * time.Millisecond }, 300},
		"slices used up":         {0.192, 1, func(n int) time.Duration { return time.Duration(n%14/13) * 90 * time.Millisecond }, 300},
		"late without requests":  {0.192, 1, func(int) time.Duration { return 200 * time.Millisecond }, 2},
	} {
		g := NewGuard(test.cores)
		now, used := time.UnixMilli(1_000_000), time.Duration(0)
		for n := range 600 {
			delay := test.delay(n)
			if name == "paused once" && n == 300 {
				delay = time.Second
			}
			passed := passInterval + delay
			now = now.Add(passed)
			used += time.Duration(test.use * test.cores * float64(passed))
			g.Observe(Sample{Now: now, Used: used, Delay: delay})
			for range int(float64(test.rate) * passed.Seconds()) {
				if !g.Admit(now) {
					t.Errorf("%s: rejected at pass %d", name, n)
					break
				}
			}
		}
	}
}

// Guards against an entry that goes on rejecting after a belief that was wrong: whatever
// limit it has, it ends within a bounded time once passes are on time.
func TestWrongBeliefEndsInBoundedTime(t *testing.T) {
	g := NewGuard(0.192)
	now := time.UnixMilli(1_000_000)
	pass := func(delay time.Duration) bool {
		now = now.Add(passInterval + delay)
		v, _ := g.Observe(Sample{Now: now, Used: time.Duration(now.UnixNano()), Delay: delay})
		for range 10 {
			g.Admit(now)
		}
		return v.Limited
	}
	for range 100 {
		pass(100 * time.Millisecond)
	}
	if !pass(100 * time.Millisecond) {
		t.Fatal("no limit")
	}
	start := now
	for pass(0) {
		if now.Sub(start) > 8*time.Second {
			t.Fatalf("still limited %v after the last late pass", now.Sub(start))
		}
	}
}
