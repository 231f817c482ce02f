package entry

import (
	"context"
	"maps"
	"slices"
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
	before := totals{ejected: make(map[string]string)}
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
	// ejected are the ejected targets: names of services by name of the agent.
	ejected map[string]string
}

func (d *Daemon) reportOnce(before totals) totals {
	m := d.observer.Metrics
	now := totals{stray: d.core.counters.strayAnswers.Load(),
		dispatched: make(map[string]uint64), retried: make(map[string]uint64), ejected: make(map[string]string)}
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
		queued, ejected := svc.load(time.Now())
		for _, name := range ejected {
			now.ejected[name] = svc.name
		}
		tagged.Gauge(observe.TasksQueued).Update(float64(queued))
		tagged.Gauge(observe.TargetsEjected).Update(float64(len(ejected)))
	}
	d.logEjections(before.ejected, now.ejected)
	d.reportCertificate()
	d.mu.Lock()
	connections, faults := len(d.agents)+len(d.entries), len(d.faults)
	d.mu.Unlock()
	m.Gauge(observe.Connections).Update(float64(connections))
	m.Gauge(observe.ConfigFaults).Update(float64(faults))
	return now
}

// logEjections logs what changed since the last report. An ejection that ends
// between two reports is not logged.
func (d *Daemon) logEjections(before, now map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if _, known := before[name]; !known {
			d.observer.Log.Warn().Str("step", "ejection").Str("peer", name).Str("service", now[name]).Msg("target ejected")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, still := now[name]; !still {
			d.observer.Log.Info().Str("step", "ejection").Str("peer", name).Str("service", before[name]).Msg("target no longer ejected")
		}
	}
}

// reportCertificate also reads a replaced certificate, without a new connection.
func (d *Daemon) reportCertificate() {
	own, err := d.identity.TLS().GetClientCertificate(nil)
	if err == nil && own.Leaf != nil {
		d.certificate.Report(time.Now(), own.Leaf, d.identity.ReloadError())
	}
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

// load returns the tasks that wait and the names of the ejected targets.
func (s *service) load(now time.Time) (queued int, ejected []string) {
	s.mu.Lock()
	dump := s.scheduler.Dump(now)
	s.mu.Unlock()
	for _, target := range dump.Targets {
		if target.State == stateEjected {
			ejected = append(ejected, target.Name)
		}
	}
	return dump.WaitingUrgent + dump.WaitingBatch, ejected
}
