package entry

import (
	"context"
	"time"

	"github.com/azurerouter/azurerouter/process/observe"
)

const (
	metricsInterval = time.Second
	// stateEjected is the state of an ejected target in a scheduler's dump.
	stateEjected = "ejected"
)

// report keeps the metrics that are read from the state of Core.
func (d *Daemon) report(ctx context.Context) error {
	var before totals
	for ctx.Err() == nil {
		before = d.reportOnce(before)
		sleep(ctx, metricsInterval)
	}
	return ctx.Err()
}

// totals are the counters of Core at the last report.
type totals struct {
	stray      uint64
	dispatched map[string]uint64
	retried    map[string]uint64
}

func (d *Daemon) reportOnce(before totals) totals {
	m := d.observer.Metrics
	now := totals{stray: d.core.counters.strayAnswers.Load(),
		dispatched: make(map[string]uint64), retried: make(map[string]uint64)}
	m.Counter(observe.AnswersUnmatched).Inc(int64(now.stray - before.stray))
	m.Gauge(observe.JobsHeld).Update(float64(d.core.jobsHeld()))
	m.Gauge(observe.ConfigOffset).Update(float64(d.core.peers.configOffset()))
	outstanding := d.core.outstandingByService()
	for _, svc := range d.core.allServices() {
		tagged := m.Tagged(map[string]string{observe.TagService: svc.name})
		now.dispatched[svc.name], now.retried[svc.name] = svc.dispatched.Load(), svc.retried.Load()
		tagged.Counter(observe.TasksDispatched).Inc(int64(now.dispatched[svc.name] - before.dispatched[svc.name]))
		tagged.Counter(observe.TasksRetried).Inc(int64(now.retried[svc.name] - before.retried[svc.name]))
		tagged.Gauge(observe.TasksOutstanding).Update(float64(outstanding[svc.name]))
		queued, ejected := svc.load()
		tagged.Gauge(observe.TasksQueued).Update(float64(queued))
		tagged.Gauge(observe.TargetsEjected).Update(float64(ejected))
	}
	d.mu.Lock()
	connections, faults := len(d.agents)+len(d.entries), len(d.faults)
	d.mu.Unlock()
	m.Gauge(observe.Connections).Update(float64(connections))
	m.Gauge(observe.ConfigFaults).Update(float64(faults))
	return now
}

func (c *Core) jobsHeld() int {
	total := 0
	for i := range c.shards {
		c.shards[i].mu.Lock()
		total += len(c.shards[i].jobs)
		c.shards[i].mu.Unlock()
	}
	return total
}

func (c *Core) outstandingByService() map[string]int {
	outstanding := make(map[string]int)
	for _, link := range c.allAgents() {
		link.mu.Lock()
		outstanding[link.hello.Service] += len(link.outstanding)
		link.mu.Unlock()
	}
	return outstanding
}

// load returns the tasks that wait and the targets that are ejected.
func (s *service) load() (queued, ejected int) {
	s.mu.Lock()
	dump := s.scheduler.Dump()
	s.mu.Unlock()
	for _, target := range dump.Targets {
		if target.State == stateEjected {
			ejected++
		}
	}
	return dump.WaitingUrgent + dump.WaitingBatch, ejected
}
