package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// fenceIncrement is added to a refused fencing token, because the refusal does
// not name the token that the target has seen. Tokens begin with the time in
// milliseconds, so the increment covers a clock that was set back by a minute.
const fenceIncrement = 60_000

// maxFenceRetries bounds the retries of one start with a higher token.
const maxFenceRetries = 8

// handleStartOrder starts one run of an order or refuses it.
func (c *Core) handleStartOrder(now time.Time, s *session, sequence uint64, order wire.StartOrder, task wire.StartTask) {
	run := order.Run(task)
	if reason := c.refusalReason(now, s, order, run); reason != "" {
		c.queueReport(now, s, wire.RunReport{Run: run, RefusalReason: reason}, 0)
		return
	}
	h := &heldRun{run: run, spec: order.Spec, entry: s.entry, demand: order.Demand, durable: order.Durable, startedAt: now, stopIfSlow: task.StopIfSlow,
		estimate: time.Duration(order.EstimateMS) * time.Millisecond, orderSequence: sequence}
	c.runs[run] = h
	s.runs++
	c.used = c.used.Add(h.demand)
	c.counters.Started++
	c.sendStart(now, h)
}

// sendStart sends a start to the target, for the first time or as a retry.
func (c *Core) sendStart(now time.Time, h *heldRun) {
	h.copies.sent(now)
	c.env.Start(StartCall{Target: c.target.id, Life: c.target.life, Run: h.run, Spec: h.spec, Fence: c.fence, LeaseUntil: c.extendLease(now)})
}

// refusalReason returns why a run can't be started, or an empty reason if it
// can.
func (c *Core) refusalReason(now time.Time, s *session, order wire.StartOrder, run batch.Run) wire.StartRefusal {
	if s.ended {
		return wire.RefusedSession
	}
	if c.closedReason() != "" || order.Target != c.target.id {
		return wire.RefusedClosed
	}
	if !order.Demand.FitsIn(c.target.capacity) {
		return wire.RefusedInvalid
	}
	for held := range c.runs {
		if held.Task == run.Task && held.Number <= run.Number {
			return wire.RefusedSuperseded
		}
	}
	if !order.Demand.FitsIn(c.free()) {
		return wire.RefusedFull
	}
	return ""
}

// HandleStartAnswer handles the target's answer to a start.
func (c *Core) HandleStartAnswer(call StartCall, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	c.noteStartAnswer(call.Run, answer.Verdict)
	if !c.isOfPresentLife(call.Target, call.Life) {
		return
	}
	c.target.updateClock(now, answer.Clock)
	h := c.runs[call.Run]
	if h == nil {
		return
	}
	if s := c.sessions[h.entry]; s != nil {
		// The process may have been suspended for longer than the session lasts.
		c.endSessionIfExpired(now, s)
	}
	switch answer.Verdict {
	case VerdictDone:
		c.startConfirmed(now, h)
	case VerdictUnanswered:
		c.retryStart(now, h)
	case VerdictNotListening:
		c.closeUnreachable(now)
		c.retryStart(now, h)
	case VerdictFenced:
		c.startFenced(now, h, call)
	case VerdictOtherTarget:
		c.dropReplacedTarget(now)
	default:
		c.startRefused(now, h, answer.Verdict)
	}
	c.inviteWaitingEntry(now)
	c.flush(now)
}

// noteStartAnswer notes an answer to a copy of a start, whichever life of the target it is of.
func (c *Core) noteStartAnswer(run batch.Run, verdict Verdict) {
	h := c.runs[run]
	if e := c.endedRuns[run]; h == nil && e != nil {
		h = e.run
	}
	if h == nil {
		return
	}
	known := h.copies.unanswered()
	h.copies.answered(verdict)
	if s := c.sessions[h.entry]; s != nil && !known && h.copies.unanswered() {
		s.unansweredDue = true
	}
}

// startConfirmed notes that the target has begun the run.
func (c *Core) startConfirmed(now time.Time, h *heldRun) {
	h.observed, h.confirmedAt, h.unansweredAt = true, now, time.Time{}
	h.progressAt = now
	if h.state == stateStarting {
		h.state = stateRunning
	}
}

