package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/keeper"
)

var errConnectionClosed = errors.New("the connection has ended")

// pendingCalls holds the calls to the entry at the other end of a connection that
// have not been answered. The zero value is empty.
type pendingCalls struct {
	mu         sync.Mutex
	lastNumber uint64
	handlers   map[uint64]func(wire.JobReply)
}

// add assigns a number to a new call, whose reply is passed to handle.
func (c *pendingCalls) add(handle func(wire.JobReply)) (number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handlers == nil {
		c.handlers = make(map[uint64]func(wire.JobReply))
	}
	c.lastNumber++
	c.handlers[c.lastNumber] = handle
	return c.lastNumber
}

// any reports whether a call has not been answered.
func (c *pendingCalls) any() bool { return c.count() > 0 }

// count returns the number of calls that have not been answered.
func (c *pendingCalls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.handlers)
}

func (c *pendingCalls) remove(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.handlers, number)
}

// deliver passes a reply to the call with its number. A reply to a call that is no
// longer pending is dropped.
func (c *pendingCalls) deliver(m *wire.JobReply) {
	c.mu.Lock()
	handle := c.handlers[m.Number]
	delete(c.handlers, m.Number)
	c.mu.Unlock()
	if handle != nil {
		handle(*m)
	}
}

// Name returns the name of the other entry. It implements keeper.Peer.
func (l *processLink) Name() string { return l.name }

// Call sends a call to the other entry and waits for the reply. It returns an error
// if the connection or the context ends first. It implements keeper.Peer.
func (l *processLink) Call(ctx context.Context, call wire.JobCall) (wire.JobReply, error) {
	answer := make(chan wire.JobReply, 1)
	number := l.pending.add(func(reply wire.JobReply) { answer <- reply })
	defer l.pending.remove(number)
	call.Number = number
	l.send(&call)
	select {
	case reply := <-answer:
		return reply, nil
	case <-l.done:
		return wire.JobReply{}, errors.Wrapf(errConnectionClosed, "%s job %s at %s", call.Action, call.ID, l.name)
	case <-ctx.Done():
		return wire.JobReply{}, errors.Wrapf(ctx.Err(), "%s job %s at %s", call.Action, call.ID, l.name)
	}
}

// serveJobCall answers a call from another entry. Calls about durable jobs run in the
// background, because the log may take long, which would delay the following messages.
func (l *processLink) serveJobCall(call *wire.JobCall) {
	if call.Action == wire.RunJob {
		l.serveForwarded(call)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		reply := l.entry.serveCall(ctx, call)
		l.send(&reply)
	}()
	go func() {
		select {
		case <-l.done:
			cancel()
		case <-ctx.Done():
		}
	}()
}

func (e *Entry) serveCall(ctx context.Context, call *wire.JobCall) wire.JobReply {
	if call.Action == wire.WithdrawJob {
		ctx, cancel := context.WithTimeout(ctx, withdrawReplyDelay)
		defer cancel()
		return e.serveWithdrawal(ctx, call)
	}
	return e.keeper.ServeForwarded(ctx, call)
}

// keeperPeers returns one connection to each connected entry, sorted by the names of
// the entries.
func (e *Entry) keeperPeers() []keeper.Peer {
	var peers []keeper.Peer
	for _, l := range e.peerLinks() {
		peers = append(peers, l)
	}
	slices.SortFunc(peers, func(a, b keeper.Peer) int { return cmp.Compare(a.Name(), b.Name()) })
	return peers
}

// peerLinks returns one connection to each connected entry, the one on which it was heard
// last: two entries often have two connections, of which one may be silent.
func (e *Entry) peerLinks() []*processLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	byName := make(map[string]*processLink)
	for l := range e.peers {
		if known := byName[l.name]; known == nil || l.lastHeard.Load() > known.lastHeard.Load() {
			byName[l.name] = l
		}
	}
	return slices.Collect(maps.Values(byName))
}
