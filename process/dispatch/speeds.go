package dispatch

import "time"

// Weights of new observations in the learned averages.
const (
	queueWeight = 0.02
	nodeWeight  = 0.1
)

// speeds learns how long tasks take on each instance, relative to the others.
// Estimates of callers are far off, so tasks are compared with the usual ratio
// of duration to estimate in their queue.
type speeds struct {
	queues map[string]float64
	nodes  map[string]float64
}

// note takes the duration of a completed run.
func (s *speeds) note(t *task, node string, ran time.Duration) {
	estimate := t.job.Job.Steps[t.step].Estimate
	if estimate <= 0 || ran <= 0 {
		return
	}
	if s.queues == nil {
		s.queues, s.nodes = make(map[string]float64), make(map[string]float64)
	}
	ratio := float64(ran) / float64(estimate)
	usual, known := s.queues[t.job.Queue]
	if !known {
		usual = ratio
	}
	s.queues[t.job.Queue] = usual + queueWeight*(ratio-usual)
	s.nodes[node] = s.of(node) + nodeWeight*(ratio/usual-s.of(node))
}

// of returns the duration of a task on an instance, relative to the usual one.
func (s *speeds) of(node string) float64 {
	if ratio, known := s.nodes[node]; known {
		return ratio
	}
	return 1
}
