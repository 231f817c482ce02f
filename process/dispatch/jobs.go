package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// activeJob is a job that has not been answered.
type activeJob struct {
	batch.Submission
	acceptedAt time.Time
	// objectiveAt is when the job is to be complete.
	objectiveAt time.Time
	// expiresAt is when the caller stops waiting or the answer is of no more use
	// to it.
	expiresAt time.Time
	// callersLeaveAt is when the last caller has stopped waiting. It may submit the job
	// to another entry after that, also if this entry does not learn that it has left.
	callersLeaveAt time.Time
	steps          []stepState
	waiters        map[uint64]waiter
	// durableState is nil for a job that ends with its callers or its process.
	durableState *durableState
	// runsStarted counts the runs that were ordered and not refused.
	runsStarted int
	// awaitedAgent is set for a job that was admitted before the first agent enrolled.
	awaitedAgent bool
	// heldUntil is the time until which no task of the job is ordered, lateStartsOver the same
	// because of starts that other entries have ordered.
	heldUntil, lateStartsOver time.Time
	ended                     bool
	// timeToEnd is the estimated time from the start of each step to the end of
	// the job.
	timeToEnd []time.Duration
	// startMargin is the part of the job's slack that is kept for what can't be foreseen,
	// see startMarginShare.
	startMargin time.Duration
}

// startMarginShare of the slack of a job is not used to wait. Work lasts longer than
// estimated and some placements are turned back by the agent, so that jobs that start at the
// last moment end late: without a margin a seventh of the work done at twice the capacity.
const startMarginShare = 0.45

// startMargin returns the margin of a job with the given slack, none if it is late.
func startMargin(slack time.Duration) time.Duration {
	return time.Duration(startMarginShare * float64(max(slack, 0)))
}

// waiter is a caller who waits for the result of a job.
type waiter struct {
	reply func(Result)
	// connected is batch.Submission.CallerWaits.
	connected func() bool
}

// callersHaveLeft reports whether the connections of all callers of a job have ended. Their
// removal follows, but may take long in a process that lacks processor time, and the job
// may have been submitted to another entry.
func (j *activeJob) callersHaveLeft() bool {
	for _, w := range j.waiters {
		if w.connected == nil || w.connected() {
			return false
		}
	}
	return true
}

// stepState is the progress of one step of a job.
type stepState struct {
	// openDependencies is the number of steps that must end before this one.
	openDependencies int
	unfinishedTasks  int
	// ready holds the tasks that may start and have no run, in the order in which
	// they are placed.
	ready []*task
	tasks []*task
	// latestStart is when the step must start for the job to meet its objective, in
	// nanoseconds of Unix time. adjustedStart is later for a queue of lower priority and
	// orders the groups of one rank.
	latestStart   int64
	adjustedStart int64
	// queued is set while the step's group is in pool.queue.
	queued bool
	// runsPerNode counts the live runs by node, for steps with MaxPerTarget.
	runsPerNode map[string]int
	// localWaitSince is when the step first waited for a local target, or zero.
	// localWaitUntil is the end of its present wait, or zero.
	localWaitSince, localWaitUntil time.Time
}

// task is one task of an active job.
type task struct {
	job   *activeJob
	step  int
	index int
	// lastNumber is the number of the last run.
	lastNumber int
	// failures counts the runs that ended with EndFailed.
	failures int
	// crashes counts the targets that have crashed under the task.
	crashes crashRecord
	done    bool
	// liveRun is the run that may be alive, or nil.
	liveRun *run
	// restarted is set once an agent has stopped a run of the task because it was slow.
	restarted bool
	// avoidedNodes are the nodes where the target refused or did not complete a
	// run of the task.
	avoidedNodes []string
}

// run is a run that may be alive at a target.
type run struct {
	task      *task
	target    *target
	number    int
	orderedAt time.Time
	// startConfirmed is set once the target has answered all starts of the run, so that
	// the lease bounds it.
	startConfirmed bool
	// withheld is set once the agent has been silent for so long that the run would have
	// ended if its start was confirmed.
	withheld bool
	// stopRequested is set once the result of the run is not needed.
	stopRequested bool
	// crash is what is known of a crash of the target once the run has ended.
	crash  crashKind
	demand batch.Resources
	// stopIfSlow is set if the agent may stop the run because it is slow.
	stopIfSlow bool
	// load is the share of the target that was in use when the run was ordered.
	load float64
}

func (t *task) id() batch.Task {
	return batch.Task{Job: t.job.Job.ID, Step: t.step, Index: t.index}
}

func (r *run) id() batch.Run { return batch.Run{Task: r.task.id(), Number: r.number} }

// usefulFor returns the time from the submission of a job after which its answer is of no
// more use.
func usefulFor(s batch.Submission) time.Duration {
	return min(s.CallerTimeout, expiryFactor*s.Objective)
}

