package e2e

import (
	"fmt"
	"syscall"
	"testing"
)

// G1, G3: a client that believes its job lost submits it again through another
// entry while the first runs it and after the first has answered.
func TestResubmitWhileOwnerAlive(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)
	s := newJob("alive", 40, 100)
	first := submitAsync(ctx, client, c.entries[0], s)
	c.await("a task has started", func() bool { n, _ := s.count(c.starts()); return n > 0 })
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
	checkComplete(t, s, <-first)
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
	checkComplete(t, s, submit(ctx, client, c.entries[0], s))
	checkStarts(t, c, s, s.tasks)
}

// G1, G3: a client submits the same jobs through two entries at the same moment,
// so that their claims race in the log.
func TestResubmitAtTheSameMoment(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)
	const rounds, jobsPerRound = 10, 4
	c.controlLog(map[string]any{"append_delay_ms": 20})
	for round := range rounds {
		var replies [jobsPerRound][2]<-chan reply
		var submissions [jobsPerRound]submission
		for i := range jobsPerRound {
			submissions[i] = newJob(fmt.Sprintf("race-%d-%d", round, i), 2, 5)
			for e := range 2 {
				replies[i][e] = submitAsync(ctx, client, c.entries[e], submissions[i])
			}
		}
		for i, s := range submissions {
			checkComplete(t, s, <-replies[i][0])
			checkComplete(t, s, <-replies[i][1])
			checkStarts(t, c, s, s.tasks)
		}
	}
}

// G1, G2: the entry that owns a job is paused while part of its tasks run and
// the rest wait. Another entry answers for it; after the pause the first entry
// must not start what the answer has called lost.
func TestResubmitWhileOwnerStopped(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)
	s := newJob("stopped", 60, 1000)
	first := submitAsync(ctx, client, c.entries[0], s)
	c.await("the slots are taken", func() bool { n, _ := s.count(c.starts()); return n >= 2*slotsPerAgent })
	c.entries[0].stop()
	recovered := submit(ctx, client, c.entries[1], s)
	outcomes := checkWhole(t, s, recovered)
	if recovered.State != "failed" || outcomes["ok"] == 0 || outcomes["unknown"] == 0 {
		t.Fatalf("recovered answer: %v", recovered)
	}
	before, _ := s.count(c.starts())
	c.entries[0].signal(syscall.SIGCONT)
	<-first
	// The fenced entry must not take a submission any more: it would claim the key
	// and could not run it. It ends by itself when an agent is connected again.
	if err := c.entries[0].awaitExit(); err == nil {
		t.Error("the fenced entry ended without an error")
	}
	checkStarts(t, c, s, before)
	again := submit(ctx, client, c.entries[1], s)
	if checkWhole(t, s, again)["ok"] != outcomes["ok"] {
		t.Errorf("first answer %v, second %v", recovered, again)
	}
}

// G1: the owner dies while the append of its claim is delayed, so that the claim
// has no effect. Another entry runs the job.
func TestOwnerKilledBeforeItsClaim(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)
	s := newJob("unclaimed", 8, 20)
	c.controlLog(map[string]any{"append_delay_ms": 1000})
	first := submitAsync(ctx, client, c.entries[0], s)
	c.await("the entry has taken the job", func() bool {
		return c.entries[0].phaseCount("claiming")+c.entries[0].phaseCount("running")+c.entries[0].phaseCount("answered") == 1
	})
	c.entries[0].end()
	<-first
	c.controlLog(map[string]any{"append_delay_ms": 0})
	checkWhole(t, s, submit(ctx, client, c.entries[1], s))
	checkStartedOnce(t, c, s)
}

func (p *process) phaseCount(phase string) int {
	d, err := p.readDump()
	if err != nil {
		return -1
	}
	total := 0
	for _, shard := range d.State.Jobs {
		total += shard[phase]
	}
	return total
}

