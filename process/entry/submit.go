package entry

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// Submit handles a submission. reply is called once, from any goroutine. The
// caller calls detach when it stops waiting: a request without a key is then
// cancelled if no other call waits for it, while one with a key continues,
// because its caller may resubmit.
func (c *Core) Submit(sub *job.Submission, reply func(Reply)) (detach func()) {
	now := c.env.Now()
	deliver := reply
	reply = func(r Reply) { deliver(c.downgradeIfStarted(sub, r)) }
	if refused := c.checkAdmission(sub); refused != nil {
		reply(Reply{Refusal: downgradeUnlessFirst(sub, refused)})
		return func() {}
	}
	if !sub.Keyed() {
		sub.Hash = c.randomHash()
	}
	w := &waiter{deadline: sub.Deadline, reply: reply}
	c.admit(now, sub, w)
	return func() { c.detach(sub.Hash, w) }
}

// downgradeUnlessFirst changes a refusal that was made before the owner of the
// key was known to refusal.RunUnknown: an earlier submission of the key may
// have run at another entry. The refusal stays as it is if the caller states
// that there was no earlier submission.
func downgradeUnlessFirst(sub *job.Submission, refused *refusal.Error) *refusal.Error {
	if sub.First {
		return refused
	}
	return refused.WithRunUnknown()
}

// downgradeIfStarted changes a refusal from refusal.NotRun to
// refusal.RunUnknown if this entry has recorded a start under the key. The start
// may belong to an earlier call, whatever the caller states, or to a call that
// arrived before the refusal was delivered.
func (c *Core) downgradeIfStarted(sub *job.Submission, r Reply) Reply {
	if r.Refusal == nil || r.Refusal.Run != refusal.NotRun || !sub.Keyed() {
		return r
	}
	s := c.shard(sub.Hash)
	s.mu.Lock()
	e, ok := s.jobs[sub.Hash]
	mayHaveRun := ok && (e.phase == answered || e.phase == evicted || e.started())
	s.mu.Unlock()
	if mayHaveRun {
		c.counters.downgradedRefusals.Add(1)
		r.Refusal.WithRunUnknown()
	}
	return r
}

func (c *Core) checkAdmission(sub *job.Submission) *refusal.Error {
	if err := c.Ready(); err != nil {
		refused, _ := refusal.As(err)
		return refused.WithRetryAfter(time.Second)
	}
	svc := c.service(sub.Service)
	if svc == nil {
		return refusal.New(refusal.UnknownService, "submit", "service %q is not configured", sub.Service)
	}
	svc.mu.Lock()
	settings := svc.settings
	svc.mu.Unlock()
	if settings.Teams != nil && !slices.Contains(settings.Teams, sub.Team) {
		return refusal.New(refusal.UnknownService, "submit", "service %q is not open to team %q", sub.Service, sub.Team)
	}
	if sub.DefaultDeadline {
		sub.Deadline = c.env.Now().Add(settings.DefaultDeadline)
	}
	return nil
}

func (c *Core) randomHash() (hash job.KeyHash) {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	for i := range hash {
		hash[i] = byte(c.random.Uint32())
	}
	return hash
}

// admit attaches the caller to the job of the key, or creates that job.
func (c *Core) admit(now time.Time, sub *job.Submission, w *waiter) {
	s := c.shard(sub.Hash)
	s.mu.Lock()
	e, known := s.jobs[sub.Hash]
	if !known {
		e = newEntryJob(sub, c.service(sub.Service), claiming, now)
		e.waiters = []*waiter{w}
		s.addActive(sub.Hash, e)
		s.mu.Unlock()
		c.claimOrRun(now, sub, false)
		return
	}
	afterUnlock := s.attach(now, e, sub, w, c.service(sub.Service))
	s.mu.Unlock()
	afterUnlock(c)
}

// claimOrRun claims the key of a keyed submission, and starts one without a key
// at once.
func (c *Core) claimOrRun(now time.Time, sub *job.Submission, wasIdle bool) {
	if !sub.Keyed() {
		if refused := c.takeQuota(now, sub); refused != nil {
			c.refuseClaiming(now, sub.Hash, refused)
			return
		}
		c.startJob(now, sub.Hash)
		return
	}
	c.addClaim(now, sub, wasIdle)
}

// attach adds a caller to the job of a known key. It returns the work that has
// to be done after the shard is unlocked.
func (s *shard) attach(now time.Time, e *entryJob, sub *job.Submission, w *waiter, svc *service) func(*Core) {
	if e.sub.Digest != sub.Digest {
		return func(*Core) { w.reply(Reply{Refusal: keyConflict()}) }
	}
	switch e.phase {
	case answered:
		answer := e.answer
		return func(*Core) { w.reply(Reply{Answer: answer}) }
	case evicted:
		refused := refusal.New(refusal.KeyTooOld, "submit", "the answer is no longer held").WithRunUnknown()
		return func(*Core) { w.reply(Reply{Refusal: refused}) }
	case idle:
		// Nothing was started, so the resubmission runs as a new job. Its key
		// is claimed again, because the earlier claim may not have taken
		// effect.
		fresh := newEntryJob(sub, svc, claiming, now)
		fresh.waiters = []*waiter{w}
		s.addActive(sub.Hash, fresh)
		return func(c *Core) { c.claimOrRun(now, sub, true) }
	}
	e.waiters = append(e.waiters, w)
	return func(*Core) {}
}

