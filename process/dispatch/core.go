package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/locality"
	"github.com/azurerouter/azurerouter/process/placement"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// Core is the state of one entry incarnation. It is safe for concurrent use.
// Each pool has its own lock. The tables that find a pool by service and by agent
// have one lock each, which is never held while a pool's lock is taken.
type Core struct {
	env    Env
	pauses pauseDetector
	self   wire.Incarnation
	zone   string
	seed   uint64
	// remoteFactor is how many times as long a task takes outside the rack of its data.
	remoteFactor   float64
	localityPolicy locality.Policy

	poolsMu sync.RWMutex
	pools   map[string]*pool

	agentsMu    sync.RWMutex
	poolByAgent map[wire.Incarnation]*pool

	// ownedUntil is when the ownership of the durable jobs ends, in nanoseconds of Unix
	// time. It is compared with the time at each order, so that a process that was
	// delayed does not order more.
	ownedUntil atomic.Int64
	// startsUntil is when the knowledge of the log becomes too old to order tasks of
	// durable jobs, likewise.
	startsUntil  atomic.Int64
	lastWaiterID atomic.Uint64
	// entryCount is the number of entries that hold sessions with the same agents.
	entryCount atomic.Int64
	// evacuation are the evacuated zones, or nil before this entry has learned of any.
	evacuation atomic.Pointer[evacuation.State]
	counters   counters
}

// pool holds the targets of one service and the jobs that run on them.
type pool struct {
	service string
	mu      sync.Mutex
	// capacityEnforced is set if the targets refuse runs that exceed their free capacity.
	capacityEnforced bool
	// random draws from source.
	random  *rand.Rand
	source  *rand.PCG
	targets map[wire.Incarnation]*target
	// targetList holds the targets in the order in which they were added.
	targetList []*target
	// lastReceived is when an agent last sent a message, lastProbe when agents were
	// last asked for one.
	lastReceived time.Time
	lastProbe    time.Time
	// jobs holds the active jobs, durable ones included.
	jobs map[batch.ID]*activeJob
	// enrolled is set once the pool has had a target.
	enrolled bool
	// durable holds the durable jobs until ForgetDurable is called: an ended job
	// stays until its end is recorded.
	durable map[batch.ID]*activeJob
	// suspendedSince is since when this entry may order no tasks of its durable jobs, or
	// zero. suspensionLogged is set once that is logged.
	suspendedSince   time.Time
	suspensionLogged bool
	// recordedEnds are the runs of durable jobs whose ends this entry has recorded, for
	// agents that have not received the confirmation.
	recordedEnds recentRuns[recordedEnd]
	// lateStarts are runs that other entries have ordered and of which a start may be carried
	// out late, with the time when that is over.
	lateStarts recentRuns[time.Time]
	// reportedCrashes are the runs under which targets have crashed, for jobs that this
	// entry may take over.
	reportedCrashes recentRuns[crashKind]
	unsettledEnds   unsettledEnds
	// retainedAnswers holds the answers of ended jobs; see answerRetention.
	retainedAnswers map[batch.ID]retainedAnswer
	// answerOrder holds the keys of retainedAnswers, the oldest first.
	answerOrder []batch.ID
	// speeds is what is known of the durations of tasks at the targets.
	speeds placement.Model
	// restarts is whether it pays to restart stragglers.
	restarts placement.Restarts
	// lastPass is when the waiting tasks were last assigned.
	lastPass time.Time
	// queue has the groups that were collected at queuedAt and have not been placed, see
	// Core.waitingQueue. collected is their number at that time.
	queue     groupQueue
	queuedAt  time.Time
	collected int
	// waiting describes the waiting tasks at waitingAt, or is nil if there were none.
	// waitingAt is zero if they have not been described since they were collected.
	waiting       *wire.Waiting
	waitingAt     time.Time
	resubmissions resubmissionShares
}

// Option configures a Core.
type Option func(*Core)

