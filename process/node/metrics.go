package node

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/connection/intake"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/runner"
)

// responseBuckets are the upper bounds of the response time histogram: 18 buckets
// from 4 ms to 3.9 s, each 1.5 times the one before.
var responseBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 1.5, 18)

// cumulativeCounter exports a total that is counted elsewhere: each update adds the
// increase since the last one to the metric.
type cumulativeCounter struct {
	counter  tally.Counter
	reported uint64
}

func (c *cumulativeCounter) update(total uint64) {
	if total > c.reported {
		c.counter.Inc(int64(total - c.reported))
		c.reported = total
	}
}

// entryMetrics exports the metrics of an entry process.
type entryMetrics struct {
	entry        *Entry
	scope        tally.Scope
	responseTime tally.Histogram
	activeJobs   tally.Gauge
	durableJobs  tally.Gauge
	// snapshotRecords is updated, and logUnread set, until the log of durable jobs has
	// been read to its end.
	snapshotRecords tally.Gauge
	logUnread       *observe.Condition
	routingVersion  tally.Gauge
	zonesEvacuated  tally.Gauge
	totals          map[string]*cumulativeCounter
	clients         *observe.IntakeMonitor
	// taken counts the submissions of other entries that were carried out here.
	taken tally.Counter
	// responses holds the tally.Counter of each HTTP status, because a lookup by tags
	// allocates memory for each response.
	responses sync.Map
}

func newEntryMetrics(o *observe.Observer, e *Entry) *entryMetrics {
	m := &entryMetrics{entry: e, scope: o.Metrics, responseTime: o.Metrics.Histogram(observe.ResponseSeconds, responseBuckets),
		activeJobs: o.Metrics.Gauge(observe.JobsActive), durableJobs: o.Metrics.Gauge(observe.DurableJobsHere),
		snapshotRecords: o.Metrics.Gauge(observe.DurableSnapshotRecords), logUnread: o.Condition("durable_log_unread"), routingVersion: o.Metrics.Gauge(observe.RoutingVersion),
		zonesEvacuated: o.Metrics.Gauge(observe.ZonesEvacuated), totals: make(map[string]*cumulativeCounter),
		clients: o.IntakeMonitor(e.intake), taken: o.Metrics.Counter(observe.SubmissionsTaken)}
	return m
}

// countResponse counts a response to a caller and records its duration.
func (m *entryMetrics) countResponse(status int, took time.Duration) {
	m.responseCounter(status).Inc(1)
	m.responseTime.RecordDuration(took)
}

// responseCounter returns the counter of the responses with an HTTP status.
func (m *entryMetrics) responseCounter(status int) tally.Counter {
	if counter, known := m.responses.Load(status); known {
		return counter.(tally.Counter)
	}
	counter := m.scope.Tagged(map[string]string{observe.TagStatus: strconv.Itoa(status)}).Counter(observe.CallerResponses)
	m.responses.Store(status, counter)
	return counter
}

// report updates the metrics until the context ends.
func (m *entryMetrics) report(ctx context.Context) error {
	return runEvery(ctx, reportInterval, func() {
		m.activeJobs.Update(float64(m.entry.ActiveJobs()))
		if table := m.entry.RoutingTable(); table != nil {
			m.routingVersion.Update(float64(table.Version))
		}
		m.zonesEvacuated.Update(float64(len(m.entry.Evacuation().Zones)))
		m.countJobs(m.entry.Counts())
		m.countWork()
		m.countDurableJobs(m.entry.keeper.Counts())
		m.durableJobs.Update(float64(m.entry.keeper.OwnedJobs()))
		m.reportCatchUp()
		m.entry.ticks.report()
		m.clients.Report()
	})
}

var errLogUnread = errors.New("the log of durable jobs has not been read to its end; no job can be accepted before")

func (m *entryMetrics) reportCatchUp() {
	done, records := m.entry.keeper.CatchUp()
	m.snapshotRecords.Update(float64(records))
	if done {
		m.logUnread.End()
		return
	}
	m.logUnread.Begin(errors.Wrapf(errLogUnread, "%d records read", records))
}

func (m *entryMetrics) countWork() {
	for w := observe.Work(0); w < observe.WorkKinds; w++ {
		m.add(observe.WorkMilliseconds, observe.TagWork, w.String(), uint64(m.entry.work.Spent(w).Milliseconds()))
	}
}

