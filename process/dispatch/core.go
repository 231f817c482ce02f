package dispatch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// answerKept is how long the answer of a job is kept for a caller who sends the
// job again; answersKept bounds their number.
const (
	answerKept  = 30 * time.Second
	answersKept = 20000
)

// Core is the state of one entry incarnation. It is safe for concurrent use;
// each service has a lock of its own, and the two tables that lead to them have
// one each. A table's lock is never held while a service's is taken.
type Core struct {
	env  Env
	wake wakeup
	self wire.Incarnation
	zone string
	seed uint64

	poolsMu sync.RWMutex
	pools   map[string]*pool

	agentsMu sync.RWMutex
	// agents says in which pool an agent is.
	agents map[wire.Incarnation]*pool

	// suspended is set while durable jobs are to wait.
	suspended  atomic.Bool
	nextWaiter atomic.Uint64
	counters   counters
}

// pool is one service: its targets and the jobs that run on them.
type pool struct {
	service string
	mu      sync.Mutex
	random  *rand.Rand
	targets map[wire.Incarnation]*target
	// ordered holds the targets in the order in which they were found.
	ordered []*target
	jobs    map[batch.ID]*activeJob
	// durable holds the durable jobs until what has ended of them is recorded.
	durable map[batch.ID]*activeJob
	answers map[batch.ID]keptAnswer
	oldest  []batch.ID
	speeds  speeds
	repeats repeats
}

type keptAnswer struct {
	result Result
	at     time.Time
}

// New returns the state of a fresh entry incarnation. seed feeds the choice of
// targets.
func New(env Env, self wire.Incarnation, zone string, seed uint64) *Core {
	c := &Core{env: env, self: self, zone: zone, seed: seed, pools: make(map[string]*pool), agents: make(map[wire.Incarnation]*pool)}
	c.wake.start(env.Now())
	return c
}

func (c *Core) pool(service string) *pool {
	c.poolsMu.RLock()
	p := c.pools[service]
	c.poolsMu.RUnlock()
	if p != nil {
		return p
	}
	c.poolsMu.Lock()
	defer c.poolsMu.Unlock()
	if p := c.pools[service]; p != nil {
		return p
	}
	p = &pool{
		service: service,
		random:  rand.New(rand.NewPCG(c.seed, uint64(len(c.pools)))),
		targets: make(map[wire.Incarnation]*target),
		jobs:    make(map[batch.ID]*activeJob),
		durable: make(map[batch.ID]*activeJob),
		answers: make(map[batch.ID]keptAnswer),
		repeats: make(repeats),
	}
	c.pools[service] = p
	return p
}

func (c *Core) allPools() []*pool {
	c.poolsMu.RLock()
	defer c.poolsMu.RUnlock()
	all := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		all = append(all, p)
	}
	return all
}

