package runner_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Guards against runs that count as lost, and are started again elsewhere, because of a
// report of another target while theirs is alive: a delayed one, or of another writer.
func TestReportOfAnotherTargetEndsNoRuns(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.completeHold(1, []batch.Run{run}, nil)
	h.core.HandleTargetReport(runner.TargetReport{Target: "other", Service: "other", StartTime: 2, Sequence: 1, Capacity: h.targetCapacity()})
	if report, found := h.lastReportOf(run); found {
		t.Fatalf("reported %+v while the target is alive", report)
	}
	h.advanceWithAnswers(100*time.Millisecond, []batch.Run{run}, nil)
	h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	if report, _ := h.lastReportOf(run); report.End != batch.EndDone {
		t.Errorf("reported %+v, expected %s", report, batch.EndDone)
	}
	next := h.sendStartOrder(1)
	if report, found := h.lastReportOf(next); found {
		t.Errorf("reported %+v", report)
	}
	if h.lastStart().Run != next || h.lastStart().Target != targetID {
		t.Errorf("last start %+v, expected one of %v at %s", h.lastStart(), next, targetID)
	}
}

// Guards against a target that stays unused because its predecessor has to answer first.
func TestSuccessorIsAdoptedOnceItAnswersAtTheAddress(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	report := runner.TargetReport{Target: "successor", Service: "card", StartTime: 3, Sequence: 1, Capacity: h.targetCapacity()}
	h.core.HandleTargetReport(report)
	h.core.HandleTargetReport(runner.TargetReport{Target: "earlier", Service: "card", StartTime: 2, Sequence: 9, Capacity: h.targetCapacity()})
	h.advance(answerDelay)
	call, _ := h.core.NextHold(false)
	h.core.HoldFailed(call, runner.VerdictOtherTarget)
	if report, _ := h.lastReportOf(run); report.End != batch.EndLost {
		t.Errorf("reported %+v, expected that the run is lost with its target", report)
	}
	h.clock = 10
	h.completeHold(3, nil, nil)
	h.sendStartOrderTo("successor", 1)
	if h.lastStart().Target != "successor" {
		t.Errorf("last start at %s, expected the successor", h.lastStart().Target)
	}
}

// Guards against leases far beyond their time at a target, because an answer of its
// predecessor, whose clock was ahead, arrived after it was adopted.
func TestLateAnswerOfThePredecessorSetsNoClock(t *testing.T) {
	h := newHarness(t)
	h.clock = 1_000_000
	h.completeHold(1, nil, nil)
	h.sendStartOrder(0)
	late, lateStop := h.lastStart(), runner.StopCall{Target: targetID, Run: h.lastStart().Run}
	h.core.HandleTargetReport(runner.TargetReport{Target: "successor", Service: "card", StartTime: 3, Sequence: 1, Capacity: h.targetCapacity()})
	call, _ := h.core.NextHold(false)
	h.core.HoldFailed(call, runner.VerdictOtherTarget)
	h.clock = 10
	h.completeHold(3, nil, nil)
	h.core.HandleStartAnswer(late, runner.Answer{Verdict: runner.VerdictDone, Clock: 1_000_050})
	h.core.HandleStopAnswer(lateStop, runner.Answer{Verdict: runner.VerdictDone, Clock: 1_000_060})
	h.sendStartOrderTo("successor", 1)
	if got := h.lastStart().LeaseUntil; got > 2000 {
		t.Errorf("lease until %d on the clock of a target that has just started", got)
	}
}

// Guards against runs on a target that only the list of machines has described since the
// agent started: its room may have shrunk (rule LIMIT), and the list does not show that it
// is leaving or has deregistered (rule DRAIN).
func TestTargetFoundInAListGetsNoRunsBeforeItsOwnReport(t *testing.T) {
	h := &harness{t: t, now: time.UnixMilli(1_000_000), clock: 1000}
	h.core = runner.New(h, runner.Options{Agent: 1, Node: "agent-1", Zone: "a", Fence: 10})
	listed := runner.TargetReport{Target: targetID, Service: "card", Capacity: h.targetCapacity()}
	h.core.HandleTargetFound(listed)
	h.completeHold(1, nil, nil)
	h.core.Connected(entryID)
	early := h.sendStartOrder(0)
	if report, _ := h.lastReportOf(early); len(h.starts) != 0 || report.RefusalReason != wire.RefusedClosed {
		t.Errorf("%d starts and refusal %q before the target's own report, want none and %q", len(h.starts), report.RefusalReason, wire.RefusedClosed)
	}
	h.reportTarget(1, 4)
	run := h.sendStartOrder(1)
	if len(h.starts) != 1 || h.lastStart().Run != run {
		t.Errorf("starts %+v after the target's own report, want that of %v", h.starts, run)
	}
}

