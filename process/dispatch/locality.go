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
	// Each pass looks at them again, which took 1.1 ms for 64 of them with ten runs in the
	// rack. Further groups start elsewhere.
	maxDelayedGroups = 16
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
	return costRemote + (c.remoteFactor-1)*p.expectedRatio(g, t)
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

// localDuration returns the time that a run which took ran would have taken in the rack of
// its data. Speeds are learned from it, so that a target does not count as slow because it
// runs tasks of other racks.
func (c *Core) localDuration(r *run, ran time.Duration) time.Duration {
	if r.target.isLocal(r.task.job.Job.Steps[r.task.step]) {
		return ran
	}
	return time.Duration(float64(ran) / c.remoteFactor)
}

// localityPass is the state of the waits for local targets during one pass. It keeps
// nothing at the targets.
type localityPass struct {
	// expected is the capacity for which groups earlier in the pass wait, so that not all
	// groups wait for the same.
	expected map[*target]batch.Resources
	delayed  int
	// local holds the targets of the racks that have been looked up.
	local map[string][]*target
}

// localTargets returns the targets in the rack of a step's data.
func (w *localityPass) localTargets(p *pool, step batch.Step) []*target {
	if local, known := w.local[step.DataRack]; known {
		return local
	}
	var local []*target
	for _, t := range p.targetList {
		if t.isLocal(step) {
			local = append(local, t)
		}
	}
	w.local[step.DataRack] = local
	return local
}

func newLocalityPass() *localityPass {
	return &localityPass{expected: make(map[*target]batch.Resources), local: make(map[string][]*target)}
}

// add counts the wait of a group.
func (w *localityPass) add(g group, chosen choice) {
	w.delayed++
	for _, slot := range chosen.slots {
		w.expected[slot.target] = w.expected[slot.target].Add(g.demand())
	}
}

// choice is where the next tasks of a group go: to a target, or nowhere for now.
type choice struct {
	target *target
	// delay is the decision whether the tasks wait for a local target. It is zero if the
	// step names no rack, the target is local, or no target has room. target is nil if the
	// group goes on waiting as decided before.
	delay locality.Decision
	// slots is the local capacity for which tasks of the group wait, and the rest of them
	// does not. Without a wait it is the first local capacity to become free, if any.
	slots []localSlot
}

// tasksNow returns how many tasks of the group do not wait.
func (ch *choice) tasksNow(g group) int {
	if ch.delay.Wait {
		return len(g.state().ready) - len(ch.slots)
	}
	return len(g.state().ready)
}

// choose returns where the next tasks of a group go. It changes nothing but the random
// source of the pool. Each task is weighed by the local capacity that becomes free for it:
// if only some of the tasks get there in time, the others do not wait.
func (c *Core) choose(now time.Time, p *pool, g group, pass *localityPass) choice {
	if kept, ok := c.keepWaiting(now, p, g, pass); ok {
		return kept
	}
	t := c.chooseTarget(now, p, g)
	if t == nil || t.isLocal(g.job.Job.Steps[g.step]) {
		return choice{target: t}
	}
	in := locality.Input{Remote: c.durationAt(p, g, t), Waited: g.state().waitedForLocal(now)}
	in.Objective, in.Deadline = g.job.timeLeft(now, g.step)
	// The wait ends with a pass, which follows a tick.
	late := tickAllowance + p.passPause()
	in.Objective, in.Deadline, in.LatestStart = in.Objective-late, in.Deadline-late, g.job.latestStart(g.step).Sub(now)-late
	slots := c.localSlots(now, p, g, pass)
	first := locality.Decide(c.localityPolicy, in)
	for n := len(slots); n > 0; n-- {
		in.Local, in.LocalFree, in.Known = slots[n-1].duration, slots[n-1].free, true
		first = locality.Decide(c.localityPolicy, in)
		if first.Wait && pass.delayed < maxDelayedGroups {
			return choice{target: t, delay: first, slots: slots[:n]}
		}
	}
	first.Wait, first.For = false, 0
	return choice{target: t, delay: first, slots: slots[:min(1, len(slots))]}
}

// keepWaiting returns the wait of a group if nothing has changed that calls for another
// decision: its time has not come, no local target has room, and all of its tasks are still
// expected to get room in time. It looks only at the rack of the data, because a pass that
// compared all targets for each waiting group would take more processor time than there is.
func (c *Core) keepWaiting(now time.Time, p *pool, g group, pass *localityPass) (choice, bool) {
	if !g.awaitsLocal(now) || pass.delayed >= maxDelayedGroups {
		return choice{}, false
	}
	slots, left := c.localSlots(now, p, g, pass), g.state().localWaitUntil.Sub(now)
	if len(slots) < len(g.state().ready) || slots[0].free.Expected == 0 || slots[len(slots)-1].free.Expected > left {
		return choice{}, false
	}
	return choice{delay: locality.Decision{Wait: true, For: left, Reason: locality.Gain}, slots: slots}, true
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

// delay makes the tasks of a group that are left wait for a local target. They hold no
// capacity.
func (c *Core) delay(now time.Time, p *pool, g group, chosen choice, pass *localityPass) {
	state := g.state()
	pass.add(g, chosen)
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
	peer, free := chosen.target.node, locality.Estimate{}
	if len(chosen.slots) > 0 {
		last := chosen.slots[len(chosen.slots)-1]
		free = last.free
		if chosen.delay.Wait {
			peer = last.target.node
		}
	}
	c.env.Record(decision.Decision{Step: "locality", Job: g.job.Job.ID, Peer: peer, Outcome: outcome, Reason: string(chosen.delay.Reason),
		Age: g.state().waitedForLocal(now), Routine: true, Inputs: []decision.Input{{Name: "job_step", Value: int64(g.step)},
			{Name: "tasks", Value: int64(len(g.state().ready))}, {Name: "local_free_ms", Value: free.Expected.Milliseconds()},
			{Name: "error_ms", Value: free.Error.Milliseconds()}, {Name: "remote_ms", Value: c.durationAt(p, g, chosen.target).Expected.Milliseconds()},
			{Name: "wait_ms", Value: chosen.delay.For.Milliseconds()}, {Name: "objective_ms", Value: objective.Milliseconds()}}})
}
