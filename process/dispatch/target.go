package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Times of an entry's beliefs about a target.
const (
	// silentAfter is when an agent that is not heard gets no new orders.
	silentAfter = 2*wire.PulseInterval + 50*time.Millisecond
	// maxTold is how many targets are told that tasks wait. More would only
	// send more invitations for the same tasks.
	maxTold = 16
)

// target is what an entry knows of one agent and the target beside it.
type target struct {
	agent wire.Incarnation
	node  string
	zone  string
	// connected is false while the agent may reconnect.
	connected bool
	state     wire.TargetState
	// free is the room last told; unheard are orders that it does not include.
	free    batch.Resources
	unheard []unheardOrder
	heard   time.Time
	echo    int64
	sent    uint64
	// lastSent is when the last message went out.
	lastSent time.Time
	// told is set while the agent knows that tasks of this entry wait.
	told bool
	// sessionRefused is set once the agent has ended the session.
	sessionRefused bool
	runs           map[batch.Run]*run
}

type unheardOrder struct {
	sequence uint64
	demand   batch.Resources
}

// expectedFree returns the room that is left once all orders have arrived.
func (t *target) expectedFree() batch.Resources {
	free := t.free
	for _, order := range t.unheard {
		free = free.Sub(order.demand)
	}
	return free
}

// takesOrders reports whether the agent is there and its target open.
func (t *target) takesOrders(now time.Time) bool {
	return t.connected && !t.sessionRefused && t.state.Closed == "" && now.Sub(t.heard) <= silentAfter
}

