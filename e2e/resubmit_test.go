package e2e

import (
	"fmt"
	"syscall"
	"testing"
)

// G1, G3: a client that believes its job lost submits it again, through another entry
// while the first entry runs it, and through both after it was answered. Each call
// gets the complete answer, and every task starts once.
func TestResubmitWhileOwnerAlive(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	s := newJob("alive", 40, 100)
	first := submitAsync(ctx, client, c.entries[0], s)
	c.await("a task has started", func() bool { n, _ := s.countStarts(c.starts()); return n > 0 })
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
	checkComplete(t, s, <-first)
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
	checkComplete(t, s, submit(ctx, client, c.entries[0], s))
	checkStarts(t, c, s, s.tasks)
}

// G1, G3: a client submits the same jobs through two entries at the same time, so
// that their claims race in the log. Both calls get the answer, and every task
// starts once.
func TestConcurrentSubmissionsOfOneKey(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	const rounds, jobsPerRound = 10, 4
	c.postLogControl(map[string]any{"append_delay_ms": 20})
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

// G1, G2: the entry that owns a job is suspended while some of its tasks run and the
// others wait. Another entry answers the job. When the first entry continues, it must
// not start the tasks that the answer states as unknown.
func TestResubmitWhileOwnerStopped(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	s := newJob("stopped", 60, 1000)
	first := submitAsync(ctx, client, c.entries[0], s)
	c.await("the slots are taken", func() bool { n, _ := s.countStarts(c.starts()); return n >= 2*slotsPerAgent })
	c.entries[0].suspend()
	recovered := submit(ctx, client, c.entries[1], s)
	outcomes := checkOutcomes(t, s, recovered)
	if recovered.State != "failed" || outcomes["ok"] == 0 || outcomes["unknown"] == 0 {
		t.Fatalf("recovered answer: %v", recovered)
	}
	startsBefore, _ := s.countStarts(c.starts())
	c.entries[0].signal(syscall.SIGCONT)
	<-first
	// The fenced entry must not accept submissions: it would claim the key and
	// could not run the job. It exits by itself when an agent connects again.
	if err := c.entries[0].awaitExit(); err == nil {
		t.Error("the fenced entry exited without an error")
	}
	checkStarts(t, c, s, startsBefore)
	again := submit(ctx, client, c.entries[1], s)
	if checkOutcomes(t, s, again)["ok"] != outcomes["ok"] {
		t.Errorf("answer %v, answer to the next submission %v: numbers of tasks that succeeded differ", recovered, again)
	}
}

// G1: the owner is killed while the append of its claim is delayed, so that the claim
// has no effect. Another entry runs the job, and no task starts twice.
func TestOwnerKilledBeforeItsClaim(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	s := newJob("unclaimed", 8, 20)
	c.postLogControl(map[string]any{"append_delay_ms": 1000})
	first := submitAsync(ctx, client, c.entries[0], s)
	c.await("the entry has accepted the job", func() bool {
		return c.entries[0].jobsInPhase("claiming")+c.entries[0].jobsInPhase("running")+c.entries[0].jobsInPhase("answered") == 1
	})
	c.entries[0].kill()
	<-first
	c.postLogControl(map[string]any{"append_delay_ms": 0})
	checkOutcomes(t, s, submit(ctx, client, c.entries[1], s))
	checkNoRepeatedStart(t, c, s)
}

// jobsInPhase returns the number of jobs of an entry in a phase, or -1 if it does
// not answer.
func (p *process) jobsInPhase(phase string) int {
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

// G1, G2: the claim of the owner takes effect only after the owner is killed. The key
// then belongs to a dead entry that has started no task. Another entry must still not
// run the tasks, because the log does not show whether the owner started any.
func TestOwnerKilledAndClaimTakesEffectLater(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	s := newJob("late-claim", 4, 20)
	const lateAppends = 1000 // enough for the first append and its retries
	c.postLogControl(map[string]any{"late_next": lateAppends, "late_ms": 1500})
	submitAsync(ctx, client, c.entries[0], s)
	c.await("an append has lost its answer", func() bool { return c.log.Status().Control.LateNext < lateAppends })
	c.entries[0].kill()
	c.await("the claims have taken effect", func() bool {
		status := c.log.Status()
		return int(status.Counters.EffectsLate) == lateAppends-status.Control.LateNext
	})
	c.postLogControl(map[string]any{"late_next": 0})
	outcomes := checkOutcomes(t, s, submit(ctx, client, c.entries[1], s))
	started, highest := s.countStarts(c.starts())
	if highest > 1 || started == 0 && outcomes["unknown"] != s.tasks {
		t.Fatalf("%d tasks started, one %d times, outcomes %v", started, highest, outcomes)
	}
	if started > 0 && outcomes["ok"] == s.tasks {
		t.Fatal("the entry that recovered the key started its tasks")
	}
}

// G1, G2: the owner is killed between dispatch and answer. The agents hold all
// results, so that the answer of the other entry is complete.
func TestOwnerKilledWhileTasksRun(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	s := newJob("running", 2*slotsPerAgent, 1500)
	submitAsync(ctx, client, c.entries[0], s)
	c.await("all tasks have started", func() bool { n, _ := s.countStarts(c.starts()); return n == s.tasks })
	c.entries[0].kill()
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
	checkStarts(t, c, s, s.tasks)
	checkComplete(t, s, submit(ctx, client, c.entries[1], s))
}

// G1, G3: the owner is killed after its answer, which the client may not have
// received. The agents send the results to the other entry, whether the owner had
// released them or not.
func TestOwnerKilledAfterItsAnswer(t *testing.T) {
	for _, released := range []bool{false, true} {
		t.Run(fmt.Sprintf("released=%t", released), func(t *testing.T) {
			c := newCluster(t, 2, 2)
			ctx, client := c.context(), newClient(t)
			s := newJob("answered", 20, 20)
			checkComplete(t, s, submit(ctx, client, c.entries[0], s))
			if released {
				for _, agent := range c.agents {
					c.await("the results are released", func() bool { return agent.openTasks() == 0 })
				}
			}
			c.entries[0].kill()
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

// G1, G2: the owner is killed while some of its tasks run, and a client submits the
// job again through two other entries at the same time. Both recover it, start no
// task and give the same outcome for each task.
func TestConcurrentRecoveryByTwoEntries(t *testing.T) {
	c := newCluster(t, 3, 2)
	ctx, client := c.context(), newClient(t)
	// The tasks still run when the entries consider the owner dead, after 3 s.
	s := newJob("twice", 3*slotsPerAgent, 4500)
	submitAsync(ctx, client, c.entries[0], s)
	c.await("the slots are taken", func() bool { n, _ := s.countStarts(c.starts()); return n >= 2*slotsPerAgent })
	c.entries[0].kill()
	second, third := submitAsync(ctx, client, c.entries[1], s), submitAsync(ctx, client, c.entries[2], s)
	secondReply, thirdReply := <-second, <-third
	outcomes := checkOutcomes(t, s, secondReply)
	checkOutcomes(t, s, thirdReply)
	for i := range secondReply.Tasks {
		if secondReply.Tasks[i].Outcome != thirdReply.Tasks[i].Outcome {
			t.Errorf("task %d is %q at one entry and %q at the other", i, secondReply.Tasks[i].Outcome, thirdReply.Tasks[i].Outcome)
		}
	}
	started, highest := s.countStarts(c.starts())
	if highest > 1 || outcomes["ok"] != started {
		t.Errorf("%d tasks started, one %d times; outcomes %v", started, highest, outcomes)
	}
}
