package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func urgentTask(index int, deadline time.Duration) Task {
	return Task{ID: TaskID{Index: index}, Priority: job.Urgent, Enqueued: start, Deadline: at(deadline)}
}

func withTargets(settings Settings, targets ...Target) *Scheduler {
	s := New(settings)
	for _, t := range targets {
		s.SetTarget(start, t)
	}
	return s
}

func mustAdmit(t *testing.T, s *Scheduler, now time.Time, tasks ...Task) {
	t.Helper()
	if refused := s.Admit(now, tasks); refused != nil {
		t.Fatalf("unexpected refusal: %v", refused)
	}
}

// Guards against a task whose deadline has passed keeping the tasks behind it
// from being sent until the next call of Expire.
func TestExpiredTaskDoesNotBlockQueue(t *testing.T) {
	s := withTargets(Settings{}, Target{ID: 1, Slots: 1})
	mustAdmit(t, s, start, urgentTask(0, time.Second))
	mustAdmit(t, s, start, urgentTask(1, time.Minute))
	assigned := s.Assign(at(2*time.Second), newRandom())
	if len(assigned) != 1 || assigned[0].Task.ID.Index != 1 {
		t.Fatalf("assigned %v, want task 1", assigned)
	}
	if expired := s.Expire(at(2 * time.Second)); len(expired) != 1 || expired[0].ID.Index != 0 {
		t.Fatalf("expired %v, want task 0", expired)
	}
}

// Guards against a task being queued, and so started, twice: while it waits,
// while it runs, and when one submission names it twice.
func TestTaskIsNeverQueuedTwice(t *testing.T) {
	s := withTargets(Settings{}, Target{ID: 1, Slots: 1}, Target{ID: 2, Slots: 1})
	task := urgentTask(0, time.Minute)
	if s.Admit(start, []Task{task, task}) == nil {
		t.Error("admitted a submission that names a task twice")
	}
	mustAdmit(t, s, start, task)
	if s.Admit(start, []Task{task}) == nil {
		t.Error("admitted a waiting task")
	}
	s.Assign(start, newRandom())
	if s.Admit(start, []Task{task}) == nil {
		t.Error("admitted a running task")
	}
	if s.Retry(start, task) {
		t.Error("requeued a running task")
	}
}

// Guards against the permanent refusal cannot_run when a target that could run
// the job is away only for a moment, such as during a restart or the loss of a
// zone.
func TestCannotRunCountsTargetsThatLeftRecently(t *testing.T) {
	s := withTargets(Settings{}, Target{ID: 1, Slots: 1}, Target{ID: 2, Slots: 1, MemoryMB: 100})
	large := urgentTask(0, time.Minute)
	large.Needs.MemoryMB = 100
	s.RemoveTarget(start, 2)
	expectCode(t, s.Admit(start, []Task{large}), refusal.NoTargets)
	large.Needs.MemoryMB = 101
	expectCode(t, s.Admit(start, []Task{large}), refusal.CannotRun)
	large.Needs.MemoryMB = 100
	expectCode(t, s.Admit(at(2*capacityRetention), []Task{large}), refusal.CannotRun)
}

func expectCode(t *testing.T, refused *refusal.Error, code refusal.Code) {
	t.Helper()
	if refused == nil || refused.Code != code || refused.Run != refusal.NotRun {
		t.Errorf("got %v, want %s as not run", refused, code)
	}
}

// Guards against small tasks keeping a target so busy that a task which needs
// most of it never fits.
func TestLargeTaskIsNotStarvedBySmallTasks(t *testing.T) {
	s := withTargets(Settings{}, Target{ID: 1, Slots: 4, MemoryMB: 4})
	random := newRandom()
	next := 1
	refill := func(now time.Time) []Assignment {
		for s.Dump(start).WaitingUrgent < 8 {
			small := urgentTask(next, time.Hour)
			small.Enqueued, small.Needs.MemoryMB = now, 1
			mustAdmit(t, s, now, small)
			next++
		}
		return s.Assign(now, random)
	}
	running := refill(start)
	large := urgentTask(0, time.Hour)
	large.Needs.MemoryMB = 4
	mustAdmit(t, s, start, large)
	for now := start; now.Before(at(time.Minute)); now = now.Add(100 * time.Millisecond) {
		done := running[0]
		running = running[1:]
		s.Finish(now, 1, done.Task.ID, EndOK, 400*time.Millisecond)
		for _, a := range refill(now) {
			if a.Task.ID.Index == 0 {
				return
			}
			running = append(running, a)
		}
		if len(running) == 0 {
			t.Fatal("the target is idle and the large task still waits")
		}
	}
	t.Fatal("the large task did not start within a minute")
}

