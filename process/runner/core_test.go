package runner_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	entryID  = wire.Incarnation(7)
	targetID = "target-1"
	// answerDelay is how long the target takes to answer in these tests.
	answerDelay = 2 * time.Millisecond
)

// harness is the Env of one agent. It records the calls and messages of the
// agent, and the test answers them in the order that it needs.
type harness struct {
	t      *testing.T
	now    time.Time
	core   *runner.Core
	starts []runner.StartCall
	stops  []runner.StopCall
	polls  int
	sent   []wire.Message
	// sequence numbers the orders of the entry, lastEnd the ends of the target.
	sequence uint64
	lastEnd  uint64
	clock    runner.TargetClock
}

func (h *harness) Now() time.Time                          { return h.now }
func (h *harness) Record(decision.Decision)                {}
func (h *harness) Send(_ wire.Incarnation, m wire.Message) { h.sent = append(h.sent, m) }
func (h *harness) Start(c runner.StartCall)                { h.starts = append(h.starts, c) }
func (h *harness) Stop(c runner.StopCall)                  { h.stops = append(h.stops, c) }
func (h *harness) RequestHold()                            { h.polls++ }

// advance moves the clocks of the agent and the target forward.
func (h *harness) advance(d time.Duration) {
	h.now, h.clock = h.now.Add(d), h.clock+runner.TargetClock(d.Milliseconds())
}
func (h *harness) lastStart() runner.StartCall      { return h.starts[len(h.starts)-1] }
func (h *harness) answerLastStart(v runner.Verdict) { h.answerStart(h.lastStart(), v) }
func (h *harness) answerStart(c runner.StartCall, v runner.Verdict) {
	h.advance(answerDelay)
	h.core.HandleStartAnswer(c, runner.Answer{Verdict: v, Clock: h.clock})
}

// newHarness returns an agent that is connected to one entry and whose target
// runs nothing.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.UnixMilli(1_000_000), clock: 1000}
	h.core = runner.New(h, runner.Options{Agent: 1, Node: "agent-1", Zone: "a", Fence: 10})
	h.reportTarget(1, 1)
	h.completeHold(1, nil, nil)
	h.core.Connected(entryID)
	return h
}

// reportTarget sends a report of the target to the agent.
func (h *harness) reportTarget(born int64, sequence uint64) {
	h.core.HandleTargetReport(runner.TargetReport{Target: targetID, Service: "card", StartTime: born, Sequence: sequence,
		Capacity: h.targetCapacity()})
}

// completeHold makes the agent's next hold call and answers it at once.
func (h *harness) completeHold(born int64, running []batch.Run, ended []runner.EndedRun) {
	h.advance(answerDelay)
	call, ok := h.core.NextHold(false)
	if !ok {
		h.t.Fatal("the agent makes no hold call")
	}
	h.advance(answerDelay)
	answer := runner.HoldAnswer{Clock: h.clock, StartTime: born, Ended: ended}
	for _, run := range running {
		answer.Running = append(answer.Running, runner.RunningRun{Run: run, Percent: 10})
	}
	h.core.HandleHoldAnswer(call, answer)
}

// endRows returns the target's list with one run that has ended.
func (h *harness) endRows(run batch.Run, end batch.End) []runner.EndedRun {
	h.lastEnd++
	return []runner.EndedRun{{Number: h.lastEnd, Run: run, End: end}}
}

// sendStartOrder sends the entry's order to start one run of a task.
func (h *harness) sendStartOrder(index int) batch.Run { return h.sendStartOrderTo(targetID, index) }

func (h *harness) sendStartOrderTo(target string, index int) batch.Run {
	return h.sendNumberedStartOrder(target, index, 1)
}

func (h *harness) sendNumberedStartOrder(target string, index, number int) batch.Run {
	h.sequence++
	start := wire.StartOrder{Job: "0123456789abcdef", Target: target, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}, EstimateMS: 100,
		Tasks: []wire.StartTask{{Index: index, RunNumber: number}}}
	h.core.HandleMessage(entryID, &wire.Orders{Sequence: h.sequence, ClockEcho: h.now.UnixMicro(), Starts: []wire.StartOrder{start}})
	return start.Run(start.Tasks[0])
}

