package fencing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

const (
	self  wire.Incarnation = 100
	entry wire.Incarnation = 1
)

var epoch = time.Unix(1_700_000_000, 0)

// dispatchTask returns a task with a key that depends on the sequence number.
func dispatchTask(seq uint64) wire.DispatchTask {
	return wire.DispatchTask{Seq: seq, Key: job.KeyHash{byte(seq), byte(seq >> 8)}, Count: 1, Attempt: 1, BudgetMS: 10_000}
}

// newGuard returns a guard that fails the test if it detects a violation.
func newGuard(t interface{ Errorf(string, ...any) }) *Guard {
	return New(self, DefaultLimits, func(guarantee, detail string) { t.Errorf("%s violated: %s", guarantee, detail) })
}

// admitAndBegin dispatches a task and reports whether it was started.
func admitAndBegin(g *Guard, now time.Time, seq uint64) bool {
	return g.Admit(now, self, entry, dispatchTask(seq), "").Accepted && g.Begin(now, entry, seq) == ""
}

// Guards against a second start of a task when its dispatch is repeated while
// it runs, after it has ended or after its release.
func TestRepeatedDispatchStartsNothing(t *testing.T) {
	g := newGuard(t)
	g.Connected(epoch, entry)
	if !admitAndBegin(g, epoch, 1) {
		t.Fatal("first dispatch was not started")
	}
	if admission := g.Admit(epoch, self, entry, dispatchTask(1), ""); admission.Accepted || admission.Answer != nil {
		t.Fatalf("repeated dispatch of a running task: %+v", admission)
	}
	g.End(epoch, entry, wire.TaskAnswer{Seq: 1, Attempt: 1, Outcome: job.OK, Output: []byte("1")})
	if admission := g.Admit(epoch, self, entry, dispatchTask(1), ""); admission.Answer == nil || string(admission.Answer.Output) != "1" {
		t.Fatalf("repeated dispatch of an ended task: %+v", admission)
	}
	g.Release(epoch, entry, []uint64{1})
	if admission := g.Admit(epoch, self, entry, dispatchTask(1), ""); admission.Answer == nil || admission.Answer.NotStarted != wire.NotStartedDuplicate {
		t.Fatalf("repeated dispatch of a released task: %+v", admission)
	}
}

// Guards against starts for another incarnation of the agent, as when a
// dispatch arrives after the agent has restarted.
func TestDispatchForEarlierIncarnation(t *testing.T) {
	g := newGuard(t)
	g.Connected(epoch, entry)
	admission := g.Admit(epoch, self-1, entry, dispatchTask(1), "")
	if admission.Accepted || admission.Answer.NotStarted != wire.NotStartedIncarnation {
		t.Fatalf("admission = %+v", admission)
	}
}

// Guards against starting tasks that were buffered while the agent process was
// paused: the lease has lapsed, and buffered messages must not renew it.
func TestPausedAgentStartsNoBufferedTasks(t *testing.T) {
	g := newGuard(t)
	g.Connected(epoch, entry)
	if admission := g.Admit(epoch, self, entry, dispatchTask(1), ""); !admission.Accepted {
		t.Fatal("dispatch before the pause was refused")
	}
	later := epoch.Add(DefaultLimits.LeaseDuration + time.Millisecond)
	if g.RenewLease(later, entry) {
		t.Fatal("a message after the pause renewed the lease")
	}
	if reason := g.Begin(later, entry, 1); reason != wire.NotStartedLease {
		t.Fatalf("Begin of a task accepted before the pause = %q", reason)
	}
	if admission := g.Admit(later, self, entry, dispatchTask(2), ""); admission.Answer == nil || admission.Answer.NotStarted != wire.NotStartedLease {
		t.Fatalf("dispatch after the pause: %+v", admission)
	}
	g.Connected(later, entry)
	if !admitAndBegin(g, later, 3) {
		t.Fatal("dispatch on a new connection was refused")
	}
}