// Submit takes a job. reply is called once with the result, possibly before
// Submit returns, unless the returned leave is called first. leave is for a
// caller who no longer waits; a job without callers is stopped.
func (c *Core) Submit(s batch.Submission, reply func(Result)) (leave func()) {
	p := c.pool(s.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.env.Now()
	c.wake.note(now)
	c.counters.submitted.Add(1)
	if kept, ok := p.answers[s.Job.ID]; ok && kept.result.Code != NotRun && kept.result.Code != GaveUp {
		c.env.Decided(decision.Decision{Step: "accept", Job: s.Job.ID, Outcome: "answered_again", Age: now.Sub(kept.at)})
		reply(kept.result)
		return func() {}
	}
	j := p.jobs[s.Job.ID]
	if j == nil {
		s.Waited = p.repeats.waited(s)
		if refusal, ok := c.admit(now, p, s); !ok {
			c.refuse(now, p, s, refusal)
			reply(refusal)
			return func() {}
		}
		j = newActiveJob(now, s)
		p.jobs[s.Job.ID] = j
		c.env.Decided(decision.Decision{Step: "accept", Job: s.Job.ID, Outcome: "accepted", Peer: s.Queue, Version: s.Version,
			Routine: true, Inputs: []decision.Input{{Name: "objective_ms", Value: s.Objective.Milliseconds()},
				{Name: "patience_ms", Value: s.Patience.Milliseconds()},
				{Name: "waited_ms", Value: s.Waited.Milliseconds()}, {Name: "active_jobs", Value: int64(len(p.jobs))}}})
	}
	id := c.nextWaiter.Add(1)
	j.waiters[id] = reply
	c.assign(now, p)
	return func() { c.leave(p, j, id) }
}

func (c *Core) refuse(now time.Time, p *pool, s batch.Submission, refusal Result) {
	c.counters.ended(refusal)
	c.env.Decided(decision.Decision{Step: "accept", Job: s.Job.ID, Peer: s.Queue, Outcome: "refused", Reason: string(refusal.Reason),
		Version: s.Version, Inputs: append(p.loadInputs(now),
			decision.Input{Name: "retry_after_ms", Value: refusal.RetryAfter.Milliseconds()},
			decision.Input{Name: "waited_ms", Value: s.Waited.Milliseconds()},
			decision.Input{Name: "slack_ms", Value: (s.TimeLeft() - s.Job.LongestChain()).Milliseconds()})})
}

// loadInputs describes the load of a service for a decision.
func (p *pool) loadInputs(now time.Time) []decision.Input {
	open, largest := 0, 0
	for _, t := range p.ordered {
		if !t.takesOrders(now) {
			continue
		}
		open++
		largest = max(largest, t.expectedFree().MilliCPU)
	}
	return []decision.Input{{Name: "active_jobs", Value: int64(len(p.jobs))}, {Name: "open_targets", Value: int64(open)},
		{Name: "largest_free_millicpu", Value: int64(largest)}}
}

func (c *Core) leave(p *pool, j *activeJob, waiter uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, waits := j.waiters[waiter]; !waits {
		return
	}
	delete(j.waiters, waiter)
	if len(j.waiters) > 0 || j.ended {
		return
	}
	now := c.env.Now()
	c.env.Decided(decision.Decision{Step: "answer", Job: j.Job.ID, Outcome: "cancelled", Reason: "caller left",
		Inputs: []decision.Input{{Name: "took_ms", Value: now.Sub(j.submitted).Milliseconds()}}})
	c.counters.left.Add(1)
	j.ended = true
	delete(p.jobs, j.Job.ID)
	c.stopRuns(now, p, j)
	c.assign(now, p)
}

func (p *pool) addTarget(t *target) {
	p.targets[t.agent] = t
	p.ordered = append(p.ordered, t)
}

func (p *pool) deleteTarget(t *target) {
	delete(p.targets, t.agent)
	p.ordered = slices.DeleteFunc(slices.Clone(p.ordered), func(other *target) bool { return other == t })
}

// jobsInOrder returns the active jobs in the order of their submission.
func (p *pool) jobsInOrder() []*activeJob {
	return slices.SortedFunc(maps.Values(p.jobs), func(a, b *activeJob) int {
		return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.Job.ID, b.Job.ID))
	})
}

// remember keeps the answer of a job for a repeated submission.
func (p *pool) remember(now time.Time, id batch.ID, result Result) {
	if _, known := p.answers[id]; !known {
		p.oldest = append(p.oldest, id)
	}
	p.answers[id] = keptAnswer{result, now}
	for len(p.oldest) > 0 && (len(p.oldest) > answersKept || now.Sub(p.answers[p.oldest[0]].at) > answerKept) {
		delete(p.answers, p.oldest[0])
		p.oldest = p.oldest[1:]
	}
}

// ActiveJobs returns the number of jobs that have not been answered.
func (c *Core) ActiveJobs() int {
	active := 0
	for _, p := range c.allPools() {
		p.mu.Lock()
		active += len(p.jobs)
		p.mu.Unlock()
	}
	return active
}

// GiveUpAll answers every job, for a process that must end.
func (c *Core) GiveUpAll() {
	for _, p := range c.allPools() {
		p.mu.Lock()
		now := c.env.Now()
		for _, j := range p.jobsInOrder() {
			if j.durable == nil {
				c.end(now, p, j, unfinished(j, ReasonStopping))
			}
		}
		p.mu.Unlock()
	}
}

// unfinished is the result of a job that can't be completed here.
func unfinished(j *activeJob, reason Reason) Result {
	if j.started > 0 {
		return Result{Code: GaveUp, Reason: reason}
	}
	return Result{Code: NotRun, Reason: reason, RetryAfter: retryAfterUnknown}
}

// Tick does what is due. It is to be called every few milliseconds.
func (c *Core) Tick() {
	c.wake.note(c.env.Now())
	for _, p := range c.allPools() {
		p.mu.Lock()
		now := c.env.Now()
		c.checkTargets(now, p)
		c.checkJobs(now, p)
		c.assign(now, p)
		p.mu.Unlock()
	}
}
