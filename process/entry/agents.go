package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/version/config"
)

func (c *Core) agent(id wire.Incarnation) *agentLink {
	c.agentsMu.RLock()
	defer c.agentsMu.RUnlock()
	return c.agents[id]
}

// allAgents returns the agents sorted by incarnation, so that a run in virtual
// time is reproducible.
func (c *Core) allAgents() []*agentLink {
	c.agentsMu.RLock()
	defer c.agentsMu.RUnlock()
	return c.sortedAgents
}

// sortAgents rebuilds sortedAgents. It replaces the slice, because its readers
// hold no lock.
func (c *Core) sortAgents() {
	order := make([]*agentLink, 0, len(c.agents))
	for _, id := range slices.Sorted(maps.Keys(c.agents)) {
		order = append(order, c.agents[id])
	}
	c.sortedAgents = order
}

// AgentConnected handles a new connection of an agent. Tasks that were sent to
// the same incarnation on an earlier connection and are unanswered are sent
// again with the same sequences. The agent starts each sequence at most once.
func (c *Core) AgentConnected(hello wire.Hello) {
	now := c.env.Now()
	id := hello.Incarnation
	c.agentsMu.Lock()
	link, known := c.agents[id]
	if !known {
		link = &agentLink{hello: hello, lastSeq: c.lastSeqs[id],
			outstanding: make(map[uint64]*sentTask), unreleased: make(map[uint64]struct{})}
		c.agents[id] = link
		c.sortAgents()
	}
	c.agentsMu.Unlock()
	resume, unanswered := link.connect(now, hello)
	c.env.SendAgent(id, resume)
	if len(unanswered) > 0 {
		c.env.SendAgent(id, link.dispatchMessage(now, c.self, unanswered))
	}
	if m := c.peers.currentConfig(); m != nil && link.markConfigSent(m.Offset) {
		c.env.SendAgent(id, m)
	}
	if m := c.peers.currentMembers(); m != nil {
		c.env.SendAgent(id, m)
	}
	c.sendRecoveryFences(id, hello.Service)
	if svc := c.service(hello.Service); svc != nil {
		svc.setTarget(now, hello)
		c.dispatchQueued(now, svc)
	}
}

// AgentDisconnected handles the end of an agent's connection. The agent has to
// reconnect within AgentLease, or its outstanding tasks count as unknown.
func (c *Core) AgentDisconnected(id wire.Incarnation) {
	link := c.agent(id)
	if link == nil {
		return
	}
	link.mu.Lock()
	link.connected = false
	link.mu.Unlock()
	c.stopServing(c.env.Now(), id, link)
}

// HandleAgentMessage handles a message from a connected agent.
func (c *Core) HandleAgentMessage(id wire.Incarnation, m wire.Message) {
	now := c.env.Now()
	link := c.agent(id)
	if link == nil {
		return
	}
	resumed := link.messageReceived(now)
	svc := c.service(link.hello.Service)
	if resumed && svc != nil {
		svc.setTarget(now, link.hello)
	}
	switch m := m.(type) {
	case *wire.Answers:
		c.handleAnswers(now, id, link, m)
	case *wire.Heartbeat:
		link.raiseConfigOffset(m.ConfigOffset)
		if svc != nil {
			svc.reportLoad(now, id, m.Load)
			c.dispatchQueued(now, svc)
		}
	case *wire.Leaving:
		link.markLeaving()
		c.stopServing(now, id, link)
	case *wire.Fenced:
		c.handleFenced(now, id, m)
	}
}

func (c *Core) stopServing(now time.Time, id wire.Incarnation, link *agentLink) {
	link.mu.Lock()
	link.serving = false
	link.mu.Unlock()
	if svc := c.service(link.hello.Service); svc != nil {
		svc.mu.Lock()
		svc.scheduler.RemoveTarget(now, id)
		svc.mu.Unlock()
	}
}

func (s *service) setTarget(now time.Time, hello wire.Hello) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetTarget(now, scheduler.Target{ID: hello.Incarnation, Name: hello.Name, Zone: hello.Zone,
		Slots: hello.Slots, MemoryMB: hello.MemoryMB, Accelerators: hello.Accelerators})
}

// addKnownTargets adds the targets of agents that connected before the service
// was configured.
func (c *Core) addKnownTargets(svc *service) {
	now := c.env.Now()
	for _, link := range c.allAgents() {
		link.mu.Lock()
		serving := link.serving
		link.mu.Unlock()
		if serving && link.hello.Service == svc.name {
			svc.setTarget(now, link.hello)
		}
	}
}

// checkAgents handles silent agents: after AgentSilenceTimeout nothing more is
// sent to them, and after AgentLease their outstanding tasks count as unknown.
func (c *Core) checkAgents(now time.Time) {
	for _, link := range c.allAgents() {
		id := link.hello.Incarnation
		silence, connected, serving := link.state(now)
		if serving && silence >= AgentSilenceTimeout {
			c.stopServing(now, id, link)
		}
		if silence < AgentLease {
			continue
		}
		for _, sent := range link.takeOutstanding() {
			c.handleUnknown(now, id, sent, "the agent was lost")
		}
		if !connected && silence >= agentRetention {
			c.removeAgent(id, link)
		}
	}
}

// agentRetention is the silence after which the state of a disconnected agent
// is dropped, except for the last sequence.
const agentRetention = 2 * time.Minute

// removeAgent drops the state of an agent but keeps its last sequence. If the
// same agent incarnation reconnects, it must not receive a sequence that it has
// seen.
func (c *Core) removeAgent(id wire.Incarnation, link *agentLink) {
	c.agentsMu.Lock()
	defer c.agentsMu.Unlock()
	link.mu.Lock()
	defer link.mu.Unlock()
	if !link.connected {
		delete(c.agents, id)
		c.sortAgents()
		c.lastSeqs[id] = link.lastSeq
	}
}

func (c *Core) releaseSent(sent []sentRef) {
	for _, ref := range sent {
		if link := c.agent(ref.agent); link != nil {
			link.release(ref.seq)
		}
	}
}

// cancelSent queues the cancellation of the tasks that are outstanding.
func (c *Core) cancelSent(sent []sentRef) {
	for _, ref := range sent {
		if link := c.agent(ref.agent); link != nil {
			link.queueCancel(ref.seq)
		}
	}
}

// flushAgents sends the cancellations and heartbeats that are due. Heartbeats
// carry the released sequences.
func (c *Core) flushAgents(now time.Time) {
	for _, link := range c.allAgents() {
		for _, m := range link.dueMessages(now, c.self, c.peers.configOffset()) {
			c.env.SendAgent(link.hello.Incarnation, m)
		}
	}
}

// SendConfig sends the configuration to every agent and entry that has an older
// one.
func (c *Core) SendConfig(offset uint64, files []config.File) {
	m := &wire.Config{Offset: offset}
	for _, file := range files {
		m.Files = append(m.Files, wire.ConfigFile{Name: file.Name, Version: file.Version, Content: file.Content})
	}
	c.peers.setConfig(m)
	for _, link := range c.allAgents() {
		if link.markConfigSent(offset) {
			c.env.SendAgent(link.hello.Incarnation, m)
		}
	}
	c.sendConfigToEntries(m)
}
