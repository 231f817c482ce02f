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
// next higher level only if its latest start is earlier by more than this. The bound keeps
// low priorities from starving. 100 ms lets tasks of low priority that have waited overtake
// most of the shortest tasks in an overload, see docs/design/admission.md.
const priorityDelay = 200 * time.Millisecond

// Age up to which passes take the groups from the same collection of them, after which it
// is made again. To collect them, all jobs are looked at. Groups that have become ready
// meanwhile are added; a rank that has changed with time, and the end of a hold, show with
// the next collection.
const (
	// queueAgePerJob is the age for each active job, if there are more than
	// minJobsForPause. Otherwise each pass collects the groups.
	queueAgePerJob = 50 * time.Microsecond
	maxQueueAge    = 30 * time.Millisecond
)

// queueAge returns the age up to which the collected groups are used.
func (p *pool) queueAge() time.Duration {
	if len(p.jobs) < minJobsForPause {
		return 0
	}
	return min(time.Duration(len(p.jobs))*queueAgePerJob, maxQueueAge)
}

// waitingQueue returns the waiting groups. Those of which all tasks have been placed or
// whose job has ended since they were collected may still be among them.
func (c *Core) waitingQueue(now time.Time, p *pool) *groupQueue {
	if now.Sub(p.queuedAt) > p.queueAge() {
		c.collectGroups(now, p)
	}
	return &p.queue
}

// queueOfPass returns the waiting groups for a pass, which collects them more readily.
func (c *Core) queueOfPass(now time.Time, p *pool) *groupQueue {
	if len(p.queue) == 0 || now.Sub(p.queuedAt) >= p.queueAge() {
		c.collectGroups(now, p)
	}
	return &p.queue
}

func (g *group) state() *stepState { return &g.job.steps[g.step] }

// waits reports whether tasks of the group still wait.
func (g *group) waits() bool { return len(g.state().ready) > 0 }

func (g *group) demand() batch.Resources { return g.job.Job.Steps[g.step].Demand }

// collectGroups sets the queue to the waiting groups, in the memory that it has.
func (c *Core) collectGroups(now time.Time, p *pool) {
	for i := range p.queue {
		p.queue[i].state().queued = false
	}
	groups := p.queue[:0]
	mayStart, nanos := c.mayStartDurable(now), now.UnixNano()
	for _, j := range p.jobs {
		held, checked := false, false
		for step := range j.steps {
			state := &j.steps[step]
			if len(state.ready) == 0 {
				continue
			}
			if !checked {
				held, checked = j.onHold(now, mayStart), true
			}
			if held {
				break
			}
			state.queued = true
			groups = append(groups, group{job: j, step: step, rank: j.rank(nanos, state), adjustedStart: state.adjustedStart})
		}
	}
	if len(groups) < p.collected {
		// Keeps no jobs that have ended.
		clear(groups[len(groups):p.collected])
	}
	p.queue, p.collected, p.queuedAt = groups, len(groups), now
	p.waiting, p.waitingAt = nil, time.Time{}
	heap.Init(&p.queue)
}

// enqueue adds the groups of a job that have become ready to the collected ones.
func (c *Core) enqueue(now time.Time, p *pool, j *activeJob) {
	if j.ended || p.queueAge() == 0 || j.onHold(now, c.mayStartDurable(now)) {
		return
	}
	for step := range j.steps {
		if state := &j.steps[step]; len(state.ready) > 0 && !state.queued {
			state.queued = true
			p.queue.add(group{job: j, step: step, rank: j.rank(now.UnixNano(), state), adjustedStart: state.adjustedStart})
		}
	}
	p.collected = max(p.collected, len(p.queue))
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

// add adds a group.
func (q *groupQueue) add(g group) { heap.Push(q, g) }

// next removes and returns the first group.
func (q *groupQueue) next() group {
	g := heap.Pop(q).(group)
	g.state().queued = false
	return g
}

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
// none. With many jobs it repeats the description for a moment.
func (c *Core) describeWaiting(now time.Time, p *pool) *wire.Waiting {
	queue := c.waitingQueue(now, p)
	if p.waitingAt.IsZero() || queue.Len() == 0 {
		p.waiting, p.waitingAt = describeGroups(now, queue.head(now)), now
	}
	return p.waiting
}

// head returns the groups that a pass tries to place if there is no room for any. Smaller
// tasks behind them do not start, so that agents need not invite the entry for them.
func (q *groupQueue) head(now time.Time) []group {
	var head, awaitLocal []group
	for q.Len() > 0 && len(head) < maxUnplacedGroups {
		switch g := q.next(); {
		case !g.waits():
		case g.awaitsLocal(now):
			awaitLocal = append(awaitLocal, g)
		default:
			head = append(head, g)
		}
	}
	q.restore(head)
	q.restore(awaitLocal)
	return head
}

// restore adds groups that have been taken from the queue.
func (q *groupQueue) restore(groups []group) {
	for _, g := range groups {
		g.state().queued = true
		q.add(g)
	}
}

// describeGroups describes the most urgent of the groups and the smallest task that fits
// where a task of that one does.
func describeGroups(now time.Time, groups []group) *wire.Waiting {
	var first group
	nanos := now.UnixNano()
	for _, g := range groups {
		if !g.waits() || g.awaitsLocal(now) {
			continue
		}
		g.rank = g.job.rank(nanos, g.state())
		if first.job == nil || g.isBefore(&first) {
			first = g
		}
	}
	if first.job == nil {
		return nil
	}
	largest := first.demand()
	w := &wire.Waiting{SlackMS: first.slack(now).Milliseconds(), Smallest: largest}
	for i := range groups {
		g := &groups[i]
		if demand := g.demand(); demand.FitsIn(largest) && compareDemands(demand, w.Smallest) < 0 && g.waits() && !g.awaitsLocal(now) {
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
