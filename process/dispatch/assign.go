package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// group is the tasks of one step of a job that wait for a target.
type group struct {
	job  *activeJob
	step int
	rank rank
	// start is when the step must start for the job to meet its objective.
	start time.Time
	// turn orders the groups of one rank.
	turn time.Time
}

// rank is the first criterion of the order in which groups are served.
type rank int

const (
	// rankBegun: tasks of the job have started. What has been begun is finished
	// first, because a job is as late as its last task.
	rankBegun rank = iota
	// rankTimely: the job can still meet its objective.
	rankTimely
	// rankLate: it can't. Serving late jobs first would make all others late.
	rankLate
)

// priorityStep is by how much the tasks of a queue may be overtaken by those of
// a queue with the next higher priority.
const priorityStep = 100 * time.Millisecond

// maxUnplaced bounds how many groups in a row may find no target before the
// rest of the queue is left for later.
const maxUnplaced = 8

// outgoing collects the orders of one pass, one message for each target.
type outgoing struct {
	targets []*target
	orders  map[*target]*wire.Orders
}

// assign sends waiting tasks to targets with room, the most urgent first.
func (c *Core) assign(now time.Time, p *pool) {
	c.wake.note(now)
	queue := c.queue(now, p)
	if len(queue) == 0 || c.wake.settling(now) {
		return
	}
	out := outgoing{orders: make(map[*target]*wire.Orders)}
	unplaced := 0
	for _, g := range queue {
		if c.place(now, p, g, &out) {
			unplaced = 0
			continue
		}
		if unplaced++; unplaced >= maxUnplaced {
			break
		}
	}
	waiting := c.waiting(now, p)
	for _, t := range out.targets {
		out.orders[t].Waiting = waiting
		c.send(now, t, out.orders[t])
	}
	if waiting != nil {
		c.tellWaiting(now, p, waiting)
	}
}

// waiting describes the tasks that found no room, or returns nil.
func (c *Core) waiting(now time.Time, p *pool) *wire.Waiting {
	queue := c.queue(now, p)
	if len(queue) == 0 {
		return nil
	}
	w := &wire.Waiting{SlackMS: queue[0].slack(now).Milliseconds(), Smallest: queue[0].demand()}
	for _, g := range queue {
		if demand := g.demand(); demand.FitsIn(w.Smallest) {
			w.Smallest = demand
		}
	}
	return w
}

// waitingFor renews what a target has been told.
func (c *Core) waitingFor(now time.Time, p *pool, t *target) *wire.Waiting {
	if !t.told {
		return nil
	}
	return c.waiting(now, p)
}

func (g group) demand() batch.Resources { return g.job.Job.Steps[g.step].Demand }

// tellWaiting asks targets to invite this entry when they have room.
func (c *Core) tellWaiting(now time.Time, p *pool, waiting *wire.Waiting) {
	told := 0
	for _, t := range p.ordered {
		if t.told {
			told++
		}
	}
	for _, t := range p.ordered {
		if told >= maxTold {
			return
		}
		if t.told || !t.takesOrders(now) {
			continue
		}
		c.send(now, t, &wire.Orders{Waiting: waiting})
		told++
	}
}

// queue returns the groups that wait, in the order in which they are served:
// by rank and then the least slack first. This answers bursts.
func (c *Core) queue(now time.Time, p *pool) []group {
	var queue []group
	for _, j := range p.jobs {
		if c.held(now, j) {
			continue
		}
		for step := range j.steps {
			if len(j.steps[step].ready) == 0 {
				continue
			}
			queue = append(queue, newGroup(now, j, step))
		}
	}
	slices.SortFunc(queue, compareGroups)
	return queue
}

func newGroup(now time.Time, j *activeJob, step int) group {
	g := group{job: j, step: step, rank: rankTimely, start: j.latestStart(step)}
	g.turn = g.start.Add(time.Duration(j.Priority) * priorityStep)
	switch {
	case j.started > 0:
		g.rank = rankBegun
	case g.start.Before(now):
		g.rank = rankLate
	}
	return g
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.turn.Compare(b.turn), cmp.Compare(a.job.Job.ID, b.job.Job.ID), cmp.Compare(a.step, b.step))
}

// rankGap separates the ranks in the slack that is told to an agent.
const rankGap = 10 * time.Second

// slack tells an agent where a group stands among those of other entries.
func (g group) slack(now time.Time) time.Duration {
	return g.turn.Sub(now) + time.Duration(g.rank)*rankGap
}

// place orders runs for as many tasks of a group as find room. It reports
// whether any did.
func (c *Core) place(now time.Time, p *pool, g group, out *outgoing) bool {
	state := &g.job.steps[g.step]
	placed := false
	for len(state.ready) > 0 {
		t := c.choose(now, p, g)
		if t == nil {
			return placed
		}
		c.order(now, p, g, t, out)
		placed = true
	}
	return placed
}

