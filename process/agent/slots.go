package agent

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
)

type taskRef struct {
	entry wire.Incarnation
	seq   uint64
}

type queued struct {
	ref      taskRef
	task     wire.DispatchTask
	deadline time.Time
}

// refusal returns the agent's own reason to refuse a new task, if any.
func (c *Core) refusal() wire.NotStarted {
	switch {
	case c.leaving:
		return wire.NotStartedLeaving
	case len(c.running)+len(c.urgent)+len(c.batch) >= c.options.Slots+c.options.Backlog:
		return wire.NotStartedBusy
	}
	return ""
}

func (c *Core) enqueue(now time.Time, entry wire.Incarnation, task wire.DispatchTask) {
	item := queued{ref: taskRef{entry, task.Seq}, task: task,
		deadline: now.Add(time.Duration(task.BudgetMS) * time.Millisecond)}
	if task.Batch {
		c.batch = append(c.batch, item)
		return
	}
	c.urgent = append(c.urgent, item)
}

// fill starts waiting tasks while there are free slots, urgent ones first, and
// tells refused entries of slots that stay free.
func (c *Core) fill(now time.Time) {
	c.startWaiting(now)
	for free := c.options.Slots - len(c.running); free > 0 && len(c.refused) > 0 && !c.leaving; free-- {
		entry := c.refused[0]
		c.refused = c.refused[1:]
		c.send(entry, &wire.Heartbeat{Load: c.load(), ConfigOffset: c.config.Offset()})
	}
}

func (c *Core) startWaiting(now time.Time) {
	for len(c.running) < c.options.Slots {
		item, ok := c.pop()
		if !ok {
			return
		}
		if reason := c.guard.Begin(now, item.ref.entry, item.ref.seq); reason != "" {
			c.answer(item.ref.entry, []wire.TaskAnswer{{Seq: item.ref.seq, Attempt: item.task.Attempt, NotStarted: reason}})
			continue
		}
		c.start(now, item)
	}
}

func (c *Core) pop() (queued, bool) {
	for _, queue := range []*[]queued{&c.urgent, &c.batch} {
		if len(*queue) > 0 {
			item := (*queue)[0]
			*queue = (*queue)[1:]
			return item, true
		}
	}
	return queued{}, false
}

func (c *Core) start(now time.Time, item queued) {
	c.counters.Started++
	call := target.Call{Key: item.task.Key, Index: item.task.Index, Attempt: item.task.Attempt,
		Budget: item.deadline.Sub(now), Input: item.task.Input}
	attempt := item.task.Attempt
	// Reserves the slot before Run, whose done may come from another goroutine.
	c.running[item.ref] = func() {}
	c.running[item.ref] = c.env.Run(call, func(result target.Result) { c.ended(item.ref, attempt, result) })
}

func (c *Core) ended(ref taskRef, attempt int, result target.Result) {
	now := c.env.Now()
	answer := wire.TaskAnswer{Seq: ref.seq, Attempt: attempt, Outcome: result.Outcome, Output: result.Output,
		Error: result.Error, RunMS: wire.Milliseconds(result.Took)}
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
		c.answer(ref.entry, []wire.TaskAnswer{answer})
	}
	c.fill(now)
}

func (c *Core) dropQueued(entry wire.Incarnation, seqs []uint64) {
	wanted := make(map[taskRef]bool, len(seqs))
	for _, seq := range seqs {
		wanted[taskRef{entry, seq}] = true
	}
	for _, queue := range []*[]queued{&c.urgent, &c.batch} {
		kept := (*queue)[:0:0]
		for _, item := range *queue {
			if !wanted[item.ref] {
				kept = append(kept, item)
			}
		}
		*queue = kept
	}
}
