// Package batch describes a job of several steps of tasks that need resources
// of a target. It holds no state and reads no clock.
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

// ErrInvalid marks every error of Job.Check.
var ErrInvalid = errors.New("invalid job")

// ID is the name of a job, chosen by the caller and kept on a resubmission.
type ID string

// Resources is an amount of what a target offers and a task needs.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int `cbor:"1,keyasint,omitempty"`
	// MemoryMiB is in MiB.
	MemoryMiB int `cbor:"2,keyasint,omitempty"`
	// GPUs is a number of devices.
	GPUs int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMiB + other.MemoryMiB, r.GPUs + other.GPUs}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMiB - other.MemoryMiB, r.GPUs - other.GPUs}
}

// FitsIn reports whether room has at least this much of everything.
func (r Resources) FitsIn(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMiB <= room.MemoryMiB && r.GPUs <= room.GPUs
}

// Step is a group of equal tasks.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Demand is what one task needs.
	Demand Resources
	// Estimate is the caller's rough estimate of the duration of one task.
	Estimate time.Duration
	// After lists the numbers of earlier steps that end before this one starts.
	After []int
	// Label is a label that the target must have, or empty.
	Label string
	// MaxPerTarget bounds the tasks of the step on one target; 0 is no bound.
	MaxPerTarget int
	// Unsupported names a property of the step that no scheduler of this
	// version implements, or is empty.
	Unsupported string
}

// Job is one submission.
type Job struct {
	ID ID
	// Spec is passed to the target with every task and not interpreted.
	Spec  string
	Steps []Step
	// Durable jobs outlive the process that accepted them.
	Durable bool
	// Unsupported names a property of the job that no scheduler of this
	// version implements, or is empty.
	Unsupported string
}

// Check reports why a job is malformed. The error is marked ErrInvalid.
func (j Job) Check() error {
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
	for _, before := range s.After {
		if before < 0 || before >= number {
			return errors.Newf("depends on step %d, expected an earlier step", before)
		}
	}
	return nil
}

// LongestChain returns the estimated time of the job on unlimited targets.
func (j Job) LongestChain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for number, step := range j.Steps {
		var start time.Duration
		for _, before := range step.After {
			start = max(start, ends[before])
		}
		ends[number] = start + step.Estimate
		longest = max(longest, ends[number])
	}
	return longest
}

// Task names one task of a job.
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

// Run names one start of a task. Numbers of one task start at 1 and rise.
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

// InOrder returns the values of a map of runs in the order of the runs, so that
// decisions do not depend on the order of a map.
func InOrder[V any](runs map[Run]V) []V {
	values := make([]V, 0, len(runs))
	for _, run := range slices.SortedFunc(maps.Keys(runs), Run.Compare) {
		values = append(values, runs[run])
	}
	return values
}

// End is how a run ended.
type End string

// Values of End.
const (
	// EndDone is a run that completed its task.
	EndDone End = "done"
	// EndFailed is a run that ended by a fault of the task or the target.
	EndFailed End = "failed"
	// EndStopped is a run that was told to stop.
	EndStopped End = "stopped"
	// EndLapsed is a run that was killed because its lease ended.
	EndLapsed End = "lapsed"
	// EndBroken is a run of a gang of which another member ended.
	EndBroken End = "broken"
	// EndAlone is a run of a gang whose other members did not arrive.
	EndAlone End = "alone"
	// EndLost is a run that ended with its target.
	EndLost End = "lost"
)
