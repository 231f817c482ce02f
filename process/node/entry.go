package node

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/version/routing"
)

// Times of an entry process.
const (
	// lingerTime is how long a stopping entry still accepts connections. The
	// balancer takes it out of rotation after two questions, one a second.
	lingerTime  = 2500 * time.Millisecond
	idleTimeout = time.Minute
	// peerPulse keeps the connections to other entries from being idle. With each
	// pulse of pulsesPerMembers an entry also tells which entries it knows: these
	// lists grow with the square of the entries.
	peerPulse        = time.Second
	pulsesPerMembers = 10
	// configGrace is how long after the start of a process callers wait for the
	// first configuration. The store answers within a few milliseconds.
	configGrace = 500 * time.Millisecond
)

// ConfigSource is where the operator publishes the routing configuration.
type ConfigSource interface {
	FollowConfig(ctx context.Context, apply func(routing.Config), state func(error))
}

// EntryOptions describe an entry process.
type EntryOptions struct {
	Node     string
	Zone     string
	LinkAddr string
	// AdvertiseAddr is where other processes reach LinkAddr, if that differs
	// because of a relay or a translation of addresses.
	AdvertiseAddr string
	Seeds         []string
	Grace         time.Duration
	CallerAddr    string
	ReadyAddr     string
	ControlAddr   string
	MetricsAddr   string
	// Callers returns the handler for callers, Ready that for the balancer.
	Callers   func(e *Entry) http.Handler
	Ready     func(ready func() error) http.Handler
	Config    ConfigSource
	Directory Directory
	Copies    CopyStore
	// Jobs is the log of durable jobs.
	Jobs keeper.Log
}

// Entry runs a dispatch.Core as a process.
type Entry struct {
	*dispatch.Core
	options   EntryOptions
	observer  *observe.Observer
	decisions *observe.Decisions
	self      wire.Incarnation
	dialer    *dialer
	table     atomic.Pointer[routing.Table]
	keeper    *keeper.Keeper
	stopping  atomic.Bool
	metrics   *entryMetrics
	started   time.Time
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// configUnread is set while the operator's configuration can't be read.
	configUnread atomic.Bool

	mu     sync.Mutex
	agents map[wire.Incarnation]*processLink
	peers  map[*processLink]bool
	// pulses counts the calls of pulsePeers.
	pulses uint64
}

// NewEntry prepares an entry process. It opens nothing yet.
func NewEntry(options EntryOptions, observer *observe.Observer, decisions *observe.Decisions) *Entry {
	options.AdvertiseAddr = cmp.Or(options.AdvertiseAddr, options.LinkAddr)
	e := &Entry{
		options: options, observer: observer, decisions: decisions, self: wire.NewIncarnation(), started: time.Now(),
		configured: make(chan struct{}),
		agents:     make(map[wire.Incarnation]*processLink),
		peers:      make(map[*processLink]bool),
	}
	e.Core = dispatch.New((*entryEnv)(e), e.self, options.Zone, uint64(time.Now().UnixNano()))
	e.keeper = keeper.New(keeper.Options{Node: options.Node, Self: ledger.Owner(e.self.String()), IsFirst: e.hasFirstName,
		Peers: e.keeperPeers, Now: clock.Now, UnixTime: time.Now}, options.Jobs, e.Core, decisions)
	e.metrics = newEntryMetrics(observer, e)
	e.dialer = newDialer(options.AdvertiseAddr, options.Seeds, observer.Log, e.connect)
	return e
}

// Table returns the routing in force, or nil.
func (e *Entry) Table() *routing.Table { return e.table.Load() }

// Keeper holds the durable jobs.
func (e *Entry) Keeper() *keeper.Keeper { return e.keeper }

// Dump is a copy of the state of an entry for operators.
type Dump struct {
	dispatch.Dump
	Durable keeper.Dump `json:"durable_jobs"`
}

// Dump returns the state now.
func (e *Entry) Dump() Dump { return Dump{Dump: e.Core.Dump(), Durable: e.keeper.Dump()} }

// AwaitTable returns the routing in force. A process that has just started
// waits for its first one for a moment; after that it returns nil.
func (e *Entry) AwaitTable(ctx context.Context) *routing.Table {
	if table := e.Table(); table != nil {
		return table
	}
	ctx, cancel := context.WithDeadline(ctx, e.started.Add(configGrace))
	defer cancel()
	select {
	case <-ctx.Done():
	case <-e.configured:
	}
	return e.Table()
}

// Leaving reports whether callers should connect to another entry: this one
// ends, or can't serve them for now. The balancer sends new connections
// elsewhere, but open ones stay until they are closed.
func (e *Entry) Leaving() bool { return e.Ready() != nil }

// Answered counts a response to a caller.
func (e *Entry) Answered(status int, took time.Duration) { e.metrics.answered(status, took) }

// entryEnv is the dispatch.Env of an entry process.
type entryEnv Entry

func (e *entryEnv) Now() time.Time { return clock.Now() }

func (e *entryEnv) Decided(d decision.Decision) { e.decisions.Decided(d) }

func (e *entryEnv) Progressed(id batch.ID) { e.keeper.Progressed(id) }

func (e *entryEnv) IsOpen(id batch.ID) (open, known bool) { return e.keeper.IsOpen(id) }

func (e *entryEnv) Send(agent wire.Incarnation, m wire.Message) {
	e.mu.Lock()
	link := e.agents[agent]
	e.mu.Unlock()
	if link != nil {
		link.send(m)
	}
}

