package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
)

// Guards against runs of a job that go on, or start again, after its caller has stopped
// waiting, without this entry learning of it. The caller may have submitted the job to
// another entry, and its tasks would run twice at the same time.
func TestJobEndsWhenItsCallerStopsWaiting(t *testing.T) {
	c := newCluster(t, 61, 1, equalRooms(3, 16000))
	c.run(500 * time.Millisecond)
	s := c.submission("q", 2, 10*time.Second, 1000, 0)
	s.CallerTimeout = 1500 * time.Millisecond
	var result *dispatch.Result
	var answeredAt time.Duration
	start := c.now
	c.entries[0].core.Submit(s, func(r dispatch.Result) { result, answeredAt = &r, c.now.Sub(start) })
	c.run(1400 * time.Millisecond)
	if result != nil || c.running() != 2 {
		t.Fatalf("result %+v, %d runs before the caller stops waiting, expected none and 2", result, c.running())
	}
	for _, a := range c.agents {
		a.executor.Crash()
	}
	c.after(200*time.Millisecond, func() {
		for _, a := range c.agents {
			a.replaceCrashedTarget()
		}
	})
	c.run(300 * time.Millisecond)
	if result == nil || result.Code != dispatch.GaveUp || answeredAt > s.CallerTimeout+2*tickInterval {
		t.Errorf("result %+v after %v, expected %s after %v", result, answeredAt, dispatch.GaveUp, s.CallerTimeout)
	}
	for range 2000 {
		c.step()
		if c.running() > 0 {
			t.Fatal("a task runs after the caller has stopped waiting")
		}
	}
}

// running returns the number of runs at all targets.
func (c *cluster) running() int {
	running := 0
	for _, a := range c.agents {
		running += len(a.executor.Running())
	}
	return running
}

// Guards against two runs of a task at the same time, at the entry whose caller has left
// unnoticed and at the one to which it has submitted the job again.
func TestWithdrawnJobHasNoRuns(t *testing.T) {
	c := newCluster(t, 62, 2, equalRooms(3, 16000))
	c.run(500 * time.Millisecond)
	s := c.submission("q", 4, 2*time.Second, 1000, 0)
	var first *dispatch.Result
	c.entries[0].core.Submit(s, func(r dispatch.Result) { first = &r })
	c.run(200 * time.Millisecond)
	if _, known := c.entries[0].core.Withdraw(s.Job.ID); known || !c.entries[0].core.HasRuns(s.Job.ID) {
		t.Errorf("withdrawn: result known %t, runs %t, expected no result and runs", known, c.entries[0].core.HasRuns(s.Job.ID))
	}
	if first == nil || first.Code != dispatch.GaveUp {
		t.Errorf("first caller's result %+v, expected %s", first, dispatch.GaveUp)
	}
	for c.entries[0].core.HasRuns(s.Job.ID) {
		c.step()
	}
	again := c.call(s, 1)
	c.run(3 * time.Second)
	if again.result == nil || again.result.Code != dispatch.Completed {
		t.Errorf("result %+v, expected %s", again.result, dispatch.Completed)
	}
	if result, known := c.entries[1].core.Withdraw(s.Job.ID); !known || result.Code != dispatch.Completed {
		t.Errorf("result of the ended job: %+v %t, expected %s", result, known, dispatch.Completed)
	}
}

// Guards against a task that runs twice at the same time: an entry that lacks processor
// time starts it for a caller whose connection was reset before, and who has sent the job
// to another entry at once.
func TestJobOfACallerWhoHasLeftStartsNoTask(t *testing.T) {
	for _, waitsForRoom := range []bool{false, true} {
		c := newCluster(t, 63, 1, equalRooms(1, 1000))
		c.run(500 * time.Millisecond)
		if waitsForRoom {
			c.entries[0].core.Submit(c.submission("q", 1, 200*time.Millisecond, 1000, 0), func(dispatch.Result) {})
		}
		connected := waitsForRoom
		s := c.submission("q", 1, time.Second, 1000, 0)
		s.CallerWaits = func() bool { return connected }
		var result *dispatch.Result
		c.entries[0].core.Submit(s, func(r dispatch.Result) { result = &r })
		connected = false
		for range 1000 {
			c.step()
			for _, run := range c.agents[0].executor.Running() {
				if run.Task.Job == s.Job.ID {
					t.Fatalf("waits for room %t: run %v of a caller who has left", waitsForRoom, run)
				}
			}
		}
		if result == nil || result.Reason != dispatch.ReasonCallerLeft {
			t.Errorf("waits for room %t: result %+v, want %s", waitsForRoom, result, dispatch.ReasonCallerLeft)
		}
	}
}

// Guards against a run that goes on because the stop of its job was sent before its start:
// the entry notices in the middle of a pass that the caller has left.
func TestCallerWhoLeavesDuringAPassLeavesNoRuns(t *testing.T) {
	c := newCluster(t, 64, 1, equalRooms(2, 1000))
	c.run(500 * time.Millisecond)
	s := c.submission("q", 1, 2*time.Second, 1000, 0)
	s.Job.Steps = append(s.Job.Steps, s.Job.Steps[0])
	looks := 0
	s.CallerWaits = func() bool { looks++; return looks == 1 }
	c.entries[0].core.Submit(s, func(dispatch.Result) {})
	c.run(300 * time.Millisecond)
	if c.running() > 0 || looks < 2 {
		t.Errorf("%d runs of a caller who has left, after %d looks", c.running(), looks)
	}
}
