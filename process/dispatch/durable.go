package dispatch

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// runNumbersPerTerm separates the run numbers that successive owners of a job use.
// A target refuses a run whose number is not above that of an earlier run of the
// task.
const runNumbersPerTerm = 1000

// DurableJob is a durable job, with the progress that earlier owners have recorded.
type DurableJob struct {
	batch.Submission
	// Term numbers the owners of the job, from 1.
	Term uint64
	// Progress is what has been recorded of the tasks.
	Progress []TaskProgress
	// NotBefore is when the runs of earlier owners have certainly ended.
	NotBefore time.Time
}

// TaskProgress is what is recorded of one task: whether it is done, how many of its
// runs have failed, and under how many a target has crashed.
type TaskProgress struct {
	Step       int
	Index      int
	Done       bool
	FailedRuns int
	// Crashes is the number of targets that have crashed under the task.
	Crashes int
	// UnconfirmedCrashes is the number of further targets that have crashed after a start
	// of the task that they did not confirm.
	UnconfirmedCrashes int
	// SuspectedRuns are the numbers of the runs that were lost at further targets, which
	// may have crashed.
	SuspectedRuns []int
	// CountedRuns are the numbers of the runs in Crashes and UnconfirmedCrashes.
	CountedRuns []int
}

// recordedEndRetention is how long a recorded end is remembered. It is longer than
// agents keep an end that no entry settles.
const recordedEndRetention = 10 * time.Second

// durableEnd is the end of a run that an agent keeps until it is recorded.
type durableEnd struct {
	agent wire.Incarnation
	run   batch.Run
	// startUnconfirmed is set if a start of the run may still be carried out.
	startUnconfirmed bool
}

// recordedEnd is what is known of a recorded end.
type recordedEnd struct {
	// onlyAgent is the agent that may acknowledge the end, or 0 for any. It is set if a start of
	// the run may still be carried out: that agent knows how long.
	onlyAgent wire.Incarnation
}

// mayAcknowledge reports whether an agent may acknowledge the end.
func (e recordedEnd) mayAcknowledge(agent wire.Incarnation) bool {
	return e.onlyAgent == 0 || e.onlyAgent == agent
}

// durableState is the additional state of a durable job.
type durableState struct {
	notBefore time.Time
	// lastForeignRun is the highest number that runs of earlier owners may have.
	lastForeignRun int
	// unrecordedEnds are the ends that are not confirmed as recorded, the oldest
	// first.
	unrecordedEnds []durableEnd
	// endRecorded is set once the end of the job is recorded, after which no task of it
	// starts again.
	endRecorded bool
}

