package bench

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
)

// agent models an agent with its target.
type agent struct {
	// refusedEntries are the entries to which a task was refused as busy, in order
	// of the refusal, until they are sent the load again.
	refusedEntries []*entry
	c              *cluster
	index          int
	id             wire.Incarnation
	zone           int
	up             bool
	leaving        bool
	running        map[*dispatch]bool
	queue          []*dispatch
	// slowFactor multiplies run times. refuseShare is the share of dispatches
	// that the target refuses as not started. While failing is set every task
	// fails after failDelay; while hanging is set tasks end only at their
	// deadline.
	slowFactor, refuseShare float64
	failing, hanging        bool
	memoryMB                int
	lastSent                [entries]time.Duration // time of the last message to each entry
	// granted and demand are per entry and used by the policy credits: the slots
	// granted and not yet used, and the tasks that wait at the entry.
	granted [entries]int
	demand  [entries]int
}

// dispatch is one attempt at a task, from its dispatch by an entry until the
// answer arrives there.
type dispatch struct {
	entry   *entry
	task    int
	attempt int
	agent   wire.Incarnation
	result  scheduler.End
	runTime time.Duration
}

const (
	failDelay = 5 * time.Millisecond
	// swapFactor multiplies the run time of a task that starts while the tasks
	// on the target use more memory than it has.
	swapFactor = 3
)

// load is the load that the agent reports to entries.
func (a *agent) load() wire.Load { return wire.Load{Running: len(a.running), Queued: len(a.queue)} }

// receive starts, queues or refuses the tasks of a dispatch message. demand is the
// number of tasks that wait at the entry.
func (a *agent) receive(tasks []*dispatch, demand int) {
	if !a.up {
		return
	}
	for _, d := range tasks {
		a.demand[d.entry.index] = demand
		if a.c.cfg.Settings.Policy == scheduler.Credits {
			a.granted[d.entry.index]--
		}
		switch {
		case d.agent != a.id || a.leaving || a.refuseShare > a.c.random.Float64():
			a.answer(d, scheduler.EndNotStarted)
		case len(a.running) < slots:
			a.start(d)
		case len(a.queue) < a.c.cfg.AgentQueue:
			a.queue = append(a.queue, d)
		default:
			a.answer(d, scheduler.EndBusy)
			if !slices.Contains(a.refusedEntries, d.entry) {
				a.refusedEntries = append(a.refusedEntries, d.entry)
			}
		}
	}
}

// start runs a task. The faults of the agent at this time determine how long it
// runs and how it ends.
func (a *agent) start(d *dispatch) {
	arrival := &a.c.arrivals[d.task]
	a.running[d] = true
	a.memoryMB += arrival.actualMB
	runTime := time.Duration(float64(arrival.runTime) * a.slowFactor)
	if a.memoryMB > targetMemoryMB {
		runTime *= swapFactor
	}
	result := scheduler.EndOK
	if a.failing || arrival.failDraw < a.c.failingInputShare {
		runTime, result = failDelay, scheduler.EndFailed
	}
	if left := arrival.deadline - a.c.now; a.hanging || runTime > left {
		runTime, result = max(0, left), scheduler.EndTimeout
	}
	d.runTime = runTime
	a.c.after(runTime, func() { a.finish(d, result) })
}

// finish answers a task that has ended and starts the next one in the queue.
func (a *agent) finish(d *dispatch, result scheduler.End) {
	if !a.running[d] {
		return // The agent has crashed since the task started.
	}
	delete(a.running, d)
	a.memoryMB -= a.c.arrivals[d.task].actualMB
	if len(a.queue) > 0 {
		next := a.queue[0]
		a.queue = a.queue[1:]
		a.start(next)
	}
	a.answer(d, result)
	a.reportFreeSlots()
}

