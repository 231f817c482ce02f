package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/peer"
)

// errNotNeeded marks the end of a connection to a reachable entry that is
// connected already or is this process itself.
var errNotNeeded = errors.New("connection not needed")

// dialEntries keeps a connection to every other entry. Of two entries the one
// with the lower incarnation dials, except to a seed, whose incarnation is not
// known.
func (d *Daemon) dialEntries(ctx context.Context) error {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		for _, addr := range d.undialled() {
			go d.dial(ctx, addr)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) undialled() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var wanted, fresh []string
	add := func(addr string) {
		if addr == d.settings.PeerAddr {
			return
		}
		wanted = append(wanted, addr)
		if !d.dialing[addr] {
			d.dialing[addr] = true
			fresh = append(fresh, addr)
		}
	}
	for _, entry := range d.members.List() {
		if _, connected := d.entries[entry.Incarnation]; !connected && d.self < entry.Incarnation {
			add(entry.PeerAddr)
		}
	}
	if len(d.entries) == 0 {
		for _, seed := range d.settings.Seeds {
			add(seed)
		}
	}
	d.unreachable.Retain(wanted)
	return fresh
}

func (d *Daemon) dial(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	_, err := peer.Dial(ctx, addr, d.identity.TLS(), d.hello(), (*handler)(d))
	d.mu.Lock()
	delete(d.dialing, addr)
	d.mu.Unlock()
	if err != nil && !errors.Is(err, errNotNeeded) {
		d.unreachable.Failed(addr, err)
	}
}
