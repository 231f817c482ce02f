package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// agedBatchInterval limits aged batch work to every 10th start while urgent work
// waits. Aging thus takes at most a tenth of the starts from urgent work, and
// every batch task starts in the end.
const agedBatchInterval = 10

// reserveTargetAfter is the waiting time after which a target is kept free for a
// task that no target can take beside its running tasks.
const reserveTargetAfter = time.Second

// lastResortAfter is the waiting time after which an urgent task is sent to a
// target of last resort. Healthy targets free a slot much sooner unless they are
// overloaded.
const lastResortAfter = time.Second

// round is the state of one call of Assign.
type round struct {
	s              *Scheduler
	now            time.Time
	random         *rand.Rand
	blockedClasses map[class]bool
}

func (s *Scheduler) newRound(now time.Time, random *rand.Rand) *round {
	s.rounds++
	s.refreshTimeDependent(now)
	return &round{s: s, now: now, random: random}
}

func (r *round) idleSlots() int { return r.s.pool.totals.idleSlots }

// next assigns the next task of the queue to a target. The target is nil if
// nothing more can be sent now.
func (r *round) next() (Task, *target) {
	for r.s.queue.len() > 0 && len(r.s.pool.available) > 0 {
		c, found := r.nextClass()
		if !found {
			break
		}
		task := r.s.queue.head(c)
		if r.cannotEndInTime(task) {
			r.s.queue.markExpiring(task.ID)
			continue
		}
		t := r.choose(task)
		if t == nil {
			r.blockClass(c)
			r.reserveTarget(task)
			continue
		}
		r.countStart(c)
		r.start(task, t)
		return task, t
	}
	return Task{}, nil
}

// cannotEndInTime reports whether the deadline has passed. While other tasks
// wait for the slot, it also reports a task that has waited longer than the mean
// run time and has less than that left until its deadline.
func (r *round) cannotEndInTime(task Task) bool {
	remaining := task.Deadline.Sub(r.now)
	if remaining <= 0 {
		return true
	}
	mean := r.s.meanRunTime.value
	return remaining < mean && r.now.Sub(task.Enqueued) > mean && r.s.queue.len() > r.idleSlots()
}

func (r *round) blockClass(c class) {
	if r.blockedClasses == nil {
		r.blockedClasses = map[class]bool{}
	}
	r.blockedClasses[c] = true
}

func (r *round) start(task Task, t *target) {
	r.s.queue.remove(task.ID)
	t.start(task)
	if task.Priority == job.Urgent {
		r.s.runningUrgent++
	} else {
		r.s.batchStarts.add(r.now)
	}
	r.s.running[task.ID] = t
	r.s.refresh(r.now, t)
}

// reserveTarget keeps the first healthy target that could run the task when idle
// free of other tasks, so that a stream of small tasks cannot keep a large one waiting
// forever.
func (r *round) reserveTarget(task Task) {
	if r.now.Sub(task.Enqueued) < reserveTargetAfter {
		return
	}
	for _, t := range r.s.liveTargets {
		if t.health.state == healthy && t.canRunWhenIdle(task.Needs) {
			t.reservedInRound = r.s.rounds
			return
		}
	}
}

// nextClass returns the class whose oldest task is sent next: urgent tasks by
// arrival, then batch tasks. Aged batch tasks get every agedBatchInterval-th
// start.
func (r *round) nextClass() (class, bool) {
	urgent, anyUrgent := r.oldestClass(job.Urgent)
	batch, anyBatch := r.oldestClass(job.Batch)
	switch {
	case !anyBatch || len(r.s.running) >= r.s.maxRunningForBatch(r.now):
	case !anyUrgent && r.idleSlots() > r.batchReserve():
		return batch, true
	case r.isAged(batch) && r.s.startsSinceBatch >= agedBatchInterval-1:
		return batch, true
	}
	return urgent, anyUrgent
}

// countStart counts the starts since the last start of a batch task.
func (r *round) countStart(c class) {
	r.s.startsSinceBatch++
	if c.priority == job.Batch {
		r.s.startsSinceBatch = 0
	}
}

// isAged reports whether the oldest task of a batch class has waited for
// BatchAging.
func (r *round) isAged(c class) bool {
	return r.now.Sub(r.s.queue.head(c).Enqueued) >= r.s.settings.BatchAging
}

