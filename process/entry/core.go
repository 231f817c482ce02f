// Package entry is the process that callers talk to. It claims submissions in
// the log, spreads their tasks over the targets and builds the whole answer.
//
// Core holds the decisions and is driven by events, so that it also runs in
// virtual time; Daemon connects it to the network, the log and the clock.
package entry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/process/quota"
	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
	"github.com/azurerouter/azurerouter/version/config"
)

// Times of an entry.
const (
	// AgentSilence is when an entry stops sending to an agent. Together with
	// the agent's own lease nothing new reaches a target after AgentLease.
	AgentSilence = 2 * time.Second
	// AgentLease is when the outcome of tasks sent to a silent agent is taken
	// as unknown.
	AgentLease = 3 * time.Second
	// OwnerSilence is when the owner of a key is taken as dead.
	OwnerSilence = 3 * time.Second
	// deadlineGrace is how long after its deadline a job waits for answers
	// that are on their way.
	deadlineGrace = 250 * time.Millisecond
	// cancelInterval batches cancellations to one agent.
	cancelInterval = 5 * time.Millisecond
	// slowTickInterval is the interval of the work that scans whole tables.
	slowTickInterval = 25 * time.Millisecond
)

const shardCount = 16

// Env is what Core needs of its surroundings. No method may block or call back
// into Core before it returns.
type Env interface {
	Now() time.Time
	// SendAgent and SendEntry queue a message; it is lost if there is no
	// connection.
	SendAgent(agent wire.Incarnation, m wire.Message)
	SendEntry(entry wire.Incarnation, m wire.Message)
	// Append appends a batch of claims and later calls Core.Appended, once.
	Append(batch claims.Batch)
	// Violated reports a broken guarantee.
	Violated(guarantee, step, peer, detail string)
}

// Reply is the end of one call: exactly one field is set.
type Reply struct {
	Answer  *job.Answer
	Refusal *refusal.Error
}

// Core is the state of one entry incarnation. It is safe for concurrent use;
// job shards, services, agents, claims, quotas and peers have locks of their
// own. No two are held at once, except that of a service or an agent under that
// of its table.
type Core struct {
	env     Env
	self    wire.Incarnation
	started time.Time

	shards [shardCount]shard

	servicesMu sync.RWMutex
	services   map[string]*service
	limits     config.Limits
	configured bool

	agentsMu   sync.RWMutex
	agents     map[wire.Incarnation]*agentLink
	agentOrder []*agentLink
	// retired holds the last sequence used with agents that are gone.
	retired map[wire.Incarnation]uint64

	claims claimState
	quotas quotaState
	peers  peerState

	draining  atomic.Bool
	fencedOff atomic.Bool
	slowTick  atomic.Int64
	randomMu  sync.Mutex
	random    *rand.Rand
	counters  counters
}

// service is the scheduler of one service under its own lock.
type service struct {
	name      string
	mu        sync.Mutex
	settings  config.Service
	scheduler *scheduler.Scheduler
	random    *rand.Rand

	dispatched atomic.Uint64
	retried    atomic.Uint64
	// reported is how many violations of the scheduler were passed on; it is
	// under mu.
	reported int
}

type counters struct {
	strayAnswers atomic.Uint64
	recovered    atomic.Uint64
	// promisesWithheld counts refusals as not run that were weakened.
	promisesWithheld atomic.Uint64
}

// NewCore returns the state of a fresh entry incarnation. seed feeds the
// choice of targets.
func NewCore(env Env, self wire.Incarnation, entries int, seed uint64) *Core {
	c := &Core{env: env, self: self, started: env.Now(),
		services: make(map[string]*service),
		agents:   make(map[wire.Incarnation]*agentLink),
		retired:  make(map[wire.Incarnation]uint64),
		random:   rand.New(rand.NewPCG(seed, uint64(self))),
	}
	for i := range c.shards {
		c.shards[i].jobs = make(map[job.KeyHash]*entryJob)
	}
	c.claims.random, c.claims.entries = c.drawRandom(), entries
	c.quotas.shares = quota.New(c.started, self)
	c.peers.init()
	return c
}

