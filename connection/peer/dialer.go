package peer

import (
	"context"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

const (
	// dialInterval is how often addresses without a connection are dialled.
	dialInterval = 500 * time.Millisecond
	dialTimeout  = 2 * time.Second
)

// Dialer keeps dialling a changing set of addresses, each once at a time.
type Dialer struct {
	Identity *Identity
	Hello    func() wire.Hello
	Handler  Handler
	// Wanted lists the addresses that need a connection.
	Wanted func() []string
	// Failed receives the error of a dial. It may be called concurrently.
	Failed func(addr string, err error)

	mu      sync.Mutex
	dialing map[string]bool
}

// Run dials until the context ends, and returns its error.
func (d *Dialer) Run(ctx context.Context) error {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		for _, addr := range d.Wanted() {
			if d.begin(addr) {
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

func (d *Dialer) begin(addr string) bool {
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
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	_, err := Dial(limited, addr, d.Identity.TLS(), d.Hello(), d.Handler)
	d.mu.Lock()
	delete(d.dialing, addr)
	d.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		d.Failed(addr, err)
	}
}
