package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/fencing"
)

// G1, G2, G5: an agent is killed under load and started again. Every job is answered
// with the outcome of each task, idempotent requests succeed at another agent, no
// task of a job starts twice, and the new incarnation receives tasks.
func TestAgentKilledUnderLoad(t *testing.T) {
	c := newCluster(t, 2, 3)
	l := startLoad(t, c, callersWithinBacklog, c.entries, untilStopped)
	c.await("the target is under load", func() bool { return len(c.startsAt(0)) > 50 })
	dumpBefore, err := c.agents[0].readDump()
	if err != nil {
		t.Fatal(err)
	}
	c.agents[0].kill()
	startsBefore := len(c.startsAt(0))
	c.agents[0].start("agent")
	for _, entry := range c.entries {
		c.await(entry.name+" serves the new incarnation", func() bool { return entry.servesAgent(c.agents[0].name, dumpBefore.State.Incarnation) })
	}
	c.await("the new incarnation receives tasks", func() bool { return len(c.startsAt(0)) > startsBefore+20 })
	calls := l.stopAndWait()
	starts := c.starts()
	for _, call := range calls {
		if call.submission.idempotent {
			checkComplete(t, call.submission, call.reply)
			continue
		}
		checkOutcomes(t, call.submission, call.reply)
		if _, highest := call.submission.countStarts(starts); highest > 1 {
			t.Fatalf("job %q: one task was started %d times", call.submission.key, highest)
		}
	}
}

// G6, G1: an agent is suspended for longer than its lease while tasks are sent to it,
// and then continued. The tasks that were buffered meanwhile must not start, because
// the entries have answered them as unknown. New tasks must start.
func TestAgentStoppedBeyondItsLease(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	c.agents[0].suspend()
	suspendedAt := time.Now()
	const jobs = 10 // at most what the other agent alone accepts
	var replies [jobs]<-chan reply
	var submissions [jobs]submission
	for i := range jobs {
		submissions[i] = newJob(fmt.Sprintf("stopped-%d", i), 1, 20)
		replies[i] = submitAsync(ctx, client, c.entries[i%2], submissions[i])
	}
	var unknown []submission
	for i, s := range submissions {
		if outcomes := checkOutcomes(t, s, <-replies[i]); outcomes["unknown"] > 0 {
			unknown = append(unknown, s)
		}
	}
	if len(unknown) == 0 {
		t.Fatal("no task was sent to the suspended agent")
	}
	// The lease of the agent counts from the last message that it received, which
	// may be later than the last message that an entry received from it.
	c.await("the lease has ended", func() bool { return time.Since(suspendedAt) > fencing.DefaultLimits.LeaseDuration })
	c.agents[0].signal(syscall.SIGCONT)
	c.awaitServing()
	c.await("the agent receives tasks again", func() bool {
		s := newJob(fmt.Sprintf("after-%d", len(c.starts())), 2*slotsPerAgent, 20)
		checkComplete(t, s, submit(ctx, client, c.entries[0], s))
		return len(c.startsAt(0)) > 0
	})
	for _, s := range unknown {
		checkStarts(t, c, s, 0)
	}
}

// G2: a target refuses, fails or hangs. The answer to a job states the outcome of
// each task.
func TestTargetFaults(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)

	c.postControl(c.targetURLs[0], map[string]any{"refuse": true})
	// The tasks are few, so that their retries stay within the retry budget, which
	// allows 10 before any success.
	refused := newJob("refuse", 4, 10)
	checkComplete(t, refused, submit(ctx, client, c.entries[0], refused))
	checkStarts(t, c, refused, refused.tasks)
	if n := len(c.startsAt(0)); n != 0 {
		t.Fatalf("the refusing target started %d tasks", n)
	}

	c.postControl(c.targetURLs[0], map[string]any{"refuse": false, "fail_all": true})
	c.postControl(c.targetURLs[1], map[string]any{"fail_all": true})
	failing := newJob("fail", 4, 10)
	r := submit(ctx, client, c.entries[1], failing)
	outcomes := checkOutcomes(t, failing, r)
	if outcomes["failed"] == 0 || outcomes["failed"]+outcomes["not_started"] != failing.tasks {
		t.Fatalf("outcomes %v at targets that fail everything", outcomes)
	}
	checkStarts(t, c, failing, outcomes["failed"])

	c.postControl(c.targetURLs[0], map[string]any{"fail_all": false, "hang": true})
	c.postControl(c.targetURLs[1], map[string]any{"fail_all": false, "hang": true})
	hanging := newJob("hang", 4, 10)
	hanging.deadlineMS = 1000
	outcomes = checkOutcomes(t, hanging, submit(ctx, client, c.entries[0], hanging))
	started, highest := hanging.countStarts(c.starts())
	if outcomes["ok"]+outcomes["failed"] > 0 || outcomes["not_started"] > hanging.tasks-started || highest > 1 {
		t.Fatalf("outcomes %v of %d tasks started at targets that hang", outcomes, started)
	}
	for i := range c.targets {
		c.await("the hanging tasks are stopped", func() bool { return c.targets[i].Status().Counters.Running == 0 })
	}
	c.postControl(c.targetURLs[0], map[string]any{"hang": false})
	c.postControl(c.targetURLs[1], map[string]any{"hang": false})
	checkNoRepeatedStart(t, c, refused)
	again := submit(ctx, client, c.entries[1], hanging)
	checkOutcomes(t, hanging, again)
	checkStarts(t, c, hanging, started)
}
