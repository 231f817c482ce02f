package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/connection/intake"
	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/peer"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/process/membership"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/settings"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
	"github.com/azurerouter/azurerouter/version/config"
)

const (
	tickInterval  = 2 * time.Millisecond
	appendTimeout = 2 * time.Second
	// longPollWait is how long a read of a stream waits for new records,
	// readRetryDelay the pause after a failed read, and maxPageRecords the
	// largest number of records in one page.
	longPollWait      = 5 * time.Second
	readRetryDelay    = 100 * time.Millisecond
	maxPageRecords    = 1000
	drainPollInterval = 20 * time.Millisecond
	httpHeaderTimeout = 30 * time.Second
	httpIdleTimeout   = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	fencedReason      = "fenced by an agent; the process has to start again"
)

// claimBuckets are the histogram buckets for the number of claims per append.
var claimBuckets = tally.MustMakeExponentialValueBuckets(1, 2, 12)

// Daemon runs a Core as a process.
type Daemon struct {
	settings       *settings.Entry
	observer       *observe.Observer
	identity       *peer.Identity
	log            *logclient.Client
	core           *Core
	self           wire.Incarnation
	http           *http.Server
	limits         intake.Limits
	intake         *intake.Intake
	logUnavailable *observe.Condition
	// unreachable is active while an entry cannot be dialled.
	unreachable *observe.Unreachable
	certificate *observe.Certificate

	mu      sync.Mutex
	agents  map[wire.Incarnation]*peer.Conn
	entries map[wire.Incarnation]*peer.Conn
	members *membership.Entries
	config  *config.State
	faults  []config.Fault
	sources map[string]string

	// activeMu serializes changes of the active configuration. activeOffset is
	// its offset, and newestFileVersion the version of the file that changed
	// last.
	activeMu          sync.Mutex
	activeOffset      uint64
	newestFileVersion uint64
}

// NewDaemon creates an entry process from its settings. It loads the keys but
// opens no connections or listeners.
func NewDaemon(s *settings.Entry, observer *observe.Observer) (*Daemon, error) {
	identity, err := peer.LoadIdentity(s.Keys)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, observer: observer, identity: identity, log: logclient.New(s.LogURL, nil),
		self: wire.NewIncarnation(), logUnavailable: observer.Condition("log_unavailable"),
		unreachable: observer.Unreachable("entry_unreachable"), certificate: observer.Certificate(),
		agents:  make(map[wire.Incarnation]*peer.Conn),
		entries: make(map[wire.Incarnation]*peer.Conn),
		members: membership.New(), config: config.NewState(),
	}
	d.core = NewCore((*daemonEnv)(d), d.self, 1, uint64(time.Now().UnixNano()))
	d.limits = s.IntakeLimits()
	d.intake = intake.New(d.limits)
	d.http = intake.NewServer(d.api(), nil)
	return d, nil
}

func (d *Daemon) api() *API {
	m := d.observer.Metrics
	return &API{core: d.core, now: time.Now,
		countSubmission: func(single bool) {
			form := "job"
			if single {
				form = "request"
			}
			m.Tagged(map[string]string{observe.TagForm: form}).Counter(observe.Submissions).Inc(1)
		},
		countAnswer: func(state job.State, took time.Duration) {
			m.Tagged(map[string]string{observe.TagState: string(state)}).Counter(observe.JobAnswers).Inc(1)
			m.Timer(observe.ResponseSeconds).Record(took)
		},
		countRefusal: func(code refusal.Code) {
			m.Tagged(map[string]string{observe.TagCode: string(code)}).Counter(observe.Refusals).Inc(1)
		},
	}
}

