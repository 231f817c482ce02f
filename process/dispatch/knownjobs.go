package dispatch

import "github.com/azurerouter/azurerouter/request/batch"

// KnowsJob reports whether a job with the ID is active here or its answer is still kept. To
// say that a submission of it has not run would be wrong: another one may run later.
func (c *Core) KnowsJob(id batch.ID) bool {
	for _, p := range c.allPools() {
		p.mu.Lock()
		_, answered := p.retainedAnswers[id]
		known := answered || p.jobs[id] != nil
		p.mu.Unlock()
		if known {
			return true
		}
	}
	return false
}
