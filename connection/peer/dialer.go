package peer

import (
	"context"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

const (
	// dialInterval is the time between two dials of an address without a
	// connection.
	dialInterval = 500 * time.Millisecond
	// dialTimeout bounds one dial, including the exchange of hellos.
	dialTimeout = 2 * time.Second
)

// Dialer repeatedly dials a changing set of addresses, with at most one dial of
// each address at a time.
type Dialer struct {
	Identity *Identity
	Hello    func() wire.Hello
	Handler  Handler
	// Addresses returns the addresses that need a connection.
	Addresses func() []string
	// OnDialError is called with the error of each failed dial, possibly
	// concurrently.
	OnDialError func(addr string, err error)

	mu      sync.Mutex
	dialing map[string]bool
}

// Run dials until ctx ends, and returns the error of ctx.
func (d *Dialer) Run(ctx context.Context) error {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		for _, addr := range d.Addresses() {
			if d.markDialing(addr) {
				go d.dial(ctx, addr)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// markDialing reports false if addr is being dialled already.
func (d *Dialer) markDialing(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dialing == nil {
		d.dialing = make(map[string]bool)
	}
	if d.dialing[addr] {
		return false
	}
	d.dialing[addr] = true
	return true
}

func (d *Dialer) dial(ctx context.Context, addr string) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	_, err := Dial(dialCtx, addr, d.Identity.TLS(), d.Hello(), d.Handler)
	d.mu.Lock()
	delete(d.dialing, addr)
	d.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		d.OnDialError(addr, err)
	}
}
