package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/locality"
	"github.com/azurerouter/azurerouter/request/batch"
)

// localSlot is capacity for one task in the rack of its data.
type localSlot struct {
	target *target
	// free is when the task can start there.
	free locality.Estimate
	// duration is the expected duration of the task there.
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

// localSlots returns the capacity in the rack of the group's data for the tasks that the
// group has left, the first to become free at the front, besides what groups earlier in the
// pass wait for. It is that which the runs of this entry free. Those of other entries may
// end earlier, and other entries may take what becomes free: the agents share it between
// entries, so that the share of this entry is about what its own runs free.
func (c *Core) localSlots(now time.Time, p *pool, g group, pass *localityPass) []localSlot {
	step, left := g.job.Job.Steps[g.step], len(g.state().ready)
	free, tasks, latest := make(map[*target]batch.Resources), make(map[*target]int), make(map[*target]locality.Estimate)
	var slots []localSlot
	fill := func(t *target, at locality.Estimate) {
		for len(slots) < left && g.demand().FitsIn(free[t]) && g.state().allowsTasksOn(step, t, tasks[t]+1) {
			free[t] = free[t].Sub(g.demand())
			tasks[t]++
			slots = append(slots, localSlot{t, at, c.durationAt(p, g, t)})
		}
	}
	var ends []ending
	for _, t := range pass.localTargets(p, step) {
		if !c.mayBecomeFree(now, g, t) {
			continue
		}
		free[t] = t.expectedFree().Sub(pass.expected[t])
		fill(t, locality.Estimate{})
		ends = append(ends, c.endings(now, p, t)...)
	}
	slices.SortStableFunc(ends, ending.compare)
	for i := 0; len(slots) < left && i < len(ends); i++ {
		end := ends[i]
		free[end.target] = free[end.target].Add(end.demand)
		latest[end.target] = laterEnd(latest[end.target], end.left)
		fill(end.target, latest[end.target])
	}
	return slots
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
