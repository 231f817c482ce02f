package runner

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// target is the agent's view of its target.
type target struct {
	id      string
	service string
	// startTime is the last value of TargetReport.StartTime. It changes with each
	// restart of the target.
	startTime int64
	// datesReports is set once a report of the target has named its start time. All of its
	// reports do then.
	datesReports bool
	// life numbers the lives of targets from 1, in the order in which the agent learned
	// of them. Zero stands for no target.
	life     uint64
	sequence uint64
	capacity batch.Resources
	labels   []string
	draining bool

	// clock is the newest reading of the target's clock, received at
	// clockReadAt.
	clockKnown  bool
	clock       TargetClock
	clockReadAt time.Time
	// lastAnswerAt is when the target last answered a hold call, or was adopted.
	lastAnswerAt time.Time
	unreachable  bool
	// leaseUntil is the end of the longest lease that was requested, by the
	// agent's clock.
	leaseUntil time.Time
	// unfenced is set from a restart of the target until it has answered a call of its
	// present life, after which it refuses the calls of earlier ones.
	unfenced bool
	ends     endTracker
	// successor is the newest report of another target, or nil. It is adopted once that
	// target answers at the address. successorAt is when the report was received.
	successor   *TargetReport
	successorAt time.Time
	// doubtful is the newest report that contradicts those before it, or nil. The next
	// one that agrees with it confirms it.
	doubtful *TargetReport
	// unreported is set from a restart of the target until it has reported itself since: it
	// may be of another kind than before. nextLife is the newest report of a life that has not
	// answered yet, or nil.
	unreported bool
	nextLife   *TargetReport
	// capacityRefusedAt is when the target refused a run for which the agent had
	// counted enough free capacity. It is zero once the target has listed its
	// runs in answer to a later call.
	capacityRefusedAt time.Time
}

// newLife returns the number of a life that the agent learns of.
func (c *Core) newLife() uint64 {
	c.lives++
	return c.lives
}

// isOfPresentLife reports whether a call was made with the knowledge of the present life
// of the target. The answer to any other call may be of an earlier life and overtaken by
// answers of the present one.
func (c *Core) isOfPresentLife(target string, life uint64) bool {
	return target == c.target.id && life == c.target.life
}

// updateClock records a reading of the target's clock, unless a newer one is
// known.
func (t *target) updateClock(now time.Time, clock TargetClock) {
	if clock > t.clock {
		t.clock, t.clockReadAt, t.clockKnown = clock, now, true
	}
}

// extendLease records a lease that starts now and returns its end by the
// target's clock. It returns 0, a time in the past, while the lease must not be extended.
func (c *Core) extendLease(now time.Time) TargetClock {
	if c.hasOverdueStop(now) {
		return 0
	}
	c.target.leaseUntil = later(c.target.leaseUntil, now.Add(wire.RunLease))
	return c.target.clock + TargetClock((now.Sub(c.target.clockReadAt) + wire.RunLease).Milliseconds())
}

// hasOverdueStop reports whether a run goes on for so long after it should have been
// stopped that only the end of the lease makes sure that it ends in time.
func (c *Core) hasOverdueStop(now time.Time) bool {
	for _, h := range c.runs {
		if !h.stopConfirmedAt.IsZero() {
			continue
		}
		if h.state == stateStopping && now.Sub(h.stopRequestedAt) > wire.StopGrace {
			return true
		}
		if s := c.sessions[h.entry]; s != nil && now.Sub(s.expiresAt) > sessionStopGrace {
			return true
		}
	}
	return false
}

// isCapacityCertain reports whether runs can't exceed the capacity of the target. The
// capacity that another source than the target itself has given may have shrunk since; a
// target that enforces its capacity refuses what does not fit.
func (c *Core) isCapacityCertain() bool {
	return c.target.id == c.reportedTarget || c.capacityEnforced
}

// setCapacityEnforced records whether the target enforces its capacity, as an entry says.
// It does if any connected entry says so: one without a configuration, or of a version that
// does not know, says that it does not.
func (c *Core) setCapacityEnforced(s *session, enforced bool) {
	s.capacityEnforced = enforced
	any := false
	for _, other := range c.sessions {
		any = any || other.connected && other.capacityEnforced
	}
	if c.capacityEnforced == any {
		return
	}
	before := c.closedReason()
	c.capacityEnforced = any
	if c.closedReason() != before {
		c.bumpRevision()
	}
}

// HasTarget reports whether the agent knows its target.
func (c *Core) HasTarget() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target.id != ""
}

// HandleTargetFound handles a report on a target that comes from another source. It
// is ignored if a target is known already. A target that does not enforce its capacity gets
// no runs before it has reported itself, since the other source may show a capacity that
// has shrunk. A target that had begun to leave was not found; one that begins later reports
// so to this agent.
func (c *Core) HandleTargetFound(r TargetReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target.id != "" {
		return
	}
	now := c.env.Now()
	c.adoptTarget(now, r)
	c.applyReport(r)
	c.flush(now)
}

