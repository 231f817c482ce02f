package runner_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Guards against an end that counts although the entry has given its run up and started
// the task again: the run ended after the session of the entry (review/4).
func TestEndAfterTheSessionIsVoid(t *testing.T) {
	causes := map[string]func(h *harness){
		"while the run is being stopped": func(h *harness) {
			h.advance(wire.SessionTTL + answerDelay)
			h.core.Tick()
			if len(h.stops) == 0 {
				h.t.Fatal("the run is not stopped")
			}
		},
		"before the agent has noticed": func(h *harness) { h.advance(wire.SessionTTL + answerDelay) },
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			run := h.startDurableRun(0)
			h.core.Disconnected(entryID)
			cause(h)
			ended := h.endRows(run, batch.EndDone)
			h.completeHold(1, nil, ended)
			h.core.Connected(entryID)
			h.settleEnds([]batch.Run{run}, nil)
			if got := h.acknowledged(); got != 0 {
				t.Errorf("acknowledged up to %d before the lease has lapsed", got)
			}
			h.advance(2 * wire.RunLease)
			h.core.Tick()
			if got := h.acknowledged(); got != 1 {
				t.Errorf("acknowledged up to %d after the lease has lapsed, expected 1", got)
			}
		})
	}
}

// Guards against ends that are void because an earlier session of their entry has ended.
func TestEndInALaterSessionCounts(t *testing.T) {
	h := newHarness(t)
	before := h.startDurableRun(0)
	h.core.Disconnected(entryID)
	h.advance(wire.SessionTTL + answerDelay)
	h.core.Tick()
	h.core.HandleStopAnswer(h.stops[0], runner.Answer{Verdict: runner.VerdictDone, Clock: h.clock})
	h.completeHold(1, nil, h.endRows(before, batch.EndStopped))
	h.advance(100 * time.Millisecond)
	h.core.Connected(entryID)
	run := h.startDurableRun(1)
	h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	h.settleEnds([]batch.Run{run}, nil)
	if got := h.acknowledged(); got != 2 {
		t.Errorf("acknowledged up to %d, expected 2", got)
	}
}

// Guards against a task that starts again although its run is done: the entry lacked
// processor time, so that the agent could report the end only in a later session, but
// before the entry had given the run up (rule TWICE, deadly-kept).
func TestEndOfADurableRunIsReportedInALaterSession(t *testing.T) {
	h := newHarness(t)
	run := h.startDurableRun(0)
	h.core.Disconnected(entryID)
	h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	for range 16 {
		h.advance(100 * time.Millisecond)
		h.core.Tick()
	}
	h.sent = nil
	h.core.Connected(entryID)
	enroll := h.sent[0].(*wire.Enroll)
	if len(enroll.HeldRuns) != 1 || enroll.HeldRuns[0].Run != run || enroll.HeldRuns[0].End != batch.EndDone {
		t.Errorf("reported %+v, want the end of %s", enroll.HeldRuns, run)
	}
}

// Guards against entries that settle ends again and again after each reconnection.
func TestSettledEndIsNotReportedAgain(t *testing.T) {
	h := newHarness(t)
	recorded, void, open := h.startDurableRun(0), h.startDurableRun(1), h.startDurableRun(2)
	for _, run := range []batch.Run{recorded, void, open} {
		h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	}
	h.settleEnds([]batch.Run{recorded}, []batch.Run{void})
	h.core.Disconnected(entryID)
	h.sent = nil
	h.core.Connected(entryID)
	for _, report := range h.sent[0].(*wire.Enroll).HeldRuns {
		if report.Run != open {
			t.Errorf("the settled end of %s is reported again", report.Run)
		}
	}
}
