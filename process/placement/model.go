// Package placement predicts how long a task takes at a target. It learns from the
// durations of completed runs: the usual ratio of duration to estimate of each request
// class, the speed of each target, how a class differs from that at a target, and the
// effect of contention. It has no side effects and reads no clock.
package placement

import (
	"math"
	"time"
)

// Parameters of Model. Durations are compared by the logarithm of their ratio to the
// estimate of the caller.
var (
	// classLimits: callers' estimates count as right before the first sample.
	classLimits = limits{prior: 1, cap: 100, halfLife: time.Minute}
	// meanLimits: the mean estimate of a class has no prior.
	meanLimits = limits{cap: 100, halfLife: time.Minute}
	// speedLimits: with estimates that are off by 40 %, the average of 24 samples has an
	// error of 5 %.
	speedLimits = limits{prior: 3, cap: 24, halfLife: 20 * time.Second}
	// deviationLimits: a class has few samples at one target, and their error counts fully.
	deviationLimits = limits{prior: 12, cap: 24, halfLife: 20 * time.Second}
	// coldLimits apply while a target is cold: eight samples are enough to follow its speed.
	coldLimits = limits{prior: 2, cap: 8, halfLife: 3 * time.Second}
)

const (
	// classClip bounds what one sample counts for the usual duration of a class. It is
	// wide, because estimates may be wrong by a constant factor.
	classClip = 2.0
	// speedClip bounds what one sample counts for the speed of a target. A straggler of
	// seven times the duration then counts for 1.65 times, so that 3 % of them change
	// the speed by 1.5 %.
	speedClip = 0.5
	// shiftSamples consecutive samples that are clipped on the same side show that the speed
	// has changed. Three stragglers of 3 % follow each other once in 37,000 tasks.
	shiftSamples = 3
	// shiftedWeight is the weight that earlier samples keep then.
	shiftedWeight = 3.0
	// coldPeriod is how long a target counts as cold after a start or after being taken
	// back into service.
	coldPeriod = 3 * time.Second
	// coldSlowness is the slowness assumed of a cold target without samples, so that it is
	// used last. At 0.3 of the capacity, 1.3 started 0.30 runs for each job at targets that
	// were three times slower although others had room; 2 started 0.04.
	coldSlowness = 2.0
	// refreshInterval is how long the speed of a target without new samples is used
	// before its age is taken into account.
	refreshInterval = 200 * time.Millisecond
	// disregardPrior is the sum of squares of the deviations of estimates that trust in them
	// counts for. Estimates that are off by 40 % reach it with 30 samples.
	disregardPrior = 2.0
	// disregardRetention is the share of the earlier samples that remains with each new one.
	disregardRetention = 0.999
	// maxClasses bounds the classes with a model of their own. The others share one.
	maxClasses = 64
	// forgetAfter is how long the model of a target without samples is kept. After that it
	// has no more effect.
	forgetAfter = 10 * time.Minute
)

// Model holds what is known of the durations at the targets of one service. The zero
// value is ready for use. It is not safe for concurrent use.
type Model struct {
	classes    map[string]*Class
	targets    map[string]*Target
	contention contention
	startedAt  time.Time
	prunedAt   time.Time
}

// Class is the model of a request class.
type Class struct {
	index int
	// usual is the logarithm of the ratio of duration to estimate for the mean estimate.
	usual estimate
	// disregard is how little the estimates of callers tell within the class: 0 if
	// durations follow them, 1 if they are only inexact and all tasks alike.
	disregard float64
	squares   float64
	// meanEstimate is the mean logarithm of the estimates.
	meanEstimate estimate
}

// deviationOf returns the difference of an estimate, in logarithms, from the usual one of
// the class.
func (c *Class) deviationOf(estimated time.Duration) float64 {
	if c.meanEstimate.weight == 0 || estimated <= 0 {
		return 0
	}
	return math.Log(float64(estimated)) - c.meanEstimate.value
}

// learn adds a sample: the logarithm of a duration relative to what was expected, and the
// deviation of its estimate.
func (c *Class) learn(difference, deviation float64, estimated time.Duration) {
	c.meanEstimate.add(math.Log(float64(estimated))-c.meanEstimate.value, meanLimits)
	c.squares = c.squares*disregardRetention + deviation*deviation
	c.disregard -= clip(difference, speedClip) * deviation / (c.squares + disregardPrior)
	c.disregard = max(0, min(c.disregard, 1))
	c.usual.add(clip(difference, classClip), classLimits)
}

// Incarnation identifies one process of a target.
type Incarnation struct {
	ID string
	// StartTime changes with each restart. It is zero if it is not known.
	StartTime int64
}

// replaces reports whether the incarnation is known to be another process.
func (i Incarnation) replaces(other Incarnation) bool {
	return i.ID != other.ID || i.StartTime != other.StartTime && i.StartTime != 0 && other.StartTime != 0
}

// Target is the model of a target.
type Target struct {
	incarnation Incarnation
	seenAt      time.Time
	coldUntil   time.Time
	speed       estimate
	// byClass holds the difference of each class from the speed.
	byClass []estimate
	load    meanLoad
	// clipped counts the last consecutive samples that were clipped; it is negative for
	// those that were faster than expected.
	clipped int
	// factor is the slowness without regard to class and contention, as of factorAt.
	factor   float64
	factorAt time.Time
}

// Class returns the model of a request class.
func (m *Model) Class(name string) *Class {
	if c := m.classes[name]; c != nil {
		return c
	}
	if len(m.classes) >= maxClasses {
		name = ""
		if c := m.classes[name]; c != nil {
			return c
		}
	}
	if m.classes == nil {
		m.classes = make(map[string]*Class)
	}
	c := &Class{index: len(m.classes)}
	m.classes[name] = c
	return c
}

