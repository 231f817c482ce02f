package scheduler

import (
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// target is what the entry knows of one target.
type target struct {
	Target
	live bool
	// running holds this entry's assignments that have not ended.
	running map[TaskID]Task
	used    job.Needs
	// foreign estimates the tasks of other entries, from the last report.
	foreign int
	credits int
	// unreported counts the sends since the last answer or report.
	unreported int
	health     health
	// counted, openAt and ejectedAt belong to the pool. heldIn is the number of
	// the last round that kept the target for a large task.
	counted           sums
	openAt, ejectedAt position
	heldIn            uint64
}

func newTarget() *target { return &target{running: map[TaskID]Task{}} }

// outstanding is the known number of tasks at the target, of all entries.
func (t *target) outstanding() int { return len(t.running) + t.foreign }

// room returns how many more tasks may be sent now.
func (t *target) room(now time.Time, settings *Settings) int {
	room := t.Slots - t.outstanding()
	if settings.Policy == Credits {
		room = t.credits
	}
	return min(room, t.health.allowance(now)-len(t.running))
}

// capacity is the largest need that the target can meet when idle.
func (t *target) capacity() job.Needs {
	return job.Needs{MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
}

// couldRun reports whether the target is large enough for a task when idle.
func (t *target) couldRun(needs job.Needs) bool {
	return t.Slots > 0 && covers(t.capacity(), needs)
}

func covers(capacity, needs job.Needs) bool {
	return needs.MemoryMB <= capacity.MemoryMB && needs.Accelerators <= capacity.Accelerators
}

// fits reports whether the target has capacity left beside this entry's tasks.
func (t *target) fits(needs job.Needs) bool {
	total := job.Needs{MemoryMB: needs.MemoryMB + t.used.MemoryMB, Accelerators: needs.Accelerators + t.used.Accelerators}
	return covers(t.capacity(), total)
}

// busierThan compares the shares of busy slots: negative if t is less busy than
// other, positive if it is busier.
func (t *target) busierThan(other *target) int {
	return t.outstanding()*other.Slots - other.outstanding()*t.Slots
}

func (t *target) start(task Task) {
	t.running[task.ID] = task
	t.unreported++
	t.used.MemoryMB += task.Needs.MemoryMB
	t.used.Accelerators += task.Needs.Accelerators
	t.credits = max(0, t.credits-1)
}

func (t *target) end(id TaskID) (Task, bool) {
	task, running := t.running[id]
	if running {
		delete(t.running, id)
		t.used.MemoryMB -= task.Needs.MemoryMB
		t.used.Accelerators -= task.Needs.Accelerators
	}
	return task, running
}