// order asks a target for runs of as many tasks of the group as it has room
// for. Few targets for a job mean few messages, and few jobs that are hit when
// a target fails.
func (c *Core) order(now time.Time, p *pool, g group, t *target, out *outgoing) {
	j, state, step := g.job, &g.job.steps[g.step], g.job.Job.Steps[g.step]
	start := wire.StartOrder{Job: j.Job.ID, Target: t.state.Target, Spec: j.Job.Spec, Step: g.step, Demand: step.Demand,
		Durable: j.durable != nil, EstimateMS: step.Estimate.Milliseconds(), SlackMS: g.slack(now).Milliseconds()}
	room := t.expectedFree()
	for len(state.ready) > 0 && step.Demand.FitsIn(room) && state.allows(step, t) {
		if len(start.Tasks) > 0 && t.state.Probing {
			break
		}
		next := state.ready[0]
		state.ready = state.ready[1:]
		next.number++
		r := &run{task: next, target: t, number: next.number, ordered: now, demand: step.Demand}
		next.live = r
		t.runs[r.name()] = r
		p.countOnTarget(r, 1)
		j.started++
		start.Tasks = append(start.Tasks, wire.StartTask{Index: next.index, Number: next.number})
		t.unheard = append(t.unheard, unheardOrder{t.sent + 1, step.Demand})
		room = room.Sub(step.Demand)
	}
	c.counters.ordered.Add(uint64(len(start.Tasks)))
	c.env.Decided(decision.Decision{Step: "place", Job: j.Job.ID, Peer: t.node, Outcome: "ordered", Age: now.Sub(t.heard),
		Version: t.state.Revision, Routine: true, Inputs: []decision.Input{{Name: "job_step", Value: int64(g.step)},
			{Name: "tasks", Value: int64(len(start.Tasks))}, {Name: "free_millicpu", Value: int64(t.free.MilliCPU)}, {Name: "slack_ms", Value: g.start.Sub(now).Milliseconds()}}})
	if out.orders[t] == nil {
		out.orders[t] = &wire.Orders{}
		out.targets = append(out.targets, t)
	}
	out.orders[t].Starts = append(out.orders[t].Starts, start)
}

// allows reports whether the step may have another run on the target.
func (s *stepState) allows(step batch.Step, t *target) bool {
	return step.MaxPerTarget == 0 || s.perTarget[t.node] < step.MaxPerTarget
}

// choose returns the target for the next task of a group, or nil.
func (c *Core) choose(now time.Time, p *pool, g group) *target {
	step, state := g.job.Job.Steps[g.step], &g.job.steps[g.step]
	avoid := state.ready[0].avoid
	var best *target
	var bestCost float64
	for _, t := range p.ordered {
		if !t.takesOrders(now) || !step.Demand.FitsIn(t.state.Room) || !state.allows(step, t) || !t.hasLabel(step.Label) {
			continue
		}
		fits := step.Demand.FitsIn(t.expectedFree())
		if !fits || (t.state.Probing && len(t.unheard) > 0) {
			continue
		}
		cost := c.cost(p, g, t)
		if slices.Contains(avoid, t.node) {
			cost += costAvoided
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

func (t *target) hasLabel(label string) bool {
	return label == "" || slices.Contains(t.state.Labels, label)
}

// Weights of the choice of a target. Their unit is the duration of a task on a
// target of usual speed.
const (
	// costAvoided keeps a task from the targets where it did not get done.
	costAvoided = 10.0
	// costProbing keeps tasks from a target that may still be faulty.
	costProbing = 5.0
	// costOtherZone is for the longer way and the price of bytes between zones.
	costOtherZone = 0.15
	// costSplit is for a job that needs another target for the rest of its
	// tasks.
	costSplit = 0.3
	// costRandom spreads the orders of entries that know the same.
	costRandom = 0.3
)

func (c *Core) cost(p *pool, g group, t *target) float64 {
	cost := p.speeds.of(t.node) + costRandom*p.random.Float64()
	if t.state.Probing {
		cost += costProbing
	}
	if t.zone != c.zone {
		cost += costOtherZone
	}
	if !fitsAll(g.job.Job.Steps[g.step].Demand, len(g.job.steps[g.step].ready), t.expectedFree()) {
		cost += costSplit
	}
	return cost
}

func fitsAll(demand batch.Resources, tasks int, free batch.Resources) bool {
	all := batch.Resources{MilliCPU: demand.MilliCPU * tasks, MemoryMiB: demand.MemoryMiB * tasks, GPUs: demand.GPUs * tasks}
	return all.FitsIn(free)
}