// startFenced raises the fencing token and retries the start.
func (c *Core) startFenced(now time.Time, h *heldRun, call StartCall) {
	if c.fence <= call.Fence {
		c.fence = call.Fence + fenceIncrement
		c.env.Record(decision.Decision{Step: "fence", Peer: c.target.id, Outcome: "raised", Version: c.fence})
	}
	h.fencedStarts++
	if h.fencedStarts > maxFenceRetries || !c.mayRetryStart(h) {
		c.startRefused(now, h, VerdictFenced)
		return
	}
	c.sendStart(now, h)
}

// startRefused ends a run whose start the target refused without any effect. If
// an earlier copy of the start got no answer, that copy may have been carried
// out or may still be: the list of runs then shows whether the run has started,
// and a stop ensures that it doesn't start later. A run that is being stopped
// ends with its stop.
func (c *Core) startRefused(now time.Time, h *heldRun, verdict Verdict) {
	reason := wire.RefusedByTarget
	switch verdict {
	case VerdictSuperseded:
		reason, h.startRejected = wire.RefusedSuperseded, true
	case VerdictInvalid:
		reason, h.startRejected = wire.RefusedInvalid, true
	case VerdictUnhealthy:
		c.updateHealth(now, func() { c.health.targetUnhealthy(now) })
	case VerdictNoRoom:
		c.target.capacityRefusedAt = now
		c.requestPoll()
	}
	c.env.Record(decision.Decision{Step: "start", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id,
		Outcome: "refused", Reason: string(verdict),
		Inputs: []decision.Input{{Name: "used_millicpu", Value: int64(c.used.MilliCPU)}, {Name: "room_millicpu", Value: int64(c.target.capacity.MilliCPU)}}})
	if h.unansweredStarts > 0 || h.state == stateStopping {
		if h.state == stateStarting {
			h.unansweredAt = now
			c.requestPoll()
		}
		return
	}
	c.removeRun(h)
	c.queueReport(now, c.sessions[h.entry], wire.RunReport{Run: h.run, RefusalReason: reason}, 0)
}

// updateHealth applies an observation to the health of the target. A change is
// logged and reported to the entries.
func (c *Core) updateHealth(now time.Time, observe func()) {
	before := c.health.closedReason
	probing := c.health.probing
	observe()
	if c.health.closedReason == before && c.health.probing == probing {
		return
	}
	c.bumpRevision()
	outcome := "open"
	if c.health.closedReason != "" {
		outcome = "closed"
		c.counters.Closed[c.health.closedReason]++
	}
	c.env.Record(decision.Decision{Step: "judge_target", Peer: c.target.id, Outcome: outcome, Reason: string(c.health.closedReason),
		Inputs: []decision.Input{{Name: "closed_ms", Value: c.health.closedDuration.Milliseconds()}, {Name: "runs", Value: int64(len(c.runs))}}})
}

// handleStopOrder stops a run if the entry that orders the stop has started it.
func (c *Core) handleStopOrder(now time.Time, s *session, run batch.Run) {
	h := c.runs[run]
	if h == nil || h.entry != s.entry {
		return
	}
	c.stopRun(now, h, wire.RefusedStopped)
}

// stopRun asks the target to stop a run. reason is reported to the entry if the
// run turns out not to have started.
func (c *Core) stopRun(now time.Time, h *heldRun, reason wire.StartRefusal) {
	if h.state == stateStopping {
		return
	}
	h.state, h.notStartedReason, h.stopRequestedAt = stateStopping, reason, now
	c.sendStop(now, h)
}

func (c *Core) sendStop(now time.Time, h *heldRun) {
	h.stopSentAt = now
	c.env.Stop(StopCall{Target: c.target.id, Life: c.target.life, Run: h.run, Fence: c.fence})
}

// retryStops repeats unconfirmed stops. After a confirmed stop it polls the target until the
// run is no longer listed.
func (c *Core) retryStops(now time.Time) {
	for _, h := range batch.SortedByRun(c.runs) {
		if h.state != stateStopping || now.Sub(h.stopSentAt) < stopRetryInterval {
			continue
		}
		if h.stopConfirmedAt.IsZero() {
			c.sendStop(now, h)
			continue
		}
		h.stopSentAt = now
		c.requestPoll()
	}
}

