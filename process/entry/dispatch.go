package entry

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
)

// dispatchQueued sends every queued task of a service that the scheduler
// assigns to a target now, in one message per agent.
func (c *Core) dispatchQueued(now time.Time, svc *service) {
	svc.mu.Lock()
	assigned := svc.scheduler.Assign(now, svc.random)
	svc.mu.Unlock()
	byAgent := make(map[wire.Incarnation][]scheduler.Task)
	var agents []wire.Incarnation
	for _, a := range assigned {
		if _, ok := byAgent[a.Target]; !ok {
			agents = append(agents, a.Target)
		}
		byAgent[a.Target] = append(byAgent[a.Target], a.Task)
	}
	for _, agent := range agents {
		c.dispatch(now, svc, agent, byAgent[agent])
	}
}

func (c *Core) dispatch(now time.Time, svc *service, agent wire.Incarnation, tasks []scheduler.Task) {
	var batch []*sentTask
	for _, task := range tasks {
		if sent, ok := c.prepareDispatch(now, svc, agent, task); ok {
			batch = append(batch, sent)
		}
	}
	if len(batch) == 0 {
		return
	}
	link := c.agent(agent)
	fenced := c.fenced.Load()
	if link == nil || fenced || !link.assignSeqs(batch) {
		for _, sent := range batch {
			c.handleNotStarted(now, agent, sent, scheduler.EndNotStarted, !fenced)
		}
		return
	}
	for _, sent := range batch {
		c.recordSent(sent, agent)
	}
	svc.dispatched.Add(uint64(len(batch)))
	c.env.SendAgent(agent, link.dispatchMessage(now, c.self, batch))
}

// prepareDispatch marks a task as outstanding and builds its dispatch. It returns false
// if the task must not be sent: its job has ended, or a task that is not
// idempotent might start twice.
func (c *Core) prepareDispatch(now time.Time, svc *service, agent wire.Incarnation, task scheduler.Task) (*sentTask, bool) {
	sent, rejected := c.markOutstanding(svc, agent, task)
	if rejected {
		// The job has ended in the meantime, or the start was rejected here.
		// Neither counts against the target.
		svc.finish(now, agent, task.ID, scheduler.EndCancelled, 0)
		return nil, false
	}
	return sent, true
}