// reportFreeSlots sends the load of the agent to entries whose tasks it refused as
// busy, one entry for each free slot, so that they dispatch again.
func (a *agent) reportFreeSlots() {
	for free := slots - len(a.running) - len(a.queue); free > 0 && len(a.refusedEntries) > 0; free-- {
		e := a.refusedEntries[0]
		a.refusedEntries = a.refusedEntries[1:]
		load, id := a.load(), a.id
		a.send(e, heartbeatMessage, func() {
			e.scheduler.Report(a.c.clock(), id, load)
			e.dispatchQueued()
		})
	}
}

// answer sends the result of a dispatch, with the load and a grant of free slots.
func (a *agent) answer(d *dispatch, result scheduler.End) {
	d.result = result
	grant := a.grantFor(d.entry.index)
	load := a.load()
	a.send(d.entry, answerMessage, func() { d.entry.receiveAnswer(a, d, load, grant) })
	a.grantToOther(d.entry.index)
}

// send delivers a message to an entry after the latency, unless the agent crashes
// or restarts meanwhile.
func (a *agent) send(e *entry, kind messageKind, deliver func()) {
	if !a.up {
		return
	}
	a.c.countMessage(kind)
	a.lastSent[e.index] = a.c.now
	id := a.id
	a.c.after(latency(a.zone, e.zone), func() {
		if id == a.id && a.up {
			e.lastReceived[a.index] = a.c.now
			deliver()
		}
	})
}

// freeSlots returns the slots that are neither in use nor granted to an entry.
func (a *agent) freeSlots() int {
	free := slots - len(a.running) - len(a.queue)
	for _, granted := range a.granted {
		free -= granted
	}
	return free
}

// nextGrantee returns the entry to which the next free slots are granted: the one
// with the most waiting tasks, or the given one if no other has more.
func (a *agent) nextGrantee(entry int) int {
	for other := range a.demand {
		if a.demand[other] > a.demand[entry] {
			entry = other
		}
	}
	return entry
}

// grantFor grants all free slots to the entry if it is the next grantee, and
// returns how many these are.
func (a *agent) grantFor(entry int) int {
	if a.c.cfg.Settings.Policy != scheduler.Credits || a.leaving || a.nextGrantee(entry) != entry {
		return 0
	}
	grant := max(0, a.freeSlots())
	a.granted[entry] += grant
	return grant
}

// grantToOther grants all free slots to the next grantee, if that is not the given
// entry. The grant takes a message of its own.
func (a *agent) grantToOther(entry int) {
	if a.c.cfg.Settings.Policy != scheduler.Credits || a.leaving {
		return
	}
	other := a.nextGrantee(entry)
	grant := a.freeSlots()
	if grant <= 0 || other == entry {
		return
	}
	a.granted[other] += grant
	e := a.c.entries[other]
	a.send(e, grantMessage, func() { e.receiveGrant(a, grant) })
}

// register connects a new incarnation of the agent to every entry.
func (a *agent) register() {
	a.up, a.leaving = true, false
	a.c.lastIncarnation++
	a.id = a.c.lastIncarnation
	a.running, a.queue, a.memoryMB = map[*dispatch]bool{}, nil, 0
	a.granted, a.demand = [entries]int{}, [entries]int{}
	for _, e := range a.c.entries {
		grant := 0
		if a.c.cfg.Settings.Policy == scheduler.Credits {
			grant = slots / entries
			a.granted[e.index] = grant
		}
		a.send(e, controlMessage, func() { e.setTarget(a, grant) })
	}
}

// leave removes the agent from every entry. It refuses new work from then on and
// finishes the tasks that it holds.
func (a *agent) leave() {
	a.leaving = true
	for _, e := range a.c.entries {
		id := a.id
		a.send(e, controlMessage, func() { e.removeTarget(id) })
	}
}

// crash drops the agent together with the tasks that it runs or queues.
func (a *agent) crash() {
	a.up = false
	a.running, a.queue = map[*dispatch]bool{}, nil
}
