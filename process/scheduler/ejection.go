package scheduler

import (
	"math"
	"time"
)

type healthState uint8

const (
	healthy healthState = iota
	ejected
	readmitting
)

// sampleDecay is the weight that older answers keep with each new one; about
// the last 20 answers count.
const sampleDecay = 0.95

// ejectMargin is how far the failed share of a target must exceed the mean of
// the other targets. Work that fails everywhere is no fault of a target.
// ejectDeviations is the least margin in standard deviations of the difference,
// so that no target is ejected by chance after few answers.
const (
	ejectMargin     = 0.3
	ejectDeviations = 3.5
)

// sampleSlack allows for the decay of the first few answers.
const sampleSlack = 0.9

// health judges a target by the share of failed answers among recent ones.
type health struct {
	state           healthState
	samples, failed float64
	// capped marks an ejected target that stays in use as a last resort because
	// the limit of its availability zone is reached.
	capped bool
	// probeAt is when an ejected target may get its next probe.
	probeAt time.Time
	backoff time.Duration
	// step is how many tasks a target may run while it is readmitted.
	step, stepOK int
}

func (h *health) allowance(now time.Time) int {
	switch h.state {
	case ejected:
		switch {
		case h.capped:
			return math.MaxInt
		case now.Before(h.probeAt):
			return 0
		}
		return 1
	case readmitting:
		return h.step
	}
	return math.MaxInt
}

func (h *health) record(ok bool) {
	h.samples = h.samples*sampleDecay + 1
	h.failed *= sampleDecay
	if !ok {
		h.failed++
	}
}

func (h *health) clear() { h.samples, h.failed = 0, 0 }

// lastResort reports whether other targets go first: the target is ejected in
// all but capacity, and no probe is due.
func (t *target) lastResort(now time.Time) bool {
	h := &t.health
	return h.state == ejected && h.capped && (now.Before(h.probeAt) || len(t.running) > 0)
}

// judge takes one answer of a target into account.
func (s *Scheduler) judge(now time.Time, t *target, ok bool) {
	h := &t.health
	h.record(ok)
	switch h.state {
	case ejected:
		s.judgeProbe(now, t, ok)
	case readmitting:
		s.judgeStep(now, t, ok)
	default:
		if s.isBad(t) {
			s.eject(now, t, s.settings.ProbeAfter)
		}
	}
}

// isBad compares the failed share of a target with the limit and with that of
// the other targets in use.
func (s *Scheduler) isBad(t *target) bool {
	h := &t.health
	if h.samples < float64(s.settings.EjectSamples)*sampleSlack || h.failed < s.settings.EjectShare*h.samples {
		return false
	}
	share, mean := h.failed/h.samples, s.failedShareBeside(t)
	deviation := math.Sqrt((share*(1-share) + mean*(1-mean)) / h.samples)
	return share >= mean+max(ejectMargin, ejectDeviations*deviation)
}

// failedShareBeside estimates the failed share of all targets but one. One
// failure and one success are added, so that few answers prove little; a target
// that fails at once is still judged before the first task elsewhere ends.
func (s *Scheduler) failedShareBeside(t *target) float64 {
	failed, samples := 1.0, 2.0
	for _, other := range s.order {
		if other != t {
			failed += other.health.failed
			samples += other.health.samples
		}
	}
	return failed / samples
}

// eject stops using a target but for probes.
func (s *Scheduler) eject(now time.Time, t *target, backoff time.Duration) {
	t.health.capped = !s.mayEject(t)
	t.health.state = ejected
	t.health.backoff = min(backoff, s.settings.ProbeMax)
	t.health.probeAt = now.Add(t.health.backoff)
	t.health.clear()
}

// mayEject applies the limit per availability zone. Targets that are dead or
// gone are not counted.
func (s *Scheduler) mayEject(t *target) bool {
	live, out := 0, 0
	for _, other := range s.order {
		if other.Zone != t.Zone {
			continue
		}
		live++
		if other != t && other.health.state != healthy && !other.health.capped {
			out++
		}
	}
	return len(s.order) > 1 && out < max(1, int(s.settings.EjectZoneCap*float64(live)))
}

func (s *Scheduler) judgeProbe(now time.Time, t *target, ok bool) {
	if now.Before(t.health.probeAt) {
		return // The answer is to a task sent before the ejection.
	}
	if !ok {
		s.eject(now, t, 2*t.health.backoff)
		return
	}
	t.health.state, t.health.capped = readmitting, false
	t.health.step, t.health.stepOK = 2, 0
}

// judgeStep doubles the allowance after as many successes as the step allows.
func (s *Scheduler) judgeStep(now time.Time, t *target, ok bool) {
	h := &t.health
	if !ok {
		s.eject(now, t, 2*h.backoff)
		return
	}
	h.stepOK++
	if h.stepOK < h.step {
		return
	}
	h.step, h.stepOK = 2*h.step, 0
	if h.step >= t.Slots {
		h.state, h.backoff = healthy, 0
		h.clear()
	}
}
