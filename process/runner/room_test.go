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

// Guards against two entries that order a task for the same room, because one was invited to
// use it and the other is told that it is free.
func TestRoomOfAnInvitationIsNotToldToOthers(t *testing.T) {
	const other = entryID + 1
	h := newHarness(t)
	h.core.Connected(other)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	demand := h.targetCapacity()
	h.core.HandleMessage(other, &wire.Orders{Sequence: 1, ClockEcho: h.now.UnixMicro(), Waiting: &wire.Waiting{Smallest: demand}})
	h.sent = nil
	h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	invitations, reports := 0, 0
	for _, m := range h.sent {
		report, ok := m.(*wire.AgentReport)
		switch {
		case !ok:
		case report.Invitation:
			invitations++
			if report.Free != demand {
				t.Errorf("invited to %+v, want %+v", report.Free, demand)
			}
		case len(report.Runs) > 0:
			reports++
			if report.Free.MilliCPU != 0 {
				t.Errorf("the entry that was not invited is told of %+v", report.Free)
			}
		}
	}
	if invitations != 1 || reports != 1 {
		t.Errorf("%d invitations and %d reports of the end, want one each", invitations, reports)
	}
}
