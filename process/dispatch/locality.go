package dispatch

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/locality"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// estimateError is the relative error of the estimates of callers.
	estimateError = 0.4
	// costRemote is added to the cost of a target outside the rack of the data, so that
	// the costs that only spread tasks, which add up to 0.75, do not outweigh locality.
	costRemote = 0.8
	// maxDelayedGroups bounds the groups that wait for a local target after one pass.
	// Each pass decides again for all of them. Further groups start elsewhere: so many
	// exceed what one rack becomes free for within the wait.
	maxDelayedGroups = 64
	// tickAllowance is the time after which a due wait is certainly noticed while the
	// process has processor time: Tick is called every 15 ms.
	tickAllowance = 20 * time.Millisecond
)

// WithRemoteFactor sets how many times as long a task takes outside the rack of its data.
// Factors below 1 count as 1.
func WithRemoteFactor(factor float64) Option {
	return func(c *Core) { c.remoteFactor = max(factor, 1) }
}

// WithLocalityPolicy sets how waits for local targets are weighed. The default is
// locality.ByGain; the other policies are for comparison.
func WithLocalityPolicy(policy locality.Policy) Option {
	return func(c *Core) { c.localityPolicy = policy }
}

// expectedDuration returns the expected duration of a task of the group at a target of the
// rack that holds its data.
func (p *pool) expectedDuration(g group, t *target) time.Duration {
	return time.Duration(p.durations.slowness(t.node) * float64(g.job.Job.Steps[g.step].Estimate))
}

// isLocal reports whether the target is in the rack of the step's data, or the step names
// none.
func (t *target) isLocal(step batch.Step) bool {
	return step.DataRack == "" || slices.Contains(t.state.Labels, step.DataRack)
}

// localityCost returns the part of the cost of a target that accounts for the distance to
// the data. It is 0 for a step without a rack.
func (c *Core) localityCost(p *pool, g group, t *target) float64 {
	if t.isLocal(g.job.Job.Steps[g.step]) {
		return 0
	}
	return costRemote + (c.remoteFactor-1)*p.durations.slowness(t.node)
}

// durationAt returns the expected duration of a task of the group at a target with its
// error. Remote targets take longer.
func (c *Core) durationAt(p *pool, g group, t *target) locality.Estimate {
	expected := p.expectedDuration(g, t)
	if !t.isLocal(g.job.Job.Steps[g.step]) {
		expected = time.Duration(c.remoteFactor * float64(expected))
	}
	return locality.Estimate{Expected: expected, Error: time.Duration(estimateError * float64(expected))}
}

// localityPass is the state of the waits for local targets during one pass. It keeps
// nothing at the targets.
type localityPass struct {
	// expected is the capacity for which groups earlier in the pass wait, so that not all
	// groups wait for the same.
	expected map[*target]batch.Resources
	delayed  int
}

// choice is where the next task of a group goes: to a target, or nowhere for now.
type choice struct {
	target *target
	// delay is the decision whether to wait for a local target. It is zero if the step
	// names no rack, the target is local, or there is no target.
	delay locality.Decision
	// local is the local capacity that the decision is about.
	local localCapacity
}

// choose returns where the next task of a group goes. It changes nothing but the random
// source of the pool.
func (c *Core) choose(now time.Time, p *pool, g group, pass *localityPass) choice {
	t := c.chooseTarget(now, p, g)
	if t == nil || t.isLocal(g.job.Job.Steps[g.step]) {
		return choice{target: t}
	}
	local := c.nextLocalCapacity(now, p, g, pass)
	in := locality.Input{Local: local.duration, Remote: c.durationAt(p, g, t), LocalFree: local.free, Known: local.known, Waited: g.state().waitedForLocal(now)}
	in.Objective, in.Deadline = g.job.timeLeft(now, g.step)
	// The wait ends with a pass, which follows a tick.
	in.Objective -= tickAllowance + p.passPause()
	in.Deadline -= tickAllowance + p.passPause()
	d := locality.Decide(c.localityPolicy, in)
	if d.Wait && pass.delayed >= maxDelayedGroups {
		d = locality.Decision{Reason: locality.NoLocal}
	}
	return choice{target: t, delay: d, local: local}
}

// timeLeft returns the time from now within which a step must end for the job to meet its
// objective, and for its result to be of use to the caller. A durable job has no caller
// that leaves.
func (j *activeJob) timeLeft(now time.Time, step int) (objective, deadline time.Duration) {
	after := j.timeToEnd[step] - j.Job.Steps[step].Estimate
	objective = j.objectiveAt.Add(-after).Sub(now)
	if j.durableState != nil {
		return objective, max(objective, expiryFactor*j.Objective)
	}
	return objective, j.expiresAt.Add(-after).Sub(now)
}

// waitedForLocal returns how long the step has waited for a local target.
func (s *stepState) waitedForLocal(now time.Time) time.Duration {
	if s.localWaitSince.IsZero() {
		return 0
	}
	return now.Sub(s.localWaitSince)
}

// awaitsLocal reports whether the group waits for a local target although there is capacity
// elsewhere. It is not announced to agents: those with capacity elsewhere would invite the
// entry in vain.
func (g *group) awaitsLocal(now time.Time) bool { return now.Before(g.state().localWaitUntil) }

// delay makes a group wait for a local target. It holds no capacity.
func (c *Core) delay(now time.Time, p *pool, g group, chosen choice, pass *localityPass) {
	state := g.state()
	pass.delayed++
	for t, tasks := range chosen.local.tasks {
		pass.expected[t] = pass.expected[t].Add(multiply(g.demand(), tasks))
	}
	state.localWaitUntil = now.Add(chosen.delay.For)
	if !state.localWaitSince.IsZero() {
		return
	}
	state.localWaitSince = now
	c.counters.localWaits.Add(1)
	c.recordLocality(now, p, g, chosen, "waits")
}

// endDelay ends the wait of a group for a local target, if it has waited.
func (c *Core) endDelay(now time.Time, p *pool, g group, chosen choice) {
	state := g.state()
	if state.localWaitUntil.IsZero() {
		return
	}
	state.localWaitUntil = time.Time{}
	if chosen.target == nil {
		return
	}
	outcome := "remote"
	if chosen.target.isLocal(g.job.Job.Steps[g.step]) {
		outcome = "local"
		c.counters.localWaitsMet.Add(1)
	}
	c.recordLocality(now, p, g, chosen, outcome)
}

func (c *Core) recordLocality(now time.Time, p *pool, g group, chosen choice, outcome string) {
	objective, _ := g.job.timeLeft(now, g.step)
	peer := chosen.target.node
	if outcome == "waits" {
		peer = chosen.local.last.node
	}
	c.env.Record(decision.Decision{Step: "locality", Job: g.job.Job.ID, Peer: peer, Outcome: outcome, Reason: string(chosen.delay.Reason),
		Age: g.state().waitedForLocal(now), Routine: true, Inputs: []decision.Input{{Name: "job_step", Value: int64(g.step)},
			{Name: "tasks", Value: int64(len(g.state().ready))}, {Name: "local_free_ms", Value: chosen.local.free.Expected.Milliseconds()},
			{Name: "error_ms", Value: chosen.local.free.Error.Milliseconds()}, {Name: "remote_ms", Value: c.durationAt(p, g, chosen.target).Expected.Milliseconds()},
			{Name: "wait_ms", Value: chosen.delay.For.Milliseconds()}, {Name: "objective_ms", Value: objective.Milliseconds()}}})
}
