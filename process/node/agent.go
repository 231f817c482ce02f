package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/intake"
	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// Intervals and limits of an agent process.
const (
	// maxConcurrentHolds is the number of hold calls that wait at the target at the
	// same time while its answers get lost (see runner.Core.AnswersLost).
	maxConcurrentHolds = 3
	// holdRetryPause is the pause after a hold call that failed or was not due.
	holdRetryPause = 20 * time.Millisecond
	// maxLookups bounds the attempts to look up a target that has not reported itself. The
	// pause between two of them is minLookupPause and a random part of lookupPauseSpread,
	// so that agents that were refused together don't try again together. All attempts
	// fit in the time between two reports of a target.
	maxLookups        = 3
	minLookupPause    = 150 * time.Millisecond
	lookupPauseSpread = 350 * time.Millisecond
	// directoryPollInterval is how often an agent that is connected to no entry
	// reads the list of entries from the platform's store.
	directoryPollInterval = 2 * time.Second
	// startPollPeriod is the time after the start of an agent in which it does so more
	// often, after startPollPause and a random part of startPollSpread: after a restart of
	// all processes other entries may be up before the seeds are. The spread keeps the
	// reads of all agents apart.
	startPollPeriod = 3 * time.Second
	startPollPause  = 60 * time.Millisecond
	startPollSpread = 120 * time.Millisecond
)

// TargetClient calls the target beside an agent.
type TargetClient interface {
	// Start asks the target to start a run.
	Start(ctx context.Context, c runner.StartCall) runner.Answer
	// Stop asks the target to stop a run.
	Stop(ctx context.Context, c runner.StopCall) runner.Answer
	// Hold renews the lease of the runs and returns those that run or have ended.
	// The answer is valid only with runner.VerdictDone.
	Hold(ctx context.Context, c runner.HoldCall) (runner.HoldAnswer, runner.Verdict)
}

// Directory holds the names and addresses of the entries.
type Directory interface {
	// Announce adds an entry to the directory.
	Announce(ctx context.Context, m wire.EntryMember) error
	// Members returns the entries in the directory.
	Members(ctx context.Context) ([]wire.EntryMember, error)
	// FollowMembers calls apply with the entries that are announced, until the
	// context ends. It calls report with the error of each failed read, and with
	// nil after each successful one.
	FollowMembers(ctx context.Context, apply func([]wire.EntryMember), report func(error))
}

// AgentOptions configures an agent process.
type AgentOptions struct {
	// Node is the name of the instance, Zone its availability zone.
	Node string
	Zone string
	// Seeds are the addresses of entries that are dialled from the start.
	Seeds []string
	// Grace is the time from the signal to shut down to the kill.
	Grace time.Duration
	// ControlAddr is where the agent listens for the reports of its target;
	// ControlHandler returns the handler for them.
	ControlAddr    string
	ControlHandler func(*runner.Core) http.Handler
	// MetricsAddr is where the admin server listens; empty to run none.
	MetricsAddr string
	// Limits bounds what the clients of the process can take; zero selects defaults.
	Limits    intake.Limits
	Target    TargetClient
	Directory Directory
	// FindTarget looks up the report of the target in the platform. An agent that
	// is restarted needs it, because its target may have sent its last report long
	// before. If it is nil the agent waits for the next report.
	FindTarget func(ctx context.Context) (runner.TargetReport, error)
}

// Agent runs a runner.Core as a process.
type Agent struct {
	options   AgentOptions
	observer  *observe.Observer
	decisions *observe.Decisions
	core      *runner.Core
	dialer    *dialer
	ticks     *tickMonitor
	ctx       context.Context
	// answersLost receives a value for each additional hold loop after an answer of
	// the target was lost.
	answersLost chan struct{}

	mu sync.Mutex
	// entries holds the connected entries that have sent their hello.
	entries map[wire.Incarnation]*entryLink
}

// entryLink is the connection to one entry.
type entryLink struct {
	agent *Agent
	conn  *stream.Conn
	// entry is zero until the hello of the entry has been received.
	entry wire.Incarnation
	// addr is the address that was dialled.
	addr string
	// done is closed when the connection has ended.
	done chan struct{}
}

// NewAgent returns an agent process that opens no connection before AddTo.
func NewAgent(options AgentOptions, observer *observe.Observer, decisions *observe.Decisions) *Agent {
	a := &Agent{options: options, observer: observer, decisions: decisions, entries: make(map[wire.Incarnation]*entryLink),
		answersLost: make(chan struct{}, maxConcurrentHolds-1)}
	a.core = runner.New((*agentEnv)(a), runner.Options{Agent: wire.NewIncarnation(), Node: options.Node, Zone: options.Zone,
		Fence: uint64(time.Now().UnixMilli())})
	a.ticks = newTickMonitor(observer)
	a.dialer = newDialer(options.Node, "", options.Seeds, observer.Log, a.dialEntry)
	return a
}

