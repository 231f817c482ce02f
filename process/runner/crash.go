package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// maxCrashSuspects bounds the runs that are remembered while a target does not answer.
	maxCrashSuspects = 256
	// maxCrashReports bounds the crashes that are reported to entries which connect later,
	// crashReportTTL the time for which they are. Entries remember a crash that concerns
	// no job of theirs for as long.
	maxCrashReports = 128
	crashReportTTL  = time.Minute
)

// crashSuspect is a run that lapsed while the target did not answer.
type crashSuspect struct {
	run   batch.Run
	entry wire.Incarnation
	// durable is set if another entry may own the job of the run meanwhile.
	durable bool
	// startConfirmed is false if the start of the run may have reached the target only
	// after the crash.
	startConfirmed bool
}

// mayHaveCrashedTarget reports whether the target may have received the run.
func (h *heldRun) mayHaveCrashedTarget() bool { return h.observed || h.copies.unanswered() }

// suspectCrash remembers a run that has lapsed at a target that does not answer.
func (c *Core) suspectCrash(h *heldRun) {
	if h.mayHaveCrashedTarget() && len(c.crashSuspects) < maxCrashSuspects {
		c.crashSuspects = append(c.crashSuspects, crashSuspect{h.run, h.entry, h.durable, h.observed})
	}
}

// queueReportToOthers queues the report of a crash under a durable run for all connected
// entries but one, and keeps it for those that connect later: any of them may own the job
// by then.
func (c *Core) queueReportToOthers(now time.Time, entry wire.Incarnation, report wire.RunReport) {
	for _, s := range c.sessions {
		if s.connected && s.entry != entry {
			c.queueReport(now, s, report, 0)
		}
	}
	if len(c.crashReports) == maxCrashReports {
		c.crashReports = c.crashReports[1:]
	}
	c.crashReports = append(c.crashReports, recentReport{report, now})
}

// keptCrashReports returns the crashes that an entry that connects now may not know.
func (c *Core) keptCrashReports(now time.Time) []wire.RunReport {
	var reports []wire.RunReport
	for _, kept := range c.crashReports {
		if now.Sub(kept.queuedAt) <= crashReportTTL {
			reports = append(reports, kept.report)
		}
	}
	return reports
}

// reportCrash tells the entries under which of their runs the target has crashed. A
// target that was draining is expected to leave.
func (c *Core) reportCrash(now time.Time) {
	suspects := c.crashSuspects
	c.crashSuspects = nil
	if c.target.id == "" || c.target.draining {
		return
	}
	c.env.Record(decision.Decision{Step: "target", Peer: c.target.id, Outcome: "crashed",
		Inputs: []decision.Input{{Name: "runs", Value: int64(len(c.runs))}, {Name: "runs_lapsed", Value: int64(len(suspects))}}})
	for _, suspect := range suspects {
		report := wire.RunReport{Run: suspect.run, TargetCrashed: true, StartUnconfirmed: !suspect.startConfirmed}
		c.queueReport(now, c.sessions[suspect.entry], report, 0)
		if suspect.durable {
			c.queueReportToOthers(now, suspect.entry, report)
		}
	}
	for _, h := range c.runs {
		h.targetCrashed = h.mayHaveCrashedTarget()
	}
}
