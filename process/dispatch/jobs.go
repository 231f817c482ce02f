package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// activeJob is a job that has not been answered.
type activeJob struct {
	batch.Submission
	submitted time.Time
	objective time.Time
	// useless is when the caller has left or an answer is of no use.
	useless time.Time
	steps   []stepState
	waiters map[uint64]func(Result)
	// durable is nil for a job that ends with its callers or its process.
	durable *durability
	// started counts the runs that were ordered and not refused.
	started int
	ended   bool
	// tail is the estimated time from the start of each step to the end of the
	// job.
	tail []time.Duration
}

// stepState is the progress of one step of a job.
type stepState struct {
	// blockers is the number of steps that have to end first.
	blockers int
	undone   int
	// ready are tasks without a run, in order.
	ready []*task
	tasks []*task
	// perTarget counts the live runs by node, for steps that bound them.
	perTarget map[string]int
}

// task is one task of an active job.
type task struct {
	job    *activeJob
	step   int
	index  int
	number int
	failed int
	done   bool
	// live is the run that may be alive, or nil.
	live *run
	// avoid holds the nodes where a run of the task did not get done.
	avoid []string
}

// run is a run that may be alive at a target.
type run struct {
	task    *task
	target  *target
	number  int
	ordered time.Time
	// stopping is set once the entry wants no result of the run.
	stopping bool
	demand   batch.Resources
}

func (t *task) name() batch.Task {
	return batch.Task{Job: t.job.Job.ID, Step: t.step, Index: t.index}
}

func (r *run) name() batch.Run { return batch.Run{Task: r.task.name(), Number: r.number} }

func newActiveJob(now time.Time, s batch.Submission) *activeJob {
	j := &activeJob{Submission: s, submitted: now, objective: now.Add(s.TimeLeft()), useless: now.Add(min(s.Patience, lateFactor*s.Objective)),
		waiters: make(map[uint64]func(Result)), steps: make([]stepState, len(s.Job.Steps))}
	for number, step := range s.Job.Steps {
		state := &j.steps[number]
		state.blockers, state.undone = len(step.After), step.Tasks
		state.perTarget = make(map[string]int)
		for index := range step.Tasks {
			t := &task{job: j, step: number, index: index}
			state.tasks = append(state.tasks, t)
			if state.blockers == 0 {
				state.ready = append(state.ready, t)
			}
		}
	}
	j.estimateTails()
	return j
}

// estimateTails works out the estimated time from the start of each step to the
// end of the job.
func (j *activeJob) estimateTails() {
	steps := j.Job.Steps
	j.tail = make([]time.Duration, len(steps))
	for number := len(steps) - 1; number >= 0; number-- {
		j.tail[number] += steps[number].Estimate
		for _, before := range steps[number].After {
			j.tail[before] = max(j.tail[before], j.tail[number])
		}
	}
}

// latestStart returns when a step must start for the job to meet its objective.
func (j *activeJob) latestStart(step int) time.Time { return j.objective.Add(-j.tail[step]) }

// remaining returns the estimated time to the end of the job from now, if
// everything that is ready starts now.
func (j *activeJob) remaining() time.Duration {
	var longest time.Duration
	for number := range j.steps {
		if len(j.steps[number].ready) > 0 {
			longest = max(longest, j.tail[number])
		}
	}
	return longest
}

// taskDone notes that a task is done and unblocks the steps after its own. It
// reports whether the job is complete.
func (j *activeJob) taskDone(t *task) bool {
	t.done = true
	j.steps[t.step].undone--
	if j.steps[t.step].undone > 0 {
		return false
	}
	complete := true
	for number := range j.steps {
		state := &j.steps[number]
		complete = complete && state.undone == 0
		for _, before := range j.Job.Steps[number].After {
			if before != t.step {
				continue
			}
			if state.blockers--; state.blockers == 0 {
				state.ready = append(state.ready, state.tasks...)
			}
		}
	}
	return complete
}

// requeue makes a task without a live run ready again.
func (t *task) requeue() {
	state := &t.job.steps[t.step]
	state.ready = append(state.ready, t)
}

func (j *activeJob) hasReady() bool {
	for number := range j.steps {
		if len(j.steps[number].ready) > 0 {
			return true
		}
	}
	return false
}

// end answers all waiters.
func (c *Core) end(now time.Time, p *pool, j *activeJob, result Result) {
	if j.ended {
		return
	}
	j.ended = true
	delete(p.jobs, j.Job.ID)
	if j.durable == nil {
		p.remember(now, j.Job.ID, result)
	}
	c.counters.ended(result)
	inputs := []decision.Input{{Name: "took_ms", Value: now.Sub(j.submitted).Milliseconds()},
		{Name: "objective_ms", Value: j.Objective.Milliseconds()}}
	if result.Code != Completed {
		inputs = append(inputs, p.loadInputs(now)...)
		inputs = append(inputs, decision.Input{Name: "retry_after_ms", Value: result.RetryAfter.Milliseconds()})
	}
	c.env.Decided(decision.Decision{Step: "answer", Job: j.Job.ID, Outcome: string(result.Code), Reason: string(result.Reason),
		Version: j.Version, Routine: result.Code == Completed, Inputs: inputs})
	if result.Code != Completed {
		c.stopRuns(now, p, j)
	}
	for _, reply := range j.waiters {
		reply(result)
	}
	j.waiters = nil
}

// stopRuns stops every run of a job that has ended.
func (c *Core) stopRuns(now time.Time, p *pool, j *activeJob) {
	for number := range j.steps {
		j.steps[number].ready = nil
	}
	c.stopLive(now, p, j)
}

// stopLive stops the runs of a job; its tasks stay.
func (c *Core) stopLive(now time.Time, p *pool, j *activeJob) {
	for number := range j.steps {
		for _, t := range j.steps[number].tasks {
			if t.live != nil {
				c.stopRun(now, p, t.live)
			}
		}
	}
}
