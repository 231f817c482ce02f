package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/fencing"
)

// G1, G2, G5: an agent is killed under load and started again. Every job gets a
// whole answer, idempotent requests succeed elsewhere, nothing starts twice, and
// the new incarnation gets work.
func TestAgentKilledUnderLoad(t *testing.T) {
	c := newCluster(t, 2, 3)
	l := startLoad(t, c, loadWithinBacklog, c.entries, always)
	c.await("the target is under load", func() bool { return len(c.startsAt(0)) > 50 })
	d, err := c.agents[0].readDump()
	if err != nil {
		t.Fatal(err)
	}
	c.agents[0].end()
	before := len(c.startsAt(0))
	c.agents[0].start("agent")
	for _, entry := range c.entries {
		c.await("the new incarnation is served", func() bool { return entry.serves(c.agents[0].name, d.State.Incarnation) })
	}
	c.await("the new incarnation gets work", func() bool { return len(c.startsAt(0)) > before+20 })
	ends := l.end()
	starts := c.starts()
	for _, end := range ends {
		if end.s.idempotent {
			checkComplete(t, end.s, end.r)
			continue
		}
		checkWhole(t, end.s, end.r)
		if _, highest := end.s.count(starts); highest > 1 {
			t.Fatalf("job %q: one task was started %d times", end.s.key, highest)
		}
	}
}

// G6, G1: an agent is stopped for longer than its lease while tasks are on their
// way to it, and then continued. What was buffered meanwhile must not start, as
// the entries have given it up; new work must.
func TestAgentStoppedBeyondItsLease(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)
	c.agents[0].stop()
	stopped := time.Now()
	const jobs = 10 // no more than the other agent accepts, should it get all
	var replies [jobs]<-chan reply
	var submissions [jobs]submission
	for i := range jobs {
		submissions[i] = newJob(fmt.Sprintf("stopped-%d", i), 1, 20)
		replies[i] = submitAsync(ctx, client, c.entries[i%2], submissions[i])
	}
	var lost []submission
	for i, s := range submissions {
		if outcomes := checkWhole(t, s, <-replies[i]); outcomes["unknown"] > 0 {
			lost = append(lost, s)
		}
	}
	if len(lost) == 0 {
		t.Fatal("no task was sent to the stopped agent")
	}
	// The agent's lease began at the last message before the stop, which may be
	// later than the last message that an entry has from it.
	c.await("the lease has ended", func() bool { return time.Since(stopped) > fencing.DefaultLimits.Lease })
	c.agents[0].signal(syscall.SIGCONT)
	c.awaitServing()
	c.await("the agent gets work again", func() bool {
		s := newJob(fmt.Sprintf("after-%d", len(c.starts())), 2*slotsPerAgent, 20)
		checkComplete(t, s, submit(ctx, client, c.entries[0], s))
		return len(c.startsAt(0)) > 0
	})
	for _, s := range lost {
		checkStarts(t, c, s, 0)
	}
}

// G2: a target refuses, fails or hangs. The answer to a job is whole and says of
// each task how it ended.
func TestTargetFaults(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)

	c.control(c.urls[0], map[string]any{"refuse": true})
	// Few tasks, so that trying them again stays within the retry budget, of
	// which 10 are granted before any success.
	refused := newJob("refuse", 4, 10)
	checkComplete(t, refused, submit(ctx, client, c.entries[0], refused))
	checkStarts(t, c, refused, refused.tasks)
	if n := len(c.startsAt(0)); n != 0 {
		t.Fatalf("the refusing target started %d tasks", n)
	}

	c.control(c.urls[0], map[string]any{"refuse": false, "fail_all": true})
	c.control(c.urls[1], map[string]any{"fail_all": true})
	failing := newJob("fail", 4, 10)
	r := submit(ctx, client, c.entries[1], failing)
	outcomes := checkWhole(t, failing, r)
	if outcomes["failed"] == 0 || outcomes["failed"]+outcomes["not_started"] != failing.tasks {
		t.Fatalf("outcomes %v at targets that fail everything", outcomes)
	}
	checkStarts(t, c, failing, outcomes["failed"])

	c.control(c.urls[0], map[string]any{"fail_all": false, "hang": true})
	c.control(c.urls[1], map[string]any{"fail_all": false, "hang": true})
	hanging := newJob("hang", 4, 10)
	hanging.deadlineMS = 1000
	outcomes = checkWhole(t, hanging, submit(ctx, client, c.entries[0], hanging))
	started, highest := hanging.count(c.starts())
	if outcomes["ok"]+outcomes["failed"] > 0 || outcomes["not_started"] > hanging.tasks-started || highest > 1 {
		t.Fatalf("outcomes %v of %d tasks started at targets that hang", outcomes, started)
	}
	for i := range c.targets {
		c.await("the hanging tasks are stopped", func() bool { return c.targets[i].Status().Counters.Running == 0 })
	}
	c.control(c.urls[0], map[string]any{"hang": false})
	c.control(c.urls[1], map[string]any{"hang": false})
	checkStartedOnce(t, c, refused)
	again := submit(ctx, client, c.entries[1], hanging)
	checkWhole(t, hanging, again)
	checkStarts(t, c, hanging, started)
}
