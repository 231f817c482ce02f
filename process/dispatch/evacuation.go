package dispatch

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// SetEvacuation sets the evacuated zones. No task is ordered at their targets, though the
// agents there may not have learned of the evacuation; the runs there go on. An older state
// than the known one changes nothing. It returns the state that was replaced, and whether
// one was.
func (c *Core) SetEvacuation(state evacuation.State) (replaced evacuation.State, ok bool) {
	for {
		current := c.evacuation.Load()
		if current != nil && !state.Supersedes(*current) {
			return evacuation.State{}, false
		}
		if !c.evacuation.CompareAndSwap(current, &state) {
			continue
		}
		if current != nil {
			replaced = *current
		}
		c.recordEvacuation(replaced, state)
		return replaced, true
	}
}

// Evacuation returns the newest known evacuated zones.
func (c *Core) Evacuation() evacuation.State {
	if state := c.evacuation.Load(); state != nil {
		return *state
	}
	return evacuation.State{}
}

// recordEvacuation logs the zones that were evacuated or taken back, and places the waiting
// tasks at the targets of the latter.
func (c *Core) recordEvacuation(before, after evacuation.State) {
	c.recordZones(after, "evacuated", after.Zones, before)
	c.recordZones(after, "taken_back", before.Zones, after)
	if before.SameZones(after) {
		return
	}
	for _, p := range c.allPools() {
		p.mu.Lock()
		p.resetSpeeds(c.env.Now(), before, after)
		c.assign(c.env.Now(), p)
		p.mu.Unlock()
	}
}

// recordZones logs the zones that the other state does not contain.
func (c *Core) recordZones(state evacuation.State, outcome string, zones []string, other evacuation.State) {
	for _, zone := range zones {
		if !other.Contains(zone) {
			c.env.Record(decision.Decision{Step: "evacuation", Peer: zone, Outcome: outcome, Version: state.Offset})
		}
	}
}

// isOpen reports whether the target accepts new runs: its agent has not closed it, and its
// zone is not evacuated.
func (c *Core) isOpen(t *target) bool {
	if t.state.Closed != "" {
		return false
	}
	state := c.evacuation.Load()
	return state == nil || !slices.Contains(state.Zones, t.zone)
}

// acceptsOrders reports whether the target is open and its agent is connected and has sent
// a message within maxReportAge.
func (c *Core) acceptsOrders(now time.Time, t *target) bool {
	return t.connected && !t.sessionRefused && c.isOpen(t) && now.Sub(t.lastReceived) <= maxReportAge
}
