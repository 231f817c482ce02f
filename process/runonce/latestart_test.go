package runonce

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// lateStart is a course of events: copies of the first start of the task get no answer, the
// task then starts again, the agent of its first target fails, the target restarts under its
// identity, and the copies are carried out there.
type lateStart struct {
	// copies is the number of starts without an answer; later ones are refused for refusedFor.
	copies     int
	refusedFor time.Duration
	// entryKilled kills the entry at the next start, and lets the agent fail at the one after
	// that, which the other entry orders.
	entryKilled bool
	// afterEnd lets the agent fail only once a run has ended, so that its end may count.
	afterEnd bool
	agent    agentFailure
}

// agentFailure is how the agent of the first target fails.
type agentFailure string

// Values of agentFailure.
const (
	agentKilled   agentFailure = "killed"
	agentFrozen   agentFailure = "frozen"
	agentCutOff   agentFailure = "cut_off"
	agentReplaced agentFailure = "replaced"
)

// Times of a lateStart. Without another run of the task, or an end of one, the agent fails
// after nextRunWait or nextEndWait; it fails countedAfter an end. The copies are carried out
// lateAfter the restart of the target.
const (
	nextRunWait      = 1500 * time.Millisecond
	nextEndWait      = 7 * time.Second
	takeoverWait     = 7 * time.Second
	countedAfter     = 200 * time.Millisecond
	agentDowntime    = 3 * time.Second
	successorDelay   = 300 * time.Millisecond
	successorLife    = 900 * time.Millisecond
	crashDelay       = 300 * time.Millisecond
	targetDowntime   = 500 * time.Millisecond
	lateAfter        = 200 * time.Millisecond
	lateStartHorizon = 40 * time.Second
)

func (l lateStart) String() string {
	return fmt.Sprintf("copies=%d refused=%v after_end=%v agent=%s entry_killed=%v", l.copies, l.refusedFor, l.afterEnd, l.agent, l.entryKilled)
}

// lateStartRun is a lateStart that is being played.
type lateStartRun struct {
	lateStart
	world *world
	// index is the target of the first start, or -1 before it.
	index   int
	sent    int
	firstAt time.Time
	held    []heldStart
	failed  bool
	// entryKilledAt is when the entry was killed, or zero.
	entryKilledAt time.Time
}

// heldStart is a start that got no answer.
type heldStart struct {
	call   runner.StartCall
	sentAt time.Time
}

// intercept leaves a start of the first run without an answer, or refuses it. It returns
// false for all other starts.
func (l *lateStartRun) intercept(a *agentLife, call runner.StartCall) bool {
	w, t := l.world, a.world.targets[a.index]
	if call.Run.Task.Job != jobID || l.index >= 0 && l.index != a.index {
		return false
	}
	if l.index < 0 {
		l.index, l.firstAt = a.index, now()
		switch {
		case l.entryKilled:
			w.after(nextRunWait, l.killEntry)
			w.after(nextRunWait+takeoverWait, l.fail)
		case l.afterEnd:
			w.after(nextEndWait, l.fail)
		default:
			w.after(nextRunWait, l.fail)
		}
	}
	reply := func(verdict runner.Verdict, delay time.Duration) {
		w.after(delay, func() {
			a.deliver(func() {
				a.core.HandleStartAnswer(call, runner.Answer{Verdict: verdict, Clock: t.executor.Clock(t.now())})
			})
		})
	}
	if l.sent++; l.sent <= l.copies {
		l.held = append(l.held, heldStart{call, now()})
		reply(runner.VerdictUnanswered, callTimeout)
		return true
	}
	if now().Sub(l.firstAt) < l.refusedFor {
		reply(runner.VerdictUnhealthy, timeStep)
		return true
	}
	return false
}

// noteStart lets the agent fail once the task has started again.
func (l *lateStartRun) noteStart() {
	switch {
	case l.sent == 0 || l.afterEnd:
	case l.entryKilled && l.entryKilledAt.IsZero():
		l.killEntry()
	default:
		l.fail()
	}
}

// killEntry kills the entry that ordered the first start.
func (l *lateStartRun) killEntry() {
	if l.entryKilledAt.IsZero() {
		l.entryKilledAt = now()
		killEntry(l.world, fault{kind: &faultKind{name: "kill_entry"}, duration: agentDowntime})
	}
}

// noteEnd lets the agent fail once an end of the task may count.
func (l *lateStartRun) noteEnd(end batch.End) {
	if l.afterEnd && end == batch.EndDone {
		l.world.after(countedAfter, l.fail)
	}
}

// fail lets the agent of the first target fail, and the target restart.
func (l *lateStartRun) fail() {
	if l.failed {
		return
	}
	l.failed = true
	w := l.world
	w.oracle.log("the agent of target %d is %s", l.index, l.agent)
	lasting := fault{kind: &faultKind{name: string(l.agent)}, duration: agentDowntime}
	down := fault{kind: &faultKind{name: "restart_target"}, duration: targetDowntime}
	crashAfter := crashDelay
	switch l.agent {
	case agentKilled:
		w.killAgentAt(l.index, lasting)
	case agentFrozen:
		w.freezeAgentAt(l.index, lasting)
	case agentCutOff:
		w.cut(lasting, func(link *link) bool { return link.agent == l.index }, true, true)
	case agentReplaced:
		w.killAgentAt(l.index, fault{kind: lasting.kind, duration: successorDelay})
		w.after(successorDelay+successorLife, func() { w.killAgentAt(l.index, lasting) })
		crashAfter += successorDelay + successorLife
	}
	w.after(crashAfter, func() { w.crashTargetAt(l.index, down, true) })
	w.after(crashAfter+targetDowntime+lateAfter, l.carryOut)
}

// carryOut carries out the copies that got no answer.
func (l *lateStartRun) carryOut() {
	t := l.world.targets[l.index]
	for _, held := range l.held {
		if now().Sub(held.sentAt) <= wire.MaxCallDelay {
			l.world.oracle.log("target %d carries out the start of run %d: %s", l.index, held.call.Run.Number, t.executor.Start(t.now(), held.call).Verdict)
		}
	}
}

// lateStarts returns all combinations for a kind of job.
func lateStarts(durable bool) []scenario {
	var variants []scenario
	for _, work := range ms(60, 600, 4000) {
		for _, agent := range []agentFailure{agentKilled, agentFrozen, agentCutOff, agentReplaced} {
			for _, copies := range []int{1, 3} {
				for _, refusedFor := range ms(0, 600, 8000) {
					for _, afterEnd := range []bool{false, true} {
						late := lateStart{copies: copies, refusedFor: refusedFor, afterEnd: afterEnd, agent: agent}
						variants = append(variants, scenario{durable: durable, work: work, late: &late})
						if !afterEnd {
							killed := late
							killed.entryKilled = true
							variants = append(variants, scenario{durable: durable, work: work, late: &killed})
						}
					}
				}
			}
		}
	}
	return variants
}

// Guards against a task that runs elsewhere, or has ended, when the next life of its former
// target carries out a start whose stop the life before had confirmed (review/12).
func TestStopOfAFormerLifeFreesNoTask(t *testing.T) {
	for _, durable := range []bool{true, false} {
		for n, s := range lateStarts(durable) {
			if *index >= 0 && *index != n {
				continue
			}
			s.trace = *index >= 0
			found, trace := play(t, s)
			for _, line := range trace {
				fmt.Println(line)
			}
			if len(found) > 0 {
				t.Errorf("-runonce.index=%d: %s %s\n\t%v", n, s, s.late, found)
			}
		}
	}
}
