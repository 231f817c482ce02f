package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/placement"
	"github.com/azurerouter/azurerouter/request/batch"
)

// maxReportAge is the age of an agent's last message above which its target gets no
// new orders.
const maxReportAge = 2*wire.SessionRenewInterval + 50*time.Millisecond

// target is the state that an entry holds of one agent and the target beside it.
type target struct {
	agent wire.Incarnation
	node  string
	zone  string
	// connected is false while the agent may reconnect. retired is set if it does not, and
	// the target is kept for its unconfirmed runs only.
	connected bool
	retired   bool
	state     wire.TargetState
	// reportedFree is the room that the agent last reported. inFlight holds the
	// orders that it does not include yet.
	reportedFree batch.Resources
	inFlight     []inFlightOrder
	// unconfirmed holds the starts that the agent has not confirmed on the connection.
	unconfirmed  []unconfirmedStart
	lastReceived time.Time
	// lastClock is the newest clock value of the agent, to be echoed to it.
	lastClock int64
	// lastSequence numbers the messages on the connection.
	lastSequence uint64
	lastSent     time.Time
	// recordedEnds are the runs whose ends are recorded, to be confirmed with the next
	// message.
	recordedEnds []batch.Run
	// waitingAnnounced is set if the last message announced waiting tasks.
	waitingAnnounced bool
	// declinedAt is when an invitation of the agent last came to nothing although tasks
	// waited.
	declinedAt time.Time
	// sessionRefused is set once the agent has refused a run because the session
	// has ended, until it enrolls again.
	sessionRefused bool
	runs           map[batch.Run]*run
	// speed is the model of the durations of tasks at the target.
	speed *placement.Target
}

// inFlightOrder is the demand of a run ordered with the message of the sequence
// number.
type inFlightOrder struct {
	sequence uint64
	demand   batch.Resources
}

// expectedFree returns the room that is left once the agent has handled all orders.
func (t *target) expectedFree() batch.Resources {
	free := t.reportedFree
	for _, order := range t.inFlight {
		free = free.Sub(order.demand)
	}
	return free
}

