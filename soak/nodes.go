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
	serviceName  = "card"
	teamName     = "shop"
	targetSlots  = 4
	agentBacklog = 2
	entryTick    = 5 * time.Millisecond
	agentTick    = 50 * time.Millisecond
	logPoll      = 20 * time.Millisecond
	fencedPoll   = 20 * time.Millisecond
	restartMin   = 200 * time.Millisecond
	restartMax   = 3 * time.Second
)

// entryNode is one entry instance: a process that is replaced when it dies.
type entryNode struct {
	*process
	core   *entry.Core
	agents map[wire.Incarnation]*connEnd
	peers  map[wire.Incarnation]*connEnd
	// calls are the calls that have not been answered.
	calls    map[*call]bool
	draining bool
}

func newEntryNode(w *world, name string) *entryNode {
	n := &entryNode{}
	w.entries = append(w.entries, n)
	n.boot(w, name)
	return n
}

// boot starts a fresh incarnation.
func (n *entryNode) boot(w *world, name string) {
	// Events of the earlier incarnation refer to its process value and die
	// with it.
	n.process = &process{world: w, name: name, inc: wire.Incarnation(w.random.Uint64() | 1), alive: true}
	n.agents = make(map[wire.Incarnation]*connEnd)
	n.peers = make(map[wire.Incarnation]*connEnd)
	n.calls = make(map[*call]bool)
	n.draining = false
	merged, _ := config.Merge([]config.File{{Name: "settings.json", Version: 1, Content: []byte(settings)}})
	env := &entryEnv{node: n, inc: n.inc}
	n.core = entry.NewCore(env, n.inc, w.options.Entries, w.random.Uint64())
	n.core.Configure(merged.Config)
	w.announce()
	n.every(entryTick, "tick", n.core.Tick)
	n.every(logPoll, "poll", func() { w.log.poll(n) })
	n.every(dialInterval, "dial", n.dialPeers)
	n.every(fencedPoll, "fenced", n.restartIfFenced)
}

// settings give the team a quota that bursts of calls exceed.
const settings = `{"services": {"` + serviceName + `": {}}, "teams": {"` + teamName + `": {"starts_per_second": 90, "burst": 400}}}`

// announce gives every live entry the list of entries, as the members stream
// does.
func (w *world) announce() {
	var incarnations []wire.Incarnation
	for _, e := range w.entries {
		incarnations = append(incarnations, e.inc)
	}
	for _, e := range w.entries {
		if e.alive {
			e.core.SetEntries(incarnations)
		}
	}
}

func (n *entryNode) restartIfFenced() {
	if n.core.FencedOff() && !n.draining {
		n.world.drainEntry(n)
	}
}

// dialPeers connects to the other entries; the lower incarnation dials.
func (n *entryNode) dialPeers() {
	for _, other := range n.world.entries {
		if _, connected := n.peers[other.inc]; connected || !reachable(n.process, other.process) || n.inc >= other.inc {
			continue
		}
		n.world.joinEntries(n, other)
	}
}

func reachable(a, b *process) bool {
	return a != b && a.alive && b.alive && !a.paused && !b.paused && !a.cut && !b.cut
}

func (w *world) joinEntries(a, b *entryNode) {
	endA, endB := a.peerEnd(b.inc), b.peerEnd(a.inc)
	w.connect(endA, endB)
	a.peers[b.inc], b.peers[a.inc] = endB, endA
	a.core.EntryConnected(wire.Hello{Role: wire.RoleEntry, Incarnation: b.inc, Name: b.name})
	b.core.EntryConnected(wire.Hello{Role: wire.RoleEntry, Incarnation: a.inc, Name: a.name})
}

// peerEnd is the end at n of a connection to another entry. The maps hold the
// far end, to which messages are sent.
func (n *entryNode) peerEnd(other wire.Incarnation) *connEnd {
	core := n.core
	end := &connEnd{process: n.process}
	end.receive = func(m wire.Message) { core.EntryReceived(other, m) }
	end.ended = func() {
		if far, ok := n.peers[other]; ok && far.conn == end.conn {
			delete(n.peers, other)
			core.EntryDisconnected(other)
		}
	}
	return end
}

// entryEnv is the surroundings of one entry incarnation.
type entryEnv struct {
	node *entryNode
	inc  wire.Incarnation
}

func (e *entryEnv) Now() time.Time { return e.node.world.now }

