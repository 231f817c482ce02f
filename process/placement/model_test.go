package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const estimated = 200 * time.Millisecond

// site is a model with one class that learns from tasks of which 3 % take seven times as
// long, with estimates that are off by 40 %.
type site struct {
	model  Model
	now    time.Time
	random *rand.Rand
}

func newSite() *site {
	return &site{now: time.UnixMilli(1_000_000), random: rand.New(rand.NewPCG(1, 2))}
}

func (s *site) target(name string) *Target {
	return s.model.Target(s.now, name, Incarnation{"t-" + name, 1})
}

// run records tasks of a class, one each 20 ms.
func (s *site) run(t *Target, class string, slowness float64, tasks int) {
	for range tasks {
		s.now = s.now.Add(20 * time.Millisecond)
		ratio := slowness / (0.6 + 0.8*s.random.Float64())
		if s.random.Float64() < 0.03 {
			ratio *= 7
		}
		s.model.Record(s.now, s.model.Class(class), t, estimated, time.Duration(ratio*float64(estimated)), 0.5)
	}
}

// relative returns the expected duration of a class at a target relative to another one.
func (s *site) relative(class string, t, other *Target) float64 {
	c := s.model.Class(class)
	return s.model.Ratio(s.now, c, t, 0.5) / s.model.Ratio(s.now, c, other, 0.5)
}

func expectNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s: %.3f, want %.3f within %.0f %%", what, got, want, 100*tolerance)
	}
}

// Guards against a speed that is not learned through inexact estimates and stragglers, one
// that is remembered for a target that has not been used for long, and one that does not
// follow a change.
func TestSpeedOfTargets(t *testing.T) {
	s := newSite()
	slow, fast, unused := s.target("slow"), s.target("fast"), s.target("unused")
	for range 20 {
		s.run(slow, "line", 1/0.55, 10)
		s.run(fast, "line", 1/1.2, 10)
	}
	expectNear(t, "slow to fast", s.relative("line", slow, fast), 1.2/0.55, 0.25)
	expectNear(t, "a target without samples", s.model.Slowness(s.now, unused), 1, 0.01)
	s.run(slow, "line", 8/0.55, 12)
	if got := s.relative("line", slow, fast); got < 2*1.2/0.55 {
		t.Errorf("12 tasks after a target has turned eight times slower: %.2f", got)
	}
	s.now = s.now.Add(10 * time.Minute)
	expectNear(t, "after ten minutes without samples", s.model.Slowness(s.now, fast), 1, 0.02)
}

// Guards against a class that does badly at one target and spoils the speed for the others,
// and against estimates of one class that are wrong by a factor.
func TestClassesAreKeptApart(t *testing.T) {
	s := newSite()
	a, b := s.target("a"), s.target("b")
	for range 60 {
		s.run(a, "check", 4, 3)
		s.run(b, "check", 2, 3)
		s.run(a, "line", 1, 3)
		s.run(b, "line", 1, 3)
	}
	expectNear(t, "ratio of the class with wrong estimates", float64(s.model.Class("check").Usual(estimated))*s.model.Ratio(s.now, s.model.Class("check"), b, 0.5)/float64(estimated), 2, 0.35)
	if check, line := s.relative("check", a, b), s.relative("line", a, b); check < 1.25*line || line > 1.4 {
		t.Errorf("a to b: check %.2f, line %.2f", check, line)
	}
}

// Guards against estimates that are believed although the tasks of the class are all alike,
// and against estimates that are ignored although durations follow them.
func TestEstimatesWithinAClass(t *testing.T) {
	for _, test := range []struct {
		name    string
		follows float64
		want    float64
	}{{"all alike", 0, 1}, {"as estimated", 1, 1.4}} {
		s := newSite()
		target, c := s.target("a"), s.model.Class("line")
		for range 400 {
			s.now = s.now.Add(20 * time.Millisecond)
			inexact := 0.6 + 0.8*s.random.Float64()
			took := float64(estimated) * math.Pow(inexact, test.follows)
			s.model.Record(s.now, c, target, time.Duration(inexact*float64(estimated)), time.Duration(took), 0.5)
		}
		got := c.Usual(time.Duration(1.4*float64(estimated))).Seconds() * s.model.Slowness(s.now, target)
		expectNear(t, test.name, got, test.want*estimated.Seconds(), 0.15)
	}
}

// Guards against a busy target that is taken for a slow one.
func TestContentionIsKeptApart(t *testing.T) {
	s := newSite()
	busy, idle := s.target("busy"), s.target("idle")
	c := s.model.Class("line")
	for i := range 3000 {
		s.now = s.now.Add(10 * time.Millisecond)
		target, load := busy, 0.5+0.5*s.random.Float64()
		if i%2 == 0 {
			target, load = idle, 0.6*s.random.Float64()
		}
		ratio := math.Exp(0.6*load) / (0.6 + 0.8*s.random.Float64())
		s.model.Record(s.now, c, target, estimated, time.Duration(ratio*float64(estimated)), load)
	}
	expectNear(t, "full to empty", s.model.Ratio(s.now, c, idle, 1)/s.model.Ratio(s.now, c, idle, 0), math.Exp(0.6), 0.2)
	expectNear(t, "busy to idle at the same load", s.relative("line", busy, idle), 1, 0.15)
}

// Guards against a rush to a target that has just started and against a cold speed that is
// remembered once the target is warm.
func TestColdTargets(t *testing.T) {
	s := newSite()
	a, b := s.target("a"), s.target("b")
	for range 20 {
		s.run(a, "line", 1, 10)
		s.run(b, "line", 1, 10)
	}
	a = s.model.Target(s.now, "a", Incarnation{"t-a", 2})
	if got := s.relative("line", a, b); got < 1.15 {
		t.Errorf("a target that has just started counts as %.2f", got)
	}
	s.run(a, "line", 3, 20)
	if got := s.relative("line", a, b); got < 1.8 {
		t.Errorf("after 20 cold tasks %.2f", got)
	}
	s.now = s.now.Add(coldPeriod)
	s.run(a, "line", 1, 25)
	if got := s.relative("line", a, b); got > 1.25 {
		t.Errorf("after 25 warm tasks %.2f", got)
	}
}