// apply puts a configuration in force unless a newer one is.
func (e *Entry) apply(c routing.Config, source string) {
	table := routing.NewTable(c)
	for {
		before := e.table.Load()
		if before != nil && before.Version >= c.Version {
			return
		}
		if e.table.CompareAndSwap(before, table) {
			if before == nil {
				close(e.configured)
			}
			break
		}
	}
	e.observer.Log.Info().Str("step", "config").Uint64("version", c.Version).Str("source", source).Int("queues", len(c.Queues)).
		Str("outcome", "in_force").Msg("configuration")
	update := &wire.RoutingUpdate{Config: c}
	e.mu.Lock()
	peers := make([]*processLink, 0, len(e.peers))
	for l := range e.peers {
		peers = append(peers, l)
	}
	e.mu.Unlock()
	for _, l := range peers {
		l.send(update)
	}
}

var (
	errNoConfig = errors.New("no configuration yet")
	errStopping = errors.New("stopping")
	errNoAgents = errors.New("no agent connected")
	errReplaced = errors.New("the agent has a new connection")
)

// Ready returns why the balancer should send no new connections, or nil.
func (e *Entry) Ready() error {
	switch {
	case e.stopping.Load():
		return errStopping
	case e.Table() == nil:
		return errNoConfig
	case !e.Core.Serving():
		return errNoAgents
	}
	return nil
}

// AddTo adds the actors of the process to a run group. stop is closed by the
// first signal to shut down.
func (e *Entry) AddTo(g *run.Group, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", e.options.LinkAddr)
	if err != nil {
		cancel()
		return errors.Wrapf(err, "listen for processes on %s", e.options.LinkAddr)
	}
	actor := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	actor(func(ctx context.Context) error { return every(ctx, tickInterval, e.Core.Tick) })
	actor(func(ctx context.Context) error { e.dialer.run(ctx); return nil })
	actor(e.followConfig)
	actor(e.saveCopies)
	actor(e.recoverConfig)
	actor(e.keeper.Run)
	actor(e.followMembers)
	actor(e.announce)
	actor(func(ctx context.Context) error { return every(ctx, peerPulse, e.pulsePeers) })
	actor(e.metrics.report)
	g.Add(func() error {
		return stream.Serve(listener, func(c *stream.Conn) stream.Handler { return e.opened(c) })
	}, func(error) { listener.Close() })
	e.serveCallers(g, ctx, stop)
	addServer(g, "readiness", e.options.ReadyAddr, e.options.Ready(e.Ready))
	if e.options.ControlAddr != "" {
		addServer(g, "control", e.options.ControlAddr, http.NotFoundHandler())
	}
	if e.options.MetricsAddr != "" {
		g.Add(observe.PrivateNetwork(e.options.MetricsAddr, e.observer, func() any { return e.Dump() }, e.Ready))
	}
	return nil
}

func (e *Entry) followConfig(ctx context.Context) error {
	condition := e.observer.Condition("store_config")
	e.options.Config.FollowConfig(ctx, func(c routing.Config) { e.apply(c, "store") }, func(err error) {
		e.configUnread.Store(err != nil)
		condition.Set(err)
	})
	return nil
}

func (e *Entry) followMembers(ctx context.Context) error {
	condition := e.observer.Condition("store_members")
	e.options.Directory.FollowMembers(ctx, e.learn, condition.Set)
	return nil
}

// announce records this entry in the directory, once.
func (e *Entry) announce(ctx context.Context) error {
	condition := e.observer.Condition("store_announce")
	for ctx.Err() == nil {
		err := e.options.Directory.Announce(ctx, wire.EntryMember{Name: e.options.Node, Addr: e.options.AdvertiseAddr})
		condition.Set(err)
		if err == nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	<-ctx.Done()
	return nil
}

// serveCallers serves callers until the process has drained.
func (e *Entry) serveCallers(g *run.Group, ctx context.Context, stop <-chan struct{}) {
	server := &http.Server{Addr: e.options.CallerAddr, Handler: e.options.Callers(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	g.Add(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve callers on %s", e.options.CallerAddr)
		}
		// Shutdown makes ListenAndServe return before the last responses are
		// written; drainOn ends the group after them.
		<-ctx.Done()
		return nil
	}, func(error) { server.Close() })
	g.Add(func() error { return e.drainOn(ctx, server, stop) }, func(error) {})
}

// drainOn ends the process after the first signal, once every request has been
// answered.
func (e *Entry) drainOn(ctx context.Context, server *http.Server, stop <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	began := time.Now()
	e.stopping.Store(true)
	e.observer.Log.Info().Str("step", "stop").Int("jobs", e.ActiveJobs()).Msg("entry draining")
	time.Sleep(lingerTime)
	limit, cancel := context.WithTimeout(ctx, e.options.Grace-stopMargin-lingerTime)
	defer cancel()
	err := server.Shutdown(limit)
	left := e.ActiveJobs()
	for e.keeper.Open() > 0 && time.Since(began) < e.options.Grace-stopMargin {
		time.Sleep(stopPoll)
	}
	if err != nil {
		e.GiveUpAll()
		last, cancelLast := context.WithTimeout(ctx, stopMargin/2)
		defer cancelLast()
		err = server.Shutdown(last)
	}
	e.observer.Log.Info().Err(err).Str("step", "stop").Int("given_up", left).Int64("took_ms", time.Since(began).Milliseconds()).Msg("entry ends")
	return nil
}
