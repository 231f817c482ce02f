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
