package runner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// restartTarget lets the target start again under its identity and the agent learn of it, by
// its answer and then by its report.
func (h *harness) restartTarget(born int64) {
	h.clock = 10
	h.completeHold(born, nil, nil)
	h.reportTarget(born, 1)
}

// Guards against runs that are stopped because an answer from before a restart of the
// target arrives after the agent has learned of the restart.
func TestAnswerFromBeforeARestartStopsNoRuns(t *testing.T) {
	h := newHarness(t)
	late, _ := h.core.NextHold(true)
	lateClock := h.clock
	h.restartTarget(2)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.completeHold(2, []batch.Run{run}, nil)
	h.core.HandleHoldAnswer(late, runner.HoldAnswer{Clock: lateClock, StartTime: 1})
	h.completeHold(2, []batch.Run{run}, nil)
	if report, found := h.lastReportOf(run); found || len(h.stops) > 0 {
		t.Errorf("reported %+v, stops %+v while the run is alive", report, h.stops)
	}
}

// Guards against leases that last longer than the agent counts on, because an answer from
// before a restart of the target sets its clock.
func TestAnswerFromBeforeARestartSetsNoClock(t *testing.T) {
	h := newHarness(t)
	h.clock = 1_000_000
	h.completeHold(1, nil, nil)
	h.sendStartOrder(0)
	late := h.lastStart()
	h.restartTarget(2)
	h.core.HandleStartAnswer(late, runner.Answer{Verdict: runner.VerdictDone, Clock: 1_000_050})
	for _, stop := range h.stops {
		stop.Life--
		h.core.HandleStopAnswer(stop, runner.Answer{Verdict: runner.VerdictDone, Clock: 1_000_060})
	}
	h.sendStartOrder(1)
	if got := h.lastStart().LeaseUntil; got > 2000 {
		t.Errorf("lease until %d on the clock of a target that has just started again", got)
	}
}

// Guards against a run that counts as stopped because the target confirmed the stop before
// it started again: a start under way may be carried out by the present life.
func TestStopConfirmedBeforeARestartIsRepeated(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.core.HandleMessage(entryID, &wire.Orders{ClockEcho: h.now.UnixMicro(), Stops: []batch.Run{run}})
	early := h.stops[0]
	h.restartTarget(2)
	h.core.HandleStopAnswer(early, runner.Answer{Verdict: runner.VerdictDone, Clock: h.clock})
	h.completeHold(2, nil, nil)
	if report, found := h.lastReportOf(run); found {
		t.Fatalf("reported %+v before the present life has confirmed the stop", report)
	}
	h.core.HandleStopAnswer(h.stops[len(h.stops)-1], runner.Answer{Verdict: runner.VerdictDone, Clock: h.clock})
	h.completeHold(2, nil, nil)
	if report, found := h.lastReportOf(run); found {
		t.Fatalf("reported %+v while a later life may carry the start out", report)
	}
	h.answerStart(h.starts[0], runner.VerdictDone)
	h.core.Tick()
	if _, found := h.lastReportOf(run); !found {
		t.Error("not reported after the present life has confirmed the stop, and the start was answered")
	}
}

// Guards against calls from before a restart of the target that are carried out seconds
// later: they would start runs, extend leases and acknowledge ends of the present life.
func TestCallsFromBeforeARestartAreFenced(t *testing.T) {
	h := newHarness(t)
	h.sendStartOrder(0)
	before := h.lastStart().Fence
	h.restartTarget(2)
	call, _ := h.core.NextHold(false)
	if call.Fence <= before || h.stops[len(h.stops)-1].Fence <= before {
		t.Errorf("fencing tokens %d and %d after the restart, want more than %d", call.Fence, h.stops[len(h.stops)-1].Fence, before)
	}
}

// Guards against an end that is acknowledged as if the lease had lapsed, or a run that
// counts as lapsed, while a call from before a restart has extended the lease to the maximum.
func TestLeaseOfACallFromBeforeARestartIsWaitedFor(t *testing.T) {
	const maxTargetLease = time.Second
	h := newHarness(t)
	h.restartTarget(2)
	run := h.startDurableRun(0)
	h.completeHold(2, nil, h.endRows(run, batch.EndDone))
	h.settleEnds(nil, []batch.Run{run})
	for waited := time.Duration(0); waited < maxTargetLease; waited += 50 * time.Millisecond {
		if got := h.acknowledged(); got != 0 {
			t.Fatalf("acknowledged up to %d %s after the restart", got, waited)
		}
		h.advance(50 * time.Millisecond)
		h.core.Tick()
	}
	h.advance(2 * wire.RunLease)
	h.core.Tick()
	if got := h.acknowledged(); got != 1 {
		t.Errorf("acknowledged up to %d after the lease has lapsed, want 1", got)
	}
}

