package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
)

// restartWithListedTarget restarts an agent that finds its target in a list and gets no
// report from it.
func (c *cluster) restartWithListedTarget(a *agentNode) {
	a.alive = false
	c.run(100 * time.Millisecond)
	a.node = node{alive: true, id: wire.Incarnation(c.random.Uint64())}
	a.pendingHolds, a.inbox = nil, nil
	a.core = runner.New((*agentEnv)(a), runner.Options{Agent: a.id, Node: a.name, Zone: a.zone, Fence: uint64(c.now.UnixMilli())})
	a.core.HandleTargetFound(runner.TargetReport{Target: a.executor.ID, Service: serviceName, Capacity: a.executor.Capacity})
}

// Guards against targets that stay closed for up to a heartbeat after all processes have
// started again: an agent learns that its target enforces its capacity when it enrolls, or
// as soon as its entry learns it.
func TestRestartedAgentOpensAListedTarget(t *testing.T) {
	for _, configuredFirst := range []bool{true, false} {
		c := newCluster(t, 1, 1, equalRooms(1, 8000))
		c.run(time.Second)
		if configuredFirst {
			c.entries[0].core.SetCapacityEnforced(serviceName, true)
		}
		c.restartWithListedTarget(c.agents[0])
		c.run(time.Second)
		if !configuredFirst {
			if closed := c.agents[0].core.Dump().Closed; closed != wire.ClosedNoTarget {
				t.Errorf("target without a report: closed %q, want %q", closed, wire.ClosedNoTarget)
			}
			c.entries[0].core.SetCapacityEnforced(serviceName, true)
		}
		k := c.call(c.submission("check", 1, 30*time.Millisecond, 1000, 0), 0)
		c.run(200 * time.Millisecond)
		if !k.completedInTime() {
			t.Errorf("configured first: %v: result %+v after %v, want in time", configuredFirst, k.result, k.took)
		}
	}
}

// Guards against an entry that lets jobs wait for the first agent of a service for as long as
// their callers do, although its agents were there and are gone: an agent that has just
// started enrolls before it knows the service of its target.
func TestTargetThatJoinsItsServiceLaterCountsAsTheFirst(t *testing.T) {
	c := newCluster(t, 1, 1, equalRooms(1, 8000))
	e, a := c.entries[0], c.agents[0]
	e.alive, a.alive = false, false
	c.run(100 * time.Millisecond)
	a.node = node{alive: true, id: wire.Incarnation(c.random.Uint64())}
	a.pendingHolds, a.inbox = nil, nil
	a.core = runner.New((*agentEnv)(a), runner.Options{Agent: a.id, Node: a.name, Zone: a.zone, Fence: uint64(c.now.UnixMilli())})
	c.startEntry(e)
	e.core.HandleEnroll(&wire.Enroll{Agent: a.id, Node: a.name, Zone: a.zone, Clock: c.now.UnixMicro()})
	e.core.HandleReport(a.id, &wire.AgentReport{Clock: c.now.UnixMicro() + 1, Target: &wire.TargetState{Target: "target-0", Service: serviceName, Revision: 1}})
	a.alive = false
	c.run(2 * time.Second)
	k := c.call(c.submission("check", 1, 30*time.Millisecond, 1000, 0), 0)
	c.run(time.Second)
	if k.result == nil {
		t.Error("the job waits for an agent although that of the service is gone")
	}
}
