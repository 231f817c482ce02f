package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/locality"
	"github.com/azurerouter/azurerouter/request/batch"
)

// localCapacity is the capacity in the rack of a step's data for all tasks that the step has
// left, as far as the runs of this entry free it. Runs of other entries may end earlier, and
// other entries may take what becomes free; the agents decide between entries.
type localCapacity struct {
	// known is false if the runs of this entry do not free enough.
	known bool
	// free is when the last of the tasks can start, at the target last.
	free locality.Estimate
	last *target
	// tasks are the numbers of the tasks by target.
	tasks map[*target]int
	// duration is the longest expected duration at these targets.
	duration locality.Estimate
}

// ending is the expected end of a run of this entry.
type ending struct {
	target *target
	left   locality.Estimate
	demand batch.Resources
}

// compare orders ends by time. The order of equal ones does not depend on that of a map.
func (e ending) compare(other ending) int {
	return cmp.Or(cmp.Compare(e.left.Expected, other.left.Expected), cmp.Compare(e.left.Error, other.left.Error), compareDemands(e.demand, other.demand))
}

// endings returns the expected ends of the runs at a target, except those that take longer
// than their error allows for.
func (c *Core) endings(now time.Time, p *pool, t *target) []ending {
	var ends []ending
	for _, r := range t.runs {
		g := group{job: r.task.job, step: r.task.step}
		if left, foretold := locality.Remaining(c.durationAt(p, g, t), now.Sub(r.orderedAt)); foretold {
			ends = append(ends, ending{t, left, r.demand})
		}
	}
	slices.SortFunc(ends, ending.compare)
	return ends
}

// nextLocalCapacity returns when the rack of the group's data is expected to have capacity
// for all tasks that the group has left, besides what groups earlier in the pass wait for.
func (c *Core) nextLocalCapacity(now time.Time, p *pool, g group, pass *localityPass) localCapacity {
	step := g.job.Job.Steps[g.step]
	free := make(map[*target]batch.Resources)
	var ends []ending
	var local []*target
	for _, t := range p.targetList {
		if !t.isLocal(step) || !c.mayBecomeFree(now, g, t) {
			continue
		}
		local = append(local, t)
		free[t] = t.expectedFree().Sub(pass.expected[t])
		ends = append(ends, c.endings(now, p, t)...)
	}
	slices.SortStableFunc(ends, ending.compare)
	found := localCapacity{tasks: make(map[*target]int)}
	left := len(g.state().ready)
	fill := func(t *target) {
		for left > 0 && g.demand().FitsIn(free[t]) && g.state().allowsTasksOn(step, t, found.tasks[t]+1) {
			free[t] = free[t].Sub(g.demand())
			found.tasks[t]++
			found.last = t
			left--
		}
	}
	for _, t := range local {
		fill(t)
	}
	for i := 0; left > 0 && i < len(ends); i++ {
		end := ends[i]
		free[end.target] = free[end.target].Add(end.demand)
		found.free = laterEnd(found.free, end.left)
		fill(end.target)
	}
	if left > 0 || found.last == nil {
		return localCapacity{}
	}
	found.known = true
	for t := range found.tasks {
		if duration := c.durationAt(p, g, t); duration.Expected > found.duration.Expected {
			found.duration = duration
		}
	}
	return found
}

// laterEnd returns the estimate of the last of two ends, of which the second is not expected
// before the first. The error of the first may reach further.
func laterEnd(first, second locality.Estimate) locality.Estimate {
	latest := max(first.Expected+first.Error, second.Expected+second.Error)
	return locality.Estimate{Expected: second.Expected, Error: latest - second.Expected}
}

// mayBecomeFree reports whether the group's next task could go to the target if it had
// capacity.
func (c *Core) mayBecomeFree(now time.Time, g group, t *target) bool {
	return c.exclusion(now, g, t) == "" && !t.state.Probing && !slices.Contains(g.state().ready[0].avoidedNodes, t.node)
}

// freeAfter returns when the target is expected to have the resources free. ok is false if
// the runs of this entry do not free enough.
func (c *Core) freeAfter(now time.Time, p *pool, t *target, needed batch.Resources) (at locality.Estimate, ok bool) {
	free := t.expectedFree()
	if needed.FitsIn(free) {
		return locality.Estimate{}, true
	}
	for _, end := range c.endings(now, p, t) {
		free, at = free.Add(end.demand), laterEnd(at, end.left)
		if needed.FitsIn(free) {
			return at, true
		}
	}
	return locality.Estimate{}, false
}

func multiply(demand batch.Resources, count int) batch.Resources {
	return batch.Resources{MilliCPU: demand.MilliCPU * count, MemoryMiB: demand.MemoryMiB * count, GPUs: demand.GPUs * count}
}
