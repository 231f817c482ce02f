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
	// fenceRetry is when an owner that an agent still heard is tried again.
	fenceRetry = 500 * time.Millisecond
	// recoveryRetention is how long the results of a dead entry are kept for
	// further resubmissions. Agents keep theirs for half of it.
	recoveryRetention = time.Minute
	// fenceAttempts bounds the tries before the caller is told.
	fenceAttempts = 4
)

type recoveryKey struct {
	owner   wire.Incarnation
	service string
}

// recovery collects from the agents of a service what a dead entry started.
type recovery struct {
	begun    time.Time
	attempts int
	// alive is when an agent last said that it still hears the owner.
	alive   time.Time
	pending map[wire.Incarnation]bool
	// askedAt is when the last agent was asked. Without one, nothing is known.
	askedAt time.Time
	tasks   map[job.KeyHash]map[int]wire.HeldTask
}

// recover answers the queries whose owner is silent. It starts no task.
func (c *Core) recover(now time.Time) {
	for _, q := range c.orphans(now) {
		key := recoveryKey{q.owner, q.sub.Service}
		if c.beginRecovery(now, key) {
			c.fenceOwner(key)
		}
		if reply, ok := c.recoveredJob(now, key, q.sub); ok {
			c.endQuery(q, reply)
		}
	}
	c.forgetRecoveries(now)
}

// forgetRecoveries drops the results of dead entries, and the entries that are
// long gone. A later resubmission asks the agents again.
func (c *Core) forgetRecoveries(now time.Time) {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, r := range p.recoveries {
		if now.Sub(r.begun) > recoveryRetention {
			delete(p.recoveries, key)
		}
	}
	for id, link := range p.entries {
		if !link.connected && now.Sub(link.lastHeard) > recoveryRetention {
			delete(p.entries, id)
		}
	}
}

// orphans returns the queries whose owner has not been heard for OwnerSilence.
func (c *Core) orphans(now time.Time) []*query {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var orphans []*query
	for _, q := range p.queriesInOrder() {
		heard := c.started
		if link, ok := p.entries[q.owner]; ok {
			heard = link.lastHeard
		}
		if now.Sub(heard) >= OwnerSilence {
			orphans = append(orphans, q)
		}
	}
	return orphans
}

// beginRecovery reports whether the agents are to be asked now.
func (c *Core) beginRecovery(now time.Time, key recoveryKey) bool {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.recoveries[key]
	if !ok {
		r = &recovery{tasks: make(map[job.KeyHash]map[int]wire.HeldTask)}
		p.recoveries[key] = r
	} else if r.alive.IsZero() || now.Sub(r.alive) < fenceRetry {
		return false
	}
	r.begun, r.alive = now, time.Time{}
	r.attempts++
	r.pending = make(map[wire.Incarnation]bool)
	return true
}

// fenceOwner asks every agent of the service: one message per agent and dead
// entry, not per job.
func (c *Core) fenceOwner(key recoveryKey) {
	for _, link := range c.allAgents() {
		link.mu.Lock()
		ask := link.connected && link.hello.Service == key.service
		link.mu.Unlock()
		if ask {
			c.askFence(link.hello.Incarnation, key)
		}
	}
}

func (c *Core) askFence(agent wire.Incarnation, key recoveryKey) {
	c.peers.mu.Lock()
	if r, ok := c.peers.recoveries[key]; ok {
		r.pending[agent] = true
		r.askedAt = c.env.Now()
	}
	c.peers.mu.Unlock()
	c.env.SendAgent(agent, &wire.Fence{Entry: key.owner, SilentMS: wire.Milliseconds(OwnerSilence)})
}

// fenceDeadOwners asks an agent that has just connected about every entry that
// is being recovered.
func (c *Core) fenceDeadOwners(agent wire.Incarnation, service string) {
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
		c.askFence(agent, key)
	}
}

// fenced takes an agent's reply, or the end of a task that was still running at
// the time of the reply. An agent also sends it to the fenced entry itself, when
// that connects again.
func (c *Core) fenced(now time.Time, agent wire.Incarnation, m *wire.Fenced) {
	if m.Entry == c.self {
		c.fencedOff.Store(true)
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
		delete(r.pending, agent)
	}
	if m.Alive {
		r.alive = now
		return
	}
	for _, task := range m.Tasks {
		r.note(task)
	}
}

// note keeps the better of two reports of one task. An idempotent task may have
// been started at two agents.
func (r *recovery) note(task wire.HeldTask) {
	byIndex, ok := r.tasks[task.Key]
	if !ok {
		byIndex = make(map[int]wire.HeldTask)
		r.tasks[task.Key] = byIndex
	}
	if known, ok := byIndex[task.Index]; !ok || known.Outcome != job.OK {
		byIndex[task.Index] = task
	}
}

// recoveredJob builds the answer from what the agents hold. It reports false
// while it may still become more.
func (c *Core) recoveredJob(now time.Time, key recoveryKey, sub *job.Submission) (Reply, bool) {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.recoveries[key]
	if !ok {
		return Reply{}, false
	}
	if !r.alive.IsZero() {
		if r.attempts < fenceAttempts {
			return Reply{}, false
		}
		r.attempts = 0
		refused := refusal.New(refusal.OwnerUnreachable, "recover", "the owner of the key is reachable only for its targets")
		return Reply{Refusal: refused.Unknown().At(key.owner.String()).After(time.Second)}, true
	}
	if r.askedAt.IsZero() || len(r.pending) > 0 && now.Sub(r.askedAt) < fenceTimeout {
		return Reply{}, false
	}
	results, ended := r.results(sub)
	if !ended {
		return Reply{}, false
	}
	c.counters.recovered.Add(1)
	return Reply{Answer: job.NewAnswer(sub, results)}, true
}

// results lists the tasks of a job; a task that no agent accounts for is
// unknown. It reports false while one is running.
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

// endQuery keeps a recovered answer, so that every later resubmission here gets
// the same one, and answers the caller.
func (c *Core) endQuery(q *query, reply Reply) {
	c.peers.mu.Lock()
	_, open := c.peers.queries[q.id]
	delete(c.peers.queries, q.id)
	c.peers.mu.Unlock()
	if !open {
		return
	}
	if reply.Answer != nil {
		reply = c.keepRecovered(q.sub, reply)
	}
	q.waiter.reply(reply)
}

func (c *Core) keepRecovered(sub *job.Submission, reply Reply) Reply {
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
	s.add(sub.Hash, e)
	e.answer = reply.Answer
	s.leave(now, sub.Hash, e, answered)
	return reply
}
