package dispatch

import "github.com/azurerouter/azurerouter/request/batch"

// NoteForwarding takes a submission into account that another entry carries out for this one.
// It counts among the submissions of its queue; see LooksResubmitted.
func (c *Core) NoteForwarding(s batch.Submission) {
	p := c.pool(s.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.counters.submitted.Add(1)
	p.resubmissions.credibleWait(s)
}

// NoteForwarded keeps the result of such a submission like that of a job of this entry: the
// caller may submit the job again.
func (c *Core) NoteForwarded(s batch.Submission, result Result) {
	p := c.pool(s.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.counters.countResult(result)
	p.retainAnswer(c.env.Now(), s.Job.ID, result, result.Code != NotRun)
}
