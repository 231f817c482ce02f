package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Timing of ends that are not yet acknowledged to the target.
const (
	// unsettledEndTimeout is how long entries may take to settle an end, that
	// is, to report it as stored or void. After that it must not count, because
	// its task may run again.
	unsettledEndTimeout = 2 * time.Second
	// lapseGracePeriod is how long the lease is still renewed so that other runs
	// can end before it lapses.
	lapseGracePeriod = time.Second
	// endOfferInterval is how often entries are asked about ends that none of
	// them has claimed. They are asked repeatedly because an entry that has just
	// started can't answer yet.
	endOfferInterval = 100 * time.Millisecond
	// unackedPollInterval is the pause between two hold calls while the target
	// lists unacknowledged ends, since it answers such a call at once.
	unackedPollInterval = 10 * time.Millisecond
	// recordedPollInterval replaces it while all of them are recorded, which lasts longer.
	recordedPollInterval = 20 * time.Millisecond
	// maxListedEnds is the number of ends at the target from which on the recorded ones among
	// them are void. Targets list a limited number (500), and the newer ones would be missed.
	maxListedEnds = 400
)

// endTracker tracks which ends of a target may be acknowledged. The end of a
// durable run stays unacknowledged until its entry has recorded it. An end that
// must not count, because its task may run again, is acknowledged only after
// the lease has lapsed: the target then disregards it.
type endTracker struct {
	// lastNumber is the highest number of an end that has been handled.
	lastNumber uint64
	// unacked holds the ends that must not be acknowledged yet, by their number.
	unacked map[uint64]unackedEnd
	// lapseSince is when the target was closed so that its lease can lapse, or
	// zero.
	lapseSince time.Time
	// offeredAt is when entries were last asked about unclaimed ends.
	offeredAt time.Time
}

// unackedEnd is an end that is not yet acknowledged to the target.
type unackedEnd struct {
	run        batch.Run
	end        batch.End
	receivedAt time.Time
	// entry is the entry that ordered the run, or 0 if an earlier agent started
	// it.
	entry wire.Incarnation
	// void is set if the end must not count, because the task may run again.
	void bool
	// startsOverAt is when the last copy of the start that got no answer is carried out at the
	// latest, or zero. A later life of the target may begin the run again until then, which
	// must not follow an end that counts. recorded is set once the entry has recorded the end.
	startsOverAt time.Time
	recorded     bool
}

// hasOutcome reports whether an end tells whether the task succeeded.
func hasOutcome(end batch.End) bool { return end == batch.EndDone || end == batch.EndFailed }

// unclaimed reports whether no connected entry is known to have ordered the run.
func (e unackedEnd) unclaimed() bool { return e.entry == 0 }

// lastLapse returns the highest number of a run that ended because the lease
// lapsed, or 0. The target disregards the ends before it, whenever they are
// acknowledged.
func lastLapse(ended []EndedRun) uint64 {
	var last uint64
	for _, e := range ended {
		if e.End == batch.EndLapsed {
			last = max(last, e.Number)
		}
	}
	return last
}

func entryOf(h *heldRun) wire.Incarnation {
	if h == nil {
		return 0
	}
	return h.entry
}

// advance records the number of an end and reports whether the end is new.
func (l *endTracker) advance(number uint64) bool {
	if number <= l.lastNumber {
		return false
	}
	l.lastNumber = number
	return true
}

func (l *endTracker) addUnacked(number uint64, e unackedEnd) {
	if l.unacked == nil {
		l.unacked = make(map[uint64]unackedEnd)
	}
	l.unacked[number] = e
}

// acknowledged returns the number up to which the target may forget all ends.
func (l *endTracker) acknowledged() uint64 {
	number := l.lastNumber
	for n := range l.unacked {
		number = min(number, n-1)
	}
	return number
}

// hasUnacked reports whether ends are waiting to be acknowledged.
func (l *endTracker) hasUnacked() bool { return len(l.unacked) > 0 }

// hasUnackedOf reports whether ends of an entry are waiting to be acknowledged.
func (l *endTracker) hasUnackedOf(entry wire.Incarnation) bool {
	for _, e := range l.unacked {
		if e.entry == entry && !e.void && !e.recorded {
			return true
		}
	}
	return false
}

// allRecorded reports whether the entries have settled all unacknowledged ends.
func (l *endTracker) allRecorded() bool {
	for _, e := range l.unacked {
		if !e.recorded {
			return false
		}
	}
	return true
}

// listed returns the number of ends that the target lists.
func (l *endTracker) listed() uint64 { return l.lastNumber - l.acknowledged() }

// lapsing reports whether the target takes no runs because its lease has to
// lapse.
func (l *endTracker) lapsing() bool { return !l.lapseSince.IsZero() }

// leaseMustLapse reports whether the lease must no longer be renewed.
func (l *endTracker) leaseMustLapse(now time.Time) bool {
	return l.lapsing() && now.Sub(l.lapseSince) > lapseGracePeriod
}

// HoldDelay returns how long to wait before the next hold call.
func (c *Core) HoldDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch l := &c.target.ends; {
	case !l.hasUnacked():
		return 0
	case l.allRecorded():
		return recordedPollInterval
	}
	return unackedPollInterval
}

// startLapse closes the target until its lease has lapsed.
func (c *Core) startLapse(now time.Time) {
	if !c.target.ends.lapsing() {
		c.target.ends.lapseSince = now
		c.bumpRevision()
	}
}

