package scheduler

import (
	"time"

	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// shapeMemory is how long the capacity of a target that left still counts as
// one that may return. Replacing an instance takes minutes.
const shapeMemory = time.Hour

const stepAdmit = "admit"

// maxRetryAfter bounds the hint that goes with a refusal.
const maxRetryAfter = 30 * time.Second

// Admit queues all tasks of a submission or none. The refusal is one of
// no_targets, cannot_run, overloaded or, for a task that already waits or runs,
// key_conflict. All tasks of one call have the same priority and deadline.
func (s *Scheduler) Admit(now time.Time, tasks []Task) *refusal.Error {
	if len(tasks) == 0 {
		return nil
	}
	seen := make(map[TaskID]bool, len(tasks))
	for _, task := range tasks {
		if seen[task.ID] || s.pending(task.ID) {
			s.violations++
			return refusal.New(refusal.KeyConflict, stepAdmit, "task %d already waits or runs", task.ID.Index).WithRunUnknown()
		}
		seen[task.ID] = true
		if refused := s.checkTargets(now, task.Needs); refused != nil {
			return refused
		}
	}
	if s.queue.len()+len(tasks) > s.settings.QueueLimit {
		return refusal.New(refusal.Overloaded, stepAdmit, "%d tasks wait, limit %d",
			s.queue.len(), s.settings.QueueLimit).WithRetryAfter(s.retryAfter(0))
	}
	if refused := s.checkWait(now, tasks); refused != nil {
		return refused
	}
	for _, task := range tasks {
		s.queue.push(now, task)
	}
	return nil
}

func (s *Scheduler) checkTargets(now time.Time, needs job.Needs) *refusal.Error {
	for _, t := range s.order {
		if t.couldRun(needs) {
			return nil
		}
	}
	if len(s.order) == 0 || s.wasPresent(now, needs) {
		return refusal.New(refusal.NoTargets, stepAdmit, "no target that can run the task is up").WithRetryAfter(time.Second)
	}
	return refusal.New(refusal.CannotRun, stepAdmit, "no target has %d MB of memory and %d accelerators",
		needs.MemoryMB, needs.Accelerators)
}

// wasPresent reports whether a target that left lately could run the task.
func (s *Scheduler) wasPresent(now time.Time, needs job.Needs) bool {
	found := false
	for capacity, seen := range s.shapes {
		if now.Sub(seen) > shapeMemory {
			delete(s.shapes, capacity)
		} else if covers(capacity, needs) {
			found = true
		}
	}
	return found
}

// checkWait refuses a submission whose last task could not end in time.
func (s *Scheduler) checkWait(now time.Time, tasks []Task) *refusal.Error {
	last := tasks[len(tasks)-1]
	wait := s.estimateWait(now, last.Priority, len(tasks))
	remaining := last.Deadline.Sub(now)
	if wait == 0 || wait+2*s.runTime.value <= remaining {
		return nil
	}
	return refusal.New(refusal.Overloaded, stepAdmit, "estimated wait of %v leaves too little of the remaining %v",
		wait.Round(time.Millisecond), remaining.Round(time.Millisecond)).WithRetryAfter(s.retryAfter(wait - remaining))
}

// estimateWait returns how long the last of count new tasks would wait: the
// tasks ahead of it, divided by the rate at which the slots that other entries
// leave to this one become free.
func (s *Scheduler) estimateWait(now time.Time, priority job.Priority, count int) time.Duration {
	ahead := s.queue.waiting[job.Urgent] + count
	if priority == job.Batch {
		ahead += s.queue.waiting[job.Batch]
		if measured, known := s.batchWait(now, count); known {
			return measured
		}
	}
	s.refreshTimed(now)
	total := s.pool.sums
	if ahead <= total.idle {
		return 0
	}
	return time.Duration(ahead-total.idle) * s.runTime.value / time.Duration(max(1, total.share))
}

// batchWait estimates the wait of batch work from the rate at which it has
// started lately, since urgent work goes first. The rate says nothing unless batch
// tasks were waiting all the time, or if batch work is held back on purpose.
func (s *Scheduler) batchWait(now time.Time, count int) (time.Duration, bool) {
	waits := s.queue.waiting[job.Batch] > 0 && now.Sub(s.queue.batchSince) >= s.batchStarts.span()
	if s.settings.BatchSpread > 0 || !waits {
		return 0, false
	}
	started := max(1, s.batchStarts.total(now))
	waiting := s.queue.waiting[job.Batch] + count
	return time.Duration(waiting) * s.batchStarts.span() / time.Duration(started), true
}

func (s *Scheduler) retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, time.Second), maxRetryAfter)
}
