package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Times of ends that are kept from the target.
const (
	// unclaimedAfter is when an end that no entry has settled must not count any
	// more: its task may run again.
	unclaimedAfter = 2 * time.Second
	// lapseGrace is how long other runs may take to end before the lease lapses
	// all the same.
	lapseGrace = time.Second
	// offerInterval is how often entries are asked about ends that none of them
	// has claimed: one that has just started can't say yet.
	offerInterval = 100 * time.Millisecond
	// keptEndsPause is between two looks at the target while it lists ends that
	// are kept from it, since it answers such a call at once.
	keptEndsPause = 10 * time.Millisecond
)

// endLog knows which ends of a target may be acknowledged. An end of a durable
// run is kept until its entry has recorded it. One that must not count, because
// the task may run again, is acknowledged only after the lease has lapsed: the
// target then takes no note of it.
type endLog struct {
	// noted is the highest number that has been handled.
	noted uint64
	kept  map[uint64]keptEnd
	// lapseSince is since when the lease is to lapse, or zero.
	lapseSince time.Time
	// offered is when entries were last asked about ends of runs that are not
	// held here.
	offered time.Time
}

type keptEnd struct {
	run   batch.Run
	end   batch.End
	since time.Time
	// entry is the one that ordered the run, or 0 if an earlier agent started it.
	entry wire.Incarnation
	void  bool
}

// unclaimed reports whether no connected entry is known to have ordered the run.
func (e keptEnd) unclaimed() bool { return e.entry == 0 }

// lastLapse returns the number of the last end by a lapse of the lease, or 0.
// Ends before it do not count for the target, whenever they are acknowledged.
func lastLapse(ended []EndedRun) uint64 {
	var last uint64
	for _, e := range ended {
		if e.End == batch.EndLapsed {
			last = max(last, e.Number)
		}
	}
	return last
}

func entryOf(h *held) wire.Incarnation {
	if h == nil {
		return 0
	}
	return h.entry
}

// note reports whether an end is new.
func (l *endLog) note(number uint64) bool {
	if number <= l.noted {
		return false
	}
	l.noted = number
	return true
}

func (l *endLog) keep(number uint64, e keptEnd) {
	if l.kept == nil {
		l.kept = make(map[uint64]keptEnd)
	}
	l.kept[number] = e
}

// acknowledged returns the number up to which all ends may be forgotten.
func (l *endLog) acknowledged() uint64 {
	number := l.noted
	for n := range l.kept {
		number = min(number, n-1)
	}
	return number
}

// waiting reports whether ends are kept from the target.
func (l *endLog) waiting() bool { return len(l.kept) > 0 }

// lapsing reports whether the target takes no runs because its lease has to
// lapse.
func (l *endLog) lapsing() bool { return !l.lapseSince.IsZero() }

// letLapse reports whether the lease must not be renewed.
func (l *endLog) letLapse(now time.Time) bool {
	return l.lapsing() && now.Sub(l.lapseSince) > lapseGrace
}

// HoldPause returns how long to wait before the next call that holds the lease.
func (c *Core) HoldPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target.ends.waiting() {
		return keptEndsPause
	}
	return 0
}

// lapse closes the target until its lease has lapsed.
func (c *Core) lapse(now time.Time) {
	if !c.target.ends.lapsing() {
		c.target.ends.lapseSince = now
		c.changed()
	}
}

// endLapse opens the target again.
func (c *Core) endLapse() {
	c.target.ends.lapseSince = time.Time{}
	c.changed()
}

// settleEnds takes an entry's word on ends.
func (c *Core) settleEnds(now time.Time, orders *wire.Orders) {
	if len(orders.Stored) == 0 && len(orders.Void) == 0 {
		return
	}
	for number, e := range c.target.ends.kept {
		switch {
		case slices.Contains(orders.Stored, e.run) && !e.void:
			delete(c.target.ends.kept, number)
		case slices.Contains(orders.Void, e.run):
			c.voidEnd(now, number)
		}
	}
	if c.target.ends.lapsing() && !c.target.ends.needLapse() {
		c.endLapse()
	}
}

