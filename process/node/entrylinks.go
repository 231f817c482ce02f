package node

import (
	"context"

	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// processLink is the connection to an agent or to another entry.
type processLink struct {
	entry *Entry
	conn  *stream.Conn
	agent wire.Incarnation
	// name is that of the other entry, once it has said it.
	name  string
	ended chan struct{}
	heard bool
	calls calls
}

func (l *processLink) send(m wire.Message) {
	if err := l.conn.Send(m); err != nil {
		l.entry.observer.Log.Warn().Err(err).Str("step", "send").Msg("link closed")
	}
}

// opened takes a connection that another process has dialled.
func (e *Entry) opened(c *stream.Conn) *processLink {
	l := &processLink{entry: e, ended: make(chan struct{})}
	return l.greet(c)
}

// greet tells the other side of a new connection who is there.
func (l *processLink) greet(c *stream.Conn) *processLink {
	e := l.entry
	l.conn = c
	l.send(&wire.EntryHello{Entry: e.self, Name: e.options.Node, Zone: e.options.Zone, Entries: e.members()})
	return l
}

// members returns the entries that this one knows, itself included.
func (e *Entry) members() []wire.EntryMember {
	return append(e.dialer.members(), wire.EntryMember{Name: e.options.Node, Addr: e.options.AdvertiseAddr})
}

// Received handles a message of an agent or another entry.
func (l *processLink) Received(m wire.Message) {
	l.heard = true
	switch m := m.(type) {
	case *wire.Enroll:
		l.entry.enrolled(l, m)
	case *wire.AgentReport:
		if l.agent != 0 {
			l.entry.Core.Received(l.agent, m)
		}
	case *wire.EntryHello:
		l.entry.peerFound(l, m)
	case *wire.EntryMembers:
		l.entry.learn(m.Entries)
	case *wire.DurableCall:
		l.serveDurable(m)
	case *wire.DurableReply:
		l.calls.answered(m)
	case *wire.RoutingUpdate:
		l.entry.apply(m.Config, "peer "+l.conn.RemoteAddr())
	}
}

func (e *Entry) enrolled(l *processLink, m *wire.Enroll) {
	l.agent = m.Agent
	// No order may go out on the new connection before the core has compared
	// what the agent holds with what was ordered: it would count as lost and
	// run twice.
	e.Core.Disconnected(m.Agent, errReplaced)
	e.mu.Lock()
	before := e.agents[m.Agent]
	e.agents[m.Agent] = l
	e.mu.Unlock()
	if before != nil {
		before.conn.Close()
	}
	e.Core.Enrolled(m)
}

func (e *Entry) peerFound(l *processLink, m *wire.EntryHello) {
	e.mu.Lock()
	e.peers[l], l.name = true, m.Name
	e.mu.Unlock()
	e.observer.Log.Info().Str("step", "entry").Str("peer", m.Name).Str("outcome", "connected").Msg("entry found")
	e.learn(m.Entries)
	if table := e.Table(); table != nil {
		l.send(&wire.RoutingUpdate{Config: table.Config})
	}
}

// learn dials entries that were not known and passes them to the agents.
func (e *Entry) learn(members []wire.EntryMember) {
	if !e.dialer.add(members) {
		return
	}
	update := &wire.EntryMembers{Entries: e.members()}
	for _, l := range e.links() {
		l.send(update)
	}
}

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

// Closed forgets the connection.
func (l *processLink) Closed(err error) {
	defer close(l.ended)
	e := l.entry
	e.mu.Lock()
	delete(e.peers, l)
	current := l.agent != 0 && e.agents[l.agent] == l
	if current {
		delete(e.agents, l.agent)
	}
	e.mu.Unlock()
	if current {
		e.Core.Disconnected(l.agent, err)
	}
}

// connect dials another entry.
func (e *Entry) connect(ctx context.Context, addr string) bool {
	link := &processLink{entry: e, ended: make(chan struct{})}
	dialled := holdLink(ctx, addr, link.ended, func(c *stream.Conn) stream.Handler { return link.greet(c) })
	return dialled && link.heard
}

// pulsePeers keeps the connections to other entries from being idle.
func (e *Entry) pulsePeers() {
	members := e.members()
	e.mu.Lock()
	defer e.mu.Unlock()
	pulse := &wire.EntryMembers{}
	if e.pulses++; e.pulses%pulsesPerMembers == 0 {
		pulse.Entries = members
	}
	for l := range e.peers {
		l.send(pulse)
	}
}
