package node

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/runner"
)

// responseBuckets are the buckets of response times.
var responseBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 1.5, 18)

// total reports the increase of a counter that a core keeps.
type total struct {
	counter tally.Counter
	before  uint64
}

func (t *total) set(value uint64) {
	if value > t.before {
		t.counter.Inc(int64(value - t.before))
		t.before = value
	}
}

type entryMetrics struct {
	entry   *Entry
	scope   tally.Scope
	latency tally.Histogram
	active  tally.Gauge
	durable tally.Gauge
	version tally.Gauge
	totals  map[string]*total
}

func newEntryMetrics(o *observe.Observer, e *Entry) *entryMetrics {
	m := &entryMetrics{entry: e, scope: o.Metrics, latency: o.Metrics.Histogram(observe.ResponseSeconds, responseBuckets),
		active: o.Metrics.Gauge(observe.JobsActive), durable: o.Metrics.Gauge(observe.DurableHere), version: o.Metrics.Gauge(observe.RoutingVersion), totals: make(map[string]*total)}
	return m
}

func (m *entryMetrics) answered(status int, took time.Duration) {
	m.scope.Tagged(map[string]string{observe.TagStatus: strconv.Itoa(status)}).Counter(observe.CallerResponses).Inc(1)
	m.latency.RecordDuration(took)
}

func (m *entryMetrics) report(ctx context.Context) error {
	return every(ctx, reportInterval, func() {
		m.active.Update(float64(m.entry.ActiveJobs()))
		if table := m.entry.Table(); table != nil {
			m.version.Update(float64(table.Version))
		}
		m.count(m.entry.Counts())
		m.countDurable(m.entry.keeper.Counts())
		m.durable.Update(float64(m.entry.keeper.Open()))
	})
}

func (m *entryMetrics) countDurable(n keeper.Counts) {
	m.add(observe.DurableSubmissions, observe.TagOutcome, string(keeper.Accepted), n.Accepted)
	m.add(observe.DurableSubmissions, observe.TagOutcome, string(keeper.NotAccepted), n.NotAccepted)
	m.add(observe.DurableSubmissions, observe.TagOutcome, string(keeper.Undecided), n.Undecided)
	m.add(observe.DurableForwarded, "", "", n.Forwarded)
	m.add(observe.DurableTakenOver, "", "", n.TakenOver)
}

func (m *entryMetrics) count(n dispatch.Counts) {
	m.add(observe.JobsSubmitted, "", "", n.Submitted)
	m.add(observe.JobsEnded, observe.TagCode, "completed", n.Completed)
	m.add(observe.JobsEnded, observe.TagCode, "failed", n.Failed)
	m.add(observe.JobsEnded, observe.TagCode, "not_run", n.NotRun)
	m.add(observe.JobsEnded, observe.TagCode, "gave_up", n.GaveUp)
	m.add(observe.JobsEnded, observe.TagCode, "left", n.Left)
	m.add(observe.RunsOrdered, "", "", n.Ordered)
	m.add(observe.RunsTurnedBack, observe.TagReason, "full", n.TurnedBack)
	m.add(observe.RunsTurnedBack, observe.TagReason, "other", n.Refused)
	m.add(observe.RunsLost, "", "", n.RunsLost)
}

func (m *entryMetrics) add(name, tag, value string, count uint64) {
	addTotal(m.scope, m.totals, name, tag, value, count)
}

// addTotal reports a count that has been kept since the start of the process.
func addTotal(scope tally.Scope, totals map[string]*total, name, tag, value string, count uint64) {
	key := name + "/" + value
	if totals[key] == nil {
		if tag != "" {
			scope = scope.Tagged(map[string]string{tag: value})
		}
		totals[key] = &total{counter: scope.Counter(name)}
	}
	totals[key].set(count)
}

type agentMetrics struct {
	core   *runner.Core
	scope  tally.Scope
	held   tally.Gauge
	totals map[string]*total
}

func newAgentMetrics(o *observe.Observer, core *runner.Core) *agentMetrics {
	return &agentMetrics{core: core, scope: o.Metrics, held: o.Metrics.Gauge(observe.RunsHeld), totals: make(map[string]*total)}
}

func (m *agentMetrics) report(ctx context.Context) error {
	return every(ctx, reportInterval, func() {
		dump := m.core.Dump()
		m.held.Update(float64(dump.Runs))
		addTotal(m.scope, m.totals, observe.RunsStarted, "", "", dump.Counters.Started)
		for end, count := range dump.Counters.Ended {
			addTotal(m.scope, m.totals, observe.RunsEnded, observe.TagOutcome, string(end), count)
		}
		for reason, count := range dump.Counters.Refused {
			addTotal(m.scope, m.totals, observe.RunsTurnedBack, observe.TagReason, string(reason), count)
		}
	})
}
