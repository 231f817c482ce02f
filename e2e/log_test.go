package e2e

import (
	"fmt"
	"net/http"
	"testing"
)

// checkRefusedNotRun asserts that a first submission was refused as not run because
// the log did not confirm its claim.
func checkRefusedNotRun(t *testing.T, s submission, r reply) {
	t.Helper()
	if r.err != nil || r.status != http.StatusServiceUnavailable || r.Code != "log_unavailable" || r.Run != "no" || r.retryAfter == "" {
		t.Fatalf("job %q was answered with %v, Retry-After %q", s.key, r, r.retryAfter)
	}
}

// awaitClaims waits until every entry has read the claims stream past all claims
// appended so far. To this end it submits a job through each entry, whose claim is
// appended after them.
func (c *cluster) awaitClaims(name string) {
	c.t.Helper()
	ctx, client := c.context(), newClient(c.t)
	for i, entry := range c.entries {
		s := newJob(fmt.Sprintf("%s-%d", name, i), 1, 1)
		checkComplete(c.t, s, submit(ctx, client, entry, s))
	}
}

// G4, G1: the log is down. Keyed submissions are refused as not run and never start,
// not even when the log is available again; idempotent requests are served. A
// refused key that is submitted again runs once.
func TestLogDown(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	c.postLogControl(map[string]any{"outage": "down"})
	const jobs = 6
	var replies [jobs]<-chan reply
	var submissions [jobs]submission
	for i := range jobs {
		s := newJob(fmt.Sprintf("down-%d", i), 3, 5)
		s.firstSubmission, s.deadlineMS = true, 600
		submissions[i] = s
		replies[i] = submitAsync(ctx, client, c.entries[i%2], s)
	}
	for i, s := range submissions {
		for e := range c.entries {
			request := newIdempotentRequest(5)
			checkComplete(t, request, submit(ctx, client, c.entries[e], request))
		}
		checkRefusedNotRun(t, s, <-replies[i])
	}
	c.postLogControl(map[string]any{"outage": ""})
	c.awaitClaims("log-is-back")
	for i, s := range submissions {
		checkStarts(t, c, s, 0)
		s.firstSubmission, s.deadlineMS = false, 20_000
		checkComplete(t, s, submit(ctx, client, c.entries[(i+1)%2], s))
		checkStarts(t, c, s, s.tasks)
	}
}

// G1, G4: the responses to the appends of a claim are lost, and its records appear
// in the log only after the submission has been refused as not run, while the log is
// down. The late records must not start any task.
func TestClaimTakesEffectAfterRefusal(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	s := newJob("late", 3, 5)
	s.firstSubmission, s.deadlineMS = true, 800
	// No append takes effect before the deadline, also on a loaded machine: it
	// does so 5 s later.
	const lateAppends = 1000
	c.postLogControl(map[string]any{"late_next": lateAppends, "late_ms": 5800})
	refused := submitAsync(ctx, client, c.entries[0], s)
	c.await("an append has lost its answer", func() bool { return c.log.Status().Control.LateNext < lateAppends })
	c.postLogControl(map[string]any{"outage": "down"})
	checkRefusedNotRun(t, s, <-refused)
	c.await("the records have appeared", func() bool {
		status := c.log.Status()
		return int(status.Counters.EffectsLate) == lateAppends-status.Control.LateNext
	})
	c.postLogControl(map[string]any{"outage": "", "late_next": 0})
	c.awaitClaims("after-late")
	checkStarts(t, c, s, 0)
	s.firstSubmission, s.deadlineMS = false, 20_000
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
	checkStarts(t, c, s, s.tasks)
}

// G1, G2: the response to the append of a claim is lost, and the record takes effect
// at once or 300 ms later. The job runs once, whichever entry it is submitted to
// again.
func TestAppendAnswerLost(t *testing.T) {
	faults := map[string]map[string]any{
		"effect at once": {"lose_next": 2},
		"effect later":   {"late_next": 2, "late_ms": 300},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 2)
			ctx, client := c.context(), newClient(t)
			c.postLogControl(fault)
			s := newJob("lost", 6, 20)
			first := submitAsync(ctx, client, c.entries[0], s)
			checkComplete(t, s, submit(ctx, client, c.entries[1], s))
			checkComplete(t, s, <-first)
			c.await("every record has appeared", func() bool {
				status := c.log.Status()
				lost := 2 - status.Control.LoseNext - status.Control.LateNext
				return lost > 0 && int(status.Counters.ResponsesLost+status.Counters.EffectsLate) == lost
			})
			c.postLogControl(map[string]any{"lose_next": 0, "late_next": 0})
			c.awaitClaims("after-lost")
			checkComplete(t, s, submit(ctx, client, c.entries[0], s))
			checkStarts(t, c, s, s.tasks)
		})
	}
}

// G1, G2: the log hangs and then is slow. Idempotent requests do not wait for it;
// jobs wait until their claims are confirmed, and then complete.
func TestLogHangsThenIsSlow(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	c.postLogControl(map[string]any{"outage": "hang"})
	s := newJob("slow", 6, 5)
	replies := []<-chan reply{submitAsync(ctx, client, c.entries[0], s), submitAsync(ctx, client, c.entries[1], s)}
	for _, entry := range c.entries {
		request := newIdempotentRequest(5)
		checkComplete(t, request, submit(ctx, client, entry, request))
	}
	checkStarts(t, c, s, 0)
	c.postLogControl(map[string]any{"outage": "slow", "slow_ms": 800})
	for _, r := range replies {
		checkComplete(t, s, <-r)
	}
	checkStarts(t, c, s, s.tasks)
}
