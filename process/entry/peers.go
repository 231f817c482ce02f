package entry

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// peerState holds the state of the other entries, the calls whose keys they
// own, the recoveries of dead ones, and the configuration and members that are
// sent to new connections.
type peerState struct {
	mu          sync.Mutex
	entries     map[wire.Incarnation]*entryLink
	queries     map[uint64]*query
	lastQueryID uint64
	recoveries  map[recoveryKey]*recovery
	config      *wire.Config
	members     *wire.Members
}

// entryLink is the state of one entry incarnation at this entry.
type entryLink struct {
	hello     wire.Hello
	connected bool
	// generation counts the connections to the entry. A query records the one
	// that it was last sent on.
	generation   int
	lastHeard    time.Time
	lastSent     time.Time
	configOffset uint64
}

// maxRelayedAnswerBytes is the largest answer that is sent to another entry.
// The message that carries it stays below wire.MaxFrameBytes.
const maxRelayedAnswerBytes = wire.MaxFrameBytes - 64<<10

// query is a call whose key is owned by another entry.
type query struct {
	id         uint64
	owner      wire.Incarnation
	sub        *job.Submission
	waiter     *waiter
	generation int
}

func (p *peerState) init() {
	p.entries = make(map[wire.Incarnation]*entryLink)
	p.queries = make(map[uint64]*query)
	p.recoveries = make(map[recoveryKey]*recovery)
}

func (p *peerState) queriesInOrder() []*query {
	queries := make([]*query, 0, len(p.queries))
	for _, id := range slices.Sorted(maps.Keys(p.queries)) {
		queries = append(queries, p.queries[id])
	}
	return queries
}

func (p *peerState) connectedEntries() []wire.Incarnation {
	var ids []wire.Incarnation
	for _, id := range slices.Sorted(maps.Keys(p.entries)) {
		if p.entries[id].connected {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *peerState) pendingQueries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queries)
}

func (p *peerState) currentConfig() *wire.Config {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config
}

func (p *peerState) configOffset() uint64 {
	if m := p.currentConfig(); m != nil {
		return m.Offset
	}
	return 0
}

func (p *peerState) setConfig(m *wire.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = m
}

func (p *peerState) currentMembers() *wire.Members {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members
}

// EntryConnected handles a new connection to another entry.
func (c *Core) EntryConnected(hello wire.Hello) {
	now := c.env.Now()
	p := &c.peers
	p.mu.Lock()
	link, known := p.entries[hello.Incarnation]
	if !known {
		link = &entryLink{}
		p.entries[hello.Incarnation] = link
	}
	link.hello, link.connected, link.configOffset = hello, true, hello.ConfigOffset
	link.lastHeard, link.lastSent = now, now
	link.generation++
	cfg, members := p.config, p.members
	p.mu.Unlock()
	if members != nil {
		c.env.SendEntry(hello.Incarnation, members)
	}
	if cfg != nil && cfg.Offset > hello.ConfigOffset {
		c.env.SendEntry(hello.Incarnation, cfg)
	}
	c.sendQueries(now)
}

// EntryDisconnected handles the end of a connection to another entry.
func (c *Core) EntryDisconnected(id wire.Incarnation) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	if link, ok := c.peers.entries[id]; ok {
		link.connected = false
	}
}

// HandleEntryMessage handles a message from a connected entry. It ignores Config
// and Members, which the daemon applies in the order of their offsets.
func (c *Core) HandleEntryMessage(id wire.Incarnation, m wire.Message) {
	now := c.env.Now()
	c.peers.mu.Lock()
	if link, ok := c.peers.entries[id]; ok {
		link.lastHeard = now
	}
	c.peers.mu.Unlock()
	switch m := m.(type) {
	case *wire.Query:
		c.handleQuery(now, id, m)
	case *wire.QueryReply:
		c.handleQueryReply(id, m)
	case *wire.Quota:
		c.handleQuota(now, id, m)
	}
}

// queryOwner requests the answer from the entry that owns the key.
func (c *Core) queryOwner(now time.Time, sub *job.Submission, owner wire.Incarnation, w *waiter) {
	p := &c.peers
	p.mu.Lock()
	p.lastQueryID++
	p.queries[p.lastQueryID] = &query{id: p.lastQueryID, owner: owner, sub: sub, waiter: w}
	p.mu.Unlock()
	c.sendQueries(now)
}

// sendQueries sends each query once per connection to the owner of its key.
func (c *Core) sendQueries(now time.Time) {
	type outgoing struct {
		to wire.Incarnation
		m  *wire.Query
	}
	var out []outgoing
	p := &c.peers
	p.mu.Lock()
	for _, q := range p.queriesInOrder() {
		link, ok := p.entries[q.owner]
		if !ok || !link.connected || q.generation == link.generation {
			continue
		}
		q.generation = link.generation
		link.lastSent = now
		out = append(out, outgoing{q.owner, &wire.Query{ID: q.id, Key: q.sub.Hash, Digest: q.sub.Digest,
			BudgetMS: wire.Milliseconds(q.waiter.deadline.Sub(now)), Body: q.sub.Raw, Single: q.sub.Single}})
	}
	p.mu.Unlock()
	for _, o := range out {
		c.env.SendEntry(o.to, o.m)
	}
}

