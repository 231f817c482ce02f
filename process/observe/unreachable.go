package observe

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Unreachable is a condition that is active while at least one address cannot be
// dialled. For each address it logs the first failed attempt, and the end of the
// condition. It is safe for concurrent use.
type Unreachable struct {
	observer *Observer
	name     string
	active   tally.Gauge

	mu sync.Mutex
	// since holds, for each unreachable address, the time of its first failure.
	since map[string]time.Time
}

// Unreachable returns a condition that is not active. name appears in the log and
// as the tag TagCondition of the metric ConditionActive.
func (o *Observer) Unreachable(name string) *Unreachable {
	gauge := o.Metrics.Tagged(map[string]string{TagCondition: name}).Gauge(ConditionActive)
	gauge.Update(0)
	return &Unreachable{observer: o, name: name, active: gauge, since: make(map[string]time.Time)}
}

// Failed reports that a dial of addr failed. A dial that was cancelled because this
// process ends is ignored, because it does not show that the peer is unreachable.
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

// EndExcept ends the condition of every address that is not in wanted, the list
// of the addresses that are still to be dialled.
func (u *Unreachable) EndExcept(wanted []string) {
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
