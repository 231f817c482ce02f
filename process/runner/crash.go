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
}

// suspectCrash remembers a run that has lapsed at a target that does not answer. A run
// whose start was never answered may have been sent after the crash.
func (c *Core) suspectCrash(h *heldRun) {
	if h.observed && len(c.crashSuspects) < maxCrashSuspects {
		c.crashSuspects = append(c.crashSuspects, crashSuspect{h.run, h.entry})
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
		c.queueReport(now, c.sessions[suspect.entry], wire.RunReport{Run: suspect.run, TargetCrashed: true}, 0)
	}
	for _, h := range c.runs {
		h.targetCrashed = h.observed
	}
}
