package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Timing of the hold calls, which renew the lease.
const (
	// maxHoldWait is how long a target may wait for an end before it answers.
	maxHoldWait = 150 * time.Millisecond
	// lossyHoldWait replaces maxHoldWait while answers get lost, because an end
	// whose report was lost is not seen before the next answer.
	lossyHoldWait = 40 * time.Millisecond
	// lossyPeriod is how long after a lost answer further losses are expected.
	lossyPeriod = 3 * time.Second
	// unreachableAfter is how long a target may leave calls unanswered before it
	// gets no new runs and its lease is no longer renewed.
	unreachableAfter = 400 * time.Millisecond
	// missingAnswersLimit is the number of successive answers without a
	// confirmed run after which the run counts as lapsed.
	missingAnswersLimit = 2
)

// NextHold returns the next hold call. If wait is false, the target must answer
// it at once. NextHold returns false while there is no target.
func (c *Core) NextHold(wait bool) (HoldCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pollRequested = c.pollRequested && wait
	if c.target.id == "" {
		return HoldCall{}, false
	}
	now := c.env.Now()
	call := HoldCall{Target: c.target.id, Life: c.target.life, Fence: c.fence, AckedEnds: c.target.ends.acknowledged(), SentAt: now}
	if c.target.clockKnown && !c.target.unreachable && len(c.runs) > 0 && !c.target.ends.leaseMustLapse(now) {
		call.LeaseUntil = c.extendLease(now)
	}
	if wait && c.target.clockKnown && !c.target.ends.hasUnacked() {
		call.Wait = maxHoldWait
		if c.lossy(now) {
			call.Wait = lossyHoldWait
		}
	}
	return call, true
}

// AnswersLost reports whether answers of the target get lost, so that several hold
// calls should be under way at the same time.
func (c *Core) AnswersLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lossy(c.env.Now())
}

func (c *Core) lossy(now time.Time) bool { return now.Before(c.lossyUntil) }

// HoldFailed handles a hold call without a usable answer.
func (c *Core) HoldFailed(call HoldCall, verdict Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOfPresentLife(call.Target, call.Life) {
		return
	}
	now := c.env.Now()
	switch verdict {
	case VerdictNotListening:
		c.closeUnreachable(now)
	case VerdictUnanswered:
		c.lossyUntil = now.Add(lossyPeriod)
	case VerdictFenced:
		if c.fence <= call.Fence {
			c.fence = call.Fence + fenceIncrement
		}
	case VerdictOtherTarget:
		c.dropReplacedTarget(now)
	}
	c.flush(now)
}

// checkReachability marks a target that has stopped answering as unreachable
// and ends its runs once their lease has certainly expired.
func (c *Core) checkReachability(now time.Time) {
	if c.target.id == "" {
		return
	}
	if now.Sub(c.target.lastAnswerAt) > unreachableAfter {
		c.closeUnreachable(now)
	}
	if !c.target.unreachable {
		return
	}
	for _, h := range batch.SortedByRun(c.runs) {
		if now.Sub(h.latestLeaseEnd(c.target)) > maxLeaseDuration-wire.RunLease {
			c.suspectCrash(h)
			c.finishRun(now, h, batch.EndLapsed)
		}
	}
}

// closeUnreachable closes a target that does not answer. Its runs continue until their
// lease has certainly expired, because it may be alive.
func (c *Core) closeUnreachable(now time.Time) {
	if c.target.unreachable || c.target.id == "" {
		return
	}
	c.target.unreachable = true
	c.bumpRevision()
	c.env.Record(decision.Decision{Step: "judge_target", Peer: c.target.id, Outcome: "closed", Reason: string(wire.ClosedUnreachable),
		Age: now.Sub(c.target.lastAnswerAt), Inputs: []decision.Input{{Name: "runs", Value: int64(len(c.runs))}}})
}

// latestLeaseEnd returns when the lease of a run ends at the latest. A run that
// has not been listed may have been started after a restart of the target, with
// the longest lease that targets grant; a start without an answer may still be under way.
func (h *heldRun) latestLeaseEnd(t target) time.Time {
	switch {
	case h.copies.uncertain():
		return later(t.leaseUntil, h.copies.taskFreeAt())
	case h.listed:
		return t.leaseUntil
	}
	return later(t.leaseUntil, h.copies.sentAt.Add(wire.MaxTargetLease))
}

// HandleHoldAnswer handles the target's list of running and ended runs.
func (c *Core) HandleHoldAnswer(call HoldCall, answer HoldAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOfPresentLife(call.Target, call.Life) {
		return
	}
	now := c.env.Now()
	if answer.StartTime != 0 && answer.StartTime != c.target.startTime {
		if c.target.startTime != 0 {
			c.handleTargetRestart(now, call, answer)
		}
		c.target.startTime = answer.StartTime
	}
	clockWasKnown := c.target.clockKnown
	c.target.updateClock(now, answer.Clock)
	c.target.lastAnswerAt = now
	if c.answeredAt.IsZero() {
		c.answeredAt = now
	}
	c.noteFenced(now, call)
	c.dropSuccessor(call)
	if c.target.unreachable || !clockWasKnown {
		c.markReachable(now)
	}
	c.handleEnds(now, answer.Ended)
	c.reconcileRunning(now, call, answer)
	c.checkProgress(now)
	c.inviteWaitingEntry(now)
	c.flush(now)
}

