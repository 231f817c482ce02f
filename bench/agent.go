package bench

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
)

// agent models an agent with its target.
type agent struct {
	// refused are the entries that were refused for lack of room, in order.
	refused []*entry
	c       *cluster
	number  int
	id      wire.Incarnation
	zone    int
	up      bool
	leaving bool
	running map[*dispatch]bool
	waiting []*dispatch
	// slow multiplies run times; failing ends every task after failAfter;
	// hanging ends tasks only at their deadline.
	// refuse is the share of dispatches that the target refuses as not started.
	slow, refuse     float64
	failing, hanging bool
	memory           int
	lastSent         [entries]time.Duration
	// granted and demand belong to the policy credits.
	granted [entries]int
	demand  [entries]int
}

// dispatch is a task on its way to, at, or back from an agent.
type dispatch struct {
	entry   *entry
	task    int
	attempt int
	agent   wire.Incarnation
	end     scheduler.End
	took    time.Duration
}

const (
	failAfter = 5 * time.Millisecond
	// swapFactor slows a task that starts while the target's memory is over
	// committed.
	swapFactor = 3
)

func (a *agent) load() wire.Load { return wire.Load{Running: len(a.running), Queued: len(a.waiting)} }

func (a *agent) receive(tasks []*dispatch, demand int) {
	if !a.up {
		return
	}
	for _, d := range tasks {
		a.demand[d.entry.number] = demand
		if a.c.cfg.Settings.Policy == scheduler.Credits {
			a.granted[d.entry.number]--
		}
		switch {
		case d.agent != a.id || a.leaving || a.refuse > a.c.random.Float64():
			a.answer(d, scheduler.EndNotStarted)
		case len(a.running) < slots:
			a.start(d)
		case len(a.waiting) < a.c.cfg.AgentQueue:
			a.waiting = append(a.waiting, d)
		default:
			a.answer(d, scheduler.EndBusy)
			if !slices.Contains(a.refused, d.entry) {
				a.refused = append(a.refused, d.entry)
			}
		}
	}
}

func (a *agent) start(d *dispatch) {
	arrival := &a.c.arrivals[d.task]
	a.running[d] = true
	a.memory += arrival.actual
	run := time.Duration(float64(arrival.run) * a.slow)
	if a.memory > targetMemory {
		run *= swapFactor
	}
	end := scheduler.EndOK
	if a.failing || arrival.poison < a.c.poisoned {
		run, end = failAfter, scheduler.EndFailed
	}
	if left := arrival.deadline - a.c.now; a.hanging || run > left {
		run, end = max(0, left), scheduler.EndTimeout
	}
	d.took = run
	a.c.after(run, func() { a.finish(d, end) })
}

func (a *agent) finish(d *dispatch, end scheduler.End) {
	if !a.running[d] {
		return // The agent was lost meanwhile.
	}
	delete(a.running, d)
	a.memory -= a.c.arrivals[d.task].actual
	if len(a.waiting) > 0 {
		next := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.start(next)
	}
	a.answer(d, end)
	a.invite()
}

// invite tells entries that were refused for lack of room of free slots, one
// entry for each slot.
func (a *agent) invite() {
	for free := slots - len(a.running) - len(a.waiting); free > 0 && len(a.refused) > 0; free-- {
		e := a.refused[0]
		a.refused = a.refused[1:]
		load, id := a.load(), a.id
		a.send(e, heartbeatMessage, func() {
			e.scheduler.Report(a.c.clock(), id, load)
			e.pump()
		})
	}
}

func (a *agent) answer(d *dispatch, end scheduler.End) {
	d.end = end
	grant := a.grantFor(d.entry.number)
	load := a.load()
	a.send(d.entry, answerMessage, func() { d.entry.answered(a, d, load, grant) })
	a.grantRest(d.entry.number)
}

func (a *agent) send(e *entry, kind messageKind, deliver func()) {
	if !a.up {
		return
	}
	a.c.count(kind)
	a.lastSent[e.number] = a.c.now
	id := a.id
	a.c.after(latency(a.zone, e.zone), func() {
		if id == a.id && a.up {
			e.lastHeard[a.number] = a.c.now
			deliver()
		}
	})
}

// free returns the slots that no entry holds.
func (a *agent) free() int {
	free := slots - len(a.running) - len(a.waiting)
	for _, granted := range a.granted {
		free -= granted
	}
	return free
}

// favoured returns the entry to which the next free slot goes: the one with
// more waiting tasks, else the given one.
func (a *agent) favoured(entry int) int {
	for other := range a.demand {
		if a.demand[other] > a.demand[entry] {
			entry = other
		}
	}
	return entry
}

// grantFor grants free slots to the entry if it is the favoured one.
func (a *agent) grantFor(entry int) int {
	if a.c.cfg.Settings.Policy != scheduler.Credits || a.leaving || a.favoured(entry) != entry {
		return 0
	}
	grant := max(0, a.free())
	a.granted[entry] += grant
	return grant
}

// grantRest grants free slots to another entry in a message of its own.
func (a *agent) grantRest(entry int) {
	if a.c.cfg.Settings.Policy != scheduler.Credits || a.leaving {
		return
	}
	other := a.favoured(entry)
	grant := a.free()
	if grant <= 0 || other == entry {
		return
	}
	a.granted[other] += grant
	e := a.c.entries[other]
	a.send(e, grantMessage, func() { e.granted(a, grant) })
}

// hello introduces a new incarnation of the agent to every entry.
func (a *agent) hello() {
	a.up, a.leaving = true, false
	a.c.incarnations++
	a.id = a.c.incarnations
	a.running, a.waiting, a.memory = map[*dispatch]bool{}, nil, 0
	a.granted, a.demand = [entries]int{}, [entries]int{}
	for _, e := range a.c.entries {
		grant := 0
		if a.c.cfg.Settings.Policy == scheduler.Credits {
			grant = slots / entries
			a.granted[e.number] = grant
		}
		a.send(e, controlMessage, func() { e.setTarget(a, grant) })
	}
}

// leave refuses new work and finishes the running tasks.
func (a *agent) leave() {
	a.leaving = true
	for _, e := range a.c.entries {
		id := a.id
		a.send(e, controlMessage, func() { e.removeTarget(id) })
	}
}

// lose drops the agent with everything that runs on it.
func (a *agent) lose() {
	a.up = false
	a.running, a.waiting = map[*dispatch]bool{}, nil
}
