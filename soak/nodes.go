package soak

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/agent"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/process/entry"
	"github.com/azurerouter/azurerouter/process/fencing"
	"github.com/azurerouter/azurerouter/version/config"
)

const (
	serviceName        = "card"
	teamName           = "shop"
	targetSlots        = 4
	agentBacklog       = 2
	entryTickInterval  = 5 * time.Millisecond
	agentTickInterval  = 50 * time.Millisecond
	logPollInterval    = 20 * time.Millisecond
	fencedPollInterval = 20 * time.Millisecond
	restartDelayMin    = 200 * time.Millisecond
	restartDelayMax    = 3 * time.Second
)

// entryNode is one entry instance. A new process replaces its process when that
// dies.
type entryNode struct {
	*process
	core *entry.Core
	// agents and peers hold the remote ends of the connections to agents and to
	// other entries, to which messages are sent.
	agents map[wire.Incarnation]*connEnd
	peers  map[wire.Incarnation]*connEnd
	// calls holds the unanswered calls.
	calls    map[*call]bool
	draining bool
}

func newEntryNode(sim *simulation, name string) *entryNode {
	n := &entryNode{}
	sim.entries = append(sim.entries, n)
	n.boot(sim, name)
	return n
}

// boot starts a new incarnation.
func (n *entryNode) boot(sim *simulation, name string) {
	// Pending events of the earlier incarnation refer to its process value,
	// which is not alive, so they have no effect.
	n.process = &process{sim: sim, name: name, incarnation: wire.Incarnation(sim.random.Uint64() | 1), alive: true}
	n.agents = make(map[wire.Incarnation]*connEnd)
	n.peers = make(map[wire.Incarnation]*connEnd)
	n.calls = make(map[*call]bool)
	n.draining = false
	merged, _ := config.Merge([]config.File{{Name: "settings.json", Version: 1, Content: []byte(configFile)}})
	env := &entryEnv{node: n, incarnation: n.incarnation}
	n.core = entry.NewCore(env, n.incarnation, sim.options.Entries, sim.random.Uint64())
	n.core.Configure(merged.Config)
	sim.announceEntries()
	n.runEvery(entryTickInterval, "tick", n.core.Tick)
	n.runEvery(logPollInterval, "poll", func() { sim.log.poll(n) })
	n.runEvery(dialInterval, "dial", n.dialPeers)
	n.runEvery(fencedPollInterval, "fenced", n.restartIfFenced)
}

// configFile gives the team a quota that bursts of calls exceed.
const configFile = `{"services": {"` + serviceName + `": {}}, "teams": {"` + teamName + `": {"starts_per_second": 90, "burst": 400}}}`

// announceEntries passes the list of entries to every live entry, as the members
// stream does.
func (sim *simulation) announceEntries() {
	var incarnations []wire.Incarnation
	for _, e := range sim.entries {
		incarnations = append(incarnations, e.incarnation)
	}
	for _, e := range sim.entries {
		if e.alive {
			e.core.SetEntries(incarnations)
		}
	}
}

// restartIfFenced drains an entry that an agent has fenced; it starts again after
// the drain.
func (n *entryNode) restartIfFenced() {
	if n.core.Fenced() && !n.draining {
		n.sim.drainEntry(n)
	}
}

// dialPeers connects to the other entries that it is not connected to. Of two
// entries, the one with the lower incarnation dials.
func (n *entryNode) dialPeers() {
	for _, other := range n.sim.entries {
		if _, connected := n.peers[other.incarnation]; connected || !reachable(n.process, other.process) || n.incarnation >= other.incarnation {
			continue
		}
		n.sim.connectEntries(n, other)
	}
}

// reachable reports whether two processes can open a connection.
func reachable(a, b *process) bool {
	return a != b && a.alive && b.alive && !a.paused && !b.paused && !a.partitioned && !b.partitioned
}

// connectEntries opens a connection between two entries.
func (sim *simulation) connectEntries(a, b *entryNode) {
	endA, endB := a.newPeerEnd(b.incarnation), b.newPeerEnd(a.incarnation)
	sim.connect(endA, endB)
	a.peers[b.incarnation], b.peers[a.incarnation] = endB, endA
	a.core.EntryConnected(wire.Hello{Role: wire.RoleEntry, Incarnation: b.incarnation, Name: b.name})
	b.core.EntryConnected(wire.Hello{Role: wire.RoleEntry, Incarnation: a.incarnation, Name: a.name})
}

// newPeerEnd returns the end at n of a connection to another entry.
func (n *entryNode) newPeerEnd(other wire.Incarnation) *connEnd {
	core := n.core
	end := &connEnd{process: n.process}
	end.onMessage = func(m wire.Message) { core.HandleEntryMessage(other, m) }
	end.onClose = func() {
		if remote, ok := n.peers[other]; ok && remote.conn == end.conn {
			delete(n.peers, other)
			core.EntryDisconnected(other)
		}
	}
	return end
}

// entryEnv is the environment of one entry incarnation. It implements entry.Env.
type entryEnv struct {
	node        *entryNode
	incarnation wire.Incarnation
}

func (e *entryEnv) Now() time.Time { return e.node.sim.now }

