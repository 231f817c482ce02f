package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
)

// stopDelay is how long the orders to stop runs take, and the stops themselves.
const stopDelay = tickInterval + 50*time.Millisecond

// newOwnedCluster returns a cluster of one entry, which owns its durable jobs for a time,
// and one target, on which a job of some tasks runs one after the other. The job is
// complete once the returned result is set.
func newOwnedCluster(t *testing.T, ownership time.Duration, tasks int, work time.Duration) (*cluster, **dispatch.Result) {
	return newKnowingCluster(t, ownership, endlessOwnership, tasks, work)
}

// newKnowingCluster returns an owned cluster whose entry knows the log well enough to order
// tasks for a time.
func newKnowingCluster(t *testing.T, ownership, logKnown time.Duration, tasks int, work time.Duration) (*cluster, **dispatch.Result) {
	c := newCluster(t, 41, 1, equalRooms(1, 1000))
	c.ownership, c.logKnown = ownership, logKnown
	c.startEntry(c.entries[0])
	c.run(500 * time.Millisecond)
	result := new(*dispatch.Result)
	c.entries[0].core.RunDurable(dispatch.DurableJob{Submission: c.submission("q", tasks, work, 1000, 0), Term: 1, NotBefore: c.now},
		func(r dispatch.Result) { *result = &r })
	return c, result
}

// checkNoRuns fails the test if a run is alive within a time.
func (c *cluster) checkNoRuns(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.step() {
		if running := c.agents[0].executor.Running(); len(running) > 0 {
			c.t.Fatalf("%v: runs %v at a target of an entry that doesn't own their job", c.now.UnixMilli(), running)
		}
	}
}

// Guards against an owner that was delayed for some time and then orders tasks, although
// its ownership has ended and another entry may start them (rule TWICE, deadly-kept).
func TestDelayedOwnerOrdersNoTasks(t *testing.T) {
	c, result := newOwnedCluster(t, time.Second, 20, 60*time.Millisecond)
	c.run(450 * time.Millisecond)
	c.entries[0].frozen = true
	c.run(150 * time.Millisecond)
	c.entries[0].frozen = false
	c.checkNoRuns(time.Second)
	c.entries[0].core.OwnDurableUntil(c.now.Add(time.Minute))
	c.run(2 * time.Second)
	if *result == nil || (*result).Code != dispatch.Completed {
		t.Errorf("result %v after the ownership was regained, want %s", *result, dispatch.Completed)
	}
}

// Guards against runs that go on once their entry does not own their job any more.
func TestRunsOfUnownedJobsAreStopped(t *testing.T) {
	c, _ := newOwnedCluster(t, time.Second, 1, 10*time.Second)
	c.run(500*time.Millisecond + stopDelay)
	c.checkNoRuns(time.Second)
}

// Guards against runs that go on beside those of another owner: their entry was delayed at
// the end of its ownership, so that its next message renewed the session, and the stops in
// it were not answered (rule TWICE).
func TestRunsOfADelayedOwnerEndBeforeTheyStartElsewhere(t *testing.T) {
	for delay := time.Duration(0); delay <= 700*time.Millisecond; delay += 50 * time.Millisecond {
		c, _ := newOwnedCluster(t, time.Second, 1, 10*time.Second)
		c.stopsLost = true
		c.run(490 * time.Millisecond)
		c.entries[0].frozen = true
		c.run(delay)
		c.entries[0].frozen = false
		c.run(10*time.Millisecond + wire.OwnerRunsLostAfter - delay)
		if running := c.agents[0].executor.Running(); len(running) > 0 {
			t.Errorf("owner delayed for %v: %v run on %v after the end of its ownership", delay, running, wire.OwnerRunsLostAfter)
		}
	}
}

// Guards against a message that renews the session of runs which must not go on: the
// entry was delayed and answers a report before it checks its ownership.
func TestFirstMessageAfterTheOwnershipStopsItsRuns(t *testing.T) {
	c, _ := newOwnedCluster(t, time.Second, 1, 10*time.Second)
	c.run(100 * time.Millisecond)
	running := c.agents[0].executor.Running()
	if len(running) != 1 {
		t.Fatalf("%d runs before the end of the ownership, want 1", len(running))
	}
	c.links[0].toAgent = nil
	c.now = c.now.Add(time.Second)
	c.entries[0].core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(), Invitation: true})
	var stops []batch.Run
	for _, d := range c.links[0].toAgent {
		stops = append(stops, d.m.(*wire.Orders).Stops...)
	}
	if !slices.Equal(stops, running) {
		t.Errorf("the answer to a report stops %v, want %v", stops, running)
	}
}

// Guards against an owner that orders tasks of jobs that may have been cancelled: it has
// not read the log for too long (rule UNASKED, review/5). Its runs are not stopped, since
// no other entry may start them.
func TestOwnerThatDoesNotKnowTheLogStartsNoTasks(t *testing.T) {
	const known, work = time.Second, 300 * time.Millisecond
	c, result := newKnowingCluster(t, time.Minute, known, 4, work)
	c.run(450 * time.Millisecond)
	running := c.agents[0].executor.Running()
	if len(running) != 1 {
		t.Fatalf("runs %v before the log is unknown, want one", running)
	}
	c.run(100 * time.Millisecond)
	if now := c.agents[0].executor.Running(); !slices.Equal(now, running) {
		t.Errorf("runs %v just after the log is unknown, want %v to go on", now, running)
	}
	c.run(work)
	c.checkNoRuns(time.Second)
	c.entries[0].core.StartDurableUntil(c.now.Add(time.Minute))
	c.run(2 * time.Second)
	if *result == nil || (*result).Code != dispatch.Completed {
		t.Errorf("result %v after the log is known again, want %s", *result, dispatch.Completed)
	}
}

// Guards against a late extension that shortens the ownership.
func TestEarlierEndOfTheOwnershipHasNoEffect(t *testing.T) {
	c, result := newOwnedCluster(t, time.Minute, 2, 60*time.Millisecond)
	c.entries[0].core.OwnDurableUntil(c.now)
	c.run(time.Second)
	if *result == nil || (*result).Code != dispatch.Completed {
		t.Errorf("result %v, want %s", *result, dispatch.Completed)
	}
}

// Guards against a log that shows a suspension for the first job after a pause, which is
// owned with the answer to the next append, or none for one that lasts.
func TestSuspensionThatLastsIsLogged(t *testing.T) {
	c, _ := newOwnedCluster(t, 0, 1, 10*time.Second)
	e := c.entries[0]
	c.run(100 * time.Millisecond)
	e.core.OwnDurableUntil(c.now.Add(time.Second))
	c.run(500 * time.Millisecond)
	if len(e.suspensions) > 0 {
		t.Errorf("logged %v for a job that was owned after 100 ms", e.suspensions)
	}
	c.run(time.Second)
	e.core.OwnDurableUntil(c.now.Add(time.Second))
	c.run(100 * time.Millisecond)
	if !slices.Equal(e.suspensions, []string{"suspended", "resumed"}) {
		t.Errorf("logged %v, want a suspension and its end", e.suspensions)
	}
}
