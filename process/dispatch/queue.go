package dispatch

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// group holds the waiting tasks of one step of a job. It is small, because a pass creates
// one for each waiting job.
type group struct {
	job  *activeJob
	step int
	rank rank
	// adjustedStart is stepState.adjustedStart of the step.
	adjustedStart int64
}

// rank is the first criterion of the order in which groups are served.
type rank int

const (
	// rankStarted: tasks of the job have started. They come first, because a
	// job is complete only with its last task.
	rankStarted rank = iota
	// rankTimely: the job can still meet its objective.
	rankTimely
	// rankLate: the job can't meet its objective. Serving late jobs first would
	// make all others late.
	rankLate
)

// priorityDelay is added to the latest start of a task for each level of
// priority below the highest. Within a rank, a task is served before one of the
// next higher level only if its latest start is earlier by more than this.
const priorityDelay = 100 * time.Millisecond

func (g *group) demand() batch.Resources { return g.job.Job.Steps[g.step].Demand }

// groups returns the waiting groups in no particular order. The result is valid until the
// next call, which uses its memory again.
func (c *Core) groups(now time.Time, p *pool) []group {
	previous := len(p.groups)
	groups := p.groups[:0]
	owned, nanos := c.ownsDurable(now), now.UnixNano()
	for _, j := range p.jobs {
		held, checked := false, false
		for step := range j.steps {
			state := &j.steps[step]
			if len(state.ready) == 0 {
				continue
			}
			if !checked {
				held, checked = j.onHold(now, owned), true
			}
			if held {
				break
			}
			groups = append(groups, group{job: j, step: step, rank: j.rank(nanos, state), adjustedStart: state.adjustedStart})
		}
	}
	if len(groups) < previous {
		clear(p.groups[len(groups):previous])
	}
	p.groups = groups
	return groups
}

// rank returns the rank of a step's waiting tasks. now is in nanoseconds of Unix time.
func (j *activeJob) rank(now int64, state *stepState) rank {
	switch {
	case j.runsStarted > 0:
		return rankStarted
	case state.latestStart < now:
		return rankLate
	}
	return rankTimely
}

// isBefore reports whether the group is served before another one: by rank, then the least
// slack first, so that a burst of jobs is served by urgency.
func (g *group) isBefore(other *group) bool {
	switch {
	case g.rank != other.rank:
		return g.rank < other.rank
	case g.adjustedStart != other.adjustedStart:
		return g.adjustedStart < other.adjustedStart
	case g.job != other.job:
		return g.job.Job.ID < other.job.Job.ID
	}
	return g.step < other.step
}

// rankSlack is added for each rank to the slack that an agent receives, so that
// groups of different ranks don't mix.
const rankSlack = 10 * time.Second

// slack returns the urgency of a group; less is more urgent. Agents compare it
// with that of the groups of other entries.
func (g group) slack(now time.Time) time.Duration {
	return time.Duration(g.adjustedStart-now.UnixNano()) + time.Duration(g.rank)*rankSlack
}

// groupQueue is a heap of groups, the one that is served first at the front. A pass needs
// only the first groups of a long queue, which is cheaper than to sort it.
type groupQueue []group

func newGroupQueue(groups []group) *groupQueue {
	q := groupQueue(groups)
	heap.Init(&q)
	return &q
}

// next removes and returns the first group.
func (q *groupQueue) next() group { return heap.Pop(q).(group) }

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (q groupQueue) Len() int           { return len(q) }
func (q groupQueue) Less(i, j int) bool { return q[i].isBefore(&q[j]) }
func (q groupQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *groupQueue) Push(g any)        { *q = append(*q, g.(group)) }
func (q *groupQueue) Pop() any {
	last := len(*q) - 1
	g := (*q)[last]
	*q = (*q)[:last]
	return g
}

// describeWaiting describes the tasks that wait for room, or returns nil if there are
// none. With many jobs it repeats the description of the last pass for a moment.
func (c *Core) describeWaiting(now time.Time, p *pool) *wire.Waiting {
	if !p.waitingAt.IsZero() && now.Sub(p.waitingAt) < p.passPause() {
		return p.waiting
	}
	p.waiting, p.waitingAt = describeGroups(now, c.groups(now, p)), now
	return p.waiting
}

// describeGroups describes the most urgent of the groups and the smallest task that fits
// where a task of that one does. It leaves out groups whose tasks have been placed since
// they were collected.
func describeGroups(now time.Time, groups []group) *wire.Waiting {
	var first *group
	nanos := now.UnixNano()
	for i := range groups {
		g := &groups[i]
		state := &g.job.steps[g.step]
		if len(state.ready) == 0 {
			continue
		}
		g.rank = g.job.rank(nanos, state)
		if first == nil || g.isBefore(first) {
			first = g
		}
	}
	if first == nil {
		return nil
	}
	largest := first.demand()
	w := &wire.Waiting{SlackMS: first.slack(now).Milliseconds(), Smallest: largest}
	for i := range groups {
		g := &groups[i]
		if demand := g.demand(); demand.FitsIn(largest) && compareDemands(demand, w.Smallest) < 0 && len(g.job.steps[g.step].ready) > 0 {
			w.Smallest = demand
		}
	}
	return w
}

// compareDemands orders demands so that the smallest one does not depend on the order in
// which they are compared.
func compareDemands(a, b batch.Resources) int {
	return cmp.Or(cmp.Compare(a.MilliCPU, b.MilliCPU), cmp.Compare(a.MemoryMiB, b.MemoryMiB), cmp.Compare(a.GPUs, b.GPUs))
}
