package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
)

// outageDuration is how long all instances have no power in these tests.
const outageDuration = 1200 * time.Millisecond

// powerOutage ends every entry and agent, and starts them again within 300 ms of
// each other after the outage. Their targets go on running.
func (c *cluster) powerOutage() {
	for _, e := range c.entries {
		e.alive = false
		c.after(c.restartDelay(), func() { c.startEntry(e) })
	}
	for _, a := range c.agents {
		a.alive, a.inbox = false, nil
		c.after(c.restartDelay(), func() { c.startAgent(a) })
	}
}

// restartDelay returns the time from the outage to the restart of one process.
func (c *cluster) restartDelay() time.Duration {
	return outageDuration + time.Duration(c.random.Int64N(int64(300*time.Millisecond)))
}

// Guards against a recovery in which callers who lost their connection and submit
// again, too late for their objective, take the room of callers of new jobs.
// Together they submit one and a half times what the targets can run in the first
// second.
func TestNewJobsAreServedInTimeAfterPowerOutage(t *testing.T) {
	var inTime, submitted, answered, all int
	for seed := range uint64(5) {
		c := newCluster(t, 20+seed, 3, equalRooms(9, 32000))
		c.run(500 * time.Millisecond)
		down := c.now.Add(time.Second)
		c.after(time.Second, c.powerOutage)
		from, to := down.Add(outageDuration+300*time.Millisecond), down.Add(outageDuration+2*time.Second)
		for _, k := range submitLedgerJobs(c, 4*time.Second, 0.7*ledgerCapacity) {
			all++
			if k.result != nil {
				answered++
			}
			if k.startedAt.After(from) && k.startedAt.Before(to) {
				submitted++
				if k.completedInTime() {
					inTime++
				}
			}
		}
	}
	t.Logf("%d of %d in time, %d of %d answered", inTime, submitted, answered, all)
	if share := float64(inTime) / float64(submitted); share < 0.9 {
		t.Errorf("%.3f of the new jobs in time, expected 0.9 or more", share)
	}
}

// Guards against refusals of a queue whose callers always leave less time than its
// timeout. Taken for resubmissions, all of its jobs would be refused whenever no
// target has room at once.
func TestCallersWithLittleTimeAreNotTakenForResubmissions(t *testing.T) {
	c := newCluster(t, 41, 1, equalRooms(1, 4000))
	c.run(500 * time.Millisecond)
	submit := func() *caller {
		s := c.submission("line", 1, 100*time.Millisecond, 1000, 1)
		s.Objective, s.PriorWait = time.Second, 1300*time.Millisecond
		return c.call(s, 0)
	}
	for range 200 {
		submit()
		c.run(50 * time.Millisecond)
	}
	var callers []*caller
	for range 8 {
		callers = append(callers, submit())
	}
	c.run(2 * time.Second)
	for _, k := range callers {
		if !k.completedInTime() {
			t.Errorf("result %+v after %v, expected completion within %v", k.result, k.took, k.submission.Objective)
		}
	}
}

// Guards against requests that are rejected, or given up after a fixed time, because the
// first agent enrolls late after a restart of all processes although their callers wait
// long enough.
func TestJobsWaitForTheFirstAgentAsLongAsTheirCallers(t *testing.T) {
	for _, enrolledAfter := range []time.Duration{900 * time.Millisecond, 2300 * time.Millisecond} {
		c := newCluster(t, 42, 1, equalRooms(2, 16000))
		for _, l := range c.links {
			l.cut = true
		}
		c.run(enrolledAfter - 900*time.Millisecond)
		var callers []*caller
		for range 8 {
			s := c.submission("check", 4, 60*time.Millisecond, 1000, 0)
			s.CallerTimeout = 1500 * time.Millisecond
			callers = append(callers, c.call(s, 0))
			c.run(100 * time.Millisecond)
		}
		c.run(100 * time.Millisecond)
		for _, l := range c.links {
			l.cut = false
		}
		c.run(time.Second)
		for i, k := range callers {
			if k.result == nil || k.result.Code != dispatch.Completed || k.took > k.submission.CallerTimeout {
				t.Errorf("agents after %v, job %d: result %+v after %v, expected %s", enrolledAfter, i, k.result, k.took, dispatch.Completed)
			}
		}
	}
}

// Guards against callers of a service without targets who wait for an answer long after the
// start of the entry.
func TestJobsWithoutTargetsAreRejectedAtOnceLater(t *testing.T) {
	c := newCluster(t, 43, 1, nil)
	c.run(6 * time.Second)
	k := c.call(c.submission("check", 1, 60*time.Millisecond, 1000, 0), 0)
	if k.result == nil || k.result.Reason != dispatch.ReasonNoTargets {
		t.Errorf("result %+v, expected %s", k.result, dispatch.ReasonNoTargets)
	}
}