func (e *entryEnv) SendAgent(id wire.Incarnation, m wire.Message) { e.send(e.node.agents[id], m) }

func (e *entryEnv) SendEntry(id wire.Incarnation, m wire.Message) { e.send(e.node.peers[id], m) }

func (e *entryEnv) send(to *connEnd, m wire.Message) {
	if to == nil || e.node.incarnation != e.incarnation || to.conn.closed {
		return
	}
	e.node.sim.send(to, m)
	e.node.sim.maybeDuplicate(e.node.name, to, m)
}

func (e *entryEnv) Append(batch claims.Batch) { e.node.sim.log.append(e.node, batch) }

func (e *entryEnv) ReportViolation(guarantee, step, peer, detail string) {
	e.node.sim.recordViolation("%s asserted at %s: %s %s: %s", guarantee, e.node.name, step, peer, detail)
}

// agentNode is one agent instance with its target. A new process replaces its
// process when that dies.
type agentNode struct {
	*process
	core *agent.Core
	// entries holds the remote ends of the connections to entries.
	entries map[wire.Incarnation]*connEnd
	leaving bool
	leftAt  time.Time
	// remainingStarts is the number of task starts still permitted after the
	// agent left. It begins as the number of tasks that the agent held then.
	remainingStarts int
}

func newAgentNode(sim *simulation, name string) *agentNode {
	n := &agentNode{}
	n.boot(sim, name)
	return n
}

// boot starts a new incarnation.
func (n *agentNode) boot(sim *simulation, name string) {
	n.process = &process{sim: sim, name: name, incarnation: wire.Incarnation(sim.random.Uint64() | 1), alive: true}
	n.entries = make(map[wire.Incarnation]*connEnd)
	n.leaving = false
	env := &agentEnv{node: n, incarnation: n.incarnation}
	n.core = agent.NewCore(env, agent.Options{Incarnation: n.incarnation, Slots: targetSlots, Backlog: agentBacklog, Limits: fencing.DefaultLimits})
	n.runEvery(agentTickInterval, "tick", n.core.Tick)
	n.runEvery(dialInterval, "dial", n.dialEntries)
}

// dialEntries connects to the entries that the agent is not connected to.
func (n *agentNode) dialEntries() {
	for _, e := range n.sim.entries {
		if _, connected := n.entries[e.incarnation]; !connected && reachable(n.process, e.process) {
			n.sim.connectAgent(n, e)
		}
	}
}

// connectAgent opens a connection between an agent and an entry.
func (sim *simulation) connectAgent(a *agentNode, e *entryNode) {
	agentCore, entryCore := a.core, e.core
	agentInc, entryInc := a.incarnation, e.incarnation
	atAgent := &connEnd{process: a.process}
	atEntry := &connEnd{process: e.process}
	sim.connect(atAgent, atEntry)
	atAgent.onMessage = func(m wire.Message) { agentCore.Received(entryInc, m) }
	atEntry.onMessage = func(m wire.Message) { entryCore.HandleAgentMessage(agentInc, m) }
	atAgent.onClose = func() {
		if remote, ok := a.entries[entryInc]; ok && remote == atEntry {
			delete(a.entries, entryInc)
			agentCore.Disconnected(entryInc)
		}
	}
	atEntry.onClose = func() {
		if remote, ok := e.agents[agentInc]; ok && remote == atAgent {
			delete(e.agents, agentInc)
			entryCore.AgentDisconnected(agentInc)
		}
	}
	a.entries[entryInc], e.agents[agentInc] = atEntry, atAgent
	agentCore.Connected(entryInc)
	entryCore.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: agentInc, Name: a.name, Service: serviceName,
		Zone: "zone-" + a.name[len(a.name)-1:], Slots: targetSlots})
}

// agentEnv is the environment of one agent incarnation. It implements agent.Env.
type agentEnv struct {
	node        *agentNode
	incarnation wire.Incarnation
}

func (e *agentEnv) Now() time.Time { return e.node.sim.now }

func (e *agentEnv) Send(id wire.Incarnation, m wire.Message) {
	to := e.node.entries[id]
	if to == nil || e.node.incarnation != e.incarnation || to.conn.closed {
		return
	}
	e.node.sim.send(to, m)
	e.node.sim.maybeDuplicate(e.node.name, to, m)
}

func (e *agentEnv) Disconnect(id wire.Incarnation) {
	if to := e.node.entries[id]; to != nil {
		e.node.sim.close(to.conn)
	}
}

func (e *agentEnv) CallTarget(call target.Call, done func(target.Result)) func() {
	if monitor := e.node.sim.cancelMonitor; monitor != nil {
		return monitor.runTask(e.node, call, done)
	}
	return e.node.sim.runTask(e.node, call, done)
}

func (e *agentEnv) ReportConfigError(entry wire.Incarnation, err error) {
	e.node.sim.recordViolation("%s rejected a configuration of %s: %v", e.node.name, entry, err)
}

func (e *agentEnv) ReportViolation(guarantee, step, peer, detail string) {
	e.node.sim.recordViolation("%s asserted at %s: %s %s: %s", guarantee, e.node.name, step, peer, detail)
}
