// Package batch describes jobs of one or more steps, whose tasks need resources of
// a target. It holds no state and reads no clock.
package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a job.
const (
	// MaxTasks bounds the tasks of all steps of a job.
	MaxTasks = 4096
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
)

// ErrInvalid marks every error of Job.Validate.
var ErrInvalid = errors.New("invalid job")

// ID is the name of a job. The caller chooses it and uses it again in a
// resubmission.
type ID string

// Resources is an amount of resources that a target offers or a task needs.
type Resources struct {
	// MilliCPU is processor capacity in thousandths of a core.
	MilliCPU int `cbor:"1,keyasint,omitempty"`
	// MemoryMiB is memory in MiB.
	MemoryMiB int `cbor:"2,keyasint,omitempty"`
	// GPUs is a number of devices.
	GPUs int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMiB + other.MemoryMiB, r.GPUs + other.GPUs}
}

// Sub returns r minus other, which may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMiB - other.MemoryMiB, r.GPUs - other.GPUs}
}

// FitsIn reports whether available has at least as much of each resource as r.
func (r Resources) FitsIn(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMiB <= available.MemoryMiB && r.GPUs <= available.GPUs
}

// Step is a group of tasks with the same requirements.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Demand is the resources that one task needs.
	Demand Resources
	// Estimate is the caller's rough estimate of the duration of one task.
	Estimate time.Duration
	// DependsOn lists the indexes of earlier steps that must end before this one
	// starts. Its name in messages and records is After.
	DependsOn []int `cbor:"After"`
	// Label is a label that the target must have, or empty.
	Label string
	// DataRack is the rack that holds the data of the step, or empty. Targets of the rack
	// have it among their labels. Records and messages without it are of earlier versions.
	DataRack string `cbor:",omitempty"`
	// MaxPerTarget bounds the tasks of the step that run on one target at the
	// same time; 0 means no bound.
	MaxPerTarget int
	// Unsupported names a property of the step that no scheduler of this
	// version implements, or is empty.
	Unsupported string
}

// Job is a job as submitted by a caller.
type Job struct {
	ID ID
	// Spec is passed to the target with every task and not interpreted.
	Spec  string
	Steps []Step
	// Durable is set if the job must survive the process that accepted it.
	Durable bool
	// Unsupported names a property of the job that no scheduler of this
	// version implements, or is empty.
	Unsupported string
}

// Validate returns an error marked ErrInvalid if the job is malformed, and nil
// otherwise.
func (j Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Mark(errors.Newf("%d steps, expected 1 to %d", len(j.Steps), MaxSteps), ErrInvalid)
	}
	total := 0
	for number, step := range j.Steps {
		if err := step.check(number); err != nil {
			return errors.Mark(errors.Wrapf(err, "step %d", number), ErrInvalid)
		}
		total += step.Tasks
	}
	if total > MaxTasks {
		return errors.Mark(errors.Newf("%d tasks, expected at most %d", total, MaxTasks), ErrInvalid)
	}
	return nil
}

func (s Step) check(number int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.Newf("%d tasks, expected 1 to %d", s.Tasks, MaxTasks)
	}
	if s.Demand.MilliCPU < 0 || s.Demand.MemoryMiB < 0 || s.Demand.GPUs < 0 {
		return errors.New("negative resources")
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= number {
			return errors.Newf("depends on step %d, expected an earlier step", before)
		}
	}
	return nil
}

// CriticalPath returns the estimated duration of the job with unlimited targets,
// which is that of the longest chain of dependent steps.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for number, step := range j.Steps {
		var start time.Duration
		for _, before := range step.DependsOn {
			start = max(start, ends[before])
		}
		ends[number] = start + step.Estimate
		longest = max(longest, ends[number])
	}
	return longest
}

// Task identifies one task of a job.
type Task struct {
	Job        ID  `cbor:"1,keyasint"`
	Occurrence int `cbor:"2,keyasint,omitempty"`
	Step       int `cbor:"3,keyasint,omitempty"`
	Index      int `cbor:"4,keyasint,omitempty"`
}

// String returns the job, occurrence, step and index, separated by dots.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Run identifies one start of a task. The runs of a task have increasing numbers
// from 1 on.
type Run struct {
	Task   Task `cbor:"1,keyasint"`
	Number int  `cbor:"2,keyasint"`
}

// String returns the task and the number of the run.
func (r Run) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Number) }

// Compare orders runs by job, occurrence, step, index and number.
func (r Run) Compare(other Run) int {
	a, b := r.Task, other.Task
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index), cmp.Compare(r.Number, other.Number))
}

// SortedByRun returns the values of a map, sorted by their runs, so that decisions
// do not depend on the iteration order of the map.
func SortedByRun[V any](runs map[Run]V) []V {
	values := make([]V, 0, len(runs))
	for _, run := range slices.SortedFunc(maps.Keys(runs), Run.Compare) {
		values = append(values, runs[run])
	}
	return values
}

// End is the way in which a run ended.
type End string

// Values of End.
const (
	// EndDone means that the run completed its task.
	EndDone End = "done"
	// EndFailed means that the task or the target failed.
	EndFailed End = "failed"
	// EndStopped means that the run was stopped on request.
	EndStopped End = "stopped"
	// EndLapsed means that the run was killed because its lease lapsed.
	EndLapsed End = "lapsed"
	// EndGangBroken means that another member of the run's gang, the runs that must
	// run together, ended.
	EndGangBroken End = "broken"
	// EndGangIncomplete means that the other members of the run's gang did not
	// arrive.
	EndGangIncomplete End = "alone"
	// EndLost means that the run ended together with its target.
	EndLost End = "lost"
)