// handleQuery handles a query at the owner of the key: the resubmission
// attaches to the job, or runs if nothing was started.
func (c *Core) handleQuery(now time.Time, from wire.Incarnation, m *wire.Query) {
	reply := func(r Reply) { c.env.SendEntry(from, queryReply(m.ID, r)) }
	sub, err := job.Parse(bytes.NewReader(m.Body), m.Single, now, c.ParseLimits())
	if err != nil {
		refused, _ := refusal.As(err)
		reply(Reply{Refusal: refused.WithRunUnknown()})
		return
	}
	if sub.Hash != m.Key || sub.Digest != m.Digest {
		c.env.ReportViolation("G3", "query", from.String(), "query body does not match its key")
		reply(Reply{Refusal: refusal.New(refusal.BadRequest, "query", "body does not match the key").WithRunUnknown()})
		return
	}
	// The caller may have submitted the key before, whatever it states.
	sub.First = false
	sub.Deadline = now.Add(time.Duration(m.BudgetMS) * time.Millisecond)
	c.admit(now, sub, &waiter{deadline: sub.Deadline, reply: reply})
}

func queryReply(id uint64, r Reply) *wire.QueryReply {
	m := &wire.QueryReply{ID: id}
	if r.Refusal != nil {
		m.Refusal = wire.Refusal{Code: string(r.Refusal.Code), Run: string(r.Refusal.Run), Message: r.Refusal.Message,
			Step: r.Refusal.Step, RetryAfterMS: wire.Milliseconds(r.Refusal.RetryAfter)}
		return m
	}
	encoded, err := json.Marshal(r.Answer)
	if err != nil || len(encoded) > maxRelayedAnswerBytes {
		return queryReply(id, Reply{Refusal: refusal.New(refusal.OwnerUnreachable, "query",
			"the answer of %d bytes is too large to pass on; ask the entry that owns the key", len(encoded)).WithRunUnknown()})
	}
	m.Answer = encoded
	return m
}

// handleQueryReply handles the owner's reply at the entry that sent the query.
func (c *Core) handleQueryReply(from wire.Incarnation, m *wire.QueryReply) {
	p := &c.peers
	p.mu.Lock()
	q, ok := p.queries[m.ID]
	if !ok || q.owner != from {
		p.mu.Unlock()
		c.counters.strayAnswers.Add(1)
		return
	}
	delete(p.queries, m.ID)
	p.mu.Unlock()
	q.waiter.reply(c.replyFromOwner(q, m))
}

func (c *Core) replyFromOwner(q *query, m *wire.QueryReply) Reply {
	if m.Refusal.Code != "" {
		refused := &refusal.Error{Code: refusal.Code(m.Refusal.Code), Run: refusal.RunState(m.Refusal.Run),
			Message: m.Refusal.Message, Step: m.Refusal.Step, RetryAfter: time.Duration(m.Refusal.RetryAfterMS) * time.Millisecond}
		// A submission that was not run when the owner replied may meanwhile
		// run for another resubmission of the key.
		return Reply{Refusal: refused.WithRunUnknown().WithPeer(q.owner.String())}
	}
	var answer job.Answer
	if err := json.Unmarshal(m.Answer, &answer); err != nil {
		return Reply{Refusal: refusal.New(refusal.OwnerUnreachable, "query", "answer could not be read: %v", err).WithRunUnknown().WithPeer(q.owner.String())}
	}
	if answer.Key != q.sub.Key || answer.Team != q.sub.Team || answer.Service != q.sub.Service || len(answer.Tasks) != len(q.sub.Inputs) {
		c.env.ReportViolation("G3", "query", q.owner.String(), "the owner answered another submission")
		return Reply{Refusal: refusal.New(refusal.OwnerUnreachable, "query", "the owner answered another submission").WithRunUnknown()}
	}
	return Reply{Answer: &answer}
}

// checkPeers sends heartbeats and pending queries, refuses queries past their
// deadline, and recovers the jobs of silent owners.
func (c *Core) checkPeers(now time.Time) {
	c.sendEntryHeartbeats(now)
	c.sendQueries(now)
	for _, q := range c.removeExpiredQueries(now) {
		refused := refusal.New(refusal.Deadline, "query", "the owner did not answer before the deadline")
		q.waiter.reply(Reply{Refusal: refused.WithRunUnknown().WithPeer(q.owner.String()).WithRetryAfter(time.Second)})
	}
	c.recoverQueries(now)
}

func (c *Core) sendEntryHeartbeats(now time.Time) {
	var due []wire.Incarnation
	p := &c.peers
	p.mu.Lock()
	for _, id := range p.connectedEntries() {
		if link := p.entries[id]; now.Sub(link.lastSent) >= wire.HeartbeatInterval {
			link.lastSent = now
			due = append(due, id)
		}
	}
	p.mu.Unlock()
	offset := p.configOffset()
	for _, id := range due {
		c.env.SendEntry(id, &wire.Heartbeat{ConfigOffset: offset})
	}
}

func (c *Core) removeExpiredQueries(now time.Time) []*query {
	p := &c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*query
	for _, q := range p.queriesInOrder() {
		if !now.Before(q.waiter.deadline.Add(deadlineGrace)) {
			delete(p.queries, q.id)
			expired = append(expired, q)
		}
	}
	return expired
}

// SendMembers sends the list of known entries to every connected entry and
// agent.
func (c *Core) SendMembers(m *wire.Members) {
	p := &c.peers
	p.mu.Lock()
	p.members = m
	entries := p.connectedEntries()
	p.mu.Unlock()
	for _, id := range entries {
		c.env.SendEntry(id, m)
	}
	for _, link := range c.allAgents() {
		c.env.SendAgent(link.hello.Incarnation, m)
	}
}

func (c *Core) sendConfigToEntries(m *wire.Config) {
	var behind []wire.Incarnation
	c.peers.mu.Lock()
	for _, id := range c.peers.connectedEntries() {
		if link := c.peers.entries[id]; link.configOffset < m.Offset {
			link.configOffset = m.Offset
			behind = append(behind, id)
		}
	}
	c.peers.mu.Unlock()
	for _, id := range behind {
		c.env.SendEntry(id, m)
	}
}