// Guards against starts for an entry that another entry has declared dead, and
// against losing the tasks that were started for it before.
func TestFencedEntryStartsNothing(t *testing.T) {
	g := newGuard(t)
	g.Connected(epoch, entry)
	admitAndBegin(g, epoch, 1)
	g.End(epoch, entry, wire.TaskAnswer{Seq: 1, Attempt: 1, Outcome: job.OK, Output: []byte("1")})
	admitAndBegin(g, epoch, 2)
	g.Admit(epoch, self, entry, dispatchTask(3), "")
	if alive, _ := g.Fence(epoch.Add(time.Second), entry, 3*time.Second); !alive {
		t.Fatal("an entry that was silent for less than the minimum was fenced")
	}
	alive, held := g.Fence(epoch.Add(4*time.Second), entry, 3*time.Second)
	if alive || len(held) != 2 {
		t.Fatalf("alive %v, held %+v; want the ended and the running task", alive, held)
	}
	if reason := g.Begin(epoch, entry, 3); reason != wire.NotStartedFenced {
		t.Fatalf("Begin of a task accepted before the fence = %q", reason)
	}
	g.Connected(epoch.Add(5*time.Second), entry)
	if admission := g.Admit(epoch.Add(5*time.Second), self, entry, dispatchTask(2), ""); admission.Answer != nil {
		t.Fatalf("a running task sent again after the fence is refused: %+v", admission.Answer)
	}
	if admission := g.Admit(epoch.Add(5*time.Second), self, entry, dispatchTask(1), ""); admission.Answer == nil || admission.Answer.Outcome != job.OK {
		t.Fatalf("an ended task sent again after the fence: %+v", admission)
	}
	if admission := g.Admit(epoch.Add(5*time.Second), self, entry, dispatchTask(4), ""); admission.Answer.NotStarted != wire.NotStartedFenced {
		t.Fatalf("admission after the fence = %+v", admission)
	}
	if _, fenced := g.End(epoch.Add(5*time.Second), entry, wire.TaskAnswer{Seq: 2, Attempt: 1, Outcome: job.OK}); !fenced {
		t.Fatal("the end of a task running at the fence is not reported to the recovering entry")
	}
}

// Guards against a resume message that settles a dispatch sent after it was
// written.
func TestResumeKeepsLaterDispatches(t *testing.T) {
	g := newGuard(t)
	g.Connected(epoch, entry)
	if !admitAndBegin(g, epoch, 6) {
		t.Fatal("dispatch was not started")
	}
	g.Admit(epoch, self, entry, dispatchTask(7), "")
	g.Resume(epoch, entry, 5, []uint64{4})
	if reason := g.Begin(epoch, entry, 7); reason != "" {
		t.Fatalf("a task that waited for its slot during the resume was refused: %q", reason)
	}
	if admission := g.Admit(epoch, self, entry, dispatchTask(6), ""); admission.Accepted || admission.Answer != nil {
		t.Fatalf("the running task was settled: %+v", admission)
	}
	if !admitAndBegin(g, epoch, 4) {
		t.Fatal("an unreleased sequence that never arrived was refused")
	}
	if admitAndBegin(g, epoch, 3) {
		t.Fatal("a sequence that the entry had given up was started")
	}
}

// Guards against memory that grows with the number of tasks of an entry, and
// against a second start of a sequence after the state of a silent entry was
// removed.
func TestSilentSenderKeepsOnlyHighWaterMark(t *testing.T) {
	g := newGuard(t)
	g.Connected(epoch, entry)
	for seq := uint64(1); seq <= 100; seq++ {
		admitAndBegin(g, epoch, seq)
		g.End(epoch, entry, wire.TaskAnswer{Seq: seq, Attempt: 1, Outcome: job.OK, Output: []byte("1")})
	}
	now := epoch.Add(DefaultLimits.SenderExpiry + time.Second)
	g.Expire(now)
	now = now.Add(DefaultLimits.ResultRetention + time.Second)
	g.Expire(now)
	if len(g.senders) != 0 || len(g.startCounts.counts) != 0 || g.heldBytes.Load() != 0 {
		t.Fatalf("left: %d senders, %d started, %d bytes", len(g.senders), len(g.startCounts.counts), g.heldBytes.Load())
	}
	g.Connected(now, entry)
	if admitAndBegin(g, now, 100) {
		t.Fatal("a sequence used before the silence was started again")
	}
	if !admitAndBegin(g, now, 101) {
		t.Fatal("a new sequence was refused")
	}
}

