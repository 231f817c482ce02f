package dispatch

import (
	"slices"
	"time"
)

// Exclusion is why a target can't get the next task of a step now.
type Exclusion string

// Values of Exclusion.
const (
	// ExcludedUnreachable: the agent is not connected, has been silent for too long, or has
	// refused a run because its session has ended.
	ExcludedUnreachable Exclusion = "unreachable"
	// ExcludedClosed: the agent has closed the target.
	ExcludedClosed Exclusion = "closed"
	// ExcludedZone: the availability zone is evacuated.
	ExcludedZone Exclusion = "zone_evacuated"
	// ExcludedTooSmall: the task does not fit in the idle target.
	ExcludedTooSmall Exclusion = "too_small"
	// ExcludedMaxPerTarget: as many tasks of the step run there as the step allows.
	ExcludedMaxPerTarget Exclusion = "max_per_target"
	// ExcludedLabel: the target lacks the label that the step requires.
	ExcludedLabel Exclusion = "label"
	// ExcludedFull: the target has too little free capacity.
	ExcludedFull Exclusion = "full"
	// ExcludedProbing: a task that shows whether the target is still faulty is under way.
	ExcludedProbing Exclusion = "probing"
)

// exclusion returns why the group's next task can't go to the target even if it had
// capacity, or an empty string.
func (c *Core) exclusion(now time.Time, g group, t *target) Exclusion {
	step := &g.job.Job.Steps[g.step]
	switch {
	case !c.acceptsOrders(now, t):
		return c.whyNoOrders(t)
	case !step.Demand.FitsIn(t.state.Capacity):
		return ExcludedTooSmall
	case !g.state().allowsTasksOn(*step, t, 1):
		return ExcludedMaxPerTarget
	case !t.hasLabel(step.Label):
		return ExcludedLabel
	}
	return ""
}

// whyNoOrders returns why a target accepts no orders.
func (c *Core) whyNoOrders(t *target) Exclusion {
	switch {
	case t.state.Closed != "":
		return ExcludedClosed
	case !c.isOpen(t):
		return ExcludedZone
	}
	return ExcludedUnreachable
}

// consider returns the cost of placing the group's next task on a target, or why it can't
// go there now.
func (c *Core) consider(now time.Time, p *pool, g group, t *target) (cost float64, excluded Exclusion) {
	if excluded := c.exclusion(now, g, t); excluded != "" {
		return 0, excluded
	}
	switch {
	case !g.demand().FitsIn(t.expectedFree()):
		return 0, ExcludedFull
	case t.state.Probing && len(t.inFlight) > 0:
		return 0, ExcludedProbing
	}
	cost = c.cost(p, g, t) + c.localityCost(p, g, t)
	if slices.Contains(g.state().ready[0].avoidedNodes, t.node) {
		cost += costAvoided
	}
	return cost, ""
}

// chooseTarget returns the target of least cost that has room for the next task of
// a group, or nil if there is none.
func (c *Core) chooseTarget(now time.Time, p *pool, g group) *target {
	var best *target
	var bestCost float64
	for _, t := range p.targetList {
		cost, excluded := c.consider(now, p, g, t)
		if excluded == "" && (best == nil || cost < bestCost) {
			best, bestCost = t, cost
		}
	}
	return best
}
