package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
)

// Guards against a task that starts again although its run is done: the entry lacked
// processor time and took the agent to be silent before it had read its messages (rule
// TWICE, deadly-kept).
func TestDelayedEntryReadsWhatHasArrivedBeforeItGivesRunsUp(t *testing.T) {
	c, result := newOwnedCluster(t, time.Minute, 1, 100*time.Millisecond)
	c.run(50 * time.Millisecond)
	e := c.entries[0]
	e.frozen = true
	c.run(wire.RunsLostAfter + 200*time.Millisecond)
	e.core.Tick()
	e.frozen = false
	c.run(time.Second)
	if *result == nil || (*result).Code != dispatch.Completed {
		t.Errorf("result %v, want %s", *result, dispatch.Completed)
	}
	for task, starts := range c.agents[0].executor.Starts {
		if starts > 1 {
			t.Errorf("%s was started %d times", task, starts)
		}
	}
}

// Guards against runs that are never given up because their entry always lacks processor
// time.
func TestRunsOfSilentAgentsAreGivenUpByADelayedEntry(t *testing.T) {
	c, _ := newOwnedCluster(t, time.Minute, 1, 10*time.Second)
	// The next message of the agent confirms the start.
	c.run(2 * wire.SessionRenewInterval)
	c.links[0].cut = true
	for range 20 {
		c.entries[0].frozen = true
		c.run(200 * time.Millisecond)
		c.entries[0].frozen = false
		c.run(tickInterval)
	}
	if lost := c.entries[0].core.Counts().RunsLost; lost != 1 {
		t.Errorf("%d runs were given up, want 1", lost)
	}
}
