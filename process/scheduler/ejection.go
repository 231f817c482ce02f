package scheduler

import (
	"math"
	"time"
)

// healthState is the ejection state of a target.
type healthState uint8

const (
	healthy healthState = iota
	ejected
	readmitting
)

// outcomeDecay is the factor by which each new outcome reduces the weight of the
// older ones. About the last 20 outcomes count.
const outcomeDecay = 0.95

const (
	// minFailureMargin is how far the failure share of a target must exceed the
	// mean of the other targets. Tasks that fail on every target are no reason
	// to eject one.
	minFailureMargin = 0.3
	// minDeviations is the smallest margin in standard deviations of the
	// difference, so that no target is ejected by chance after few outcomes.
	minDeviations = 3.5
)

// sampleTolerance reduces the required weight of the samples, because the first
// few outcomes have already decayed when the required number is reached.
const sampleTolerance = 0.9

// health is the ejection state of a target, derived from the share of failures
// among its recent outcomes.
type health struct {
	state healthState
	// samples and failures are decayed counts of the outcomes and of the
	// failures among them.
	samples, failures float64
	// overZoneLimit marks an ejected target that stays in use as a last resort,
	// because the limit of ejected targets in its availability zone is reached.
	overZoneLimit bool
	// probeAt is the time from which an ejected target may be sent its next
	// probe.
	probeAt      time.Time
	probeBackoff time.Duration
	// readmitLimit is how many tasks a target may run while it is readmitted,
	// and stepSuccesses counts the successes since the limit last changed.
	readmitLimit, stepSuccesses int
}

// runningLimit returns how many of this entry's tasks may run at the target.
func (h *health) runningLimit(now time.Time) int {
	switch h.state {
	case ejected:
		switch {
		case h.overZoneLimit:
			return math.MaxInt
		case now.Before(h.probeAt):
			return 0
		}
		return 1
	case readmitting:
		return h.readmitLimit
	}
	return math.MaxInt
}

func (h *health) recordOutcome(ok bool) {
	h.samples = h.samples*outcomeDecay + 1
	h.failures *= outcomeDecay
	if !ok {
		h.failures++
	}
}

func (h *health) resetOutcomes() { h.samples, h.failures = 0, 0 }

// isLastResort reports whether other targets are preferred: the target would be
// ejected without the limit of its zone, and no probe is due.
func (t *target) isLastResort(now time.Time) bool {
	h := &t.health
	return h.state == ejected && h.overZoneLimit && (now.Before(h.probeAt) || len(t.running) > 0)
}

// handleOutcome records a success or failure of a target and updates its
// ejection state.
func (s *Scheduler) handleOutcome(now time.Time, t *target, ok bool) {
	h := &t.health
	h.recordOutcome(ok)
	switch h.state {
	case ejected:
		s.handleProbeOutcome(now, t, ok)
	case readmitting:
		s.handleReadmissionOutcome(now, t, ok)
	default:
		if s.shouldEject(t) {
			s.eject(now, t, s.settings.ProbeAfter)
		}
	}
}

// shouldEject reports whether a target has enough recent outcomes and a failure
// share that reaches the limit in the settings and exceeds the share of the other
// targets by the required margin.
func (s *Scheduler) shouldEject(t *target) bool {
	h := &t.health
	if h.samples < float64(s.settings.EjectSamples)*sampleTolerance || h.failures < s.settings.EjectShare*h.samples {
		return false
	}
	share, mean := h.failures/h.samples, s.meanFailureShareOfOthers(t)
	deviation := math.Sqrt((share*(1-share) + mean*(1-mean)) / h.samples)
	return share >= mean+max(minFailureMargin, minDeviations*deviation)
}

// meanFailureShareOfOthers estimates the failure share of all targets but t. One
// failure and one success are added, so that a few outcomes change the estimate
// little. A target that fails at once can thereby be ejected before the first
// task on another target ends.
func (s *Scheduler) meanFailureShareOfOthers(t *target) float64 {
	failed, samples := 1.0, 2.0
	for _, other := range s.liveTargets {
		if other != t {
			failed += other.health.failures
			samples += other.health.samples
		}
	}
	return failed / samples
}

// eject excludes a target from all work but probes, or makes it a last resort if
// the limit of its zone is reached.
func (s *Scheduler) eject(now time.Time, t *target, backoff time.Duration) {
	t.health.overZoneLimit = !s.mayEject(t)
	t.health.state = ejected
	t.health.probeBackoff = min(backoff, s.settings.ProbeMax)
	t.health.probeAt = now.Add(t.health.probeBackoff)
	t.health.resetOutcomes()
}

// mayEject reports whether the limit per availability zone allows one more
// ejection. Targets that are being readmitted count as ejected; targets that are
// dead or have left are not counted.
func (s *Scheduler) mayEject(t *target) bool {
	live, unhealthyOthers := 0, 0
	for _, other := range s.liveTargets {
		if other.Zone != t.Zone {
			continue
		}
		live++
		if other != t && other.health.state != healthy && !other.health.overZoneLimit {
			unhealthyOthers++
		}
	}
	return len(s.liveTargets) > 1 && unhealthyOthers < max(1, int(s.settings.EjectZoneCap*float64(live)))
}

// handleProbeOutcome starts the readmission after a successful probe and doubles
// the time to the next probe after a failed one.
func (s *Scheduler) handleProbeOutcome(now time.Time, t *target, ok bool) {
	if now.Before(t.health.probeAt) {
		return // The answer is to a task sent before the ejection.
	}
	if !ok {
		s.eject(now, t, 2*t.health.probeBackoff)
		return
	}
	t.health.state, t.health.overZoneLimit = readmitting, false
	t.health.readmitLimit, t.health.stepSuccesses = 2, 0
}

// handleReadmissionOutcome doubles the limit of running tasks after as many
// successes as the limit. The target is healthy once the limit reaches its
// slots; a failure ejects it again.
func (s *Scheduler) handleReadmissionOutcome(now time.Time, t *target, ok bool) {
	h := &t.health
	if !ok {
		s.eject(now, t, 2*h.probeBackoff)
		return
	}
	h.stepSuccesses++
	if h.stepSuccesses < h.readmitLimit {
		return
	}
	h.readmitLimit, h.stepSuccesses = 2*h.readmitLimit, 0
	if h.readmitLimit >= t.Slots {
		h.state, h.probeBackoff = healthy, 0
		h.resetOutcomes()
	}
}
