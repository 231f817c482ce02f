package scheduler

import (
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// target is the state of one target at this entry.
type target struct {
	Target
	live bool
	// running holds this entry's assignments that have not ended.
	running      map[TaskID]Task
	usedCapacity job.Needs
	// otherEntryTasks estimates the tasks of other entries at the target, from
	// the last report.
	otherEntryTasks int
	// credits counts the slots granted to this entry that are not spent yet.
	credits int
	// sentSinceReport counts the tasks sent since the last answer or report.
	sentSinceReport int
	health          health
	// contribution is what the pool's totals hold for this target. The positions
	// are those in the lists of the pool.
	contribution                       poolTotals
	availablePosition, ejectedPosition listPosition
	// reservedInRound is the number of the last round in which the target was
	// kept free for a large task.
	reservedInRound uint64
}

func newTarget() *target { return &target{running: map[TaskID]Task{}} }

// outstanding returns the estimated number of tasks at the target, of all
// entries.
func (t *target) outstanding() int { return len(t.running) + t.otherEntryTasks }

// room returns how many more tasks may be sent now.
func (t *target) room(now time.Time, settings *Settings) int {
	room := t.Slots - t.outstanding()
	if settings.Policy == Credits {
		room = t.credits
	}
	return min(room, t.health.runningLimit(now)-len(t.running))
}

// capacity returns the largest needs that the target can meet when idle.
func (t *target) capacity() job.Needs {
	return job.Needs{MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
}

// canRunWhenIdle reports whether the target is large enough for a task when
// nothing else runs there.
func (t *target) canRunWhenIdle(needs job.Needs) bool {
	return t.Slots > 0 && covers(t.capacity(), needs)
}

// covers reports whether a capacity is large enough for the needs.
func covers(capacity, needs job.Needs) bool {
	return needs.MemoryMB <= capacity.MemoryMB && needs.Accelerators <= capacity.Accelerators
}

// hasCapacityFor reports whether the needs fit beside this entry's running
// tasks.
func (t *target) hasCapacityFor(needs job.Needs) bool {
	total := job.Needs{MemoryMB: needs.MemoryMB + t.usedCapacity.MemoryMB, Accelerators: needs.Accelerators + t.usedCapacity.Accelerators}
	return covers(t.capacity(), total)
}

// compareLoad compares the shares of busy slots. The result is negative if t is
// less busy than other, positive if it is busier.
func (t *target) compareLoad(other *target) int {
	return t.outstanding()*other.Slots - other.outstanding()*t.Slots
}

func (t *target) start(task Task) {
	t.running[task.ID] = task
	t.sentSinceReport++
	t.usedCapacity.MemoryMB += task.Needs.MemoryMB
	t.usedCapacity.Accelerators += task.Needs.Accelerators
	t.credits = max(0, t.credits-1)
}

func (t *target) finish(id TaskID) (Task, bool) {
	task, running := t.running[id]
	if running {
		delete(t.running, id)
		t.usedCapacity.MemoryMB -= task.Needs.MemoryMB
		t.usedCapacity.Accelerators -= task.Needs.Accelerators
	}
	return task, running
}
