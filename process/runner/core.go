package runner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Times of a runner.
const (
	// stopRetry is the interval at which an unconfirmed stop is repeated.
	stopRetry = 60 * time.Millisecond
	// keepEnds is how long ends are kept for an entry that reconnects.
	keepEnds = 2 * wire.SessionTTL
	// clockSlack is by how much a target's clock may be slow.
	clockSlack = 0.02
	// reservation is how long freed room is kept for an invited entry.
	reservation = 10 * time.Millisecond
)

// Options describe the agent.
type Options struct {
	Agent wire.Incarnation
	Node  string
	Zone  string
	// Fence is the first fencing token. It has to be above that of earlier
	// agents beside the same target.
	Fence uint64
}

// Core is the state of one agent incarnation. It is safe for concurrent use.
type Core struct {
	env     Env
	options Options
	started time.Time

	mu       sync.Mutex
	fence    uint64
	leaving  bool
	sessions map[wire.Incarnation]*session
	runs     map[batch.Run]*held
	used     batch.Resources
	target   target
	health   health
	revision uint64
	// clean is set once no run of an earlier agent incarnation is alive.
	clean bool
	// foreign are runs of others at the target, with the time of the last
	// request to stop them.
	foreign map[batch.Run]time.Time
	// lossyUntil is until when calls to the target are expected to get lost.
	lossyUntil time.Time
	// lookAsked is set while a look at the target is on its way.
	lookAsked bool
	invited   wire.Incarnation
	// reservedUntil keeps freed room for the invited entry.
	reservedUntil time.Time
	counters      Counters
}

// Counters count events since the start of the agent.
type Counters struct {
	Started  uint64                       `json:"started"`
	Refused  map[wire.RefusedStart]uint64 `json:"refused"`
	Ended    map[batch.End]uint64         `json:"ended"`
	Sessions uint64                       `json:"sessions_ended"`
	Closed   map[wire.Closed]uint64       `json:"closed"`
	Foreign  uint64                       `json:"foreign_runs_stopped"`
}

// state is where a held run is.
type state uint8

const (
	stateStarting state = iota
	stateRunning
	stateStopping
)

// held is a run that may be alive at the target.
type held struct {
	run      batch.Run
	entry    wire.Incarnation
	demand   batch.Resources
	estimate time.Duration
	// durable runs end only once their end is recorded.
	durable bool
	state   state
	// seen is set once the target has confirmed the run.
	seen      bool
	startedAt time.Time
	// startSent is when the newest copy of the start was sent, listed is set
	// once the target has listed the run.
	startSent time.Time
	listed    bool
	// confirmed is when the target confirmed the start.
	confirmed time.Time
	// unanswered is when a start without an answer was noticed.
	unanswered time.Time
	// stopSent is the last request to stop the run, stopped when the target
	// confirmed one.
	stopSent  time.Time
	stopped   time.Time
	refusal   wire.RefusedStart
	percent   int
	percentAt time.Time
	// missing counts answers of the target that lack the confirmed run,
	// fenced the starts that were refused for a low fencing token.
	missing int
	fenced  int
	// asked counts the starts without an answer.
	asked int
}

// session is what the agent keeps of one entry incarnation.
type session struct {
	entry     wire.Incarnation
	connected bool
	ended     bool
	// expiry is when the session ends unless the entry echoes a newer clock.
	expiry   time.Time
	handled  uint64
	lastSent time.Time
	pending  []wire.RunReport
	recent   []recentReport
	revision uint64
	waiting  bool
	// slackAt is when the most urgent waiting task should start, demand that
	// of the smallest one.
	slackAt time.Time
	demand  batch.Resources
}

type recentReport struct {
	report wire.RunReport
	at     time.Time
}

// New returns the state of a fresh agent incarnation.
func New(env Env, options Options) *Core {
	return &Core{env: env, options: options, started: env.Now(), fence: options.Fence,
		sessions: make(map[wire.Incarnation]*session),
		runs:     make(map[batch.Run]*held),
		revision: 1,
		foreign:  make(map[batch.Run]time.Time),
		counters: Counters{Refused: make(map[wire.RefusedStart]uint64), Ended: make(map[batch.End]uint64),
			Closed: make(map[wire.Closed]uint64)},
	}
}

// MayEnroll reports whether no run of an earlier agent incarnation is alive, so
// that the agent may connect to entries.
func (c *Core) MayEnroll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clean || c.env.Now().Sub(c.started) > leaseSpan
}

// leaseSpan is how long a lease lasts at most after the last call that renewed
// it, by the agent's clock.
const leaseSpan = wire.RunLease + time.Duration(clockSlack*float64(wire.RunLease)) + 50*time.Millisecond

// Connected opens or resumes the session of an entry and enrolls at it.
func (c *Core) Connected(entry wire.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	s := c.sessions[entry]
	if s == nil || (s.ended && !c.holdsRunsOf(entry)) {
		fresh := &session{entry: entry, expiry: now.Add(wire.SessionTTL)}
		if s != nil {
			fresh.recent = s.recent
		}
		s = fresh
		c.sessions[entry] = s
	}
	s.connected, s.handled, s.waiting = true, 0, false
	s.pending, s.lastSent, s.revision = nil, now, c.revision
	enroll := &wire.Enroll{Agent: c.options.Agent, Node: c.options.Node, Zone: c.options.Zone,
		Clock: now.UnixMicro(), Target: c.targetState(), Free: c.free()}
	for _, recent := range s.recent {
		enroll.Held = append(enroll.Held, recent.report)
	}
	for _, h := range c.runsOf(entry) {
		enroll.Held = append(enroll.Held, wire.RunReport{Run: h.run})
	}
	enroll.Held = append(enroll.Held, c.keptReports(entry)...)
	c.env.Send(entry, enroll)
}

