package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

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

// wait notes which tasks of an entry wait for room.
func (s *session) wait(now time.Time, w *wire.Waiting) {
	s.waiting = w != nil
	if w != nil {
		s.slackAt, s.demand = now.Add(time.Duration(w.SlackMS)*time.Millisecond), w.Smallest
	}
}

// tell queues a report for an entry and keeps it for a reconnection.
func (c *Core) tell(now time.Time, s *session, report wire.RunReport) {
	if report.Refused != "" {
		c.counters.Refused[report.Refused]++
	}
	if s == nil {
		return
	}
	s.pending = append(s.pending, report)
	s.recent = append(s.recent, recentReport{report, now})
}
