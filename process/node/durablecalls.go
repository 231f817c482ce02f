package node

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/keeper"
)

var errLinkEnded = errors.New("the connection has ended")

// calls are the calls to the other side of a connection that have no answer yet.
type calls struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan wire.DurableReply
}

func (c *calls) add() (number uint64, answer <-chan wire.DurableReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = make(map[uint64]chan wire.DurableReply)
	}
	c.last++
	reply := make(chan wire.DurableReply, 1)
	c.waiting[c.last] = reply
	return c.last, reply
}

func (c *calls) remove(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

func (c *calls) answered(m *wire.DurableReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.waiting[m.Number]; reply != nil {
		reply <- *m
		delete(c.waiting, m.Number)
	}
}

// Name is that of the other entry.
func (l *processLink) Name() string { return l.name }

// Ask implements keeper.Peer.
func (l *processLink) Ask(ctx context.Context, call wire.DurableCall) (wire.DurableReply, error) {
	number, answer := l.calls.add()
	defer l.calls.remove(number)
	call.Number = number
	l.send(&call)
	select {
	case reply := <-answer:
		return reply, nil
	case <-l.ended:
		return wire.DurableReply{}, errors.Wrapf(errLinkEnded, "%s job %s at %s", call.Action, call.ID, l.name)
	case <-ctx.Done():
		return wire.DurableReply{}, errors.Wrapf(ctx.Err(), "%s job %s at %s", call.Action, call.ID, l.name)
	}
}

// serveDurable answers a call of another entry, in the background because the
// log takes its time.
func (l *processLink) serveDurable(call *wire.DurableCall) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		reply := l.entry.keeper.Serve(ctx, call)
		l.send(&reply)
	}()
	go func() {
		select {
		case <-l.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
}

// keeperPeers returns one connection to each entry that is connected, in the
// order of their names.
func (e *Entry) keeperPeers() []keeper.Peer {
	e.mu.Lock()
	byName := make(map[string]*processLink)
	for l := range e.peers {
		byName[l.name] = l
	}
	e.mu.Unlock()
	peers := make([]keeper.Peer, 0, len(byName))
	for _, l := range byName {
		peers = append(peers, l)
	}
	slices.SortFunc(peers, func(a, b keeper.Peer) int { return cmp.Compare(a.Name(), b.Name()) })
	return peers
}
