package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
)

// Guards against agents that connect again to an entry that was late, which costs an entry
// without processor time more of it. The sessions with runs end, because the entry may have
// given them up, and are resumed on the same connections; the stopped runs start again.
func TestAgentsResumeTheSessionsOfALateEntryOnTheirConnections(t *testing.T) {
	c := newCluster(t, 7, 1, equalRooms(8, 16000))
	c.run(500 * time.Millisecond)
	for range 3 {
		s := c.submission("q", 16, 800*time.Millisecond, 4000, 0)
		s.Objective, s.CallerTimeout = 4*time.Second, 12*time.Second
		caller := c.call(s, 0)
		c.run(50 * time.Millisecond)
		c.entries[0].frozen = true
		c.run(900 * time.Millisecond)
		c.entries[0].frozen = false
		c.run(4 * time.Second)
		if caller.result == nil || caller.result.Code != dispatch.Completed {
			t.Errorf("result %v, expected a completed job", caller.result)
		}
	}
	ended := uint64(0)
	for _, a := range c.agents {
		ended += a.core.Dump().Counters.SessionsEnded
	}
	if ended == 0 {
		t.Error("no session has ended")
	}
	for _, l := range c.links {
		if !l.nextDial.IsZero() {
			t.Errorf("%s has closed its connection", l.agent.name)
		}
	}
}

// Guards against sessions that end although the passes and the messages of the entry are
// late by less than the time that sessions last.
func TestLatePassesEndNoSession(t *testing.T) {
	c := newCluster(t, 8, 1, equalRooms(8, 16000))
	c.run(500 * time.Millisecond)
	c.call(c.submission("q", 16, 1200*time.Millisecond, 4000, 0), 0)
	for range 6 {
		c.entries[0].frozen = true
		c.run(250 * time.Millisecond)
		c.entries[0].frozen = false
		c.run(2 * tickInterval)
	}
	for _, a := range c.agents {
		if n := a.core.Dump().Counters.SessionsEnded; n > 0 {
			t.Errorf("%s: %d sessions ended", a.name, n)
		}
	}
}

// Guards against a rejection unread, which says that nothing runs, of a job that waits here
// from an earlier submission or has been answered.
func TestSubmittedJobsAreKnown(t *testing.T) {
	c := newCluster(t, 9, 1, equalRooms(1, 4000))
	c.run(500 * time.Millisecond)
	first, second := c.submission("q", 1, 300*time.Millisecond, 4000, 0), c.submission("q", 1, 300*time.Millisecond, 4000, 0)
	core := c.entries[0].core
	if core.KnowsJob(first.Job.ID) {
		t.Error("a job is known before its submission")
	}
	c.call(first, 0)
	c.call(second, 0)
	for range 20 {
		if !core.KnowsJob(first.Job.ID) || !core.KnowsJob(second.Job.ID) {
			t.Fatal("a submitted job is not known")
		}
		c.run(100 * time.Millisecond)
	}
}
