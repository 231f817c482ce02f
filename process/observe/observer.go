// Package observe provides the observability of a process: structured logs,
// metrics, a record of violated guarantees, and an HTTP server for operators.
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

// reportInterval is how old a scraped value can be. Each report visits all
// metrics, so a shorter interval costs processor time even in an idle process.
const reportInterval = time.Second

// Observer holds the logger, the metrics and the violations of one process. It is
// safe for concurrent use.
type Observer struct {
	// Log receives decisions and changes of state, no periodic messages.
	Log zerolog.Logger
	// Metrics is the root scope. The constants of this package name the metrics.
	Metrics tally.Scope

	name         string
	started      time.Time
	reporter     http.Handler
	reportCloser io.Closer
	violations   violations
	sent         kindCounters
	received     kindCounters
}

// timeFormat is the time format of log lines. It includes milliseconds so that the
// lines of several processes about one request can be sorted by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns an observer that logs to out. name identifies the process in its log
// lines and dumps.
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
	o.Metrics, o.reportCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return o
}

// Close reports the metrics one last time and stops reporting them.
func (o *Observer) Close() error { return o.reportCloser.Close() }

// metricRejected is called for a metric used with two different sets of tags,
// which Prometheus does not accept. The metric is then not reported.
func (o *Observer) metricRejected(err error) {
	o.Log.Error().Err(err).Msg("metric rejected")
}