// lastReportOf returns the agent's last report to the entry on a run.
func (h *harness) lastReportOf(run batch.Run) (report wire.RunReport, found bool) {
	for _, m := range h.sent {
		agentReport, ok := m.(*wire.AgentReport)
		if !ok {
			continue
		}
		for _, r := range agentReport.Runs {
			if r.Run == run {
				report, found = r, true
			}
		}
	}
	return report, found
}

// Guards against an agent that stands still because an order has a very large run
// number, and against a run beside an earlier one of its task.
func TestOrderWithALargeRunNumber(t *testing.T) {
	h := newHarness(t)
	if run := h.sendNumberedStartOrder(targetID, 0, 1<<40); len(h.starts) != 1 || h.lastStart().Run != run {
		t.Fatalf("starts %+v, expected one of %+v", h.starts, run)
	}
	later := h.sendNumberedStartOrder(targetID, 0, 1<<40+1)
	h.advance(100 * time.Millisecond)
	if report, _ := h.lastReportOf(later); report.RefusalReason != wire.RefusedSuperseded {
		t.Errorf("report on a later run of the same task: %+v, expected %s", report, wire.RefusedSuperseded)
	}
}

// Guards against reporting a task as not started although it has run: the
// answer to its start was lost, the run has ended, and the target refuses the
// retry because that same run supersedes it.
func TestSupersededRetryOfEndedRunIsNotRefused(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictUnanswered)
	h.answerLastStart(runner.VerdictSuperseded)
	h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	if report, _ := h.lastReportOf(run); report.End != batch.EndDone || report.RefusalReason != "" {
		t.Errorf("reported %+v, expected that the run is done", report)
	}
}

// Guards against an agent that keeps runs which ended when the target restarted
// under the same identity, and against accepting delayed reports from before
// the restart.
func TestTargetRestartEndsItsRuns(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.completeHold(1, []batch.Run{run}, nil)
	h.reportTarget(2, 1)
	h.completeHold(2, nil, nil)
	if report, _ := h.lastReportOf(run); report.End != batch.EndLost {
		t.Errorf("reported %+v, expected that the run is lost", report)
	}
	h.reportTarget(1, 9)
	next := h.sendStartOrder(1)
	h.answerLastStart(runner.VerdictDone)
	// The numbers of ends begin again after a restart of the target.
	h.completeHold(2, nil, h.endRows(next, batch.EndDone))
	if report, _ := h.lastReportOf(next); report.End != batch.EndDone {
		t.Errorf("reported %+v, expected the end of the run started after the restart", report)
	}
}

// Guards against runs that continue for an entry whose orders no longer arrive
// or which no longer receives the agent's messages (a one-way partition). In
// both cases the newest echoed clock value becomes too old, whatever else
// arrives.
func TestOneWayPartitionEndsSession(t *testing.T) {
	for _, ordersArrive := range []bool{false, true} {
		h := newHarness(t)
		run := h.sendStartOrder(0)
		h.answerLastStart(runner.VerdictDone)
		lastHeard := h.now
		for h.now.Sub(lastHeard) <= wire.SessionTTL+answerDelay {
			h.completeHold(1, []batch.Run{run}, nil)
			if ordersArrive {
				h.sequence++
				h.core.HandleMessage(entryID, &wire.Orders{Sequence: h.sequence, ClockEcho: lastHeard.UnixMicro()})
			}
			h.core.Tick()
		}
		if len(h.stops) == 0 || h.stops[0].Run != run {
			t.Errorf("orders arrive %v: stop calls %+v, expected one for the run of the entry whose session ended", ordersArrive, h.stops)
		}
		before := len(h.starts)
		refused := h.sendStartOrder(1)
		if report, _ := h.lastReportOf(refused); report.RefusalReason != wire.RefusedSession || len(h.starts) != before {
			t.Errorf("orders arrive %v: an order after the end of the session is answered with %+v", ordersArrive, report)
		}
	}
}

