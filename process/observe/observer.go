// Package observe makes a process observable: structured logs, metrics, a
// registry of violated guarantees and an HTTP server for operators on a
// loopback address.
package observe

import (
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// reportInterval is the age that a scraped value can have. Each report walks
// all metrics, so a shorter interval costs processor time in idle processes.
const reportInterval = time.Second

// Observer bundles what a process reports about itself. It is safe for
// concurrent use.
type Observer struct {
	// Log is written to only on a change of state.
	Log zerolog.Logger
	// Metrics is the root scope. Names are the constants of this package.
	Metrics tally.Scope

	name       string
	started    time.Time
	reporter   http.Handler
	stopReport io.Closer
	violations violations
}

// timeFormat is that of log lines. Milliseconds put the lines of several
// processes about one request in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns an observer for the named process that logs to out.
func New(name string, out io.Writer) *Observer {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	o := &Observer{
		Log:     zerolog.New(zerolog.SyncWriter(out)).With().Timestamp().Str("process", name).Logger(),
		name:    name,
		started: time.Now(),
	}
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError:  o.metricRejected,
	})
	o.reporter = reporter.HTTPHandler()
	o.Metrics, o.stopReport = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return o
}

// Close stops the reporting of metrics after a last report.
func (o *Observer) Close() error { return o.stopReport.Close() }

// metricRejected is called for a metric used with two different sets of tags,
// which Prometheus does not accept. The metric is then not reported.
func (o *Observer) metricRejected(err error) {
	o.Log.Error().Err(err).Msg("metric rejected")
}
