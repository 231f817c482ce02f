package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// fenceStep raises the fencing token after a refusal that does not say which
// token the target has seen. Tokens begin with the time in milliseconds, so the
// step covers a time of day that was set back by a minute.
const fenceStep = 60_000

// maxStartRetries bounds the retries of one start without an answer.
const maxStartRetries = 2

// maxFenceRetries bounds the retries of one start with a higher token.
const maxFenceRetries = 8

func (c *Core) startOrdered(now time.Time, s *session, order wire.StartOrder, task wire.StartTask) {
	run := order.Run(task)
	if reason := c.refusal(now, s, order, run); reason != "" {
		c.tell(now, s, wire.RunReport{Run: run, Refused: reason})
		return
	}
	h := &held{run: run, entry: s.entry, demand: order.Demand, durable: order.Durable, startedAt: now,
		estimate: time.Duration(order.EstimateMS) * time.Millisecond}
	c.runs[run] = h
	c.used = c.used.Add(h.demand)
	c.counters.Started++
	c.sendStart(now, h, StartCall{Target: c.target.id, Run: run, Spec: order.Spec})
}

// sendStart asks for a start, for the first time or again.
func (c *Core) sendStart(now time.Time, h *held, call StartCall) {
	h.startSent = now
	call.Fence, call.LeaseUntil = c.fence, c.leaseFrom(now)
	c.env.Start(call)
}

func (c *Core) refusal(now time.Time, s *session, order wire.StartOrder, run batch.Run) wire.RefusedStart {
	if s.ended {
		return wire.RefusedSession
	}
	if c.closed() != "" || order.Target != c.target.id {
		return wire.RefusedClosed
	}
	if !order.Demand.FitsIn(c.target.room) {
		return wire.RefusedInvalid
	}
	for number := 1; number <= run.Number; number++ {
		if _, ok := c.runs[batch.Run{Task: run.Task, Number: number}]; ok {
			return wire.RefusedSuperseded
		}
	}
	if !order.Demand.FitsIn(c.free()) {
		return wire.RefusedFull
	}
	return ""
}

// StartAnswered takes the target's answer to a start.
func (c *Core) StartAnswered(call StartCall, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	c.target.heardClock(now, answer.Clock)
	h := c.runs[call.Run]
	if h == nil || call.Target != c.target.id {
		return
	}
	switch answer.Verdict {
	case VerdictDone:
		c.startConfirmed(now, h)
	case VerdictUnanswered:
		c.startUnanswered(now, h, call)
	case VerdictFenced:
		c.startFenced(now, h, call)
	case VerdictOtherTarget:
		c.targetReplaced(now, "another target answers at the address")
	default:
		c.startRefused(now, h, answer.Verdict)
	}
	c.invite(now)
	c.flush(now)
}

func (c *Core) startConfirmed(now time.Time, h *held) {
	h.seen, h.confirmed, h.unanswered = true, now, time.Time{}
	h.percentAt = now
	if h.state == stateStarting {
		h.state = stateRunning
	}
}

// startUnanswered asks again for a start without an answer: a run that is there
// already is confirmed. After some attempts it looks what became of the run.
func (c *Core) startUnanswered(now time.Time, h *held, call StartCall) {
	c.lossyUntil = now.Add(lossyFor)
	if h.seen || h.state == stateStopping {
		return
	}
	h.asked++
	if h.asked <= maxStartRetries {
		c.sendStart(now, h, call)
		return
	}
	h.unanswered = now
	c.look()
}

// withdraw gives up a start that has not been carried out but still may be. A
// stop makes the target refuse the run from then on.
func (c *Core) withdraw(now time.Time, h *held) {
	c.env.Decided(decision.Decision{Step: "start", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id,
		Outcome: "withdrawn", Reason: "target did not answer", Age: now.Sub(h.startedAt)})
	c.stop(now, h, wire.RefusedUnanswered)
}

func (c *Core) startFenced(now time.Time, h *held, call StartCall) {
	if c.fence <= call.Fence {
		c.fence = call.Fence + fenceStep
		c.env.Decided(decision.Decision{Step: "fence", Peer: c.target.id, Outcome: "raised", Version: c.fence})
	}
	h.fenced++
	if h.fenced > maxFenceRetries || h.state != stateStarting {
		c.startRefused(now, h, VerdictFenced)
		return
	}
	c.sendStart(now, h, call)
}

// startRefused ends a run that the target refused without doing anything. An
// earlier copy of the start that got no answer may have been carried out, or
// may still be: then only the list of runs tells, and a stop makes it certain.
// A run that is being stopped ends with its stop.
func (c *Core) startRefused(now time.Time, h *held, verdict Verdict) {
	reason := wire.RefusedByTarget
	switch verdict {
	case VerdictSuperseded:
		reason = wire.RefusedSuperseded
	case VerdictInvalid:
		reason = wire.RefusedInvalid
	case VerdictUnhealthy:
		c.judge(now, func() { c.health.unwell(now) })
	case VerdictNoRoom:
		c.target.roomDoubted = now
		c.look()
	}
	c.env.Decided(decision.Decision{Step: "start", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id,
		Outcome: "refused", Reason: string(verdict),
		Inputs: []decision.Input{{Name: "used_millicpu", Value: int64(c.used.MilliCPU)}, {Name: "room_millicpu", Value: int64(c.target.room.MilliCPU)}}})
	if h.asked > 0 || h.state == stateStopping {
		if h.state == stateStarting && h.unanswered.IsZero() {
			h.unanswered = now
			c.look()
		}
		return
	}
	c.forget(h)
	c.tell(now, c.sessions[h.entry], wire.RunReport{Run: h.run, Refused: reason})
}

