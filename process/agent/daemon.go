package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/peer"
	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/fencing"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/settings"
)

const (
	tickInterval = 50 * time.Millisecond
	// ticksPerReport sets the interval of metrics to 1 s.
	ticksPerReport = 20
	// drainPoll is how often a shutdown looks whether everything has ended.
	drainPoll = 20 * time.Millisecond
)

// Daemon runs a Core as a process.
type Daemon struct {
	settings *settings.Agent
	observer *observe.Observer
	identity *peer.Identity
	target   *target.Client
	core     *Core
	self     wire.Incarnation
	// unreachable holds while an entry cannot be dialled.
	unreachable *observe.Unreachable
	certificate *observe.Certificate

	mu sync.Mutex
	// conns are the connections by entry incarnation.
	conns map[wire.Incarnation]*peer.Conn
	// entries are the known entries; seeds are dialled until one answers.
	entries map[wire.Incarnation]wire.EntryAddress
	members uint64
	// closing are the connections that were closed for a lapsed lease.
	closing map[wire.Incarnation]*peer.Conn
}

// NewDaemon prepares an agent process. It opens nothing yet.
func NewDaemon(s *settings.Agent, observer *observe.Observer) (*Daemon, error) {
	identity, err := peer.LoadIdentity(s.Keys)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, observer: observer, identity: identity,
		target: target.New(s.TargetURL, s.MaxConns), self: wire.NewIncarnation(), unreachable: observer.Unreachable("entry_unreachable"),
		certificate: observer.Certificate(),
		conns:       make(map[wire.Incarnation]*peer.Conn),
		entries:     make(map[wire.Incarnation]wire.EntryAddress),
		closing:     make(map[wire.Incarnation]*peer.Conn),
	}
	d.core = NewCore((*daemonEnv)(d), Options{Incarnation: d.self, Service: s.Service, Slots: s.Slots,
		Backlog: settings.DefaultBacklog, Limits: fencing.DefaultLimits})
	return d, nil
}

// AddTo adds the actors of the process to a run group. stop ends with the first
// signal to shut down, for which the agent drains.
func (d *Daemon) AddTo(g *run.Group, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return d.tick(ctx) }, func(error) { cancel() })
	dialer := &peer.Dialer{Identity: d.identity, Hello: d.hello, Handler: (*handler)(d), Wanted: d.wanted, Failed: d.unreachable.Failed}
	g.Add(func() error { return dialer.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return d.drainOn(ctx, stop) }, func(error) { cancel() })
	g.Add(observe.Admin(d.settings.AdminAddr, d.observer, func() any { return d.dump() }, d.ready))
	d.observer.Log.Info().Str("incarnation", d.self.String()).Str("service", d.settings.Service).
		Str("zone", d.settings.Zone).Msg("agent started")
	return nil
}

// daemonDump adds what only the process knows.
type daemonDump struct {
	Dump
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// EntryNames are the names of the connected entries by incarnation.
	EntryNames map[string]string `json:"entry_names"`
}

func (d *Daemon) dump() daemonDump {
	dump := daemonDump{Dump: d.core.Dump(), Service: d.settings.Service, Zone: d.settings.Zone,
		EntryNames: make(map[string]string)}
	d.mu.Lock()
	defer d.mu.Unlock()
	for incarnation, conn := range d.conns {
		dump.EntryNames[incarnation.String()] = conn.Peer.Name
	}
	return dump
}

func (d *Daemon) ready() error {
	if d.core.Dump().Leaving {
		return errors.New("this agent is leaving")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) == 0 {
		return errors.New("no entry is connected")
	}
	if d.core.ConfigOffset() == 0 {
		return errors.New("no configuration is known yet")
	}
	return nil
}

func (d *Daemon) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var before Dump
	for ticks := 0; ; ticks++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.core.Tick()
		}
		if ticks%ticksPerReport == 0 {
			before = d.report(before)
		}
	}
}

// report keeps the metrics that are read from the state of Core.
func (d *Daemon) report(before Dump) Dump {
	m := d.observer.Metrics
	now := d.core.Dump()
	m.Counter(observe.TasksStarted).Inc(int64(now.Counters.Started - before.Counters.Started))
	for reason, count := range now.Counters.NotStarted {
		m.Tagged(map[string]string{observe.TagReason: string(reason)}).Counter(observe.TasksNotStarted).
			Inc(int64(count - before.Counters.NotStarted[reason]))
	}
	for outcome, count := range now.Counters.Ended {
		m.Tagged(map[string]string{observe.TagOutcome: string(outcome)}).Counter(observe.TasksEnded).
			Inc(int64(count - before.Counters.Ended[outcome]))
	}
	m.Gauge(observe.SlotsUsed).Update(float64(now.Running))
	m.Gauge(observe.ResultBytesHeld).Update(float64(now.ResultBytes))
	m.Gauge(observe.ConfigOffset).Update(float64(now.ConfigOffset))
	m.Gauge(observe.Connections).Update(float64(len(now.Entries)))
	// This also reads a replaced certificate, without a new connection.
	if own, err := d.identity.TLS().GetClientCertificate(nil); err == nil && own.Leaf != nil {
		d.certificate.Report(time.Now(), own.Leaf, d.identity.ReloadError())
	}
	return now
}

