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
	// orderTime is how long the target takes to answer in these tests.
	orderTime = 2 * time.Millisecond
)

// bench drives one agent by hand: it records what the agent asks for, and the
// test answers in the order that it wants.
type bench struct {
	t      *testing.T
	now    time.Time
	core   *runner.Core
	starts []runner.StartCall
	stops  []runner.StopCall
	looks  int
	sent   []wire.Message
	// sequence numbers the orders of the entry, ends those of the target.
	sequence uint64
	ends     uint64
	clock    runner.TargetClock
}

func (b *bench) Now() time.Time                          { return b.now }
func (b *bench) Decided(decision.Decision)               {}
func (b *bench) Send(_ wire.Incarnation, m wire.Message) { b.sent = append(b.sent, m) }
func (b *bench) Disconnect(wire.Incarnation)             {}
func (b *bench) Start(c runner.StartCall)                { b.starts = append(b.starts, c) }
func (b *bench) Stop(c runner.StopCall)                  { b.stops = append(b.stops, c) }
func (b *bench) Look()                                   { b.looks++ }
func (b *bench) wait(d time.Duration) {
	b.now, b.clock = b.now.Add(d), b.clock+runner.TargetClock(d.Milliseconds())
}
func (b *bench) lastStart() runner.StartCall  { return b.starts[len(b.starts)-1] }
func (b *bench) answerStart(v runner.Verdict) { b.answer(b.lastStart(), v) }
func (b *bench) answer(c runner.StartCall, v runner.Verdict) {
	b.wait(orderTime)
	b.core.StartAnswered(c, runner.Answer{Verdict: v, Clock: b.clock})
}

// newBench returns an agent beside a target that runs nothing, with one entry.
func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.UnixMilli(1_000_000), clock: 1000}
	b.core = runner.New(b, runner.Options{Agent: 1, Node: "agent-1", Zone: "a", Fence: 10})
	b.report(1, 1)
	b.hold(1, nil, nil)
	b.core.Connected(entryID)
	return b
}

func (b *bench) report(born int64, sequence uint64) {
	b.core.Reported(runner.TargetReport{Target: targetID, Service: "card", Born: born, Sequence: sequence,
		Room: b.room()})
}

// hold lets the agent ask for the runs at the target and answers at once.
func (b *bench) hold(born int64, running []batch.Run, ended []runner.EndedRun) {
	b.wait(orderTime)
	call, ok := b.core.NextHold(false)
	if !ok {
		b.t.Fatal("the agent asks for no runs")
	}
	b.wait(orderTime)
	answer := runner.HoldAnswer{Clock: b.clock, Born: born, Ended: ended}
	for _, run := range running {
		answer.Running = append(answer.Running, runner.RunningRun{Run: run, Percent: 10})
	}
	b.core.HoldAnswered(call, answer)
}

// ended returns the row of a run that has ended.
func (b *bench) ended(run batch.Run, end batch.End) []runner.EndedRun {
	b.ends++
	return []runner.EndedRun{{Number: b.ends, Run: run, End: end}}
}

// order sends the order of the entry for one run of a task.
func (b *bench) order(index int) batch.Run { return b.orderFor(targetID, index) }

func (b *bench) orderFor(target string, index int) batch.Run {
	b.sequence++
	start := wire.StartOrder{Job: "0123456789abcdef", Target: target, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}, EstimateMS: 100,
		Tasks: []wire.StartTask{{Index: index, Number: 1}}}
	b.core.Received(entryID, &wire.Orders{Sequence: b.sequence, Echo: b.now.UnixMicro(), Starts: []wire.StartOrder{start}})
	return start.Run(start.Tasks[0])
}

// wordOn returns what the agent last told the entry of a run.
func (b *bench) wordOn(run batch.Run) (word wire.RunReport, told bool) {
	for _, m := range b.sent {
		report, ok := m.(*wire.AgentReport)
		if !ok {
			continue
		}
		for _, r := range report.Runs {
			if r.Run == run {
				word, told = r, true
			}
		}
	}
	return word, told
}

// Guards against a task that runs twice at a time: the target refuses the
// repeat of a start whose first copy is still on its way, and carries that copy
// out after the entry has started the task elsewhere.
func TestRefusedRepeatIsWithdrawn(t *testing.T) {
	for _, verdict := range []runner.Verdict{runner.VerdictNoRoom, runner.VerdictUnhealthy, runner.VerdictLate, runner.VerdictSuperseded} {
		t.Run(string(verdict), func(t *testing.T) {
			b := newBench(t)
			run := b.order(0)
			b.answerStart(runner.VerdictUnanswered)
			b.answerStart(verdict)
			if word, told := b.wordOn(run); told {
				t.Fatalf("the entry is told %+v while a copy of the start is on its way", word)
			}
			b.hold(1, nil, nil)
			if len(b.stops) != 1 || b.stops[0].Run != run {
				t.Fatalf("stops: %+v, expected the run that may start late", b.stops)
			}
			b.core.StopAnswered(b.stops[0], runner.Answer{Verdict: runner.VerdictDone, Clock: b.clock})
			b.hold(1, nil, nil)
			if word, _ := b.wordOn(run); word.Refused != wire.RefusedUnanswered {
				t.Errorf("told %+v, expected that the run never started", word)
			}
		})
	}
}

