package dispatch

import (
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// LooksResubmitted reports whether the caller of a job seems to have submitted it
// before. A submission that is not credible as a repeat is not one: see credibleWait.
func (c *Core) LooksResubmitted(s batch.Submission) bool {
	if s.PriorWait == 0 {
		return false
	}
	p := c.pool(s.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resubmissions[s.Queue] <= maxResubmissionShare
}

// Withdraw ends a job that is not durable, because its caller has submitted it to another
// entry. If the job has ended with a final result, it returns that result.
func (c *Core) Withdraw(id batch.ID) (Result, bool) {
	for _, p := range c.allPools() {
		result, known := c.withdrawFrom(p, id)
		if known {
			return result, result.isFinal()
		}
	}
	return Result{}, false
}

func (c *Core) withdrawFrom(p *pool, id batch.ID) (result Result, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if retained, ok := p.retainedAnswers[id]; ok && retained.result.isFinal() {
		return retained.result, true
	}
	j := p.jobs[id]
	if j == nil || j.durableState != nil {
		return Result{}, false
	}
	c.env.Record(decision.Decision{Step: "answer", Job: id, Outcome: "withdrawn", Reason: "submitted to another entry",
		Inputs: []decision.Input{{Name: "took_ms", Value: c.env.Now().Sub(j.acceptedAt).Milliseconds()}}})
	result = Result{Code: GaveUp, Reason: ReasonWithdrawn}
	c.endJob(c.env.Now(), p, j, result)
	return result, true
}

// isFinal reports whether the result holds wherever the job is submitted.
func (r Result) isFinal() bool { return r.Code == Completed || r.Code == Failed }

// HasRuns reports whether a run of a job may be alive.
func (c *Core) HasRuns(id batch.ID) bool {
	for _, p := range c.allPools() {
		p.mu.Lock()
		found := p.hasRuns(id)
		p.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

func (p *pool) hasRuns(id batch.ID) bool {
	for _, t := range p.targetList {
		for run := range t.runs {
			if run.Task.Job == id {
				return true
			}
		}
	}
	return false
}
