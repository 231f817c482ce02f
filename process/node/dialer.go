// Package node runs entries and agents as processes on instances of the platform.
// It connects the logic in packages dispatch and runner to the network, the clock
// and the platform's interfaces.
package node

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// Intervals and timeouts of the connections to entries.
const (
	// fastRedialPause is the longest time from the start of a dial to the next one within
	// fastRedialPeriod after the entry was last reached. It is short because after a
	// restart of all processes callers wait until the agents have connected to the entries.
	fastRedialPause  = 40 * time.Millisecond
	fastRedialPeriod = 3 * time.Second
	// slowRedialPause is the longest pause between two dials after that period.
	slowRedialPause = 250 * time.Millisecond
	// minPauseShare is the shortest pause as a share of the longest one. Pauses are random,
	// so that the processes do not all dial an entry at once when it starts.
	minPauseShare = 0.5
	// startedSpread is the time within which processes dial an entry after they have been
	// told that it has started.
	startedSpread = 25 * time.Millisecond
	// forgetAfter is the time since an entry was last reached after which it is no
	// longer dialled, unless it is a seed.
	forgetAfter = time.Minute
	// maxSelected bounds the entries that a process dials besides the seeds, so that
	// the connections of a process do not increase with the number of entries.
	maxSelected = 16
)

// dialer keeps one connection to each seed and to each selected entry. Of more than
// maxSelected entries each process selects some by a hash of both names, and others
// in place of those that it cannot reach.
type dialer struct {
	// selfName is the name of this instance.
	selfName string
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
	// unreachable holds the addresses whose last dial failed.
	unreachable map[string]bool
	// started has a channel for each known address that receives a value when another
	// process tells that the entry has started.
	started map[string]chan struct{}
	// changed is closed and replaced when the selection may have changed.
	changed chan struct{}
	// seeds holds the addresses that are dialled for as long as the process runs.
	seeds map[string]bool
	// ctx is set by run; entries added before are ignored.
	ctx context.Context
	// redialers counts the goroutines that run redial.
	redialers sync.WaitGroup
}

func newDialer(selfName, selfAddr string, seeds []string, log zerolog.Logger, connect func(context.Context, string) bool) *dialer {
	d := &dialer{selfName: selfName, selfAddr: selfAddr, connect: connect, log: log, known: make(map[string]wire.EntryMember),
		unreachable: make(map[string]bool), started: make(map[string]chan struct{}), changed: make(chan struct{}), seeds: make(map[string]bool)}
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
		if m.Addr == d.selfAddr || !isAddress(m.Addr) || d.ctx == nil {
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
		started := make(chan struct{}, 1)
		d.started[m.Addr] = started
		d.redialers.Add(1)
		go d.redial(d.ctx, m.Addr, started)
	}
	if added {
		d.noteChange()
	}
	return added
}

// noteStarted dials the entries at the addresses soon, because they have started. It has
// no effect for entries that are not known or are connected.
func (d *dialer) noteStarted(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, addr := range addrs {
		if !d.unreachable[addr] {
			continue
		}
		select {
		case d.started[addr] <- struct{}{}:
		default:
		}
	}
}

// isAddress reports whether a connection to an address is possible: it has a host and a
// port in range.
func isAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// noteChange wakes the goroutines that wait for another selection. d.mu must be held.
func (d *dialer) noteChange() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// isSelected reports whether an entry is to be dialled, and returns a channel that is
// closed when that may have changed.
func (d *dialer) isSelected(addr string) (bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seeds[addr] || len(d.known) <= maxSelected {
		return true, d.changed
	}
	own, preferred := d.preference(addr), 0
	for other := range d.known {
		if !d.seeds[other] && !d.unreachable[other] && d.preference(other) > own {
			preferred++
		}
	}
	return preferred < maxSelected, d.changed
}

// preference orders the entries for this process; the highest are selected. It differs
// between processes, so that the entries have about the same number of connections.
func (d *dialer) preference(addr string) uint64 {
	sum := sha256.Sum256([]byte(addr + "\x00" + d.selfName))
	return binary.BigEndian.Uint64(sum[:])
}

// setReachable records whether the last dial of an entry succeeded.
func (d *dialer) setReachable(addr string, reachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unreachable[addr] == !reachable {
		return
	}
	d.unreachable[addr] = !reachable
	d.noteChange()
}

// awaitSelection returns once an entry is to be dialled or the context has ended.
func (d *dialer) awaitSelection(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		selected, changed := d.isSelected(addr)
		if selected {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
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
func (d *dialer) redial(ctx context.Context, addr string, started <-chan struct{}) {
	defer d.redialers.Done()
	lastReached := time.Now()
	unreachable := false
	for ctx.Err() == nil {
		if selected, _ := d.isSelected(addr); !selected {
			d.awaitSelection(ctx, addr)
			lastReached = time.Now()
			continue
		}
		dialledAt := time.Now()
		if d.connect(ctx, addr) {
			lastReached, unreachable = time.Now(), false
			dialledAt = lastReached
		} else {
			if !unreachable {
				d.log.Info().Str("step", "dial").Str("peer", addr).Msg("entry unreachable")
			}
			unreachable = true
			d.setReachable(addr, false)
		}
		if time.Since(lastReached) > forgetAfter && !d.isSeed(addr) {
			d.forget(addr)
			return
		}
		select {
		case <-ctx.Done():
		case <-started:
			pause(ctx, time.Duration(rand.Int64N(int64(startedSpread))))
		case <-time.After(redialPause(time.Since(lastReached), time.Since(dialledAt), rand.Float64())):
		}
	}
}

// redialPause returns the pause before the next dial of an entry, by the time since it was
// last reached and the time since the last dial began. random is in [0, 1).
func redialPause(sinceReached, sinceDial time.Duration, random float64) time.Duration {
	share := minPauseShare + (1-minPauseShare)*random
	if sinceReached < fastRedialPeriod {
		return max(time.Duration(share*float64(fastRedialPause))-sinceDial, 0)
	}
	return time.Duration(share * float64(slowRedialPause))
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
	delete(d.unreachable, addr)
	delete(d.started, addr)
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
