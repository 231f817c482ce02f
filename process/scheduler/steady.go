package scheduler

import (
	"math"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

const (
	// paceInterval is the time between two computations of the level up to which
	// batch work may fill the slots. Each goes through all waiting batch tasks.
	paceInterval = time.Second
	// urgentSpan is the time over which the urgent work is averaged. It is long
	// against tasks of several seconds and short against the 10 min in which
	// batch work has to end.
	urgentSpan = time.Minute
)

// pacer holds batch work back so that the number of busy slots stays even: it
// starts only below a level that gets all of it done in time.
type pacer struct {
	next   time.Time
	last   time.Time
	urgent float64
	level  float64
}

// batchLevel returns how many tasks of this entry may run when a batch task
// starts.
func (s *Scheduler) batchLevel(now time.Time) int {
	if s.settings.BatchSpread <= 0 {
		return math.MaxInt
	}
	if !now.Before(s.pacer.next) {
		s.computeLevel(now)
	}
	return max(1, int(math.Ceil(s.pacer.level))) // The level is 0 until a run time is known.
}

func (s *Scheduler) computeLevel(now time.Time) {
	p := &s.pacer
	weight := 1.0
	if !p.last.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(p.last))/float64(urgentSpan))
	}
	p.urgent += weight * (float64(s.runningUrgent) - p.urgent)
	p.last, p.next = now, now.Add(paceInterval)
	p.level = p.urgent + s.batchRate(now)*s.runTime.value.Seconds()
}

// batchRate returns the starts per second that start every waiting batch task
// in time: for each one, the tasks up to it over the time left to start it.
func (s *Scheduler) batchRate(now time.Time) float64 {
	total := 0.0
	for _, c := range s.queue.ordered {
		if c.priority != job.Batch {
			continue
		}
		rate, ahead := 0.0, 0
		tasks := s.queue.classes[c]
		for e := tasks.Front(); e != nil; e = e.Next() {
			ahead++
			left := s.startBy(e.Value.(*item).task).Sub(now)
			rate = max(rate, float64(ahead)/max(left, paceInterval).Seconds())
		}
		total += rate
	}
	return total
}

// startBy is the time until which the start of a batch task may be held back.
func (s *Scheduler) startBy(task Task) time.Time {
	whole := float64(task.Deadline.Sub(task.Enqueued))
	return task.Enqueued.Add(time.Duration(s.settings.BatchSpread * whole))
}
