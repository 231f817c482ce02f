package runner_test

import (
	"testing"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Guards against a target that is filled beyond its room after that has shrunk (rule
// LIMIT): runs that are being stopped count until their end.
func TestShrunkRoomIsNotExceeded(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.sendStartOrder(1)
	h.answerLastStart(runner.VerdictDone)
	capacity := h.targetCapacity()
	capacity.MilliCPU = 2000
	h.core.HandleTargetReport(runner.TargetReport{Target: targetID, Service: "card", StartTime: 1, Sequence: 9, Capacity: capacity})
	h.core.HandleMessage(entryID, &wire.Orders{Sequence: 90, ClockEcho: h.now.UnixMicro(), Stops: []batch.Run{run}})
	starts := len(h.starts)
	refused := h.sendStartOrder(2)
	if len(h.starts) != starts {
		t.Error("a run has started in room that has shrunk, while a stopped run still uses it")
	}
	if report, _ := h.lastReportOf(refused); report.RefusalReason != wire.RefusedFull {
		t.Errorf("refused for %q, want %q", report.RefusalReason, wire.RefusedFull)
	}
}