// Guards against an agent that has just started and refuses runs until the next report of
// its target, up to a heartbeat later, although the target refuses what does not fit; and
// against one that goes on so after the configuration says otherwise.
func TestListedTargetThatEnforcesItsCapacityGetsRuns(t *testing.T) {
	h := &harness{t: t, now: time.UnixMilli(1_000_000), clock: 1000}
	h.core = runner.New(h, runner.Options{Agent: 1, Node: "agent-1", Zone: "a", Fence: 10})
	h.core.HandleTargetFound(runner.TargetReport{Target: targetID, Service: "card", Capacity: h.targetCapacity()})
	h.completeHold(1, nil, nil)
	h.core.Connected(entryID)
	tell := func(enforced bool) {
		h.sequence++
		h.core.HandleMessage(entryID, &wire.Orders{Sequence: h.sequence, ClockEcho: h.now.UnixMicro(), CapacityEnforced: enforced})
	}
	tell(true)
	if report := h.sent[len(h.sent)-1].(*wire.AgentReport); report.Target == nil || report.Target.Closed != "" {
		t.Errorf("the entry was not told that the target is open: %+v", report)
	}
	h.sequence++
	start := wire.StartOrder{Job: "0123456789abcdef", Target: targetID, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64},
		Tasks: []wire.StartTask{{RunNumber: 1}}}
	h.core.HandleMessage(entryID, &wire.Orders{Sequence: h.sequence, ClockEcho: h.now.UnixMicro(), CapacityEnforced: true, Starts: []wire.StartOrder{start}})
	if len(h.starts) != 1 {
		t.Fatalf("%d starts before the target's own report, want 1", len(h.starts))
	}
	tell(false)
	h.sendStartOrder(1)
	if len(h.starts) != 1 {
		t.Errorf("%d starts after the configuration has changed, want 1", len(h.starts))
	}
}

// Guards against a target that gets no runs after it has started again under its identity,
// although its present life has reported itself.
func TestRestartedTargetNeedsNoFurtherReport(t *testing.T) {
	h := newHarness(t)
	h.restartTarget(2)
	h.sendStartOrder(0)
	if len(h.starts) != 1 {
		t.Errorf("%d starts at a target that has started again, want 1", len(h.starts))
	}
}

// Guards against a target that is lost to its service, or whose own reports are ignored as
// outdated, because of one report of another writer under its identity.
func TestReportThatContradictsTheTargetIsIgnored(t *testing.T) {
	cases := map[string]runner.TargetReport{
		"another service":               {Service: "other", Sequence: 2},
		"a far sequence number":         {Service: "card", Sequence: 1 << 60},
		"both, as another writer sends": {Service: "other", Sequence: 1 << 60},
	}
	for name, foreign := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			foreign.Target, foreign.StartTime, foreign.Capacity = targetID, 1, h.targetCapacity()
			h.core.HandleTargetReport(foreign)
			if got := h.core.Dump().Service; got != "card" {
				t.Errorf("service %q after the report of another writer, want %q", got, "card")
			}
			h.core.HandleTargetReport(runner.TargetReport{Target: targetID, Service: "card", StartTime: 1, Sequence: 3, Capacity: h.targetCapacity(), Draining: true})
			h.sendStartOrder(0)
			if len(h.starts) != 0 {
				t.Error("a run started although the target had reported that it is draining")
			}
		})
	}
}

// Guards against reports of another writer that agree with each other: runs were given up while
// they went on (review/6, TWICE), and a target got no runs any more (review/9, LOST).
func TestReportWithoutTheStartTimeIsIgnored(t *testing.T) {
	cases := map[string]struct {
		foreign runner.TargetReport
		// restart lets the target start again before.
		restart bool
	}{
		"draining":                  {runner.TargetReport{Service: "card", Draining: true}, false},
		"draining, after a restart": {runner.TargetReport{Service: "card", Draining: true}, true},
		"another service":           {runner.TargetReport{Service: "other"}, false},
	}
	for name, step := range cases {
		h := newHarness(t)
		if step.restart {
			h.restartTarget(2)
		}
		step.foreign.Target, step.foreign.Capacity = targetID, h.targetCapacity()
		for range 4 {
			step.foreign.Sequence++
			h.core.HandleTargetReport(step.foreign)
		}
		h.sendStartOrder(0)
		if got := h.core.Dump().Service; got != "card" || len(h.starts) != 1 {
			t.Errorf("%s: service %q and %d starts after reports of another writer, want %q and 1", name, got, len(h.starts), "card")
		}
	}
}

// Guards against a target whose reports are ignored for ever once one was doubtful.
func TestSecondReportConfirmsADoubtfulOne(t *testing.T) {
	h := newHarness(t)
	for sequence := uint64(5000); sequence <= 5001; sequence++ {
		h.core.HandleTargetReport(runner.TargetReport{Target: targetID, Service: "card", StartTime: 1, Sequence: sequence, Capacity: h.targetCapacity(), Draining: true})
	}
	h.sendStartOrder(0)
	if len(h.starts) != 0 {
		t.Error("a run started although two reports said that the target is draining")
	}
}

// Guards against a target that gets no more runs because the deregistration of its earlier
// life, under the same identity, arrives late.
func TestDelayedDeregistrationDoesNotCloseTheNextLife(t *testing.T) {
	h := newHarness(t)
	h.restartTarget(2)
	h.core.HandleTargetDeregistered(targetID, 1)
	h.sendStartOrder(0)
	if len(h.starts) != 1 {
		t.Errorf("%d starts after a delayed deregistration, want 1", len(h.starts))
	}
	h.core.HandleTargetDeregistered(targetID, 2)
	h.sendStartOrder(1)
	if len(h.starts) != 1 {
		t.Errorf("%d starts after the deregistration, want no further one", len(h.starts))
	}
}