// AddTo adds the actors of the process to a run group. stop is closed by the
// first signal to shut down, upon which the entry drains. The error is that of
// the listener for peers.
func (d *Daemon) AddTo(g *run.Group, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	hello := func() wire.Hello { return d.hello() }
	listener, err := peer.Listen(d.settings.PeerAddr, d.identity.TLS(), hello, (*handler)(d))
	if err != nil {
		cancel()
		return err
	}
	actor := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	actor(d.tick)
	actor(d.followClaims)
	actor(d.followConfig)
	actor(d.followMembers)
	actor(d.announce)
	actor(d.dialEntries)
	actor(d.reportMetrics)
	actor(func(ctx context.Context) error { return d.drainOnSignal(ctx, stop) })
	g.Add(func() error { return listener.Serve(ctx) }, func(error) { listener.Close() })
	g.Add(func() error { return d.serveHTTP(ctx) }, func(error) { d.http.Close() })
	g.Add(observe.Admin(d.settings.AdminAddr, d.observer, func() any { return d.dump() }, d.core.Ready))
	d.observer.Log.Info().Str("incarnation", d.self.String()).Str("zone", d.settings.Zone).Msg("entry started")
	return nil
}

// serveHTTP serves callers. ListenAndServe returns as soon as drainOnSignal
// begins to shut the server down. Returning then would end the run group and
// cut off the responses that are still being written, so serveHTTP waits until
// drainOnSignal ends the process.
func (d *Daemon) serveHTTP(ctx context.Context) error {
	options := intake.ListenerOptions{MaxConns: d.limits.Conns, Limits: func() intake.RequestLimits {
		return intake.RequestLimits{HeaderBytes: maxHeaderBytes, HeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout}
	}}
	if err := d.intake.ListenAndServe(d.settings.HTTPAddr, options, d.http); err != nil {
		return errors.Wrap(err, "callers")
	}
	<-ctx.Done()
	return nil
}

func (d *Daemon) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.core.Tick()
		}
	}
}

// drainOnSignal waits for a graceful shutdown, or until an agent has fenced this
// incarnation, and then ends the process. Open submissions are answered first,
// within the drain timeout.
func (d *Daemon) drainOnSignal(ctx context.Context, stop <-chan struct{}) error {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	var cause error
	for waiting := true; waiting; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
			waiting = false
		case <-poll.C:
			if d.core.Fenced() {
				cause = errors.New(fencedReason)
				waiting = false
			}
		}
	}
	d.observer.Log.Info().AnErr("cause", cause).Msg("draining")
	d.core.Drain()
	d.announceStop(ctx)
	limit, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout())
	defer cancel()
	for d.core.ActiveJobs() > 0 && limit.Err() == nil {
		<-poll.C
	}
	// A second signal closes the connections, and Shutdown then has nothing
	// left to wait for. The number of active jobs shows whether any submission
	// was cut off.
	if err := d.http.Shutdown(limit); err != nil || d.core.ActiveJobs() > 0 {
		d.observer.Log.Warn().Err(errors.CombineErrors(err, limit.Err())).Int("jobs", d.core.ActiveJobs()).
			Msg("drain ended early, submissions are cut off")
		return cause
	}
	// Agents keep the result of a released task until a heartbeat reports the
	// release. Without that heartbeat, an agent that shuts down waits for this
	// entry until it fences the entry. The flush is repeated because a pending
	// cancellation is sent in place of the first heartbeat.
	for range 2 {
		d.core.flushAgents(time.Now().Add(wire.HeartbeatInterval))
	}
	<-poll.C // gives the connections time to write in the background
	d.observer.Log.Info().Msg("drained")
	return cause
}

func (d *Daemon) hello() wire.Hello {
	return wire.Hello{Role: wire.RoleEntry, Incarnation: d.self, Name: d.settings.Name, Zone: d.settings.Zone,
		PeerAddr: d.settings.PeerAddr, ConfigOffset: d.core.peers.configOffset()}
}

// handler handles the events of the connections to agents and entries.
type handler Daemon

// Connected implements peer.Handler.
func (h *handler) Connected(c *peer.Conn) error {
	d := (*Daemon)(h)
	if c.Peer.Incarnation == d.self {
		return errors.Mark(errors.New("dialled itself"), peer.ErrNotNeeded)
	}
	conns := d.connsByRole(c.Peer.Role)
	if conns == nil {
		return errors.Newf("peer %s has unknown role %d", c.Peer.Name, c.Peer.Role)
	}
	d.mu.Lock()
	earlier := conns[c.Peer.Incarnation]
	if earlier != nil && c.Peer.Role == wire.RoleEntry {
		// Two entries may dial each other at the same time; the first
		// connection is kept.
		d.mu.Unlock()
		return errors.Mark(errors.Newf("entry %s is connected already", c.Peer.Name), peer.ErrNotNeeded)
	}
	conns[c.Peer.Incarnation] = c
	d.mu.Unlock()
	if earlier != nil {
		earlier.Close()
	}
	if c.Peer.Role == wire.RoleAgent {
		d.core.AgentConnected(c.Peer)
	} else {
		d.core.EntryConnected(c.Peer)
		d.sendMembers()
	}
	d.observer.Log.Info().Str("step", "connect").Str("peer", c.Peer.Name).Str("incarnation", c.Peer.Incarnation.String()).Msg("peer connected")
	return nil
}

