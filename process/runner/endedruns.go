package runner

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// endedRun is a run that has ended, but of which a copy of the start may still be carried out
// by a later life of the target. The run itself uses no capacity any more.
type endedRun struct {
	run *heldRun
	// withheld is the report of the end, or nil if that has been reported: the task is done.
	// Upon any other end the entry would start the task elsewhere.
	withheld *wire.RunReport
	// announced is set once the entry has been told how long the end is withheld.
	announced bool
}

// reportWhenFree reports the end of a run, or that it has not started, once its task may
// start elsewhere.
func (c *Core) reportWhenFree(now time.Time, h *heldRun, report wire.RunReport) {
	mayArrive, done := h.copies.mayArrive(now), report.End == batch.EndDone
	if done || !mayArrive {
		c.queueReport(now, c.sessions[h.entry], report, c.reportDelay(h, report.End))
	}
	switch {
	case !mayArrive:
		return
	case done:
		c.endedRuns[h.run] = &endedRun{run: h}
		return
	}
	c.endedRuns[h.run] = &endedRun{run: h, withheld: &report}
	c.counters.EndsWithheld++
	c.env.Record(decision.Decision{Step: "run_end", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id, Outcome: "withheld",
		Reason: "a start without an answer may be carried out late",
		Inputs: []decision.Input{{Name: "withheld_ms", Value: h.copies.taskFreeAt().Sub(now).Milliseconds()}}})
	c.announceWithheld(now)
}

// endedRunsThat returns the ended runs that match, in order.
func (c *Core) endedRunsThat(match func(*endedRun) bool) []*endedRun {
	var ended []*endedRun
	for _, e := range c.endedRuns {
		if match(e) {
			ended = append(ended, e)
		}
	}
	slices.SortFunc(ended, func(a, b *endedRun) int { return batch.Run.Compare(a.run.run, b.run.run) })
	return ended
}

// withheldOf returns the ended runs of an entry whose ends are withheld.
func (c *Core) withheldOf(entry wire.Incarnation) []*endedRun {
	return c.endedRunsThat(func(e *endedRun) bool { return e.run.entry == entry && e.withheld != nil })
}

// announceWithheld tells the entries how long ends are withheld, once no answer to the start
// is awaited any more.
func (c *Core) announceWithheld(now time.Time) {
	due := c.endedRunsThat(func(e *endedRun) bool { return e.withheld != nil && !e.announced && !e.run.copies.pending })
	for _, e := range due {
		s := c.sessions[e.run.entry]
		if s == nil || !s.connected {
			continue
		}
		e.announced = true
		s.pendingReports = append(s.pendingReports, e.run.lateStartReport(now))
		s.reportAt = now
	}
}

// lateStartReport says how long the task of the run must not start elsewhere.
func (h *heldRun) lateStartReport(now time.Time) wire.RunReport {
	return wire.RunReport{Run: h.run, StartUnconfirmed: true, WithheldMS: h.copies.taskFreeAt().Sub(now).Milliseconds()}
}

// isGone reports whether the session has ended, or the entry is disconnected and has let it
// expire.
func (s *session) isGone(now time.Time) bool {
	return s == nil || s.ended || !s.connected && now.After(s.expiresAt)
}

// orphanedStarts returns reports of the runs of which a start may be carried out late, and
// whose entries are gone. Another entry may start their tasks meanwhile.
func (c *Core) orphanedStarts(now time.Time) []wire.RunReport {
	var reports []wire.RunReport
	add := func(h *heldRun) {
		if c.sessions[h.entry].isGone(now) && h.copies.mayArrive(now) {
			reports = append(reports, h.lateStartReport(now))
		}
	}
	for _, h := range batch.SortedByRun(c.runs) {
		add(h)
	}
	for _, e := range c.endedRunsThat(func(*endedRun) bool { return true }) {
		add(e.run)
	}
	return reports
}

// announceOrphans tells all connected entries of the late starts of an entry once it is gone.
func (c *Core) announceOrphans(now time.Time, gone *session) {
	if gone.orphansAnnounced || !gone.isGone(now) {
		return
	}
	gone.orphansAnnounced = true
	orphans := c.orphanedStarts(now)
	if len(orphans) == 0 {
		return
	}
	for _, s := range c.sessions {
		if s.connected && !s.ended {
			s.pendingReports = append(s.pendingReports, orphans...)
			s.reportAt = now
		}
	}
}

// releaseWithheld reports the ends that no copy of a start can contradict any more.
func (c *Core) releaseWithheld(now time.Time) {
	free := c.endedRunsThat(func(e *endedRun) bool {
		return !now.Before(e.run.copies.taskFreeAt()) && !c.runsForeign(e.run.run.Task)
	})
	for _, e := range free {
		c.release(now, e)
	}
	c.announceWithheld(now)
}

// releaseAllWithheld reports all withheld ends after another target has taken the place of
// the one that the starts were sent to: it refuses them.
func (c *Core) releaseAllWithheld(now time.Time) {
	for _, e := range c.endedRunsThat(func(*endedRun) bool { return true }) {
		c.release(now, e)
	}
}

// release forgets an ended run and reports its end, if it was withheld.
func (c *Core) release(now time.Time, e *endedRun) {
	delete(c.endedRuns, e.run.run)
	if e.withheld != nil {
		c.queueReport(now, c.sessions[e.run.entry], *e.withheld, 0)
	}
}

// runsForeign reports whether the target has listed a run of a task that this agent does not
// hold.
func (c *Core) runsForeign(task batch.Task) bool {
	for run := range c.foreignRuns {
		if run.Task == task {
			return true
		}
	}
	return false
}

// withholdsEndsOf reports whether ends of runs of an entry are withheld.
func (c *Core) withholdsEndsOf(entry wire.Incarnation) bool {
	for _, e := range c.endedRuns {
		if e.run.entry == entry && e.withheld != nil {
			return true
		}
	}
	return false
}
