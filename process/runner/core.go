package runner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// Timing parameters of Core.
const (
	// stopRetryInterval is the interval at which an unconfirmed stop is
	// repeated. It is also the time after which an unanswered start is
	// withdrawn.
	stopRetryInterval = 60 * time.Millisecond
	// recentReportTTL is how long reports on ended and refused runs are kept for
	// an entry that reconnects.
	recentReportTTL = 2 * wire.SessionTTL
	// durableEndReportTTL is the same for the ends of durable runs. An entry that lacks
	// processor time gives a run up only after this time, and its task has not to run
	// again if the end is reported before.
	durableEndReportTTL = 3 * time.Second
	// maxClockDrift is the fraction by which a target's clock may run slow.
	maxClockDrift = 0.02
	// replyAfter is the time since the last message to an entry after which its
	// messages are answered at once, so that it learns of the free capacity.
	replyAfter = wire.SessionRenewInterval / 2
	// sessionStopGrace is how long after the end of a session the lease is still renewed
	// although runs of the entry may be alive. Together with the lease it is shorter
	// than the time after which entries start the tasks of lost runs again.
	sessionStopGrace = 100 * time.Millisecond
	// maxReportDelay bounds how long the report of an end waits for those of other
	// runs of its job.
	maxReportDelay = 30 * time.Millisecond
	// invitationTTL is how long freed capacity is reserved for an invited entry.
	invitationTTL = 10 * time.Millisecond
)

// Options identify an agent incarnation.
type Options struct {
	Agent wire.Incarnation
	Node  string
	Zone  string
	// Fence is the first fencing token. It must be higher than the tokens of
	// earlier agents of the same target.
	Fence uint64
}

// Core is the state of one agent incarnation. It is safe for concurrent use.
type Core struct {
	env       Env
	options   Options
	startedAt time.Time

	mu       sync.Mutex
	fence    uint64
	leaving  bool
	sessions map[wire.Incarnation]*session
	runs     map[batch.Run]*heldRun
	// endedRuns holds the runs that have ended, but of which a start may be carried out late.
	endedRuns map[batch.Run]*endedRun
	used      batch.Resources
	target    target
	// lives counts the lives of targets that the agent has learned of.
	lives uint64
	// reportedTarget is the newest target that has sent a report itself.
	reportedTarget string
	// capacityEnforced is set if an entry has said that the target refuses runs that exceed
	// its free capacity.
	capacityEnforced bool
	// lastService is the service of the last target. Without a target, the agent stays in
	// the pool of that service.
	lastService string
	health      health
	revision    uint64
	// evacuation are the evacuated zones as far as the agent has learned of them.
	evacuation evacuation.State
	// foreignRunsCleared is set once the target has listed no foreign run, so
	// that no run of an earlier agent incarnation is alive.
	foreignRunsCleared bool
	// answeredAt is when a target first answered a hold call of this agent, or zero. From
	// then on it has refused the calls of earlier agents.
	answeredAt time.Time
	// foreignRuns are the runs at the target that this agent does not hold, with
	// the time of the last request to stop each of them.
	foreignRuns map[batch.Run]time.Time
	// crashSuspects are the runs that lapsed while the target did not answer. Whether
	// it has crashed shows when it answers again.
	crashSuspects []crashSuspect
	// crashReports are the reported crashes under durable runs, the oldest first, for
	// entries that connect later.
	crashReports []recentReport
	// lossyUntil is the end of the period in which calls to the target are
	// expected to get lost.
	lossyUntil time.Time
	// pollRequested is set from a call of Env.RequestHold until the hold call that
	// it asks for is made.
	pollRequested bool
	invitedEntry  wire.Incarnation
	// reservedUntil is the time until which free capacity is reserved for
	// invitedEntry.
	reservedUntil time.Time
	counters      Counters
}

// Counters count events since the start of the agent.
type Counters struct {
	Started uint64                       `json:"started"`
	Refused map[wire.StartRefusal]uint64 `json:"refused"`
	Ended   map[batch.End]uint64         `json:"ended"`
	// EndsWithheld counts the ends that were not reported at once, because a start without an
	// answer may be carried out late.
	EndsWithheld uint64 `json:"ends_withheld"`
	// SessionsEnded counts the expired sessions of entries that had runs.
	SessionsEnded      uint64                       `json:"sessions_ended"`
	Closed             map[wire.ClosedReason]uint64 `json:"closed"`
	ForeignRunsStopped uint64                       `json:"foreign_runs_stopped"`
}

// New returns the state of a fresh agent incarnation.
func New(env Env, options Options) *Core {
	return &Core{env: env, options: options, startedAt: env.Now(), fence: options.Fence,
		sessions:    make(map[wire.Incarnation]*session),
		runs:        make(map[batch.Run]*heldRun),
		endedRuns:   make(map[batch.Run]*endedRun),
		revision:    1,
		foreignRuns: make(map[batch.Run]time.Time),
		counters: Counters{Refused: make(map[wire.StartRefusal]uint64), Ended: make(map[batch.End]uint64),
			Closed: make(map[wire.ClosedReason]uint64)},
	}
}

// MayEnroll reports whether no run of an earlier agent incarnation is alive, so
// that the agent may connect to entries. Before the target has answered, calls of the
// earlier agent may still start runs there and extend their lease.
func (c *Core) MayEnroll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.foreignRunsCleared {
		return true
	}
	return !c.answeredAt.IsZero() && c.env.Now().Sub(c.answeredAt) > maxForeignLease
}