// drainOn ends the process after a graceful shutdown: no new work, what runs
// ends, and its results reach their entries.
func (d *Daemon) drainOn(ctx context.Context, stop <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stop:
	}
	d.observer.Log.Info().Msg("draining")
	d.core.Leave()
	deadline := time.After(d.settings.DrainTimeout())
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for !d.core.Drained() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline:
			d.logDrainTimeout()
			return nil
		case <-poll.C:
		}
	}
	d.observer.Log.Info().Msg("drained")
	return nil
}

// logDrainTimeout tells tasks that are cut off from results that no entry has
// acknowledged, as after the death of an entry.
func (d *Daemon) logDrainTimeout() {
	dump := d.core.Dump()
	if tasks := dump.Running + dump.Queued; tasks > 0 {
		d.observer.Log.Warn().Int("tasks", tasks).Msg("drain timeout, tasks are cut off")
		return
	}
	d.observer.Log.Warn().Int64("result_bytes", dump.ResultBytes).Msg("drain timeout, results are not acknowledged")
}

func (d *Daemon) hello() wire.Hello {
	return wire.Hello{Role: wire.RoleAgent, Incarnation: d.self, Name: d.settings.Name, Zone: d.settings.Zone,
		Service: d.settings.Service, Slots: d.settings.Slots, MemoryMB: d.settings.MemoryMB,
		Accelerators: d.settings.Accelerators, ConfigOffset: d.core.ConfigOffset()}
}

// wanted lists the entries without a connection, and the seeds while no entry is
// connected.
func (d *Daemon) wanted() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addrs []string
	for inc, entry := range d.entries {
		if _, connected := d.conns[inc]; !connected {
			addrs = append(addrs, entry.PeerAddr)
		}
	}
	if len(d.conns) == 0 {
		addrs = append(addrs, d.settings.Seeds...)
	}
	d.unreachable.Retain(addrs)
	return addrs
}

// handler receives the events of the connections to entries.
type handler Daemon

// Connected implements peer.Handler.
func (h *handler) Connected(c *peer.Conn) error {
	d := (*Daemon)(h)
	if c.Peer.Role != wire.RoleEntry {
		return errors.Newf("peer %s is no entry", c.Peer.Name)
	}
	d.mu.Lock()
	earlier := d.conns[c.Peer.Incarnation]
	d.conns[c.Peer.Incarnation] = c
	d.mu.Unlock()
	if earlier != nil {
		earlier.Close()
	}
	d.core.Connected(c.Peer.Incarnation)
	d.observer.Log.Info().Str("step", "connect").Str("peer", c.Peer.Name).Str("incarnation", c.Peer.Incarnation.String()).Msg("entry connected")
	return nil
}

// Received implements peer.Handler.
func (h *handler) Received(c *peer.Conn, m wire.Message) {
	d := (*Daemon)(h)
	d.observer.CountReceived(m)
	if members, ok := m.(*wire.Members); ok {
		d.learn(members)
		return
	}
	d.core.Received(c.Peer.Incarnation, m)
}

// Disconnected implements peer.Handler.
func (h *handler) Disconnected(c *peer.Conn, err error) {
	d := (*Daemon)(h)
	d.mu.Lock()
	current := d.conns[c.Peer.Incarnation] == c
	if current {
		delete(d.conns, c.Peer.Incarnation)
		delete(d.closing, c.Peer.Incarnation)
	}
	d.mu.Unlock()
	if current {
		d.core.Disconnected(c.Peer.Incarnation)
		d.observer.Log.Info().Str("step", "connection").Str("peer", c.Peer.Name).Str("incarnation", c.Peer.Incarnation.String()).Err(err).Msg("entry disconnected")
	}
}

// learn replaces the known entries unless the list is older than one applied.
func (d *Daemon) learn(m *wire.Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Offset < d.members {
		return
	}
	d.members = m.Offset
	clear(d.entries)
	for _, entry := range m.Entries {
		d.entries[entry.Incarnation] = entry
	}
}

// daemonEnv is the Env of a Core that runs as a process.
type daemonEnv Daemon

// Now implements Env.
func (e *daemonEnv) Now() time.Time { return time.Now() }

// Send implements Env.
func (e *daemonEnv) Send(entry wire.Incarnation, m wire.Message) {
	e.mu.Lock()
	conn := e.conns[entry]
	e.mu.Unlock()
	if conn != nil && conn.Send(m) == nil {
		e.observer.CountSent(m)
	}
}

// Disconnect implements Env.
func (e *daemonEnv) Disconnect(entry wire.Incarnation) {
	e.mu.Lock()
	conn := e.conns[entry]
	// Every message that is still buffered asks for it again.
	closing := conn == nil || e.closing[entry] == conn
	e.closing[entry] = conn
	e.mu.Unlock()
	if !closing {
		e.observer.Log.Warn().Str("step", "lease").Str("peer", conn.Peer.Name).Str("incarnation", entry.String()).
			Msg("lease lapsed, connecting again")
		conn.Close()
	}
}

// Run implements Env.
func (e *daemonEnv) Run(call target.Call, done func(target.Result)) (cancel func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		done(e.target.Run(ctx, call))
	}()
	return cancel
}

// Violated implements Env.
func (e *daemonEnv) Violated(guarantee, step, peer, detail string) {
	e.observer.Violated(guarantee, step, peer, detail)
}
