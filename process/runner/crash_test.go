package runner_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
)

// crashReports returns the runs under which the agent has reported a crash.
func (h *harness) crashReports() map[int]bool {
	reported := make(map[int]bool)
	for _, m := range h.sent {
		report, ok := m.(*wire.AgentReport)
		if !ok {
			continue
		}
		for _, r := range report.Runs {
			if r.TargetCrashed {
				reported[r.Run.Task.Index] = true
			}
		}
	}
	return reported
}

// silence lets the target leave all calls unanswered until its runs have lapsed, also those
// whose start has no answer.
func (h *harness) silence() { h.silenceFor(wire.UnconfirmedRunsLostAfter + time.Second) }

// silenceFor lets the target leave all calls unanswered for a time. The entry goes on
// renewing its session.
func (h *harness) silenceFor(d time.Duration) {
	const step = 15 * time.Millisecond
	for range d / step {
		h.advance(step)
		h.core.HandleMessage(entryID, &wire.Orders{ClockEcho: h.now.UnixMicro()})
		h.core.Tick()
	}
}

// Guards against a task that is given up for a crash that came before its start, or that
// is not counted.
func TestCrashCountsForConfirmedRunsOnly(t *testing.T) {
	h := newHarness(t)
	h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.sendStartOrder(1)
	h.silence()
	h.reportTarget(2, 1)
	h.completeHold(2, nil, nil)
	if got := h.crashReports(); !got[0] || got[1] {
		t.Errorf("crashes reported for the runs %v, want for run 0 only", got)
	}
}

// Guards against a task that crashes target after target without being suspected, because
// none of them answers its start, and against suspecting one that never reached a target.
func TestCrashCountsForStartsThatMayHaveArrived(t *testing.T) {
	cases := []struct {
		name     string
		verdicts []runner.Verdict
		reported bool
	}{
		{"no answer", []runner.Verdict{runner.VerdictUnanswered, runner.VerdictNotListening, runner.VerdictNotListening}, true},
		{"never received", []runner.Verdict{runner.VerdictNotListening, runner.VerdictNotListening, runner.VerdictNotListening}, false},
	}
	for _, step := range cases {
		for _, early := range []bool{false, true} {
			h := newHarness(t)
			run := h.sendStartOrder(0)
			for _, verdict := range step.verdicts {
				h.answerLastStart(verdict)
			}
			if !early {
				h.silence()
			}
			h.reportTarget(2, 1)
			h.completeHold(2, nil, nil)
			h.silence()
			if got := h.crashReports()[run.Task.Index]; got != step.reported {
				t.Errorf("%s, before the runs have lapsed %t: crash reported %t, want %t", step.name, early, got, step.reported)
			}
		}
	}
}

// Guards against crashes of a target that only did not answer for a while.
func TestSilentTargetHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.silence()
	h.completeHold(1, nil, nil)
	h.reportTarget(2, 1)
	h.completeHold(2, nil, nil)
	if got := h.crashReports(); len(got) != 0 {
		t.Errorf("crashes reported for the runs %v, want for none", got)
	}
}

// Guards against runs that are sent for 0.4 s to a target of which it is known that it
// is not there.
func TestTargetThatIsNotListeningIsClosedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictNotListening)
	refused := h.sendStartOrder(1)
	if report, _ := h.lastReportOf(refused); report.RefusalReason != wire.RefusedClosed {
		t.Errorf("refused for %q, want %q", report.RefusalReason, wire.RefusedClosed)
	}
	h.completeHold(1, nil, nil)
	accepted := h.sendStartOrder(2)
	if report, found := h.lastReportOf(accepted); found {
		t.Errorf("report %+v on a run ordered after the target has answered, want none", report)
	}
}

// Guards against a crash that only the entry that ordered the run is told of, though
// another one may own the job by then.
func TestCrashUnderADurableRunIsReportedToAllEntries(t *testing.T) {
	const otherEntry = entryID + 1
	h := newHarness(t)
	h.core.Connected(otherEntry)
	run, other := h.startDurableRun(0), h.sendStartOrder(1)
	h.answerLastStart(runner.VerdictDone)
	h.silence()
	h.core.Disconnected(entryID)
	h.sent = nil
	h.reportTarget(2, 1)
	h.completeHold(2, nil, nil)
	if got := h.crashReports(); !got[run.Task.Index] || got[other.Task.Index] {
		t.Errorf("crashes reported to the other entry for the runs %v, want for the durable run only", got)
	}
}

// Guards against a crash that nobody counts, because the entry that ordered the run has
// failed when the agent learns of it.
func TestCrashUnderADurableRunThatHasNotLapsedIsReportedToAllEntries(t *testing.T) {
	const otherEntry = entryID + 1
	h := newHarness(t)
	h.core.Connected(otherEntry)
	run, other := h.startDurableRun(0), h.sendStartOrder(1)
	h.answerLastStart(runner.VerdictDone)
	h.core.Disconnected(entryID)
	h.sent = nil
	h.reportTarget(2, 1)
	h.completeHold(2, nil, nil)
	h.silence()
	if got := h.crashReports(); !got[run.Task.Index] || got[other.Task.Index] {
		t.Errorf("crashes reported to the other entry for the runs %v, want for the durable run only", got)
	}
}

// Guards against a crash that an entry never learns of, because it was not connected when
// the agent reported it and takes the job over later.
func TestCrashIsReportedToAnEntryThatConnectsLater(t *testing.T) {
	cases := map[time.Duration]bool{0: true, 30 * time.Second: true, 2 * time.Minute: false}
	for delay, reported := range cases {
		const laterEntry = entryID + 1
		h := newHarness(t)
		run, other := h.startDurableRun(0), h.sendStartOrder(1)
		h.answerLastStart(runner.VerdictDone)
		h.core.Disconnected(entryID)
		h.reportTarget(2, 1)
		h.completeHold(2, nil, nil)
		h.silence()
		h.advance(delay)
		h.sent = nil
		h.core.Connected(laterEntry)
		h.core.Tick()
		if got := h.crashReports(); got[run.Task.Index] != reported || got[other.Task.Index] {
			t.Errorf("crashes reported %v after the crash for the runs %v, want for the durable run %t", delay, got, reported)
		}
	}
}

// Guards against a list of crashes that grows without a bound.
func TestCrashesKeptForLaterEntriesAreBounded(t *testing.T) {
	const laterEntry, crashes, limit = entryID + 1, 200, 128
	h := newHarness(t)
	for n := range crashes {
		h.startDurableRun(n)
		h.answerLastStart(runner.VerdictDone)
		h.reportTarget(int64(2+n), 1)
		h.completeHold(int64(2+n), nil, nil)
		h.advance(time.Millisecond)
		h.completeHold(int64(2+n), nil, nil)
	}
	h.sent = nil
	h.core.Connected(laterEntry)
	h.core.Tick()
	if got := h.crashReports(); len(got) != limit || !got[crashes-1] {
		t.Errorf("%d crashes reported, the last one %t, want the last %d", len(got), got[crashes-1], limit)
	}
}
