package scheduler

import (
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// Dump is the state of a scheduler for operators.
type Dump struct {
	Policy        Policy `json:"policy"`
	WaitingUrgent int    `json:"waiting_urgent"`
	WaitingBatch  int    `json:"waiting_batch"`
	MeanRunMS     int64  `json:"mean_run_ms"`
	// RetriesLeft is the rest of the retry budget, in retries.
	RetriesLeft float64      `json:"retries_left"`
	Violations  int          `json:"violations"`
	Targets     []TargetDump `json:"targets"`
}

// TargetDump is the state of one target at this entry. Foreign estimates the
// tasks of other entries there.
type TargetDump struct {
	Incarnation string `json:"incarnation"`
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	Running     int    `json:"running"`
	Foreign     int    `json:"foreign"`
	State       string `json:"state"`
}

var stateNames = map[healthState]string{healthy: "healthy", ejected: "ejected", readmitting: "readmitting"}

// Violations returns the number of calls that would have let a task wait or run
// twice. These calls had no effect.
func (s *Scheduler) Violations() int { return s.violations }

// Dump returns the state of the queues and of the live targets.
func (s *Scheduler) Dump(now time.Time) Dump {
	d := Dump{
		Policy:        s.settings.Policy,
		WaitingUrgent: s.queue.waiting[job.Urgent],
		WaitingBatch:  s.queue.waiting[job.Batch],
		MeanRunMS:     s.meanRunTime.value.Milliseconds(),
		RetriesLeft:   s.retryBudget.remaining(now, s.settings.RetryShare, s.settings.RetryMinimum),
		Violations:    s.violations,
	}
	for _, t := range s.liveTargets {
		d.Targets = append(d.Targets, TargetDump{
			Incarnation: t.ID.String(), Name: t.Name, Zone: t.Zone, Slots: t.Slots,
			Running: len(t.running), Foreign: t.otherEntryTasks, State: stateNames[t.health.state],
		})
	}
	return d
}