// Target returns the model of the target of a node. What was learned of another
// incarnation there is forgotten, and the new one counts as cold. So does a target that
// this model has not known before, unless the model is new as well.
func (m *Model) Target(now time.Time, node string, incarnation Incarnation) *Target {
	if m.startedAt.IsZero() {
		m.startedAt, m.targets = now, make(map[string]*Target)
	}
	t := m.targets[node]
	if t == nil {
		m.prune(now)
		t = &Target{incarnation: incarnation}
		m.targets[node] = t
		if now.Sub(m.startedAt) > coldPeriod {
			t.Reset(now)
		}
	}
	t.seenAt = now
	if incarnation.replaces(t.incarnation) {
		t.Reset(now)
	}
	t.incarnation = incarnation
	return t
}

// prune removes the targets that have not been seen for forgetAfter.
func (m *Model) prune(now time.Time) {
	if now.Sub(m.prunedAt) < forgetAfter {
		return
	}
	m.prunedAt = now
	for node, t := range m.targets {
		if now.Sub(t.seenAt) > forgetAfter {
			delete(m.targets, node)
		}
	}
}

// Reset forgets what was learned of a target that has started or has been taken back
// into service. It counts as cold for a while.
func (t *Target) Reset(now time.Time) {
	t.speed, t.byClass, t.clipped = estimate{}, nil, 0
	t.coldUntil, t.factorAt = now.Add(coldPeriod), time.Time{}
}

// limits returns the parameters of the speed of a target.
func (t *Target) limits(now time.Time) limits {
	if now.Before(t.coldUntil) {
		return coldLimits
	}
	return speedLimits
}

// coldness returns the logarithm of the slowness that is assumed because the target is
// cold. Samples replace the assumption.
func (t *Target) coldness(now time.Time) float64 {
	if !now.Before(t.coldUntil) {
		return 0
	}
	left := float64(t.coldUntil.Sub(now)) / float64(coldPeriod)
	return math.Log(coldSlowness) * left * coldLimits.prior / (coldLimits.prior + t.speed.weight)
}

// Slowness returns the duration of tasks at a target relative to the usual one, without
// regard to class and contention. It is 1 for a target without samples.
func (m *Model) Slowness(now time.Time, t *Target) float64 {
	if t.factorAt.IsZero() || now.Sub(t.factorAt) >= refreshInterval {
		t.refresh(now)
	}
	return t.factor
}

func (t *Target) refresh(now time.Time) {
	t.seenAt = now
	t.speed.age(now, t.limits(now))
	t.factor, t.factorAt = math.Exp(t.speed.value+t.coldness(now)), now
}

// deviation returns the difference of a class from the speed of the target.
func (t *Target) deviation(c *Class) float64 {
	if c.index >= len(t.byClass) {
		return 0
	}
	return t.byClass[c.index].value
}

// Ratio returns the expected duration of a task at a target relative to that at a usual one.
// load is the share of the target that is in use, the task included.
func (m *Model) Ratio(now time.Time, c *Class, t *Target, load float64) float64 {
	return m.Slowness(now, t) * exp(t.deviation(c)+m.contention.at(load))
}

// Usual returns the expected duration of a task at a usual target without load. It is
// zero if the caller gave no estimate.
func (c *Class) Usual(estimated time.Duration) time.Duration {
	return time.Duration(float64(estimated) * math.Exp(c.usual.value-c.disregard*c.deviationOf(estimated)))
}

// Record adds the duration of a completed run. load is the share of the target that was in
// use when it started. Runs without an estimate are ignored.
func (m *Model) Record(now time.Time, c *Class, t *Target, estimated, took time.Duration, load float64) {
	if estimated <= 0 || took <= 0 {
		return
	}
	l := t.limits(now)
	c.usual.age(now, classLimits)
	t.speed.age(now, l)
	deviation := t.deviationOf(c)
	deviation.age(now, deviationLimits)
	ofEstimate := c.deviationOf(estimated)
	usual := c.usual.value - c.disregard*ofEstimate
	difference := math.Log(float64(took)/float64(estimated)) - usual - t.speed.value - deviation.value - m.contention.at(load)
	clipped := clip(difference, speedClip)
	t.noteClipped(difference, clipped)
	t.speed.add(clipped, l)
	if !now.Before(t.coldUntil) {
		// The samples of cold targets say nothing of the class or of contention.
		c.learn(difference, ofEstimate, estimated)
		deviation.add(clipped, deviationLimits)
		m.contention.add(clipped, t.load.distance(load))
	}
	t.refresh(now)
}

// deviationOf returns the estimate of a class at the target.
func (t *Target) deviationOf(c *Class) *estimate {
	for c.index >= len(t.byClass) {
		t.byClass = append(t.byClass, estimate{})
	}
	return &t.byClass[c.index]
}

// noteClipped gives earlier samples little weight once several in a row were clipped on
// the same side.
func (t *Target) noteClipped(difference, clipped float64) {
	switch {
	case difference == clipped:
		t.clipped = 0
		return
	case difference > 0:
		t.clipped = max(t.clipped, 0) + 1
	default:
		t.clipped = min(t.clipped, 0) - 1
	}
	if max(t.clipped, -t.clipped) >= shiftSamples {
		// The value is kept: the direction of the change is known, the prior is not nearer.
		t.speed.weight = min(t.speed.weight, shiftedWeight)
	}
}
