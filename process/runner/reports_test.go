package runner_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// startThree starts three runs of one job.
func (h *harness) startThree() []batch.Run {
	var runs []batch.Run
	for index := range 3 {
		runs = append(runs, h.sendStartOrder(index))
		h.answerLastStart(runner.VerdictDone)
	}
	h.sent = nil
	return runs
}

// reportsWithRuns counts the messages to the entry that report on runs.
func (h *harness) reportsWithRuns() int {
	count := 0
	for _, m := range h.sent {
		if report, ok := m.(*wire.AgentReport); ok && len(report.Runs) > 0 {
			count++
		}
	}
	return count
}

// Guards against a message for each run of a job, which an entry with little processor
// time can't handle.
func TestEndsOfOneJobShareAMessage(t *testing.T) {
	h := newHarness(t)
	runs := h.startThree()
	for i, run := range runs {
		h.completeHold(1, runs[i+1:], h.endRows(run, batch.EndDone))
	}
	if got := h.reportsWithRuns(); got != 1 {
		t.Errorf("%d messages report the ends of three runs, want 1", got)
	}
	for _, run := range runs {
		if report, found := h.lastReportOf(run); !found || report.End != batch.EndDone {
			t.Errorf("report on %s: %+v, found %v", run, report, found)
		}
	}
}

// Guards against an end that is not reported while another run of its job takes long,
// and against delayed reports of failed runs, whose tasks have to start elsewhere.
func TestReportsOfEndsWaitOnlyForAMoment(t *testing.T) {
	h := newHarness(t)
	runs := h.startThree()
	h.completeHold(1, runs[1:], h.endRows(runs[0], batch.EndDone))
	for range 3 {
		h.advance(15 * time.Millisecond)
		h.core.Tick()
	}
	if _, found := h.lastReportOf(runs[0]); !found {
		t.Error("the end is not reported after 45 ms")
	}
	h.completeHold(1, runs[2:], h.endRows(runs[1], batch.EndFailed))
	if _, found := h.lastReportOf(runs[1]); !found {
		t.Error("the failure is not reported at once")
	}
}

// Guards against ends and crashes that count for nothing, because the agent connects while
// it has no target and its entry takes it for one of another service.
func TestAgentWithoutTargetNamesItsService(t *testing.T) {
	h := newHarness(t)
	run := h.startDurableRun(0)
	h.answerLastStart(runner.VerdictDone)
	h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	call, _ := h.core.NextHold(false)
	h.core.HoldFailed(call, runner.VerdictOtherTarget)
	h.core.Disconnected(entryID)
	h.sent = nil
	h.core.Connected(entryID)
	enroll := h.sent[0].(*wire.Enroll)
	if enroll.Target.Target != "" || enroll.Target.Service != "card" {
		t.Errorf("enrolled with the target %q of the service %q, want no target of the service card", enroll.Target.Target, enroll.Target.Service)
	}
}