// judge applies an observation to the health of the target and notes a change.
func (c *Core) judge(now time.Time, observe func()) {
	before := c.health.closed
	probing := c.health.probing
	observe()
	if c.health.closed == before && c.health.probing == probing {
		return
	}
	c.changed()
	outcome := "open"
	if c.health.closed != "" {
		outcome = "closed"
		c.counters.Closed[c.health.closed]++
	}
	c.env.Decided(decision.Decision{Step: "judge_target", Peer: c.target.id, Outcome: outcome, Reason: string(c.health.closed),
		Inputs: []decision.Input{{Name: "closed_ms", Value: c.health.closedFor.Milliseconds()}, {Name: "runs", Value: int64(len(c.runs))}}})
}

func (c *Core) stopOrdered(now time.Time, s *session, run batch.Run) {
	h := c.runs[run]
	if h == nil || h.entry != s.entry {
		return
	}
	c.stop(now, h, wire.RefusedStopped)
}

// stop asks the target to stop a run. refusal is what the entry is told if the
// run turns out never to have started.
func (c *Core) stop(now time.Time, h *held, refusal wire.RefusedStart) {
	if h.state == stateStopping {
		return
	}
	h.state, h.refusal = stateStopping, refusal
	c.sendStop(now, h)
}

func (c *Core) sendStop(now time.Time, h *held) {
	h.stopSent = now
	c.env.Stop(StopCall{Target: c.target.id, Run: h.run, Fence: c.fence})
}

func (c *Core) retryStops(now time.Time) {
	for _, h := range batch.InOrder(c.runs) {
		if !h.unanswered.IsZero() && h.state == stateStarting && now.Sub(h.unanswered) >= stopRetry {
			c.withdraw(now, h)
		}
		if h.state != stateStopping || now.Sub(h.stopSent) < stopRetry {
			continue
		}
		if h.stopped.IsZero() {
			c.sendStop(now, h)
			continue
		}
		h.stopSent = now
		c.look()
	}
}

// StopAnswered takes the target's answer to a stop.
func (c *Core) StopAnswered(call StopCall, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	c.target.heardClock(now, answer.Clock)
	if call.Target != c.target.id {
		return
	}
	switch answer.Verdict {
	case VerdictDone:
		if h := c.runs[call.Run]; h != nil {
			h.stopped = now
		}
		c.look()
	case VerdictFenced:
		if c.fence <= call.Fence {
			c.fence = call.Fence + fenceStep
		}
	case VerdictOtherTarget:
		c.targetReplaced(now, "another target answers at the address")
	}
	c.flush(now)
}

// forget drops a run that is not alive.
func (c *Core) forget(h *held) {
	if c.runs[h.run] != h {
		return
	}
	delete(c.runs, h.run)
	c.used = c.used.Sub(h.demand)
}

// finish drops a run that has ended and tells its entry.
func (c *Core) finish(now time.Time, h *held, end batch.End) {
	c.forget(h)
	ran := now.Sub(h.startedAt)
	c.counters.Ended[end]++
	report := wire.RunReport{Run: h.run, End: end, RanMS: ran.Milliseconds(),
		Unstored: h.durable && (end == batch.EndDone || end == batch.EndFailed)}
	if !h.seen && end == batch.EndStopped {
		report = wire.RunReport{Run: h.run, Refused: h.refusal}
	}
	c.tell(now, c.sessions[h.entry], report)
	c.env.Decided(decision.Decision{Step: "run_end", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id, Outcome: string(end),
		Routine: end == batch.EndDone, Inputs: []decision.Input{{Name: "ran_ms", Value: report.RanMS}}})
	switch end {
	case batch.EndDone:
		slow := h.estimate > 0 && ran > time.Duration(slowFactor*float64(h.estimate))
		c.judge(now, func() { c.health.done(now, slow) })
	case batch.EndFailed:
		c.judge(now, func() { c.health.failed(now, h.run.Task.Job) })
	}
}

// invite tells the entry with the most urgent waiting tasks that there is room
// for at least the smallest of them. Others are not invited until it has
// answered, or for a moment.
func (c *Core) invite(now time.Time) {
	if now.Before(c.reservedUntil) {
		return
	}
	free := c.free()
	var best *session
	for _, s := range c.sessions {
		if !s.waiting || !s.connected || s.ended || !s.demand.FitsIn(free) {
			continue
		}
		if best == nil || s.slackAt.Before(best.slackAt) || (s.slackAt.Equal(best.slackAt) && s.entry < best.entry) {
			best = s
		}
	}
	if best == nil {
		return
	}
	c.invited, c.reservedUntil = best.entry, now.Add(reservation)
	c.report(now, best, true)
}
