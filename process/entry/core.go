// Package entry implements the entry process, which serves callers. It claims
// submissions in the log, dispatches their tasks to the targets and returns the
// complete answer.
//
// Core makes the decisions. It is driven by events, so that it can also run in
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

// Timeouts for silent peers, and intervals of the periodic work.
const (
	// AgentSilenceTimeout is the silence after which an entry stops sending to
	// an agent. Together with the agent's own lease, it ensures that no further
	// task reaches the target after AgentLease.
	AgentSilenceTimeout = 2 * time.Second
	// AgentLease is the silence after which the outcome of the tasks sent to an
	// agent counts as unknown.
	AgentLease = 3 * time.Second
	// OwnerSilenceTimeout is the silence after which the owner of a key counts
	// as dead.
	OwnerSilenceTimeout = 3 * time.Second
	// deadlineGrace is how long after its deadline a job waits for answers that
	// are in transit.
	deadlineGrace = 250 * time.Millisecond
	// cancelInterval is the shortest time between two Cancel messages to one
	// agent, so that cancellations are sent in batches.
	cancelInterval = 5 * time.Millisecond
	// scanInterval is how often Tick runs the checks that scan whole tables.
	scanInterval = 25 * time.Millisecond
)

const shardCount = 16

// Env gives Core access to the clock, the connections and the log. No method
// may block or call back into Core before it returns.
type Env interface {
	Now() time.Time
	// SendAgent and SendEntry queue a message; it is lost if there is no
	// connection.
	SendAgent(agent wire.Incarnation, m wire.Message)
	SendEntry(entry wire.Incarnation, m wire.Message)
	// Append appends a batch of claims and later calls Core.HandleAppendResult,
	// once.
	Append(batch claims.Batch)
	// ReportViolation reports the violation of a guarantee, such as G1, with the
	// step and the peer at which it was found.
	ReportViolation(guarantee, step, peer, detail string)
}

// Reply is the result of one call: exactly one field is set.
type Reply struct {
	Answer  *job.Answer
	Refusal *refusal.Error
}

// Core is the state of one entry incarnation. It is safe for concurrent use.
// Job shards, services, agents, claims, quotas and peers each have their own
// lock. No two locks are held at once, except that a service or an agent may be
// locked while the table that holds it is locked.
type Core struct {
	env     Env
	self    wire.Incarnation
	started time.Time

	shards [shardCount]shard

	servicesMu sync.RWMutex
	services   map[string]*service
	limits     config.Limits
	configured bool

	agentsMu     sync.RWMutex
	agents       map[wire.Incarnation]*agentLink
	sortedAgents []*agentLink
	// lastSeqs holds the last sequence sent to each agent that was removed from
	// agents.
	lastSeqs map[wire.Incarnation]uint64

	claims claimState
	quotas quotaState
	peers  peerState

	draining atomic.Bool
	fenced   atomic.Bool
	lastScan atomic.Int64
	randomMu sync.Mutex
	random   *rand.Rand
	counters counters
}

// service is the scheduler of one service, with its own lock.
type service struct {
	name      string
	mu        sync.Mutex
	settings  config.Service
	scheduler *scheduler.Scheduler
	random    *rand.Rand

	dispatched atomic.Uint64
	retried    atomic.Uint64
	// violationsReported is how many of the scheduler's violations have been
	// reported to Env. It is guarded by mu.
	violationsReported int
}

type counters struct {
	// strayAnswers counts answers that match no outstanding task or open job.
	strayAnswers atomic.Uint64
	// recovered counts jobs of dead entries that were answered from the results
	// at agents.
	recovered atomic.Uint64
	// downgradedRefusals counts refusals that were changed from refusal.NotRun
	// to refusal.RunUnknown because of a start under the key.
	downgradedRefusals atomic.Uint64
}

// NewCore returns the state of a new entry incarnation. entries is the number
// of entries that share the append budget, until SetEntries is called. seed
// seeds the choice of targets.
func NewCore(env Env, self wire.Incarnation, entries int, seed uint64) *Core {
	c := &Core{env: env, self: self, started: env.Now(),
		services: make(map[string]*service),
		agents:   make(map[wire.Incarnation]*agentLink),
		lastSeqs: make(map[wire.Incarnation]uint64),
		random:   rand.New(rand.NewPCG(seed, uint64(self))),
	}
	for i := range c.shards {
		c.shards[i].jobs = make(map[job.KeyHash]*entryJob)
	}
	c.claims.random, c.claims.entries = c.newRandom(), entries
	c.quotas.shares = quota.New(c.started, self)
	c.peers.init()
	return c
}

func (c *Core) newRandom() *rand.Rand {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}

// Configure applies a configuration. Services that it no longer contains accept
// no new submissions; their queued and running tasks continue.
func (c *Core) Configure(cfg config.Config) {
	c.quotas.configure(cfg.Teams)
	c.claims.init(c.self, cfg.Limits.DedupeWindow)
	c.servicesMu.Lock()
	c.limits = cfg.Limits
	c.configured = true
	var created []*service
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		settings := cfg.Services[name]
		svc, ok := c.services[name]
		if !ok {
			svc = &service{name: name, settings: settings, scheduler: scheduler.New(schedulerSettings(settings)), random: c.newRandom()}
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

// Limits returns the limits of the active configuration.
func (c *Core) Limits() config.Limits {
	c.servicesMu.RLock()
	defer c.servicesMu.RUnlock()
	return c.limits
}

// Ready returns nil if the entry accepts submissions, and otherwise a
// *refusal.Error with the reason.
func (c *Core) Ready() error {
	c.servicesMu.RLock()
	configured := c.configured
	c.servicesMu.RUnlock()
	switch {
	case c.fenced.Load():
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

// Drain makes the entry refuse new submissions from now on.
func (c *Core) Drain() { c.draining.Store(true) }

// Fenced reports whether an agent has fenced this incarnation, which is
// permanent. The process then finishes its open jobs and has to start again.
func (c *Core) Fenced() bool { return c.fenced.Load() }

// Tick does the periodic work: it appends claims, sends cancellations and
// heartbeats, and enforces deadlines. It has to be called every few
// milliseconds.
func (c *Core) Tick() {
	now := c.env.Now()
	c.appendClaims(now)
	c.flushAgents(now)
	if now.UnixNano()-c.lastScan.Load() < int64(scanInterval) {
		return
	}
	c.lastScan.Store(now.UnixNano())
	c.checkAgents(now)
	c.expireJobs(now)
	c.checkPeers(now)
	c.reportQuotas(now)
	for _, svc := range c.allServices() {
		c.expireQueue(now, svc)
		c.dispatchQueued(now, svc)
		c.reportViolations(svc)
	}
}

// reportViolations reports the scheduler calls that were rejected because they
// would have let a task run twice.
func (c *Core) reportViolations(svc *service) {
	svc.mu.Lock()
	unreported := svc.scheduler.Violations() - svc.violationsReported
	svc.violationsReported += unreported
	svc.mu.Unlock()
	if unreported > 0 {
		c.env.ReportViolation("G1", "schedule", "", fmt.Sprintf("%d calls for tasks that are already queued or running in service %s", unreported, svc.name))
	}
}
