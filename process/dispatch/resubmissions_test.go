package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
)

// startAndLose submits a job to the entry of a cluster, which is then cut off from its only
// agent for good. The caller leaves before that if leaves is set.
func startAndLose(t *testing.T, leaves bool) (*cluster, batch.Submission) {
	c := newCluster(t, 63, 1, equalRooms(1, 16000))
	c.run(500 * time.Millisecond)
	s := c.submission("q", 2, 10*time.Second, 1000, 0)
	leave := c.entries[0].core.Submit(s, func(dispatch.Result) {})
	c.run(200 * time.Millisecond)
	if c.running() != 2 || !c.entries[0].core.MayHaveRun(s.Job.ID) {
		t.Fatalf("%d runs of the job, want 2", c.running())
	}
	if leaves {
		leave()
		c.run(200 * time.Millisecond)
	}
	c.cut(func(*link) bool { return true })
	c.run(3 * time.Second)
	return c, s
}

// Guards against a caller who is told that its job has not run although tasks of an earlier
// submission have, whose answer was lost.
func TestRefusalOfAJobThatHasRunDoesNotSayThatItHasNot(t *testing.T) {
	for name, leaves := range map[string]bool{"the caller left": true, "the job was given up": false} {
		t.Run(name, func(t *testing.T) {
			c, s := startAndLose(t, leaves)
			for range 2 {
				var result dispatch.Result
				c.entries[0].core.Submit(s, func(r dispatch.Result) { result = r })
				if result.Code != dispatch.GaveUp || result.Reason != dispatch.ReasonNoTargets {
					t.Errorf("result %+v, want %s because of %s", result, dispatch.GaveUp, dispatch.ReasonNoTargets)
				}
			}
			other := c.submission("q", 1, time.Second, 1000, 0)
			var result dispatch.Result
			c.entries[0].core.Submit(other, func(r dispatch.Result) { result = r })
			if result.Code != dispatch.NotRun {
				t.Errorf("result %+v of a job that has not run, want %s", result, dispatch.NotRun)
			}
		})
	}
}

// Guards against kept jobs of a queue whose callers always leave little time, all of which
// seem to be submitted again when they are refused.
func TestShortDeadlinesOfKeptJobsAreNotResubmissions(t *testing.T) {
	c := newCluster(t, 64, 1, equalRooms(1, 16000))
	c.run(500 * time.Millisecond)
	core := c.entries[0].core
	s := c.submission("q", 1, time.Second, 1000, 0)
	s.PriorWait = time.Second
	if !core.LooksResubmitted(s) {
		t.Error("the first submission with a short deadline is not taken for a resubmission")
	}
	for range 500 {
		core.AdmitDurable(s)
	}
	if core.LooksResubmitted(s) {
		t.Error("a submission is taken for a resubmission although all of its queue look so")
	}
}