// Guards against aging that lets batch work displace urgent work, and against
// batch work that never starts while urgent work keeps the slots busy.
func TestBatchAgingIsBounded(t *testing.T) {
	s := withTargets(Settings{BatchAging: time.Second}, Target{ID: 1, Slots: 1})
	for i := range 400 {
		task := urgentTask(i, time.Hour)
		if i%2 == 1 {
			task.Priority = job.Batch
		}
		mustAdmit(t, s, start, task)
	}
	now, batch := at(2*time.Second), 0
	for range 100 {
		a := s.Assign(now, newRandom())[0]
		if a.Task.Priority == job.Batch {
			batch++
		}
		s.Finish(now, 1, a.Task.ID, EndOK, time.Millisecond)
	}
	if batch != 100/agedBatchInterval {
		t.Errorf("%d of 100 starts were batch work, want %d", batch, 100/agedBatchInterval)
	}
}

// Guards against batch work that takes the last idle slots, so that an urgent
// task has to wait for a batch task to end. The limit must hold for aged batch
// work too, which otherwise fills all slots in overload.
func TestBatchLeavesReservedSlots(t *testing.T) {
	s := withTargets(Settings{BatchReserve: 0.25, BatchAging: time.Nanosecond}, Target{ID: 1, Slots: 8})
	for i := range 20 {
		task := urgentTask(i, time.Hour)
		task.Priority = job.Batch
		mustAdmit(t, s, start, task)
	}
	sent := 0
	for range 10 {
		n := len(s.Assign(at(time.Second), newRandom()))
		if idle := 8 - sent; n > (idle+1)/2 {
			t.Errorf("%d batch tasks sent at once into %d idle slots, want at most half", n, idle)
		}
		sent += n
		s.Report(at(time.Second), 1, wire.Load{Running: sent})
	}
	if sent != 6 {
		t.Errorf("%d batch tasks sent, want 6 of 8 slots", sent)
	}
	mustAdmit(t, s, start, urgentTask(100, time.Hour))
	if n := len(s.Assign(start, newRandom())); n != 1 {
		t.Errorf("%d urgent tasks sent, want 1", n)
	}
}

// Guards against sending into slots that other entries use.
func TestReportedLoadLimitsSends(t *testing.T) {
	s := withTargets(Settings{}, Target{ID: 1, Slots: 8})
	s.Report(start, 1, wire.Load{Running: 5})
	for i := range 8 {
		mustAdmit(t, s, start, urgentTask(i, time.Hour))
	}
	if n := len(s.Assign(start, newRandom())); n != 3 {
		t.Errorf("%d tasks sent, want 3", n)
	}
}

// Guards against early refusal that considers the waiting time only: a task that
// starts just before its deadline wastes the slot.
func TestEarlyRefusalIncludesRunTime(t *testing.T) {
	s := withTargets(Settings{}, Target{ID: 1, Slots: 1})
	mustAdmit(t, s, start, urgentTask(0, time.Hour))
	s.Assign(start, newRandom())
	s.Finish(start, 1, TaskID{}, EndOK, time.Second)
	for i := 1; i <= 3; i++ {
		mustAdmit(t, s, start, urgentTask(i, time.Hour))
	}
	expectCode(t, s.Admit(start, []Task{urgentTask(9, 3500*time.Millisecond)}), refusal.Overloaded)
	mustAdmit(t, s, start, urgentTask(10, 5*time.Second))
}

// Guards against slots spent in overload on tasks that are about to time out,
// and against dropping a task for a short deadline alone.
func TestTaskThatCannotEndInTimeIsSkippedOnlyWhenOthersWait(t *testing.T) {
	s := withTargets(Settings{}, Target{ID: 1, Slots: 1})
	mustAdmit(t, s, start, urgentTask(0, time.Hour))
	s.Assign(start, newRandom())
	mustAdmit(t, s, start, urgentTask(1, 4*time.Second))
	mustAdmit(t, s, start, urgentTask(2, time.Hour))
	s.Finish(start, 1, TaskID{Index: 0}, EndOK, time.Second)
	assigned := s.Assign(at(3500*time.Millisecond), newRandom())
	if len(assigned) != 1 || assigned[0].Task.ID.Index != 2 {
		t.Fatalf("assigned %v, want task 2", assigned)
	}
	s.Finish(at(4*time.Second), 1, TaskID{Index: 2}, EndOK, time.Second)
	short := urgentTask(3, 4500*time.Millisecond)
	short.Enqueued = at(4 * time.Second)
	mustAdmit(t, s, short.Enqueued, short)
	if n := len(s.Assign(short.Enqueued, newRandom())); n != 1 {
		t.Errorf("a task with a short deadline was not sent to an idle target")
	}
}
