package entry

import (
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// phase is the state of a submission at its owner.
type phase uint8

const (
	// claiming: the claim is not decided.
	claiming phase = iota
	// running: this entry owns the key; tasks may have been started.
	running
	// answered: the whole answer is held.
	answered
	// idle: this entry owns the key, or may come to own it, and has started
	// nothing. A resubmission may still run.
	idle
	// evicted: the answer was dropped; nothing may be started.
	evicted
)

var phaseNames = [...]string{"claiming", "running", "answered", "idle", "evicted"}

// shard holds the jobs of a part of the key hashes.
type shard struct {
	mu   sync.Mutex
	jobs map[job.KeyHash]*entryJob
	// done lists jobs in the order in which they left the phases claiming
	// and running, for retention.
	done []doneRef
	// order lists the jobs in the phases claiming and running, oldest first,
	// and may hold some that have left them.
	order  []job.KeyHash
	active int
	// heldBytes is the size of the outputs in the answers held.
	heldBytes int
}

// maxHeldBytes bounds the outputs in the answers that a shard holds, so that all
// shards together hold 32 MB.
const maxHeldBytes = 32 << 20 / shardCount

type doneRef struct {
	hash job.KeyHash
	at   time.Time
}

// entryJob is a submission at this entry.
type entryJob struct {
	sub     *job.Submission
	job     *job.Job
	service *service
	phase   phase
	answer  *job.Answer
	doneAt  time.Time
	waiters []*waiter
	tasks   []taskState
	// sent are the sequences whose results the agents hold for this job.
	sent []sentRef
	// late is set when the deadline has passed and outstanding tasks were
	// told to stop; cancelled when the caller wants nothing more.
	late      bool
	cancelled bool
}

// taskState follows the starts of one task, to assert that there is at most
// one.
type taskState struct {
	outstanding bool
	// mayHaveRun is set once a start is not excluded.
	mayHaveRun bool
	attempts   int
}

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

// add enters a job that is claiming or running.
func (s *shard) add(hash job.KeyHash, e *entryJob) {
	s.jobs[hash] = e
	s.order = append(s.order, hash)
	s.active++
}

// leave moves an active job to an inactive phase.
func (s *shard) leave(now time.Time, hash job.KeyHash, e *entryJob, to phase) []*waiter {
	waiters := e.waiters
	e.waiters = nil
	e.phase = to
	e.forgetBody()
	s.heldBytes += e.answerBytes()
	e.doneAt = now
	s.active--
	s.done = append(s.done, doneRef{hash: hash, at: now})
	return waiters
}

// forgetBody keeps the answer, and what tells a resubmission from other work.
func (e *entryJob) forgetBody() {
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

// finishTask records the end of a task and, if it was the last, answers the
// job. The first result of a task stands.
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
		queued := e.unsent()
		s.mu.Unlock()
		if failing {
			// The answer can no longer be complete, so what has not been
			// sent would be wasted.
			c.cancelQueued(now, e.service, hash, queued, job.NotStarted)
		}
		return
	}
	waiters, reply := c.conclude(now, s, hash, e)
	s.mu.Unlock()
	replyAll(waiters, reply)
}

// unsent lists the open tasks that are not outstanding.
func (e *entryJob) unsent() []int {
	var list []int
	for i := range e.tasks {
		if !e.tasks[i].outstanding && !e.job.Ended(i) {
			list = append(list, i)
		}
	}
	return list
}

// conclude builds the answer of a job whose tasks have all ended. A job of which
// nothing was started is refused instead, and may be submitted again.
func (c *Core) conclude(now time.Time, s *shard, hash job.KeyHash, e *entryJob) ([]*waiter, Reply) {
	answer := e.job.Answer()
	if answer == nil {
		c.env.Violated("G2", "answer", "", "answer of job "+hash.String()+" requested while tasks are open")
		return s.leave(now, hash, e, evicted), Reply{Refusal: refusal.New(refusal.Overloaded, "answer", "internal inconsistency").Unknown()}
	}
	if !e.started() && !cancelledByCaller(answer) {
		refused := c.notStartedRefusal(now, e)
		return s.leave(now, hash, e, idle), Reply{Refusal: refused}
	}
	e.answer = answer
	return s.leave(now, hash, e, answered), Reply{Answer: answer}
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
	if c.fencedOff.Load() {
		return refusal.New(refusal.NotReady, "dispatch", "this entry has been fenced and restarts").After(time.Second)
	}
	if !now.Before(e.sub.Deadline) {
		return refusal.New(refusal.Deadline, "dispatch", "no target had room before the deadline")
	}
	return refusal.New(refusal.Overloaded, "dispatch", "no target accepted the tasks within the retry budget").After(time.Second)
}

// expireJobs ends what is past its deadline or its retention.
func (c *Core) expireJobs(now time.Time) {
	keep := retention{answers: c.Limits().AnswerRetention, keys: c.claims.keyWindow()}
	for i := range c.shards {
		c.expireShard(now, &c.shards[i], keep)
	}
}

