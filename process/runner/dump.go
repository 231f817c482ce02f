package runner

import (
	"maps"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Dump is a copy of the agent's state for operators.
type Dump struct {
	Target   string            `json:"target"`
	Service  string            `json:"service"`
	Closed   wire.ClosedReason `json:"closed,omitempty"`
	Probing  bool              `json:"probing,omitempty"`
	Capacity batch.Resources   `json:"room"`
	Free     batch.Resources   `json:"free"`
	Runs     int               `json:"runs"`
	Sessions int               `json:"sessions"`
	Fence    uint64            `json:"fence"`
	EndsSeen uint64            `json:"ends_seen"`
	Counters Counters          `json:"counters"`
}

// Dump returns a copy of the state.
func (c *Core) Dump() Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	counters := c.counters
	counters.Refused, counters.Ended = maps.Clone(counters.Refused), maps.Clone(counters.Ended)
	counters.Closed = maps.Clone(counters.Closed)
	return Dump{Target: c.target.id, Service: c.target.service, Closed: c.closedReason(), Probing: c.health.probing, Capacity: c.target.capacity,
		Free: c.free(), Runs: len(c.runs), Sessions: len(c.sessions), Fence: c.fence, EndsSeen: c.target.ends.lastNumber, Counters: counters}
}
