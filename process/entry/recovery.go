package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

const (
	// fenceTimeout is how long a recovery waits for agents that do not reply.
	fenceTimeout = 3 * time.Second
	// fenceRetryInterval is the time until the agents are asked again to fence
	// an owner from which one of them still received messages.
	fenceRetryInterval = 500 * time.Millisecond
	// recoveryRetention is how long the results of a dead entry are kept for
	// further resubmissions. Agents keep theirs for half of this time.
	recoveryRetention = time.Minute
	// maxFenceAttempts is the number of attempts to fence an owner before the
	// caller is refused.
	maxFenceAttempts = 4
)

// recoveryKey identifies a recovery. A dead owner is recovered separately for
// each service.
type recoveryKey struct {
	owner   wire.Incarnation
	service string
}

// recovery collects the tasks that a dead entry started, from the agents of one
// service.
type recovery struct {
	attemptStartedAt time.Time
	attempts         int
	// ownerAliveAt is when an agent last reported that it still receives
	// messages from the owner. It is zero if none did since attemptStartedAt.
	ownerAliveAt  time.Time
	pendingAgents map[wire.Incarnation]bool
	// fenceSentAt is when Fence was last sent to an agent. While it is zero, no
	// agent was asked and the outcome of the jobs stays open.
	fenceSentAt time.Time
	tasks       map[job.KeyHash]map[int]wire.HeldTask
}

// recoverQueries answers the queries whose owner is silent, from the results
// that the agents hold. It starts no task.
func (c *Core) recoverQueries(now time.Time) {
	for _, q := range c.orphanedQueries(now) {
		key := recoveryKey{q.owner, q.sub.Service}
		if c.beginRecovery(now, key) {
			c.fenceOwner(key)
		}
		if reply, ok := c.recoveredReply(now, key, q.sub); ok {
			c.finishQuery(q, reply)
		}
	}
	c.expireRecoveries(now)
}

// expireRecoveries drops the results of dead entries, and entries that have
// been disconnected, after recoveryRetention. A later resubmission asks the
// agents again.
func (c *Core) expireRecoveries(now time.Time) {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, r := range p.recoveries {
		if now.Sub(r.attemptStartedAt) > recoveryRetention {
			delete(p.recoveries, key)
		}
	}
	for id, link := range p.entries {
		if !link.connected && now.Sub(link.lastHeard) > recoveryRetention {
			delete(p.entries, id)
		}
	}
}

// orphanedQueries returns the queries whose owner has been silent for
// OwnerSilenceTimeout.
func (c *Core) orphanedQueries(now time.Time) []*query {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var orphans []*query
	for _, q := range p.queriesInOrder() {
		lastHeard := c.started
		if link, ok := p.entries[q.owner]; ok {
			lastHeard = link.lastHeard
		}
		if now.Sub(lastHeard) >= OwnerSilenceTimeout {
			orphans = append(orphans, q)
		}
	}
	return orphans
}

// beginRecovery starts a recovery, or a further attempt to fence the owner. It
// reports whether the agents have to be asked now.
func (c *Core) beginRecovery(now time.Time, key recoveryKey) bool {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.recoveries[key]
	if !ok {
		r = &recovery{tasks: make(map[job.KeyHash]map[int]wire.HeldTask)}
		p.recoveries[key] = r
	} else if r.ownerAliveAt.IsZero() || now.Sub(r.ownerAliveAt) < fenceRetryInterval {
		return false
	}
	r.attemptStartedAt, r.ownerAliveAt = now, time.Time{}
	r.attempts++
	r.pendingAgents = make(map[wire.Incarnation]bool)
	return true
}

// fenceOwner asks every connected agent of the service to fence the owner. It
// sends one message per agent and dead entry, not one per job.
func (c *Core) fenceOwner(key recoveryKey) {
	for _, link := range c.allAgents() {
		link.mu.Lock()
		ask := link.connected && link.hello.Service == key.service
		link.mu.Unlock()
		if ask {
			c.sendFence(link.hello.Incarnation, key)
		}
	}
}

func (c *Core) sendFence(agent wire.Incarnation, key recoveryKey) {
	c.peers.mu.Lock()
	if r, ok := c.peers.recoveries[key]; ok {
		r.pendingAgents[agent] = true
		r.fenceSentAt = c.env.Now()
	}
	c.peers.mu.Unlock()
	c.env.SendAgent(agent, &wire.Fence{Entry: key.owner, SilentMS: wire.Milliseconds(OwnerSilenceTimeout)})
}

