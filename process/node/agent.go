package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/runner"
)

// Times and bounds of an agent process.
const (
	// maxHolds is how many calls wait at a target whose answers get lost.
	maxHolds = 3
	// targetPoll is the pause before the next look for a target to hold.
	targetPoll = 20 * time.Millisecond
	// directoryInterval is how often a process that is connected to no entry
	// asks the platform's store for entries.
	directoryInterval = 2 * time.Second
)

// TargetClient calls the target beside an agent.
type TargetClient interface {
	Start(ctx context.Context, c runner.StartCall) runner.Answer
	Stop(ctx context.Context, c runner.StopCall) runner.Answer
	Hold(ctx context.Context, c runner.HoldCall) (runner.HoldAnswer, runner.Verdict)
}

// Directory is where entries announce themselves.
type Directory interface {
	Announce(ctx context.Context, m wire.EntryMember) error
	Members(ctx context.Context) ([]wire.EntryMember, error)
	FollowMembers(ctx context.Context, apply func([]wire.EntryMember), state func(error))
}

// AgentOptions describe an agent process.
type AgentOptions struct {
	Node  string
	Zone  string
	Seeds []string
	Grace time.Duration
	// ControlAddr is where the target reports; Control returns its handler.
	ControlAddr string
	Control     func(*runner.Core) http.Handler
	MetricsAddr string
	Target      TargetClient
	Directory   Directory
	// Find asks others for the target's report, after a restart beside a
	// target that has reported long ago; nil to wait for its next report.
	Find func(ctx context.Context) (runner.TargetReport, error)
}

// Agent runs a runner.Core as a process.
type Agent struct {
	options   AgentOptions
	observer  *observe.Observer
	decisions *observe.Decisions
	core      *runner.Core
	dialer    *dialer
	ctx       context.Context

	mu      sync.Mutex
	entries map[wire.Incarnation]*entryLink
}

// entryLink is the connection to one entry.
type entryLink struct {
	agent *Agent
	conn  *stream.Conn
	entry wire.Incarnation
	ended chan struct{}
}

// NewAgent prepares an agent process. It opens nothing yet.
func NewAgent(options AgentOptions, observer *observe.Observer, decisions *observe.Decisions) *Agent {
	a := &Agent{options: options, observer: observer, decisions: decisions, entries: make(map[wire.Incarnation]*entryLink)}
	a.core = runner.New((*agentEnv)(a), runner.Options{Agent: wire.NewIncarnation(), Node: options.Node, Zone: options.Zone,
		Fence: uint64(time.Now().UnixMilli())})
	a.dialer = newDialer("", options.Seeds, observer.Log, a.connect)
	return a
}

// agentEnv is the runner.Env of an agent process.
type agentEnv Agent

func (e *agentEnv) Now() time.Time { return clock.Now() }

func (e *agentEnv) Decided(d decision.Decision) { e.decisions.Decided(d) }

func (e *agentEnv) Send(entry wire.Incarnation, m wire.Message) {
	e.mu.Lock()
	link := e.entries[entry]
	e.mu.Unlock()
	if link != nil {
		link.send(m)
	}
}

func (e *agentEnv) Disconnect(entry wire.Incarnation) {
	e.mu.Lock()
	link := e.entries[entry]
	e.mu.Unlock()
	if link != nil {
		link.conn.Close()
	}
}

func (e *agentEnv) Start(c runner.StartCall) {
	go func() { e.core.StartAnswered(c, e.options.Target.Start(e.ctx, c)) }()
}

func (e *agentEnv) Stop(c runner.StopCall) {
	go func() { e.core.StopAnswered(c, e.options.Target.Stop(e.ctx, c)) }()
}

func (e *agentEnv) Look() {
	go (*Agent)(e).hold(false)
}

// hold makes one call that holds the lease. It reports whether it was answered.
func (a *Agent) hold(wait bool) bool {
	call, ok := a.core.NextHold(wait)
	if !ok {
		return false
	}
	answer, verdict := a.options.Target.Hold(a.ctx, call)
	if verdict != runner.VerdictDone {
		a.core.HoldFailed(call, verdict)
		return false
	}
	a.core.HoldAnswered(call, answer)
	return true
}

// send queues a message. A link that can't take it ends, which its reader
// reports.
func (l *entryLink) send(m wire.Message) {
	if err := l.conn.Send(m); err != nil {
		l.agent.observer.Log.Warn().Err(err).Str("step", "send").Msg("entry link closed")
	}
}

// Received handles a message of an entry.
func (l *entryLink) Received(m wire.Message) {
	switch m := m.(type) {
	case *wire.EntryHello:
		l.agent.dialer.add(m.Entries)
		l.agent.connected(l, m)
	case *wire.EntryMembers:
		l.agent.dialer.add(m.Entries)
	case *wire.Orders:
		l.agent.core.Received(l.entry, m)
	}
}

