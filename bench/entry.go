package bench

import (
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
)

// Silence after which an entry stops sending to an agent, and after which it
// gives up the tasks that run there.
const (
	silentAfter   = 2 * time.Second
	deadAfter     = 3 * time.Second
	heartbeatTime = wire.HeartbeatInterval
)

// entry models an entry around the real scheduler.
type entry struct {
	c         *cluster
	number    int
	zone      int
	scheduler *scheduler.Scheduler
	random    *rand.Rand
	waiting   int
	// outstanding holds the dispatches per agent incarnation.
	outstanding map[wire.Incarnation]map[*dispatch]bool
	agents      map[wire.Incarnation]*agent
	lastHeard   [targets]time.Duration
	lastSent    [targets]time.Duration
}

func (e *entry) taskOf(index int) scheduler.Task {
	a := &e.c.arrivals[index]
	task := scheduler.Task{ID: scheduler.TaskID{Index: index}, Priority: a.priority,
		Enqueued: e.c.clock(), Deadline: epoch.Add(a.deadline)}
	if e.c.cfg.WrongSizes {
		task.Needs.MemoryMB = a.declared
	}
	return task
}

// submit admits the arrivals first to last, which are one submission.
func (e *entry) submit(first, last int) {
	var tasks []scheduler.Task
	for i := first; i < last; i++ {
		tasks = append(tasks, e.taskOf(i))
	}
	if e.scheduler.Admit(e.c.clock(), tasks) != nil {
		for i := first; i < last; i++ {
			e.c.end(i, refused)
		}
		return
	}
	e.waiting += len(tasks)
	e.pump()
}

// pump sends everything that may be sent now, one message per agent.
func (e *entry) pump() {
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
		e.waiting--
		e.c.started(assignment.Task.Attempt)
	}
	for _, id := range order {
		a, tasks, demand := e.agents[id], perAgent[id], e.waiting
		e.send(a, dispatchMessage, func() { a.receive(tasks, demand) })
	}
}

func (e *entry) send(a *agent, kind messageKind, deliver func()) {
	e.c.count(kind)
	e.lastSent[a.number] = e.c.now
	e.c.after(latency(a.zone, e.zone), deliver)
}

func (e *entry) answered(a *agent, d *dispatch, load wire.Load, grant int) {
	e.finish(d, d.end)
	e.scheduler.Report(e.c.clock(), d.agent, load)
	e.scheduler.Grant(e.c.clock(), a.id, grant)
	e.pump()
}

func (e *entry) granted(a *agent, grant int) {
	e.scheduler.Grant(e.c.clock(), a.id, grant)
	e.pump()
}

// finish ends a dispatch and retries the task if it was not started.
func (e *entry) finish(d *dispatch, end scheduler.End) {
	if !e.outstanding[d.agent][d] {
		return
	}
	delete(e.outstanding[d.agent], d)
	task := e.taskOf(d.task)
	e.scheduler.Finish(e.c.clock(), d.agent, task.ID, end, d.took)
	switch end {
	case scheduler.EndOK:
		e.c.end(d.task, answered)
	case scheduler.EndFailed:
		e.c.end(d.task, failed)
	case scheduler.EndTimeout:
		e.c.unused(2)
		e.c.end(d.task, late)
	case scheduler.EndUnknown:
		e.c.unused(1)
		e.c.end(d.task, lost)
	default:
		e.c.unused(2)
		e.retry(task, d)
	}
}

func (e *entry) retry(task scheduler.Task, d *dispatch) {
	task.Enqueued = epoch.Add(e.c.arrivals[d.task].at)
	task.Avoid, task.Attempt, task.Busy = d.agent, d.attempt+1, d.end == scheduler.EndBusy
	if !e.scheduler.Retry(e.c.clock(), task) {
		e.c.end(d.task, notStarted)
		return
	}
	e.waiting++
	e.c.retries++
}

func (e *entry) setTarget(a *agent, grant int) {
	e.agents[a.id] = a
	e.outstanding[a.id] = map[*dispatch]bool{}
	e.lastHeard[a.number] = e.c.now
	e.scheduler.SetTarget(e.c.clock(), scheduler.Target{ID: a.id, Name: a.id.String(),
		Zone: string(rune('a' + a.zone)), Slots: slots, MemoryMB: targetMemory})
	e.scheduler.Grant(e.c.clock(), a.id, grant)
	e.pump()
}

func (e *entry) removeTarget(id wire.Incarnation) { e.scheduler.RemoveTarget(e.c.clock(), id) }

// tick expires waiting tasks and notices silent agents.
func (e *entry) tick() {
	for _, task := range e.scheduler.Expire(e.c.clock()) {
		e.waiting--
		e.c.end(task.ID.Index, expired)
	}
	for _, a := range e.c.agents {
		silent := e.c.now - e.lastHeard[a.number]
		if silent > silentAfter {
			e.removeTarget(a.id)
		}
		if silent > deadAfter {
			for _, d := range e.c.sorted(e.outstanding[a.id]) {
				e.finish(d, scheduler.EndUnknown)
			}
		}
	}
	e.pump()
}
