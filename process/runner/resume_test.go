package runner_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
)

// enrolments counts the enrolments that the agent has sent.
func (h *harness) enrolments() (n int) {
	for _, m := range h.sent {
		if _, ok := m.(*wire.Enroll); ok {
			n++
		}
	}
	return n
}

// Guards against an agent that waits for the next message of an entry, up to seconds later,
// before it enrolls again after its session has ended, because a run was still being
// stopped when the last message came.
func TestSessionResumesOnceItsLastRunHasEnded(t *testing.T) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.advance(wire.SessionTTL + time.Millisecond)
	h.core.Tick()
	h.sequence++
	h.core.HandleMessage(entryID, &wire.Orders{Sequence: h.sequence, ClockEcho: h.now.UnixMicro()})
	if n := h.enrolments(); n != 1 || len(h.stops) != 1 {
		t.Fatalf("%d enrolments and %d stops while the run is alive, want 1 of each", n, len(h.stops))
	}
	h.core.HandleStopAnswer(h.stops[0], runner.Answer{Verdict: runner.VerdictDone, Clock: h.clock})
	h.completeHold(1, nil, h.endRows(run, "stopped"))
	if n := h.enrolments(); n != 2 {
		t.Errorf("%d enrolments after the end of the run, want 2", n)
	}
}

// Guards against a target that opens and closes with each message, because one entry has no
// configuration or is of a version that does not say whether capacity is enforced.
func TestOneEntryThatKnowsThatCapacityIsEnforcedSuffices(t *testing.T) {
	const other = wire.Incarnation(8)
	h := &harness{t: t, now: time.UnixMilli(1_000_000), clock: 1000}
	h.core = runner.New(h, runner.Options{Agent: 1, Node: "agent-1", Zone: "a", Fence: 10})
	h.core.HandleTargetFound(runner.TargetReport{Target: targetID, Service: "card", Capacity: h.targetCapacity()})
	h.completeHold(1, nil, nil)
	h.core.Connected(entryID)
	h.core.Connected(other)
	for entry, enforced := range map[wire.Incarnation]bool{entryID: true, other: false} {
		h.core.HandleMessage(entry, &wire.Orders{Sequence: 1, ClockEcho: h.now.UnixMicro(), CapacityEnforced: enforced})
	}
	if closed := h.core.Dump().Closed; closed != "" {
		t.Errorf("closed %q, want an open target", closed)
	}
}
