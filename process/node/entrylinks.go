package node

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/observe"
)

// processLink is the connection to an agent or to another entry.
type processLink struct {
	entry *Entry
	conn  *stream.Conn
	// number orders the connections that other processes have opened by the time of their
	// acceptance; zero for a connection that this entry has dialled.
	number uint64
	// addr is the address that was dialled, or empty for a connection that another
	// process has opened.
	addr string
	// agent is the incarnation of the agent after it has enrolled, otherwise zero.
	agent wire.Incarnation
	// name is the name of the other entry after its hello, otherwise empty.
	name string
	// done is closed when the connection has ended.
	done chan struct{}
	// receivedAny is set when the first message has been received.
	receivedAny bool
	// lastHeard is when the last message was received, in nanoseconds of Unix time.
	lastHeard atomic.Int64
	pending   pendingCalls
	// spare is the processor time that the other entry has to spare, as it has reported, in
	// thousandths of a core.
	spare atomic.Int64
	// served are the jobs that this entry carries out for the other one.
	served servedJobs
}

// LastHeard returns when the process at the other end last sent a message.
func (l *processLink) LastHeard() time.Time { return time.Unix(0, l.lastHeard.Load()) }

// send queues a message. If the queue of the connection cannot take it, the
// connection is closed, which Closed then handles.
func (l *processLink) send(m wire.Message) {
	l.entry.observer.CountSent(m)
	if err := l.conn.Send(m); err != nil {
		l.entry.observer.Log.Warn().Err(err).Str("step", "send").Msg("message not queued, connection closed")
	}
}

// acceptLink returns the link for a connection that another process has opened.
func (e *Entry) acceptLink(c *stream.Conn) *processLink {
	l := &processLink{entry: e, number: e.lastLink.Add(1), done: make(chan struct{})}
	return l.sendHello(c)
}

// sendHello sets the connection of the link and sends the name, the incarnation and
// the known entries of this entry to the process at its other end.
func (l *processLink) sendHello(c *stream.Conn) *processLink {
	e := l.entry
	l.conn = c
	members := e.members()
	l.send(&wire.EntryHello{Entry: e.incarnation, Name: e.options.Node, Zone: e.options.Zone, Entries: members,
		PauseMS: heartbeatPause(len(members)).Milliseconds(), Evacuation: e.knownEvacuation()})
	return l
}

// members returns the known entries, including this one.
func (e *Entry) members() []wire.EntryMember {
	return append(e.dialer.members(), wire.EntryMember{Name: e.options.Node, Addr: e.options.AdvertiseAddr})
}

// Received handles a message from an agent or another entry.
func (l *processLink) Received(m wire.Message) {
	l.entry.observer.CountReceived(m)
	if !l.receivedAny && l.addr != "" {
		l.entry.dialer.setReachable(l.addr, true)
	}
	l.receivedAny = true
	l.lastHeard.Store(clock.Now().UnixNano())
	kind := observe.WorkEntries
	if l.agent != 0 {
		kind = observe.WorkReports
	}
	defer l.entry.work.Add(kind, time.Now())
	switch m := m.(type) {
	case *wire.Enroll:
		l.entry.handleEnroll(l, m)
	case *wire.AgentReport:
		if l.agent != 0 {
			l.entry.Core.HandleReport(l.agent, m)
		}
	case *wire.EntryHello:
		l.entry.handleEntryHello(l, m)
	case *wire.EntryMembers:
		l.conn.SetMessagePause(time.Duration(m.PauseMS) * time.Millisecond)
		l.entry.addMembers(m.Entries)
		l.entry.dialer.noteStarted(m.Started)
		l.entry.handleEvacuation(m.Evacuation)
		if m.Load != nil {
			l.spare.Store(int64(m.Load.SpareMilliCPU))
		}
	case *wire.JobCall:
		l.serveJobCall(m)
	case *wire.JobReply:
		l.pending.deliver(m)
	case *wire.RoutingUpdate:
		l.entry.applyConfig(m.Config, "peer "+l.conn.RemoteAddr())
	}
}

// handleEnroll registers the connection of an agent. A second connection of the same
// agent replaces the first; an agent enrolls again on the same connection after its session
// has ended. An enrolment on an earlier connection than the last one of the
// instance was delayed in this process: it lists neither the runs that were ordered since nor
// those of the agent that has replaced its sender, which would count as lost.
func (e *Entry) handleEnroll(l *processLink, m *wire.Enroll) {
	e.enrollMu.Lock()
	defer e.enrollMu.Unlock()
	if l.number < e.enrolledLinks[m.Node] {
		e.observer.Log.Info().Str("step", "agent").Str("peer", m.Node).Uint64("connection", l.number).Str("outcome", "ignored").Msg("enrolment on an earlier connection")
		l.conn.Close()
		return
	}
	e.enrolledLinks[m.Node] = l.number
	cause := errAgentReconnected
	if l.agent == m.Agent {
		cause = errSessionResumed
	}
	l.agent = m.Agent
	// No order may be sent on the new connection before the core has compared the
	// runs that the agent reports with those that were ordered: a run ordered in
	// between would be missing in the report, count as lost and be started twice.
	e.Core.HandleDisconnect(m.Agent, cause)
	e.mu.Lock()
	previous := e.agents[m.Agent]
	e.agents[m.Agent] = l
	e.mu.Unlock()
	if previous != nil && previous != l {
		previous.conn.Close()
	}
	e.Core.HandleEnroll(m)
}

