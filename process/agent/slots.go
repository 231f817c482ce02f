package agent

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// taskRef identifies a dispatched task by the entry that sent it and its
// sequence number.
type taskRef struct {
	entry wire.Incarnation
	seq   uint64
}

// queuedTask is an accepted task that waits for a slot.
type queuedTask struct {
	ref      taskRef
	task     wire.DispatchTask
	deadline time.Time
}

// refusalReason returns the reason for which the agent itself refuses new
// tasks, or an empty string.
func (c *Core) refusalReason() wire.NotStartedReason {
	switch {
	case c.leaving:
		return wire.NotStartedLeaving
	case len(c.running)+len(c.urgentQueue)+len(c.batchQueue) >= c.options.Slots+c.options.Backlog:
		return wire.NotStartedBusy
	}
	return ""
}

func (c *Core) enqueue(now time.Time, entry wire.Incarnation, task wire.DispatchTask) {
	item := queuedTask{ref: taskRef{entry, task.Seq}, task: task,
		deadline: now.Add(time.Duration(task.BudgetMS) * time.Millisecond)}
	if task.Batch {
		c.batchQueue = append(c.batchQueue, item)
		return
	}
	c.urgentQueue = append(c.urgentQueue, item)
}

// fillSlots starts waiting tasks while there are free slots, urgent ones first.
// For each slot that stays free it notifies one refused entry, with a heartbeat
// that contains the load.
func (c *Core) fillSlots(now time.Time) {
	c.startWaiting(now)
	for free := c.options.Slots - len(c.running); free > 0 && len(c.refusedEntries) > 0 && !c.leaving; free-- {
		entry := c.refusedEntries[0]
		c.refusedEntries = c.refusedEntries[1:]
		c.send(entry, &wire.Heartbeat{Load: c.load(), ConfigOffset: c.config.Offset()})
	}
}

// startWaiting starts waiting tasks until the slots are used or the queues are
// empty. It answers tasks that must not start any more.
func (c *Core) startWaiting(now time.Time) {
	for len(c.running) < c.options.Slots {
		item, ok := c.pop()
		if !ok {
			return
		}
		if reason := c.guard.Begin(now, item.ref.entry, item.ref.seq); reason != "" {
			c.sendAnswers(item.ref.entry, []wire.TaskAnswer{{Seq: item.ref.seq, Attempt: item.task.Attempt, NotStarted: reason}})
			continue
		}
		c.start(now, item)
	}
}

// pop removes and returns the first urgent task, or the first batch task if
// there is none.
func (c *Core) pop() (queuedTask, bool) {
	for _, queue := range []*[]queuedTask{&c.urgentQueue, &c.batchQueue} {
		if len(*queue) > 0 {
			item := (*queue)[0]
			*queue = (*queue)[1:]
			return item, true
		}
	}
	return queuedTask{}, false
}

func (c *Core) start(now time.Time, item queuedTask) {
	c.counters.Started++
	call := target.Call{Key: item.task.Key, Index: item.task.Index, Attempt: item.task.Attempt,
		Budget: item.deadline.Sub(now), Input: item.task.Input}
	attempt := item.task.Attempt
	// Reserves the slot before CallTarget, because another goroutine may call done.
	c.running[item.ref] = func() {}
	c.running[item.ref] = c.env.CallTarget(call, func(result target.Result) { c.taskEnded(item.ref, attempt, result) })
}

// taskEnded frees the slot of a task. It sends the answer to the entry that
// dispatched the task, or the result to the recoverers if that entry has been
// fenced.
func (c *Core) taskEnded(ref taskRef, attempt int, result target.Result) {
	now := c.env.Now()
	answer := wire.TaskAnswer{Seq: ref.seq, Attempt: attempt, Outcome: result.Outcome, Output: result.Output,
		Error: result.Error, RunMS: wire.Milliseconds(result.Duration)}
	if result.NotStarted {
		answer = wire.TaskAnswer{Seq: ref.seq, Attempt: attempt, NotStarted: wire.NotStartedTargetRefused}
	}
	held, fenced := c.guard.End(now, ref.entry, answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, ref)
	if !result.NotStarted {
		c.counters.Ended[result.Outcome]++
	}
	if fenced {
		for _, recoverer := range c.recoverers[ref.entry] {
			c.send(recoverer, &wire.Fenced{Entry: ref.entry, Tasks: []wire.HeldTask{held}})
		}
	} else {
		c.sendAnswers(ref.entry, []wire.TaskAnswer{answer})
	}
	c.fillSlots(now)
}

// dropQueued removes cancelled tasks of an entry from the queues.
func (c *Core) dropQueued(entry wire.Incarnation, seqs []uint64) {
	cancelled := make(map[taskRef]bool, len(seqs))
	for _, seq := range seqs {
		cancelled[taskRef{entry, seq}] = true
	}
	for _, queue := range []*[]queuedTask{&c.urgentQueue, &c.batchQueue} {
		kept := (*queue)[:0:0]
		for _, item := range *queue {
			if !cancelled[item.ref] {
				kept = append(kept, item)
			}
		}
		*queue = kept
	}
}