// HandleEnroll handles the first message of an agent on a connection. Runs that the
// agent does not list are counted as lost.
func (c *Core) HandleEnroll(m *wire.Enroll) {
	p := c.pool(m.Target.Service)
	c.agentsMu.Lock()
	previous := c.poolByAgent[m.Agent]
	c.poolByAgent[m.Agent] = p
	c.agentsMu.Unlock()
	if previous != nil && previous != p {
		c.removeTarget(previous, m.Agent, m.Target.Target, "moved to another service")
	}
	c.removeEarlierAgents(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.env.Now()
	t := p.targets[m.Agent]
	if t == nil {
		t = &target{agent: m.Agent, runs: make(map[batch.Run]*run)}
		p.addTarget(t)
	}
	t.node, t.zone = m.Node, m.Zone
	t.connected, t.lastReceived, t.lastClock = true, now, m.Clock
	p.lastReceived = now
	t.state, t.reportedFree, t.inFlight, t.lastSequence, t.waitingAnnounced = m.Target, m.Free, nil, 0, false
	t.unconfirmed = nil
	t.speed = p.speeds.Target(now, t.node, incarnationOf(t.state))
	c.env.Record(decision.Decision{Step: "agent", Peer: m.Node, Outcome: "enrolled", Reason: string(m.Target.Closed),
		Version: m.Target.Revision, Inputs: []decision.Input{{Name: "runs", Value: int64(len(t.runs))}, {Name: "free_millicpu", Value: int64(m.Free.MilliCPU)}}})
	c.reconcile(now, p, t, m.HeldRuns)
	// The held reports may include refusals of earlier sessions, which don't
	// apply to this one.
	t.sessionRefused = false
	c.send(now, p, t, &wire.Orders{Stops: t.requestedStops()})
	c.assign(now, p)
}

// removeEarlierAgents removes earlier agent incarnations on the same instance and
// ends their runs: an agent enrolls only once none of these runs is alive and the present
// life of the target refuses the calls of earlier agents.
func (c *Core) removeEarlierAgents(m *wire.Enroll) {
	for _, p := range c.allPools() {
		p.mu.Lock()
		now := c.env.Now()
		for _, t := range p.targetList {
			if t.node != m.Node || t.agent == m.Agent || t.retired {
				continue
			}
			t.noteReplacement(m.Target.Target)
			c.retireTarget(now, p, t)
			c.forgetAgent(t.agent)
		}
		p.mu.Unlock()
	}
}

func (c *Core) forgetAgent(agent wire.Incarnation) {
	c.agentsMu.Lock()
	defer c.agentsMu.Unlock()
	delete(c.poolByAgent, agent)
}

// reconcile handles the reports of the runs that an agent holds and ends all other
// runs there as lost: they may have run before their session ended. A report of a crash
// does not mean that the agent holds the run or still reports its end.
func (c *Core) reconcile(now time.Time, p *pool, t *target, held []wire.RunReport) {
	alive := make(map[batch.Run]bool, len(held))
	for _, report := range held {
		if !reportsCrashOnly(report) {
			alive[report.Run] = true
		}
	}
	for _, r := range batch.SortedByRun(t.runs) {
		if !alive[r.id()] {
			c.runEnded(now, p, r, batch.EndLost)
		}
	}
	for _, report := range held {
		if r := t.runs[report.Run]; r != nil {
			r.startConfirmed = !report.StartUnconfirmed
		}
		c.handleRunReport(now, p, t, report)
	}
}

// requestedStops returns the runs that are to be stopped and may be alive. The orders to
// stop them may have been lost with an earlier connection.
func (t *target) requestedStops() []batch.Run {
	var stops []batch.Run
	for _, r := range batch.SortedByRun(t.runs) {
		if r.stopRequested {
			stops = append(stops, r.id())
		}
	}
	return stops
}

// HandleDisconnect handles the end of an agent's connection. cause may be nil. Runs
// there may be alive until the agent enrolls again or its session and the lease of
// its target have ended.
func (c *Core) HandleDisconnect(agent wire.Incarnation, cause error) {
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
	c.env.Record(decision.Decision{Step: "agent", Peer: t.node, Outcome: "disconnected", Reason: reason,
		Age: c.env.Now().Sub(t.lastReceived), Inputs: []decision.Input{{Name: "runs", Value: int64(len(t.runs))}}})
}

func (c *Core) poolOf(agent wire.Incarnation) *pool {
	c.agentsMu.RLock()
	defer c.agentsMu.RUnlock()
	return c.poolByAgent[agent]
}

// removeTarget removes the target of an agent, which is beside the given target now, and ends
// its runs as lost.
func (c *Core) removeTarget(p *pool, agent wire.Incarnation, present, cause string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[agent]
	if t == nil {
		return
	}
	now := c.env.Now()
	c.env.Record(decision.Decision{Step: "agent", Peer: t.node, Outcome: "removed", Reason: cause, Age: now.Sub(t.lastReceived),
		Inputs: []decision.Input{{Name: "runs", Value: int64(len(t.runs))}}})
	t.noteReplacement(present)
	c.retireTarget(now, p, t)
}

// HandleReport handles a report of an agent. Reports of unknown agents are ignored.
func (c *Core) HandleReport(agent wire.Incarnation, m *wire.AgentReport) {
	p := c.poolOf(agent)
	if p == nil {
		return
	}
	// An agent that has lost its target stays in the pool of the service until it
	// has another one, because it still reports on the runs that were lost.
	if m.Target != nil && m.Target.Service != "" && m.Target.Service != p.service {
		p = c.moveTarget(agent, p, m.Target)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[agent]
	if t == nil {
		return
	}
	if m.Clock < t.lastClock {
		// Of an earlier connection, and overtaken by the enrolment on the present one.
		return
	}
	now := c.env.Now()
	t.lastReceived, t.lastClock, t.reportedFree = now, m.Clock, m.Free
	p.lastReceived = now
	for len(t.inFlight) > 0 && t.inFlight[0].sequence <= m.HandledSequence {
		t.inFlight = t.inFlight[1:]
	}
	t.confirmStarts(m)
	if m.Target != nil {
		c.updateTargetState(now, p, t, *m.Target)
	}
	for _, report := range m.Runs {
		c.handleRunReport(now, p, t, report)
	}
	sent := t.lastSequence
	if m.Invitation {
		c.acceptInvitation(now, p, t)
	} else {
		c.assign(now, p)
	}
	if t.lastSequence == sent && (now.Sub(t.lastSent) >= replyAfter || m.Target != nil && t.awaitsService(p)) {
		c.send(now, p, t, &wire.Orders{Waiting: c.announcedWaiting(now, p, t)})
	}
}

// updateTargetState stores a state unless it is older than the one it replaces.
func (c *Core) updateTargetState(now time.Time, p *pool, t *target, state wire.TargetState) {
	if state.Revision < t.state.Revision {
		return
	}
	if state.Closed != t.state.Closed || state.Probing != t.state.Probing || state.Target != t.state.Target {
		outcome := "open"
		if state.Closed != "" {
			outcome = "closed"
		}
		c.env.Record(decision.Decision{Step: "target", Peer: t.node, Outcome: outcome, Reason: string(state.Closed), Version: state.Revision})
	}
	if isOutOfService(t.state.Closed) && !isOutOfService(state.Closed) {
		t.speed.Reset(now)
	}
	t.state = state
	t.speed = p.speeds.Target(now, t.node, incarnationOf(state))
}

// moveTarget moves an agent to the pool of the service that its target has joined
// and ends the runs it had for the previous service as lost.
func (c *Core) moveTarget(agent wire.Incarnation, from *pool, state *wire.TargetState) *pool {
	to := c.pool(state.Service)
	from.mu.Lock()
	t := from.targets[agent]
	if t != nil {
		t.noteReplacement(state.Target)
		c.retireTarget(c.env.Now(), from, t)
	}
	from.mu.Unlock()
	c.agentsMu.Lock()
	c.poolByAgent[agent] = to
	c.agentsMu.Unlock()
	if t != nil {
		to.mu.Lock()
		to.addTarget(t)
		t.speed = to.speeds.Target(c.env.Now(), t.node, incarnationOf(t.state))
		to.mu.Unlock()
	}
	return to
}

// send numbers a message and sends it to an agent. Every message renews the
// session, so it also stops the runs that must not go on. It confirms the ends that have
// been recorded.
func (c *Core) send(now time.Time, p *pool, t *target, m *wire.Orders) {
	if len(p.durable) > 0 && !c.ownsDurable(now) {
		m.Stops = append(m.Stops, t.stopDurableRuns()...)
	}
	if len(t.recordedEnds) > 0 {
		m.RecordedEnds = append(m.RecordedEnds, t.recordedEnds...)
		t.recordedEnds = nil
	}
	t.lastSequence++
	m.Sequence, m.ClockEcho = t.lastSequence, t.lastClock
	m.IdleRenewMS = c.idleRenewInterval(p).Milliseconds()
	m.CapacityEnforced = p.capacityEnforced
	t.waitingAnnounced = m.Waiting != nil
	t.lastSent = now
	c.env.Send(t.agent, m)
}

// checkTargets renews sessions, and ends the runs of agents that have been silent
// for so long that the runs can't be alive.
func (c *Core) checkTargets(now time.Time, p *pool) {
	c.keepContact(now, p)
	for _, t := range p.targetList {
		c.sendConfirmations(now, p, t)
		c.renewSession(now, p, t)
		if now.Sub(t.lastReceived) <= c.pauses.toleratedSilence(now) {
			continue
		}
		c.endRunsOfSilentAgent(now, p, t)
		if !t.connected && len(t.runs) == 0 {
			p.deleteTarget(t)
			if !t.retired {
				c.forgetAgent(t.agent)
			}
		}
	}
}
