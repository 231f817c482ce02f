package node

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/caller"
	"github.com/azurerouter/azurerouter/connection/intake"
	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/version/evacuation"
	"github.com/azurerouter/azurerouter/version/routing"
)

// Intervals and timeouts of an entry process.
const (
	// drainDelay is how long a stopping entry still accepts connections. The load
	// balancer takes it out of rotation after two readiness checks, one per second.
	drainDelay = 2500 * time.Millisecond
	// maxFirstMessageBytes bounds the first message of another process, and firstMessageTimeout the
	// time until it has arrived. The largest one is the enrolment of an agent with all its runs.
	maxFirstMessageBytes = 4 << 20
	firstMessageTimeout  = 10 * time.Second
	// heartbeatInterval is the shortest interval between messages on each connection
	// to another entry, so that none is idle. It grows by entriesPerHeartbeat, so that
	// the messages of one entry do not increase with the number of entries. One in
	// heartbeatsPerMemberList messages carries the list of known entries; the others
	// are empty, because the total size of these lists grows with the square of the
	// number of entries.
	heartbeatInterval       = time.Second
	entriesPerHeartbeat     = 20
	heartbeatsPerMemberList = 10
)

// ConfigSource is where the operator publishes the routing configuration.
type ConfigSource interface {
	// FollowConfig calls apply with each published configuration and evacuate with the
	// evacuated zones, until the context ends. It calls report with the error of each
	// failed read, and with nil after each successful one.
	FollowConfig(ctx context.Context, apply func(routing.Config), evacuate func(evacuation.State), report func(error))
}

// EntryOptions configures an entry process.
type EntryOptions struct {
	// Node is the name of the instance, Zone its availability zone.
	Node string
	Zone string
	// PeerAddr is where the entry listens for agents and other entries.
	PeerAddr string
	// AdvertiseAddr is the address at which other processes reach PeerAddr, if it
	// differs because of a relay or network address translation.
	AdvertiseAddr string
	// Seeds are the addresses of other entries that are dialled from the start.
	Seeds []string
	// Grace is the time from the signal to shut down to the kill.
	Grace time.Duration
	// Cores is the processor time that the process gets, in cores, or 0 if it is not known.
	Cores float64
	// CallerAddr is where the entry listens for callers, ReadyAddr for the
	// readiness checks of the load balancer.
	CallerAddr string
	ReadyAddr  string
	// ControlAddr is where every request is answered with "not found"; empty to
	// serve none.
	ControlAddr string
	// MetricsAddr is where the admin server listens; empty to run none.
	MetricsAddr string
	// CallerHandler returns the handler for callers, ReadinessHandler the one for
	// readiness checks.
	CallerHandler    func(e *Entry) http.Handler
	ReadinessHandler func(ready func() error) http.Handler
	// ExplainHandler, if set, returns the handler of the admin server that explains where
	// the tasks of a job would go.
	ExplainHandler func(e *Entry) http.Handler
	Config         ConfigSource
	Directory      Directory
	Copies         CopyStore
	// Jobs is the log of durable jobs.
	Jobs keeper.Log
	// RemoteFactor is how many times as long a task takes outside the rack of its data.
	RemoteFactor float64
	// Limits bounds what the clients of the process can take; zero selects defaults.
	Limits intake.Limits
}

// Entry runs a dispatch.Core as a process.
type Entry struct {
	*dispatch.Core
	options     EntryOptions
	observer    *observe.Observer
	decisions   *observe.Decisions
	incarnation wire.Incarnation
	dialer      *dialer
	// table is the routing configuration in force, or nil.
	table    atomic.Pointer[routing.Table]
	keeper   *keeper.Keeper
	stopping atomic.Bool
	metrics  *entryMetrics
	ticks    *tickMonitor
	shedder  *loadShedder
	// forwarder forwards submissions that this entry can't carry.
	forwarder *forwarder
	work      observe.WorkMeter
	limits    intake.Limits
	intake    *intake.Intake
	started   time.Time
	// servicesMu is held while the services of a configuration take effect, and guards
	// services, which are those of the last one.
	servicesMu sync.Mutex
	services   map[string]bool
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// configUnreadable is set while the operator's configuration cannot be read.
	configUnreadable atomic.Bool

	// lastLink is the number of the last accepted connection.
	lastLink atomic.Uint64
	// enrollMu is held while an enrolment is handled and guards enrolledLinks, which holds
	// the number of the connection on which the agent of each instance last enrolled.
	enrollMu      sync.Mutex
	enrolledLinks map[string]uint64

	mu sync.Mutex
	// agents holds the connections to agents, peers those to other entries.
	agents map[wire.Incarnation]*processLink
	peers  map[*processLink]bool
	// peerIncarnations holds the last incarnation of each other entry, by its name.
	peerIncarnations map[string]wire.Incarnation
	// heartbeatTicks counts the calls of sendHeartbeats.
	heartbeatTicks uint64
}

