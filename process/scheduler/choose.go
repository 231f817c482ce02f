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
	open    []*target
	idle    int
	slots   int
	blocked map[class]bool
}

func (s *Scheduler) newRound(now time.Time, random *rand.Rand) *round {
	r := &round{s: s, now: now, random: random, blocked: map[class]bool{}}
	if s.queue.len() == 0 {
		return r
	}
	for _, t := range s.order {
		r.slots += t.Slots
		if room := t.room(now, &s.settings); room > 0 {
			r.open = append(r.open, t)
			if !t.lastResort(now) {
				r.idle += room
			}
		}
	}
	return r
}

// next takes the next task from the queue and gives it to a target. The target
// is nil if nothing more can be sent now.
func (r *round) next() (Task, *target) {
	for len(r.open) > 0 {
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
			r.blocked[c] = true
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
	return remaining < mean && r.now.Sub(task.Enqueued) > mean && r.s.queue.len() > r.idle
}

func (r *round) start(task Task, t *target) {
	r.s.queue.remove(task.ID)
	if !t.lastResort(r.now) {
		r.idle--
	}
	t.start(task)
	r.s.running[task.ID] = t
	if t.room(r.now, &r.s.settings) <= 0 {
		r.close(t)
	}
}

// hold keeps the first target that could run the task free of other tasks, so
// that a stream of small tasks cannot keep a large one waiting for ever.
func (r *round) hold(task Task) {
	if r.now.Sub(task.Enqueued) < holdAfter {
		return
	}
	for _, t := range r.s.order {
		if t.health.state == healthy && t.couldRun(task.Needs) {
			r.close(t)
			return
		}
	}
}

func (r *round) close(t *target) {
	for i := range r.open {
		if r.open[i] == t {
			r.open = append(r.open[:i], r.open[i+1:]...)
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
	case !anyBatch:
	case !anyUrgent && r.idle > r.reserve():
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
	return int(max(0, r.s.settings.BatchReserve) * float64(r.slots))
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

// choose returns the target for a task by the policy of the service, or nil.
func (r *round) choose(task Task) *target {
	candidates := make([]*target, 0, len(r.open))
	var avoided, last *target
	for _, t := range r.open {
		switch {
		case !t.fits(task.Needs):
		case t.lastResort(r.now):
			if r.takesLastResort(task) {
				last = t
			}
		case t.ID == task.Avoid:
			avoided = t
		default:
			candidates = append(candidates, t)
		}
	}
	switch {
	case len(candidates) > 0:
	case avoided != nil:
		return avoided
	default:
		return last
	}
	first := candidates[r.random.IntN(len(candidates))]
	switch r.s.settings.Policy {
	case Random:
		return first
	case TwoChoices:
		return lessLoaded(first, candidates[r.random.IntN(len(candidates))])
	}
	best := first
	for _, t := range candidates {
		best = lessLoaded(best, t)
	}
	return best
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

// lessLoaded compares the shares of busy slots and prefers a in a tie.
func lessLoaded(a, b *target) *target {
	if b.outstanding()*a.Slots < a.outstanding()*b.Slots {
		return b
	}
	return a
}