// Guards against held results that exceed the memory bound because new tasks
// are still accepted or released results are kept.
func TestHeldBytesBound(t *testing.T) {
	limits := DefaultLimits
	limits.MaxHeldBytes = 1000
	g := New(self, limits, func(string, string) {})
	g.Connected(epoch, entry)
	output := make([]byte, 400)
	for seq := uint64(1); seq <= 3; seq++ {
		admitAndBegin(g, epoch, seq)
		g.End(epoch, entry, wire.TaskAnswer{Seq: seq, Attempt: 1, Outcome: job.OK, Output: output})
	}
	if admission := g.Admit(epoch, self, entry, dispatchTask(4), ""); admission.Answer == nil || admission.Answer.NotStarted != wire.NotStartedWindow {
		t.Fatalf("admission above the bound = %+v", admission)
	}
	g.Release(epoch, entry, []uint64{1})
	g.Expire(epoch)
	if held := g.heldBytes.Load(); held != 800 {
		t.Fatalf("held %d bytes, want 800: the released result is dropped, the others are needed", held)
	}
}

// Guards against a fenced entry that never receives the refusal which reports
// its fence, because the agent closes each of its connections for the lapsed
// lease before refusing a dispatch.
func TestFencedEntryKeepsItsConnection(t *testing.T) {
	g := New(self, DefaultLimits, func(_, detail string) { t.Error(detail) })
	g.Connected(epoch, entry)
	later := epoch.Add(10 * time.Second)
	if g.RenewLease(later, entry) {
		t.Fatal("a lapsed lease was renewed")
	}
	g.Fence(later, entry, 3*time.Second)
	g.Connected(later, entry)
	if !g.RenewLease(later, entry) {
		t.Fatal("the connection of a fenced entry would be ended")
	}
	if admission := g.Admit(later, self, entry, dispatchTask(1), ""); admission.Answer.NotStarted != wire.NotStartedFenced {
		t.Fatalf("admission after the fence = %+v", admission)
	}
}

// Guards against any second start of a task, a start after a fence, and a start
// of a refused sequence, under random orders of dispatches, answers, releases,
// resumes, fences and lapsed leases.
func TestAtMostOneStartProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGuard(t)
		now := epoch
		entries := []wire.Incarnation{1, 2}
		fenced := map[wire.Incarnation]bool{}
		begun := map[taskID]int{}
		refusedSeqs := map[[2]uint64]bool{}
		for step := 0; step < 200; step++ {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 500, 3500, 70000}).Draw(t, "ms")) * time.Millisecond)
			from := rapid.SampledFrom(entries).Draw(t, "entry")
			seq := rapid.Uint64Range(1, 12).Draw(t, "seq")
			dispatch := dispatchTask(seq)
			dispatch.Key[15] = byte(from)
			switch rapid.IntRange(0, 8).Draw(t, "op") {
			case 0:
				g.Connected(now, from)
			case 1:
				g.RenewLease(now, from)
			case 2, 3:
				admission := g.Admit(now, self, from, dispatch, "")
				if admission.Answer != nil && admission.Answer.NotStarted != "" && admission.Answer.NotStarted != wire.NotStartedDuplicate &&
					g.lookup(from) != nil && admission.Answer.NotStarted != wire.NotStartedFenced {
					refusedSeqs[[2]uint64{uint64(from), seq}] = true
				}
			case 4:
				if g.Begin(now, from, seq) == "" {
					id := taskID{dispatch.Key, 0}
					begun[id]++
					if begun[id] > 1 {
						t.Fatalf("task of sequence %d of entry %d begun %d times", seq, from, begun[id])
					}
					if fenced[from] {
						t.Fatalf("entry %d started a task after its fence", from)
					}
					if refusedSeqs[[2]uint64{uint64(from), seq}] {
						t.Fatalf("sequence %d of entry %d was started after a refusal", seq, from)
					}
				}
			case 5:
				g.End(now, from, wire.TaskAnswer{Seq: seq, Attempt: 1, Outcome: job.OK})
			case 6:
				g.Release(now, from, []uint64{seq})
			case 7:
				high := rapid.Uint64Range(seq, 12).Draw(t, "high")
				g.Resume(now, from, high, []uint64{seq})
			case 8:
				if alive, _ := g.Fence(now, from, 3*time.Second); !alive {
					fenced[from] = true
				}
			}
			g.Expire(now)
		}
	})
}
