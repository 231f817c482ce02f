package dispatch

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// maxUnplacedGroups is the number of consecutive groups without a suitable target
// after which a pass leaves the rest of the queue to a later pass.
const maxUnplacedGroups = 8

// orderBatch collects the orders of one pass, in one message for each target.
type orderBatch struct {
	targets []*target
	orders  map[*target]*wire.Orders
	// abandoned are the jobs whose callers have left. They end after the orders are sent,
	// so that no stop precedes the start of its run.
	abandoned []*activeJob
}

// Times between two passes over the waiting tasks. A pass looks at every job, so that with
// many jobs one for each message would take more processor time than there is.
const (
	// passPausePerJob is the shortest pause for each active job, if there are more than
	// minJobsForPause.
	passPausePerJob = 10 * time.Microsecond
	minJobsForPause = 200
	maxPassPause    = 30 * time.Millisecond
)

// passPause returns the shortest time between two passes.
func (p *pool) passPause() time.Duration {
	if len(p.jobs) < minJobsForPause {
		return 0
	}
	return min(time.Duration(len(p.jobs))*passPausePerJob, maxPassPause)
}

// assign sends start orders for waiting tasks to targets with room, the most urgent tasks
// first, unless a pass has done so just before; Tick makes up for it.
func (c *Core) assign(now time.Time, p *pool) {
	c.pauses.recordActivity(now)
	if now.Sub(p.lastPass) >= p.passPause() {
		c.pass(now, p)
	}
}

// pass assigns the waiting tasks.
func (c *Core) pass(now time.Time, p *pool) {
	p.lastPass = now
	if c.pauses.justResumed(now) {
		return
	}
	queue := c.queueOfPass(now, p)
	if queue.Len() == 0 {
		return
	}
	out := orderBatch{orders: make(map[*target]*wire.Orders)}
	var left []group
	waits := newLocalityPass()
	withoutRoom, mayStart := 0, c.mayStartDurable(now)
	for queue.Len() > 0 && withoutRoom < maxUnplacedGroups {
		g := queue.next()
		if !g.waits() || g.job.onHold(now, mayStart) {
			continue
		}
		switch c.place(now, p, g, waits, &out) {
		case placed:
			withoutRoom = 0
		case unplaced:
			withoutRoom++
		}
		if g.waits() {
			g.rank = g.job.rank(now.UnixNano(), g.state())
			left = append(left, g)
		}
	}
	queue.restore(left)
	waiting := describeGroups(now, left)
	p.waiting, p.waitingAt = waiting, now
	for _, t := range out.targets {
		out.orders[t].Waiting = waiting
		c.send(now, p, t, out.orders[t])
	}
	for _, j := range out.abandoned {
		c.endJob(now, p, j, unfinishedResult(j, ReasonCallerLeft))
	}
	if waiting != nil {
		c.announceWaiting(now, p, waiting, withoutRoom)
	}
}

// announcedWaiting describes the waiting tasks for a target to which they were
// announced before, and returns nil for any other target. Each message to an agent
// replaces the announcement of the one before.
func (c *Core) announcedWaiting(now time.Time, p *pool, t *target) *wire.Waiting {
	if !t.waitingAnnounced {
		return nil
	}
	return c.describeWaiting(now, p)
}

// acceptInvitation assigns the waiting tasks, however recent the last pass is, and answers
// the agent. If the description of the waiting tasks fits its room and none of them was
// placed there all the same, it says that none waits: the agent would repeat the invitation
// at once and reserve its room meanwhile. A later pass announces them again, see
// declinePause.
func (c *Core) acceptInvitation(now time.Time, p *pool, t *target) {
	c.pauses.recordActivity(now)
	sent := t.lastSequence
	c.pass(now, p)
	if t.lastSequence > sent {
		return
	}
	waiting := c.describeWaiting(now, p)
	if waiting != nil && waiting.Smallest.FitsIn(t.expectedFree()) {
		t.declinedAt, waiting = now, nil
	}
	c.send(now, p, t, &wire.Orders{Waiting: waiting})
}

// placeOutcome is the outcome of placing a group.
type placeOutcome int

const (
	// unplaced: there is no room for any of its tasks.
	unplaced placeOutcome = iota
	// placed: at least one task was assigned.
	placed
	// delayed: no task was assigned, because the group waits for a local target although
	// there is room elsewhere.
	delayed
)

// place assigns as many tasks of a group as there is room for, and not those that wait for
// a local target. A job whose callers have left is added to the abandoned ones instead.
func (c *Core) place(now time.Time, p *pool, g group, waits *localityPass, out *orderBatch) placeOutcome {
	state, outcome := g.state(), unplaced
	for len(state.ready) > 0 {
		chosen := c.choose(now, p, g, waits)
		if chosen.target != nil && outcome == unplaced && g.job.callersHaveLeft() {
			out.abandoned = append(out.abandoned, g.job)
			return placed
		}
		tasks := chosen.tasksNow(g)
		if tasks == 0 {
			c.delay(now, p, g, chosen, waits)
			if outcome == unplaced {
				outcome = delayed
			}
			return outcome
		}
		c.endDelay(now, p, g, chosen)
		if chosen.target == nil {
			return outcome
		}
		c.order(now, p, g, chosen.target, tasks, out)
		outcome = placed
	}
	return outcome
}