// HandleTargetReport handles a report of the target. It returns false if the report
// is older than the newest one received.
func (c *Core) HandleTargetReport(r TargetReport) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	if c.target.id != "" && c.isOutdated(r) {
		return false
	}
	switch {
	case c.target.id == "":
		c.adoptTarget(now, r)
	case r.Target != c.target.id:
		return c.noteSuccessor(now, r)
	case r.StartTime != 0 && c.target.startTime != 0 && r.StartTime != c.target.startTime:
		// The target has restarted. Only its list of runs shows which of them
		// began after the restart.
		c.target.nextLife = &r
		c.requestPoll()
		return true
	case c.target.unreported && r.StartTime == c.target.startTime:
	case r.StartTime == 0 && c.target.datesReports:
		c.ignoreReport(r, "lacks the start time")
		return true
	case c.isDoubtful(r):
		return true
	}
	c.applyOwnReport(r)
	c.inviteWaitingEntry(now)
	c.flush(now)
	return true
}

// maxSequenceStep is the largest step between two sequence numbers of a target that is
// taken for granted. Targets report every second or two, so that it covers many minutes
// without a report.
const maxSequenceStep = 1000

// isDoubtful reports whether a report contradicts the earlier ones of the same target, so
// that another writer may have sent it: a target keeps its service, and its sequence
// numbers rise slowly. A high number would make all later reports seem outdated. A second
// report that agrees with the first such one is not doubtful.
func (c *Core) isDoubtful(r TargetReport) bool {
	if c.reportedTarget != r.Target {
		return false
	}
	present := TargetReport{Service: c.target.service, Sequence: c.target.sequence}
	first := c.target.doubtful
	if r.follows(present) || first != nil && r.Sequence > first.Sequence && r.follows(*first) {
		c.target.doubtful = nil
		return false
	}
	c.target.doubtful = &r
	c.ignoreReport(r, "contradicts the earlier reports")
	return true
}

// ignoreReport logs that a report may be of another writer.
func (c *Core) ignoreReport(r TargetReport, reason string) {
	c.env.Record(decision.Decision{Step: "target_report", Peer: r.Target, Outcome: "ignored", Reason: reason, Version: r.Sequence})
}

// follows reports whether a report may be the next one of the target that sent an earlier
// one.
func (r TargetReport) follows(earlier TargetReport) bool {
	return r.Service == earlier.Service && r.Sequence-earlier.Sequence <= maxSequenceStep
}

// applyOwnReport takes over a report of the known target itself.
func (c *Core) applyOwnReport(r TargetReport) {
	c.target.unreported = false
	if c.reportedTarget != r.Target {
		c.reportedTarget = r.Target
		c.bumpRevision()
	}
	c.applyReport(r)
}

// noteSuccessor notes a report of another target than the known one. The report may be
// delayed, or of another writer: only the answers to calls show which target is there. It
// returns false if a newer target has reported.
func (c *Core) noteSuccessor(now time.Time, r TargetReport) bool {
	if known := c.target.successor; known != nil && r.StartTime < known.StartTime {
		return false
	}
	c.target.successor, c.target.successorAt = &r, now
	c.requestPoll()
	return true
}

// applyReport takes over what the target reports about itself.
func (c *Core) applyReport(r TargetReport) {
	before := c.target
	c.target.service, c.target.sequence = r.Service, r.Sequence
	c.target.capacity, c.target.labels = r.Capacity, r.Labels
	c.target.draining = c.target.draining || r.Draining
	c.target.datesReports = c.target.datesReports || r.StartTime != 0
	if before.service != r.Service || before.capacity != r.Capacity || before.draining != c.target.draining || !slices.Equal(before.labels, r.Labels) {
		c.bumpRevision()
		c.env.Record(decision.Decision{Step: "target_report", Peer: r.Target, Outcome: reportOutcome(c.target.draining),
			Version: r.Sequence, Inputs: []decision.Input{{Name: "room_millicpu", Value: int64(r.Capacity.MilliCPU)}}})
	}
}

func reportOutcome(draining bool) string {
	if draining {
		return "draining"
	}
	return "serving"
}

// isOutdated reports whether a report was sent before the newest one received.
// A report may be delayed until after a restart of its target.
func (c *Core) isOutdated(r TargetReport) bool {
	if r.StartTime != 0 && c.target.startTime != 0 && r.StartTime != c.target.startTime {
		return r.StartTime < c.target.startTime
	}
	return r.Target == c.target.id && r.Sequence <= c.target.sequence
}

// adoptTarget makes a target the one of this agent, which has none.
func (c *Core) adoptTarget(now time.Time, r TargetReport) {
	c.target = target{id: r.Target, startTime: r.StartTime, life: c.newLife(), lastAnswerAt: now}
	c.health = health{}
	c.bumpRevision()
	c.env.Record(decision.Decision{Step: "target", Peer: r.Target, Outcome: "adopted", Version: r.Sequence})
	c.requestPoll()
}

