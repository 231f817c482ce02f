package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Parameters of admission and of giving jobs up.
const (
	// defaultRetryAfter is used where the duration of the cause can't be
	// estimated. Agents find a new entry and report to it within this time.
	defaultRetryAfter = time.Second
	// isolatedAfter is the time without a message of any agent after which an
	// entry gives up its jobs, so that the callers try another entry. Until then
	// agents may reconnect.
	isolatedAfter = wire.RunsLostAfter
	// expiryFactor times the objective is the age at which a job expires: its
	// answer is of no use to the caller any more.
	expiryFactor = 3
	// overloadWaitFactor multiplies the expected wait of a new job, because more
	// urgent tasks arrive in the meantime.
	overloadWaitFactor = 2
	// requiredWorkShare of the estimated remaining work must fit in the time
	// before a job expires. It is below 1 because estimates are inaccurate: a
	// job is given up only if it is too late by some margin.
	requiredWorkShare = 0.75
)

// admit reports whether a new job is admitted, and returns the refusal if not.
func (c *Core) admit(now time.Time, p *pool, s batch.Submission) (Result, bool) {
	if unsupportedFeature(s) != "" {
		return Result{Code: NotRun, Reason: ReasonUnsupported, RetryAfter: defaultRetryAfter}, false
	}
	if !p.hasAgentContact(now) {
		if c.pauses.recentlyStarted(now) || c.awaitsFirstAgent(now, p) {
			return Result{}, true
		}
		return Result{Code: NotRun, Reason: ReasonNoTargets, RetryAfter: defaultRetryAfter}, false
	}
	for step := range s.Job.Steps {
		if !p.anyTargetFits(now, s, step) {
			return Result{Code: NotRun, Reason: ReasonTooLarge, RetryAfter: defaultRetryAfter}, false
		}
	}
	slack := s.TimeLeft() - s.Job.CriticalPath()
	adjustedStart := now.Add(slack - startMargin(slack) + time.Duration(s.Priority)*priorityDelay).UnixNano()
	if c.hasRoomFor(now, p, s.Job.Steps[0]) {
		return Result{}, true
	}
	if wait := c.expectedWait(now, adjustedStart, p); overloadWaitFactor*wait > slack {
		return Result{Code: NotRun, Reason: ReasonOverloaded, RetryAfter: wait}, false
	}
	return Result{}, true
}

// awaitsFirstAgent reports whether the first agent of a service is still expected.
func (c *Core) awaitsFirstAgent(now time.Time, p *pool) bool {
	return !p.enrolled && now.Sub(c.pauses.startedAt) <= firstAgentWait
}

// hasRoomFor reports whether a target had room for a task of the step when it was
// last heard of.
func (c *Core) hasRoomFor(now time.Time, p *pool, step batch.Step) bool {
	for _, t := range p.targetList {
		if c.isUsable(now, p, t) && t.hasLabel(step.Label) && step.Demand.FitsIn(t.expectedFree()) {
			return true
		}
	}
	return false
}

// expectedWait returns how long a task that can still be in time, with the given
// adjusted start, waits for the tasks that are served before it. The processor
// time used by the entry's own runs is taken as the rate at which it serves its
// queue.
func (c *Core) expectedWait(now time.Time, adjustedStart int64, p *pool) time.Duration {
	usedMilliCPU := 0
	for _, t := range p.targetList {
		if t.isGone(now) {
			continue
		}
		for _, r := range t.runs {
			usedMilliCPU += r.demand.MilliCPU
		}
	}
	var workAhead float64
	for _, g := range *c.waitingQueue(now, p) {
		if g.rank == rankLate || (g.rank == rankTimely && g.adjustedStart > adjustedStart) {
			continue
		}
		step := g.job.Job.Steps[g.step]
		workAhead += float64(len(g.job.steps[g.step].ready)*step.Demand.MilliCPU) * float64(step.Estimate)
	}
	if workAhead == 0 || usedMilliCPU == 0 {
		return 0
	}
	return time.Duration(workAhead / float64(usedMilliCPU))
}

// unsupportedFeature returns a feature that the job uses and this version does not
// implement, or an empty string.
func unsupportedFeature(s batch.Submission) string {
	if s.Job.Unsupported != "" {
		return s.Job.Unsupported
	}
	for _, step := range s.Job.Steps {
		if step.Unsupported != "" {
			return step.Unsupported
		}
	}
	return ""
}

// hasAgentContact reports whether an agent of the service has sent a message
// within isolatedAfter.
func (p *pool) hasAgentContact(now time.Time) bool {
	for _, t := range p.targetList {
		if now.Sub(t.lastReceived) <= isolatedAfter {
			return true
		}
	}
	return false
}

// anyTargetFits reports whether a target with the label of the step is large
// enough for one of its tasks when idle.
func (p *pool) anyTargetFits(now time.Time, s batch.Submission, step int) bool {
	required := s.Job.Steps[step]
	for _, t := range p.targetList {
		if !t.isGone(now) && required.Demand.FitsIn(t.state.Capacity) && t.hasLabel(required.Label) {
			return true
		}
	}
	return false
}

// checkJobs ends the jobs that can't be completed in time to be of use. In an
// overload it also ends those that have not started and will miss their objective,
// because running them would make other jobs late.
func (c *Core) checkJobs(now time.Time, p *pool) {
	// Durable jobs run however late they are.
	jobs := p.nonDurableJobsByAge()
	if len(jobs) == 0 {
		return
	}
	isolated := p.enrolled && !p.hasAgentContact(now) && !c.pauses.recentlyStarted(now)
	overloaded := c.anyTargetUsable(now, p) && p.hasTimelyTasks(now)
	for _, j := range jobs {
		switch {
		case isolated:
			c.endJob(now, p, j, unfinishedResult(j, ReasonIsolated))
		case j.abandoned(now):
			c.endJob(now, p, j, unfinishedResult(j, ReasonDeadline))
		case !j.hasReadyTasks():
		case now.Add(time.Duration(requiredWorkShare * float64(j.estimatedRemaining()))).After(j.expiresAt):
			c.endJob(now, p, j, unfinishedResult(j, ReasonDeadline))
		case overloaded && !j.awaitedAgent && j.runsStarted == 0 && j.latestStart(0).Before(now):
			c.endJob(now, p, j, unfinishedResult(j, ReasonOverloaded))
		}
	}
}

// anyTargetUsable reports whether a target is open and within reach.
func (c *Core) anyTargetUsable(now time.Time, p *pool) bool {
	for _, t := range p.targetList {
		if c.isUsable(now, p, t) {
			return true
		}
	}
	return false
}

// hasTimelyTasks reports whether a task is ready whose job can still meet its
// objective.
func (p *pool) hasTimelyTasks(now time.Time) bool {
	for _, j := range p.jobs {
		for step := range j.steps {
			if len(j.steps[step].ready) > 0 && !j.latestStart(step).Before(now) {
				return true
			}
		}
	}
	return false
}