func (d *Daemon) connsByRole(role wire.Role) map[wire.Incarnation]*peer.Conn {
	switch role {
	case wire.RoleAgent:
		return d.agents
	case wire.RoleEntry:
		return d.entries
	}
	return nil
}

// Received implements peer.Handler.
func (h *handler) Received(c *peer.Conn, m wire.Message) {
	d := (*Daemon)(h)
	d.observer.CountReceived(m)
	if c.Peer.Role == wire.RoleAgent {
		d.core.HandleAgentMessage(c.Peer.Incarnation, m)
		return
	}
	switch m := m.(type) {
	case *wire.Config:
		d.restoreConfig(c.Peer.Name, m)
	case *wire.Members:
		d.restoreMembers(m)
	}
	d.core.HandleEntryMessage(c.Peer.Incarnation, m)
}

// Disconnected implements peer.Handler.
func (h *handler) Disconnected(c *peer.Conn, err error) {
	d := (*Daemon)(h)
	conns := d.connsByRole(c.Peer.Role)
	d.mu.Lock()
	current := conns[c.Peer.Incarnation] == c
	if current {
		delete(conns, c.Peer.Incarnation)
	}
	d.mu.Unlock()
	if !current {
		return
	}
	if c.Peer.Role == wire.RoleAgent {
		d.core.AgentDisconnected(c.Peer.Incarnation)
	} else {
		d.core.EntryDisconnected(c.Peer.Incarnation)
	}
	d.observer.Log.Info().Str("step", "connection").Str("peer", c.Peer.Name).Str("incarnation", c.Peer.Incarnation.String()).Err(err).Msg("peer disconnected")
}

// daemonEnv implements Env for a Core that runs as a process.
type daemonEnv Daemon

// Now implements Env.
func (e *daemonEnv) Now() time.Time { return time.Now() }

// SendAgent implements Env.
func (e *daemonEnv) SendAgent(agent wire.Incarnation, m wire.Message) { e.send(e.agents, agent, m) }

// SendEntry implements Env.
func (e *daemonEnv) SendEntry(entry wire.Incarnation, m wire.Message) { e.send(e.entries, entry, m) }

func (e *daemonEnv) send(conns map[wire.Incarnation]*peer.Conn, to wire.Incarnation, m wire.Message) {
	e.mu.Lock()
	conn := conns[to]
	e.mu.Unlock()
	if conn != nil && conn.Send(m) == nil {
		e.observer.CountSent(m)
	}
}

// Append implements Env.
func (e *daemonEnv) Append(batch claims.Batch) {
	e.observer.Metrics.Histogram(observe.ClaimsPerAppend, claimBuckets).RecordValue(float64(batch.Size))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		defer cancel()
		offset, err := e.log.Append(ctx, ClaimsStream, batch.Data)
		(*Daemon)(e).recordLogAccess(observe.LogAppends, ClaimsStream, err)
		e.core.HandleAppendResult(batch.Nonce, offset, err)
	}()
}

// ReportViolation implements Env.
func (e *daemonEnv) ReportViolation(guarantee, step, peer, detail string) {
	e.observer.ReportViolation(guarantee, step, peer, detail)
}

// recordLogAccess counts an access to the log service, and logs when the
// service becomes unavailable or available again.
func (d *Daemon) recordLogAccess(metric, stream string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
		d.logUnavailable.Begin(err)
	} else {
		d.logUnavailable.End()
	}
	d.observer.Metrics.Tagged(map[string]string{observe.TagStream: stream, observe.TagResult: result}).Counter(metric).Inc(1)
}