// agentEnv is the runner.Env of an agent process.
type agentEnv Agent

func (e *agentEnv) Now() time.Time { return clock.Now() }

func (e *agentEnv) Record(d decision.Decision) { e.decisions.Record(d) }

func (e *agentEnv) Send(entry wire.Incarnation, m wire.Message) {
	e.mu.Lock()
	link := e.entries[entry]
	e.mu.Unlock()
	if link != nil {
		link.send(m)
	}
}

func (e *agentEnv) Start(c runner.StartCall) {
	go func() {
		answer := e.options.Target.Start(e.ctx, c)
		e.core.HandleStartAnswer(c, answer)
		(*Agent)(e).noteVerdict(answer.Verdict)
	}()
}

func (e *agentEnv) Stop(c runner.StopCall) {
	go func() { e.core.HandleStopAnswer(c, e.options.Target.Stop(e.ctx, c)) }()
}

func (e *agentEnv) RequestHold() {
	go (*Agent)(e).sendHold(false)
}

// sendHold makes one hold call to the target, which renews the lease of its runs,
// and passes the answer to the core. With wait the target may delay its answer
// until a run ends. It reports whether the target answered.
func (a *Agent) sendHold(wait bool) bool {
	call, ok := a.core.NextHold(wait)
	if !ok {
		return false
	}
	answer, verdict := a.options.Target.Hold(a.ctx, call)
	if verdict != runner.VerdictDone {
		a.core.HoldFailed(call, verdict)
		a.noteVerdict(verdict)
		return false
	}
	a.core.HandleHoldAnswer(call, answer)
	return true
}

// send queues a message. If the queue of the connection cannot take it, the
// connection is closed, which Closed then handles.
func (l *entryLink) send(m wire.Message) {
	l.agent.observer.CountSent(m)
	if err := l.conn.Send(m); err != nil {
		l.agent.observer.Log.Warn().Err(err).Str("step", "send").Msg("message not queued, connection to entry closed")
	}
}

// Received handles a message from an entry.
func (l *entryLink) Received(m wire.Message) {
	l.agent.observer.CountReceived(m)
	switch m := m.(type) {
	case *wire.EntryHello:
		l.agent.dialer.add(m.Entries)
		l.agent.handleEvacuation(m.Evacuation)
		l.agent.handleHello(l, m)
	case *wire.EntryMembers:
		l.agent.dialer.add(m.Entries)
		l.agent.dialer.noteStarted(m.Started)
		l.agent.handleEvacuation(m.Evacuation)
	case *wire.Orders:
		l.conn.SetMessagePause(m.IdleRenewInterval())
		l.agent.core.HandleMessage(l.entry, m)
	}
}

// handleEvacuation handles the evacuated zones in a message of an entry, if any.
func (a *Agent) handleEvacuation(state *evacuation.State) {
	if state != nil {
		a.core.HandleEvacuation(*state)
	}
}

// Closed removes the connection, unless a newer one has replaced it already.
func (l *entryLink) Closed(err error) {
	defer close(l.done)
	l.agent.mu.Lock()
	current := l.entry != 0 && l.agent.entries[l.entry] == l
	if current {
		delete(l.agent.entries, l.entry)
	}
	l.agent.mu.Unlock()
	if current {
		l.agent.observer.Log.Info().Err(err).Str("step", "entry").Str("peer", l.entry.String()).Str("outcome", "disconnected").Msg("disconnected from entry")
		l.agent.core.Disconnected(l.entry)
	}
}

// handleHello registers the connection under the incarnation that the entry has
// sent. A second connection to the same entry replaces the first.
func (a *Agent) handleHello(l *entryLink, hello *wire.EntryHello) {
	l.entry = hello.Entry
	a.dialer.setReachable(l.addr, true)
	a.mu.Lock()
	previous := a.entries[hello.Entry]
	a.entries[hello.Entry] = l
	a.mu.Unlock()
	if previous != nil {
		previous.conn.Close()
	}
	a.observer.Log.Info().Str("step", "entry").Str("peer", hello.Entry.String()).Str("name", hello.Name).Str("outcome", "connected").Msg("connected to entry")
	a.core.Connected(hello.Entry)
}

// dialEntry dials an entry as soon as the agent may enroll, and returns after the
// connection has ended. It reports whether the entry has sent its hello.
func (a *Agent) dialEntry(ctx context.Context, addr string) bool {
	for !a.core.MayEnroll() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(waitPollInterval):
		}
	}
	link := &entryLink{agent: a, addr: addr, done: make(chan struct{})}
	dialled := dialAndWait(ctx, addr, link.done, func(c *stream.Conn) stream.Handler {
		link.conn = c
		return link
	})
	return dialled && link.entry != 0
}