// Closed forgets the connection.
func (l *entryLink) Closed(err error) {
	defer close(l.ended)
	l.agent.mu.Lock()
	current := l.entry != 0 && l.agent.entries[l.entry] == l
	if current {
		delete(l.agent.entries, l.entry)
	}
	l.agent.mu.Unlock()
	if current {
		l.agent.observer.Log.Info().Err(err).Str("step", "entry").Str("peer", l.entry.String()).Str("outcome", "disconnected").Msg("entry lost")
		l.agent.core.Disconnected(l.entry)
	}
}

// connected takes the hello of an entry. A second connection to the same entry
// replaces the first.
func (a *Agent) connected(l *entryLink, hello *wire.EntryHello) {
	l.entry = hello.Entry
	a.mu.Lock()
	before := a.entries[hello.Entry]
	a.entries[hello.Entry] = l
	a.mu.Unlock()
	if before != nil {
		before.conn.Close()
	}
	a.observer.Log.Info().Str("step", "entry").Str("peer", hello.Entry.String()).Str("name", hello.Name).Str("outcome", "connected").Msg("entry found")
	a.core.Connected(hello.Entry)
}

// connect dials an entry once the agent may enroll.
func (a *Agent) connect(ctx context.Context, addr string) bool {
	for !a.core.MayEnroll() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stopPoll):
		}
	}
	link := &entryLink{agent: a, ended: make(chan struct{})}
	dialled := holdLink(ctx, addr, link.ended, func(c *stream.Conn) stream.Handler {
		link.conn = c
		return link
	})
	return dialled && link.entry != 0
}

// AddTo adds the actors of the process to a run group. stop is closed by the
// first signal to shut down.
func (a *Agent) AddTo(g *run.Group, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.ctx = ctx
	actor := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	actor(func(ctx context.Context) error { return every(ctx, tickInterval, a.core.Tick) })
	actor(func(ctx context.Context) error { a.dialer.run(ctx); return nil })
	for n := range maxHolds {
		actor(func(ctx context.Context) error { return a.holdLease(ctx, n) })
	}
	actor(a.findTarget)
	actor(a.searchEntries)
	actor(func(ctx context.Context) error { return a.leaveOn(ctx, stop) })
	actor(newAgentMetrics(a.observer, a.core).report)
	addServer(g, "control", a.options.ControlAddr, a.options.Control(a.core))
	if a.options.MetricsAddr != "" {
		g.Add(observe.PrivateNetwork(a.options.MetricsAddr, a.observer, func() any { return a.core.Dump() }, func() error { return nil }))
	}
	return nil
}

// findTarget asks once for a target that is there already.
func (a *Agent) findTarget(ctx context.Context) error {
	if a.options.Find != nil {
		report, err := a.options.Find(ctx)
		a.observer.Log.Info().Err(err).Str("step", "find_target").Str("peer", report.Target).Msg("target looked up")
		if err == nil {
			a.core.Found(report)
		}
	}
	<-ctx.Done()
	return nil
}

// holdLease keeps a call waiting at the target. Only the first of several does
// so while no answers get lost.
func (a *Agent) holdLease(ctx context.Context, n int) error {
	for ctx.Err() == nil {
		if (n == 0 || a.core.Lossy()) && a.hold(true) {
			pause(ctx, a.core.HoldPause())
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(targetPoll):
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// searchEntries asks the store for entries while none is connected.
func (a *Agent) searchEntries(ctx context.Context) error {
	return every(ctx, directoryInterval, func() {
		a.mu.Lock()
		connected := len(a.entries)
		a.mu.Unlock()
		if connected > 0 {
			return
		}
		members, err := a.options.Directory.Members(ctx)
		a.observer.Log.Info().Err(err).Str("step", "search_entries").Int("found", len(members)).Msg("no entry connected")
		a.dialer.add(members)
	})
}

// leaveOn ends the process after the first signal, once the runs have ended.
func (a *Agent) leaveOn(ctx context.Context, stop <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	began := time.Now()
	a.observer.Log.Info().Str("step", "stop").Int("runs", a.core.Runs()).Msg("agent leaving")
	a.core.Leave()
	for a.core.Runs() > 0 && time.Since(began) < a.options.Grace-stopMargin {
		time.Sleep(stopPoll)
	}
	a.core.StopAll()
	for a.core.Runs() > 0 && time.Since(began) < a.options.Grace-stopMargin/2 {
		time.Sleep(stopPoll)
	}
	a.observer.Log.Info().Str("step", "stop").Int("runs", a.core.Runs()).Int64("took_ms", time.Since(began).Milliseconds()).Msg("agent ends")
	return nil
}