// retention is how long a shard keeps answers, and keys without them.
type retention struct{ answers, keys time.Duration }

func (c *Core) expireShard(now time.Time, s *shard, keep retention) {
	var after []func()
	s.mu.Lock()
	for _, hash := range s.activeInOrder() {
		e := s.jobs[hash]
		if e.phase == claiming {
			after = append(after, c.expireClaiming(now, s, hash, e)...)
			continue
		}
		after = append(after, c.expireRunning(now, s, hash, e)...)
	}
	after = append(after, c.expireDone(now, s, keep)...)
	s.mu.Unlock()
	for _, f := range after {
		f()
	}
}

// activeInOrder drops what has left the active phases from order and returns it.
func (s *shard) activeInOrder() []job.KeyHash {
	kept := s.order[:0]
	seen := make(map[job.KeyHash]bool, len(s.order))
	for _, hash := range s.order {
		e, ok := s.jobs[hash]
		if ok && !seen[hash] && (e.phase == claiming || e.phase == running) {
			seen[hash] = true
			kept = append(kept, hash)
		}
	}
	s.order = kept
	return kept
}

// expireClaiming refuses a submission whose claim was not decided in time. The
// job goes first to idle, so that a claim that takes effect later starts
// nothing; only then is the caller told.
func (c *Core) expireClaiming(now time.Time, s *shard, hash job.KeyHash, e *entryJob) []func() {
	if now.Before(e.sub.Deadline) {
		return nil
	}
	sub := e.sub
	waiters := s.leave(now, hash, e, idle)
	return []func(){func() {
		c.withdrawClaim(hash)
		refused := refusal.New(refusal.LogUnavailable, "claim", "the log did not confirm the claim before the deadline").After(time.Second)
		replyAll(waiters, Reply{Refusal: unlessFirst(sub, refused)})
	}}
}

// expireRunning ends a job after its deadline, and waiters whose own deadline is
// earlier.
func (c *Core) expireRunning(now time.Time, s *shard, hash job.KeyHash, e *entryJob) []func() {
	var after []func()
	if now.Before(e.sub.Deadline.Add(deadlineGrace)) {
		after = e.expireWaiters(now)
	}
	if !e.late && !now.Before(e.sub.Deadline) {
		e.late = true
		sent := append([]sentRef(nil), e.sent...)
		after = append(after, func() { c.cancelSent(sent) })
	}
	if now.Before(e.sub.Deadline.Add(deadlineGrace)) {
		return after
	}
	for i := range e.tasks {
		outcome := job.NotStarted
		if e.tasks[i].outstanding || e.tasks[i].mayHaveRun {
			outcome = job.Unknown
			e.tasks[i].mayHaveRun = true
		}
		e.job.Finish(i, job.TaskResult{Outcome: outcome, Error: "no answer before the deadline"})
	}
	waiters, reply := c.conclude(now, s, hash, e)
	return append(after, func() { replyAll(waiters, reply) })
}

func (e *entryJob) expireWaiters(now time.Time) []func() {
	var after []func()
	kept := e.waiters[:0]
	for _, w := range e.waiters {
		if now.Before(w.deadline.Add(deadlineGrace)) {
			kept = append(kept, w)
			continue
		}
		after = append(after, func() {
			w.reply(Reply{Refusal: refusal.New(refusal.Deadline, "answer", "the job is still running").Unknown().After(time.Second)})
		})
	}
	e.waiters = kept
	return after
}

// expireDone drops answers past their retention, or the oldest if they take more
// than maxHeldBytes, and forgets keys past the
// dedupe window.
func (c *Core) expireDone(now time.Time, s *shard, keep retention) []func() {
	var release []sentRef
	// Evicted keys are listed again, so the scan stops at the present end.
	for left := len(s.done); left > 0; left-- {
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
		release = append(release, e.evict(now, s, oldest.hash, keep.keys)...)
	}
	if len(release) == 0 {
		return nil
	}
	return []func(){func() { c.releaseSent(release) }}
}

// evict drops the answer. The key itself stays for the rest of the window: it
// must not run again.
func (e *entryJob) evict(now time.Time, s *shard, hash job.KeyHash, window time.Duration) []sentRef {
	release := e.sent
	e.sent = nil
	s.heldBytes -= e.answerBytes()
	age := now.Sub(e.sub.SubmittedAt)
	if !e.sub.Keyed() || age > window {
		delete(s.jobs, hash)
		return release
	}
	if e.phase == answered {
		e.phase = evicted
		e.answer = nil
	}
	e.doneAt = now
	s.done = append(s.done, doneRef{hash: hash, at: now})
	return release
}

// ActiveJobs returns how many submissions are not answered.
func (c *Core) ActiveJobs() int {
	total := 0
	for i := range c.shards {
		c.shards[i].mu.Lock()
		total += c.shards[i].active
		c.shards[i].mu.Unlock()
	}
	return total + c.peers.pendingQueries()
}
