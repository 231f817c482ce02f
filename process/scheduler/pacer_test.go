package scheduler

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// Guards against batch work that is delayed so long that it misses its deadline
// or, while no run time is known, never starts; and against batch work that
// fills all slots at once despite BatchSpread.
func TestSpreadBatchWorkIsEvenAndInTime(t *testing.T) {
	const tasks, run = 200, time.Second
	s := withTargets(Settings{BatchSpread: 0.5}, Target{ID: 1, Slots: 40})
	for i := range tasks {
		task := urgentTask(i, 100*time.Second)
		task.Priority = job.Batch
		mustAdmit(t, s, start, task)
	}
	ends := map[time.Time][]Assignment{}
	running, peak, sent := 0, 0, 0
	for now := start; now.Before(at(55 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, a := range ends[now] {
			s.Finish(now, a.Target, a.Task.ID, EndOK, run)
			running--
		}
		for _, a := range s.Assign(now, sharedRandom) {
			ends[now.Add(run)] = append(ends[now.Add(run)], a)
			running++
			sent++
		}
		peak = max(peak, running)
	}
	if sent != tasks {
		t.Errorf("%d of %d tasks sent within half of their deadline", sent, tasks)
	}
	// An even rate keeps 200 tasks x 1 s / 50 s = 4 slots busy.
	if peak > 6 {
		t.Errorf("%d slots busy at once, want about 4", peak)
	}
}

// Guards against batch work that is admitted in overload, waits for its whole
// deadline behind urgent work and expires, instead of being refused at once.
func TestBatchIsRefusedEarlyBehindUrgentWork(t *testing.T) {
	s := withTargets(Settings{BatchReserve: -1}, Target{ID: 1, Slots: 1})
	refused, expired, sent := 0, 0, 0
	for step := range 600 {
		now := at(time.Duration(step) * time.Second)
		admit := func(index int, priority job.Priority, timeout time.Duration) bool {
			task := Task{ID: TaskID{Index: index}, Priority: priority, Enqueued: now, Deadline: now.Add(timeout)}
			return s.Admit(now, []Task{task}) == nil
		}
		admit(2*step, job.Urgent, time.Hour)
		if !admit(2*step+1, job.Batch, 2*time.Minute) {
			refused++
		}
		expired += len(s.Expire(now))
		for _, a := range s.Assign(now, sharedRandom) {
			sent++
			s.Finish(now.Add(900*time.Millisecond), 1, a.Task.ID, EndOK, 900*time.Millisecond)
		}
	}
	if refused < 4*expired || sent < 590 {
		t.Errorf("%d batch tasks refused, %d expired, %d tasks sent", refused, expired, sent)
	}
}
