package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Times of the calls that hold the lease.
const (
	// holdWait is how long a target may wait for an end before it answers.
	holdWait = 150 * time.Millisecond
	// lossyWait takes its place while answers get lost, because an end is not
	// seen before the next answer.
	lossyWait = 40 * time.Millisecond
	// lossyFor is for how long after a lost answer more are expected.
	lossyFor = 3 * time.Second
	// unreachableAfter is when a target that does not answer takes no new runs
	// and its lease is no longer renewed.
	unreachableAfter = 400 * time.Millisecond
	// maxTargetLease is the longest lease that targets grant. A start that is
	// carried out by the next life of its target gets it, because the time that
	// it names is far ahead by that life's clock.
	maxTargetLease = time.Second
	// missingLimit is how many answers that lack a confirmed run end it.
	missingLimit = 2
)

// NextHold returns the next call that holds the lease. wait is false for a call
// that must be answered at once. It reports false while there is no target.
func (c *Core) NextHold(wait bool) (HoldCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target.id == "" {
		return HoldCall{}, false
	}
	now := c.env.Now()
	c.lookAsked = c.lookAsked && wait
	call := HoldCall{Target: c.target.id, Fence: c.fence, Seen: c.target.ends.acknowledged(), Asked: now}
	if c.target.clockKnown && !c.target.unreachable && len(c.runs) > 0 && !c.target.ends.letLapse(now) {
		call.LeaseUntil = c.leaseFrom(now)
	}
	if wait && c.target.clockKnown && !c.target.ends.waiting() {
		call.Wait = holdWait
		if c.lossy(now) {
			call.Wait = lossyWait
		}
	}
	return call, true
}

// Lossy reports whether answers of the target get lost, so that several holds
// should be under way at a time.
func (c *Core) Lossy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lossy(c.env.Now())
}

func (c *Core) lossy(now time.Time) bool { return now.Before(c.lossyUntil) }

// HoldFailed takes a hold without a usable answer.
func (c *Core) HoldFailed(call HoldCall, verdict Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Target != c.target.id {
		return
	}
	now := c.env.Now()
	switch verdict {
	case VerdictUnanswered:
		c.lossyUntil = now.Add(lossyFor)
	case VerdictFenced:
		if c.fence <= call.Fence {
			c.fence = call.Fence + fenceStep
		}
	case VerdictOtherTarget:
		c.targetReplaced(now, "another target answers at the address")
	}
	c.flush(now)
}

// checkTarget notes a target that has stopped answering, and ends its runs once
// their lease has passed for certain.
func (c *Core) checkTarget(now time.Time) {
	if c.target.id == "" {
		return
	}
	silent := now.Sub(c.target.heard)
	if !c.target.unreachable && silent > unreachableAfter {
		c.target.unreachable = true
		c.changed()
		c.env.Decided(decision.Decision{Step: "judge_target", Peer: c.target.id, Outcome: "closed",
			Reason: string(wire.ClosedUnreachable), Age: silent, Inputs: []decision.Input{{Name: "runs", Value: int64(len(c.runs))}}})
	}
	if !c.target.unreachable {
		return
	}
	for _, h := range batch.InOrder(c.runs) {
		if now.Sub(h.leaseEnd(c.target)) > leaseSpan-wire.RunLease {
			c.finish(now, h, batch.EndLapsed)
		}
	}
}

// leaseEnd returns when the lease of a run ends at the latest. A run that has
// not been listed may have been started by a next life of the target, where the
// lease is as long as targets grant.
func (h *held) leaseEnd(t target) time.Time {
	if h.listed {
		return t.leaseUntil
	}
	return later(t.leaseUntil, h.startSent.Add(maxTargetLease))
}

