package runonce

import (
	"fmt"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

const (
	// callTimeout is when a start or stop without an answer is given up, holdMargin how
	// long after its wait a hold call is.
	callTimeout = 20 * time.Millisecond
	holdMargin  = 40 * time.Millisecond
	// maxHolds bounds the hold calls that are under way while answers get lost.
	maxHolds = 3
	// reportInterval is the time between two reports of a target about itself.
	reportInterval = 500 * time.Millisecond
)

// callKind is a kind of call to a target.
type callKind int

// Values of callKind.
const (
	startCalls callKind = iota
	stopCalls
	holdCalls
	callKinds
)

// callFault is a fault of the calls of one kind to a target: they get no answer and are
// carried out after a delay, or never if it is negative.
type callFault struct {
	active bool
	delay  time.Duration
}

// target is a target with its address. The executor changes when it crashes.
type target struct {
	world    *world
	index    int
	births   int
	executor *executor.Executor
	sequence uint64
	faults   [callKinds]callFault
	holds    []*holdAtTarget
}

// holdAtTarget is a hold call that waits at the target.
type holdAtTarget struct {
	agent  *agentLife
	call   runner.HoldCall
	endsAt time.Time
}

// start starts the target after a crash, under the same identity or another one.
func (t *target) start(sameIdentity bool) {
	if !sameIdentity || t.births == 0 {
		t.births++
	}
	w := t.world
	work := executor.Work{Duration: w.scenario.work, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}, Fails: w.scenario.fails}
	t.executor = executor.New(w.targetTime(now()), fmt.Sprintf("target-%d-%d", t.index, t.births), batch.Resources{MilliCPU: 4000, MemoryMiB: 32768},
		func(task batch.Task) executor.Work {
			if task.Job != jobID {
				return backgroundWork
			}
			return work
		})
	t.sequence, t.holds = 0, nil
	w.oracle.watch(t)
}

// backgroundWork is the work of the tasks that keep targets busy. Each target has room for
// one of them beside the task.
var backgroundWork = executor.Work{Duration: time.Minute, Demand: batch.Resources{MilliCPU: 2500, MemoryMiB: 64}}

// running returns the runs of the task.
func (t *target) running() []batch.Run {
	return slices.DeleteFunc(t.executor.Running(), func(run batch.Run) bool { return run.Task.Job != jobID })
}

func (t *target) now() time.Time { return t.world.targetTime(now()) }

// report sends a report of the target to its agent.
func (t *target) report() {
	a := t.world.agents[t.index]
	if a == nil || t.executor.Crashed {
		return
	}
	t.sequence++
	r := runner.TargetReport{Target: t.executor.ID, Service: serviceName, StartTime: t.executor.StartedAtMS, Sequence: t.sequence, Capacity: t.executor.Capacity}
	a.deliver(func() { a.core.HandleTargetReport(r) })
}

// step answers the hold calls that are due.
func (t *target) step() {
	t.executor.Advance(t.now())
	if time.Duration(t.world.steps)*timeStep%reportInterval == 0 {
		t.report()
	}
	waiting := t.holds
	t.holds = nil
	for _, h := range waiting {
		switch {
		case t.executor.Crashed:
			h.agent.holdDone(h.call, runner.HoldAnswer{}, runner.VerdictUnanswered)
		case t.executor.HasEnds(h.call.AckedEnds) || now().After(h.endsAt):
			// The lease was renewed when the call arrived.
			h.call.LeaseUntil = 0
			answer, verdict := t.executor.Hold(t.now(), h.call)
			h.agent.holdDone(h.call, answer, verdict)
		default:
			t.holds = append(t.holds, h)
		}
	}
}

// leaseOf returns the lease that a call gets. Where a call that is carried out late grants
// a lease, it counts from then.
func (t *target) leaseOf(until runner.TargetClock, late bool) runner.TargetClock {
	if !late || until == 0 || !t.world.scenario.lateCallsGrant {
		return until
	}
	return t.executor.Clock(t.now()) + runner.TargetClock(wire.RunLease.Milliseconds())
}

// agentLife is one process of an agent.
type agentLife struct {
	world         *world
	index         int
	id            wire.Incarnation
	core          *runner.Core
	alive, frozen bool
	inbox         []func()
	holdsUnderWay int
	nextHold      time.Time
}

// startAgent starts a process of an agent in place of the former one.
func (w *world) startAgent(index int) {
	a := &agentLife{world: w, index: index, id: wire.Incarnation(w.random.Uint64()), alive: true}
	w.mu.Lock()
	w.agents[index] = a
	w.mu.Unlock()
	a.core = runner.New((*agentEnv)(a), runner.Options{Agent: a.id, Node: fmt.Sprintf("node-%d", index), Zone: "zone-0", Fence: uint64(now().UnixMilli())})
	w.targets[index].report()
}

func (a *agentLife) running() bool { return a.alive && !a.frozen }

func (a *agentLife) kill() { a.alive, a.inbox = false, nil }