// NewEntry returns an entry process that opens no connection before AddTo.
func NewEntry(options EntryOptions, observer *observe.Observer, decisions *observe.Decisions) *Entry {
	options.AdvertiseAddr = cmp.Or(options.AdvertiseAddr, options.PeerAddr)
	e := &Entry{
		options: options, observer: observer, decisions: decisions, incarnation: wire.NewIncarnation(), started: time.Now(),
		configured:    make(chan struct{}),
		enrolledLinks: make(map[string]uint64),
		agents:        make(map[wire.Incarnation]*processLink),
		peers:         make(map[*processLink]bool),

		peerIncarnations: make(map[string]wire.Incarnation),
	}
	e.limits = limitsOrDefault(options.Limits)
	e.intake = intake.New(e.limits)
	e.Core = dispatch.New((*entryEnv)(e), e.incarnation, options.Zone, uint64(time.Now().UnixNano()), dispatch.WithRemoteFactor(options.RemoteFactor))
	e.keeper = keeper.New(keeper.Options{Node: options.Node, Owner: ledger.Owner(e.incarnation.String()), IsFirstByName: e.hasLowestName,
		Peers: e.keeperPeers, Now: clock.Now, UnixTime: time.Now}, observedLog{options.Jobs, observer.Condition("store_jobs")}, e.Core, decisions)
	e.metrics = newEntryMetrics(observer, e)
	e.ticks = newTickMonitor(observer)
	e.shedder = newLoadShedder(options.Cores, observer, decisions)
	e.ticks.observe = e.shedder.observe
	e.forwarder = newForwarder(e, options.Cores)
	e.shedder.onVerdict = e.forwarder.observe
	e.dialer = newDialer(options.Node, options.AdvertiseAddr, options.Seeds, observer.Log, e.dialEntry)
	return e
}

// Table returns the routing configuration in force, or nil if there is none yet.
func (e *Entry) RoutingTable() *routing.Table { return e.table.Load() }

// Keeper returns the keeper of the durable jobs.
func (e *Entry) Keeper() *keeper.Keeper { return e.keeper }

// Dump is a copy of the state of an entry for operators.
type Dump struct {
	dispatch.Dump
	Durable keeper.Dump `json:"durable_jobs"`
}

// Dump returns the current state for operators.
func (e *Entry) Dump() Dump { return Dump{Dump: e.Core.Dump(), Durable: e.keeper.Dump()} }

// AwaitRoutingTable returns the routing configuration in force. If there is none
// yet, it waits for the first one until the context ends. It returns nil if there is
// still none.
func (e *Entry) AwaitRoutingTable(ctx context.Context) *routing.Table {
	if table := e.RoutingTable(); table != nil {
		return table
	}
	select {
	case <-ctx.Done():
	case <-e.configured:
	}
	return e.RoutingTable()
}

// ShouldCloseConnections reports whether callers should connect to another entry,
// because this one is stopping or cannot serve them at present. The load balancer
// sends new connections to other entries, but open ones stay until this entry
// closes them. An entry that lacks processor time keeps them: where its zone has no other
// entry, the callers would come back with new ones, which cost more.
func (e *Entry) ShouldCloseConnections() bool { return e.serves() != nil }

// CountResponse counts a response to a caller in the metrics, with its HTTP status
// and the time that it took.
func (e *Entry) CountResponse(status int, took time.Duration) { e.metrics.countResponse(status, took) }

// entryEnv is the dispatch.Env of an entry process.
type entryEnv Entry

func (e *entryEnv) Now() time.Time { return clock.Now() }

func (e *entryEnv) Record(d decision.Decision) { e.decisions.Record(d) }

func (e *entryEnv) NoteProgress(id batch.ID) { e.keeper.NoteProgress(id) }

func (e *entryEnv) DurableJobState(id batch.ID) dispatch.DurableJobState {
	return e.keeper.JobState(id)
}

func (e *entryEnv) AfterLogRead(f func(ok bool)) { e.keeper.AfterLogRead(f) }

