package observe

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Unreachable keeps which addresses cannot be dialled, and logs each address when
// its first attempt fails and when this ends. The condition is active while there
// is one. It is safe for concurrent use.
type Unreachable struct {
	observer *Observer
	name     string
	active   tally.Gauge

	mu    sync.Mutex
	since map[string]time.Time
}

// Unreachable returns a condition without an unreachable address.
func (o *Observer) Unreachable(name string) *Unreachable {
	gauge := o.Metrics.Tagged(map[string]string{TagCondition: name}).Gauge(ConditionActive)
	gauge.Update(0)
	return &Unreachable{observer: o, name: name, active: gauge, since: make(map[string]time.Time)}
}

// Failed states that a dial failed. A dial that the end of this process cancels
// says nothing of the peer and is ignored.
func (u *Unreachable) Failed(addr string, cause error) {
	if errors.Is(cause, context.Canceled) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.since[addr]; known {
		return
	}
	u.since[addr] = time.Now()
	u.active.Update(1)
	u.observer.Log.Warn().Err(cause).Str("condition", u.name).Str("peer", addr).Msg("condition started")
}

// Retain ends the condition for every address that is not in the list of those
// that are still to be dialled.
func (u *Unreachable) Retain(wanted []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for addr, since := range u.since {
		if slices.Contains(wanted, addr) {
			continue
		}
		delete(u.since, addr)
		u.observer.Log.Info().Str("condition", u.name).Str("peer", addr).Dur("lasted_ms", time.Since(since)).
			Msg("condition ended")
	}
	if len(u.since) == 0 {
		u.active.Update(0)
	}
}