// Guards against "not run" for a task that has run: the answer to its start was
// lost, the run has ended, and the repeat is refused as superseded by itself.
func TestRepeatOfAnEndedRunIsNotTakenAsRefused(t *testing.T) {
	b := newBench(t)
	run := b.order(0)
	b.answerStart(runner.VerdictUnanswered)
	b.answerStart(runner.VerdictSuperseded)
	b.hold(1, nil, b.ended(run, batch.EndDone))
	if word, _ := b.wordOn(run); word.End != batch.EndDone || word.Refused != "" {
		t.Errorf("told %+v, expected the end done", word)
	}
}

// Guards against an agent that believes in runs which ended when the target
// started again under its identity, and against reports of the earlier life.
func TestTargetBornAgainLosesItsRuns(t *testing.T) {
	b := newBench(t)
	run := b.order(0)
	b.answerStart(runner.VerdictDone)
	b.hold(1, []batch.Run{run}, nil)
	b.report(2, 1)
	b.hold(2, nil, nil)
	if word, _ := b.wordOn(run); word.End != batch.EndLost {
		t.Errorf("told %+v, expected that the run is lost", word)
	}
	b.report(1, 9)
	next := b.order(1)
	b.answerStart(runner.VerdictDone)
	// The numbers of ends begin again with the life of the target.
	b.hold(2, nil, b.ended(next, batch.EndDone))
	if word, _ := b.wordOn(next); word.End != batch.EndDone {
		t.Errorf("told %+v, expected an end of the new life", word)
	}
}

// Guards against runs that go on for an entry whose orders no longer arrive, or
// that hears this agent no more (a one-way cut): in both cases the newest echo
// grows old, whatever else arrives.
func TestOneWayCutEndsTheSession(t *testing.T) {
	for _, arrives := range []bool{false, true} {
		b := newBench(t)
		run := b.order(0)
		b.answerStart(runner.VerdictDone)
		heard := b.now
		for b.now.Sub(heard) <= wire.SessionTTL+orderTime {
			b.hold(1, []batch.Run{run}, nil)
			if arrives {
				b.sequence++
				b.core.Received(entryID, &wire.Orders{Sequence: b.sequence, Echo: heard.UnixMicro()})
			}
			b.core.Tick()
		}
		if len(b.stops) == 0 || b.stops[0].Run != run {
			t.Errorf("orders arrive %v: stops %+v, expected the run of the silent entry", arrives, b.stops)
		}
		before := len(b.starts)
		refused := b.order(1)
		if word, _ := b.wordOn(refused); word.Refused != wire.RefusedSession || len(b.starts) != before {
			t.Errorf("orders arrive %v: an order after the session's end gets %+v", arrives, word)
		}
	}
}

// Guards against a task that runs twice at a time: a start that was on its way
// when the target started again under its identity, or an earlier copy of it, is
// carried out by the new life after the entry was told that the run is lost.
func TestStartsOnTheirWayAreStoppedInTheNextLife(t *testing.T) {
	cases := map[string]func(b *bench){
		"start not answered yet":                 func(*bench) {},
		"start answered after the list was made": func(b *bench) { b.answerStart(runner.VerdictDone) },
		"copy without an answer": func(b *bench) {
			b.answerStart(runner.VerdictUnanswered)
			b.answerStart(runner.VerdictDone)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			run := b.order(0)
			call, _ := b.core.NextHold(false)
			prepare(b)
			b.report(2, 1)
			b.core.HoldAnswered(call, runner.HoldAnswer{Clock: b.clock, Born: 2})
			if word, told := b.wordOn(run); told {
				t.Fatalf("the entry is told %+v before the run is certain not to start again", word)
			}
			if len(b.stops) != 1 || b.stops[0].Run != run {
				t.Fatalf("stops: %+v, expected the run that may start", b.stops)
			}
			b.core.StopAnswered(b.stops[0], runner.Answer{Verdict: runner.VerdictDone, Clock: b.clock})
			b.hold(2, nil, nil)
			if word, _ := b.wordOn(run); word.End == "" || word.Refused != "" {
				t.Errorf("told %+v, expected an end: the run may have begun in the earlier life", word)
			}
		})
	}
}