// AddTo adds the actors of the process to a run group. stop must be closed at the
// first signal to shut down.
func (a *Agent) AddTo(g *run.Group, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.ctx = ctx
	actor := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	actor(func(ctx context.Context) error { return a.ticks.run(ctx, a.core.Tick, a.core.Busy) })
	actor(func(ctx context.Context) error { a.dialer.run(ctx); return nil })
	for n := range maxConcurrentHolds {
		actor(func(ctx context.Context) error { return a.runHoldLoop(ctx, n) })
	}
	actor(a.lookUpTarget)
	actor(a.searchEntries)
	actor(func(ctx context.Context) error { return a.leaveOnSignal(ctx, stop) })
	limits := limitsOrDefault(a.options.Limits)
	clients := intake.New(limits)
	actor(newAgentMetrics(a.observer, a.core, a.ticks, clients).report)
	addServer(g, clients, "control", a.options.ControlAddr, limits.Control, a.options.ControlHandler(a.core))
	if a.options.MetricsAddr != "" {
		g.Add(observe.AdminOnPrivateNetwork(a.options.MetricsAddr, a.observer, func() any { return a.core.Dump() }, func() error { return nil }))
	}
	return nil
}

// lookUpTarget looks up the report of a target that started before the agent. It tries
// again if the platform does not answer, which limits the calls of all agents together.
func (a *Agent) lookUpTarget(ctx context.Context) error {
	for attempt := 0; a.options.FindTarget != nil && attempt < maxLookups && !a.core.HasTarget(); attempt++ {
		if attempt > 0 {
			pause(ctx, minLookupPause+rand.N(lookupPauseSpread))
		}
		report, err := a.options.FindTarget(ctx)
		a.observer.Log.Info().Err(err).Str("step", "find_target").Str("peer", report.Target).Msg("target looked up")
		if err == nil {
			a.core.HandleTargetFound(report)
		}
	}
	<-ctx.Done()
	return nil
}

// runHoldLoop keeps one hold call waiting at the target. Several of these loops run;
// while no answers get lost only the one with index 0 makes calls.
func (a *Agent) runHoldLoop(ctx context.Context, index int) error {
	for ctx.Err() == nil {
		if index > 0 && !a.core.AnswersLost() {
			select {
			case <-ctx.Done():
			case <-a.answersLost:
			}
			continue
		}
		delay := holdRetryPause
		if a.sendHold(true) {
			delay = a.core.HoldDelay()
		}
		pause(ctx, delay)
	}
	return nil
}

// noteVerdict wakes the additional hold loops after an answer of the target was lost.
func (a *Agent) noteVerdict(verdict runner.Verdict) {
	if verdict != runner.VerdictUnanswered {
		return
	}
	for range cap(a.answersLost) {
		select {
		case a.answersLost <- struct{}{}:
		default:
		}
	}
}

// pause waits for d, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// searchEntries reads the list of entries from the directory while none is
// connected.
func (a *Agent) searchEntries(ctx context.Context) error {
	for start := time.Now(); ctx.Err() == nil; {
		pause(ctx, directoryPollPause(time.Since(start)))
		if ctx.Err() == nil && !a.isConnected() {
			members, err := a.options.Directory.Members(ctx)
			a.observer.Log.Info().Err(err).Str("step", "search_entries").Int("found", len(members)).Msg("no entry connected, searched the directory")
			a.dialer.add(members)
		}
	}
	return nil
}

// directoryPollPause returns the pause before the list of entries is read, by the time since
// the start of the agent.
func directoryPollPause(sinceStart time.Duration) time.Duration {
	if sinceStart < startPollPeriod {
		return startPollPause + rand.N(startPollSpread)
	}
	return directoryPollInterval
}

// isConnected reports whether an entry is connected.
func (a *Agent) isConnected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.entries) > 0
}

// leaveOnSignal ends the process after the first signal to shut down. It refuses
// new runs, waits for the others to end, and stops those that are left when only
// the shutdownReserve remains of the grace period.
func (a *Agent) leaveOnSignal(ctx context.Context, stop <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	start := time.Now()
	a.observer.Log.Info().Str("step", "stop").Int("runs", a.core.Runs()).Msg("agent leaving")
	a.core.Leave()
	for a.core.Runs() > 0 && time.Since(start) < a.options.Grace-shutdownReserve {
		time.Sleep(waitPollInterval)
	}
	a.core.StopAll()
	for a.core.Runs() > 0 && time.Since(start) < a.options.Grace-shutdownReserve/2 {
		time.Sleep(waitPollInterval)
	}
	a.observer.Log.Info().Str("step", "stop").Int("runs", a.core.Runs()).Int64("took_ms", time.Since(start).Milliseconds()).Msg("agent exiting")
	return nil
}