func (m *entryMetrics) countDurableJobs(n keeper.Counts) {
	m.add(observe.DurableSubmissions, observe.TagOutcome, string(keeper.Accepted), n.Accepted)
	m.add(observe.DurableSubmissions, observe.TagOutcome, string(keeper.NotAccepted), n.NotAccepted)
	m.add(observe.DurableSubmissions, observe.TagOutcome, string(keeper.Undecided), n.Undecided)
	m.add(observe.DurableCallsForwarded, "", "", n.Forwarded)
	m.add(observe.DurableJobsTakenOver, "", "", n.TakenOver)
}

func (m *entryMetrics) countJobs(n dispatch.Counts) {
	m.add(observe.JobsSubmitted, "", "", n.Submitted)
	m.add(observe.JobsEnded, observe.TagCode, "completed", n.Completed)
	m.add(observe.JobsEnded, observe.TagCode, "failed", n.Failed)
	m.add(observe.JobsEnded, observe.TagCode, "not_run", n.NotRun)
	m.add(observe.JobsEnded, observe.TagCode, "gave_up", n.GaveUp)
	m.add(observe.JobsEnded, observe.TagCode, "left", n.CallersLeft)
	m.add(observe.RunsOrdered, "", "", n.RunsOrdered)
	m.add(observe.RunsTurnedBack, observe.TagReason, "full", n.RefusedFull)
	m.add(observe.RunsTurnedBack, observe.TagReason, "other", n.RefusedOther)
	m.add(observe.RunsLost, "", "", n.RunsLost)
	m.add(observe.RunsWithheld, "", "", n.RunsWithheld)
	m.add(observe.Stragglers, "", "", n.Stragglers)
	m.add(observe.RestartsPaid, "", "", n.RestartsPaid)
	m.add(observe.LocalWaits, observe.TagOutcome, "begun", n.LocalWaits)
	m.add(observe.LocalWaits, observe.TagOutcome, "met", n.LocalWaitsMet)
}

// add reports a total of the entry, see reportTotal.
func (m *entryMetrics) add(name, tag, value string, count uint64) {
	reportTotal(m.scope, m.totals, name, tag, value, count)
}

// reportTotal sets a counter, with the given tag unless tag is empty, to a count that
// started with the process. totals holds the counters that exist already.
func reportTotal(scope tally.Scope, totals map[string]*cumulativeCounter, name, tag, value string, count uint64) {
	key := name + "/" + value
	if totals[key] == nil {
		if tag != "" {
			scope = scope.Tagged(map[string]string{tag: value})
		}
		totals[key] = &cumulativeCounter{counter: scope.Counter(name)}
	}
	totals[key].update(count)
}

// agentMetrics exports the metrics of an agent process.
type agentMetrics struct {
	core     *runner.Core
	ticks    *tickMonitor
	scope    tally.Scope
	runsHeld tally.Gauge
	totals   map[string]*cumulativeCounter
	clients  *observe.IntakeMonitor
}

func newAgentMetrics(o *observe.Observer, core *runner.Core, ticks *tickMonitor, in *intake.Intake) *agentMetrics {
	return &agentMetrics{core: core, ticks: ticks, clients: o.IntakeMonitor(in), scope: o.Metrics, runsHeld: o.Metrics.Gauge(observe.RunsHeld), totals: make(map[string]*cumulativeCounter)}
}

// report updates the metrics until the context ends.
func (m *agentMetrics) report(ctx context.Context) error {
	return runEvery(ctx, reportInterval, func() {
		dump := m.core.Dump()
		m.runsHeld.Update(float64(dump.Runs))
		reportTotal(m.scope, m.totals, observe.RunsStarted, "", "", dump.Counters.Started)
		for end, count := range dump.Counters.Ended {
			reportTotal(m.scope, m.totals, observe.RunsEnded, observe.TagOutcome, string(end), count)
		}
		for reason, count := range dump.Counters.Refused {
			reportTotal(m.scope, m.totals, observe.RunsTurnedBack, observe.TagReason, string(reason), count)
		}
		m.ticks.report()
		m.clients.Report()
	})
}
