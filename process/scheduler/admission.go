package scheduler

import (
	"time"

	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// capacityRetention is how long the capacity of a target that left is kept as
// one that may return. Replacing an instance takes minutes.
const capacityRetention = time.Hour

const stepAdmit = "admit"

// maxRetryAfter limits the Retry-After time of a refusal.
const maxRetryAfter = 30 * time.Second

// Admit queues all tasks of a submission or none. The refusal is one of
// no_targets, cannot_run, overloaded or, for a task that already waits or runs,
// key_conflict. All tasks of one call must have the same priority and deadline.
func (s *Scheduler) Admit(now time.Time, tasks []Task) *refusal.Error {
	if len(tasks) == 0 {
		return nil
	}
	seen := make(map[TaskID]bool, len(tasks))
	for _, task := range tasks {
		if seen[task.ID] || s.isQueuedOrRunning(task.ID) {
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

// checkTargets refuses a task that no live target could run: with no_targets if
// there is no live target or one that left recently could run it, otherwise with
// cannot_run.
func (s *Scheduler) checkTargets(now time.Time, needs job.Needs) *refusal.Error {
	for _, t := range s.liveTargets {
		if t.canRunWhenIdle(needs) {
			return nil
		}
	}
	if len(s.liveTargets) == 0 || s.couldRunRecently(now, needs) {
		return refusal.New(refusal.NoTargets, stepAdmit, "no target that can run the task is up").WithRetryAfter(time.Second)
	}
	return refusal.New(refusal.CannotRun, stepAdmit, "no target has %d MB of memory and %d accelerators",
		needs.MemoryMB, needs.Accelerators)
}

// couldRunRecently reports whether a target of the last capacityRetention could
// run the task.
func (s *Scheduler) couldRunRecently(now time.Time, needs job.Needs) bool {
	found := false
	for capacity, seen := range s.recentCapacities {
		if now.Sub(seen) > capacityRetention {
			delete(s.recentCapacities, capacity)
		} else if covers(capacity, needs) {
			found = true
		}
	}
	return found
}

// checkWait refuses a submission whose last task would probably not end before
// its deadline.
func (s *Scheduler) checkWait(now time.Time, tasks []Task) *refusal.Error {
	last := tasks[len(tasks)-1]
	wait := s.estimateWait(now, last.Priority, len(tasks))
	remaining := last.Deadline.Sub(now)
	if wait == 0 || wait+2*s.meanRunTime.value <= remaining {
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
		if measured, known := s.estimateBatchWait(now, count); known {
			return measured
		}
	}
	s.refreshTimeDependent(now)
	total := s.pool.totals
	if ahead <= total.idleSlots {
		return 0
	}
	return time.Duration(ahead-total.idleSlots) * s.meanRunTime.value / time.Duration(max(1, total.entrySlots))
}

// estimateBatchWait estimates the wait of batch work from its recent start rate,
// because urgent work goes first. It returns false if the rate does not show the
// capacity for batch work: batch tasks have not waited during the whole window,
// or BatchSpread delays them.
func (s *Scheduler) estimateBatchWait(now time.Time, count int) (time.Duration, bool) {
	waitedWholeWindow := s.queue.waiting[job.Batch] > 0 && now.Sub(s.queue.batchWaitingSince) >= s.batchStarts.span()
	if s.settings.BatchSpread > 0 || !waitedWholeWindow {
		return 0, false
	}
	started := max(1, s.batchStarts.total(now))
	waiting := s.queue.waiting[job.Batch] + count
	return time.Duration(waiting) * s.batchStarts.span() / time.Duration(started), true
}

func (s *Scheduler) retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, time.Second), maxRetryAfter)
}