// Guards against a task that runs twice at a time: a run that began in the next
// life of its target, before the agent knew of that life, counts as lost.
func TestRunOfTheNextLifeGoesOn(t *testing.T) {
	b := newBench(t)
	run := b.order(0)
	b.answerStart(runner.VerdictDone)
	b.report(2, 1)
	b.hold(2, []batch.Run{run}, nil)
	if word, told := b.wordOn(run); told || len(b.stops) > 0 {
		t.Fatalf("told %+v, stops %+v, expected that the run goes on", word, b.stops)
	}
	b.hold(2, nil, b.ended(run, batch.EndDone))
	if word, _ := b.wordOn(run); word.End != batch.EndDone {
		t.Errorf("told %+v, expected the end done", word)
	}
}

// Guards against an order that arrives after the target has been replaced: the
// entry has given it up, because everything ended with the earlier target.
func TestOrderForAnEarlierTargetIsRefused(t *testing.T) {
	b := newBench(t)
	run := b.orderFor("target-0", 0)
	if word, _ := b.wordOn(run); word.Refused != wire.RefusedClosed || len(b.starts) > 0 {
		t.Errorf("told %+v after %d starts, expected a refusal", word, len(b.starts))
	}
}

// Guards against orders that are turned back again and again by a target that
// has less room than its agent believes, for instance because of runs that the
// agent has not seen yet.
func TestNoRoomIsOfferedAfterARefusalForRoom(t *testing.T) {
	b := newBench(t)
	b.order(0)
	b.answerStart(runner.VerdictNoRoom)
	if free := b.lastFree(); free != (batch.Resources{}) {
		t.Errorf("free room %+v is told right after a refusal for room", free)
	}
	other := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	b.hold(1, []batch.Run{other}, nil)
	if free := b.lastFree(); free != (batch.Resources{}) {
		t.Errorf("free room %+v is told while a run of another agent uses some", free)
	}
	b.hold(1, nil, b.ended(other, batch.EndStopped))
	if free := b.lastFree(); free != b.room() {
		t.Errorf("free room %+v is told, expected all of it", free)
	}
}

func (b *bench) room() batch.Resources { return batch.Resources{MilliCPU: 4000, MemoryMiB: 1024} }

// lastFree returns the room that the agent would tell the entry now.
func (b *bench) lastFree() batch.Resources {
	b.wait(wire.PulseInterval)
	b.core.Tick()
	for i := len(b.sent) - 1; i >= 0; i-- {
		if report, ok := b.sent[i].(*wire.AgentReport); ok {
			return report.Free
		}
	}
	b.t.Fatal("the agent has told nothing")
	return batch.Resources{}
}

// durableOrder sends the order of the entry for a run whose end has to be
// recorded.
func (b *bench) durableOrder(index int) batch.Run {
	b.sequence++
	start := wire.StartOrder{Job: "0123456789abcdef", Target: targetID, Durable: true, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64},
		EstimateMS: 100, Tasks: []wire.StartTask{{Index: index, Number: 1}}}
	b.core.Received(entryID, &wire.Orders{Sequence: b.sequence, Echo: b.now.UnixMicro(), Starts: []wire.StartOrder{start}})
	b.answerStart(runner.VerdictDone)
	return start.Run(start.Tasks[0])
}

func (b *bench) acknowledged() uint64 {
	call, _ := b.core.NextHold(false)
	return call.Seen
}

// settle sends the entry's word on an end.
func (b *bench) settle(stored, void []batch.Run) {
	b.sequence++
	b.core.Received(entryID, &wire.Orders{Sequence: b.sequence, Echo: b.now.UnixMicro(), Stored: stored, Void: void})
}

// Guards against an end that the target forgets before it is recorded: an entry
// that takes the job over would run the task again after it was done.
func TestDurableEndIsAcknowledgedOnceStored(t *testing.T) {
	b := newBench(t)
	run := b.durableOrder(0)
	ended := b.ended(run, batch.EndDone)
	b.hold(1, nil, ended)
	if word, _ := b.wordOn(run); word.End != batch.EndDone || !word.Unstored {
		t.Fatalf("told %+v, expected an end that is kept", word)
	}
	b.hold(1, nil, ended)
	if got := b.acknowledged(); got != 0 {
		t.Errorf("acknowledged up to %d before the end is stored", got)
	}
	b.settle([]batch.Run{run}, nil)
	if got := b.acknowledged(); got != 1 {
		t.Errorf("acknowledged up to %d after the end is stored, expected 1", got)
	}
}

