// Package node runs entries and agents as processes on instances of the platform.
// It connects the logic in packages dispatch and runner to the network, the clock
// and the platform's interfaces.
package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// Intervals and timeouts of the connections to entries.
const (
	// fastRedialPause is the pause between two dials of an entry within
	// fastRedialPeriod after it was last reached. It is short because after a
	// restart of all processes callers are refused until the agents have connected
	// to the entries.
	fastRedialPause  = 50 * time.Millisecond
	fastRedialPeriod = 3 * time.Second
	// slowRedialPause is the pause between two dials after that period.
	slowRedialPause = 250 * time.Millisecond
	// forgetAfter is the time since an entry was last reached after which it is no
	// longer dialled, unless it is a seed.
	forgetAfter = time.Minute
)

// dialer keeps one connection to each known entry.
type dialer struct {
	// selfAddr is the address of this process if it is an entry, which is not
	// dialled; otherwise empty.
	selfAddr string
	// connect dials an entry and returns after the connection has ended. It
	// reports whether the entry was reached.
	connect func(ctx context.Context, addr string) bool
	log     zerolog.Logger

	mu sync.Mutex
	// known holds, by address, the entries that are dialled.
	known map[string]wire.EntryMember
	// seeds holds the addresses that are dialled for as long as the process runs.
	seeds map[string]bool
	// ctx is set by run; entries added before are ignored.
	ctx context.Context
	// redialers counts the goroutines that run redial.
	redialers sync.WaitGroup
}

func newDialer(selfAddr string, seeds []string, log zerolog.Logger, connect func(context.Context, string) bool) *dialer {
	d := &dialer{selfAddr: selfAddr, connect: connect, log: log, known: make(map[string]wire.EntryMember), seeds: make(map[string]bool)}
	for _, seed := range seeds {
		d.seeds[seed] = true
	}
	return d
}

// run dials the seeds and allows entries to be added, until the context ends.
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
	d.redialers.Wait()
}

// add starts to dial the entries that are not known yet. It reports whether there
// were any.
func (d *dialer) add(members []wire.EntryMember) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	added := false
	for _, m := range members {
		if m.Addr == "" || m.Addr == d.selfAddr || d.ctx == nil {
			continue
		}
		existing, known := d.known[m.Addr]
		if known {
			if existing.Name == "" {
				d.known[m.Addr] = m
			}
			continue
		}
		added = true
		d.known[m.Addr] = m
		d.redialers.Add(1)
		go d.redial(d.ctx, m.Addr)
	}
	return added
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

// redial keeps dialling an entry until the context ends, or until an entry that is
// not a seed has not been reached for forgetAfter. Meanwhile it logs the first of
// several failures in a row.
func (d *dialer) redial(ctx context.Context, addr string) {
	defer d.redialers.Done()
	lastReached := time.Now()
	unreachable := false
	for ctx.Err() == nil {
		if d.connect(ctx, addr) {
			lastReached, unreachable = time.Now(), false
		} else {
			if !unreachable {
				d.log.Info().Str("step", "dial").Str("peer", addr).Msg("entry unreachable")
			}
			unreachable = true
		}
		if time.Since(lastReached) > forgetAfter && !d.isSeed(addr) {
			d.forget(addr)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause(time.Since(lastReached))):
		}
	}
}

// redialPause returns the pause before the next dial of an entry, by the time since
// it was last reached.
func redialPause(sinceReached time.Duration) time.Duration {
	if sinceReached < fastRedialPeriod {
		return fastRedialPause
	}
	return slowRedialPause
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

// dialAndWait dials an address and returns after the connection has ended. The
// handler returned by open must close done when that happens. If the context ends
// first, the connection is closed. It reports false if the dial failed.
func dialAndWait(ctx context.Context, addr string, done <-chan struct{}, open func(*stream.Conn) stream.Handler) bool {
	conn, err := stream.Dial(ctx, addr, open)
	if err != nil {
		return false
	}
	select {
	case <-ctx.Done():
		conn.Close()
		<-done
	case <-done:
	}
	return true
}