// Enrolled takes the first message of an agent on a connection.
func (c *Core) Enrolled(m *wire.Enroll) {
	p := c.pool(m.Target.Service)
	c.agentsMu.Lock()
	before := c.agents[m.Agent]
	c.agents[m.Agent] = p
	c.agentsMu.Unlock()
	if before != nil && before != p {
		c.removeTarget(before, m.Agent, "moved to another service")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.env.Now()
	c.settleNode(now, p, m)
	t := p.targets[m.Agent]
	if t == nil {
		t = &target{agent: m.Agent, runs: make(map[batch.Run]*run)}
		p.addTarget(t)
	}
	t.node, t.zone = m.Node, m.Zone
	t.connected, t.heard, t.echo = true, now, m.Clock
	t.state, t.free, t.unheard, t.sent, t.told = m.Target, m.Free, nil, 0, false
	c.env.Decided(decision.Decision{Step: "agent", Peer: m.Node, Outcome: "enrolled", Reason: string(m.Target.Closed),
		Version: m.Target.Revision, Inputs: []decision.Input{{Name: "runs", Value: int64(len(t.runs))}, {Name: "free_millicpu", Value: int64(m.Free.MilliCPU)}}})
	c.reconcile(now, p, t, m.Held)
	// Refusals among the held reports are of earlier sessions.
	t.sessionRefused = false
	c.send(now, t, &wire.Orders{})
	c.assign(now, p)
}

// settleNode ends the runs of earlier agent incarnations on the same instance:
// an agent enrolls only once none of them is alive.
func (c *Core) settleNode(now time.Time, p *pool, m *wire.Enroll) {
	for _, t := range p.ordered {
		if t.node != m.Node || t.agent == m.Agent {
			continue
		}
		for _, r := range batch.InOrder(t.runs) {
			c.runEnded(now, p, r, batch.EndLost)
		}
		p.deleteTarget(t)
		c.forgetAgent(t.agent)
	}
}

func (c *Core) forgetAgent(agent wire.Incarnation) {
	c.agentsMu.Lock()
	defer c.agentsMu.Unlock()
	delete(c.agents, agent)
}

// reconcile ends the runs that an agent no longer holds. They may have run
// before their session ended.
func (c *Core) reconcile(now time.Time, p *pool, t *target, held []wire.RunReport) {
	alive := make(map[batch.Run]bool, len(held))
	for _, report := range held {
		alive[report.Run] = true
	}
	for _, r := range batch.InOrder(t.runs) {
		if !alive[r.name()] {
			c.runEnded(now, p, r, batch.EndLost)
		}
	}
	for _, report := range held {
		c.runReported(now, p, t, report)
	}
}

// Disconnected notes that the connection of an agent has ended. What runs there
// is alive until the agent enrolls again or its session and lease have ended.
func (c *Core) Disconnected(agent wire.Incarnation, cause error) {
	p := c.poolOf(agent)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[agent]
	if t == nil {
		return
	}
	t.connected = false
	reason := ""
	if cause != nil {
		reason = cause.Error()
	}
	c.env.Decided(decision.Decision{Step: "agent", Peer: t.node, Outcome: "disconnected", Reason: reason,
		Age: c.env.Now().Sub(t.heard), Inputs: []decision.Input{{Name: "runs", Value: int64(len(t.runs))}}})
}

func (c *Core) poolOf(agent wire.Incarnation) *pool {
	c.agentsMu.RLock()
	defer c.agentsMu.RUnlock()
	return c.agents[agent]
}

func (c *Core) removeTarget(p *pool, agent wire.Incarnation, cause string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[agent]
	if t == nil {
		return
	}
	now := c.env.Now()
	c.env.Decided(decision.Decision{Step: "agent", Peer: t.node, Outcome: "removed", Reason: cause, Age: now.Sub(t.heard),
		Inputs: []decision.Input{{Name: "runs", Value: int64(len(t.runs))}}})
	p.deleteTarget(t)
	for _, r := range batch.InOrder(t.runs) {
		c.runEnded(now, p, r, batch.EndLost)
	}
}

// Received takes a report of an agent.
func (c *Core) Received(agent wire.Incarnation, m *wire.AgentReport) {
	p := c.poolOf(agent)
	if p == nil {
		return
	}
	if m.Target != nil && m.Target.Service != p.service {
		p = c.moveTarget(agent, p, m.Target.Service)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[agent]
	if t == nil {
		return
	}
	now := c.env.Now()
	t.heard, t.echo, t.free = now, m.Clock, m.Free
	for len(t.unheard) > 0 && t.unheard[0].sequence <= m.Handled {
		t.unheard = t.unheard[1:]
	}
	if m.Target != nil {
		c.targetChanged(t, *m.Target)
	}
	for _, report := range m.Runs {
		c.runReported(now, p, t, report)
	}
	sent := t.sent
	c.assign(now, p)
	if m.Invitation && t.sent == sent {
		c.send(now, t, &wire.Orders{Waiting: c.waiting(now, p)})
	}
}

func (c *Core) targetChanged(t *target, state wire.TargetState) {
	if state.Revision < t.state.Revision {
		return
	}
	if state.Closed != t.state.Closed || state.Probing != t.state.Probing || state.Target != t.state.Target {
		outcome := "open"
		if state.Closed != "" {
			outcome = "closed"
		}
		c.env.Decided(decision.Decision{Step: "target", Peer: t.node, Outcome: outcome, Reason: string(state.Closed), Version: state.Revision})
	}
	t.state = state
}

// moveTarget moves an agent whose target has joined another service.
func (c *Core) moveTarget(agent wire.Incarnation, from *pool, service string) *pool {
	to := c.pool(service)
	from.mu.Lock()
	t := from.targets[agent]
	if t != nil {
		from.deleteTarget(t)
		now := c.env.Now()
		for _, r := range batch.InOrder(t.runs) {
			c.runEnded(now, from, r, batch.EndLost)
		}
	}
	from.mu.Unlock()
	c.agentsMu.Lock()
	c.agents[agent] = to
	c.agentsMu.Unlock()
	if t != nil {
		to.mu.Lock()
		to.addTarget(t)
		to.mu.Unlock()
	}
	return to
}

// send numbers a message to an agent and renews its session.
func (c *Core) send(now time.Time, t *target, m *wire.Orders) {
	t.sent++
	m.Sequence, m.Echo = t.sent, t.echo
	t.told = m.Waiting != nil
	t.lastSent = now
	c.env.Send(t.agent, m)
}

// checkTargets renews sessions and ends the runs of agents that have been
// silent for so long that nothing of them can be alive.
func (c *Core) checkTargets(now time.Time, p *pool) {
	for _, t := range p.ordered {
		if t.connected && now.Sub(t.lastSent) >= wire.PulseInterval {
			c.send(now, t, &wire.Orders{Waiting: c.waitingFor(now, p, t)})
		}
		if now.Sub(t.heard) <= wire.LostAfter {
			continue
		}
		if len(t.runs) > 0 {
			c.env.Decided(decision.Decision{Step: "agent", Peer: t.node, Outcome: "runs_lost", Reason: "agent silent",
				Age: now.Sub(t.heard), Inputs: []decision.Input{{Name: "runs", Value: int64(len(t.runs))}}})
		}
		for _, r := range batch.InOrder(t.runs) {
			c.runEnded(now, p, r, batch.EndLost)
		}
		if !t.connected {
			p.deleteTarget(t)
			c.forgetAgent(t.agent)
		}
	}
}