// maxLeaseDuration is how long a lease may last, by the agent's clock, after
// the last call that renewed it.
const maxLeaseDuration = wire.RunLease + time.Duration(maxClockDrift*float64(wire.RunLease)) + 50*time.Millisecond

// maxForeignLease is the same for the leases that earlier agents have requested: the
// target may have restarted since, and then grants the longest lease.
const maxForeignLease = maxLeaseDuration - wire.RunLease + wire.MaxTargetLease

// HandleMessage handles a message of a connected entry.
func (c *Core) HandleMessage(entry wire.Incarnation, m wire.Message) {
	orders, ok := m.(*wire.Orders)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	s := c.sessions[entry]
	if s == nil || !s.connected || orders.ClockEcho < s.enrolledClock {
		return
	}
	c.endSessionIfExpired(now, s)
	if !s.ended {
		s.expiresAt = later(s.expiresAt, time.UnixMicro(orders.ClockEcho).Add(wire.SessionTTL))
		// Starts that were delayed for longer than a session lasts end it.
		s.ended = len(orders.Starts) > 0 && now.After(s.expiresAt)
	}
	s.idleRenew = orders.IdleRenewInterval()
	c.setCapacityEnforced(s, orders.CapacityEnforced)
	s.handledSequence = max(s.handledSequence, orders.Sequence)
	c.settleEnds(now, orders)
	s.forgetReports(orders.RecordedEnds)
	s.forgetReports(orders.VoidEnds)
	for _, run := range orders.Stops {
		c.handleStopOrder(now, s, run)
	}
	for _, order := range orders.Starts {
		for _, task := range order.Tasks {
			c.handleStartOrder(now, s, orders.Sequence, order, task)
		}
	}
	s.setWaiting(now, orders.Waiting)
	if c.invitedEntry == entry {
		c.reservedUntil = time.Time{}
	}
	c.inviteWaitingEntry(now)
	if now.Sub(s.lastSentAt) >= replyAfter {
		c.sendReport(now, s, false)
	}
	s.resumable = s.ended
	c.flush(now)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Leave refuses new runs from now on and reports this to every entry.
func (c *Core) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return
	}
	c.leaving = true
	c.bumpRevision()
	c.flush(c.env.Now())
}

// StopAll asks the target to stop every run, because the process has to end.
func (c *Core) StopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	for _, h := range batch.SortedByRun(c.runs) {
		c.stopRun(now, h, wire.RefusedStopped)
	}
}

// Busy reports whether Tick has more to do than to renew sessions: runs may be alive,
// an entry waits for capacity, or ends are not acknowledged.
func (c *Core) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.runs) > 0 || len(c.foreignRuns) > 0 || c.target.ends.hasUnacked() || c.target.ends.lapsing() {
		return true
	}
	for _, s := range c.sessions {
		if s.waiting {
			return true
		}
	}
	return false
}

// Runs returns the number of runs that may be alive.
func (c *Core) Runs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

// Tick handles timeouts and retries and sends the reports that are due. It must
// be called every few milliseconds.
func (c *Core) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	for _, entry := range slices.Sorted(maps.Keys(c.sessions)) {
		s := c.sessions[entry]
		c.endSessionIfExpired(now, s)
		c.announceOrphans(now, s)
		s.recentReports = slices.DeleteFunc(s.recentReports, func(r recentReport) bool { return r.expired(now) })
		if !s.connected && now.After(s.expiresAt) && len(s.recentReports) == 0 && !c.holdsRunsOf(entry) {
			delete(c.sessions, entry)
		}
	}
	c.retryStarts(now)
	c.retryStops(now)
	c.releaseWithheld(now)
	c.checkReachability(now)
	c.checkUnackedEnds(now)
	if c.health.reopenIfDue(now) {
		c.bumpRevision()
	}
	c.inviteWaitingEntry(now)
	c.flush(now)
}

// bumpRevision marks the state of the target as changed, so that flush sends it
// to the entries.
func (c *Core) bumpRevision() { c.revision++ }

func (c *Core) targetState() wire.TargetState {
	if c.target.service != "" {
		c.lastService = c.target.service
	}
	return wire.TargetState{Target: c.target.id, Service: c.lastService, Capacity: c.target.capacity, Labels: c.target.labels,
		Closed: c.closedReason(), Probing: c.health.probing, Revision: c.revision, StartTime: c.target.startTime}
}

// closedReason returns why the target takes no new runs, or an empty reason if
// it takes them.
func (c *Core) closedReason() wire.ClosedReason {
	switch {
	case c.leaving:
		return wire.ClosedAgentLeaving
	case c.target.id == "" || c.target.unreported || !c.target.clockKnown || !c.isCapacityCertain():
		return wire.ClosedNoTarget
	case c.target.draining:
		return wire.ClosedDraining
	case c.evacuation.Contains(c.options.Zone):
		return wire.ClosedEvacuated
	case c.target.unreachable:
		return wire.ClosedUnreachable
	case c.target.ends.lapsing():
		return wire.ClosedLapsing
	}
	return c.health.closedReason
}

// free returns the capacity that no held run uses. It is zero while foreign
// runs or an unexpected refusal for lack of capacity make that uncertain, while
// the target is closed, and while it is probed with a run.
func (c *Core) free() batch.Resources {
	if len(c.foreignRuns) > 0 || !c.target.capacityRefusedAt.IsZero() {
		return batch.Resources{}
	}
	if c.closedReason() != "" || (c.health.probing && len(c.runs) > 0) {
		return batch.Resources{}
	}
	return c.target.capacity.Sub(c.used)
}