// HoldAnswered takes the target's list of what runs and what has ended.
func (c *Core) HoldAnswered(call HoldCall, answer HoldAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Target != c.target.id {
		return
	}
	now := c.env.Now()
	if answer.Born != 0 && answer.Born != c.target.born {
		if c.target.born != 0 {
			c.targetReborn(now, call, answer)
		}
		c.target.born = answer.Born
	}
	known := c.target.clockKnown
	c.target.heardClock(now, answer.Clock)
	c.target.heard = now
	if c.target.unreachable || !known {
		c.reachable(now)
	}
	c.noteEnds(now, answer.Ended)
	c.noteRunning(now, call, answer)
	c.checkProgress(now)
	c.invite(now)
	c.flush(now)
}

func (c *Core) reachable(now time.Time) {
	if c.target.unreachable {
		c.env.Decided(decision.Decision{Step: "judge_target", Peer: c.target.id, Outcome: "open", Reason: "target answers again"})
	}
	c.target.unreachable = false
	c.changed()
}

func (c *Core) noteEnds(now time.Time, ended []EndedRun) {
	lapsed := lastLapse(ended)
	for _, e := range ended {
		if !c.target.ends.note(e.Number) {
			continue
		}
		h := c.runs[e.Run]
		if counts := e.End == batch.EndDone || e.End == batch.EndFailed; counts && (h != nil && h.durable || h == nil && e.Number > lapsed) {
			c.target.ends.keep(e.Number, keptEnd{run: e.Run, end: e.End, since: now, entry: entryOf(h)})
		}
		if h == nil {
			c.unclaimedEnd(now, e)
		}
		if h != nil {
			h.seen = true
			c.finish(now, h, e.End)
		}
	}
}

func (c *Core) noteRunning(now time.Time, call HoldCall, answer HoldAnswer) {
	running := make(map[batch.Run]bool, len(answer.Running))
	foreign := 0
	for _, row := range answer.Running {
		running[row.Run] = true
		h := c.runs[row.Run]
		if h == nil {
			foreign++
			c.stopForeign(now, row.Run)
			continue
		}
		if !h.seen {
			c.startConfirmed(now, h)
		}
		h.missing, h.listed = 0, true
		if row.Percent != h.percent {
			h.percent, h.percentAt = row.Percent, now
		}
	}
	if foreign == 0 {
		c.clean = true
		clear(c.foreign)
	}
	if call.Asked.After(c.target.roomDoubted) {
		c.target.roomDoubted = time.Time{}
	}
	for _, h := range batch.InOrder(c.runs) {
		if !running[h.run] {
			c.noteMissing(now, h, call.Asked)
		}
	}
}

// stopForeign stops a run of an earlier agent incarnation, or one that was
// withdrawn and started late.
func (c *Core) stopForeign(now time.Time, run batch.Run) {
	if sent, known := c.foreign[run]; known && now.Sub(sent) < stopRetry {
		return
	}
	c.foreign[run] = now
	c.counters.Foreign++
	c.env.Decided(decision.Decision{Step: "run", Job: run.Task.Job, Run: run, Peer: c.target.id, Outcome: "stopped",
		Reason: "not ordered by this agent"})
	c.env.Stop(StopCall{Target: c.target.id, Run: run, Fence: c.fence})
}

// look asks for the runs at the target, unless that has been asked already.
func (c *Core) look() {
	if !c.lookAsked {
		c.lookAsked = true
		c.env.Look()
	}
}

// noteMissing handles a run that an answer lacks. Only an answer that was asked
// for after an event says anything about what followed it.
func (c *Core) noteMissing(now time.Time, h *held, asked time.Time) {
	switch {
	case h.state == stateStopping:
		if !h.stopped.IsZero() && asked.After(h.stopped) {
			c.finish(now, h, batch.EndStopped)
		}
	case h.state == stateStarting:
		if !h.unanswered.IsZero() && asked.After(h.unanswered) {
			c.withdraw(now, h)
		}
	case asked.After(h.confirmed):
		if h.missing++; h.missing >= missingLimit {
			c.finish(now, h, batch.EndLapsed)
		}
	}
}