// Guards against a task that runs twice at the same time: a start, or an
// earlier copy of it, was in flight when the target restarted under the same
// identity. The target carries it out after the run has been reported to the
// entry as lost.
func TestInFlightStartsAreStoppedAfterTargetRestart(t *testing.T) {
	cases := map[string]func(h *harness){
		"start not answered yet":                 func(*harness) {},
		"start answered after the list was made": func(h *harness) { h.answerLastStart(runner.VerdictDone) },
		"copy without an answer": func(h *harness) {
			h.answerLastStart(runner.VerdictUnanswered)
			h.answerLastStart(runner.VerdictDone)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			run := h.sendStartOrder(0)
			call, _ := h.core.NextHold(false)
			prepare(h)
			h.reportTarget(2, 1)
			h.core.HandleHoldAnswer(call, runner.HoldAnswer{Clock: h.clock, StartTime: 2})
			if report, found := h.lastReportOf(run); found {
				t.Fatalf("the entry received %+v while the run may still be started again", report)
			}
			if len(h.stops) != 1 || h.stops[0].Run != run {
				t.Fatalf("stop calls %+v, expected one for the run that may start", h.stops)
			}
			h.core.HandleStopAnswer(h.stops[0], runner.Answer{Verdict: runner.VerdictDone, Clock: h.clock})
			h.completeHold(2, nil, nil)
			if report, _ := h.lastReportOf(run); (report.End != "") != (name == "start answered after the list was made") {
				t.Errorf("reported %+v after the present life has confirmed the stop", report)
			}
			h.passLateStarts(2)
			if report, _ := h.lastReportOf(run); report.End == "" || report.RefusalReason != "" {
				t.Errorf("reported %+v, expected an end: the run may have begun before the restart", report)
			}
		})
	}
}

// Guards against a task that runs twice at the same time: a run that began
// after a restart of its target, before the agent learned of the restart, is
// reported as lost.
func TestRunListedAfterTargetRestartContinues(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.reportTarget(2, 1)
	h.completeHold(2, []batch.Run{run}, nil)
	if report, found := h.lastReportOf(run); found || len(h.stops) > 0 {
		t.Fatalf("reported %+v, stop calls %+v, expected that the run continues", report, h.stops)
	}
	h.completeHold(2, nil, h.endRows(run, batch.EndDone))
	if report, _ := h.lastReportOf(run); report.End != batch.EndDone {
		t.Errorf("reported %+v, expected that the run is done", report)
	}
}

// Guards against carrying out an order that arrives after its target has been
// replaced. The entry has given the order up, because all runs ended with the
// earlier target.
func TestOrderForAnEarlierTargetIsRefused(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrderTo("target-0", 0)
	if report, _ := h.lastReportOf(run); report.RefusalReason != wire.RefusedClosed || len(h.starts) > 0 {
		t.Errorf("reported %+v after %d starts, expected a refusal", report, len(h.starts))
	}
}

// Guards against repeatedly refused orders: the target has less free capacity
// than the agent assumes, for instance because of runs that the agent has not
// seen yet.
func TestNoFreeCapacityIsReportedAfterNoRoomRefusal(t *testing.T) {
	h := newHarness(t)
	h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictNoRoom)
	if free := h.reportedFree(); free != (batch.Resources{}) {
		t.Errorf("free capacity %+v is reported right after a refusal for lack of capacity", free)
	}
	other := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	h.completeHold(1, []batch.Run{other}, nil)
	if free := h.reportedFree(); free != (batch.Resources{}) {
		t.Errorf("free capacity %+v is reported while a run of another agent uses some", free)
	}
	h.completeHold(1, nil, h.endRows(other, batch.EndStopped))
	if free := h.reportedFree(); free != h.targetCapacity() {
		t.Errorf("free capacity %+v is reported, expected all of it", free)
	}
}

func (h *harness) targetCapacity() batch.Resources {
	return batch.Resources{MilliCPU: 4000, MemoryMiB: 1024}
}