func (e *entryEnv) SendAgent(id wire.Incarnation, m wire.Message) { e.send(e.node.agents[id], m) }

func (e *entryEnv) SendEntry(id wire.Incarnation, m wire.Message) { e.send(e.node.peers[id], m) }

func (e *entryEnv) send(to *connEnd, m wire.Message) {
	if to == nil || e.node.inc != e.inc || to.conn.closed {
		return
	}
	e.node.world.send(to, m)
	e.node.world.duplicate(e.node.name, to, m)
}

func (e *entryEnv) Append(batch claims.Batch) { e.node.world.log.append(e.node, batch) }

func (e *entryEnv) Violated(guarantee, step, peer, detail string) {
	e.node.world.violated("%s asserted at %s: %s %s: %s", guarantee, e.node.name, step, peer, detail)
}

// agentNode is one agent instance beside its target.
type agentNode struct {
	*process
	core    *agent.Core
	entries map[wire.Incarnation]*connEnd
	leaving bool
	leftAt  time.Time
	// accepted bounds the starts after it left: what it held then.
	accepted int
}

func newAgentNode(w *world, name string) *agentNode {
	n := &agentNode{}
	n.boot(w, name)
	return n
}

func (n *agentNode) boot(w *world, name string) {
	n.process = &process{world: w, name: name, inc: wire.Incarnation(w.random.Uint64() | 1), alive: true}
	n.entries = make(map[wire.Incarnation]*connEnd)
	n.leaving = false
	env := &agentEnv{node: n, inc: n.inc}
	n.core = agent.NewCore(env, agent.Options{Incarnation: n.inc, Slots: targetSlots, Backlog: agentBacklog, Limits: fencing.DefaultLimits})
	n.every(agentTick, "tick", n.core.Tick)
	n.every(dialInterval, "dial", n.dialEntries)
}

func (n *agentNode) dialEntries() {
	for _, e := range n.world.entries {
		if _, connected := n.entries[e.inc]; !connected && reachable(n.process, e.process) {
			n.world.joinAgent(n, e)
		}
	}
}

func (w *world) joinAgent(a *agentNode, e *entryNode) {
	agentCore, entryCore := a.core, e.core
	agentInc, entryInc := a.inc, e.inc
	atAgent := &connEnd{process: a.process}
	atEntry := &connEnd{process: e.process}
	w.connect(atAgent, atEntry)
	atAgent.receive = func(m wire.Message) { agentCore.Received(entryInc, m) }
	atEntry.receive = func(m wire.Message) { entryCore.AgentReceived(agentInc, m) }
	atAgent.ended = func() {
		if far, ok := a.entries[entryInc]; ok && far == atEntry {
			delete(a.entries, entryInc)
			agentCore.Disconnected(entryInc)
		}
	}
	atEntry.ended = func() {
		if far, ok := e.agents[agentInc]; ok && far == atAgent {
			delete(e.agents, agentInc)
			entryCore.AgentDisconnected(agentInc)
		}
	}
	a.entries[entryInc], e.agents[agentInc] = atEntry, atAgent
	agentCore.Connected(entryInc)
	entryCore.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: agentInc, Name: a.name, Service: serviceName,
		Zone: "zone-" + a.name[len(a.name)-1:], Slots: targetSlots})
}

// agentEnv is the surroundings of one agent incarnation.
type agentEnv struct {
	node *agentNode
	inc  wire.Incarnation
}

func (e *agentEnv) Now() time.Time { return e.node.world.now }

func (e *agentEnv) Send(id wire.Incarnation, m wire.Message) {
	to := e.node.entries[id]
	if to == nil || e.node.inc != e.inc || to.conn.closed {
		return
	}
	e.node.world.send(to, m)
	e.node.world.duplicate(e.node.name, to, m)
}

func (e *agentEnv) Disconnect(id wire.Incarnation) {
	if to := e.node.entries[id]; to != nil {
		e.node.world.close(to.conn)
	}
}

func (e *agentEnv) Run(call target.Call, done func(target.Result)) func() {
	if watch := e.node.world.cancels; watch != nil {
		return watch.run(e.node, call, done)
	}
	return e.node.world.runTask(e.node, call, done)
}

func (e *agentEnv) Violated(guarantee, step, peer, detail string) {
	e.node.world.violated("%s asserted at %s: %s %s: %s", guarantee, e.node.name, step, peer, detail)
}
