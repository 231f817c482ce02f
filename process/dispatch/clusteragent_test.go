package dispatch_test

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/runner"
)

// agentEnv is the runner.Env of an agent of the cluster.
type agentEnv agentNode

func (a *agentEnv) Now() time.Time           { return a.c.now }
func (a *agentEnv) Record(decision.Decision) {}
func (a *agentEnv) find(entry wire.Incarnation) *link {
	for _, l := range a.c.links {
		if l.agent.id == a.id && l.entry.id == entry && l.open {
			return l
		}
	}
	return nil
}
func (a *agentEnv) Send(entry wire.Incarnation, m wire.Message) {
	if l := a.find(entry); l != nil {
		a.c.countMessage(m)
		l.toEntry = append(l.toEntry, delivery{a.c.now.Add(linkDelay), m})
	}
}

// call makes a call to the executor. A share of the calls gets no answer and is
// carried out late.
func (a *agentEnv) call(do func() runner.Answer, answered func(runner.Answer)) {
	n, id := (*agentNode)(a), a.id
	reply := func(answer runner.Answer) {
		n.deliver(func() {
			if n.id == id {
				answered(answer)
			}
		})
	}
	if a.c.random.Float64() < a.c.lostAnswerShare {
		a.c.after(time.Duration(a.c.random.Int64N(int64(maxApplyDelay))), func() { do() })
		a.c.after(orderTimeout, func() { reply(runner.Answer{Verdict: runner.VerdictUnanswered}) })
		return
	}
	a.c.after(timeStep, func() {
		if n.executor.Crashed {
			a.c.after(orderTimeout, func() { reply(runner.Answer{Verdict: runner.VerdictUnanswered}) })
			return
		}
		answer := do()
		if n.executor.Crashed {
			a.c.after(orderTimeout, func() { reply(runner.Answer{Verdict: runner.VerdictUnanswered}) })
			return
		}
		reply(answer)
	})
}

func (a *agentEnv) Start(call runner.StartCall) {
	target := a.executor
	a.call(func() runner.Answer { return target.Start(a.c.now, call) }, func(answer runner.Answer) { a.core.HandleStartAnswer(call, answer) })
}

func (a *agentEnv) Stop(call runner.StopCall) {
	if a.c.stopsLost {
		a.c.after(orderTimeout, func() { a.core.HandleStopAnswer(call, runner.Answer{Verdict: runner.VerdictUnanswered}) })
		return
	}
	target := a.executor
	a.call(func() runner.Answer { return target.Stop(a.c.now, call) }, func(answer runner.Answer) { a.core.HandleStopAnswer(call, answer) })
}

func (a *agentEnv) RequestHold() {
	n := (*agentNode)(a)
	a.c.after(timeStep, func() {
		n.deliver(func() {
			if call, ok := n.core.NextHold(false); ok && !n.executor.Crashed {
				n.answerHold(call)
			}
		})
	})
}

func (a *agentNode) answerHold(call runner.HoldCall) {
	answer, verdict := a.executor.Hold(a.c.now, call)
	if verdict != runner.VerdictDone {
		a.core.HoldFailed(call, verdict)
		return
	}
	a.core.HandleHoldAnswer(call, answer)
}

// updateHolds answers the hold calls that are due and keeps one waiting at the
// executor, or several while answers get lost.
func (a *agentNode) updateHolds() {
	waiting := a.pendingHolds
	a.pendingHolds = nil
	for _, h := range waiting {
		switch {
		case a.executor.Crashed || h.lost && a.c.now.After(h.endsAt.Add(holdTimeoutMargin)):
			a.core.HoldFailed(h.call, runner.VerdictUnanswered)
		case !h.lost && (a.executor.HasEnds(h.call.AckedEnds) || a.c.now.After(h.endsAt)):
			h.call.LeaseUntil = 0 // the lease was renewed when the call arrived
			a.answerHold(h.call)
		default:
			a.pendingHolds = append(a.pendingHolds, h)
		}
	}
	for len(a.pendingHolds) == 0 || (a.core.AnswersLost() && len(a.pendingHolds) < maxHolds) {
		if !a.startHold() {
			return
		}
	}
}

// startHold makes a hold call and reports whether it waits at the executor.
func (a *agentNode) startHold() bool {
	call, ok := a.core.NextHold(true)
	if !ok || a.executor.Crashed {
		return false
	}
	lost := a.c.random.Float64() < a.c.lostAnswerShare
	answer, verdict := a.executor.Hold(a.c.now, call)
	if !lost && (verdict != runner.VerdictDone || len(answer.Ended) > 0 || call.Wait == 0) {
		a.answerHold(call)
		return false
	}
	a.pendingHolds = append(a.pendingHolds, pendingHold{call, a.c.now.Add(call.Wait), lost})
	return true
}