// batchReserve returns the number of slots that batch tasks leave free.
func (r *round) batchReserve() int {
	return int(max(0, r.s.settings.BatchReserve) * float64(r.s.pool.totals.slots))
}

// oldestClass returns the class of a priority whose first task arrived earliest.
func (r *round) oldestClass(priority job.Priority) (class, bool) {
	var best class
	var bestTime time.Time
	found := false
	for _, c := range r.s.queue.classOrder {
		if c.priority != priority || r.blockedClasses[c] {
			continue
		}
		if enqueued := r.s.queue.head(c).Enqueued; !found || enqueued.Before(bestTime) {
			best, bestTime, found = c, enqueued, true
		}
	}
	return best, found
}

// leastOutstandingCandidates is how many random targets the policies
// LeastOutstanding and Credits compare if more have room. Comparing 890 took 17
// µs per task.
const leastOutstandingCandidates = 32

// maxSampleAttempts limits the random draws of one target before all available
// targets are scanned.
const maxSampleAttempts = 8

// choose returns the target for a task by the policy of the service, or nil.
func (r *round) choose(task Task) *target {
	best := r.sample(task)
	candidates := r.candidateCount()
	if best == nil || candidates >= len(r.s.pool.available) {
		return r.scan(task)
	}
	for range candidates - 1 {
		if other := r.sample(task); other != nil && other.compareLoad(best) < 0 {
			best = other
		}
	}
	return best
}

// candidateCount returns how many random targets the policy compares.
func (r *round) candidateCount() int {
	switch r.s.settings.Policy {
	case Random:
		return 1
	case TwoChoices:
		return 2
	}
	return leastOutstandingCandidates
}

// isPreferred reports whether the task may go to an eligible target that is
// neither the one to avoid nor a last resort.
func (r *round) isPreferred(task Task, t *target) bool {
	return r.isEligible(task, t) && t.ID != task.Avoid && !t.isLastResort(r.now)
}

// isEligible reports whether the task may go to a target with room at all.
func (r *round) isEligible(task Task, t *target) bool {
	return t.reservedInRound != r.s.rounds && t.hasCapacityFor(task.Needs) && (task.Priority == job.Urgent || r.lessThanHalfUsed(t))
}

// lessThanHalfUsed reports whether less than half of the room at the last report
// has been used since then. Batch jobs reach all entries at once, and each entry
// would otherwise fill all idle slots.
func (r *round) lessThanHalfUsed(t *target) bool {
	return t.sentSinceReport < max(1, t.room(r.now, &r.s.settings))
}

// sample draws a preferred target at random. It returns nil if maxSampleAttempts
// draws find none.
func (r *round) sample(task Task) *target {
	available := r.s.pool.available
	for range maxSampleAttempts {
		if t := available[r.random.IntN(len(available))]; r.isPreferred(task, t) {
			return t
		}
	}
	return nil
}

// scan returns the least loaded of the preferred targets, a random one in a tie.
// If there is none, it returns the target to avoid or else a target of last
// resort.
func (r *round) scan(task Task) *target {
	var best, avoided, lastResort *target
	ties := 0
	for _, t := range r.s.pool.available {
		switch {
		case r.isPreferred(task, t):
			best, ties = r.pickLessLoaded(best, t, ties)
		case !r.isEligible(task, t):
		case t.isLastResort(r.now):
			lastResort = t
		default:
			avoided = t
		}
	}
	switch {
	case best != nil:
		return best
	case avoided != nil:
		return avoided
	case lastResort != nil && r.mayUseLastResort(task):
		return lastResort
	}
	return nil
}

// pickLessLoaded returns the less loaded of the two targets. In a tie it chooses
// so that each of the least loaded targets seen so far is kept with the same
// probability; ties counts them.
func (r *round) pickLessLoaded(best, t *target, ties int) (*target, int) {
	if best == nil {
		return t, 1
	}
	switch difference := t.compareLoad(best); {
	case difference > 0:
		return best, ties
	case difference < 0:
		return t, 1
	}
	ties++
	if r.random.IntN(ties) == 0 {
		return t, ties
	}
	return best, ties
}

// mayUseLastResort reports whether a task has waited so long that it may go to a
// target that fails most tasks.
func (r *round) mayUseLastResort(task Task) bool {
	minWait := lastResortAfter
	if task.Priority == job.Batch {
		minWait = r.s.settings.BatchAging
	}
	return r.now.Sub(task.Enqueued) >= minWait
}