// G1, G2: the owner's claim takes effect only after its death. The key belongs
// to a dead entry that has started nothing, and must not run elsewhere, because
// no reader of the log can tell.
func TestOwnerKilledAndClaimTakesEffectLater(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)
	s := newJob("late-claim", 4, 20)
	const lateAppends = 1000 // also of the attempts that follow the first
	c.controlLog(map[string]any{"late_next": lateAppends, "late_ms": 1500})
	submitAsync(ctx, client, c.entries[0], s)
	c.await("an append has lost its answer", func() bool { return c.log.Status().Control.LateNext < lateAppends })
	c.entries[0].end()
	c.await("the claims have taken effect", func() bool {
		status := c.log.Status()
		return int(status.Counters.EffectsLate) == lateAppends-status.Control.LateNext
	})
	c.controlLog(map[string]any{"late_next": 0})
	outcomes := checkWhole(t, s, submit(ctx, client, c.entries[1], s))
	started, highest := s.count(c.starts())
	if highest > 1 || started == 0 && outcomes["unknown"] != s.tasks {
		t.Fatalf("%d tasks started, one %d times, outcomes %v", started, highest, outcomes)
	}
	if started > 0 && outcomes["ok"] == s.tasks {
		t.Fatal("the entry that recovers the key has started its tasks")
	}
}

// G1, G2: the owner dies between dispatch and answer. The agents hold all
// results, so the other entry's answer is complete.
func TestOwnerKilledWhileTasksRun(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)
	s := newJob("running", 2*slotsPerAgent, 1500)
	submitAsync(ctx, client, c.entries[0], s)
	c.await("all tasks have started", func() bool { n, _ := s.count(c.starts()); return n == s.tasks })
	c.entries[0].end()
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
	checkStarts(t, c, s, s.tasks)
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
}

// G1, G3: the owner dies after its answer, of which the client may have seen
// nothing. The agents hand the results to the other entry, whether the owner had
// released them or not.
func TestOwnerKilledAfterItsAnswer(t *testing.T) {
	for _, released := range []bool{false, true} {
		t.Run(fmt.Sprintf("released=%t", released), func(t *testing.T) {
			c := newCluster(t, 2, 2)
			ctx, client := c.context(), newCaller(t)
			s := newJob("answered", 20, 20)
			checkComplete(t, s, submit(ctx, client, c.entries[0], s))
			if released {
				for _, agent := range c.agents {
					c.await("the results are released", func() bool { return agent.openTasks() == 0 })
				}
			}
			c.entries[0].end()
			checkComplete(t, s, submit(ctx, client, c.entries[1], s))
			checkStarts(t, c, s, s.tasks)
		})
	}
}

// openTasks returns how many tasks an agent holds, or -1 if it does not answer.
func (p *process) openTasks() int {
	d, err := p.readDump()
	if err != nil {
		return -1
	}
	total := 0
	for _, sender := range d.State.Senders {
		total += sender.Open
	}
	return total
}

// G1, G2: the owner dies while a part of its tasks runs, and a client submits the
// job again through two other entries at the same moment. Both recover it, start
// nothing and give the same whole answer.
func TestTwoEntriesRecoverAtOnce(t *testing.T) {
	c := newCluster(t, 3, 2)
	ctx, client := c.context(), newCaller(t)
	// The tasks still run when the owner is taken as dead after 3 s.
	s := newJob("twice", 3*slotsPerAgent, 4500)
	submitAsync(ctx, client, c.entries[0], s)
	c.await("the slots are taken", func() bool { n, _ := s.count(c.starts()); return n >= 2*slotsPerAgent })
	c.entries[0].end()
	second, third := submitAsync(ctx, client, c.entries[1], s), submitAsync(ctx, client, c.entries[2], s)
	b, d := <-second, <-third
	outcomes := checkWhole(t, s, b)
	checkWhole(t, s, d)
	for i := range b.Tasks {
		if b.Tasks[i].Outcome != d.Tasks[i].Outcome {
			t.Errorf("task %d is %q at one entry and %q at the other", i, b.Tasks[i].Outcome, d.Tasks[i].Outcome)
		}
	}
	started, highest := s.count(c.starts())
	if highest > 1 || outcomes["ok"] != started {
		t.Errorf("%d tasks started, one %d times; outcomes %v", started, highest, outcomes)
	}
}