// needLapse reports whether ends are kept that can be acknowledged only after
// the lease has lapsed.
func (l *endLog) needLapse() bool {
	for _, e := range l.kept {
		if e.void || e.unclaimed() {
			return true
		}
	}
	return false
}

// voidEnd lets the lease lapse before an end is acknowledged.
func (c *Core) voidEnd(now time.Time, number uint64) {
	e := c.target.ends.kept[number]
	if e.void {
		return
	}
	e.void = true
	c.target.ends.kept[number] = e
	c.env.Decided(decision.Decision{Step: "end", Job: e.run.Task.Job, Run: e.run, Peer: c.target.id, Outcome: "void",
		Reason: "the task may run again", Age: now.Sub(e.since)})
	c.lapse(now)
}

// voidEndsOf handles the ends of an entry that is silent: another may run its
// tasks again.
func (c *Core) voidEndsOf(now time.Time, entry wire.Incarnation) {
	for _, number := range slices.Sorted(maps.Keys(c.target.ends.kept)) {
		if c.target.ends.kept[number].entry == entry {
			c.voidEnd(now, number)
		}
	}
}

// keptReports returns the ends that an entry may settle: its own, and those of
// runs that an earlier agent has started.
func (c *Core) keptReports(entry wire.Incarnation) []wire.RunReport {
	var reports []wire.RunReport
	for _, number := range slices.Sorted(maps.Keys(c.target.ends.kept)) {
		if e := c.target.ends.kept[number]; !e.void && (e.entry == entry || e.unclaimed()) {
			reports = append(reports, wire.RunReport{Run: e.run, End: e.end, Unstored: true})
		}
	}
	return reports
}

// offerEnds asks every connected entry about the ends of runs that are not held
// here.
func (c *Core) offerEnds(now time.Time) {
	c.target.ends.offered = now
	for _, s := range c.sessions {
		if s.connected {
			s.pending = append(s.pending, c.keptReports(0)...)
		}
	}
}

// unclaimedEnd handles an end of a run that is not held here, mostly of an
// earlier agent. A target that runs nothing is closed until an entry has
// settled the end or the lease has lapsed, because a lapse that comes later
// would end the runs that have begun meanwhile.
func (c *Core) unclaimedEnd(now time.Time, e EndedRun) {
	c.offerEnds(now)
	if len(c.runs) > 0 || c.target.ends.lapsing() || !c.target.ends.needLapse() {
		return
	}
	c.env.Decided(decision.Decision{Step: "end", Job: e.Run.Task.Job, Run: e.Run, Peer: c.target.id, Outcome: "unclaimed",
		Reason: "closed until it is settled or the lease has lapsed"})
	c.lapse(now)
}

// checkEnds gives up ends that nobody settles, and forgets them and those that
// must not count once the lease has lapsed.
func (c *Core) checkEnds(now time.Time) {
	l := &c.target.ends
	if len(c.keptReports(0)) > 0 && now.Sub(l.offered) >= offerInterval {
		c.offerEnds(now)
	}
	for _, number := range slices.Sorted(maps.Keys(l.kept)) {
		if now.Sub(l.kept[number].since) > unclaimedAfter {
			c.voidEnd(now, number)
		}
	}
	if !l.lapsing() || len(c.runs) > 0 || now.Sub(c.target.leaseUntil) <= leaseSpan-wire.RunLease || now.Sub(c.started) <= leaseSpan {
		return
	}
	maps.DeleteFunc(l.kept, func(_ uint64, e keptEnd) bool { return e.void || e.unclaimed() })
	c.endLapse()
	c.env.Decided(decision.Decision{Step: "end", Peer: c.target.id, Outcome: "lapsed", Version: l.noted})
}