// order adds start orders for as many tasks of the group as the target has room
// for, up to limit. With few targets for each job, fewer messages are sent and fewer jobs are
// affected when a target fails.
func (c *Core) order(now time.Time, p *pool, g group, t *target, limit int, out *orderBatch) {
	j, state, step := g.job, &g.job.steps[g.step], g.job.Job.Steps[g.step]
	start := wire.StartOrder{Job: j.Job.ID, Target: t.state.Target, Spec: j.Job.Spec, Step: g.step, Demand: step.Demand,
		Durable: j.durableState != nil, EstimateMS: p.usualDuration(g).Milliseconds(), SlackMS: g.slack(now).Milliseconds()}
	for range c.tasksThatFit(g, t, limit) {
		next := state.ready[0]
		state.ready = state.ready[1:]
		next.lastNumber++
		r := &run{task: next, target: t, number: next.lastNumber, orderedAt: now, demand: step.Demand, load: t.loadWith(step.Demand), stopIfSlow: p.mayRestart(next)}
		next.liveRun = r
		t.runs[r.id()] = r
		p.addToNodeCount(r, 1)
		j.runsStarted++
		start.Tasks = append(start.Tasks, wire.StartTask{Index: next.index, RunNumber: next.lastNumber, StopIfSlow: r.stopIfSlow})
		t.inFlight = append(t.inFlight, inFlightOrder{t.lastSequence + 1, step.Demand})
		t.unconfirmed = append(t.unconfirmed, unconfirmedStart{t.lastSequence + 1, r})
	}
	c.counters.runsOrdered.Add(uint64(len(start.Tasks)))
	c.env.Record(decision.Decision{Step: "place", Job: j.Job.ID, Peer: t.node, Outcome: "ordered", Age: now.Sub(t.lastReceived),
		Version: t.state.Revision, Routine: true, Inputs: []decision.Input{{Name: "job_step", Value: int64(g.step)},
			{Name: "tasks", Value: int64(len(start.Tasks))}, {Name: "free_millicpu", Value: int64(t.reportedFree.MilliCPU)}, {Name: "expected_ms", Value: p.expectedDuration(g, t).Milliseconds()}, {Name: "slack_ms", Value: j.latestStart(g.step).Sub(now).Milliseconds()}}})
	if out.orders[t] == nil {
		out.orders[t] = &wire.Orders{}
		out.targets = append(out.targets, t)
	}
	out.orders[t].Starts = append(out.orders[t].Starts, start)
}

// tasksThatFit returns how many of the group's next tasks, up to limit, can go to a target
// that has room for one. A target that is being probed gets one.
func (c *Core) tasksThatFit(g group, t *target, limit int) int {
	step, room, tasks := g.job.Job.Steps[g.step], t.expectedFree(), 0
	for tasks < limit && step.Demand.FitsIn(room) && g.state().allowsTasksOn(step, t, tasks+1) {
		tasks++
		if t.state.Probing {
			break
		}
		room = room.Sub(step.Demand)
	}
	return tasks
}

// allowsTasksOn reports whether MaxPerTarget permits a number of further runs on the target.
func (s *stepState) allowsTasksOn(step batch.Step, t *target, tasks int) bool {
	return step.MaxPerTarget == 0 || s.runsPerNode[t.node]+tasks <= step.MaxPerTarget
}

func (t *target) hasLabel(label string) bool {
	return label == "" || slices.Contains(t.state.Labels, label)
}

// Costs of a target. The unit is the duration of a task on a target of usual
// speed.
const (
	// costAvoided keeps a task away from targets that refused or did not complete
	// a run of it.
	costAvoided = 10.0
	// costProbing keeps tasks away from a target that may still be faulty.
	costProbing = 5.0
	// costOtherZone accounts for the higher latency and the price of traffic
	// between zones.
	costOtherZone = 0.15
	// costSplit is for a target without room for all waiting tasks of the step,
	// so that the rest of them needs another target.
	costSplit = 0.3
	// costRandom bounds a random cost that spreads the orders of entries with
	// the same information over several targets.
	costRandom = 0.3
	// costStale is for a target whose last report has the age staleAfter or more: the room
	// there may have been taken by another entry. A newer report costs in proportion.
	costStale  = 0.5
	staleAfter = 100 * time.Millisecond
)

// cost returns the cost of placing a task of a group on a target.
func (c *Core) cost(p *pool, g group, t *target) float64 {
	cost := p.expectedRatio(g, t) + costRandom*p.random.Float64()
	if t.state.Probing {
		cost += costProbing
	}
	cost += costStale * min(1, float64(p.lastPass.Sub(t.lastReceived))/float64(staleAfter))
	if t.zone != c.zone {
		cost += costOtherZone
	}
	if !fitsAll(g.job.Job.Steps[g.step].Demand, len(g.job.steps[g.step].ready), t.expectedFree()) {
		cost += costSplit
	}
	return cost
}

// fitsAll reports whether a number of tasks fit in the free room together.
func fitsAll(demand batch.Resources, tasks int, free batch.Resources) bool {
	all := batch.Resources{MilliCPU: demand.MilliCPU * tasks, MemoryMiB: demand.MemoryMiB * tasks, GPUs: demand.GPUs * tasks}
	return all.FitsIn(free)
}