// HandleTargetDeregistered handles a target's notice that it shuts down. startTime is that
// of the sender, or zero if the notice has none: one that was delayed until after a restart
// of the target under its identity is not about the present one.
func (c *Core) HandleTargetDeregistered(id string, startTime int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target.id != id || startTime != 0 && startTime < c.target.startTime {
		return
	}
	c.target.draining = true
	c.bumpRevision()
	c.env.Record(decision.Decision{Step: "target", Peer: id, Outcome: "deregistered"})
	c.flush(c.env.Now())
}

// dropReplacedTarget forgets the target after another one has answered at its address,
// and adopts that one if it has reported. The runs at the former target are lost.
func (c *Core) dropReplacedTarget(now time.Time) {
	successor := c.target.successor
	c.reportCrash(now)
	lost := batch.SortedByRun(c.runs)
	for _, h := range lost {
		// The other target refuses all copies.
		h.copies = startCopies{}
	}
	c.endLostRuns(now, "another target answers at the address", lost)
	c.releaseAllWithheld(now)
	c.target = target{}
	c.bumpRevision()
	if successor != nil {
		c.adoptTarget(now, *successor)
		c.applyOwnReport(*successor)
	}
}

// dropSuccessor forgets the report of another target if the known one has answered a
// call that was made after the report.
func (c *Core) dropSuccessor(answered HoldCall) {
	if c.target.successor == nil || !answered.SentAt.After(c.target.successorAt) {
		return
	}
	c.env.Record(decision.Decision{Step: "target_report", Peer: c.target.successor.Target, Outcome: "ignored", Reason: "target " + c.target.id + " answers at the address"})
	c.target.successor = nil
}

// endLostRuns ends runs that were lost with their target.
func (c *Core) endLostRuns(now time.Time, cause string, lost []*heldRun) {
	if len(lost) == 0 {
		return
	}
	c.env.Record(decision.Decision{Step: "target", Peer: c.target.id, Outcome: "runs_lost", Reason: cause,
		Inputs: []decision.Input{{Name: "runs", Value: int64(len(lost))}}})
	for _, h := range lost {
		c.finishRun(now, h, batch.EndLost)
	}
}

// firstRunNumber is the number of the first run of a task.
const firstRunNumber = 1

// handleTargetRestart handles a target that has restarted under the same
// identity. Since then it may have carried out starts that were sent before the
// restart. A run that it lists continues. A run whose start may still be in
// flight is stopped at the target before it counts as ended, and so is a lost run if a
// start of an earlier run of its task may be in flight.
func (c *Core) handleTargetRestart(now time.Time, call HoldCall, answer HoldAnswer) {
	listed := make(map[batch.Run]bool)
	for _, row := range answer.Running {
		listed[row.Run] = true
	}
	for _, row := range answer.Ended {
		listed[row.Run] = true
	}
	var lost, inFlight, listedStopping []*heldRun
	for _, h := range batch.SortedByRun(c.runs) {
		switch {
		case listed[h.run]:
			if h.state == stateStopping {
				listedStopping = append(listedStopping, h)
			}
		case h.observed && h.unansweredStarts == 0 && call.SentAt.After(h.confirmedAt):
			if h.lost = h.run.Number > firstRunNumber; h.lost {
				inFlight = append(inFlight, h)
				continue
			}
			lost = append(lost, h)
		default:
			inFlight = append(inFlight, h)
		}
	}
	report := c.target.nextLife
	c.reportCrash(now)
	c.endLostRuns(now, "target started again", lost)
	// The present life has seen no token yet and would carry out calls that are under way.
	c.fence++
	c.target = target{id: c.target.id, startTime: answer.StartTime, life: c.newLife(), service: c.target.service, capacity: c.target.capacity, labels: c.target.labels, lastAnswerAt: now, datesReports: c.target.datesReports,
		leaseUntil: later(c.target.leaseUntil, now.Add(wire.MaxTargetLease)), unfenced: true, unreported: c.target.datesReports}
	c.health = health{}
	c.bumpRevision()
	if report != nil && report.StartTime == answer.StartTime {
		c.applyOwnReport(*report)
	}
	c.env.Record(decision.Decision{Step: "target", Peer: c.target.id, Outcome: "born_again", Version: uint64(answer.StartTime),
		Inputs: []decision.Input{{Name: "starts_on_the_way", Value: int64(len(inFlight))}, {Name: "runs_listed", Value: int64(len(listed))}}})
	for _, h := range listedStopping {
		// The former life may have confirmed the stop.
		h.stopConfirmedAt = time.Time{}
		c.sendStop(now, h)
	}
	for _, h := range inFlight {
		// The run may have begun before the restart.
		h.observed, h.listed = true, false
		h.state, h.stopConfirmedAt, h.unansweredAt, h.stopRequestedAt = stateStopping, time.Time{}, time.Time{}, now
		c.sendStop(now, h)
	}
	c.requestPoll()
}
