// Package scheduler decides, for one service, which waiting task is sent to
// which target and when. It performs no input or output: the caller passes in
// the time and the random numbers and sends the assigned tasks. A Scheduler is
// not safe for concurrent use.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// TaskID identifies a task of a submission.
type TaskID struct {
	Key   job.KeyHash
	Index int
}

// Task is a task that waits for a target or runs on one.
type Task struct {
	ID                 TaskID
	Team               string
	Priority           job.Priority
	Enqueued, Deadline time.Time
	Needs              job.Needs
	Idempotent         bool
	// Attempt and Avoid are set by the caller before Retry. The target Avoid is
	// used only if no other target can run the task.
	Attempt int
	Avoid   wire.Incarnation
	// Busy is set before Retry if the agent had no room for the task.
	Busy bool
}

// Target describes a back end, as reported by its agent.
type Target struct {
	ID           wire.Incarnation
	Name, Zone   string
	Slots        int
	MemoryMB     int
	Accelerators int
}

// Assignment is a task that is to be sent to a target now.
type Assignment struct {
	Task   Task
	Target wire.Incarnation
}

// End is the outcome of an assignment.
type End uint8

// Values of End. EndFailed, EndTimeout and EndNotStarted count against the
// target: one that refuses everything is always idle and would attract all work.
// EndBusy does not, since it shows that the target works.
const (
	EndOK End = iota
	EndFailed
	EndTimeout
	EndCancelled
	// EndUnknown means that the outcome of the task is not known.
	EndUnknown
	// EndNotStarted means that the task was refused or could not be sent.
	EndNotStarted
	// EndBusy means that the agent had no room for the task.
	EndBusy
)

// Scheduler holds the queues of one service and the state of its targets.
type Scheduler struct {
	settings Settings
	queue    queue
	targets  map[wire.Incarnation]*target
	// liveTargets is in the order of registration, so that the same calls make
	// the same choices.
	liveTargets []*target
	pool        pool
	// rounds counts calls of Assign.
	rounds uint64
	// running maps every assignment that has not ended to its target.
	running map[TaskID]*target
	// recentCapacities holds the time at which each combination of capacities
	// was last present.
	recentCapacities map[job.Needs]time.Time
	retryBudget      retryBudget
	meanRunTime      movingAverage
	pacer            pacer
	// batchStarts counts recent starts of batch tasks.
	batchStarts slidingWindow
	// runningUrgent counts this entry's running urgent tasks.
	runningUrgent    int
	violations       int
	startsSinceBatch int
}

// New returns a scheduler without targets.
func New(settings Settings) *Scheduler {
	return &Scheduler{
		settings:         settings.withDefaults(),
		queue:            newQueue(),
		targets:          map[wire.Incarnation]*target{},
		running:          map[TaskID]*target{},
		recentCapacities: map[job.Needs]time.Time{},
		retryBudget:      retryBudget{successes: slidingWindow{bucketWidth: retryBucketWidth}, retries: slidingWindow{bucketWidth: retryBucketWidth}},

		batchStarts: slidingWindow{bucketWidth: batchStartBucketWidth},
	}
}

// Configure replaces the settings. It does not affect tasks that wait or run.
func (s *Scheduler) Configure(settings Settings) {
	s.settings = settings.withDefaults()
	s.pool.stale = true
}

// SetTarget adds a target, or updates the target with the same incarnation. If a
// removed target is added again, the tasks that still run on it are kept.
func (s *Scheduler) SetTarget(now time.Time, description Target) {
	t, known := s.targets[description.ID]
	if !known {
		t = newTarget()
		s.targets[description.ID] = t
	}
	t.Target = description
	s.recentCapacities[t.capacity()] = now
	if !t.live {
		t.live = true
		s.liveTargets = append(s.liveTargets, t)
	}
	s.refresh(now, t)
}