// HandleStopAnswer handles the target's answer to a stop.
func (c *Core) HandleStopAnswer(call StopCall, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	if !c.isOfPresentLife(call.Target, call.Life) {
		return
	}
	c.target.updateClock(now, answer.Clock)
	switch answer.Verdict {
	case VerdictDone:
		if h := c.runs[call.Run]; h != nil {
			h.stopConfirmedAt = now
		}
		c.requestPoll()
	case VerdictFenced:
		if c.fence <= call.Fence {
			c.fence = call.Fence + fenceIncrement
		}
	case VerdictOtherTarget:
		c.dropReplacedTarget(now)
	}
	c.flush(now)
}

// removeRun removes a run that is not alive and releases its resources.
func (c *Core) removeRun(h *heldRun) {
	if c.runs[h.run] != h {
		return
	}
	delete(c.runs, h.run)
	c.used = c.used.Sub(h.demand)
	if s := c.sessions[h.entry]; s != nil {
		s.runs--
	}
}

// finishRun removes a run that has ended and reports its end to its entry.
func (c *Core) finishRun(now time.Time, h *heldRun, end batch.End) {
	c.removeRun(h)
	ran := now.Sub(h.startedAt)
	c.counters.Ended[end]++
	report := wire.RunReport{Run: h.run, End: end, RanMS: ran.Milliseconds()}
	if hasOutcome(end) {
		report.EndUnrecorded = h.durable
		report.StartUnconfirmed = h.durable && h.copies.mayArrive(now)
	} else {
		report.TargetCrashed = h.targetCrashed
		report.StartUnconfirmed = h.targetCrashed && !h.observed
	}
	if !h.observed && end == batch.EndStopped {
		report = wire.RunReport{Run: h.run, RefusalReason: h.notStartedReason}
	}
	c.reportWhenFree(now, h, report)
	if report.TargetCrashed && h.durable {
		c.queueReportToOthers(now, h.entry, wire.RunReport{Run: h.run, TargetCrashed: true, StartUnconfirmed: report.StartUnconfirmed})
	}
	c.env.Record(decision.Decision{Step: "run_end", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id, Outcome: string(end),
		Routine: end == batch.EndDone, Inputs: []decision.Input{{Name: "ran_ms", Value: report.RanMS}}})
	switch end {
	case batch.EndDone:
		speed := speedOf(ran, h.estimate)
		c.judgeSpeed(now, h, speed)
		c.updateHealth(now, func() { c.health.runDone(now, speed == speedSlow) })
	case batch.EndFailed:
		c.updateHealth(now, func() { c.health.runFailed(now, h.run.Task.Job) })
	}
}

// reportDelay returns how long the report of an end may wait for other reports. A job
// is not complete before the other runs of it here have ended, so that one message is
// enough for all of them. Ends after which the entry has something to do are reported
// at once.
func (c *Core) reportDelay(h *heldRun, end batch.End) time.Duration {
	s := c.sessions[h.entry]
	if end != batch.EndDone || h.durable || s == nil || s.waiting {
		return 0
	}
	for _, other := range c.runs {
		if other.entry == h.entry && other.run.Task.Job == h.run.Task.Job && other.run.Task.Step == h.run.Task.Step && other.state == stateRunning {
			return maxReportDelay
		}
	}
	return 0
}

// inviteWaitingEntry notifies the entry with the most urgent waiting tasks that
// there is free capacity for at least the smallest of them. No other entry is
// invited until it has answered or invitationTTL has passed.
func (c *Core) inviteWaitingEntry(now time.Time) {
	if now.Before(c.reservedUntil) {
		return
	}
	free := c.free()
	var best *session
	for _, s := range c.sessions {
		if !s.waiting || !s.connected || s.ended || !s.smallestDemand.FitsIn(free) {
			continue
		}
		if best == nil || s.startBy.Before(best.startBy) || (s.startBy.Equal(best.startBy) && s.entry < best.entry) {
			best = s
		}
	}
	if best == nil {
		return
	}
	c.invitedEntry, c.reservedUntil = best.entry, now.Add(invitationTTL)
	c.sendReport(now, best, true)
}
