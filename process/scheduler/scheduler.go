// Package scheduler decides for one service which waiting task is sent to
// which target and when. It is pure: the time and the random numbers are
// passed in, and it sends nothing itself. A Scheduler is not safe for
// concurrent use.
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
	// Attempt and Avoid are set by the caller before Retry. Avoid is a target
	// that is used only if no other target can run the task.
	Attempt int
	Avoid   wire.Incarnation
	// Busy is set before Retry if the agent had no room for the task.
	Busy bool
}

// Target is a back end as its agent describes it.
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

// End says how an assignment ended.
type End uint8

// Values of End. EndFailed, EndTimeout and EndNotStarted count against the
// target: one that refuses everything is always idle and would attract all work.
// EndBusy does not, since it shows that the target works.
const (
	EndOK End = iota
	EndFailed
	EndTimeout
	EndCancelled
	EndUnknown
	EndNotStarted
	EndBusy
)

// Scheduler holds the queues of one service and what is known of its targets.
type Scheduler struct {
	settings Settings
	queue    queue
	targets  map[wire.Incarnation]*target
	// order lists the live targets in the order of registration, so that the
	// same calls give the same choices.
	order []*target
	pool  pool
	// rounds counts calls of Assign.
	rounds uint64
	// running maps every assignment that has not ended to its target.
	running map[TaskID]*target
	// shapes holds when each combination of capacities was last present.
	shapes  map[job.Needs]time.Time
	budget  retryBudget
	runTime average
	pacer   pacer
	// batchStarts counts recent starts of batch tasks.
	batchStarts window
	// runningUrgent counts the urgent tasks that run for this entry.
	runningUrgent int
	violations    int
	sinceAged     int
}

// New returns a scheduler without targets.
func New(settings Settings) *Scheduler {
	return &Scheduler{
		settings: settings.withDefaults(),
		queue:    newQueue(),
		targets:  map[wire.Incarnation]*target{},
		running:  map[TaskID]*target{},
		shapes:   map[job.Needs]time.Time{},
		budget:   retryBudget{successes: window{bucket: budgetBucket}, retries: window{bucket: budgetBucket}},

		batchStarts: window{bucket: batchStartBucket},
	}
}

// Configure replaces the settings. Tasks that wait or run stay as they are.
func (s *Scheduler) Configure(settings Settings) {
	s.settings = settings.withDefaults()
	s.pool.stale = true
}

// SetTarget adds a target, or changes one that is known by its incarnation. A
// target that was removed while tasks ran on it keeps these tasks.
func (s *Scheduler) SetTarget(now time.Time, description Target) {
	t, known := s.targets[description.ID]
	if !known {
		t = newTarget()
		s.targets[description.ID] = t
	}
	t.Target = description
	s.shapes[t.capacity()] = now
	if !t.live {
		t.live = true
		s.order = append(s.order, t)
	}
	s.refresh(now, t)
}

// RemoveTarget stops sending to a target that left, is dead or is silent. Its
// running tasks stay known until Finish is called for each of them.
func (s *Scheduler) RemoveTarget(now time.Time, id wire.Incarnation) {
	t, known := s.targets[id]
	if !known || !t.live {
		return
	}
	t.live = false
	s.shapes[t.capacity()] = now
	for i := range s.order {
		if s.order[i] == t {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	s.refresh(now, t)
	s.forgetIfUnused(t)
}

func (s *Scheduler) forgetIfUnused(t *target) {
	if !t.live && len(t.running) == 0 {
		delete(s.targets, t.ID)
	}
}

// Report takes the load that an agent sent with an answer or a heartbeat. It
// is called after Finish for the tasks of the same answer.
func (s *Scheduler) Report(now time.Time, id wire.Incarnation, load wire.Load) {
	if t, known := s.targets[id]; known {
		t.unreported = 0
		t.foreign = max(0, load.Running+load.Queued-len(t.running))
		s.refresh(now, t)
	}
}

// Grant adds slots that an agent has set aside for this entry. Only the policy
// Credits uses them; each assignment spends one.
func (s *Scheduler) Grant(now time.Time, id wire.Incarnation, slots int) {
	if t, known := s.targets[id]; known {
		t.credits += slots
		s.refresh(now, t)
	}
}

// Finish ends an assignment. took is the run time at the target. An end of an
// assignment that is not known has no effect.
func (s *Scheduler) Finish(now time.Time, id wire.Incarnation, task TaskID, end End, took time.Duration) {
	t, known := s.targets[id]
	if !known {
		return
	}
	ended, running := t.end(task)
	if !running {
		return
	}
	if ended.Priority == job.Urgent {
		s.runningUrgent--
	}
	delete(s.running, task)
	t.unreported = 0
	switch end {
	case EndOK:
		s.budget.successes.add(now)
		s.runTime.add(took)
		s.judge(now, t, true)
	case EndFailed, EndTimeout, EndNotStarted:
		s.judge(now, t, false)
	case EndBusy:
		t.foreign = max(t.foreign, t.Slots-len(t.running))
	}
	s.refresh(now, t)
	s.forgetIfUnused(t)
}

// Retry puts a task that was not started back into the queue. A task that an agent
// had no room for is not charged to the retry budget: the refusal shows that the
// target works, and nothing more is sent to it before its agent reports room. It reports false
// if the deadline has passed, the task waits or runs, or the retry budget is
// used up.
func (s *Scheduler) Retry(now time.Time, task Task) bool {
	if !task.Deadline.After(now) {
		return false
	}
	if s.pending(task.ID) {
		s.violations++
		return false
	}
	if !task.Busy && !s.budget.take(now, s.settings.RetryShare, s.settings.RetryMinimum) {
		return false
	}
	s.queue.push(now, task)
	return true
}

// pending reports whether a task waits or runs.
func (s *Scheduler) pending(id TaskID) bool {
	_, running := s.running[id]
	return running || s.queue.has(id)
}

// Cancel removes a waiting task. It reports false if the task does not wait.
func (s *Scheduler) Cancel(id TaskID) bool { return s.queue.remove(id) }

// Expire removes and returns the waiting tasks whose deadline has passed, or was
// too close when their turn came while others waited.
func (s *Scheduler) Expire(now time.Time) []Task { return s.queue.expire(now) }

// Assign returns everything that may be sent now. The tasks leave the queue.
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