// New returns the state of a new entry incarnation in an availability zone. seed
// seeds the random choice between targets of similar cost.
func New(env Env, self wire.Incarnation, zone string, seed uint64, options ...Option) *Core {
	c := &Core{env: env, self: self, zone: zone, seed: seed, remoteFactor: 1, pools: make(map[string]*pool), poolByAgent: make(map[wire.Incarnation]*pool)}
	for _, option := range options {
		option(c)
	}
	c.pauses.start(env.Now())
	return c
}

// pool returns the pool of a service and creates it if there is none.
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
	p = newPool(service, rand.NewPCG(c.seed, uint64(len(c.pools))))
	c.pools[service] = p
	return p
}

func newPool(service string, source *rand.PCG) *pool {
	return &pool{
		service:         service,
		random:          rand.New(source),
		source:          source,
		targets:         make(map[wire.Incarnation]*target),
		jobs:            make(map[batch.ID]*activeJob),
		durable:         make(map[batch.ID]*activeJob),
		retainedAnswers: make(map[batch.ID]retainedAnswer),
		resubmissions:   make(resubmissionShares),
	}
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

// Submit adds a job, or adds another caller to an active job with the same ID. It
// calls reply once with the result, possibly before it returns, unless cancel is
// called first. cancel removes the caller; a job without callers is stopped.
func (c *Core) Submit(s batch.Submission, reply func(Result)) (cancel func()) {
	p := c.pool(s.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.env.Now()
	c.pauses.recordActivity(now)
	c.counters.submitted.Add(1)
	if retained, ok := p.retainedAnswers[s.Job.ID]; ok && retained.result.Code != NotRun && retained.result.Code != GaveUp {
		c.env.Record(decision.Decision{Step: "accept", Job: s.Job.ID, Outcome: "answered_again", Age: now.Sub(retained.answeredAt)})
		reply(retained.result)
		return func() {}
	}
	j := p.jobs[s.Job.ID]
	if j == nil {
		if p.hasUnconfirmedRuns(s.Job.ID) || p.lateStartsOver(s.Job.ID, nil).After(now.Add(usefulFor(s))) {
			refusal := Result{Code: GaveUp, Reason: ReasonRunsElsewhere}
			c.refuse(now, p, s, refusal)
			reply(refusal)
			return func() {}
		}
		s.PriorWait = p.resubmissions.credibleWait(s)
		if refusal, ok := c.admit(now, p, s); !ok {
			refusal = p.correctNotRun(s.Job.ID, refusal)
			c.refuse(now, p, s, refusal)
			reply(refusal)
			return func() {}
		}
		j = newActiveJob(now, s)
		if !p.enrolled {
			j.awaitFirstAgent()
		}
		p.jobs[s.Job.ID] = j
		c.awaitLateStarts(now, p, j)
		c.enqueue(now, p, j)
		c.env.Record(decision.Decision{Step: "accept", Job: s.Job.ID, Outcome: "accepted", Peer: s.Queue, Version: s.Version,
			Routine: true, Inputs: []decision.Input{{Name: "objective_ms", Value: s.Objective.Milliseconds()},
				{Name: "patience_ms", Value: s.CallerTimeout.Milliseconds()},
				{Name: "waited_ms", Value: s.PriorWait.Milliseconds()}, {Name: "active_jobs", Value: int64(len(p.jobs))}}})
	}
	j.callersLeaveAt = later(j.callersLeaveAt, now.Add(s.CallerTimeout))
	id := c.lastWaiterID.Add(1)
	j.waiters[id] = waiter{reply, s.CallerWaits}
	c.assign(now, p)
	return func() { c.removeWaiter(p, j, id) }
}

// refuse counts and logs the refusal of a job.
func (c *Core) refuse(now time.Time, p *pool, s batch.Submission, refusal Result) {
	c.counters.countResult(refusal)
	c.env.Record(decision.Decision{Step: "accept", Job: s.Job.ID, Peer: s.Queue, Outcome: "refused", Reason: string(refusal.Reason),
		Version: s.Version, Inputs: append(c.loadInputs(now, p),
			decision.Input{Name: "retry_after_ms", Value: refusal.RetryAfter.Milliseconds()},
			decision.Input{Name: "waited_ms", Value: s.PriorWait.Milliseconds()},
			decision.Input{Name: "slack_ms", Value: (s.TimeLeft() - s.Job.CriticalPath()).Milliseconds()})})
}

// loadInputs returns the load of the service as inputs of a logged decision.
func (c *Core) loadInputs(now time.Time, p *pool) []decision.Input {
	open, largest := 0, 0
	for _, t := range p.targetList {
		if !c.isUsable(now, p, t) {
			continue
		}
		open++
		largest = max(largest, t.expectedFree().MilliCPU)
	}
	return []decision.Input{{Name: "active_jobs", Value: int64(len(p.jobs))}, {Name: "open_targets", Value: int64(open)},
		{Name: "largest_free_millicpu", Value: int64(largest)}}
}

// removeWaiter removes a caller from a job and stops the job if it was the last.
func (c *Core) removeWaiter(p *pool, j *activeJob, waiter uint64) {
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
	c.env.Record(decision.Decision{Step: "answer", Job: j.Job.ID, Outcome: "cancelled", Reason: "caller left",
		Inputs: []decision.Input{{Name: "took_ms", Value: now.Sub(j.acceptedAt).Milliseconds()}}})
	c.counters.callersLeft.Add(1)
	j.ended = true
	delete(p.jobs, j.Job.ID)
	if j.durableState == nil {
		p.retainAnswer(now, j.Job.ID, Result{Code: GaveUp, Reason: ReasonCallerLeft}, j.runsStarted > 0)
	}
	c.stopJob(now, p, j)
	c.assign(now, p)
}

func (p *pool) addTarget(t *target) {
	p.enrolled = true
	p.targets[t.agent] = t
	p.targetList = append(p.targetList, t)
}

func (p *pool) deleteTarget(t *target) {
	if p.targets[t.agent] == t {
		delete(p.targets, t.agent)
	}
	p.targetList = slices.DeleteFunc(slices.Clone(p.targetList), func(other *target) bool { return other == t })
}

// nonDurableJobsByAge returns the active jobs that are not durable, the one that was
// accepted first at the front.
func (p *pool) nonDurableJobsByAge() []*activeJob {
	var jobs []*activeJob
	for _, j := range p.jobs {
		if j.durableState == nil {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *activeJob) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return jobs
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

// GiveUpNonDurable answers every job that is not durable. It is for a process that
// is shutting down.
func (c *Core) GiveUpNonDurable() {
	for _, p := range c.allPools() {
		p.mu.Lock()
		now := c.env.Now()
		for _, j := range p.nonDurableJobsByAge() {
			c.endJob(now, p, j, unfinishedResult(j, ReasonStopping))
		}
		p.mu.Unlock()
	}
}

// unfinishedResult returns the result of a job that this entry can't complete.
func unfinishedResult(j *activeJob, reason Reason) Result {
	if j.runsStarted > 0 {
		return Result{Code: GaveUp, Reason: reason}
	}
	return Result{Code: NotRun, Reason: reason, RetryAfter: defaultRetryAfter}
}

// Tick renews sessions, detects lost agents, ends jobs that are too late and
// assigns waiting tasks. It has to be called every few milliseconds. The sessions of all
// services come first: they end if a process without processor time renews them late.
func (c *Core) Tick() {
	c.RenewSessions()
	c.AssignWaiting()
}

// RenewSessions is the first half of Tick.
func (c *Core) RenewSessions() {
	c.pauses.recordActivity(c.env.Now())
	c.pauses.recordTick(c.env.Now())
	for _, p := range c.allPools() {
		p.mu.Lock()
		now := c.env.Now()
		c.checkOwnership(now, p)
		c.checkTargets(now, p)
		p.mu.Unlock()
	}
}

// AssignWaiting is the second half of Tick.
func (c *Core) AssignWaiting() {
	for _, p := range c.allPools() {
		p.mu.Lock()
		now := c.env.Now()
		c.checkJobs(now, p)
		c.assign(now, p)
		p.mu.Unlock()
	}
}