// startJob queues the tasks of a submission that this entry owns.
func (c *Core) startJob(now time.Time, hash job.KeyHash) {
	s := c.shard(hash)
	s.mu.Lock()
	e, ok := s.jobs[hash]
	if !ok || e.phase != claiming {
		s.mu.Unlock()
		return
	}
	e.phase = running
	e.sub.Raw = nil
	svc, tasks := e.service, schedulerTasks(now, e.sub)
	s.mu.Unlock()

	refused := c.enqueue(now, svc, tasks)
	if refused != nil {
		s.mu.Lock()
		waiters := s.deactivate(now, hash, e, idle)
		s.mu.Unlock()
		replyAll(waiters, Reply{Refusal: refused})
		return
	}
	c.dispatchQueued(now, svc)
}

func (c *Core) enqueue(now time.Time, svc *service, tasks []scheduler.Task) *refusal.Error {
	if svc == nil {
		return refusal.New(refusal.UnknownService, "submit", "the service was removed from the configuration")
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.scheduler.Admit(now, tasks)
}

func schedulerTasks(now time.Time, sub *job.Submission) []scheduler.Task {
	tasks := make([]scheduler.Task, len(sub.Inputs))
	for i := range tasks {
		tasks[i] = scheduler.Task{ID: scheduler.TaskID{Key: sub.Hash, Index: i}, Team: sub.Team, Priority: sub.Priority,
			Enqueued: now, Deadline: sub.Deadline, Needs: sub.Needs, Idempotent: sub.Idempotent}
	}
	return tasks
}

// detach removes a caller that stopped waiting.
func (c *Core) detach(hash job.KeyHash, w *waiter) {
	s := c.shard(hash)
	s.mu.Lock()
	e, ok := s.jobs[hash]
	if !ok {
		s.mu.Unlock()
		return
	}
	kept := e.waiters[:0]
	for _, other := range e.waiters {
		if other != w {
			kept = append(kept, other)
		}
	}
	e.waiters = kept
	abandoned := len(kept) == 0 && !e.sub.Keyed() && e.phase == running
	s.mu.Unlock()
	if abandoned {
		c.Cancel(hash)
	}
}

// Cancel stops a job: queued tasks never start, and the agents are asked to
// stop running ones. It returns false if this entry has no active job with this
// key.
func (c *Core) Cancel(hash job.KeyHash) bool {
	now := c.env.Now()
	s := c.shard(hash)
	s.mu.Lock()
	e, ok := s.jobs[hash]
	if ok && e.phase == claiming {
		sub := e.sub
		waiters := s.deactivate(now, hash, e, idle)
		s.mu.Unlock()
		c.withdrawClaim(hash)
		refused := refusal.New(refusal.Deadline, "claim", "cancelled before it was claimed")
		replyAll(waiters, Reply{Refusal: downgradeUnlessFirst(sub, refused)})
		return true
	}
	if !ok || e.phase != running {
		s.mu.Unlock()
		return false
	}
	e.cancelled = true
	queued, sent, svc := e.unsentTasks(), append([]sentRef(nil), e.sent...), e.service
	s.mu.Unlock()
	c.cancelQueued(now, svc, hash, queued, job.Cancelled)
	c.cancelSent(sent)
	return true
}

// cancelQueued removes tasks from the queue and finishes them with the outcome.
func (c *Core) cancelQueued(now time.Time, svc *service, hash job.KeyHash, indexes []int, outcome job.Outcome) {
	var removed []int
	svc.mu.Lock()
	for _, index := range indexes {
		if svc.scheduler.Cancel(scheduler.TaskID{Key: hash, Index: index}) {
			removed = append(removed, index)
		}
	}
	svc.mu.Unlock()
	for _, index := range removed {
		c.finishTask(now, hash, index, job.TaskResult{Outcome: outcome})
	}
}

// expireQueue finishes the tasks whose deadline passed while they were queued.
func (c *Core) expireQueue(now time.Time, svc *service) {
	svc.mu.Lock()
	expired := svc.scheduler.Expire(now)
	svc.mu.Unlock()
	for _, task := range expired {
		c.finishTask(now, task.ID.Key, task.ID.Index,
			job.TaskResult{Outcome: job.NotStarted, Error: "no target had room before the deadline"})
	}
}

// HandleDelivered has to be called when the complete answer has been written to
// a caller. It lets the agents drop the results of the job.
func (c *Core) HandleDelivered(hash job.KeyHash) {
	s := c.shard(hash)
	s.mu.Lock()
	var released []sentRef
	if e, ok := s.jobs[hash]; ok && e.phase == answered {
		released, e.sent = e.sent, nil
	}
	s.mu.Unlock()
	c.releaseSent(released)
}

// Attach waits for the answer of a key without submitting it. known is false if
// this entry holds neither an active job nor an answer for the key.
func (c *Core) Attach(hash job.KeyHash, deadline time.Time, reply func(Reply)) (detach func(), known bool) {
	w := &waiter{deadline: deadline, reply: reply}
	s := c.shard(hash)
	s.mu.Lock()
	e, ok := s.jobs[hash]
	if !ok || e.phase == idle || e.phase == evicted {
		s.mu.Unlock()
		return nil, false
	}
	if e.phase == answered {
		answer := e.answer
		s.mu.Unlock()
		reply(Reply{Answer: answer})
		return func() {}, true
	}
	e.waiters = append(e.waiters, w)
	s.mu.Unlock()
	return func() { c.detach(hash, w) }, true
}