// sendRecoveryFences asks an agent that has just connected to fence every entry
// that is being recovered.
func (c *Core) sendRecoveryFences(agent wire.Incarnation, service string) {
	var keys []recoveryKey
	c.peers.mu.Lock()
	for key := range c.peers.recoveries {
		if key.service == service {
			keys = append(keys, key)
		}
	}
	c.peers.mu.Unlock()
	slices.SortFunc(keys, func(a, b recoveryKey) int { return cmp.Compare(a.owner, b.owner) })
	for _, key := range keys {
		c.sendFence(agent, key)
	}
}

// handleFenced handles an agent's reply to Fence, or the result of a task that
// was still running when the agent replied. An agent also sends Fenced to the
// fenced entry itself when that entry connects again.
func (c *Core) handleFenced(now time.Time, agent wire.Incarnation, m *wire.Fenced) {
	if m.Entry == c.self {
		c.fenced.Store(true)
		return
	}
	link := c.agent(agent)
	if link == nil {
		return
	}
	key := recoveryKey{m.Entry, link.hello.Service}
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	r, ok := c.peers.recoveries[key]
	if !ok {
		return
	}
	if !m.More {
		delete(r.pendingAgents, agent)
	}
	if m.EntryAlive {
		r.ownerAliveAt = now
		return
	}
	for _, task := range m.Tasks {
		r.mergeTask(task)
	}
}

// mergeTask adds a report of a task and prefers a successful one. An idempotent
// task may have been started at two agents.
func (r *recovery) mergeTask(task wire.HeldTask) {
	byIndex, ok := r.tasks[task.Key]
	if !ok {
		byIndex = make(map[int]wire.HeldTask)
		r.tasks[task.Key] = byIndex
	}
	if known, ok := byIndex[task.Index]; !ok || known.Outcome != job.OK {
		byIndex[task.Index] = task
	}
}

// recoveredReply builds the reply from the results that the agents hold. It
// returns false while further results may arrive.
func (c *Core) recoveredReply(now time.Time, key recoveryKey, sub *job.Submission) (Reply, bool) {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.recoveries[key]
	if !ok {
		return Reply{}, false
	}
	if !r.ownerAliveAt.IsZero() {
		if r.attempts < maxFenceAttempts {
			return Reply{}, false
		}
		r.attempts = 0
		refused := refusal.New(refusal.OwnerUnreachable, "recover", "the owner of the key is reachable only for its targets")
		return Reply{Refusal: refused.WithRunUnknown().WithPeer(key.owner.String()).WithRetryAfter(time.Second)}, true
	}
	if r.fenceSentAt.IsZero() || len(r.pendingAgents) > 0 && now.Sub(r.fenceSentAt) < fenceTimeout {
		return Reply{}, false
	}
	results, ended := r.results(sub)
	if !ended {
		return Reply{}, false
	}
	c.counters.recovered.Add(1)
	return Reply{Answer: job.NewAnswer(sub, results)}, true
}

// results returns the results of all tasks of a job. A task that no agent
// reported as started has an unknown outcome. It returns false while a task is
// running.
func (r *recovery) results(sub *job.Submission) ([]job.TaskResult, bool) {
	held := r.tasks[sub.Hash]
	results := make([]job.TaskResult, len(sub.Inputs))
	for i := range results {
		task, ok := held[i]
		switch {
		case !ok || task.Outcome == job.NotStarted:
			results[i] = job.TaskResult{Outcome: job.Unknown, Error: "the entry that owned the job was lost"}
		case task.Outcome == "":
			return nil, false
		default:
			results[i] = job.TaskResult{Outcome: task.Outcome, Output: task.Output, Error: task.Error}
		}
	}
	return results, true
}

// finishQuery replies to a query. It first stores a recovered answer, so that
// every later resubmission at this entry gets the same one.
func (c *Core) finishQuery(q *query, reply Reply) {
	c.peers.mu.Lock()
	_, open := c.peers.queries[q.id]
	delete(c.peers.queries, q.id)
	c.peers.mu.Unlock()
	if !open {
		return
	}
	if reply.Answer != nil {
		reply = c.storeRecovered(q.sub, reply)
	}
	q.waiter.reply(reply)
}

func (c *Core) storeRecovered(sub *job.Submission, reply Reply) Reply {
	now := c.env.Now()
	s := c.shard(sub.Hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.jobs[sub.Hash]; ok {
		if e.phase == answered {
			return Reply{Answer: e.answer}
		}
		return reply
	}
	e := newEntryJob(sub, c.service(sub.Service), claiming, now)
	s.addActive(sub.Hash, e)
	e.answer = reply.Answer
	s.deactivate(now, sub.Hash, e, answered)
	return reply
}