// Disconnected notes that the connection of an entry has ended. Its runs go on
// until the session ends.
func (c *Core) Disconnected(entry wire.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.sessions[entry]; s != nil {
		s.connected, s.waiting = false, false
	}
}

// Received handles a message of a connected entry.
func (c *Core) Received(entry wire.Incarnation, m wire.Message) {
	orders, ok := m.(*wire.Orders)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	s := c.sessions[entry]
	if s == nil || !s.connected {
		return
	}
	c.endIfExpired(now, s)
	if !s.ended {
		s.expiry = later(s.expiry, time.UnixMicro(orders.Echo).Add(wire.SessionTTL))
	}
	s.handled = max(s.handled, orders.Sequence)
	c.settleEnds(now, orders)
	for _, run := range orders.Stops {
		c.stopOrdered(now, s, run)
	}
	for _, order := range orders.Starts {
		for _, task := range order.Tasks {
			c.startOrdered(now, s, order, task)
		}
	}
	s.wait(now, orders.Waiting)
	if c.invited == entry {
		c.reservedUntil = time.Time{}
	}
	c.invite(now)
	c.flush(now)
	if s.ended {
		c.env.Disconnect(entry)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// endIfExpired ends a session that the entry has not renewed. Its runs stop,
// because the entry may have given them up.
func (c *Core) endIfExpired(now time.Time, s *session) {
	if s.ended || !now.After(s.expiry) {
		return
	}
	s.ended, s.waiting = true, false
	c.voidEndsOf(now, s.entry)
	runs := c.runsOf(s.entry)
	if len(runs) == 0 {
		return
	}
	c.counters.Sessions++
	c.env.Decided(decision.Decision{Step: "session_end", Peer: s.entry.String(), Outcome: "runs_stopped",
		Reason: "entry silent", Age: now.Sub(s.expiry) + wire.SessionTTL,
		Inputs: []decision.Input{{Name: "runs", Value: int64(len(runs))}}})
	for _, h := range runs {
		c.stop(now, h, wire.RefusedSession)
	}
}

func (c *Core) runsOf(entry wire.Incarnation) []*held {
	var runs []*held
	for _, h := range batch.InOrder(c.runs) {
		if h.entry == entry {
			runs = append(runs, h)
		}
	}
	return runs
}

func (c *Core) holdsRunsOf(entry wire.Incarnation) bool {
	for _, h := range c.runs {
		if h.entry == entry {
			return true
		}
	}
	return false
}

// Leave refuses new runs from now on and tells every entry.
func (c *Core) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return
	}
	c.leaving = true
	c.changed()
	c.flush(c.env.Now())
}

// StopAll stops every run, for a process that must end.
func (c *Core) StopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	for _, h := range batch.InOrder(c.runs) {
		c.stop(now, h, wire.RefusedStopped)
	}
}

// Runs returns the number of runs that may be alive.
func (c *Core) Runs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

// Tick does what is due. It is to be called every few milliseconds.
func (c *Core) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	for _, entry := range slices.Sorted(maps.Keys(c.sessions)) {
		s := c.sessions[entry]
		c.endIfExpired(now, s)
		s.recent = slices.DeleteFunc(s.recent, func(r recentReport) bool { return now.Sub(r.at) > keepEnds })
		if s.ended && !s.connected && len(s.recent) == 0 && !c.holdsRunsOf(entry) {
			delete(c.sessions, entry)
		}
	}
	c.retryStops(now)
	c.checkTarget(now)
	c.checkEnds(now)
	if c.health.tick(now) {
		c.changed()
	}
	c.invite(now)
	c.flush(now)
}

// flush sends each connected entry what is pending for it, or a renewal of its
// session when that is due.
func (c *Core) flush(now time.Time) {
	for _, entry := range slices.Sorted(maps.Keys(c.sessions)) {
		s := c.sessions[entry]
		if !s.connected {
			continue
		}
		due := now.Sub(s.lastSent) >= wire.PulseInterval
		if len(s.pending) == 0 && s.revision == c.revision && !due {
			continue
		}
		c.report(now, s, false)
	}
}

func (c *Core) report(now time.Time, s *session, invitation bool) {
	m := &wire.AgentReport{Clock: now.UnixMicro(), Handled: s.handled, Free: c.free(), Runs: s.pending, Invitation: invitation}
	if s.revision != c.revision {
		target := c.targetState()
		m.Target, s.revision = &target, c.revision
	}
	s.pending, s.lastSent = nil, now
	c.env.Send(s.entry, m)
}

// changed notes that the state of the target has to be told to the entries.
func (c *Core) changed() { c.revision++ }

func (c *Core) targetState() wire.TargetState {
	return wire.TargetState{Target: c.target.id, Service: c.target.service, Room: c.target.room, Labels: c.target.labels,
		Closed: c.closed(), Probing: c.health.probing, Revision: c.revision}
}

func (c *Core) closed() wire.Closed {
	switch {
	case c.leaving:
		return wire.ClosedAgentLeaving
	case c.target.id == "" || !c.target.clockKnown:
		return wire.ClosedNoTarget
	case c.target.draining:
		return wire.ClosedDraining
	case c.target.unreachable:
		return wire.ClosedUnreachable
	case c.target.ends.lapsing():
		return wire.ClosedLapsing
	}
	return c.health.closed
}

// free returns the room that no held run uses. There is none while something
// else uses an unknown part of it.
func (c *Core) free() batch.Resources {
	if len(c.foreign) > 0 || !c.target.roomDoubted.IsZero() {
		return batch.Resources{}
	}
	if c.closed() != "" || (c.health.probing && len(c.runs) > 0) {
		return batch.Resources{}
	}
	return c.target.room.Sub(c.used)
}
