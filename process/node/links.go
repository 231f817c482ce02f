// Package node runs entries and agents as processes on instances of the
// platform: it connects the decisions of packages dispatch and runner to the
// network, the clock and the platform's adapter.
package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// Times of the connections to entries.
const (
	// redialFast is the pause between two dials in the time redialFastFor after
	// an entry was last reached: after a restart of everything callers are
	// refused until the agents have found the entries.
	redialFast    = 50 * time.Millisecond
	redialFastFor = 3 * time.Second
	// redialSlow is the pause after that.
	redialSlow = 250 * time.Millisecond
	// forgetAfter is when an entry that can't be reached is no longer dialled,
	// unless the settings name it.
	forgetAfter = time.Minute
)

// dialer keeps one connection to each known entry.
type dialer struct {
	self string
	// connect dials an entry and returns after the connection has ended. It
	// reports whether the connection was established.
	connect func(ctx context.Context, addr string) bool
	log     zerolog.Logger

	mu    sync.Mutex
	known map[string]wire.EntryMember
	seeds map[string]bool
	ctx   context.Context
	wait  sync.WaitGroup
}

func newDialer(self string, seeds []string, log zerolog.Logger, connect func(context.Context, string) bool) *dialer {
	d := &dialer{self: self, connect: connect, log: log, known: make(map[string]wire.EntryMember), seeds: make(map[string]bool)}
	for _, seed := range seeds {
		d.seeds[seed] = true
	}
	return d
}

// run dials until the context ends.
func (d *dialer) run(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	var seeds []wire.EntryMember
	for seed := range d.seeds {
		seeds = append(seeds, wire.EntryMember{Addr: seed})
	}
	d.add(seeds)
	<-ctx.Done()
	d.wait.Wait()
}

// add begins to dial the entries that are not known yet. It reports whether
// there were any.
func (d *dialer) add(members []wire.EntryMember) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := false
	for _, m := range members {
		if m.Addr == "" || m.Addr == d.self || d.ctx == nil {
			continue
		}
		before, known := d.known[m.Addr]
		if known {
			if before.Name == "" {
				d.known[m.Addr] = m
			}
			continue
		}
		fresh = true
		d.known[m.Addr] = m
		d.wait.Add(1)
		go d.keep(d.ctx, m.Addr)
	}
	return fresh
}

// members returns the known entries.
func (d *dialer) members() []wire.EntryMember {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := make([]wire.EntryMember, 0, len(d.known))
	for _, m := range d.known {
		members = append(members, m)
	}
	return members
}

func (d *dialer) keep(ctx context.Context, addr string) {
	defer d.wait.Done()
	reached := time.Now()
	lost := false
	for ctx.Err() == nil {
		if d.connect(ctx, addr) {
			reached, lost = time.Now(), false
		} else {
			if !lost {
				d.log.Info().Str("step", "dial").Str("peer", addr).Msg("entry unreachable")
			}
			lost = true
		}
		if time.Since(reached) > forgetAfter && !d.isSeed(addr) {
			d.forget(addr)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause(time.Since(reached))):
		}
	}
}

// redialPause returns the pause before the next dial of an entry that was last
// reached a while ago.
func redialPause(unreached time.Duration) time.Duration {
	if unreached < redialFastFor {
		return redialFast
	}
	return redialSlow
}

func (d *dialer) isSeed(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seeds[addr]
}

func (d *dialer) forget(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.known, addr)
}

// holdLink dials an address and returns once the connection has ended, which its
// handler reports by closing ended, or the context has. It reports false if there
// was no connection.
func holdLink(ctx context.Context, addr string, ended <-chan struct{}, open func(*stream.Conn) stream.Handler) bool {
	conn, err := stream.Dial(ctx, addr, open)
	if err != nil {
		return false
	}
	select {
	case <-ctx.Done():
		conn.Close()
		<-ended
	case <-ended:
	}
	return true
}
