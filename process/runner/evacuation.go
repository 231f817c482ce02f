package runner

import (
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// HandleEvacuation handles the evacuated zones that an entry has sent. While the zone of the
// agent is among them, it refuses to start runs, also those that were ordered before. The
// runs that it holds go on. An older state than the known one changes nothing.
func (c *Core) HandleEvacuation(state evacuation.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !state.Supersedes(c.evacuation) {
		return
	}
	before := c.evacuation.Contains(c.options.Zone)
	c.evacuation = state
	after := state.Contains(c.options.Zone)
	if before == after {
		return
	}
	now := c.env.Now()
	outcome := "taken_back"
	if after {
		outcome = "evacuated"
	}
	c.env.Record(decision.Decision{Step: "evacuation", Peer: c.options.Zone, Outcome: outcome, Version: state.Offset,
		Inputs: []decision.Input{{Name: "runs", Value: int64(len(c.runs))}}})
	c.bumpRevision()
	c.inviteWaitingEntry(now)
	c.flush(now)
}
