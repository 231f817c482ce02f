package dispatch

import "time"

// Weights of a new run in the moving averages of its queue and its node.
const (
	queueWeight = 0.02
	nodeWeight  = 0.1
)

// durationStats measures how long tasks take on each instance, relative to the
// others. The estimates of callers are inaccurate, so the ratio of duration to
// estimate is compared with the usual ratio of the same queue.
type durationStats struct {
	// queueRatios is the usual ratio of duration to estimate by queue.
	queueRatios map[string]float64
	// nodeSlowness is the ratio on an instance relative to the usual one.
	nodeSlowness map[string]float64
}

// record adds the duration of a completed run.
func (s *durationStats) record(t *task, node string, ran time.Duration) {
	estimate := t.job.Job.Steps[t.step].Estimate
	if estimate <= 0 || ran <= 0 {
		return
	}
	if s.queueRatios == nil {
		s.queueRatios, s.nodeSlowness = make(map[string]float64), make(map[string]float64)
	}
	ratio := float64(ran) / float64(estimate)
	usual, known := s.queueRatios[t.job.Queue]
	if !known {
		usual = ratio
	}
	s.queueRatios[t.job.Queue] = usual + queueWeight*(ratio-usual)
	s.nodeSlowness[node] = s.slowness(node) + nodeWeight*(ratio/usual-s.slowness(node))
}

// expectedDuration returns the expected duration of a task of the group at the target,
// counted from its order. It is zero if the caller gave no estimate.
func (p *pool) expectedDuration(g group, t *target) time.Duration {
	estimate := g.job.Job.Steps[g.step].Estimate
	return time.Duration(float64(estimate) * p.durations.slowness(t.node))
}

// slowness returns the duration of a task on an instance, relative to the usual
// one. It is 1 for an instance without a completed run.
func (s *durationStats) slowness(node string) float64 {
	if ratio, known := s.nodeSlowness[node]; known {
		return ratio
	}
	return 1
}
