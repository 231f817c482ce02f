package dispatch

import (
	"github.com/azurerouter/azurerouter/connection/wire"
)

// SetCapacityEnforced sets whether the targets of a service refuse runs that exceed their
// free capacity. Agents whose target has not reported itself wait for this, so that they
// are told at once.
func (c *Core) SetCapacityEnforced(service string, enforced bool) {
	p := c.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.capacityEnforced == enforced {
		return
	}
	p.capacityEnforced = enforced
	now := c.env.Now()
	for _, t := range p.targetList {
		if t.connected && t.state.Closed == wire.ClosedNoTarget {
			c.send(now, p, t, &wire.Orders{Waiting: c.announcedWaiting(now, p, t)})
		}
	}
}

// awaitsService reports whether the agent may be waiting to learn that its target enforces
// its capacity.
func (t *target) awaitsService(p *pool) bool {
	return p.capacityEnforced && t.state.Closed == wire.ClosedNoTarget
}