func (a *agentLife) thaw() {
	a.frozen = false
	inbox := a.inbox
	a.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// deliver passes an event to the process, or keeps it until the process runs.
func (a *agentLife) deliver(do func()) {
	switch {
	case !a.alive:
	case a.frozen:
		a.inbox = append(a.inbox, do)
	default:
		do()
	}
}

func (a *agentLife) step(ticks bool) {
	if !a.running() {
		return
	}
	limit := 1
	if a.core.AnswersLost() {
		limit = maxHolds
	}
	if a.holdsUnderWay < limit && !now().Before(a.nextHold) {
		a.hold(true)
	}
	if ticks {
		a.core.Tick()
	}
}

// hold makes a hold call.
func (a *agentLife) hold(wait bool) {
	call, ok := a.core.NextHold(wait)
	if !ok {
		return
	}
	w, t := a.world, a.world.targets[a.index]
	if wait {
		a.holdsUnderWay++
	}
	if f := t.faults[holdCalls]; f.active {
		if f.delay >= 0 {
			w.after(f.delay, func() {
				late := call
				late.LeaseUntil = t.leaseOf(call.LeaseUntil, true)
				t.hold(late)
			})
		}
		w.after(call.Wait+holdMargin, func() { a.holdFinished(wait, call, runner.HoldAnswer{}, runner.VerdictUnanswered) })
		return
	}
	w.after(timeStep, func() {
		answer, verdict := t.hold(call)
		if verdict == runner.VerdictDone && len(answer.Ended) == 0 && call.Wait > 0 {
			t.holds = append(t.holds, &holdAtTarget{a, call, now().Add(call.Wait)})
			return
		}
		a.holdFinished(wait, call, answer, verdict)
	})
}

// hold carries out a hold call at the target.
func (t *target) hold(call runner.HoldCall) (runner.HoldAnswer, runner.Verdict) {
	if t.executor.Crashed {
		return runner.HoldAnswer{}, runner.VerdictNotListening
	}
	return t.executor.Hold(t.now(), call)
}

// holdDone handles the end of a hold call that waited.
func (a *agentLife) holdDone(call runner.HoldCall, answer runner.HoldAnswer, verdict runner.Verdict) {
	a.holdFinished(true, call, answer, verdict)
}

func (a *agentLife) holdFinished(wait bool, call runner.HoldCall, answer runner.HoldAnswer, verdict runner.Verdict) {
	a.deliver(func() {
		if wait {
			a.holdsUnderWay--
		}
		if verdict != runner.VerdictDone {
			a.nextHold = now().Add(10 * time.Millisecond)
			a.core.HoldFailed(call, verdict)
			return
		}
		a.core.HandleHoldAnswer(call, answer)
		a.nextHold = now().Add(a.core.HoldDelay())
	})
}

// call makes a start or a stop.
func (a *agentLife) call(kind callKind, do func(t *target, late bool) runner.Answer, answered func(runner.Answer)) {
	w, t := a.world, a.world.targets[a.index]
	reply := func(answer runner.Answer) { a.deliver(func() { answered(answer) }) }
	if f := t.faults[kind]; f.active {
		if f.delay >= 0 {
			w.after(f.delay, func() {
				if !t.executor.Crashed {
					do(t, true)
				}
			})
		}
		w.after(callTimeout, func() { reply(runner.Answer{Verdict: runner.VerdictUnanswered}) })
		return
	}
	w.after(timeStep, func() {
		if t.executor.Crashed {
			reply(runner.Answer{Verdict: runner.VerdictNotListening})
			return
		}
		reply(do(t, false))
	})
}

// agentEnv is the runner.Env of an agent.
type agentEnv agentLife

func (a *agentEnv) Now() time.Time { return a.world.targetTime(now()) }
func (a *agentEnv) Record(d decision.Decision) {
	a.world.oracle.note(fmt.Sprintf("agent-%d", a.index), d)
}
func (a *agentEnv) Send(entry wire.Incarnation, m wire.Message) { a.world.send(entry, a.id, true, m) }
func (a *agentEnv) Start(call runner.StartCall) {
	if late := a.world.late; late != nil && late.intercept((*agentLife)(a), call) {
		return
	}
	(*agentLife)(a).call(startCalls, func(t *target, late bool) runner.Answer {
		c := call
		c.LeaseUntil = t.leaseOf(call.LeaseUntil, late)
		return t.executor.Start(t.now(), c)
	}, func(answer runner.Answer) { a.core.HandleStartAnswer(call, answer) })
}

func (a *agentEnv) Stop(call runner.StopCall) {
	(*agentLife)(a).call(stopCalls, func(t *target, _ bool) runner.Answer { return t.executor.Stop(t.now(), call) },
		func(answer runner.Answer) { a.core.HandleStopAnswer(call, answer) })
}

func (a *agentEnv) RequestHold() {
	life := (*agentLife)(a)
	a.world.after(0, func() { life.deliver(func() { life.hold(false) }) })
}
