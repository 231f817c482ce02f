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
	"github.com/azurerouter/azurerouter/version/config"
)

const (
	tickInterval = 50 * time.Millisecond
	// ticksPerReport sets the interval at which metrics are updated to 1 s.
	ticksPerReport = 20
	// drainPollInterval is the interval at which a graceful shutdown checks
	// whether the agent is drained.
	drainPollInterval = 20 * time.Millisecond
)

// Daemon runs a Core as a process.
type Daemon struct {
	settings *settings.Agent
	observer *observe.Observer
	identity *peer.Identity
	target   *target.Client
	core     *Core
	self     wire.Incarnation
	// unreachable is the condition that is active while an entry cannot be
	// dialled.
	unreachable *observe.Unreachable
	certificate *observe.Certificate

	mu sync.Mutex
	// conns holds the current connections by entry incarnation.
	conns map[wire.Incarnation]*peer.Conn
	// entries holds the known entries by incarnation.
	entries map[wire.Incarnation]wire.EntryAddress
	// membersOffset is the offset of the member list from which entries was
	// set.
	membersOffset uint64
	// closedForLease holds the connections that were closed because the lease
	// lapsed.
	closedForLease map[wire.Incarnation]*peer.Conn
}

// NewDaemon returns an agent process that has not opened any connection or
// port. It returns an error if the key files cannot be read.
func NewDaemon(s *settings.Agent, observer *observe.Observer) (*Daemon, error) {
	identity, err := peer.LoadIdentity(s.Keys)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, observer: observer, identity: identity,
		target: target.New(s.TargetURL, s.MaxConns), self: wire.NewIncarnation(), unreachable: observer.Unreachable("entry_unreachable"),
		certificate:    observer.Certificate(),
		conns:          make(map[wire.Incarnation]*peer.Conn),
		entries:        make(map[wire.Incarnation]wire.EntryAddress),
		closedForLease: make(map[wire.Incarnation]*peer.Conn),
	}
	d.core = NewCore((*daemonEnv)(d), Options{Incarnation: d.self, Service: s.Service, Slots: s.Slots,
		Backlog: settings.DefaultBacklog, Limits: fencing.DefaultLimits})
	return d, nil
}

// AddTo adds the actors of the process to a run group. stop is closed by the
// first signal to shut down, after which the agent drains.
func (d *Daemon) AddTo(g *run.Group, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return d.tick(ctx) }, func(error) { cancel() })
	dialer := &peer.Dialer{Identity: d.identity, Hello: d.hello, Handler: (*handler)(d), Addresses: d.wanted, OnDialError: d.unreachable.Failed}
	g.Add(func() error { return dialer.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return d.drainOnSignal(ctx, stop) }, func(error) { cancel() })
	g.Add(observe.Admin(d.settings.AdminAddr, d.observer, func() any { return d.dump() }, d.ready))
	d.observer.Log.Info().Str("incarnation", d.self.String()).Str("service", d.settings.Service).
		Str("zone", d.settings.Zone).Msg("agent started")
	return nil
}

// daemonDump extends the state of Core by the settings and connections of the
// process.
type daemonDump struct {
	Dump
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// EntryNames maps the incarnations of the connected entries to their names.
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

// ready returns nil if the agent can accept tasks, and otherwise the reason why
// it cannot.
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
	var reported Dump
	for ticks := 0; ; ticks++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.core.Tick()
		}
		if ticks%ticksPerReport == 0 {
			reported = d.report(reported)
		}
	}
}

// report updates the metrics that are derived from the state of Core, and
// returns that state. Counters increase by the difference to the previous
// state.
func (d *Daemon) report(previous Dump) Dump {
	m := d.observer.Metrics
	current := d.core.Dump()
	m.Counter(observe.TasksStarted).Inc(int64(current.Counters.Started - previous.Counters.Started))
	for reason, count := range current.Counters.NotStarted {
		m.Tagged(map[string]string{observe.TagReason: string(reason)}).Counter(observe.TasksNotStarted).
			Inc(int64(count - previous.Counters.NotStarted[reason]))
	}
	for outcome, count := range current.Counters.Ended {
		m.Tagged(map[string]string{observe.TagOutcome: string(outcome)}).Counter(observe.TasksEnded).
			Inc(int64(count - previous.Counters.Ended[outcome]))
	}
	m.Gauge(observe.SlotsUsed).Update(float64(current.Running))
	m.Gauge(observe.ResultBytesHeld).Update(float64(current.ResultBytes))
	m.Gauge(observe.ConfigOffset).Update(float64(current.ConfigOffset))
	m.Gauge(observe.Connections).Update(float64(len(current.Entries)))
	// GetClientCertificate also loads a replaced certificate, so that this
	// happens even if no new connection is made.
	if own, err := d.identity.TLS().GetClientCertificate(nil); err == nil && own.Leaf != nil {
		d.certificate.Report(time.Now(), own.Leaf, d.identity.ReloadError())
	}
	return current
}

