package runner_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// maxStartLateness is longer than a start without an answer can be carried out late, and than
// the run that it begins then.
const maxStartLateness = wire.UnconfirmedRunsLostAfter

// passLateStarts lets so much time pass that no start is on its way any more. The target
// confirms all stops, refuses all starts and runs nothing.
func (h *harness) passLateStarts(born int64) {
	for end := h.now.Add(maxStartLateness); h.now.Before(end); {
		h.step(born, runner.VerdictUnhealthy)
	}
}

// step lets a short time pass in which the target answers starts with a verdict.
func (h *harness) step(born int64, verdict runner.Verdict) {
	starts, stops := len(h.starts), len(h.stops)
	h.advance(50 * time.Millisecond)
	h.core.HandleMessage(entryID, &wire.Orders{ClockEcho: h.now.UnixMicro()})
	h.core.Tick()
	for _, call := range h.starts[starts:] {
		h.answerStart(call, verdict)
	}
	for _, call := range h.stops[stops:] {
		h.core.HandleStopAnswer(call, runner.Answer{Verdict: runner.VerdictDone, Clock: h.clock})
	}
	h.completeHold(born, nil, nil)
}

// Guards against a task that runs twice at the same time: the target refuses the retry of a
// start of which a copy is on its way, and its next life carries that copy out after the
// entry has started the task elsewhere (review/12). The start is repeated at this target
// until no copy is on its way; if the target would always refuse it, it is withdrawn at once.
func TestStartWithACopyOnItsWayStaysAtItsTarget(t *testing.T) {
	for _, verdict := range []runner.Verdict{runner.VerdictNoRoom, runner.VerdictUnhealthy, runner.VerdictLate, runner.VerdictUnanswered, runner.VerdictSuperseded, runner.VerdictInvalid} {
		t.Run(string(verdict), func(t *testing.T) {
			h := newHarness(t)
			run := h.sendStartOrder(0)
			h.answerLastStart(runner.VerdictUnanswered)
			h.answerLastStart(verdict)
			if verdict == runner.VerdictUnanswered {
				h.answerLastStart(verdict)
			}
			lastUnanswered := h.now
			h.completeHold(1, nil, nil)
			final := verdict == runner.VerdictSuperseded || verdict == runner.VerdictInvalid
			if withdrawn := len(h.stops) == 1 && h.stops[0].Run == run; withdrawn != final {
				t.Errorf("stop calls %+v, want the start withdrawn: %t", h.stops, final)
			}
			sent := len(h.starts)
			for h.now.Sub(lastUnanswered) < wire.MaxCallDelay {
				h.step(1, runner.VerdictUnhealthy)
				if report, _ := h.lastReportOf(run); report.End != "" || report.RefusalReason != "" {
					t.Fatalf("the entry received %+v while a copy of the start is on its way", report)
				}
			}
			if repeated := len(h.starts) > sent; repeated == final {
				t.Errorf("%d starts, %d of them at once: repeated %t, want %t", len(h.starts), sent, repeated, !final)
			}
			h.passLateStarts(1)
			if report, _ := h.lastReportOf(run); report.RefusalReason != wire.RefusedUnanswered {
				t.Errorf("reported %+v, expected that the run never started", report)
			}
		})
	}
}

// Guards against a start that is repeated for an entry whose session has ended while the
// process was suspended.
func TestNoStartIsRepeatedAfterTheSession(t *testing.T) {
	h := newHarness(t)
	h.sendStartOrder(0)
	h.advance(2 * wire.SessionTTL)
	h.answerLastStart(runner.VerdictUnanswered)
	if len(h.starts) != 1 || len(h.stops) != 1 {
		t.Errorf("%d starts and %d stops, want one of each", len(h.starts), len(h.stops))
	}
}

// Guards against callers who wait for a task that can't start before they leave, because
// its entry is told only at the end of that time.
func TestEntryIsToldHowLongAnEndIsWithheld(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictUnanswered)
	h.answerLastStart(runner.VerdictDone)
	h.completeHold(1, nil, h.endRows(run, batch.EndFailed))
	report, _ := h.lastReportOf(run)
	if at := time.Duration(report.WithheldMS) * time.Millisecond; report.End != "" || at < wire.MaxCallDelay || at > maxStartLateness {
		t.Errorf("reported %+v, want that the end is withheld", report)
	}
	h.core.Connected(entryID)
	if held := h.sent[len(h.sent)-1].(*wire.Enroll).HeldRuns; len(held) != 1 || held[0].WithheldMS == 0 {
		t.Errorf("enrolled with %+v, want the run whose end is withheld", held)
	}
	h.core.HandleTargetReport(runner.TargetReport{Target: "target-2", Service: "card", StartTime: 9, Sequence: 1, Capacity: h.targetCapacity()})
	call, _ := h.core.NextHold(false)
	h.core.HoldFailed(call, runner.VerdictOtherTarget)
	if report, _ := h.lastReportOf(run); report.End != batch.EndFailed {
		t.Errorf("reported %+v once another target refuses the start, want the end %s", report, batch.EndFailed)
	}
}