func (e *entryEnv) Send(agent wire.Incarnation, m wire.Message) {
	e.mu.Lock()
	link := e.agents[agent]
	e.mu.Unlock()
	if link == nil {
		return
	}
	if orders, ok := m.(*wire.Orders); ok {
		link.conn.SetMessagePause(orders.IdleRenewInterval())
	}
	link.send(m)
}

// applyConfig puts a configuration in force and sends it to the other entries, unless
// the one in force has the same or a newer version.
func (e *Entry) applyConfig(c routing.Config, source string) {
	table := routing.NewTable(c)
	for {
		current := e.table.Load()
		if current != nil && current.Version >= c.Version {
			return
		}
		if e.table.CompareAndSwap(current, table) {
			if current == nil {
				close(e.configured)
			}
			break
		}
	}
	e.observer.Log.Info().Str("step", "config").Uint64("version", c.Version).Str("source", source).Int("queues", len(c.Queues)).
		Str("outcome", "in_force").Msg("configuration")
	e.applyServices()
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

// applyServices tells the core which services of the configuration in force have targets that
// enforce their capacity. Calls for several versions end with the newest.
func (e *Entry) applyServices() {
	e.servicesMu.Lock()
	defer e.servicesMu.Unlock()
	enforced := make(map[string]bool)
	for _, service := range e.RoutingTable().Services {
		enforced[service.Name] = service.EnforcesCapacity
	}
	for service := range e.services {
		if _, listed := enforced[service]; !listed {
			e.Core.SetCapacityEnforced(service, false)
		}
	}
	for service, enforces := range enforced {
		e.Core.SetCapacityEnforced(service, enforces)
	}
	e.services = enforced
}

var (
	errNoConfig         = errors.New("no configuration yet")
	errStopping         = errors.New("stopping")
	errNoAgents         = errors.New("no agent connected")
	errAgentReconnected = errors.New("the agent has a new connection")
	errSessionResumed   = errors.New("the agent opens a new session on its connection")
)

// Ready returns nil if the load balancer may send new connections to this entry,
// otherwise the reason why not.
func (e *Entry) Ready() error {
	if err := e.serves(); err != nil {
		return err
	}
	if e.shedder.guard.Lasting(clock.Now()) {
		return errOverloaded
	}
	return nil
}

// serves returns nil if this entry can serve callers at all, otherwise the reason why not.
func (e *Entry) serves() error {
	switch {
	case e.stopping.Load():
		return errStopping
	case e.RoutingTable() == nil:
		return errNoConfig
	case !e.Core.HasAgentContact():
		return errNoAgents
	}
	return nil
}

// AddTo adds the actors of the process to a run group. stop must be closed at the
// first signal to shut down. It returns an error if it cannot listen on PeerAddr.
func (e *Entry) AddTo(g *run.Group, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := e.intake.Listen(e.options.PeerAddr, intake.ListenerOptions{MaxConns: e.limits.Links, Raw: true,
		Limits: func() intake.RequestLimits {
			return intake.RequestLimits{HeaderBytes: maxFirstMessageBytes, HeaderTimeout: firstMessageTimeout}
		}})
	if err != nil {
		cancel()
		return errors.Wrap(err, "listen for processes")
	}
	actor := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	actor(func(ctx context.Context) error {
		return e.ticks.run(ctx, e.tick, func() bool { return e.ActiveJobs() > 0 })
	})
	actor(func(ctx context.Context) error { e.dialer.run(ctx); return nil })
	actor(e.followConfig)
	actor(e.saveCopies)
	actor(e.recoverConfig)
	actor(e.keeper.Run)
	actor(e.followMembers)
	actor(e.announce)
	actor(func(ctx context.Context) error { return runEvery(ctx, heartbeatInterval, e.sendHeartbeats) })
	actor(func(ctx context.Context) error { return runEvery(ctx, wire.SessionRenewInterval, e.forwarder.renew) })
	actor(e.metrics.report)
	g.Add(func() error {
		return stream.Serve(listener, func(c *stream.Conn) stream.Handler { return e.acceptLink(c) })
	}, func(error) { listener.Close() })
	e.serveCallers(g, ctx, stop)
	addServer(g, e.intake, "readiness", e.options.ReadyAddr, e.limits.Checks, e.options.ReadinessHandler(e.Ready))
	if e.options.ControlAddr != "" {
		addServer(g, e.intake, "control", e.options.ControlAddr, e.limits.Control, http.NotFoundHandler())
	}
	if e.options.MetricsAddr != "" {
		g.Add(observe.AdminOnPrivateNetwork(e.options.MetricsAddr, e.observer, func() any { return e.Dump() }, e.Ready, e.adminRoutes()...))
	}
	return nil
}

// tick does the periodic work.
func (e *Entry) tick() {
	start := time.Now()
	e.Core.RenewSessions()
	e.work.Add(observe.WorkRenewals, start)
	start = time.Now()
	e.Core.AssignWaiting()
	e.work.Add(observe.WorkPasses, start)
}

// explainPattern is the route of the admin server to EntryOptions.ExplainHandler.
const explainPattern = "POST /explain-placement"

func (e *Entry) adminRoutes() []observe.Route {
	if e.options.ExplainHandler == nil {
		return nil
	}
	return []observe.Route{{Pattern: explainPattern, Handler: e.options.ExplainHandler(e)}}
}

func (e *Entry) followConfig(ctx context.Context) error {
	condition := e.observer.Condition("store_config")
	e.options.Config.FollowConfig(ctx, func(c routing.Config) { e.applyConfig(c, "store") }, e.applyEvacuation, func(err error) {
		e.configUnreadable.Store(err != nil)
		condition.Set(err)
	})
	return nil
}

func (e *Entry) followMembers(ctx context.Context) error {
	condition := e.observer.Condition("store_members")
	e.options.Directory.FollowMembers(ctx, e.handleAnnounced, condition.Set)
	return nil
}

// handleAnnounced handles entries that have announced themselves, which each does when it
// starts.
func (e *Entry) handleAnnounced(members []wire.EntryMember) {
	e.addMembers(members)
	addrs := make([]string, len(members))
	for i, m := range members {
		addrs[i] = m.Addr
	}
	e.dialer.noteStarted(addrs)
}

// announce adds this entry to the directory. It retries every second until it
// succeeds once.
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
	handler := e.options.CallerHandler(e)
	server := intake.NewServer(handler, caller.WithConn)
	options := intake.ListenerOptions{MaxConns: e.limits.Conns, Limits: e.callerLimits}
	if early, ok := handler.(intake.EarlyAnswerer); ok {
		options.Early = early
	}
	g.Add(func() error {
		if err := e.intake.ListenAndServe(e.options.CallerAddr, options, server); err != nil {
			return errors.Wrap(err, "callers")
		}
		// Shutdown makes ListenAndServe return before the last responses are
		// written; drainOnSignal ends the group after them.
		<-ctx.Done()
		return nil
	}, func(error) { server.Close() })
	g.Add(func() error { return e.drainOnSignal(ctx, server, stop) }, func(error) {})
}

