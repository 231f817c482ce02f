package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// session is the agent's state of one entry incarnation.
type session struct {
	entry     wire.Incarnation
	connected bool
	ended     bool
	// expiresAt is when the session expires unless the entry echoes a newer clock
	// value of the agent. A session that is not active does not end then, but takes
	// no starts before it has been renewed.
	expiresAt time.Time
	// idleRenew is the longest pause between two messages while the session is not
	// active, as set by the entry.
	idleRenew time.Duration
	// runs counts the held runs of the entry.
	runs int
	// handledSequence is the highest sequence number of the orders handled on
	// the current connection.
	handledSequence uint64
	lastSentAt      time.Time
	// lastClock is the highest clock value sent to the entry. enrolledClock is that of the
	// last enrolment: messages with an earlier echo were sent before the entry had handled it.
	lastClock, enrolledClock int64
	// capacityEnforced is set if the entry has said that the target enforces its capacity.
	capacityEnforced bool
	// resumable is set once the entry has sent a message after the end of the session.
	resumable bool
	// pendingReports have not been sent yet. recentReports are repeated when the
	// entry reconnects.
	pendingReports []wire.RunReport
	// reportAt is when the pending reports are sent at the latest.
	reportAt      time.Time
	recentReports []recentReport
	// unansweredDue is set if the entry does not know yet that a start got no answer.
	unansweredDue bool
	// orphansAnnounced is set once the other entries have been told of the late starts of this
	// one, which is gone.
	orphansAnnounced bool
	// sentRevision is the revision of the target state that was last sent.
	sentRevision uint64
	// waiting is set while tasks of the entry wait for capacity.
	waiting bool
	// startBy is when the most urgent waiting task should start, smallestDemand
	// the demand of the smallest one.
	startBy        time.Time
	smallestDemand batch.Resources
}

// recentReport is a report with the time at which it was queued.
type recentReport struct {
	report   wire.RunReport
	queuedAt time.Time
}

// Connected opens or resumes the session of an entry and enrolls the agent with
// it.
func (c *Core) Connected(entry wire.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	s := c.sessions[entry]
	if s == nil || (s.ended && !c.holdsRunsOf(entry)) {
		s = c.openSession(now, entry)
	}
	c.enroll(now, s)
}

// openSession replaces the session of an entry by a new one.
func (c *Core) openSession(now time.Time, entry wire.Incarnation) *session {
	fresh := &session{entry: entry, expiresAt: now.Add(wire.SessionTTL), idleRenew: wire.SessionRenewInterval}
	if s := c.sessions[entry]; s != nil {
		fresh.recentReports, fresh.lastClock, fresh.capacityEnforced = s.recentReports, s.lastClock, s.capacityEnforced
	}
	c.sessions[entry] = fresh
	return fresh
}

// resumeEnded opens a new session on the connection of one that has ended, once the entry has
// sent a message since and no run of it is alive here. An entry that was slow is not dialled again for it, which would
// cost it more processor time. An entry of a version that expects enrolments only on new
// connections closes this one.
func (c *Core) resumeEnded(now time.Time, s *session) {
	if !s.resumable || c.holdsRunsOf(s.entry) {
		return
	}
	c.enroll(now, c.openSession(now, s.entry))
	c.env.Record(decision.Decision{Step: "session_end", Peer: s.entry.String(), Outcome: "enrolled_again",
		Age: now.Sub(s.expiresAt) + wire.SessionTTL})
}

// nextClock returns the clock value of a message to the entry, which is never lower than
// the one before.
func (s *session) nextClock(now time.Time) int64 {
	s.lastClock = max(s.lastClock, now.UnixMicro())
	return s.lastClock
}

// enroll enrolls the agent with the entry of a session, with all that the entry has to know
// of the runs here.
func (c *Core) enroll(now time.Time, s *session) {
	entry := s.entry
	s.connected, s.handledSequence, s.waiting, s.orphansAnnounced = true, 0, false, false
	s.lastClock = max(s.lastClock+1, now.UnixMicro())
	s.enrolledClock = s.lastClock
	s.pendingReports, s.reportAt, s.lastSentAt, s.sentRevision = c.keptCrashReports(now), now, now, c.revision
	enroll := &wire.Enroll{Agent: c.options.Agent, Node: c.options.Node, Zone: c.options.Zone,
		Clock: s.lastClock, Target: c.targetState(), Free: c.free()}
	for _, recent := range s.recentReports {
		enroll.HeldRuns = append(enroll.HeldRuns, recent.report)
	}
	for _, h := range c.runsOf(entry) {
		// The numbers of the orders begin again on this connection.
		h.orderSequence = 0
		enroll.HeldRuns = append(enroll.HeldRuns, wire.RunReport{Run: h.run, StartUnconfirmed: h.copies.uncertain()})
	}
	for _, e := range c.withheldOf(entry) {
		enroll.HeldRuns = append(enroll.HeldRuns, e.run.lateStartReport(now))
	}
	enroll.HeldRuns = append(enroll.HeldRuns, c.unackedReports(entry)...)
	enroll.HeldRuns = append(enroll.HeldRuns, c.orphanedStarts(now)...)
	c.env.Send(entry, enroll)
}

// Disconnected handles the end of the connection to an entry. The runs of the
// entry continue until its session ends.
func (c *Core) Disconnected(entry wire.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.sessions[entry]; s != nil {
		s.connected, s.waiting = false, false
	}
}