// reportedFree returns the free capacity that the agent reports to the entry.
func (h *harness) reportedFree() batch.Resources {
	h.advance(wire.SessionRenewInterval)
	h.core.Tick()
	for i := len(h.sent) - 1; i >= 0; i-- {
		if report, ok := h.sent[i].(*wire.AgentReport); ok {
			return report.Free
		}
	}
	h.t.Fatal("the agent has sent no report")
	return batch.Resources{}
}

// startDurableRun sends the entry's order to start a durable run, whose end the
// entry has to record, and confirms the start, after other answers to earlier copies of it.
func (h *harness) startDurableRun(index int, earlier ...runner.Verdict) batch.Run {
	h.sequence++
	start := wire.StartOrder{Job: "0123456789abcdef", Target: targetID, Durable: true, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64},
		EstimateMS: 100, Tasks: []wire.StartTask{{Index: index, RunNumber: 1}}}
	h.core.HandleMessage(entryID, &wire.Orders{Sequence: h.sequence, ClockEcho: h.now.UnixMicro(), Starts: []wire.StartOrder{start}})
	for _, verdict := range earlier {
		h.answerLastStart(verdict)
	}
	h.answerLastStart(runner.VerdictDone)
	return start.Run(start.Tasks[0])
}

// acknowledged returns the number up to which the agent acknowledges ends.
func (h *harness) acknowledged() uint64 {
	call, _ := h.core.NextHold(false)
	return call.AckedEnds
}

// settleEnds sends the ends that the entry has recorded and those that must not
// count.
func (h *harness) settleEnds(stored, void []batch.Run) {
	h.sequence++
	h.core.HandleMessage(entryID, &wire.Orders{Sequence: h.sequence, ClockEcho: h.now.UnixMicro(), RecordedEnds: stored, VoidEnds: void})
}

// Guards against an end that the target forgets before the entry has recorded
// it. An entry that takes the job over would run the completed task again.
func TestDurableEndIsAcknowledgedOnceStored(t *testing.T) {
	h := newHarness(t)
	run := h.startDurableRun(0)
	ended := h.endRows(run, batch.EndDone)
	h.completeHold(1, nil, ended)
	if report, _ := h.lastReportOf(run); report.End != batch.EndDone || !report.EndUnrecorded {
		t.Fatalf("reported %+v, expected an end that is not stored yet", report)
	}
	h.completeHold(1, nil, ended)
	if got := h.acknowledged(); got != 0 {
		t.Errorf("acknowledged up to %d before the end is stored", got)
	}
	h.settleEnds([]batch.Run{run}, nil)
	if got := h.acknowledged(); got != 1 {
		t.Errorf("acknowledged up to %d after the end is stored, expected 1", got)
	}
}

// Guards against a task that runs again although the end of its earlier run was
// acknowledged. An end that must not count may be acknowledged only after the
// lease has lapsed, and the target takes no runs until then.
func TestVoidEndIsAcknowledgedAfterTheLeaseLapsed(t *testing.T) {
	causes := map[string]func(h *harness, run batch.Run){
		"the entry reports the end as void": func(h *harness, run batch.Run) { h.settleEnds(nil, []batch.Run{run}) },
		"the session of the entry expires": func(h *harness, _ batch.Run) {
			h.advance(wire.SessionTTL + answerDelay)
			h.core.Tick()
		},
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			run, other := h.startDurableRun(0), h.sendStartOrder(1)
			h.answerLastStart(runner.VerdictDone)
			ended := h.endRows(run, batch.EndDone)
			h.completeHold(1, []batch.Run{other}, ended)
			cause(h, run)
			if free := h.reportedFree(); free != (batch.Resources{}) {
				t.Errorf("free capacity %+v is reported while the lease has to lapse", free)
			}
			h.completeHold(1, nil, append(ended, h.endRows(other, batch.EndDone)...))
			if got := h.acknowledged(); got != 0 {
				t.Errorf("acknowledged up to %d before the lease has lapsed", got)
			}
			if call, _ := h.core.NextHold(false); call.LeaseUntil != 0 {
				t.Error("the lease is renewed")
			}
			h.advance(2 * wire.RunLease)
			h.core.Tick()
			if got := h.acknowledged(); got != 2 {
				t.Errorf("acknowledged up to %d after the lease has lapsed, expected 2", got)
			}
		})
	}
}

