package scheduler

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// Guards against batch work that is held back so long that it misses its
// deadline or, with no run time known yet, never starts; and against batch work
// that still fills all slots at once.
func TestHeldBackBatchWorkIsEvenAndInTime(t *testing.T) {
	const tasks, run = 200, time.Second
	s := withTargets(Settings{BatchSpread: 0.5}, Target{ID: 1, Slots: 40})
	for i := range tasks {
		task := urgent(i, 100*time.Second)
		task.Priority = job.Batch
		mustAdmit(t, s, start, task)
	}
	ends := map[time.Time][]Assignment{}
	running, most, sent := 0, 0, 0
	for now := start; now.Before(at(55 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, a := range ends[now] {
			s.Finish(now, a.Target, a.Task.ID, EndOK, run)
			running--
		}
		for _, a := range s.Assign(now, testRandom) {
			ends[now.Add(run)] = append(ends[now.Add(run)], a)
			running++
			sent++
		}
		most = max(most, running)
	}
	if sent != tasks {
		t.Errorf("%d of %d tasks sent within half of their deadline", sent, tasks)
	}
	// An even rate keeps 200 tasks x 1 s / 50 s = 4 slots busy.
	if most > 6 {
		t.Errorf("%d slots busy at once, want about 4", most)
	}
}

// Guards against batch work that is admitted in overload, waits for its whole
// deadline behind urgent work and expires, instead of being refused at once.
func TestBatchIsRefusedEarlyBehindUrgentWork(t *testing.T) {
	s := withTargets(Settings{BatchReserve: -1}, Target{ID: 1, Slots: 1})
	refused, expired, sent := 0, 0, 0
	for step := range 600 {
		now := at(time.Duration(step) * time.Second)
		arrive := func(index int, priority job.Priority, patience time.Duration) bool {
			task := Task{ID: TaskID{Index: index}, Priority: priority, Enqueued: now, Deadline: now.Add(patience)}
			return s.Admit(now, []Task{task}) == nil
		}
		arrive(2*step, job.Urgent, time.Hour)
		if !arrive(2*step+1, job.Batch, 2*time.Minute) {
			refused++
		}
		expired += len(s.Expire(now))
		for _, a := range s.Assign(now, testRandom) {
			sent++
			s.Finish(now.Add(900*time.Millisecond), 1, a.Task.ID, EndOK, 900*time.Millisecond)
		}
	}
	if refused < 4*expired || sent < 590 {
		t.Errorf("%d batch tasks refused, %d expired, %d tasks sent", refused, expired, sent)
	}
}
