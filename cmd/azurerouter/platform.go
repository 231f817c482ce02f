package main

import (
	"io"
	"math"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/intake"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/platform"
	"github.com/azurerouter/azurerouter/process/node"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/runner"
)

// Bounds of the log and the memory of a process on the platform.
const (
	logQueueLines            = 4096
	logLinesPerSecond        = 1000
	routineLogLinesPerSecond = 400
	logCloseTimeout          = 200 * time.Millisecond
	// stopAllowance is the time in which an agent stops the runs of an entry whose session
	// has ended.
	stopAllowance = 200 * time.Millisecond
	// entryGCPercent trades memory for processor time: the heap of an entry is small, so
	// that collections are frequent while it is busy.
	entryGCPercent = 300
	agentGCPercent = 100
)

// platformProcess holds what the entry and the agent on the platform have in common.
type platformProcess struct {
	settings    platform.Settings
	observer    *observe.Observer
	decisions   *observe.Decisions
	log         *observe.NonBlockingWriter
	metricsAddr string
}

// goMaxProcs is the environment variable with the number of threads that run Go code.
const goMaxProcs = "GOMAXPROCS"

// limitThreads lets no more threads run Go code than the process has cores, unless the
// environment says how many. By default the runtime uses every processor of the machine:
// threads without work then look for some and wake each other, at the cost of the share.
// Nothing changes if the number of cores is not known.
func limitThreads(cores float64) {
	if cores <= 0 || os.Getenv(goMaxProcs) != "" {
		return
	}
	runtime.GOMAXPROCS(min(int(math.Ceil(cores)), runtime.GOMAXPROCS(0)))
}

// startPlatform reads the settings of the platform, sets the memory limit, the garbage
// collection percentage and the number of threads, and opens the log.
func startPlatform(metrics string, gcPercent int, stdout io.Writer) (*platformProcess, error) {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return nil, errors.Newf("%s is not set, expected the path of the settings file", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(intake.RuntimeMemoryShare * float64(settings.MemoryLimit)))
	debug.SetGCPercent(gcPercent)
	limitThreads(settings.Cores)
	log := observe.NewNonBlockingWriter(stdout, logQueueLines)
	observer := observe.New(settings.Node, log)
	log.CountDroppedIn(observer.Metrics.Counter(observe.LogLinesDropped))
	p := &platformProcess{settings: settings, observer: observer, decisions: observer.Decisions(logLinesPerSecond, routineLogLinesPerSecond),
		log: log, metricsAddr: metrics}
	observer.Log.Info().Str("step", "start").Str("zone", settings.Zone).Str("settings", path).Msg("process starts")
	if settings.ResendAfter <= wire.SessionTTL+stopAllowance {
		observer.Log.Warn().Str("step", "start").Int64("resend_after_ms", settings.ResendAfter.Milliseconds()).
			Msg("callers resend jobs before the runs of a lost entry have stopped")
	}
	return p, nil
}

// reload reads the settings again after SIGHUP and logs the result. The settings in use
// are unchanged: addresses and identity of a process do not change while it runs.
func (p *platformProcess) reload() {
	_, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	p.observer.Log.Info().Err(err).Str("step", "reload").Msg("settings file read again, settings in use are unchanged")
}

// signalHooks ignores a repeated SIGTERM: the platform kills a process that takes too
// long to stop, and ending earlier would cut off the requests in flight.
func (p *platformProcess) signalHooks() signalHooks {
	return signalHooks{onSIGHUP: p.reload, onRepeatedSIGTERM: func() {
		p.observer.Log.Info().Str("step", "stop").Str("outcome", "ignored").Msg("repeated SIGTERM ignored during shutdown")
	}}
}

func (p *platformProcess) close() {
	p.observer.Close()
	p.log.Close(logCloseTimeout)
}

func runPlatformEntry(flags daemonFlags, stdout, stderr io.Writer) int {
	p, err := startPlatform(flags.metricsAddr, entryGCPercent, stdout)
	if err != nil {
		return fail(stderr, "entry", err)
	}
	defer p.close()
	store := platform.NewStore(p.settings.StoreAddr)
	options := node.EntryOptions{Node: p.settings.Node, Zone: p.settings.Zone, PeerAddr: p.settings.PeerAddr,
		AdvertiseAddr: flags.advertiseAddr, Seeds: p.settings.SeedPeers, Grace: p.settings.Grace, Cores: p.settings.Cores,
		CallerAddr: p.settings.CallerAddr, ReadyAddr: p.settings.ReadyAddr, ControlAddr: p.settings.ControlAddr, MetricsAddr: p.metricsAddr,
		CallerHandler: p.callers, ReadinessHandler: platform.ReadyHandler, ExplainHandler: p.explain, Config: store, Directory: store, Copies: store, Jobs: store, RemoteFactor: p.settings.RemoteFactor,
		Limits: p.limits()}
	e := node.NewEntry(options, p.observer, p.decisions)
	return runDaemon("entry", stderr, p.signalHooks(), e.AddTo)
}

// limits returns the bounds for the clients of the process.
func (p *platformProcess) limits() intake.Limits {
	return intake.DeriveLimits(p.settings.MemoryLimit, p.settings.MaxDescriptors)
}

func (p *platformProcess) callers(e *node.Entry) http.Handler {
	return platform.NewCallerHandler(e, p.settings.ResendAfter)
}

func (p *platformProcess) explain(e *node.Entry) http.Handler {
	return &platform.ExplainHandler{Table: e.RoutingTable, Explain: e.Core.Explain}
}

func runPlatformAgent(metrics string, stdout, stderr io.Writer) int {
	p, err := startPlatform(metrics, agentGCPercent, stdout)
	if err != nil {
		return fail(stderr, "agent", err)
	}
	defer p.close()
	options := node.AgentOptions{Node: p.settings.Node, Zone: p.settings.Zone, Seeds: p.settings.SeedPeers, Grace: p.settings.Grace,
		ControlAddr: p.settings.ControlAddr, ControlHandler: func(c *runner.Core) http.Handler { return platform.ControlHandler(c) },
		MetricsAddr: p.metricsAddr, Target: platform.NewTarget(p.settings.TargetAddr), Directory: platform.NewStore(p.settings.StoreAddr), Limits: p.limits()}
	if !p.settings.Bootstrap && p.settings.MachinesAddr != "" {
		options.FindTarget = platform.NewTargetLookup(p.settings.TargetAddr, p.settings.MachinesAddr).Find
	}
	a := node.NewAgent(options, p.observer, p.decisions)
	return runDaemon("agent", stderr, p.signalHooks(), func(g *run.Group, stop <-chan struct{}) error { return a.AddTo(g, stop) })
}
