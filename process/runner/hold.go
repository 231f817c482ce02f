package runner

import (
	"slices"
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

// target is what the agent knows of the target beside it.
type target struct {
	id       string
	service  string
	born     int64
	sequence uint64
	room     batch.Resources
	labels   []string
	draining bool

	clockKnown bool
	clock      TargetClock
	clockAt    time.Time
	// heard is when the target last answered a hold.
	heard       time.Time
	unreachable bool
	// leaseUntil is the end of the longest lease that was asked for, by the
	// agent's clock.
	leaseUntil time.Time
	seen       uint64
	// roomDoubted is when the target refused a run for which there should have
	// been room; it is zero once the runs have been looked at since.
	roomDoubted time.Time
}

// heardClock notes a reading of the target's clock.
func (t *target) heardClock(now time.Time, clock TargetClock) {
	if clock > t.clock {
		t.clock, t.clockAt, t.clockKnown = clock, now, true
	}
}

// leaseFrom returns the end of a lease that starts now, by the target's clock.
func (c *Core) leaseFrom(now time.Time) TargetClock {
	c.target.leaseUntil = later(c.target.leaseUntil, now.Add(wire.RunLease))
	return c.target.clock + TargetClock((now.Sub(c.target.clockAt) + wire.RunLease).Milliseconds())
}

// Found takes what others know of a target that has not reported yet. Its own
// reports come after it.
func (c *Core) Found(r TargetReport) {
	c.mu.Lock()
	known := c.target.id != ""
	c.mu.Unlock()
	if !known {
		c.Reported(r)
	}
}

// Reported takes what the target says of itself. It reports false if the report
// is older than what is known.
func (c *Core) Reported(r TargetReport) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	if c.target.id != "" && c.olderThanKnown(r) {
		return false
	}
	switch {
	case r.Target != c.target.id:
		c.adopt(now, r)
	case r.Born != 0 && c.target.born != 0 && r.Born != c.target.born:
		// Only the runs at the target tell which of them began in its new life.
		c.look()
		return true
	}
	was := c.target
	c.target.service, c.target.sequence = r.Service, r.Sequence
	c.target.room, c.target.labels = r.Room, r.Labels
	c.target.draining = c.target.draining || r.Draining
	if was.service != r.Service || was.room != r.Room || was.draining != c.target.draining || !slices.Equal(was.labels, r.Labels) {
		c.changed()
		c.env.Decided(decision.Decision{Step: "target_report", Peer: r.Target, Outcome: reportOutcome(c.target.draining),
			Version: r.Sequence, Inputs: []decision.Input{{Name: "room_millicpu", Value: int64(r.Room.MilliCPU)}}})
	}
	c.invite(now)
	c.flush(now)
	return true
}

func reportOutcome(draining bool) string {
	if draining {
		return "draining"
	}
	return "serving"
}

// olderThanKnown reports whether a report was sent before the newest one. A
// report may be delayed beyond the end of its target's life.
func (c *Core) olderThanKnown(r TargetReport) bool {
	if r.Born != 0 && c.target.born != 0 && r.Born != c.target.born {
		return r.Born < c.target.born
	}
	return r.Target == c.target.id && r.Sequence <= c.target.sequence
}

// adopt begins with a new life of the target.
func (c *Core) adopt(now time.Time, r TargetReport) {
	c.loseRuns(now, "target was replaced", batch.InOrder(c.runs))
	c.target = target{id: r.Target, born: r.Born, heard: now}
	c.health = health{}
	c.changed()
	c.env.Decided(decision.Decision{Step: "target", Peer: r.Target, Outcome: "adopted", Version: r.Sequence})
	c.look()
}

// Deregistered takes the target's word that it ends.
func (c *Core) Deregistered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target.id != id {
		return
	}
	c.target.draining = true
	c.changed()
	c.env.Decided(decision.Decision{Step: "target", Peer: id, Outcome: "deregistered"})
	c.flush(c.env.Now())
}

// targetReplaced forgets a target whose address another one has taken.
func (c *Core) targetReplaced(now time.Time, cause string) {
	c.loseRuns(now, cause, batch.InOrder(c.runs))
	c.target = target{}
	c.changed()
}

// loseRuns ends the runs that died with their target.
func (c *Core) loseRuns(now time.Time, cause string, lost []*held) {
	if len(lost) == 0 {
		return
	}
	c.env.Decided(decision.Decision{Step: "target", Peer: c.target.id, Outcome: "runs_lost", Reason: cause,
		Inputs: []decision.Input{{Name: "runs", Value: int64(len(lost))}}})
	for _, h := range lost {
		c.finish(now, h, batch.EndLost)
	}
}

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
	call := HoldCall{Target: c.target.id, Fence: c.fence, Seen: c.target.seen, Asked: now}
	if c.target.clockKnown && !c.target.unreachable && len(c.runs) > 0 {
		call.LeaseUntil = c.leaseFrom(now)
	}
	if wait && c.target.clockKnown {
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

// targetReborn handles a target that started again under its identity. The new
// life may have carried out starts that were meant for the earlier one: a run
// that it lists goes on, and one whose start may still be on its way is stopped
// there before it counts as ended.
func (c *Core) targetReborn(now time.Time, call HoldCall, answer HoldAnswer) {
	listed := make(map[batch.Run]bool)
	for _, row := range answer.Running {
		listed[row.Run] = true
	}
	for _, row := range answer.Ended {
		listed[row.Run] = true
	}
	var lost, onTheWay []*held
	for _, h := range batch.InOrder(c.runs) {
		switch {
		case listed[h.run]:
		case h.seen && h.asked == 0 && call.Asked.After(h.confirmed):
			lost = append(lost, h)
		default:
			onTheWay = append(onTheWay, h)
		}
	}
	c.loseRuns(now, "target started again", lost)
	c.target = target{id: c.target.id, born: answer.Born, service: c.target.service, room: c.target.room, labels: c.target.labels, heard: now,
		leaseUntil: c.target.leaseUntil}
	c.health = health{}
	c.changed()
	c.env.Decided(decision.Decision{Step: "target", Peer: c.target.id, Outcome: "born_again", Version: uint64(answer.Born),
		Inputs: []decision.Input{{Name: "starts_on_the_way", Value: int64(len(onTheWay))}, {Name: "runs_listed", Value: int64(len(listed))}}})
	for _, h := range onTheWay {
		// The run may have begun in the earlier life.
		h.seen, h.listed = true, false
		h.state, h.stopped, h.unanswered = stateStopping, time.Time{}, time.Time{}
		c.sendStop(now, h)
	}
	c.look()
}

func (c *Core) reachable(now time.Time) {
	if c.target.unreachable {
		c.env.Decided(decision.Decision{Step: "judge_target", Peer: c.target.id, Outcome: "open", Reason: "target answers again"})
	}
	c.target.unreachable = false
	c.changed()
}

func (c *Core) noteEnds(now time.Time, ended []EndedRun) {
	for _, e := range ended {
		if e.Number <= c.target.seen {
			continue
		}
		c.target.seen = e.Number
		if h := c.runs[e.Run]; h != nil {
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
