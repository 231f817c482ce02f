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
	// stateEjected is the state of an ejected target in scheduler.Dump.
	stateEjected = "ejected"
)

// reportMetrics updates the metrics that are derived from the state of Core.
func (d *Daemon) reportMetrics(ctx context.Context) error {
	last := metricsState{ejected: make(map[string]string)}
	clients := d.observer.IntakeMonitor(d.intake)
	for ctx.Err() == nil {
		clients.Report()
		last = d.updateMetrics(last)
		sleep(ctx, metricsInterval)
	}
	return ctx.Err()
}

// metricsState holds the counters of Core and the ejected targets at one
// report.
type metricsState struct {
	strayAnswers uint64
	dispatched   map[string]uint64
	retried      map[string]uint64
	// ejected maps the agent name of each ejected target to its service.
	ejected map[string]string
}

func (d *Daemon) updateMetrics(last metricsState) metricsState {
	m := d.observer.Metrics
	current := metricsState{strayAnswers: d.core.counters.strayAnswers.Load(),
		dispatched: make(map[string]uint64), retried: make(map[string]uint64), ejected: make(map[string]string)}
	m.Counter(observe.AnswersUnmatched).Inc(int64(current.strayAnswers - last.strayAnswers))
	m.Gauge(observe.JobsHeld).Update(float64(d.core.jobsHeld()))
	m.Gauge(observe.ConfigOffset).Update(float64(d.core.peers.configOffset()))
	outstanding := d.core.outstandingByService()
	for _, svc := range d.core.allServices() {
		tagged := m.Tagged(map[string]string{observe.TagService: svc.name})
		current.dispatched[svc.name], current.retried[svc.name] = svc.dispatched.Load(), svc.retried.Load()
		tagged.Counter(observe.TasksDispatched).Inc(int64(current.dispatched[svc.name] - last.dispatched[svc.name]))
		tagged.Counter(observe.TasksRetried).Inc(int64(current.retried[svc.name] - last.retried[svc.name]))
		tagged.Gauge(observe.TasksOutstanding).Update(float64(outstanding[svc.name]))
		queued, ejected := svc.queuedAndEjected(time.Now())
		for _, name := range ejected {
			current.ejected[name] = svc.name
		}
		tagged.Gauge(observe.TasksQueued).Update(float64(queued))
		tagged.Gauge(observe.TargetsEjected).Update(float64(len(ejected)))
	}
	d.logEjections(last.ejected, current.ejected)
	d.reportCertificate()
	d.mu.Lock()
	connections, faults := len(d.agents)+len(d.entries), len(d.faults)
	d.mu.Unlock()
	m.Gauge(observe.Connections).Update(float64(connections))
	m.Gauge(observe.ConfigFaults).Update(float64(faults))
	return current
}

// logEjections logs which targets were ejected or readmitted since the last
// report. An ejection that ends between two reports is not logged.
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

// reportCertificate reports the state of the own certificate. It also loads a
// replaced certificate, without waiting for a new connection.
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

// queuedAndEjected returns the number of queued tasks and the names of the
// ejected targets.
func (s *service) queuedAndEjected(now time.Time) (queued int, ejected []string) {
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
