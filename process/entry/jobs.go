package entry

import (
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// phase is the state of a submission at the entry that holds it.
type phase uint8

const (
	// claiming means that the claim of the key is not decided.
	claiming phase = iota
	// running means that this entry owns the key; tasks may have been started.
	running
	// answered means that the complete answer is held.
	answered
	// idle means that this entry owns the key, or may still come to own it, and
	// has started nothing. A resubmission may run.
	idle
	// evicted means that the answer was dropped. Nothing may be started.
	evicted
)

var phaseNames = [...]string{"claiming", "running", "answered", "idle", "evicted"}

// shard holds the jobs of one part of the key space.
type shard struct {
	mu   sync.Mutex
	jobs map[job.KeyHash]*entryJob
	// done lists the jobs that left the active phases, claiming and running, in
	// the order in which they did. Retention is applied in this order.
	done []doneJob
	// activeOrder lists the jobs in the active phases, oldest first. It may
	// also contain jobs that have left them.
	activeOrder []job.KeyHash
	activeCount int
	// heldBytes is the size of the task outputs in the held answers.
	heldBytes int
}

// maxHeldBytes bounds the task outputs in the answers held by one shard, so
// that all shards together hold at most 32 MB.
const maxHeldBytes = 32 << 20 / shardCount

// doneJob records when a job left the active phases or its answer was dropped.
type doneJob struct {
	hash job.KeyHash
	at   time.Time
}

// entryJob is a submission that this entry holds.
type entryJob struct {
	sub     *job.Submission
	job     *job.Job
	service *service
	phase   phase
	answer  *job.Answer
	doneAt  time.Time
	waiters []*waiter
	tasks   []taskState
	// sent lists the dispatches whose results the agents still hold for this
	// job.
	sent []sentRef
	// deadlinePassed is set once the deadline has passed and the cancellation
	// of outstanding tasks was requested. cancelled is set once the caller has
	// cancelled the job.
	deadlinePassed bool
	cancelled      bool
}

// taskState tracks the starts of one task. It is used to check that a task that
// is not idempotent starts at most once.
type taskState struct {
	outstanding bool
	// mayHaveRun is set once a start of the task can no longer be ruled out.
	mayHaveRun bool
	attempts   int
}

// sentRef identifies one dispatch of a task.
type sentRef struct {
	agent wire.Incarnation
	seq   uint64
}

// waiter is one call that waits for the answer.
type waiter struct {
	deadline time.Time
	reply    func(Reply)
}

func (c *Core) shard(hash job.KeyHash) *shard { return &c.shards[hash[0]%shardCount] }

// addActive adds a job that is in phase claiming or running.
func (s *shard) addActive(hash job.KeyHash, e *entryJob) {
	s.jobs[hash] = e
	s.activeOrder = append(s.activeOrder, hash)
	s.activeCount++
}

// deactivate moves an active job to an inactive phase and returns the calls
// that wait for it.
func (s *shard) deactivate(now time.Time, hash job.KeyHash, e *entryJob, to phase) []*waiter {
	waiters := e.waiters
	e.waiters = nil
	e.phase = to
	e.dropBody()
	s.heldBytes += e.answerBytes()
	e.doneAt = now
	s.activeCount--
	s.done = append(s.done, doneJob{hash: hash, at: now})
	return waiters
}

// dropBody drops the inputs and the task state. It keeps the answer and the
// fields that identify a resubmission.
func (e *entryJob) dropBody() {
	e.job, e.tasks = nil, nil
	e.sub = &job.Submission{Key: e.sub.Key, SubmittedAt: e.sub.SubmittedAt, Digest: e.sub.Digest}
}

func (e *entryJob) answerBytes() int {
	total := 0
	if e.answer != nil {
		for _, task := range e.answer.Tasks {
			total += len(task.Output)
		}
	}
	return total
}

func (e *entryJob) started() bool {
	for i := range e.tasks {
		if e.tasks[i].mayHaveRun || e.tasks[i].outstanding {
			return true
		}
	}
	return false
}

func newEntryJob(sub *job.Submission, svc *service, p phase, now time.Time) *entryJob {
	return &entryJob{sub: sub, service: svc, phase: p, job: job.New(sub, now), tasks: make([]taskState, len(sub.Inputs))}
}

func replyAll(waiters []*waiter, reply Reply) {
	for _, w := range waiters {
		w.reply(reply)
	}
}

// finishTask records the result of a task and, if it was the last open one,
// replies to the callers of the job. Only the first result of a task counts.
func (c *Core) finishTask(now time.Time, hash job.KeyHash, index int, result job.TaskResult) {
	s := c.shard(hash)
	s.mu.Lock()
	e, ok := s.jobs[hash]
	if !ok || e.phase != running || !e.job.Finish(index, result) {
		s.mu.Unlock()
		c.counters.strayAnswers.Add(1)
		return
	}
	if e.job.Open() > 0 {
		failing := result.Outcome != job.OK
		queued := e.unsentTasks()
		s.mu.Unlock()
		if failing {
			// The answer can no longer be complete, so running the unsent tasks
			// would be wasted work.
			c.cancelQueued(now, e.service, hash, queued, job.NotStarted)
		}
		return
	}
	waiters, reply := c.finishJob(now, s, hash, e)
	s.mu.Unlock()
	replyAll(waiters, reply)
}

// unsentTasks returns the indexes of the open tasks that are not outstanding at
// an agent.
func (e *entryJob) unsentTasks() []int {
	var list []int
	for i := range e.tasks {
		if !e.tasks[i].outstanding && !e.job.Ended(i) {
			list = append(list, i)
		}
	}
	return list
}

// finishJob builds the answer of a job whose tasks have all ended. A job of
// which no task was started is refused instead, and may be submitted again.
func (c *Core) finishJob(now time.Time, s *shard, hash job.KeyHash, e *entryJob) ([]*waiter, Reply) {
	answer := e.job.Answer()
	if answer == nil {
		c.env.ReportViolation("G2", "answer", "", "answer of job "+hash.String()+" requested while tasks are open")
		return s.deactivate(now, hash, e, evicted), Reply{Refusal: refusal.New(refusal.Overloaded, "answer", "internal inconsistency").WithRunUnknown()}
	}
	if !e.started() && !cancelledByCaller(answer) {
		refused := c.notStartedRefusal(now, e)
		return s.deactivate(now, hash, e, idle), Reply{Refusal: refused}
	}
	e.answer = answer
	return s.deactivate(now, hash, e, answered), Reply{Answer: answer}
}

func cancelledByCaller(answer *job.Answer) bool {
	for _, task := range answer.Tasks {
		if task.Outcome == job.Cancelled {
			return true
		}
	}
	return false
}

func (c *Core) notStartedRefusal(now time.Time, e *entryJob) *refusal.Error {
	if c.fenced.Load() {
		return refusal.New(refusal.NotReady, "dispatch", "this entry has been fenced and restarts").WithRetryAfter(time.Second)
	}
	if !now.Before(e.sub.Deadline) {
		return refusal.New(refusal.Deadline, "dispatch", "no target had room before the deadline")
	}
	return refusal.New(refusal.Overloaded, "dispatch", "no target accepted the tasks within the retry budget").WithRetryAfter(time.Second)
}

// expireJobs ends jobs that are past their deadline and drops answers that are
// past their retention.
func (c *Core) expireJobs(now time.Time) {
	keep := retention{answers: c.Limits().AnswerRetention, keys: c.claims.keyWindow()}
	for i := range c.shards {
		c.expireShard(now, &c.shards[i], keep)
	}
}

// retention holds how long a shard keeps answers after the end of their job,
// and keys after their submission.
type retention struct{ answers, keys time.Duration }

func (c *Core) expireShard(now time.Time, s *shard, keep retention) {
	var afterUnlock []func()
	s.mu.Lock()
	for _, hash := range s.compactActiveOrder() {
		e := s.jobs[hash]
		if e.phase == claiming {
			afterUnlock = append(afterUnlock, c.expireClaiming(now, s, hash, e)...)
			continue
		}
		afterUnlock = append(afterUnlock, c.expireRunning(now, s, hash, e)...)
	}
	afterUnlock = append(afterUnlock, c.expireDone(now, s, keep)...)
	s.mu.Unlock()
	for _, f := range afterUnlock {
		f()
	}
}

// compactActiveOrder removes the jobs that have left the active phases from
// activeOrder, and returns it.
func (s *shard) compactActiveOrder() []job.KeyHash {
	kept := s.activeOrder[:0]
	seen := make(map[job.KeyHash]bool, len(s.activeOrder))
	for _, hash := range s.activeOrder {
		e, ok := s.jobs[hash]
		if ok && !seen[hash] && (e.phase == claiming || e.phase == running) {
			seen[hash] = true
			kept = append(kept, hash)
		}
	}
	s.activeOrder = kept
	return kept
}

// expireClaiming refuses a submission whose claim was not decided before its
// deadline. The job moves to phase idle before the caller receives the refusal,
// so that a claim that takes effect later starts nothing.
func (c *Core) expireClaiming(now time.Time, s *shard, hash job.KeyHash, e *entryJob) []func() {
	if now.Before(e.sub.Deadline) {
		return nil
	}
	sub := e.sub
	waiters := s.deactivate(now, hash, e, idle)
	return []func(){func() {
		c.withdrawClaim(hash)
		refused := refusal.New(refusal.LogUnavailable, "claim", "the log did not confirm the claim before the deadline").WithRetryAfter(time.Second)
		replyAll(waiters, Reply{Refusal: downgradeUnlessFirst(sub, refused)})
	}}
}

// expireRunning ends a job whose deadline has passed. Before that, it refuses
// waiting calls whose own deadline is earlier.
func (c *Core) expireRunning(now time.Time, s *shard, hash job.KeyHash, e *entryJob) []func() {
	var afterUnlock []func()
	if now.Before(e.sub.Deadline.Add(deadlineGrace)) {
		afterUnlock = e.expireWaiters(now)
	}
	if !e.deadlinePassed && !now.Before(e.sub.Deadline) {
		e.deadlinePassed = true
		sent := append([]sentRef(nil), e.sent...)
		afterUnlock = append(afterUnlock, func() { c.cancelSent(sent) })
	}
	if now.Before(e.sub.Deadline.Add(deadlineGrace)) {
		return afterUnlock
	}
	for i := range e.tasks {
		outcome := job.NotStarted
		if e.tasks[i].outstanding || e.tasks[i].mayHaveRun {
			outcome = job.Unknown
			e.tasks[i].mayHaveRun = true
		}
		e.job.Finish(i, job.TaskResult{Outcome: outcome, Error: "no answer before the deadline"})
	}
	waiters, reply := c.finishJob(now, s, hash, e)
	return append(afterUnlock, func() { replyAll(waiters, reply) })
}

func (e *entryJob) expireWaiters(now time.Time) []func() {
	var afterUnlock []func()
	kept := e.waiters[:0]
	for _, w := range e.waiters {
		if now.Before(w.deadline.Add(deadlineGrace)) {
			kept = append(kept, w)
			continue
		}
		afterUnlock = append(afterUnlock, func() {
			w.reply(Reply{Refusal: refusal.New(refusal.Deadline, "answer", "the job is still running").WithRunUnknown().WithRetryAfter(time.Second)})
		})
	}
	e.waiters = kept
	return afterUnlock
}

// expireDone drops answers past their retention, and the oldest answers while
// they exceed maxHeldBytes. It forgets keys that are older than the dedupe
// window.
func (c *Core) expireDone(now time.Time, s *shard, keep retention) []func() {
	var released []sentRef
	// evict appends keys to done again, so the scan covers only the elements
	// that are present at its start.
	for remaining := len(s.done); remaining > 0; remaining-- {
		oldest := s.done[0]
		e, ok := s.jobs[oldest.hash]
		if !ok || !e.doneAt.Equal(oldest.at) {
			s.done = s.done[1:]
			continue
		}
		if now.Sub(oldest.at) <= keep.answers && s.heldBytes <= maxHeldBytes {
			break
		}
		s.done = s.done[1:]
		released = append(released, e.evict(now, s, oldest.hash, keep.keys)...)
	}
	if len(released) == 0 {
		return nil
	}
	return []func(){func() { c.releaseSent(released) }}
}

// evict drops the answer of a job. The key itself is kept for the rest of the
// dedupe window, because it must not run again.
func (e *entryJob) evict(now time.Time, s *shard, hash job.KeyHash, window time.Duration) []sentRef {
	released := e.sent
	e.sent = nil
	s.heldBytes -= e.answerBytes()
	age := now.Sub(e.sub.SubmittedAt)
	if !e.sub.Keyed() || age > window {
		delete(s.jobs, hash)
		return released
	}
	if e.phase == answered {
		e.phase = evicted
		e.answer = nil
	}
	e.doneAt = now
	s.done = append(s.done, doneJob{hash: hash, at: now})
	return released
}

// ActiveJobs returns the number of submissions without a reply, including those
// that another entry owns.
func (c *Core) ActiveJobs() int {
	total := 0
	for i := range c.shards {
		c.shards[i].mu.Lock()
		total += c.shards[i].activeCount
		c.shards[i].mu.Unlock()
	}
	return total + c.peers.pendingQueries()
}
