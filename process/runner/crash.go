package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// maxCrashSuspects bounds the runs that are remembered while a target does not answer.
const maxCrashSuspects = 256

// crashSuspect is a run that lapsed while the target did not answer.
type crashSuspect struct {
	run   batch.Run
	entry wire.Incarnation
	// startConfirmed is false if the start of the run may have reached the target only
	// after the crash.
	startConfirmed bool
}

// mayHaveCrashedTarget reports whether the target may have received the run.
func (h *heldRun) mayHaveCrashedTarget() bool { return h.observed || h.startMayHaveArrived }

// suspectCrash remembers a run that has lapsed at a target that does not answer.
func (c *Core) suspectCrash(h *heldRun) {
	if h.mayHaveCrashedTarget() && len(c.crashSuspects) < maxCrashSuspects {
		c.crashSuspects = append(c.crashSuspects, crashSuspect{h.run, h.entry, h.observed})
	}
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
		c.queueReport(now, c.sessions[suspect.entry], wire.RunReport{Run: suspect.run, TargetCrashed: true, StartUnconfirmed: !suspect.startConfirmed}, 0)
	}
	for _, h := range c.runs {
		h.targetCrashed = h.mayHaveCrashedTarget()
	}
}