// Guards against ends of an earlier agent's runs that are acknowledged, or
// withheld forever, without asking the entries.
func TestEndOfEarlierAgentIsOfferedToEntries(t *testing.T) {
	h := newHarness(t)
	run := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	h.completeHold(1, nil, h.endRows(run, batch.EndDone))
	if report, _ := h.lastReportOf(run); report.End != batch.EndDone || !report.EndUnrecorded {
		t.Fatalf("reported %+v, expected that the entry is asked", report)
	}
	h.settleEnds([]batch.Run{run}, nil)
	if got := h.acknowledged(); got != 1 {
		t.Errorf("acknowledged up to %d, expected 1", got)
	}
}

// Guards against a target that is closed after a power failure because of ends
// that do not count any more, since the lease has lapsed after them.
func TestEndsBeforeLapseAreAcknowledged(t *testing.T) {
	h := newHarness(t)
	done := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	lapsed := batch.Run{Task: batch.Task{Job: "fedcba9876543210", Index: 1}, Number: 1}
	h.completeHold(1, nil, append(h.endRows(done, batch.EndDone), h.endRows(lapsed, batch.EndLapsed)...))
	if got := h.acknowledged(); got != 2 {
		t.Errorf("acknowledged up to %d, expected 2", got)
	}
	if report, found := h.lastReportOf(done); found {
		t.Errorf("the entry is asked about %+v", report)
	}
}

// advanceWithAnswers lets time pass while the entry and the target answer.
func (h *harness) advanceWithAnswers(d time.Duration, running []batch.Run, ended []runner.EndedRun) {
	for range d / (100 * time.Millisecond) {
		h.advance(100 * time.Millisecond)
		h.settleEnds(nil, nil)
		h.completeHold(1, running, ended)
		h.core.Tick()
	}
}

// Guards against a target that closes two seconds after its agent and all
// entries have restarted while the log is unavailable. No entry can settle the
// earlier ends, and a lapse of the lease that late would end the runs started
// since.
func TestUnclaimedEndsDoNotCloseABusyTarget(t *testing.T) {
	h := newHarness(t)
	before := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	ended := h.endRows(before, batch.EndDone)
	h.completeHold(1, nil, ended)
	h.advanceWithAnswers(2*wire.RunLease, nil, ended)
	if got := h.acknowledged(); got != 1 {
		t.Errorf("acknowledged up to %d after the lease has lapsed, expected 1", got)
	}
	run := h.sendStartOrder(1)
	h.answerLastStart(runner.VerdictDone)
	h.sent = nil
	h.advanceWithAnswers(3*time.Second, []batch.Run{run}, nil)
	for _, m := range h.sent {
		if report, ok := m.(*wire.AgentReport); ok && report.Target != nil && report.Target.Closed == wire.ClosedLapsing {
			t.Fatal("the target is closed for a lapse while a run is active")
		}
	}
}

// Guards against a target that stays closed after an entry has settled all ends
// of an earlier agent's runs, and against asking an entry only once: an entry
// that has just started can't answer yet.
func TestTargetOpensOnceUnclaimedEndsAreSettled(t *testing.T) {
	h := newHarness(t)
	before := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	h.completeHold(1, nil, h.endRows(before, batch.EndDone))
	if free := h.reportedFree(); free != (batch.Resources{}) {
		t.Errorf("free capacity %+v is reported before the end is settled", free)
	}
	h.sent = nil
	h.advanceWithAnswers(200*time.Millisecond, nil, nil)
	if _, found := h.lastReportOf(before); !found {
		t.Error("the entry is not asked again")
	}
	h.settleEnds([]batch.Run{before}, nil)
	if free := h.reportedFree(); free != h.targetCapacity() {
		t.Errorf("free capacity %+v is reported after the end is settled, expected %+v", free, h.targetCapacity())
	}
}
