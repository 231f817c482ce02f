package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
)

// answerRetention is how long the answer of a job is kept for a caller who submits
// the job again. maxRetainedAnswers bounds the number of answers that a service
// keeps.
const (
	answerRetention    = 30 * time.Second
	maxRetainedAnswers = 20000
)

// retainedAnswer is the answer of an ended job.
type retainedAnswer struct {
	result     Result
	answeredAt time.Time
	// mayHaveRun is set if a run of the job was ordered here and not refused, for this
	// submission of the job or an earlier one.
	mayHaveRun bool
}

// retainAnswer keeps the answer of a job for a caller who submits the job again. ran is set
// if a run of it was ordered and not refused.
func (p *pool) retainAnswer(now time.Time, id batch.ID, result Result, ran bool) {
	previous, known := p.retainedAnswers[id]
	if !known {
		p.answerOrder = append(p.answerOrder, id)
	}
	p.retainedAnswers[id] = retainedAnswer{result, now, previous.mayHaveRun || ran}
	for len(p.answerOrder) > 0 && (len(p.answerOrder) > maxRetainedAnswers || now.Sub(p.retainedAnswers[p.answerOrder[0]].answeredAt) > answerRetention) {
		delete(p.retainedAnswers, p.answerOrder[0])
		p.answerOrder = p.answerOrder[1:]
	}
}

// correctNotRun returns the answer to a job in place of one that may say that it has not
// run: tasks of an earlier submission, whose answer the caller did not get, may have run.
func (p *pool) correctNotRun(id batch.ID, result Result) Result {
	if result.Code == NotRun && p.retainedAnswers[id].mayHaveRun {
		return Result{Code: GaveUp, Reason: result.Reason}
	}
	return result
}

// MayHaveRun reports whether a run of a job that is not durable was ordered here and not
// refused, as far as this is remembered.
func (c *Core) MayHaveRun(id batch.ID) bool {
	for _, p := range c.allPools() {
		p.mu.Lock()
		j := p.jobs[id]
		ran := p.retainedAnswers[id].mayHaveRun || j != nil && j.durableState == nil && j.runsStarted > 0
		p.mu.Unlock()
		if ran {
			return true
		}
	}
	return false
}
