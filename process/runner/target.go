package runner

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
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
	ends       endLog
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