func (c *Core) markOutstanding(svc *service, agent wire.Incarnation, task scheduler.Task) (sent *sentTask, rejected bool) {
	s := c.shard(task.ID.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.jobs[task.ID.Key]
	if !ok || e.phase != running || e.job.Ended(task.ID.Index) {
		return nil, true
	}
	state := &e.tasks[task.ID.Index]
	if state.outstanding || state.mayHaveRun && !e.sub.Idempotent {
		c.env.ReportViolation("G1", "dispatch", agent.String(), "second start of task of job "+task.ID.Key.String())
		return nil, true
	}
	state.outstanding = true
	state.attempts++
	return &sentTask{service: svc, task: task, dispatch: wire.DispatchTask{
		Key: task.ID.Key, Index: task.ID.Index, Count: len(e.sub.Inputs), Attempt: state.attempts,
		Batch: e.sub.Priority == job.Batch, Input: e.sub.Inputs[task.ID.Index], Idempotent: e.sub.Idempotent,
	}}, false
}

func (c *Core) recordSent(sent *sentTask, agent wire.Incarnation) {
	s := c.shard(sent.task.ID.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.jobs[sent.task.ID.Key]; ok {
		e.sent = append(e.sent, sentRef{agent: agent, seq: sent.dispatch.Seq})
	}
}

// handleAnswers handles an agent's answers to dispatched tasks.
func (c *Core) handleAnswers(now time.Time, agent wire.Incarnation, link *agentLink, m *wire.Answers) {
	if m.Entry != c.self || m.Agent != agent {
		c.counters.strayAnswers.Add(uint64(len(m.Tasks)))
		return
	}
	for _, answer := range m.Tasks {
		sent := link.matchAnswer(answer.Seq, answer.Attempt)
		if sent == nil {
			c.counters.strayAnswers.Add(1)
			continue
		}
		c.handleTaskAnswer(now, agent, link, sent, answer)
	}
	if svc := c.service(link.hello.Service); svc != nil {
		svc.reportLoad(now, agent, m.Load)
		c.dispatchQueued(now, svc)
	}
}

// handleTaskAnswer handles the answer to one outstanding task. If the
// agent did not start the task, the sequence is released. It is not released for
// a duplicate, because the task may have been started earlier.
func (c *Core) handleTaskAnswer(now time.Time, agent wire.Incarnation, link *agentLink, sent *sentTask, answer wire.TaskAnswer) {
	switch answer.NotStarted {
	case wire.Started:
		c.handleEnded(now, agent, sent, answer)
	case wire.NotStartedDuplicate:
		c.handleUnknown(now, agent, sent, "the agent had settled the dispatch earlier")
	case wire.NotStartedFenced:
		c.fenced.Store(true)
		link.release(answer.Seq)
		c.handleNotStarted(now, agent, sent, scheduler.EndNotStarted, false)
	case wire.NotStartedBusy:
		link.release(answer.Seq)
		c.handleNotStarted(now, agent, sent, scheduler.EndBusy, true)
	case wire.NotStartedCancelled:
		link.release(answer.Seq)
		c.handleCancelled(now, agent, sent)
	default:
		link.release(answer.Seq)
		c.handleNotStarted(now, agent, sent, scheduler.EndNotStarted, answer.NotStarted != wire.NotStartedDeadline)
	}
}

var endByOutcome = map[job.Outcome]scheduler.End{
	job.OK: scheduler.EndOK, job.Failed: scheduler.EndFailed,
	job.Timeout: scheduler.EndTimeout, job.Cancelled: scheduler.EndCancelled,
}

// handleEnded handles the result of a task that was started.
func (c *Core) handleEnded(now time.Time, agent wire.Incarnation, sent *sentTask, answer wire.TaskAnswer) {
	end, ok := endByOutcome[answer.Outcome]
	if !ok {
		c.handleUnknown(now, agent, sent, "the agent's answer has no known outcome")
		return
	}
	sent.service.finish(now, agent, sent.task.ID, end, time.Duration(answer.RunMS)*time.Millisecond)
	c.clearOutstanding(sent, true)
	c.finishTask(now, sent.task.ID.Key, sent.task.ID.Index,
		job.TaskResult{Outcome: answer.Outcome, Output: answer.Output, Error: answer.Error})
}

// handleNotStarted handles a task that was definitely not started. If retry is
// set, it is tried at another target within the retry budget.
func (c *Core) handleNotStarted(now time.Time, agent wire.Incarnation, sent *sentTask, end scheduler.End, retry bool) {
	sent.service.finish(now, agent, sent.task.ID, end, 0)
	wanted, cancelled := c.clearOutstanding(sent, false)
	if retry && wanted && c.retry(now, agent, sent, end) {
		return
	}
	outcome := job.NotStarted
	if cancelled {
		outcome = job.Cancelled
	}
	c.finishTask(now, sent.task.ID.Key, sent.task.ID.Index, job.TaskResult{Outcome: outcome})
}

// handleUnknown handles a task that may or may not have been started. Only an
// idempotent task is tried again.
func (c *Core) handleUnknown(now time.Time, agent wire.Incarnation, sent *sentTask, cause string) {
	sent.service.finish(now, agent, sent.task.ID, scheduler.EndUnknown, 0)
	wanted, _ := c.clearOutstanding(sent, true)
	if sent.task.Idempotent && wanted && c.retry(now, agent, sent, scheduler.EndUnknown) {
		return
	}
	c.finishTask(now, sent.task.ID.Key, sent.task.ID.Index, job.TaskResult{Outcome: job.Unknown, Error: cause})
}

// handleCancelled handles a task that the agent dropped before starting it.
func (c *Core) handleCancelled(now time.Time, agent wire.Incarnation, sent *sentTask) {
	sent.service.finish(now, agent, sent.task.ID, scheduler.EndCancelled, 0)
	c.clearOutstanding(sent, false)
	c.finishTask(now, sent.task.ID.Key, sent.task.ID.Index,
		job.TaskResult{Outcome: job.Cancelled, Error: "cancelled before it was started"})
}

// clearOutstanding marks a task as no longer outstanding. wanted reports
// whether a retry makes sense: the job is running, can still be complete and
// has time left. cancelled reports whether the caller cancelled the job.
func (c *Core) clearOutstanding(sent *sentTask, mayHaveRun bool) (wanted, cancelled bool) {
	s := c.shard(sent.task.ID.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.jobs[sent.task.ID.Key]
	if !ok || e.phase != running {
		return false, false
	}
	state := &e.tasks[sent.task.ID.Index]
	state.outstanding = false
	state.mayHaveRun = state.mayHaveRun || mayHaveRun
	return !e.deadlinePassed && !e.cancelled && !e.job.HasFailedTask() && !e.job.Ended(sent.task.ID.Index), e.cancelled
}

func (c *Core) retry(now time.Time, agent wire.Incarnation, sent *sentTask, end scheduler.End) bool {
	task := sent.task
	task.Attempt++
	task.Avoid = agent
	task.Busy = end == scheduler.EndBusy
	sent.service.mu.Lock()
	defer sent.service.mu.Unlock()
	if !sent.service.scheduler.Retry(now, task) {
		return false
	}
	sent.service.retried.Add(1)
	return true
}

func (s *service) finish(now time.Time, agent wire.Incarnation, id scheduler.TaskID, end scheduler.End, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Finish(now, agent, id, end, took)
}

func (s *service) reportLoad(now time.Time, agent wire.Incarnation, load wire.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Report(now, agent, load)
}