// endLapse reopens the target when the lease has lapsed or no longer needs to.
func (c *Core) endLapse() {
	c.target.ends.lapseSince = time.Time{}
	c.bumpRevision()
}

// settleEnds handles the ends that an entry has recorded and those that must
// not count.
func (c *Core) settleEnds(now time.Time, orders *wire.Orders) {
	if len(orders.RecordedEnds) == 0 && len(orders.VoidEnds) == 0 {
		return
	}
	for number, e := range c.target.ends.unacked {
		switch {
		case slices.Contains(orders.RecordedEnds, e.run) && !e.void:
			e.recorded = true
			c.target.ends.unacked[number] = e
		case slices.Contains(orders.VoidEnds, e.run):
			c.voidEnd(now, number)
		}
	}
	c.dropRecordedEnds(now)
	if c.target.ends.lapsing() && !c.target.ends.needsLapse() {
		c.endLapse()
	}
}

// dropRecordedEnds drops the recorded ends that may count now, so that they are acknowledged.
// If the target lists too many ends meanwhile, those that may not count yet are void.
func (c *Core) dropRecordedEnds(now time.Time) {
	l := &c.target.ends
	maps.DeleteFunc(l.unacked, func(_ uint64, e unackedEnd) bool { return e.recorded && !e.void && !now.Before(e.startsOverAt) })
	if l.listed() <= maxListedEnds {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(l.unacked)) {
		if l.unacked[number].recorded {
			c.voidEnd(now, number)
		}
	}
}

// needsLapse reports whether there are ends that can be acknowledged only after
// the lease has lapsed.
func (l *endTracker) needsLapse() bool {
	for _, e := range l.unacked {
		if e.void || e.unclaimed() {
			return true
		}
	}
	return false
}

// voidEnd marks an end that must not count and lets the lease lapse before the
// end is acknowledged.
func (c *Core) voidEnd(now time.Time, number uint64) {
	e := c.target.ends.unacked[number]
	if e.void {
		return
	}
	e.void = true
	c.target.ends.unacked[number] = e
	c.env.Record(decision.Decision{Step: "end", Job: e.run.Task.Job, Run: e.run, Peer: c.target.id, Outcome: "void",
		Reason: "the task may run again, or the run begin again", Age: now.Sub(e.receivedAt)})
	c.startLapse(now)
}

// voidEndsOf voids the ends of an entry whose session has ended, because
// another entry may run its tasks again.
func (c *Core) voidEndsOf(now time.Time, entry wire.Incarnation) {
	for _, number := range slices.Sorted(maps.Keys(c.target.ends.unacked)) {
		if e := c.target.ends.unacked[number]; e.entry == entry && !e.recorded {
			c.voidEnd(now, number)
		}
	}
}

// unackedReports returns the ends that an entry may settle: those of its own
// runs and those of runs that an earlier agent started.
func (c *Core) unackedReports(entry wire.Incarnation) []wire.RunReport {
	var reports []wire.RunReport
	for _, number := range slices.Sorted(maps.Keys(c.target.ends.unacked)) {
		if e := c.target.ends.unacked[number]; !e.void && !e.recorded && (e.entry == entry || e.unclaimed()) {
			reports = append(reports, wire.RunReport{Run: e.run, End: e.end, EndUnrecorded: true})
		}
	}
	return reports
}

// offerEnds asks every connected entry about the unclaimed ends.
func (c *Core) offerEnds(now time.Time) {
	c.target.ends.offeredAt = now
	for _, s := range c.sessions {
		if s.connected {
			s.pendingReports = append(s.pendingReports, c.unackedReports(0)...)
		}
	}
}

// handleUnclaimedEnd handles the end of a run that this agent does not hold,
// usually one that an earlier agent started. A target that runs nothing is
// closed until an entry has settled the end or the lease has lapsed, because a
// later lapse would also end the runs that were started in the meantime.
func (c *Core) handleUnclaimedEnd(now time.Time, e EndedRun) {
	c.offerEnds(now)
	if len(c.runs) > 0 || c.target.ends.lapsing() || !c.target.ends.needsLapse() {
		return
	}
	c.env.Record(decision.Decision{Step: "end", Job: e.Run.Task.Job, Run: e.Run, Peer: c.target.id, Outcome: "unclaimed",
		Reason: "closed until it is settled or the lease has lapsed"})
	c.startLapse(now)
}

// checkUnackedEnds voids the ends that no entry has settled in time. Once the
// lease has lapsed, it drops the void and the unclaimed ends, so that they are
// acknowledged.
func (c *Core) checkUnackedEnds(now time.Time) {
	l := &c.target.ends
	if len(c.unackedReports(0)) > 0 && now.Sub(l.offeredAt) >= endOfferInterval {
		c.offerEnds(now)
	}
	c.dropRecordedEnds(now)
	for _, number := range slices.Sorted(maps.Keys(l.unacked)) {
		if e := l.unacked[number]; !e.recorded && now.Sub(e.receivedAt) > unsettledEndTimeout {
			c.voidEnd(now, number)
		}
	}
	if !l.lapsing() || len(c.runs) > 0 || now.Sub(c.target.leaseUntil) <= maxLeaseDuration-wire.RunLease || now.Sub(c.startedAt) <= maxLeaseDuration {
		return
	}
	maps.DeleteFunc(l.unacked, func(_ uint64, e unackedEnd) bool { return e.void || e.unclaimed() })
	c.endLapse()
	c.env.Record(decision.Decision{Step: "end", Peer: c.target.id, Outcome: "lapsed", Version: l.lastNumber})
}
