package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// agedInterval is how many starts lie between two starts of aged batch work
// while urgent work waits. It bounds what aging takes from urgent work to a
// tenth, and still lets every batch task start in the end.
const agedInterval = 10

// holdAfter is the waiting time after which a target is kept free for a task
// that fits on no target beside the tasks that run there.
const holdAfter = time.Second

// lastResortAfter is the waiting time of an urgent task after which it is sent
// to a target of last resort. Healthy targets free a slot much sooner unless
// they are overloaded.
const lastResortAfter = time.Second

// round is one pass of Assign.
type round struct {
	s       *Scheduler
	now     time.Time
	random  *rand.Rand
	blocked map[class]bool
}

func (s *Scheduler) newRound(now time.Time, random *rand.Rand) *round {
	s.rounds++
	s.refreshTimed(now)
	return &round{s: s, now: now, random: random}
}

func (r *round) idle() int { return r.s.pool.sums.idle }

// next takes the next task from the queue and gives it to a target. The target
// is nil if nothing more can be sent now.
func (r *round) next() (Task, *target) {
	for r.s.queue.len() > 0 && len(r.s.pool.open) > 0 {
		c, found := r.nextClass()
		if !found {
			break
		}
		task := r.s.queue.head(c)
		if r.hopeless(task) {
			r.s.queue.setAside(task.ID)
			continue
		}
		t := r.choose(task)
		if t == nil {
			r.block(c)
			r.hold(task)
			continue
		}
		r.countAged(c)
		r.start(task, t)
		return task, t
	}
	return Task{}, nil
}

// hopeless reports whether the deadline has passed or, while other tasks wait
// for the slot, leaves less than the mean run time to a task that has waited.
func (r *round) hopeless(task Task) bool {
	remaining := task.Deadline.Sub(r.now)
	if remaining <= 0 {
		return true
	}
	mean := r.s.runTime.value
	return remaining < mean && r.now.Sub(task.Enqueued) > mean && r.s.queue.len() > r.idle()
}

func (r *round) block(c class) {
	if r.blocked == nil {
		r.blocked = map[class]bool{}
	}
	r.blocked[c] = true
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

// hold keeps the first target that could run the task free of other tasks, so
// that a stream of small tasks cannot keep a large one waiting for ever.
func (r *round) hold(task Task) {
	if r.now.Sub(task.Enqueued) < holdAfter {
		return
	}
	for _, t := range r.s.order {
		if t.health.state == healthy && t.couldRun(task.Needs) {
			t.heldIn = r.s.rounds
			return
		}
	}
}

// nextClass returns the class whose head goes next: urgent work by arrival,
// then batch work. Aged batch work takes every agedInterval-th start.
func (r *round) nextClass() (class, bool) {
	urgent, anyUrgent := r.oldest(job.Urgent)
	batch, anyBatch := r.oldest(job.Batch)
	switch {
	case !anyBatch || len(r.s.running) >= r.s.batchLevel(r.now):
	case !anyUrgent && r.idle() > r.reserve():
		return batch, true
	case r.aged(batch) && r.s.sinceAged >= agedInterval-1:
		return batch, true
	}
	return urgent, anyUrgent
}

// countAged counts the starts since the last one of aged batch work.
func (r *round) countAged(c class) {
	r.s.sinceAged++
	if c.priority == job.Batch {
		r.s.sinceAged = 0
	}
}

func (r *round) aged(c class) bool {
	return r.now.Sub(r.s.queue.head(c).Enqueued) >= r.s.settings.BatchAging
}

func (r *round) reserve() int {
	return int(max(0, r.s.settings.BatchReserve) * float64(r.s.pool.sums.slots))
}

func (r *round) oldest(priority job.Priority) (class, bool) {
	var best class
	var bestTime time.Time
	found := false
	for _, c := range r.s.queue.ordered {
		if c.priority != priority || r.blocked[c] {
			continue
		}
		if enqueued := r.s.queue.head(c).Enqueued; !found || enqueued.Before(bestTime) {
			best, bestTime, found = c, enqueued, true
		}
	}
	return best, found
}

// leastDraws is how many random targets the policies that compare all targets
// look at if more have room. Looking at 890 took 17 µs a task.
const leastDraws = 32

// sampleTries bounds the draws for one target before all open ones are scanned.
const sampleTries = 8

// choose returns the target for a task by the policy of the service, or nil.
func (r *round) choose(task Task) *target {
	best := r.sample(task)
	draws := r.draws()
	if best == nil || draws >= len(r.s.pool.open) {
		return r.scan(task)
	}
	for range draws - 1 {
		if other := r.sample(task); other != nil && other.busierThan(best) < 0 {
			best = other
		}
	}
	return best
}

// draws returns how many targets are compared.
func (r *round) draws() int {
	switch r.s.settings.Policy {
	case Random:
		return 1
	case TwoChoices:
		return 2
	}
	return leastDraws
}

// usable reports whether a target may take the task in the first place.
func (r *round) usable(task Task, t *target) bool {
	return r.possible(task, t) && t.ID != task.Avoid && !t.lastResort(r.now)
}

// possible reports whether a target with room may take the task at all.
func (r *round) possible(task Task, t *target) bool {
	return t.heldIn != r.s.rounds && t.fits(task.Needs) && (task.Priority == job.Urgent || r.leavesHalf(t))
}

// leavesHalf reports whether less than half of the room of the last report has
// been used since. Batch runs reach all entries at once, and each of them would
// otherwise fill all idle slots.
func (r *round) leavesHalf(t *target) bool {
	return t.unreported < max(1, t.room(r.now, &r.s.settings))
}

// sample draws a target with room, or nil if too few of them are usable.
func (r *round) sample(task Task) *target {
	open := r.s.pool.open
	for range sampleTries {
		if t := open[r.random.IntN(len(open))]; r.usable(task, t) {
			return t
		}
	}
	return nil
}

// scan returns the least loaded target with room, one of them at random in a
// tie. The target to avoid comes after all others, then those of last resort.
func (r *round) scan(task Task) *target {
	var best, avoided, last *target
	ties := 0
	for _, t := range r.s.pool.open {
		switch {
		case r.usable(task, t):
			best, ties = r.lessLoaded(best, t, ties)
		case !r.possible(task, t):
		case t.lastResort(r.now):
			last = t
		default:
			avoided = t
		}
	}
	switch {
	case best != nil:
		return best
	case avoided != nil:
		return avoided
	case last != nil && r.takesLastResort(task):
		return last
	}
	return nil
}

// lessLoaded keeps each of the least loaded targets seen so far with the same
// probability.
func (r *round) lessLoaded(best, t *target, ties int) (*target, int) {
	if best == nil {
		return t, 1
	}
	switch order := t.busierThan(best); {
	case order > 0:
		return best, ties
	case order < 0:
		return t, 1
	}
	ties++
	if r.random.IntN(ties) == 0 {
		return t, ties
	}
	return best, ties
}

// takesLastResort reports whether a task has waited so long that a target which
// fails most tasks is better than none.
func (r *round) takesLastResort(task Task) bool {
	patience := lastResortAfter
	if task.Priority == job.Batch {
		patience = r.s.settings.BatchAging
	}
	return r.now.Sub(task.Enqueued) >= patience
}