// Guards against a start after an end that counts: the next life of the target carries out a
// copy of a start whose run has ended and was recorded before (review/12).
func TestEndIsNotAcknowledgedWhileACopyOfItsStartIsOnItsWay(t *testing.T) {
	h := newHarness(t)
	run := h.startDurableRun(0, runner.VerdictUnanswered)
	h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	if report, _ := h.lastReportOf(run); report.End != batch.EndDone || !report.StartUnconfirmed {
		t.Fatalf("reported %+v, want the end at once, and that a start has no answer", report)
	}
	h.settleEnds([]batch.Run{run}, nil)
	for begin := h.now; h.now.Sub(begin) < wire.MaxCallDelay; {
		if got := h.acknowledged(); got != 0 {
			t.Fatalf("acknowledged up to %d after %v", got, h.now.Sub(begin))
		}
		h.step(1, runner.VerdictDone)
	}
	h.passLateStarts(1)
	if got := h.acknowledged(); got != 1 {
		t.Errorf("acknowledged up to %d once no copy is on its way, want 1", got)
	}
}

// Guards against ends that are missed, since the target lists a limited number of them, while
// an earlier one is not acknowledged.
func TestManyEndsAreNotHeldBackByOne(t *testing.T) {
	h := newHarness(t)
	run := h.startDurableRun(0, runner.VerdictUnanswered)
	ended := h.endRows(run, batch.EndDone)
	h.completeHold(1, nil, ended)
	h.settleEnds([]batch.Run{run}, nil)
	for range 450 {
		other := batch.Run{Task: batch.Task{Job: "fedcba9876543210", Index: int(h.lastEnd)}, Number: 1}
		ended = append(ended, h.endRows(other, batch.EndStopped)...)
	}
	h.completeHold(1, nil, ended)
	h.advanceWithAnswers(4*wire.RunLease, nil, nil)
	if got := h.acknowledged(); got != h.lastEnd {
		t.Errorf("acknowledged up to %d of %d", got, h.lastEnd)
	}
}

// Guards against a task that another entry starts elsewhere, after its entry was killed, while
// a copy of its start is on its way: also if the run has ended meanwhile.
func TestOtherEntriesAreToldOfLateStartsOnceAnEntryIsGone(t *testing.T) {
	for _, ended := range []bool{false, true} {
		h := newHarness(t)
		run := h.startDurableRun(0, runner.VerdictUnanswered)
		if ended {
			h.completeHold(1, nil, h.endRows(run, batch.EndDone))
		}
		h.core.Connected(entryID + 1)
		h.core.Disconnected(entryID)
		h.sent = nil
		h.advance(wire.SessionTTL + answerDelay)
		h.core.Tick()
		if report, _ := h.lastReportOf(run); report.WithheldMS < wire.MaxCallDelay.Milliseconds() {
			t.Errorf("ended %t: reported %+v to the other entry, want how long the start may arrive", ended, report)
		}
		h.core.Connected(entryID + 2)
		if held := h.sent[len(h.sent)-1].(*wire.Enroll).HeldRuns; len(held) != 1 || held[0].WithheldMS == 0 {
			t.Errorf("ended %t: enrolled with %+v, want the late start", ended, held)
		}
	}
}

// Guards against callers who are given up at once for a start that the target that has taken
// the place of theirs refuses.
func TestRunsAtAReplacedTargetAreNotWithheld(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictUnanswered)
	h.sent = nil
	h.answerLastStart(runner.VerdictOtherTarget)
	for _, m := range h.sent {
		for _, report := range m.(*wire.AgentReport).Runs {
			if report.Run == run && report.WithheldMS > 0 {
				t.Errorf("reported %+v", report)
			}
		}
	}
	if report, _ := h.lastReportOf(run); report.End != batch.EndLost {
		t.Errorf("reported %+v, want the end %s", report, batch.EndLost)
	}
}
