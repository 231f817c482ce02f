package entry

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/peer"
)

// dialEntries keeps a connection to every other entry.
func (d *Daemon) dialEntries(ctx context.Context) error {
	dialer := &peer.Dialer{Identity: d.identity, Hello: d.hello, Handler: (*handler)(d), Addresses: d.addrsToDial,
		OnDialError: d.dialFailed}
	return dialer.Run(ctx)
}

func (d *Daemon) dialFailed(addr string, err error) {
	if !errors.Is(err, peer.ErrNotNeeded) {
		d.unreachable.Failed(addr, err)
	}
}

// addrsToDial returns the addresses of the entries to dial. Of two entries the
// one with the lower incarnation dials. Seeds are dialled while no entry is
// connected, because their incarnations are not known.
func (d *Daemon) addrsToDial() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addrs []string
	for _, entry := range d.members.List() {
		if _, connected := d.entries[entry.Incarnation]; !connected && d.self < entry.Incarnation {
			addrs = append(addrs, entry.PeerAddr)
		}
	}
	if len(d.entries) == 0 {
		addrs = append(addrs, d.settings.Seeds...)
	}
	addrs = slices.DeleteFunc(addrs, func(addr string) bool { return addr == d.settings.PeerAddr })
	d.unreachable.EndExcept(addrs)
	return addrs
}
