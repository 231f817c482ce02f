package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Guards against a task that starts elsewhere while its first start may still reach the next
// life of a target whose agent is dead, which then runs it as well (review/8). The next agent
// has fenced the present life only, and may be dead when the next one begins (review/12).
func TestUnconfirmedStartOfASilentAgentStartsNowhereElse(t *testing.T) {
	const restart = 3 * time.Second
	// detected is the longest time from the end of a limit to the next order.
	const detected = 300 * time.Millisecond
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
		{"confirmed, the next agent enrolls", 2 * wire.SessionRenewInterval, true, 0, wire.RunsLostAfter + detected},
		{"unconfirmed, the next agent enrolls", 2 * linkDelay, true, wire.UnconfirmedRunsLostAfter - detected, wire.UnconfirmedRunsLostAfter + detected},
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

// Guards against callers who are left waiting for a task that can't start elsewhere before
// they leave, and against durable jobs that are given up for that.
func TestWithheldRunEndsTheWaitOfCallersAtOnce(t *testing.T) {
	for _, withheldMS := range []int64{1000, 13_000} {
		c := newCluster(t, 49, 1, equalRooms(1, 16000))
		c.run(500 * time.Millisecond)
		core := c.entries[0].core
		var results []dispatch.Result
		plain, durable := c.submission("q", 1, time.Minute, 1000, 0), c.submission("q", 1, time.Minute, 1000, 0)
		core.Submit(plain, func(r dispatch.Result) { results = append(results, r) })
		core.RunDurable(dispatch.DurableJob{Submission: durable, Term: 1, NotBefore: c.now}, func(r dispatch.Result) { results = append(results, r) })
		c.run(100 * time.Millisecond)
		for _, s := range []batch.Submission{plain, durable} {
			run := batch.Run{Task: batch.Task{Job: s.Job.ID}, Number: 1}
			core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(),
				Runs: []wire.RunReport{{Run: run, StartUnconfirmed: true, WithheldMS: withheldMS}}})
		}
		want := 0
		if time.Duration(withheldMS)*time.Millisecond > plain.CallerTimeout {
			want = 1
		}
		if len(results) != want || want == 1 && results[0] != (dispatch.Result{Code: dispatch.GaveUp, Reason: dispatch.ReasonRunsElsewhere}) {
			t.Errorf("withheld for %d ms: results %+v, want %d", withheldMS, results, want)
		}
		if ordered := core.Counts().RunsOrdered; ordered != 2 {
			t.Errorf("withheld for %d ms: %d runs ordered, want 2", withheldMS, ordered)
		}
	}
}

// Guards against tasks that wait for a start which the target that has taken the place of
// theirs refuses.
func TestUnconfirmedStartAtAReplacedTargetIsOver(t *testing.T) {
	for present, want := range map[string]uint64{"same": 1, "another": 2} {
		c := newCluster(t, 50, 1, equalRooms(1, 16000))
		c.run(500 * time.Millisecond)
		e, a := c.entries[0], c.agents[0]
		e.core.RunDurable(dispatch.DurableJob{Submission: c.submission("q", 1, time.Minute, 1000, 0), Term: 1, NotBefore: c.now}, func(dispatch.Result) {})
		c.run(2 * linkDelay)
		a.alive = false
		target := a.executor.ID
		if present == "another" {
			target = present
		}
		e.core.HandleEnroll(&wire.Enroll{Agent: a.id + 1, Node: a.name, Zone: a.zone, Clock: c.now.UnixMicro(), Free: a.executor.Capacity,
			Target: wire.TargetState{Target: target, Service: serviceName, Capacity: a.executor.Capacity, Revision: 1}})
		if ordered := e.core.Counts().RunsOrdered; ordered != want {
			t.Errorf("%s target: %d runs ordered, want %d", present, ordered, want)
		}
	}
}

// Guards against a task that its next owner, or the entry to which its caller submits it
// again, starts while a start that its former entry has ordered may be carried out.
func TestLateStartOfAnotherEntryIsAwaited(t *testing.T) {
	const withheld = 500 * time.Millisecond
	for _, known := range []bool{true, false} {
		c := newCluster(t, 51, 1, equalRooms(1, 16000))
		c.run(500 * time.Millisecond)
		core := c.entries[0].core
		plain, durable := c.submission("q", 1, 300*time.Millisecond, 1000, 0), c.submission("q", 1, 300*time.Millisecond, 1000, 0)
		report := func() {
			var reports []wire.RunReport
			for _, s := range []batch.Submission{plain, durable} {
				reports = append(reports, wire.RunReport{Run: batch.Run{Task: batch.Task{Job: s.Job.ID}, Number: 7}, StartUnconfirmed: true, WithheldMS: withheld.Milliseconds()})
			}
			core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(), Runs: reports})
		}
		if known {
			report()
		}
		core.Submit(plain, func(dispatch.Result) {})
		core.RunDurable(dispatch.DurableJob{Submission: durable, Term: 2, NotBefore: c.now.Add(50 * time.Millisecond)}, func(dispatch.Result) {})
		if !known {
			report()
		}
		// The verdict on a crash does not end the wait.
		core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(),
			Runs: []wire.RunReport{{Run: batch.Run{Task: batch.Task{Job: durable.Job.ID}, Number: 7}, TargetCrashed: true}}})
		c.run(withheld - 100*time.Millisecond)
		if ordered := core.Counts().RunsOrdered; ordered != 0 && known || ordered > 1 {
			t.Errorf("reported first %t: %d runs ordered while starts may arrive", known, ordered)
		}
		c.run(300 * time.Millisecond)
		if ordered := core.Counts().RunsOrdered; ordered != 2 {
			t.Errorf("reported first %t: %d runs ordered in all, want 2", known, ordered)
		}
	}
	c := newCluster(t, 52, 1, equalRooms(1, 16000))
	c.run(500 * time.Millisecond)
	s := c.submission("q", 1, 60*time.Millisecond, 1000, 0)
	c.entries[0].core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(),
		Runs: []wire.RunReport{{Run: batch.Run{Task: batch.Task{Job: s.Job.ID}, Number: 1}, WithheldMS: 2 * s.CallerTimeout.Milliseconds()}}})
	var result dispatch.Result
	c.entries[0].core.Submit(s, func(r dispatch.Result) { result = r })
	if want := (dispatch.Result{Code: dispatch.GaveUp, Reason: dispatch.ReasonRunsElsewhere}); result != want {
		t.Errorf("result %+v of a caller who can't wait so long, want %+v", result, want)
	}
}
