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

// allAgents lists the agents in the order of their incarnations, so that a run
// in virtual time can be repeated.
func (c *Core) allAgents() []*agentLink {
	c.agentsMu.RLock()
	defer c.agentsMu.RUnlock()
	return c.agentOrder
}

// orderAgents replaces agentOrder, whose readers hold no lock.
func (c *Core) orderAgents() {
	order := make([]*agentLink, 0, len(c.agents))
	for _, id := range slices.Sorted(maps.Keys(c.agents)) {
		order = append(order, c.agents[id])
	}
	c.agentOrder = order
}

// AgentConnected takes a new connection of an agent. What was sent on an earlier
// connection to the same incarnation and not answered is sent again under the
// same sequences, which start at most once.
func (c *Core) AgentConnected(hello wire.Hello) {
	now := c.env.Now()
	id := hello.Incarnation
	c.agentsMu.Lock()
	link, known := c.agents[id]
	if !known {
		link = &agentLink{hello: hello, high: c.retired[id],
			outstanding: make(map[uint64]*sentTask), unreleased: make(map[uint64]struct{})}
		c.agents[id] = link
		c.orderAgents()
	}
	c.agentsMu.Unlock()
	resume, again := link.connect(now, hello)
	c.env.SendAgent(id, resume)
	if len(again) > 0 {
		c.env.SendAgent(id, link.message(now, c.self, again))
	}
	if m := c.peers.currentConfig(); m != nil && link.behind(m.Offset) {
		c.env.SendAgent(id, m)
	}
	if m := c.peers.currentMembers(); m != nil {
		c.env.SendAgent(id, m)
	}
	c.fenceDeadOwners(id, hello.Service)
	if svc := c.service(hello.Service); svc != nil {
		svc.setTarget(now, hello)
		c.pump(now, svc)
	}
}

// AgentDisconnected takes the end of the connection. Outstanding tasks wait for
// the agent to come back within AgentLease.
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

// AgentReceived handles a message of a connected agent.
func (c *Core) AgentReceived(id wire.Incarnation, m wire.Message) {
	now := c.env.Now()
	link := c.agent(id)
	if link == nil {
		return
	}
	resumed := link.heard(now)
	svc := c.service(link.hello.Service)
	if resumed && svc != nil {
		svc.setTarget(now, link.hello)
	}
	switch m := m.(type) {
	case *wire.Answers:
		c.agentAnswers(now, id, link, m)
	case *wire.Heartbeat:
		link.noteConfig(m.ConfigOffset)
		if svc != nil {
			svc.report(now, id, m.Load)
			c.pump(now, svc)
		}
	case *wire.Leaving:
		link.leave()
		c.stopServing(now, id, link)
	case *wire.Fenced:
		c.fenced(now, id, m)
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

// addKnownTargets gives a service that was configured after its agents
// connected the targets that it has.
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

// checkAgents ends what silent agents hold: after AgentSilence nothing more is
// sent, after AgentLease outstanding tasks are unknown.
func (c *Core) checkAgents(now time.Time) {
	for _, link := range c.allAgents() {
		id := link.hello.Incarnation
		silence, connected, serving := link.state(now)
		if serving && silence >= AgentSilence {
			c.stopServing(now, id, link)
		}
		if silence < AgentLease {
			continue
		}
		for _, sent := range link.giveUp() {
			c.unknown(now, id, sent, "the agent was lost")
		}
		if !connected && silence >= forgetAgentAfter {
			c.forgetAgent(id, link)
		}
	}
}

// forgetAgentAfter is when all but the last sequence used is dropped of an agent
// that is gone.
const forgetAgentAfter = 2 * time.Minute

// forgetAgent keeps the last sequence, so that the same agent incarnation, should
// it come back, is not sent a sequence that it has seen.
func (c *Core) forgetAgent(id wire.Incarnation, link *agentLink) {
	c.agentsMu.Lock()
	defer c.agentsMu.Unlock()
	link.mu.Lock()
	defer link.mu.Unlock()
	if !link.connected {
		delete(c.agents, id)
		c.orderAgents()
		c.retired[id] = link.high
	}
}

func (c *Core) releaseSent(sent []sentRef) {
	for _, ref := range sent {
		if link := c.agent(ref.agent); link != nil {
			link.release(ref.seq)
		}
	}
}

// cancelSent tells the agents to stop tasks that are outstanding.
func (c *Core) cancelSent(sent []sentRef) {
	for _, ref := range sent {
		if link := c.agent(ref.agent); link != nil {
			link.cancel(ref.seq)
		}
	}
}

// flushAgents sends cancellations, and heartbeats that carry releases, that are
// due.
func (c *Core) flushAgents(now time.Time) {
	for _, link := range c.allAgents() {
		for _, m := range link.due(now, c.self, c.peers.configOffset()) {
			c.env.SendAgent(link.hello.Incarnation, m)
		}
	}
}

// PushConfig sends the configuration to every agent and entry that has an older
// one.
func (c *Core) PushConfig(offset uint64, files []config.File) {
	m := &wire.Config{Offset: offset}
	for _, file := range files {
		m.Files = append(m.Files, wire.ConfigFile{Name: file.Name, Version: file.Version, Content: file.Content})
	}
	c.peers.setConfig(m)
	for _, link := range c.allAgents() {
		if link.behind(offset) {
			c.env.SendAgent(link.hello.Incarnation, m)
		}
	}
	c.pushConfigToEntries(m)
}