// AdmitDurable reports whether a new durable job is admitted, and returns the
// refusal if not. It does not add the job. It counts for LooksResubmitted.
func (c *Core) AdmitDurable(s batch.Submission) (Result, bool) {
	p := c.pool(s.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resubmissions.credibleWait(s)
	return c.admit(c.env.Now(), p, s)
}

// RunDurable runs the tasks of a durable job that are not recorded as done. It
// calls finished at most once, with Completed or Failed, possibly before it
// returns. finished must not block.
func (c *Core) RunDurable(d DurableJob, finished func(Result)) {
	p := c.pool(d.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.env.Now()
	j := newActiveJob(now, d.Submission)
	j.durableState = &durableState{notBefore: d.NotBefore, lastForeignRun: int(d.Term-1) * runNumbersPerTerm}
	j.waiters[0] = waiter{reply: finished}
	p.jobs[d.Job.ID] = j
	p.durable[d.Job.ID] = j
	j.resume(now, d)
	if j.isComplete() {
		c.endJob(now, p, j, Result{Code: Completed})
		return
	}
	c.countReportedCrashes(now, p, j)
	c.awaitLateStarts(now, p, j)
	c.enqueue(now, p, j)
	c.assign(now, p)
}

// resume applies the progress that earlier owners have recorded.
func (j *activeJob) resume(now time.Time, d DurableJob) {
	for step := range j.steps {
		for _, t := range j.steps[step].tasks {
			t.lastNumber = j.durableState.lastForeignRun
		}
	}
	for _, progress := range d.Progress {
		t := j.task(progress.Step, progress.Index)
		if t == nil {
			continue
		}
		t.failures = progress.FailedRuns
		t.crashes.restore(now, progress)
		if t.crashes.awaitsVerdict(now) {
			j.heldUntil = now.Add(crashVerdictTimeout)
		}
		if progress.Done && !t.done {
			j.completeTask(t)
		}
	}
	for step := range j.steps {
		state := &j.steps[step]
		state.ready = slices.DeleteFunc(state.ready, func(t *task) bool { return t.done })
	}
}

func (j *activeJob) isComplete() bool {
	for step := range j.steps {
		if j.steps[step].unfinishedTasks > 0 {
			return false
		}
	}
	return true
}

// DurableProgress returns the progress to record for a job, and the number of its
// unrecorded ends that this progress covers.
func (c *Core) DurableProgress(id batch.ID) (progress []TaskProgress, ends int) {
	c.withDurable(id, func(_ *pool, j *activeJob) {
		ends = len(j.durableState.unrecordedEnds)
		for step := range j.steps {
			for _, t := range j.steps[step].tasks {
				if t.done || t.failures > 0 || !t.crashes.empty() {
					progress = append(progress, TaskProgress{Step: t.step, Index: t.index, Done: t.done, FailedRuns: t.failures,
						Crashes: t.crashes.certain, UnconfirmedCrashes: t.crashes.unconfirmed, SuspectedRuns: t.crashes.suspectedRuns(),
						CountedRuns: t.crashes.countedRuns})
				}
			}
		}
	})
	return progress, ends
}

// ConfirmDurableEnds notes that the given number of the oldest unrecorded ends of a job
// are recorded. The next message to each of their agents says so, so that the agent
// acknowledges them to its target; see SendConfirmations.
func (c *Core) ConfirmDurableEnds(id batch.ID, ends int) {
	c.withDurable(id, func(p *pool, j *activeJob) {
		now := c.env.Now()
		ends = min(ends, len(j.durableState.unrecordedEnds))
		for _, end := range j.durableState.unrecordedEnds[:ends] {
			c.confirmEnd(now, p, end)
		}
		j.durableState.unrecordedEnds = j.durableState.unrecordedEnds[ends:]
	})
}

// StopDurable stops the runs of a job that a caller has cancelled. The job is kept
// until ForgetDurable is called.
func (c *Core) StopDurable(id batch.ID) {
	c.withDurable(id, func(p *pool, j *activeJob) {
		now := c.env.Now()
		c.stopDurableLocked(now, p, j)
		c.assign(now, p)
	})
}

// stopDurableLocked is StopDurable with the lock of the pool held.
func (c *Core) stopDurableLocked(now time.Time, p *pool, j *activeJob) {
	if j.ended {
		return
	}
	j.ended = true
	delete(p.jobs, j.Job.ID)
	c.stopJob(now, p, j)
}

// ForgetDurable removes a job and stops its runs. endRecorded is set once the end of
// the job is recorded; otherwise another entry owns the job and may run its tasks again.
func (c *Core) ForgetDurable(id batch.ID, endRecorded bool) {
	c.withDurable(id, func(p *pool, j *activeJob) {
		now := c.env.Now()
		delete(p.durable, id)
		c.stopDurableLocked(now, p, j)
		j.durableState.endRecorded = endRecorded
		for _, end := range j.durableState.unrecordedEnds {
			c.settleForgottenEnd(now, p, j, end)
		}
		c.assign(now, p)
	})
}

// HasStarted reports whether this entry has ordered a run of a durable job and the
// run was not refused.
func (c *Core) HasStarted(id batch.ID) bool {
	started := false
	c.withDurable(id, func(_ *pool, j *activeJob) { started = j.runsStarted > 0 })
	return started
}

// withDurable calls f with the job and its locked pool. It does nothing if there
// is no such job.
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

// onHold reports whether the tasks of a job must not be assigned now. mayStart is set if
// this entry may order tasks of its durable jobs.
func (j *activeJob) onHold(now time.Time, mayStart bool) bool {
	if now.Before(j.heldUntil) || now.Before(j.lateStartsOver) || j.abandoned(now) {
		return true
	}
	return j.durableState != nil && (!mayStart || now.Before(j.durableState.notBefore))
}

// addDurableEnd reports progress of a durable job. If the agent keeps the end of
// the run until it is recorded, the end is added to the unrecorded ones, or
// resolved if the job has been forgotten.
func (c *Core) addDurableEnd(now time.Time, p *pool, r *run, report wire.RunReport) {
	j := r.task.job
	if j.durableState == nil {
		return
	}
	unstored := report.EndUnrecorded
	end := durableEnd{agent: r.target.agent, run: r.id(), startUnconfirmed: report.StartUnconfirmed}
	if p.durable[j.Job.ID] != j {
		if unstored {
			c.settleForgottenEnd(now, p, j, end)
		}
		return
	}
	if unstored {
		j.durableState.unrecordedEnds = append(j.durableState.unrecordedEnds, end)
	}
	c.env.NoteProgress(j.Job.ID)
}

// awaitsRecord reports whether the job of an end runs here and the end, which an agent keeps,
// is not recorded yet.
func (p *pool) awaitsRecord(agent wire.Incarnation, run batch.Run) bool {
	j := p.durable[run.Task.Job]
	return j != nil && slices.ContainsFunc(j.durableState.unrecordedEnds, func(e durableEnd) bool { return e.agent == agent && e.run == run })
}

// settleForgottenEnd settles an end that was reported while its run was alive, of a job
// that has been forgotten.
func (c *Core) settleForgottenEnd(now time.Time, p *pool, j *activeJob, end durableEnd) {
	if j.durableState.endRecorded {
		c.confirmEnd(now, p, end)
	} else if t := p.targets[end.agent]; t != nil && t.connected {
		c.resolveLateEnd(now, p, t, end.run)
	}
}

// confirmEnd notes that an end is recorded. The next message to the agent that keeps it
// says so.
func (c *Core) confirmEnd(now time.Time, p *pool, end durableEnd) {
	recorded := recordedEnd{}
	if end.startUnconfirmed {
		recorded.onlyAgent = end.agent
	}
	p.recordedEnds.add(now, end.run, recorded, recordedEndRetention)
	if t := p.targets[end.agent]; t != nil && t.connected {
		t.recordedEnds = append(t.recordedEnds, end.run)
	}
}

// SendConfirmations sends the confirmations of ends that no message has carried yet. One
// message for each agent takes those of all jobs of an append; Tick sends any others.
func (c *Core) SendConfirmations() {
	for _, p := range c.allPools() {
		p.mu.Lock()
		now := c.env.Now()
		for _, t := range p.targetList {
			c.sendConfirmations(now, p, t)
		}
		p.mu.Unlock()
	}
}

// sendConfirmations is SendConfirmations for one target.
func (c *Core) sendConfirmations(now time.Time, p *pool, t *target) {
	if len(t.recordedEnds) > 0 && t.connected {
		c.send(now, p, t, &wire.Orders{Waiting: c.announcedWaiting(now, p, t)})
	}
}
