package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Times of refusals.
const (
	// retryAfterUnknown is what a caller is told when nothing says how long the
	// cause will last. Agents find a new entry and report within this time.
	retryAfterUnknown = time.Second
	// isolatedAfter is when an entry that hears no agent gives its jobs up, so
	// that the callers try another entry. Until then agents may reconnect.
	isolatedAfter = wire.LostAfter
	// lateFactor times the objective is when an answer is of no use to the
	// caller any more.
	lateFactor = 3
	// waitFactor times the wait for the tasks ahead is expected in an overload,
	// because more urgent ones arrive meanwhile.
	waitFactor = 2
	// requiredShare of the estimated work left must fit into the time left.
	// Estimates are far off, so a job is given up only with some certainty.
	requiredShare = 0.75
)

// admit reports whether a new job is taken, and the refusal if not.
func (c *Core) admit(now time.Time, p *pool, s batch.Submission) (Result, bool) {
	if unsupported(s) != "" {
		return Result{Code: NotRun, Reason: ReasonUnsupported, RetryAfter: retryAfterUnknown}, false
	}
	if !p.anyHeard(now) {
		if c.wake.recent(now) {
			return Result{}, true
		}
		return Result{Code: NotRun, Reason: ReasonNoTargets, RetryAfter: retryAfterUnknown}, false
	}
	for number := range s.Job.Steps {
		if !p.anyLargeEnough(s, number) {
			return Result{Code: NotRun, Reason: ReasonTooLarge, RetryAfter: retryAfterUnknown}, false
		}
	}
	slack := s.TimeLeft() - s.Job.LongestChain()
	turn := now.Add(slack + time.Duration(s.Priority)*priorityStep)
	if wait := c.expectedWait(now, turn, p); waitFactor*wait > slack && !p.roomFor(now, s.Job.Steps[0]) {
		return Result{Code: NotRun, Reason: ReasonOverloaded, RetryAfter: wait}, false
	}
	return Result{}, true
}

// roomFor reports whether a task of a step would find room now.
func (p *pool) roomFor(now time.Time, step batch.Step) bool {
	for _, t := range p.ordered {
		if t.takesOrders(now) && t.hasLabel(step.Label) && step.Demand.FitsIn(t.expectedFree()) {
			return true
		}
	}
	return false
}

// expectedWait returns how long a timely task with the given turn waits for the
// tasks that are served before it. The processor time in use by the
// entry's own runs is the rate at which its queue is worked off.
func (c *Core) expectedWait(now, turn time.Time, p *pool) time.Duration {
	inUse := 0
	for _, t := range p.ordered {
		for _, r := range t.runs {
			inUse += r.demand.MilliCPU
		}
	}
	var ahead float64
	for _, g := range c.queue(now, p) {
		if g.rank == rankLate || (g.rank == rankTimely && g.turn.After(turn)) {
			break
		}
		step := g.job.Job.Steps[g.step]
		ahead += float64(len(g.job.steps[g.step].ready)*step.Demand.MilliCPU) * float64(step.Estimate)
	}
	if ahead == 0 || inUse == 0 {
		return 0
	}
	return time.Duration(ahead / float64(inUse))
}

func unsupported(s batch.Submission) string {
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

// anyHeard reports whether the entry is in contact with an agent of the service.
func (p *pool) anyHeard(now time.Time) bool {
	for _, t := range p.ordered {
		if now.Sub(t.heard) <= isolatedAfter {
			return true
		}
	}
	return false
}

func (p *pool) anyLargeEnough(s batch.Submission, step int) bool {
	want := s.Job.Steps[step]
	for _, t := range p.ordered {
		if want.Demand.FitsIn(t.state.Room) && t.hasLabel(want.Label) {
			return true
		}
	}
	return false
}

// checkJobs ends the jobs that can't be completed any more, and in an overload
// those that have not started and are too late for their objective: work on
// them would make other jobs late.
func (c *Core) checkJobs(now time.Time, p *pool) {
	isolated := !p.anyHeard(now) && !c.wake.recent(now)
	overloaded := p.anyOpen(now) && p.timelyWaiting(now)
	for _, j := range p.jobsInOrder() {
		switch {
		case j.durable != nil:
			// It is run however late it is.
		case isolated:
			c.end(now, p, j, unfinished(j, ReasonIsolated))
		case !j.hasReady():
		case now.Add(time.Duration(requiredShare * float64(j.remaining()))).After(j.useless):
			c.end(now, p, j, unfinished(j, ReasonDeadline))
		case overloaded && j.started == 0 && j.latestStart(0).Before(now):
			c.end(now, p, j, unfinished(j, ReasonOverloaded))
		}
	}
}

// anyOpen reports whether a target takes orders.
func (p *pool) anyOpen(now time.Time) bool {
	for _, t := range p.ordered {
		if t.takesOrders(now) {
			return true
		}
	}
	return false
}

// timelyWaiting reports whether tasks wait that can still be in time.
func (p *pool) timelyWaiting(now time.Time) bool {
	for _, j := range p.jobs {
		for number := range j.steps {
			if len(j.steps[number].ready) > 0 && !j.latestStart(number).Before(now) {
				return true
			}
		}
	}
	return false
}
