package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Times of refusals.
const (
	// retryAfterUnknown is what a caller is told when nothing says how long the
	// cause will last. Agents find a new entry and report within this time.
	retryAfterUnknown = time.Second
	// isolatedAfter is when an entry that hears no agent gives its jobs up, so
	// that the callers try another entry. Until then agents may reconnect.
	isolatedAfter = wire.LostAfter
)

// admit reports whether a new job is taken, and the refusal if not.
func (c *Core) admit(now time.Time, p *pool, s Submission) (Result, bool) {
	if s.Job.Durable || unsupported(s) != "" {
		return Result{Code: NotRun, Reason: ReasonUnsupported, RetryAfter: retryAfterUnknown}, false
	}
	if !p.anyHeard(now) {
		return Result{Code: NotRun, Reason: ReasonNoTargets, RetryAfter: retryAfterUnknown}, false
	}
	for number := range s.Job.Steps {
		if !p.anyLargeEnough(s, number) {
			return Result{Code: NotRun, Reason: ReasonTooLarge, RetryAfter: retryAfterUnknown}, false
		}
	}
	return Result{}, true
}

func unsupported(s Submission) string {
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
	for _, t := range p.targets {
		if now.Sub(t.heard) <= isolatedAfter {
			return true
		}
	}
	return false
}

func (p *pool) anyLargeEnough(s Submission, step int) bool {
	want := s.Job.Steps[step]
	for _, t := range p.targets {
		if want.Demand.FitsIn(t.state.Room) && t.hasLabel(want.Label) {
			return true
		}
	}
	return false
}

// checkJobs ends the jobs that can't be completed any more.
func (c *Core) checkJobs(now time.Time, p *pool) {
	isolated := !p.anyHeard(now)
	for _, j := range p.jobs {
		switch {
		case isolated:
			c.end(now, p, j, unfinished(j, ReasonIsolated))
		case j.hasReady() && now.Add(j.remaining()/2).After(j.deadline):
			// Estimates are far off; half of one is what even a fast target needs.
			c.end(now, p, j, unfinished(j, ReasonDeadline))
		}
	}
}