func (c *Core) drawRandom() *rand.Rand {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}

// Configure puts a configuration in force. Services that are no longer named
// take no new work; what they hold goes on.
func (c *Core) Configure(cfg config.Config) {
	c.quotas.configure(cfg.Teams)
	c.claims.begin(c.self, cfg.Limits.DedupeWindow)
	c.servicesMu.Lock()
	c.limits = cfg.Limits
	c.configured = true
	var created []*service
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		settings := cfg.Services[name]
		svc, ok := c.services[name]
		if !ok {
			svc = &service{name: name, settings: settings, scheduler: scheduler.New(schedulerSettings(settings)), random: c.drawRandom()}
			c.services[name] = svc
			created = append(created, svc)
			continue
		}
		svc.mu.Lock()
		svc.settings = settings
		svc.scheduler.Configure(schedulerSettings(settings))
		svc.mu.Unlock()
	}
	for name := range c.services {
		if _, ok := cfg.Services[name]; !ok {
			delete(c.services, name)
		}
	}
	c.servicesMu.Unlock()
	for _, svc := range created {
		c.addKnownTargets(svc)
	}
}

func (c *Core) service(name string) *service {
	c.servicesMu.RLock()
	defer c.servicesMu.RUnlock()
	return c.services[name]
}

func (c *Core) allServices() []*service {
	c.servicesMu.RLock()
	defer c.servicesMu.RUnlock()
	all := make([]*service, 0, len(c.services))
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		all = append(all, c.services[name])
	}
	return all
}

// Limits returns the limits in force.
func (c *Core) Limits() config.Limits {
	c.servicesMu.RLock()
	defer c.servicesMu.RUnlock()
	return c.limits
}

// Ready returns why the entry takes no submissions, or nil.
func (c *Core) Ready() error {
	c.servicesMu.RLock()
	configured := c.configured
	c.servicesMu.RUnlock()
	switch {
	case c.fencedOff.Load():
		return refusal.New(refusal.NotReady, "ready", "this entry has been fenced and restarts")
	case c.draining.Load():
		return refusal.New(refusal.Draining, "ready", "this entry is shutting down")
	case !configured:
		return refusal.New(refusal.NotReady, "ready", "no configuration is known yet")
	case c.quotas.settling(c.env.Now(), c.started):
		return refusal.New(refusal.NotReady, "ready", "quota loans made before this entry was known have not ended")
	}
	return nil
}

// Drain refuses new submissions from now on.
func (c *Core) Drain() { c.draining.Store(true) }

// FencedOff reports whether agents refuse this incarnation for good. The
// process then ends what it holds and has to start again.
func (c *Core) FencedOff() bool { return c.fencedOff.Load() }

// Tick does what is due: claims, cancellations, deadlines, heartbeats. It is to
// be called every few milliseconds.
func (c *Core) Tick() {
	now := c.env.Now()
	c.appendClaims(now)
	c.flushAgents(now)
	if now.UnixNano()-c.slowTick.Load() < int64(slowTickInterval) {
		return
	}
	c.slowTick.Store(now.UnixNano())
	c.checkAgents(now)
	c.expireJobs(now)
	c.checkPeers(now)
	c.reportQuotas(now)
	for _, svc := range c.allServices() {
		c.expireQueue(now, svc)
		c.pump(now, svc)
		c.reportViolations(svc)
	}
}

// reportViolations passes on what the scheduler has refused because it would have
// let a task run twice.
func (c *Core) reportViolations(svc *service) {
	svc.mu.Lock()
	fresh := svc.scheduler.Violations() - svc.reported
	svc.reported += fresh
	svc.mu.Unlock()
	if fresh > 0 {
		c.env.Violated("G1", "schedule", "", fmt.Sprintf("%d calls for tasks that wait or run already in service %s", fresh, svc.name))
	}
}
