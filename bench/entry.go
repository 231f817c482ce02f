package bench

import (
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
)

// silentAfter is the time without a message after which an entry stops sending to
// an agent, deadAfter the time after which the tasks there end as unknown.
const (
	silentAfter       = 2 * time.Second
	deadAfter         = 3 * time.Second
	heartbeatInterval = wire.HeartbeatInterval
)

// entry models an entry process around the real scheduler.
type entry struct {
	c         *cluster
	index     int
	zone      int
	scheduler *scheduler.Scheduler
	random    *rand.Rand
	queued    int // tasks in the queue of the scheduler
	// outstanding holds the dispatches without an answer, per agent incarnation.
	outstanding  map[wire.Incarnation]map[*dispatch]bool
	agents       map[wire.Incarnation]*agent
	lastReceived [targets]time.Duration
	lastSent     [targets]time.Duration
}

// schedulerTask returns the arrival of this index as a task for the scheduler.
func (e *entry) schedulerTask(index int) scheduler.Task {
	a := &e.c.arrivals[index]
	task := scheduler.Task{ID: scheduler.TaskID{Index: index}, Priority: a.priority,
		Enqueued: e.c.clock(), Deadline: epoch.Add(a.deadline)}
	if e.c.cfg.MisdeclaredMemory {
		task.Needs.MemoryMB = a.declaredMB
	}
	return task
}

// submit admits one submission, the arrivals from first up to but without last.
func (e *entry) submit(first, last int) {
	var tasks []scheduler.Task
	for i := first; i < last; i++ {
		tasks = append(tasks, e.schedulerTask(i))
	}
	if e.scheduler.Admit(e.c.clock(), tasks) != nil {
		for i := first; i < last; i++ {
			e.c.endTask(i, refused)
		}
		return
	}
	e.queued += len(tasks)
	e.dispatchQueued()
}

// dispatchQueued sends the tasks that the scheduler assigns now, in one message
// per agent.
func (e *entry) dispatchQueued() {
	perAgent := map[wire.Incarnation][]*dispatch{}
	var order []wire.Incarnation
	for _, assignment := range e.scheduler.Assign(e.c.clock(), e.random) {
		id := assignment.Target
		if perAgent[id] == nil {
			order = append(order, id)
		}
		d := &dispatch{entry: e, task: assignment.Task.ID.Index, attempt: assignment.Task.Attempt, agent: id}
		perAgent[id] = append(perAgent[id], d)
		e.outstanding[id][d] = true
		e.queued--
		e.c.countDispatch(assignment.Task.Attempt)
	}
	for _, id := range order {
		a, tasks, demand := e.agents[id], perAgent[id], e.queued
		e.send(a, dispatchMessage, func() { a.receive(tasks, demand) })
	}
}

// send delivers a message to an agent after the latency.
func (e *entry) send(a *agent, kind messageKind, deliver func()) {
	e.c.countMessage(kind)
	e.lastSent[a.index] = e.c.now
	e.c.after(latency(a.zone, e.zone), deliver)
}

// receiveAnswer ends the dispatch and passes the load and the grant of the agent to
// the scheduler.
func (e *entry) receiveAnswer(a *agent, d *dispatch, load wire.Load, grant int) {
	e.endDispatch(d, d.result)
	e.scheduler.Report(e.c.clock(), d.agent, load)
	e.scheduler.Grant(e.c.clock(), a.id, grant)
	e.dispatchQueued()
}

// receiveGrant passes a grant without an answer to the scheduler.
func (e *entry) receiveGrant(a *agent, grant int) {
	e.scheduler.Grant(e.c.clock(), a.id, grant)
	e.dispatchQueued()
}

// endDispatch records the end of a dispatch, and retries the task if it was not
// started.
func (e *entry) endDispatch(d *dispatch, result scheduler.End) {
	if !e.outstanding[d.agent][d] {
		return
	}
	delete(e.outstanding[d.agent], d)
	task := e.schedulerTask(d.task)
	e.scheduler.Finish(e.c.clock(), d.agent, task.ID, result, d.runTime)
	switch result {
	case scheduler.EndOK:
		e.c.endTask(d.task, answered)
	case scheduler.EndFailed:
		e.c.endTask(d.task, failed)
	case scheduler.EndTimeout:
		e.c.countUnused(2)
		e.c.endTask(d.task, late)
	case scheduler.EndUnknown:
		e.c.countUnused(1)
		e.c.endTask(d.task, lost)
	default:
		e.c.countUnused(2)
		e.retry(task, d)
	}
}

// retry queues the task again, or ends it as not started if the scheduler refuses
// the retry.
func (e *entry) retry(task scheduler.Task, d *dispatch) {
	task.Enqueued = epoch.Add(e.c.arrivals[d.task].at)
	task.Avoid, task.Attempt, task.Busy = d.agent, d.attempt+1, d.result == scheduler.EndBusy
	if !e.scheduler.Retry(e.c.clock(), task) {
		e.c.endTask(d.task, notStarted)
		return
	}
	e.queued++
	e.c.retries++
}

// setTarget adds an agent that has registered to the scheduler.
func (e *entry) setTarget(a *agent, grant int) {
	e.agents[a.id] = a
	e.outstanding[a.id] = map[*dispatch]bool{}
	e.lastReceived[a.index] = e.c.now
	e.scheduler.SetTarget(e.c.clock(), scheduler.Target{ID: a.id, Name: a.id.String(),
		Zone: string(rune('a' + a.zone)), Slots: slots, MemoryMB: targetMemoryMB})
	e.scheduler.Grant(e.c.clock(), a.id, grant)
	e.dispatchQueued()
}

func (e *entry) removeTarget(id wire.Incarnation) { e.scheduler.RemoveTarget(e.c.clock(), id) }

// tick ends queued tasks whose deadline has passed and checks for silent agents.
func (e *entry) tick() {
	for _, task := range e.scheduler.Expire(e.c.clock()) {
		e.queued--
		e.c.endTask(task.ID.Index, expired)
	}
	for _, a := range e.c.agents {
		silent := e.c.now - e.lastReceived[a.index]
		if silent > silentAfter {
			e.removeTarget(a.id)
		}
		if silent > deadAfter {
			for _, d := range e.c.sortedByTask(e.outstanding[a.id]) {
				e.endDispatch(d, scheduler.EndUnknown)
			}
		}
	}
	e.dispatchQueued()
}