// noteFenced notes the first answer after a restart of the target to a call of its present
// life. A call of an earlier one may have extended the lease to the maximum until then.
func (c *Core) noteFenced(now time.Time, call HoldCall) {
	if c.target.unfenced && call.Life == c.target.life {
		c.target.unfenced = false
		c.target.leaseUntil = later(c.target.leaseUntil, now.Add(wire.MaxTargetLease))
	}
}

// markReachable opens the target after its first answer or after a time without
// answers.
func (c *Core) markReachable(now time.Time) {
	if c.target.unreachable {
		c.env.Record(decision.Decision{Step: "judge_target", Peer: c.target.id, Outcome: "open", Reason: "target answers again"})
	}
	c.target.unreachable = false
	c.crashSuspects = nil
	c.bumpRevision()
}

// handleEnds handles the ends that are new. An end that an entry may have to
// record is not acknowledged yet.
func (c *Core) handleEnds(now time.Time, ended []EndedRun) {
	lapsed := lastLapse(ended)
	for _, e := range ended {
		if !c.target.ends.advance(e.Number) {
			continue
		}
		h := c.runs[e.Run]
		if hasOutcome(e.End) && (h != nil && h.durable || h == nil && e.Number > lapsed) {
			c.keepEnd(now, e, h)
		}
		if h == nil {
			c.handleUnclaimedEnd(now, e)
		}
		if h != nil {
			h.observed = true
			c.finishRun(now, h, e.End)
		}
	}
}

// keepEnd keeps an end that an entry may have to record. It is void if the session of the
// entry that ordered the run has ended meanwhile, because the task may run again.
func (c *Core) keepEnd(now time.Time, e EndedRun, h *heldRun) {
	entry := entryOf(h)
	kept := unackedEnd{run: e.Run, end: e.End, receivedAt: now, entry: entry}
	if h != nil {
		kept.startsOverAt = h.copies.overAt()
	}
	c.target.ends.addUnacked(e.Number, kept)
	if h == nil {
		return
	}
	s := c.sessions[entry]
	if s != nil {
		c.endSessionIfExpired(now, s)
	}
	if s == nil || s.ended {
		c.voidEnd(now, e.Number)
	}
}

// reconcileRunning compares the held runs with those that the target lists as
// running.
func (c *Core) reconcileRunning(now time.Time, call HoldCall, answer HoldAnswer) {
	running := make(map[batch.Run]bool, len(answer.Running))
	// foreignTasks are the tasks of which a run goes on that this agent does not hold.
	foreignTasks := make(map[batch.Task]bool)
	for _, row := range answer.Running {
		running[row.Run] = true
		h := c.runs[row.Run]
		if h == nil {
			foreignTasks[row.Run.Task] = true
			c.stopForeign(now, row.Run)
			continue
		}
		if !h.observed {
			c.startConfirmed(now, h)
		}
		h.missingAnswers, h.listed = 0, true
		if row.Percent != h.progressPercent {
			h.progressPercent, h.progressAt = row.Percent, now
		}
	}
	if len(foreignTasks) == 0 {
		c.foreignRunsCleared = true
		clear(c.foreignRuns)
	}
	if call.SentAt.After(c.target.capacityRefusedAt) {
		c.target.capacityRefusedAt = time.Time{}
	}
	for _, h := range batch.SortedByRun(c.runs) {
		if !running[h.run] && !foreignTasks[h.run.Task] {
			c.handleMissingRun(now, h, call.SentAt)
		}
	}
}

// stopForeign stops a run of an earlier agent incarnation, or one that was
// withdrawn and started late.
func (c *Core) stopForeign(now time.Time, run batch.Run) {
	if sent, known := c.foreignRuns[run]; known && now.Sub(sent) < stopRetryInterval {
		return
	}
	c.foreignRuns[run] = now
	c.counters.ForeignRunsStopped++
	c.env.Record(decision.Decision{Step: "run", Job: run.Task.Job, Run: run, Peer: c.target.id, Outcome: "stopped",
		Reason: "not ordered by this agent"})
	c.env.Stop(StopCall{Target: c.target.id, Life: c.target.life, Run: run, Fence: c.fence})
}

// requestPoll asks for a list of the runs at the target, unless a request is
// already pending.
func (c *Core) requestPoll() {
	if !c.pollRequested {
		c.pollRequested = true
		c.env.RequestHold()
	}
}

// endOnceStopped returns the end of a run that the target has stopped.
func (h *heldRun) endOnceStopped() batch.End {
	if h.lost {
		return batch.EndLost
	}
	return batch.EndStopped
}

// handleMissingRun handles a held run that the target does not list. Only the
// answer to a call that was made after a start or stop shows the effect of that
// start or stop.
func (c *Core) handleMissingRun(now time.Time, h *heldRun, askedAt time.Time) {
	switch {
	case h.state == stateStopping:
		if !h.stopConfirmedAt.IsZero() && askedAt.After(h.stopConfirmedAt) {
			c.finishRun(now, h, h.endOnceStopped())
		}
	case h.state == stateStarting:
		if !h.unansweredAt.IsZero() && askedAt.After(h.unansweredAt) {
			c.withdrawIfPointless(now, h)
		}
	case askedAt.After(h.confirmedAt):
		if h.missingAnswers++; h.missingAnswers >= missingAnswersLimit {
			c.finishRun(now, h, batch.EndLapsed)
		}
	}
}