// callerLimits returns the limits of the configuration in force for the requests of callers.
func (e *Entry) callerLimits() intake.RequestLimits {
	table := e.RoutingTable()
	if table == nil {
		return intake.RequestLimits{}
	}
	return intake.RequestLimits{HeaderBytes: table.Limits.HeaderBytes, HeaderTimeout: table.Limits.HeaderTimeout, IdleTimeout: table.Limits.IdleTimeout}
}

// drainOnSignal ends the process after the first signal to shut down, once every
// request has been answered and no durable job runs here any more. Requests that
// are still open when only the shutdownReserve remains of the grace period are
// given up.
func (e *Entry) drainOnSignal(ctx context.Context, server *http.Server, stop <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	start := time.Now()
	e.stopping.Store(true)
	e.observer.Log.Info().Str("step", "stop").Int("jobs", e.ActiveJobs()).Msg("entry draining")
	time.Sleep(drainDelay)
	drainCtx, cancel := context.WithTimeout(ctx, e.options.Grace-shutdownReserve-drainDelay)
	defer cancel()
	err := server.Shutdown(drainCtx)
	for e.servesForwarded() && drainCtx.Err() == nil {
		time.Sleep(waitPollInterval)
	}
	unfinished := e.ActiveJobs()
	for e.keeper.OwnedJobs() > 0 && time.Since(start) < e.options.Grace-shutdownReserve {
		time.Sleep(waitPollInterval)
	}
	if err != nil {
		e.GiveUpNonDurable()
		finalCtx, cancelFinal := context.WithTimeout(ctx, shutdownReserve/2)
		defer cancelFinal()
		err = server.Shutdown(finalCtx)
	}
	e.observer.Log.Info().Err(err).Str("step", "stop").Int("given_up", unfinished).Int64("took_ms", time.Since(start).Milliseconds()).Msg("entry ends")
	return nil
}
