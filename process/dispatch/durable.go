package dispatch

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// runsPerTerm separates the numbers of runs that different owners of a job
// order. A target refuses a run that is not above an earlier one.
const runsPerTerm = 1000

// Durable is a durable job, or what is left of it after an earlier owner.
type Durable struct {
	batch.Submission
	// Term counts the owners of the job, from 1.
	Term uint64
	// Progress is what has been recorded of its tasks.
	Progress []TaskProgress
	// NotBefore is when the runs of an earlier owner have ended for certain.
	NotBefore time.Time
}

// TaskProgress is what is recorded of one task.
type TaskProgress struct {
	Step   int
	Index  int
	Done   bool
	Failed int
}

// durableEnd is an end that an agent keeps until it is recorded.
type durableEnd struct {
	agent wire.Incarnation
	run   batch.Run
}

// durability is what an active job has beside if it is durable.
type durability struct {
	notBefore time.Time
	// ends are those that are not known to be recorded, the oldest first.
	ends []durableEnd
}

// AdmitDurable reports whether a new durable job would be served in time.
func (c *Core) AdmitDurable(s batch.Submission) (Result, bool) {
	p := c.pool(s.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.admit(c.env.Now(), p, s)
}

// RunDurable runs what is left of a durable job. finished is called at most
// once, with Completed or Failed, and must not block.
func (c *Core) RunDurable(d Durable, finished func(Result)) {
	p := c.pool(d.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.env.Now()
	j := newActiveJob(now, d.Submission)
	j.durable = &durability{notBefore: d.NotBefore}
	j.waiters[0] = finished
	p.jobs[d.Job.ID] = j
	p.durable[d.Job.ID] = j
	j.resume(d)
	if j.complete() {
		c.end(now, p, j, Result{Code: Completed})
		return
	}
	c.assign(now, p)
}

// resume applies what earlier owners have recorded.
func (j *activeJob) resume(d Durable) {
	for number := range j.steps {
		for _, t := range j.steps[number].tasks {
			t.number = int(d.Term-1) * runsPerTerm
		}
	}
	for _, progress := range d.Progress {
		if progress.Step >= len(j.steps) || progress.Index >= len(j.steps[progress.Step].tasks) {
			continue
		}
		t := j.steps[progress.Step].tasks[progress.Index]
		t.failed = progress.Failed
		if progress.Done && !t.done {
			j.taskDone(t)
		}
	}
	for number := range j.steps {
		state := &j.steps[number]
		state.ready = slices.DeleteFunc(state.ready, func(t *task) bool { return t.done })
	}
}

func (j *activeJob) complete() bool {
	for number := range j.steps {
		if j.steps[number].undone > 0 {
			return false
		}
	}
	return true
}

// DurableProgress returns what is to be recorded of a job, and how many ends
// that covers.
func (c *Core) DurableProgress(id batch.ID) (progress []TaskProgress, ends int) {
	c.withDurable(id, func(_ *pool, j *activeJob) {
		ends = len(j.durable.ends)
		for number := range j.steps {
			for _, t := range j.steps[number].tasks {
				if t.done || t.failed > 0 {
					progress = append(progress, TaskProgress{Step: t.step, Index: t.index, Done: t.done, Failed: t.failed})
				}
			}
		}
	})
	return progress, ends
}

// DurableStored tells agents that the first ends of a job are recorded, so that
// they acknowledge them to their targets.
func (c *Core) DurableStored(id batch.ID, ends int) {
	c.withDurable(id, func(p *pool, j *activeJob) {
		now := c.env.Now()
		for _, end := range j.durable.ends[:min(ends, len(j.durable.ends))] {
			if t := p.targets[end.agent]; t != nil && t.connected {
				c.send(now, t, &wire.Orders{Stored: []batch.Run{end.run}, Waiting: c.waitingFor(now, p, t)})
			}
		}
		j.durable.ends = j.durable.ends[min(ends, len(j.durable.ends)):]
	})
}

// StopDurable stops the runs of a job that a caller has cancelled. The job stays
// known until that is recorded.
func (c *Core) StopDurable(id batch.ID) {
	c.withDurable(id, func(p *pool, j *activeJob) {
		now := c.env.Now()
		c.stopDurable(now, p, j)
		c.assign(now, p)
	})
}

func (c *Core) stopDurable(now time.Time, p *pool, j *activeJob) {
	if j.ended {
		return
	}
	j.ended = true
	delete(p.jobs, j.Job.ID)
	c.stopRuns(now, p, j)
}

// ForgetDurable forgets a job. Unless its end is recorded, another entry owns it
// now and may run its tasks again.
func (c *Core) ForgetDurable(id batch.ID) {
	c.withDurable(id, func(p *pool, j *activeJob) {
		now := c.env.Now()
		delete(p.durable, id)
		c.stopDurable(now, p, j)
		for _, end := range j.durable.ends {
			if t := p.targets[end.agent]; t != nil {
				c.settleEnd(now, p, t, end.run)
			}
		}
		c.assign(now, p)
	})
}

// SuspendDurable stops the runs of all durable jobs and orders none, or goes on.
func (c *Core) SuspendDurable(suspended bool) {
	c.suspended.Store(suspended)
	for _, p := range c.allPools() {
		p.mu.Lock()
		now := c.env.Now()
		for _, j := range p.jobsInOrder() {
			if j.durable != nil && suspended {
				c.stopLive(now, p, j)
			}
		}
		c.assign(now, p)
		p.mu.Unlock()
	}
}

// HasBegun reports whether a task of a durable job has been started here.
func (c *Core) HasBegun(id batch.ID) bool {
	begun := false
	c.withDurable(id, func(_ *pool, j *activeJob) { begun = j.started > 0 })
	return begun
}

// withDurable calls f with the job and its pool locked, if it is known.
func (c *Core) withDurable(id batch.ID, f func(*pool, *activeJob)) {
	for _, p := range c.allPools() {
		p.mu.Lock()
		j := p.durable[id]
		if j != nil {
			f(p, j)
		}
		p.mu.Unlock()
		if j != nil {
			return
		}
	}
}

// held reports whether no task of a job may be ordered for now.
func (c *Core) held(now time.Time, j *activeJob) bool {
	return j.durable != nil && (c.suspended.Load() || now.Before(j.durable.notBefore))
}

// noteDurableEnd keeps in mind an end that its agent keeps until it is recorded.
func (c *Core) noteDurableEnd(now time.Time, p *pool, r *run, unstored bool) {
	j := r.task.job
	if j.durable == nil {
		return
	}
	if p.durable[j.Job.ID] != j {
		if unstored {
			c.settleEnd(now, p, r.target, r.name())
		}
		return
	}
	if unstored {
		j.durable.ends = append(j.durable.ends, durableEnd{agent: r.target.agent, run: r.name()})
	}
	c.env.Progressed(j.Job.ID)
}

// settleLateEnd answers an agent that keeps an end of a run that is not awaited
// here any more.
func (c *Core) settleLateEnd(now time.Time, p *pool, t *target, run batch.Run) {
	if j := p.durable[run.Task.Job]; j != nil && slices.Contains(j.durable.ends, durableEnd{t.agent, run}) {
		return
	}
	c.settleEnd(now, p, t, run)
}

// settleEnd tells an agent that an end must not count while the job goes on,
// because the task may run again, and that it may once the job has ended. As long
// as nothing is known of the job it says nothing.
func (c *Core) settleEnd(now time.Time, p *pool, t *target, run batch.Run) {
	open, known := c.env.IsOpen(run.Task.Job)
	if !t.connected || !known {
		return
	}
	m := &wire.Orders{Waiting: c.waitingFor(now, p, t)}
	if open {
		m.Void = []batch.Run{run}
	} else {
		m.Stored = []batch.Run{run}
	}
	c.send(now, t, m)
}
