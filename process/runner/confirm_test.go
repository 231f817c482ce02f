package runner_test

import (
	"slices"
	"testing"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// nextReport makes the agent renew its session and returns the report.
func (h *harness) nextReport() *wire.AgentReport {
	h.advance(2 * wire.SessionRenewInterval)
	h.core.Tick()
	return h.sent[len(h.sent)-1].(*wire.AgentReport)
}

// Guards against a start under way that an entry takes to be answered (review/8).
func TestReportConfirmsAnsweredStartsOnly(t *testing.T) {
	cases := []struct {
		name     string
		verdicts []runner.Verdict
		// confirmed and unanswered are of the first order; another order follows it.
		confirmed, unanswered bool
	}{
		{"no answer yet", nil, false, false},
		{"answered", []runner.Verdict{runner.VerdictDone}, true, false},
		{"answered after a retry", []runner.Verdict{runner.VerdictUnanswered, runner.VerdictDone}, true, true},
		{"no answer to the retry yet", []runner.Verdict{runner.VerdictUnanswered}, true, true},
		{"never received", []runner.Verdict{runner.VerdictNotListening, runner.VerdictNotListening, runner.VerdictNotListening}, true, false},
	}
	for _, step := range cases {
		h := newHarness(t)
		run := h.sendStartOrder(0)
		for _, verdict := range step.verdicts {
			h.answerLastStart(verdict)
		}
		report := h.nextReport()
		if confirmed := report.ConfirmedSequence >= h.sequence; confirmed != step.confirmed {
			t.Errorf("%s: confirmed up to %d, want the order %d confirmed: %t", step.name, report.ConfirmedSequence, h.sequence, step.confirmed)
		}
		if unanswered := slices.Contains(report.UnansweredStarts, run); unanswered != step.unanswered {
			t.Errorf("%s: unanswered starts %v, want the run among them: %t", step.name, report.UnansweredStarts, step.unanswered)
		}
		h.core.Connected(entryID)
		held := h.sent[len(h.sent)-1].(*wire.Enroll).HeldRuns
		if want := step.unanswered || !step.confirmed; len(held) != 1 || held[0].StartUnconfirmed != want {
			t.Errorf("%s: enrolled with %+v, want one unconfirmed run: %t", step.name, held, want)
		}
	}
}

// Guards against a run that is taken to have lapsed although a restart of its target may
// carry its start out (the cause of review/8).
func TestUnansweredStartDoesNotLapseWithTheLease(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictUnanswered)
	h.silenceFor(wire.MaxCallDelay)
	if report, found := h.lastReportOf(run); found {
		t.Errorf("reported %+v while the start may be carried out", report)
	}
	h.silenceFor(2 * wire.MaxTargetLease)
	if report, _ := h.lastReportOf(run); report.End != batch.EndLapsed {
		t.Errorf("reported %+v, want the end %s", report, batch.EndLapsed)
	}
}

// Guards against a task that starts elsewhere while an earlier run of it goes on, which a
// restarted target has begun late (TestLateStartOfAKilledAgentRunsAlone).
func TestLostRunIsHeldWhileAnEarlierRunOfItsTaskMayGoOn(t *testing.T) {
	h := newHarness(t)
	run := h.sendNumberedStartOrder(targetID, 0, 2)
	h.answerLastStart(runner.VerdictDone)
	earlier := batch.Run{Task: run.Task, Number: 1}
	h.restartTarget(2)
	stop := h.stops[len(h.stops)-1]
	h.core.HandleStopAnswer(stop, runner.Answer{Verdict: runner.VerdictDone, Clock: h.clock})
	h.completeHold(2, []batch.Run{earlier}, nil)
	if report, found := h.lastReportOf(run); found {
		t.Fatalf("reported %+v while run %d goes on", report, earlier.Number)
	}
	h.completeHold(2, nil, nil)
	if report, _ := h.lastReportOf(run); report.End != batch.EndLost {
		t.Errorf("reported %+v, want the end %s", report, batch.EndLost)
	}
}