func newActiveJob(now time.Time, s batch.Submission) *activeJob {
	j := &activeJob{Submission: s, acceptedAt: now, objectiveAt: now.Add(s.TimeLeft()), expiresAt: now.Add(usefulFor(s)), callersLeaveAt: now.Add(s.CallerTimeout),
		waiters: make(map[uint64]waiter), steps: make([]stepState, len(s.Job.Steps))}
	for stepIndex, step := range s.Job.Steps {
		state := &j.steps[stepIndex]
		state.openDependencies, state.unfinishedTasks = len(step.DependsOn), step.Tasks
		state.runsPerNode = make(map[string]int)
		for index := range step.Tasks {
			t := &task{job: j, step: stepIndex, index: index}
			state.tasks = append(state.tasks, t)
			if state.openDependencies == 0 {
				state.ready = append(state.ready, t)
			}
		}
	}
	j.estimateTimesToEnd()
	j.startMargin = startMargin(s.TimeLeft() - s.Job.CriticalPath())
	for step := range j.steps {
		latest := j.latestStart(step)
		j.steps[step].latestStart = latest.UnixNano()
		j.steps[step].adjustedStart = latest.Add(time.Duration(s.Priority) * priorityDelay).UnixNano()
	}
	return j
}

// awaitFirstAgent lets a job that was admitted before the first agent enrolled wait as long
// as its caller does: it can't have been in time, and the targets have no other work yet.
func (j *activeJob) awaitFirstAgent() {
	j.awaitedAgent, j.expiresAt = true, j.callersLeaveAt
}

// abandoned reports whether no caller waits for the job any more. A durable job runs
// without callers.
func (j *activeJob) abandoned(now time.Time) bool {
	return j.durableState == nil && !now.Before(j.callersLeaveAt)
}

// task returns a task of the job, or nil if it has none with these numbers.
func (j *activeJob) task(step, index int) *task {
	if step < 0 || step >= len(j.steps) || index < 0 || index >= len(j.steps[step].tasks) {
		return nil
	}
	return j.steps[step].tasks[index]
}

// estimateTimesToEnd sets timeToEnd from the estimates of the steps.
func (j *activeJob) estimateTimesToEnd() {
	steps := j.Job.Steps
	j.timeToEnd = make([]time.Duration, len(steps))
	for step := len(steps) - 1; step >= 0; step-- {
		j.timeToEnd[step] += steps[step].Estimate
		for _, dependency := range steps[step].DependsOn {
			j.timeToEnd[dependency] = max(j.timeToEnd[dependency], j.timeToEnd[step])
		}
	}
}

// latestStart returns when a step must start for the job to meet its objective with the
// margin of startMarginShare.
func (j *activeJob) latestStart(step int) time.Time {
	return j.objectiveAt.Add(-j.timeToEnd[step] - j.startMargin)
}

// estimatedRemaining returns the estimated time from now to the end of the job if
// all ready tasks start now.
func (j *activeJob) estimatedRemaining() time.Duration {
	var longest time.Duration
	for step := range j.steps {
		if len(j.steps[step].ready) > 0 {
			longest = max(longest, j.timeToEnd[step])
		}
	}
	return longest
}

// completeTask marks a task as done and makes the tasks of the steps ready that
// depended only on its step. It reports whether the job is complete.
func (j *activeJob) completeTask(t *task) bool {
	t.done = true
	j.steps[t.step].unfinishedTasks--
	if j.steps[t.step].unfinishedTasks > 0 {
		return false
	}
	complete := true
	for step := range j.steps {
		state := &j.steps[step]
		complete = complete && state.unfinishedTasks == 0
		for _, dependency := range j.Job.Steps[step].DependsOn {
			if dependency != t.step {
				continue
			}
			if state.openDependencies--; state.openDependencies == 0 {
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

func (j *activeJob) hasReadyTasks() bool {
	for step := range j.steps {
		if len(j.steps[step].ready) > 0 {
			return true
		}
	}
	return false
}

// endJob ends a job with a result, which it sends to all waiters.
func (c *Core) endJob(now time.Time, p *pool, j *activeJob, result Result) {
	if j.ended {
		return
	}
	j.ended = true
	delete(p.jobs, j.Job.ID)
	if j.durableState == nil {
		result = p.correctNotRun(j.Job.ID, result)
		p.retainAnswer(now, j.Job.ID, result, j.runsStarted > 0)
	}
	c.counters.countResult(result)
	inputs := []decision.Input{{Name: "took_ms", Value: now.Sub(j.acceptedAt).Milliseconds()},
		{Name: "objective_ms", Value: j.Objective.Milliseconds()}}
	if result.Code != Completed {
		inputs = append(inputs, c.loadInputs(now, p)...)
		inputs = append(inputs, decision.Input{Name: "retry_after_ms", Value: result.RetryAfter.Milliseconds()})
	}
	c.env.Record(decision.Decision{Step: "answer", Job: j.Job.ID, Outcome: string(result.Code), Reason: string(result.Reason),
		Version: j.Version, Routine: result.Code == Completed, Inputs: inputs})
	if result.Code != Completed {
		c.stopJob(now, p, j)
	}
	for _, w := range j.waiters {
		w.reply(result)
	}
	j.waiters = nil
}

// stopJob stops every run of a job that has ended and removes its ready tasks.
func (c *Core) stopJob(now time.Time, p *pool, j *activeJob) {
	for step := range j.steps {
		j.steps[step].ready = nil
	}
	c.stopLiveRuns(now, p, j)
}

// stopLiveRuns stops the runs of a job. Their tasks become ready again unless the
// job has ended.
func (c *Core) stopLiveRuns(now time.Time, p *pool, j *activeJob) {
	for step := range j.steps {
		for _, t := range j.steps[step].tasks {
			if t.liveRun != nil {
				c.stopRun(now, p, t.liveRun)
			}
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