// handleEntryHello registers the connection of another entry and sends it the
// routing configuration in force.
func (e *Entry) handleEntryHello(l *processLink, m *wire.EntryHello) {
	l.conn.SetMessagePause(time.Duration(m.PauseMS) * time.Millisecond)
	e.mu.Lock()
	e.peers[l], l.name = true, m.Name
	started := e.peerIncarnations[m.Name] != m.Entry
	e.peerIncarnations[m.Name] = m.Entry
	e.mu.Unlock()
	e.observer.Log.Info().Str("step", "entry").Str("peer", m.Name).Str("outcome", "connected").Msg("connected to entry")
	e.addMembers(m.Entries)
	if started {
		e.announceStarted(m)
	}
	e.handleEvacuation(m.Evacuation)
	if table := e.RoutingTable(); table != nil {
		l.send(&wire.RoutingUpdate{Config: table.Config})
	}
}

// addMembers starts to dial the entries that were not known. If there are any, it
// sends the new list of entries to all connected agents and entries.
func (e *Entry) addMembers(members []wire.EntryMember) {
	if !e.dialer.add(members) {
		return
	}
	entries := e.members()
	e.Core.SetEntryCount(min(len(entries), maxSelected))
	update := &wire.EntryMembers{Entries: entries, PauseMS: heartbeatPause(len(entries)).Milliseconds()}
	for _, l := range e.links() {
		l.send(update)
	}
}

// announceStarted tells the connected agents and entries that another entry has started,
// so that those that have lost it dial it at once. An entry that has itself just started
// does not: after a restart of all processes everyone dials all entries at short intervals
// anyway, and the messages would grow with the product of entries and agents.
func (e *Entry) announceStarted(hello *wire.EntryHello) {
	if time.Since(e.started) < fastRedialPeriod {
		return
	}
	var addrs []string
	for _, m := range hello.Entries {
		if m.Name == hello.Name {
			addrs = append(addrs, m.Addr)
		}
	}
	update := &wire.EntryMembers{PauseMS: heartbeatPause(len(e.members())).Milliseconds(), Started: addrs}
	for _, l := range e.links() {
		l.send(update)
	}
}

// entryLinks returns the connections to other entries.
func (e *Entry) entryLinks() []*processLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.peers))
}

// links returns the connections to agents and other entries.
func (e *Entry) links() []*processLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	var links []*processLink
	for _, l := range e.agents {
		links = append(links, l)
	}
	for l := range e.peers {
		links = append(links, l)
	}
	return links
}

// Closed removes the connection, unless a newer one has replaced it already.
func (l *processLink) Closed(err error) {
	e := l.entry
	defer e.forwarder.giveUp(l)
	defer l.endServed()
	defer close(l.done)
	// An enrolment on the next connection must not come between the two halves, or else the
	// agent would count as disconnected although it is connected.
	e.enrollMu.Lock()
	defer e.enrollMu.Unlock()
	e.mu.Lock()
	delete(e.peers, l)
	current := l.agent != 0 && e.agents[l.agent] == l
	if current {
		delete(e.agents, l.agent)
	}
	e.mu.Unlock()
	if current {
		e.Core.HandleDisconnect(l.agent, err)
	}
}

// dialEntry dials another entry and returns after the connection has ended. It
// reports whether the other entry has sent a message.
func (e *Entry) dialEntry(ctx context.Context, addr string) bool {
	link := &processLink{entry: e, addr: addr, done: make(chan struct{})}
	dialled := dialAndWait(ctx, addr, link.done, func(c *stream.Conn) stream.Handler { return link.sendHello(c) })
	return dialled && link.receivedAny
}

// heartbeatPause returns the pause between two messages to another entry, of which
// there are entries in all.
func heartbeatPause(entries int) time.Duration {
	return time.Duration(1+entries/entriesPerHeartbeat) * heartbeatInterval
}

// sendHeartbeats sends a message to each connected entry when it is due, see
// heartbeatInterval. It is called once in heartbeatInterval.
func (e *Entry) sendHeartbeats() {
	members := e.members()
	e.Core.SetEntryCount(min(len(members), maxSelected))
	pause := heartbeatPause(len(members))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heartbeatTicks++
	period := uint64(pause / heartbeatInterval)
	if e.heartbeatTicks%period != 0 {
		return
	}
	heartbeat := &wire.EntryMembers{PauseMS: pause.Milliseconds(), Load: e.forwarder.load()}
	if e.heartbeatTicks/period%heartbeatsPerMemberList == 0 {
		heartbeat.Entries = members
	}
	for l := range e.peers {
		l.send(heartbeat)
	}
}
