package node

import (
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
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/version/routing"
)

// Times of an entry process.
const (
	// lingerTime is how long a stopping entry still accepts connections. The
	// balancer takes it out of rotation after two questions, one a second.
	lingerTime    = 2500 * time.Millisecond
	headerTimeout = 3 * time.Second
	idleTimeout   = time.Minute
	// memberInterval is how often entries tell each other which entries they
	// know, which also keeps the connection from being idle.
	memberInterval = time.Second
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
	Node        string
	Zone        string
	LinkAddr    string
	Seeds       []string
	Grace       time.Duration
	CallerAddr  string
	ReadyAddr   string
	ControlAddr string
	MetricsAddr string
	// Callers returns the handler for callers, Ready that for the balancer.
	Callers   func(e *Entry) http.Handler
	Ready     func(ready func() error) http.Handler
	Config    ConfigSource
	Directory Directory
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
	stopping  atomic.Bool
	metrics   *entryMetrics
	started   time.Time
	// configured is closed when the first configuration is in force.
	configured chan struct{}

	mu     sync.Mutex
	agents map[wire.Incarnation]*processLink
	peers  map[*processLink]bool
}

// processLink is the connection to an agent or to another entry.
type processLink struct {
	entry *Entry
	conn  *stream.Conn
	agent wire.Incarnation
	ended chan struct{}
	heard bool
}

// NewEntry prepares an entry process. It opens nothing yet.
func NewEntry(options EntryOptions, observer *observe.Observer, decisions *observe.Decisions) *Entry {
	e := &Entry{options: options, observer: observer, decisions: decisions, self: wire.NewIncarnation(),
		started: time.Now(), configured: make(chan struct{}), agents: make(map[wire.Incarnation]*processLink), peers: make(map[*processLink]bool)}
	e.Core = dispatch.New((*entryEnv)(e), e.self, options.Zone, uint64(time.Now().UnixNano()))
	e.metrics = newEntryMetrics(observer, e)
	e.dialer = newDialer(options.LinkAddr, options.Seeds)
	e.dialer.connect = e.connect
	e.dialer.unreachable = func(addr string, since time.Time) {
		observer.Log.Info().Str("step", "dial").Str("peer", addr).Int64("age_ms", time.Since(since).Milliseconds()).Msg("entry unreachable")
	}
	return e
}

// Table returns the routing in force, or nil.
func (e *Entry) Table() *routing.Table { return e.table.Load() }

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

func (e *entryEnv) Send(agent wire.Incarnation, m wire.Message) {
	e.mu.Lock()
	link := e.agents[agent]
	e.mu.Unlock()
	if link != nil {
		link.send(m)
	}
}

func (l *processLink) send(m wire.Message) {
	if err := l.conn.Send(m); err != nil {
		l.entry.observer.Log.Warn().Err(err).Str("step", "send").Msg("link closed")
	}
}

// opened greets the other side of a new connection.
func (e *Entry) opened(c *stream.Conn) *processLink {
	l := &processLink{entry: e, conn: c, ended: make(chan struct{})}
	l.send(&wire.EntryHello{Entry: e.self, Name: e.options.Node, Zone: e.options.Zone, Entries: e.members()})
	return l
}

// members returns the entries that this one knows, itself included.
func (e *Entry) members() []wire.EntryMember {
	return append(e.dialer.members(), wire.EntryMember{Name: e.options.Node, Addr: e.options.LinkAddr})
}

// Received handles a message of an agent or another entry.
func (l *processLink) Received(m wire.Message) {
	l.heard = true
	switch m := m.(type) {
	case *wire.Enroll:
		l.entry.enrolled(l, m)
	case *wire.AgentReport:
		if l.agent != 0 {
			l.entry.Core.Received(l.agent, m)
		}
	case *wire.EntryHello:
		l.entry.peerFound(l, m)
	case *wire.EntryMembers:
		l.entry.learn(m.Entries)
	case *wire.RoutingUpdate:
		l.entry.apply(m.Config, "peer "+l.conn.RemoteAddr())
	}
}

func (e *Entry) enrolled(l *processLink, m *wire.Enroll) {
	l.agent = m.Agent
	e.mu.Lock()
	before := e.agents[m.Agent]
	e.agents[m.Agent] = l
	e.mu.Unlock()
	if before != nil {
		before.conn.Close()
	}
	e.Core.Enrolled(m)
}

func (e *Entry) peerFound(l *processLink, m *wire.EntryHello) {
	e.mu.Lock()
	e.peers[l] = true
	e.mu.Unlock()
	e.observer.Log.Info().Str("step", "entry").Str("peer", m.Name).Str("outcome", "connected").Msg("entry found")
	e.learn(m.Entries)
	if table := e.Table(); table != nil {
		l.send(&wire.RoutingUpdate{Config: table.Config})
	}
}

// learn dials entries that were not known and passes them to the agents.
func (e *Entry) learn(members []wire.EntryMember) {
	if !e.dialer.add(members) {
		return
	}
	update := &wire.EntryMembers{Entries: e.members()}
	for _, l := range e.links() {
		l.send(update)
	}
}

func (e *Entry) links() []*processLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	var links []*processLink
	for _, l := range e.agents {
		links = append(links, l)
	}
	for l := range e.peers {
		links = append(links, l)
	}
	return links
}

// Closed forgets the connection.
func (l *processLink) Closed(err error) {
	defer close(l.ended)
	e := l.entry
	e.mu.Lock()
	delete(e.peers, l)
	current := l.agent != 0 && e.agents[l.agent] == l
	if current {
		delete(e.agents, l.agent)
	}
	e.mu.Unlock()
	if current {
		e.Core.Disconnected(l.agent, err)
	}
}

// connect dials another entry.
func (e *Entry) connect(ctx context.Context, addr string) bool {
	var link *processLink
	conn, err := stream.Dial(ctx, addr, func(c *stream.Conn) stream.Handler {
		link = e.opened(c)
		return link
	})
	if err != nil {
		return false
	}
	select {
	case <-ctx.Done():
		conn.Close()
		<-link.ended
	case <-link.ended:
	}
	return link.heard
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
	actor(e.followMembers)
	actor(e.announce)
	actor(func(ctx context.Context) error { return every(ctx, memberInterval, e.pulsePeers) })
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

// pulsePeers keeps the connections to other entries from being idle.
func (e *Entry) pulsePeers() {
	update := &wire.EntryMembers{Entries: e.members()}
	e.mu.Lock()
	defer e.mu.Unlock()
	for l := range e.peers {
		l.send(update)
	}
}

func (e *Entry) followConfig(ctx context.Context) error {
	condition := e.observer.Condition("store_config")
	e.options.Config.FollowConfig(ctx, func(c routing.Config) { e.apply(c, "store") }, condition.Set)
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
		err := e.options.Directory.Announce(ctx, wire.EntryMember{Name: e.options.Node, Addr: e.options.LinkAddr})
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
	if err != nil {
		e.GiveUpAll()
		last, cancelLast := context.WithTimeout(ctx, stopMargin/2)
		defer cancelLast()
		err = server.Shutdown(last)
	}
	e.observer.Log.Info().Err(err).Str("step", "stop").Int("given_up", left).Int64("took_ms", time.Since(began).Milliseconds()).Msg("entry ends")
	return nil
}