// Guards against a task that starts elsewhere, because an agent that has started again has
// enrolled, while a call of the earlier agent starts its run at a target that has not
// answered the present one.
func TestAgentEnrollsOnlyAfterItsTargetHasAnswered(t *testing.T) {
	foreign := batch.Run{Task: batch.Task{Job: "j"}, Number: 1}
	for _, running := range [][]batch.Run{nil, {foreign}} {
		h := &harness{t: t, now: time.UnixMilli(1_000_000), clock: 1000}
		h.core = runner.New(h, runner.Options{Agent: 2, Node: "agent-1", Zone: "a", Fence: 10})
		h.reportTarget(1, 1)
		h.advance(2 * time.Second)
		if h.core.MayEnroll() {
			t.Fatal("the agent may enroll before its target has answered")
		}
		h.completeHold(1, running, nil)
		if got, want := h.core.MayEnroll(), len(running) == 0; got != want {
			t.Errorf("may enroll %t with %d runs of an earlier agent, want %t", got, len(running), want)
		}
		h.advance(2 * time.Second)
		if !h.core.MayEnroll() {
			t.Error("the agent may not enroll after the leases of an earlier one have ended")
		}
	}
}

// Guards against a run that goes on although it was to be stopped: the former life of the target
// has confirmed the stop, and the present one has carried out a late copy of the start.
func TestListedRunIsStoppedAgainAfterARestart(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.core.HandleMessage(entryID, &wire.Orders{ClockEcho: h.now.UnixMicro(), Stops: []batch.Run{run}})
	h.core.HandleStopAnswer(h.stops[0], runner.Answer{Verdict: runner.VerdictDone, Clock: h.clock})
	h.clock = 10
	h.completeHold(2, []batch.Run{run}, nil)
	if len(h.stops) != 2 || h.stops[1].Run != run {
		t.Errorf("stops %+v, want another one of %s", h.stops, run)
	}
}

// Guards against an agent that asks for no list of runs any more, because its target was
// replaced while it was about to ask.
func TestListIsAskedForAfterTheTargetWasReplaced(t *testing.T) {
	h := newHarness(t)
	h.sendStartOrder(0)
	for range 3 {
		h.answerLastStart(runner.VerdictUnanswered)
	}
	call, _ := h.core.NextHold(true)
	h.core.HoldFailed(call, runner.VerdictOtherTarget)
	h.core.NextHold(false)
	h.polls = 0
	h.core.HandleTargetReport(runner.TargetReport{Target: "successor", Service: "card", StartTime: 3, Sequence: 1, Capacity: h.targetCapacity()})
	if h.polls == 0 {
		t.Error("no list of the runs at the successor is asked for")
	}
}

// Guards against starts at a target that has started again as another kind, or with less room:
// the agent offered it with the labels of its former life until its second report (review/14,
// ROUTE).
func TestRestartedTargetIsClosedUntilItHasReported(t *testing.T) {
	kind := func(h *harness) (labels []string, closed wire.ClosedReason) {
		h.advance(wire.SessionRenewInterval)
		h.core.Tick()
		for _, m := range h.sent {
			if report, ok := m.(*wire.AgentReport); ok && report.Target != nil {
				labels, closed = report.Target.Labels, report.Target.Closed
			}
		}
		return labels, closed
	}
	report := func(h *harness, sequence uint64) {
		h.core.HandleTargetReport(runner.TargetReport{Target: targetID, Service: "card", StartTime: 2, Sequence: sequence, Capacity: h.targetCapacity(), Labels: []string{"b"}})
	}
	for _, reportedFirst := range []bool{true, false} {
		h := newHarness(t)
		h.core.HandleTargetReport(runner.TargetReport{Target: targetID, Service: "card", StartTime: 1, Sequence: 2, Capacity: h.targetCapacity(), Labels: []string{"a"}})
		if reportedFirst {
			report(h, 1)
		}
		h.clock = 10
		h.completeHold(2, nil, nil)
		if !reportedFirst {
			if _, closed := kind(h); closed != wire.ClosedNoTarget {
				t.Errorf("closed %q before the present life has reported, want %s", closed, wire.ClosedNoTarget)
			}
			report(h, 1)
		}
		if labels, closed := kind(h); closed != "" || !slices.Equal(labels, []string{"b"}) {
			t.Errorf("reported first %t: closed %q with labels %v, want it open with those of the present life", reportedFirst, closed, labels)
		}
	}
}
