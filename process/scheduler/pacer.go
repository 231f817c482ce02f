package scheduler

import (
	"math"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

const (
	// paceInterval is the time between two updates of the pacer. Each goes
	// through all waiting batch tasks.
	paceInterval = time.Second
	// urgentAveragingTime is the time constant of the mean number of running
	// urgent tasks. It is long compared with tasks of several seconds and short
	// compared with the 10 min in which batch work has to end.
	urgentAveragingTime = time.Minute
)

// pacer delays batch work to keep the number of busy slots even: a batch task
// starts only while fewer than maxRunning tasks run. The limit is high enough to
// start all batch work in time.
type pacer struct {
	nextUpdate, lastUpdate time.Time
	// meanUrgent is the mean number of running urgent tasks.
	meanUrgent float64
	// maxRunning is the number of running tasks below which a batch task starts.
	maxRunning float64
}

// maxRunningForBatch returns the number of running tasks of this entry below
// which a batch task may start.
func (s *Scheduler) maxRunningForBatch(now time.Time) int {
	if s.settings.BatchSpread <= 0 {
		return math.MaxInt
	}
	if !now.Before(s.pacer.nextUpdate) {
		s.updatePacer(now)
	}
	return max(1, int(math.Ceil(s.pacer.maxRunning))) // The limit is 0 until a run time is known.
}

func (s *Scheduler) updatePacer(now time.Time) {
	p := &s.pacer
	weight := 1.0
	if !p.lastUpdate.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(p.lastUpdate))/float64(urgentAveragingTime))
	}
	p.meanUrgent += weight * (float64(s.runningUrgent) - p.meanUrgent)
	p.lastUpdate, p.nextUpdate = now, now.Add(paceInterval)
	p.maxRunning = p.meanUrgent + s.requiredBatchRate(now)*s.meanRunTime.value.Seconds()
}

// requiredBatchRate returns the starts per second that start every waiting batch
// task in time: in each class the largest quotient of a task's place in the
// queue and the time left to start it, summed over the classes.
func (s *Scheduler) requiredBatchRate(now time.Time) float64 {
	total := 0.0
	for _, c := range s.queue.classOrder {
		if c.priority != job.Batch {
			continue
		}
		rate, place := 0.0, 0
		tasks := s.queue.classes[c]
		for e := tasks.Front(); e != nil; e = e.Next() {
			place++
			left := s.latestStart(e.Value.(*queuedTask).task).Sub(now)
			rate = max(rate, float64(place)/max(left, paceInterval).Seconds())
		}
		total += rate
	}
	return total
}

// latestStart returns the time until which the start of a batch task may be
// delayed.
func (s *Scheduler) latestStart(task Task) time.Time {
	timeToDeadline := float64(task.Deadline.Sub(task.Enqueued))
	return task.Enqueued.Add(time.Duration(s.settings.BatchSpread * timeToDeadline))
}