// active reports whether the session must be renewed at short intervals, because the
// entry has runs or ends here, or waits for capacity.
func (c *Core) active(s *session) bool {
	return s.runs > 0 || s.waiting || c.target.ends.hasUnackedOf(s.entry) || c.withholdsEndsOf(s.entry)
}

// endSessionIfExpired ends an active session that the entry has not renewed in
// time. Its runs are stopped, because the entry may have given them up.
func (c *Core) endSessionIfExpired(now time.Time, s *session) {
	if s.ended || !now.After(s.expiresAt) || !c.active(s) {
		return
	}
	s.ended, s.waiting = true, false
	c.voidEndsOf(now, s.entry)
	c.announceOrphans(now, s)
	runs := c.runsOf(s.entry)
	if len(runs) == 0 {
		return
	}
	c.counters.SessionsEnded++
	c.env.Record(decision.Decision{Step: "session_end", Peer: s.entry.String(), Outcome: "runs_stopped",
		Reason: "entry silent", Age: now.Sub(s.expiresAt) + wire.SessionTTL,
		Inputs: []decision.Input{{Name: "runs", Value: int64(len(runs))}}})
	for _, h := range runs {
		c.stopRun(now, h, wire.RefusedSession)
	}
}

func (c *Core) runsOf(entry wire.Incarnation) []*heldRun {
	var runs []*heldRun
	for _, h := range batch.SortedByRun(c.runs) {
		if h.entry == entry {
			runs = append(runs, h)
		}
	}
	return runs
}

func (c *Core) holdsRunsOf(entry wire.Incarnation) bool {
	s := c.sessions[entry]
	return s != nil && s.runs > 0
}

// flush sends each connected entry its pending reports and the target state if
// it has changed, or a renewal of its session when that is due. It resumes ended sessions.
func (c *Core) flush(now time.Time) {
	for _, entry := range slices.Sorted(maps.Keys(c.sessions)) {
		s := c.sessions[entry]
		if !s.connected {
			continue
		}
		reportsDue := len(s.pendingReports) > 0 && !now.Before(s.reportAt)
		renewalDue := now.Sub(s.lastSentAt) >= c.renewInterval(s)
		if reportsDue || renewalDue || s.unansweredDue || s.sentRevision != c.revision {
			c.sendReport(now, s, false)
		}
		c.resumeEnded(now, s)
	}
}

// renewInterval returns the longest pause between two messages to the entry.
func (c *Core) renewInterval(s *session) time.Duration {
	if c.active(s) {
		return wire.SessionRenewInterval
	}
	return s.idleRenew
}

// sendReport sends an entry its pending reports, the free capacity and the
// target state if it has changed.
func (c *Core) sendReport(now time.Time, s *session, invitation bool) {
	m := &wire.AgentReport{Clock: s.nextClock(now), HandledSequence: s.handledSequence, Free: c.freeFor(now, s), Runs: s.pendingReports, Invitation: invitation}
	m.ConfirmedSequence, m.UnansweredStarts = c.confirmedStarts(s)
	if s.sentRevision != c.revision {
		target := c.targetState()
		m.Target, s.sentRevision = &target, c.revision
	}
	s.pendingReports, s.lastSentAt, s.unansweredDue = nil, now, false
	c.env.Send(s.entry, m)
}

// freeFor returns the free capacity for an entry, without the room of the smallest task of
// another entry that was invited to use it. Both would order a task for the same room.
func (c *Core) freeFor(now time.Time, s *session) batch.Resources {
	free := c.free()
	invited := c.sessions[c.invitedEntry]
	if invited == nil || invited == s || !now.Before(c.reservedUntil) {
		return free
	}
	left := free.Sub(invited.smallestDemand)
	return batch.Resources{MilliCPU: max(left.MilliCPU, 0), MemoryMiB: max(left.MemoryMiB, 0), GPUs: max(left.GPUs, 0)}
}

// forgetReports forgets the reports on runs that the entry has settled.
func (s *session) forgetReports(settled []batch.Run) {
	if len(settled) == 0 {
		return
	}
	s.recentReports = slices.DeleteFunc(s.recentReports, func(r recentReport) bool { return slices.Contains(settled, r.report.Run) })
}

// expired reports whether the report needs not be repeated any more.
func (r recentReport) expired(now time.Time) bool {
	if r.report.EndUnrecorded {
		return now.Sub(r.queuedAt) > durableEndReportTTL
	}
	return now.Sub(r.queuedAt) > recentReportTTL
}

// setWaiting records which tasks of an entry wait for capacity. w is nil if
// there are none.
func (s *session) setWaiting(now time.Time, w *wire.Waiting) {
	s.waiting = w != nil
	if w != nil {
		s.startBy, s.smallestDemand = now.Add(time.Duration(w.SlackMS)*time.Millisecond), w.Smallest
	}
}

// queueReport queues a report for an entry, to be sent after the delay at the
// latest, and keeps it in case the entry reconnects.
func (c *Core) queueReport(now time.Time, s *session, report wire.RunReport, delay time.Duration) {
	if report.RefusalReason != "" {
		c.counters.Refused[report.RefusalReason]++
	}
	if s == nil {
		return
	}
	if at := now.Add(delay); len(s.pendingReports) == 0 || at.Before(s.reportAt) {
		s.reportAt = at
	}
	s.pendingReports = append(s.pendingReports, report)
	s.recentReports = append(s.recentReports, recentReport{report, now})
}
