package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
)

// Guards against a task that starts elsewhere while its first start may still reach the next
// life of a target whose agent is dead, which then runs it as well (review/8).
func TestUnconfirmedStartOfASilentAgentStartsNowhereElse(t *testing.T) {
	const restart = 3 * time.Second
	// enrolled is the longest time from the start of an agent to its enrolment, and detected
	// that from the end of a limit to the next order.
	const enrolled, detected = 1500 * time.Millisecond, 300 * time.Millisecond
	cases := []struct {
		name string
		// after is how long after the order the agent is killed.
		after    time.Duration
		restarts bool
		// earliest and latest bound the time from there to the second start.
		earliest, latest time.Duration
	}{
		{"confirmed", 2 * wire.SessionRenewInterval, false, 0, wire.RunsLostAfter + detected},
		{"unconfirmed", 2 * linkDelay, false, wire.UnconfirmedRunsLostAfter - detected, wire.UnconfirmedRunsLostAfter + detected},
		{"unconfirmed, the next agent enrolls", 2 * linkDelay, true, restart, restart + enrolled},
	}
	for _, step := range cases {
		c := newCluster(t, 47, 1, equalRooms(2, 1000))
		c.run(500 * time.Millisecond)
		e := c.entries[0]
		e.core.RunDurable(dispatch.DurableJob{Submission: c.submission("q", 1, time.Minute, 1000, 0), Term: 1, NotBefore: c.now}, func(dispatch.Result) {})
		c.run(step.after)
		ordered := c.nodeWithRuns()
		if ordered == nil {
			t.Fatalf("%s: no run was ordered", step.name)
		}
		ordered.alive = false
		killedAt := c.now
		for c.now.Sub(killedAt) < step.latest && e.core.Counts().RunsOrdered < 2 {
			if step.restarts && !ordered.alive && c.now.Sub(killedAt) >= restart {
				c.startAgent(ordered)
			}
			c.step()
		}
		if took := c.now.Sub(killedAt); e.core.Counts().RunsOrdered != 2 || took < step.earliest {
			t.Errorf("%s: %d runs ordered after %v, want the second one after %v to %v", step.name, e.core.Counts().RunsOrdered, took, step.earliest, step.latest)
		}
	}
}

// nodeWithRuns returns the agent of the instance at which the entry has a run, or nil.
func (c *cluster) nodeWithRuns() *agentNode {
	for _, service := range c.entries[0].core.Dump().Services {
		for _, target := range service.Targets {
			for _, a := range c.agents {
				if a.name == target.Node && target.Runs > 0 {
					return a
				}
			}
		}
	}
	return nil
}

// Guards against two runs of a job that its caller submits again to the same entry while a
// start of the first submission may still be carried out.
func TestResubmittedJobWaitsForUnconfirmedRuns(t *testing.T) {
	c := newCluster(t, 48, 1, equalRooms(2, 1000))
	c.run(500 * time.Millisecond)
	s := c.submission("q", 1, 400*time.Millisecond, 1000, 0)
	core := c.entries[0].core
	leave := core.Submit(s, func(dispatch.Result) {})
	c.run(2 * linkDelay)
	c.nodeWithRuns().alive = false
	leave()
	c.run(wire.RunsLostAfter + time.Second)
	var result dispatch.Result
	core.Submit(s, func(r dispatch.Result) { result = r })
	if want := (dispatch.Result{Code: dispatch.GaveUp, Reason: dispatch.ReasonRunsElsewhere}); result != want {
		t.Errorf("result %+v, want %+v", result, want)
	}
	c.run(wire.UnconfirmedRunsLostAfter)
	c.call(s, 0)
	c.run(100 * time.Millisecond)
	if ordered := core.Counts().RunsOrdered; ordered != 2 {
		t.Errorf("%d runs ordered after the first one has certainly ended, want 2", ordered)
	}
}