// drainOnSignal waits for stop and shuts down gracefully: the agent refuses new
// tasks, and returns nil when running tasks have ended and the entries have
// released their results, or at the drain timeout.
func (d *Daemon) drainOnSignal(ctx context.Context, stop <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stop:
	}
	d.observer.Log.Info().Msg("draining")
	d.core.Leave()
	deadline := time.After(d.settings.DrainTimeout())
	poll := time.NewTicker(drainPollInterval)
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

// logDrainTimeout logs whether the drain timeout cuts off tasks, or only
// results remain that no entry has acknowledged, for example because the entry
// has died.
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

// wanted returns the addresses to dial: the known entries without a connection,
// and the seeds while no entry is connected.
func (d *Daemon) wanted() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addrs []string
	for incarnation, entry := range d.entries {
		if _, connected := d.conns[incarnation]; !connected {
			addrs = append(addrs, entry.PeerAddr)
		}
	}
	if len(d.conns) == 0 {
		addrs = append(addrs, d.settings.Seeds...)
	}
	d.unreachable.EndExcept(addrs)
	return addrs
}

// handler handles the events of the connections to entries.
type handler Daemon

// Connected implements peer.Handler.
func (h *handler) Connected(c *peer.Conn) error {
	d := (*Daemon)(h)
	if c.Peer.Role != wire.RoleEntry {
		return errors.Newf("peer %s is not an entry", c.Peer.Name)
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
		d.applyMembers(members)
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
		delete(d.closedForLease, c.Peer.Incarnation)
	}
	d.mu.Unlock()
	if current {
		d.core.Disconnected(c.Peer.Incarnation)
		d.observer.Log.Info().Str("step", "connection").Str("peer", c.Peer.Name).Str("incarnation", c.Peer.Incarnation.String()).Err(err).Msg("entry disconnected")
	}
}

// applyMembers replaces the known entries unless the list is older than the
// last one applied.
func (d *Daemon) applyMembers(m *wire.Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Offset < d.membersOffset {
		return
	}
	d.membersOffset = m.Offset
	clear(d.entries)
	for _, entry := range m.Entries {
		d.entries[entry.Incarnation] = entry
	}
}

// daemonEnv implements Env with the connections and the clock of the process.
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
	// Core calls Disconnect again for every further message that was buffered.
	alreadyClosed := conn == nil || e.closedForLease[entry] == conn
	e.closedForLease[entry] = conn
	e.mu.Unlock()
	if !alreadyClosed {
		e.observer.Log.Warn().Str("step", "lease").Str("peer", conn.Peer.Name).Str("incarnation", entry.String()).
			Msg("lease lapsed, connecting again")
		conn.Close()
	}
}

// CallTarget implements Env.
func (e *daemonEnv) CallTarget(call target.Call, done func(target.Result)) (cancel func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		done(e.target.Run(ctx, call))
	}()
	return cancel
}

// ReportConfigError implements Env.
func (e *daemonEnv) ReportConfigError(entry wire.Incarnation, err error) {
	var disagreement *config.DisagreementError
	e.observer.Log.Warn().Str("step", "config").Str("peer", entry.String()).Err(err).Msg("configuration rejected")
	if errors.As(err, &disagreement) {
		e.observer.ReportViolation("G8", "config", entry.String(), err.Error())
	}
}

// ReportViolation implements Env.
func (e *daemonEnv) ReportViolation(guarantee, step, peer, detail string) {
	e.observer.ReportViolation(guarantee, step, peer, detail)
}