// Guards against a task that runs again although its end was acknowledged: an
// end that must not count is acknowledged only after the lease has lapsed.
func TestVoidEndIsAcknowledgedAfterTheLeaseLapsed(t *testing.T) {
	causes := map[string]func(b *bench, run batch.Run){
		"the entry says so": func(b *bench, run batch.Run) { b.settle(nil, []batch.Run{run}) },
		"the entry is silent": func(b *bench, _ batch.Run) {
			b.wait(wire.SessionTTL + orderTime)
			b.core.Tick()
		},
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			run, other := b.durableOrder(0), b.order(1)
			b.answerStart(runner.VerdictDone)
			ended := b.ended(run, batch.EndDone)
			b.hold(1, []batch.Run{other}, ended)
			cause(b, run)
			if free := b.lastFree(); free != (batch.Resources{}) {
				t.Errorf("free room %+v is told while the lease has to lapse", free)
			}
			b.hold(1, nil, append(ended, b.ended(other, batch.EndDone)...))
			if got := b.acknowledged(); got != 0 {
				t.Errorf("acknowledged up to %d before the lease has lapsed", got)
			}
			if call, _ := b.core.NextHold(false); call.LeaseUntil != 0 {
				t.Error("the lease is renewed")
			}
			b.wait(2 * wire.RunLease)
			b.core.Tick()
			if got := b.acknowledged(); got != 2 {
				t.Errorf("acknowledged up to %d after the lease has lapsed, expected 2", got)
			}
		})
	}
}

// Guards against ends of an earlier agent that are acknowledged, or kept for
// good, without a word of the entries.
func TestEndOfAnEarlierAgentIsOffered(t *testing.T) {
	b := newBench(t)
	run := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	b.hold(1, nil, b.ended(run, batch.EndDone))
	if word, _ := b.wordOn(run); word.End != batch.EndDone || !word.Unstored {
		t.Fatalf("told %+v, expected that the entry is asked", word)
	}
	b.settle([]batch.Run{run}, nil)
	if got := b.acknowledged(); got != 1 {
		t.Errorf("acknowledged up to %d, expected 1", got)
	}
}

// Guards against a target that is closed after a loss of power, because of ends
// that do not count any more: the lease has lapsed since.
func TestEndsBeforeALapseAreNotKept(t *testing.T) {
	b := newBench(t)
	done := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	lapsed := batch.Run{Task: batch.Task{Job: "fedcba9876543210", Index: 1}, Number: 1}
	b.hold(1, nil, append(b.ended(done, batch.EndDone), b.ended(lapsed, batch.EndLapsed)...))
	if got := b.acknowledged(); got != 2 {
		t.Errorf("acknowledged up to %d, expected 2", got)
	}
	if word, told := b.wordOn(done); told {
		t.Errorf("the entry is asked about %+v", word)
	}
}

// pass lets time go by while the entry and the target answer.
func (b *bench) pass(d time.Duration, running []batch.Run, ended []runner.EndedRun) {
	for range d / (100 * time.Millisecond) {
		b.wait(100 * time.Millisecond)
		b.settle(nil, nil)
		b.hold(1, running, ended)
		b.core.Tick()
	}
}

// Guards against a target that closes two seconds after its agent and all entries
// have started again while the log is away: nobody can settle the ends of before,
// and letting the lease lapse so late would end what runs by then.
func TestUnclaimedEndsDoNotCloseABusyTarget(t *testing.T) {
	b := newBench(t)
	before := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	ended := b.ended(before, batch.EndDone)
	b.hold(1, nil, ended)
	b.pass(2*wire.RunLease, nil, ended)
	if got := b.acknowledged(); got != 1 {
		t.Errorf("acknowledged up to %d after the lease has lapsed, expected 1", got)
	}
	run := b.order(1)
	b.answerStart(runner.VerdictDone)
	b.sent = nil
	b.pass(3*time.Second, []batch.Run{run}, nil)
	for _, m := range b.sent {
		if report, ok := m.(*wire.AgentReport); ok && report.Target != nil && report.Target.Closed == wire.ClosedLapsing {
			t.Fatal("the target is closed for a lapse while a run goes on")
		}
	}
}

// Guards against a target that stays closed although an entry has settled all ends
// of an earlier agent, and against an entry that is asked only once: one that has
// just started can't answer yet.
func TestTargetOpensOnceUnclaimedEndsAreSettled(t *testing.T) {
	b := newBench(t)
	before := batch.Run{Task: batch.Task{Job: "fedcba9876543210"}, Number: 1}
	b.hold(1, nil, b.ended(before, batch.EndDone))
	if free := b.lastFree(); free != (batch.Resources{}) {
		t.Errorf("free room %+v is told before the end is settled", free)
	}
	b.sent = nil
	b.pass(200*time.Millisecond, nil, nil)
	if _, told := b.wordOn(before); !told {
		t.Error("the entry is not asked again")
	}
	b.settle([]batch.Run{before}, nil)
	if free := b.lastFree(); free != b.room() {
		t.Errorf("free room %+v is told after the end is settled, expected %+v", free, b.room())
	}
}
