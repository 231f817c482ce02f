package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// withheldEnd is the end of a run that is not reported yet, because a copy of its start may
// still be carried out by a later life of the target: the entry would start the task
// elsewhere. The run itself uses no capacity any more.
type withheldEnd struct {
	run    *heldRun
	report wire.RunReport
	// announced is set once the entry has been told how long the end is withheld.
	announced bool
}

// reportWhenFree reports the end of a run, or that it has not started, once its task may
// start elsewhere.
func (c *Core) reportWhenFree(now time.Time, h *heldRun, report wire.RunReport) {
	if report.End == batch.EndDone || !h.copies.mayArrive(now) {
		c.queueReport(now, c.sessions[h.entry], report, c.reportDelay(h, report.End))
		return
	}
	c.withheld[h.run] = &withheldEnd{run: h, report: report}
	c.counters.EndsWithheld++
	c.env.Record(decision.Decision{Step: "run_end", Job: h.run.Task.Job, Run: h.run, Peer: c.target.id, Outcome: "withheld",
		Reason: "a start without an answer may be carried out late",
		Inputs: []decision.Input{{Name: "withheld_ms", Value: h.copies.taskFreeAt().Sub(now).Milliseconds()}}})
	c.announceWithheld(now)
}

// withheldRuns returns the withheld runs in order.
func (c *Core) withheldRuns() []*withheldEnd {
	ends := make([]*withheldEnd, 0, len(c.withheld))
	for _, run := range slices.SortedFunc(maps.Keys(c.withheld), batch.Run.Compare) {
		ends = append(ends, c.withheld[run])
	}
	return ends
}

// announceWithheld tells the entries how long ends are withheld, once no answer to the start
// is awaited any more.
func (c *Core) announceWithheld(now time.Time) {
	for _, w := range c.withheldRuns() {
		s := c.sessions[w.run.entry]
		if w.announced || w.run.copies.pending || s == nil || !s.connected {
			continue
		}
		w.announced = true
		s.pendingReports = append(s.pendingReports, w.announcement(now))
		s.reportAt = now
	}
}

// announcement is the report that the end of a run is withheld.
func (w *withheldEnd) announcement(now time.Time) wire.RunReport {
	return wire.RunReport{Run: w.run.run, StartUnconfirmed: true, WithheldMS: w.run.copies.taskFreeAt().Sub(now).Milliseconds()}
}

// releaseWithheld reports the ends that no copy of a start can contradict any more.
func (c *Core) releaseWithheld(now time.Time) {
	if len(c.withheld) == 0 {
		return
	}
	for _, w := range c.withheldRuns() {
		if now.Before(w.run.copies.taskFreeAt()) || c.runsForeign(w.run.run.Task) {
			continue
		}
		c.release(now, w)
	}
	c.announceWithheld(now)
}

// releaseAllWithheld reports all withheld ends after another target has taken the place of
// the one that the starts were sent to: it refuses them.
func (c *Core) releaseAllWithheld(now time.Time) {
	for _, w := range c.withheldRuns() {
		c.release(now, w)
	}
}

func (c *Core) release(now time.Time, w *withheldEnd) {
	delete(c.withheld, w.run.run)
	c.queueReport(now, c.sessions[w.run.entry], w.report, 0)
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
	for _, w := range c.withheld {
		if w.run.entry == entry {
			return true
		}
	}
	return false
}