// RemoveTarget stops sending to a target that left, died or stopped reporting.
// Its running tasks are kept until Finish is called for each of them.
func (s *Scheduler) RemoveTarget(now time.Time, id wire.Incarnation) {
	t, known := s.targets[id]
	if !known || !t.live {
		return
	}
	t.live = false
	s.recentCapacities[t.capacity()] = now
	for i := range s.liveTargets {
		if s.liveTargets[i] == t {
			s.liveTargets = append(s.liveTargets[:i], s.liveTargets[i+1:]...)
			break
		}
	}
	s.refresh(now, t)
	s.deleteIfUnused(t)
}

func (s *Scheduler) deleteIfUnused(t *target) {
	if !t.live && len(t.running) == 0 {
		delete(s.targets, t.ID)
	}
}

// Report records the load that an agent sent with an answer or a heartbeat. It
// is called after Finish for the tasks of the same answer.
func (s *Scheduler) Report(now time.Time, id wire.Incarnation, load wire.Load) {
	if t, known := s.targets[id]; known {
		t.sentSinceReport = 0
		t.otherEntryTasks = max(0, load.Running+load.Queued-len(t.running))
		s.refresh(now, t)
	}
}

// Grant adds slots that an agent has reserved for this entry. Only the policy
// Credits uses them; each assignment spends one.
func (s *Scheduler) Grant(now time.Time, id wire.Incarnation, slots int) {
	if t, known := s.targets[id]; known {
		t.credits += slots
		s.refresh(now, t)
	}
}

// Finish ends an assignment. took is the run time at the target. The call has no
// effect if the assignment is not known.
func (s *Scheduler) Finish(now time.Time, id wire.Incarnation, task TaskID, end End, took time.Duration) {
	t, known := s.targets[id]
	if !known {
		return
	}
	ended, running := t.finish(task)
	if !running {
		return
	}
	if ended.Priority == job.Urgent {
		s.runningUrgent--
	}
	delete(s.running, task)
	t.sentSinceReport = 0
	switch end {
	case EndOK:
		s.retryBudget.successes.add(now)
		s.meanRunTime.add(took)
		s.handleOutcome(now, t, true)
	case EndFailed, EndTimeout, EndNotStarted:
		s.handleOutcome(now, t, false)
	case EndBusy:
		t.otherEntryTasks = max(t.otherEntryTasks, t.Slots-len(t.running))
	}
	s.refresh(now, t)
	s.deleteIfUnused(t)
}

// Retry puts a task that was not started back into the queue. It returns false
// if the deadline has passed, the task already waits or runs, or the retry
// budget is used up. A task with Busy set is not charged to the retry budget:
// its refusal shows that the target works, and nothing more is sent to that
// target before its agent reports room.
func (s *Scheduler) Retry(now time.Time, task Task) bool {
	if !task.Deadline.After(now) {
		return false
	}
	if s.isQueuedOrRunning(task.ID) {
		s.violations++
		return false
	}
	if !task.Busy && !s.retryBudget.take(now, s.settings.RetryShare, s.settings.RetryMinimum) {
		return false
	}
	s.queue.push(now, task)
	return true
}

// isQueuedOrRunning reports whether a task waits or runs.
func (s *Scheduler) isQueuedOrRunning(id TaskID) bool {
	_, running := s.running[id]
	return running || s.queue.has(id)
}

// Cancel removes a waiting task. It returns false if the task does not wait.
func (s *Scheduler) Cancel(id TaskID) bool { return s.queue.remove(id) }

// Expire removes and returns the waiting tasks whose deadline has passed, and
// those that Assign skipped because they could not end before their deadline
// while other tasks waited.
func (s *Scheduler) Expire(now time.Time) []Task { return s.queue.expire(now) }

// Assign returns all tasks that may be sent now and removes them from the queue.
func (s *Scheduler) Assign(now time.Time, random *rand.Rand) []Assignment {
	var assigned []Assignment
	round := s.newRound(now, random)
	for {
		task, t := round.next()
		if t == nil {
			return assigned
		}
		assigned = append(assigned, Assignment{Task: task, Target: t.ID})
	}
}
