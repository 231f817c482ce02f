package runner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
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
