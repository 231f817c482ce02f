package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

// crashDuration is how long a target is away that a task has crashed.
const crashDuration = 3 * time.Second

// submitDeadlyJob submits a job that can wait for a minute and has one task that crashes
// each target that starts it.
func (c *cluster) submitDeadlyJob(tasks int) (*caller, batch.Task) {
	s := c.submission("deadly", tasks, 60*time.Millisecond, 1000, 0)
	s.MaxAttempts, s.Objective, s.CallerTimeout = 100, time.Minute, time.Minute
	deadly := batch.Task{Job: s.Job.ID}
	c.work[deadly] = executor.Work{Duration: time.Second, Crashes: true, Demand: s.Job.Steps[0].Demand}
	return c.call(s, 0), deadly
}

// runWithCrashes advances the cluster, replaces crashed targets after the time restart,
// and returns the number of crashes.
func (c *cluster) runWithCrashes(d, restart time.Duration) (crashes int) {
	replacing := make(map[*agentNode]bool)
	for end := c.now.Add(d); c.now.Before(end); c.step() {
		for _, a := range c.agents {
			if !a.executor.Crashed || replacing[a] {
				continue
			}
			crashes++
			replacing[a] = true
			c.after(restart, func() {
				a.replaceCrashedTarget()
				replacing[a] = false
			})
		}
	}
	return crashes
}

// Guards against a task that crashes one target after the other (rule BUDGET).
func TestTaskUnderWhichTargetsCrashIsGivenUp(t *testing.T) {
	for _, entryCount := range []int{0, largeFleetEntries} {
		c := newCluster(t, 21, 2, equalRooms(8, 16000))
		c.setEntryCount(entryCount)
		c.run(500 * time.Millisecond)
		k, _ := c.submitDeadlyJob(4)
		crashes := c.runWithCrashes(25*time.Second, crashDuration)
		if k.result == nil || k.result.Code != dispatch.Failed || k.result.Reason != dispatch.ReasonCrashes {
			t.Errorf("result %+v, want %s because of %s", k.result, dispatch.Failed, dispatch.ReasonCrashes)
		}
		if crashes > 4 {
			t.Errorf("%d targets have crashed, want at most 4", crashes)
		}
	}
}

// Guards against a task that is started for ever because it crashes each target before
// the start is answered (rule BUDGET, review/3).
func TestTaskThatCrashesTargetsBeforeTheyAnswerIsGivenUp(t *testing.T) {
	for _, restart := range []time.Duration{crashDuration, 5 * time.Second} {
		c := newCluster(t, 26, 1, equalRooms(10, 16000))
		c.run(500 * time.Millisecond)
		s := c.submission("deadly", 1, 60*time.Millisecond, 1000, 0)
		deadly := batch.Task{Job: s.Job.ID}
		c.work[deadly] = executor.Work{Duration: time.Second, CrashesAtStart: true, Demand: s.Job.Steps[0].Demand}
		var result *dispatch.Result
		c.entries[0].core.RunDurable(dispatch.DurableJob{Submission: s, Term: 1, NotBefore: c.now}, func(r dispatch.Result) { result = &r })
		crashes := c.runWithCrashes(40*time.Second, restart)
		if result == nil || result.Reason != dispatch.ReasonCrashes {
			t.Errorf("targets away for %v: result %+v, want %s because of %s", restart, result, dispatch.Failed, dispatch.ReasonCrashes)
		}
		if crashes > 5 {
			t.Errorf("targets away for %v: %d have crashed, want at most 5", restart, crashes)
		}
	}
}

// Guards against jobs that are given up although their targets did not crash: they hang
// and answer again, one after the other.
func TestJobOnHangingTargetsIsNotGivenUp(t *testing.T) {
	c := newCluster(t, 22, 2, equalRooms(4, 16000))
	c.run(500 * time.Millisecond)
	s := c.submission("q", 2, 600*time.Millisecond, 1000, 0)
	s.MaxAttempts, s.Objective, s.CallerTimeout = 3, time.Minute, time.Minute
	k := c.call(s, 0)
	for range 4 {
		c.run(100 * time.Millisecond)
		c.lostAnswerShare = 1
		c.run(1500 * time.Millisecond)
		c.lostAnswerShare = 0
	}
	c.run(10 * time.Second)
	if k.result == nil || k.result.Code != dispatch.Completed {
		t.Errorf("result %+v, want %s", k.result, dispatch.Completed)
	}
}

// Guards against a crash that is not counted because the agent notices another target at
// the address before that one has reported to it.
func TestCrashNoticedByAnotherTargetAtTheAddressIsCounted(t *testing.T) {
	c := newCluster(t, 23, 1, equalRooms(6, 16000))
	c.run(500 * time.Millisecond)
	k, _ := c.submitDeadlyJob(1)
	replacing := make(map[*agentNode]bool)
	for range 25_000 {
		c.step()
		for _, a := range c.agents {
			if a.executor.Crashed && !replacing[a] {
				replacing[a] = true
				c.after(crashDuration, func() {
					a.executor = executor.New(c.now, a.executor.ID+"+", a.executor.Capacity, c.workOf)
					a.sequence = 0
					c.after(200*time.Millisecond, func() { a.deliver(a.report); replacing[a] = false })
				})
			}
		}
	}
	if k.result == nil || k.result.Reason != dispatch.ReasonCrashes {
		t.Errorf("result %+v, want %s because of %s", k.result, dispatch.Failed, dispatch.ReasonCrashes)
	}
}

// Guards against a malformed report that ends the entry.
func TestCrashReportOfAnUnknownTaskIsIgnored(t *testing.T) {
	c := newCluster(t, 24, 1, equalRooms(1, 16000))
	c.run(500 * time.Millisecond)
	s := c.submission("q", 1, time.Second, 1000, 0)
	k := c.call(s, 0)
	c.run(50 * time.Millisecond)
	for _, task := range []batch.Task{{Job: s.Job.ID, Step: -1}, {Job: s.Job.ID, Index: -1}, {Job: s.Job.ID, Step: 7}, {Job: s.Job.ID, Index: 7}, {Job: "other"}} {
		report := wire.RunReport{Run: batch.Run{Task: task, Number: 1}, TargetCrashed: true}
		c.entries[0].core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(), Runs: []wire.RunReport{report}})
	}
	c.run(2 * time.Second)
	if k.result == nil || k.result.Code != dispatch.Completed {
		t.Errorf("result %+v, want %s", k.result, dispatch.Completed)
	}
}

// Guards against an owner that takes a job over and starts a task again as often as the
// one before, under which targets may have crashed (rule BUDGET).
func TestSuspectedCrashesOfAnEarlierOwnerCount(t *testing.T) {
	c := newCluster(t, 25, 1, equalRooms(10, 16000))
	c.run(500 * time.Millisecond)
	s := c.submission("deadly", 1, 60*time.Millisecond, 1000, 0)
	deadly := batch.Task{Job: s.Job.ID}
	c.work[deadly] = executor.Work{Duration: time.Second, Crashes: true, Demand: s.Job.Steps[0].Demand}
	var result *dispatch.Result
	c.entries[0].core.RunDurable(dispatch.DurableJob{Submission: s, Term: 2, NotBefore: c.now,
		Progress: []dispatch.TaskProgress{{SuspectedRuns: []int{1, 2}}}}, func(r dispatch.Result) { result = &r })
	crashes := c.runWithCrashes(25*time.Second, crashDuration)
	if result == nil || result.Reason != dispatch.ReasonCrashes {
		t.Errorf("result %+v, want %s because of %s", result, dispatch.Failed, dispatch.ReasonCrashes)
	}
	if crashes > 2 {
		t.Errorf("%d targets have crashed at the second owner, want at most 2", crashes)
	}
}

// Guards against crashes that are not counted because they became certain only after
// another owner had taken the job over (rule BUDGET).
func TestCrashesThatBecomeCertainAfterATakeoverCount(t *testing.T) {
	c := newCluster(t, 27, 1, equalRooms(1, 16000))
	c.run(500 * time.Millisecond)
	s := c.submission("deadly", 1, 10*time.Second, 1000, 0)
	var result *dispatch.Result
	c.entries[0].core.RunDurable(dispatch.DurableJob{Submission: s, Term: 2, NotBefore: c.now,
		Progress: []dispatch.TaskProgress{{SuspectedRuns: []int{1, 2, 3}}}}, func(r dispatch.Result) { result = &r })
	c.run(time.Second)
	if running := c.agents[0].executor.Running(); len(running) > 0 {
		t.Errorf("runs %v started while it is not certain whether targets have crashed", running)
	}
	for _, number := range []int{1, 2, 2, 3} {
		if result != nil {
			t.Fatalf("result %+v before the third crash was reported", result)
		}
		report := wire.RunReport{Run: batch.Run{Task: batch.Task{Job: s.Job.ID}, Number: number}, TargetCrashed: true, StartUnconfirmed: true}
		c.entries[0].core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(), Runs: []wire.RunReport{report}})
	}
	if result == nil || result.Reason != dispatch.ReasonCrashes {
		t.Errorf("result %+v, want %s because of %s", result, dispatch.Failed, dispatch.ReasonCrashes)
	}
	if progress, _ := c.entries[0].core.DurableProgress(s.Job.ID); len(progress) != 1 || progress[0].UnconfirmedCrashes != 3 || len(progress[0].SuspectedRuns) != 0 {
		t.Errorf("progress %+v, want three crashes and no suspected run", progress)
	}
}

// Guards against a task that each new owner starts again, because its crashes became
// certain while no entry, or another one, owned its job (rule BUDGET, deadly-kept).
func TestCrashesReportedBeforeATakeoverCount(t *testing.T) {
	cases := []struct {
		name     string
		reported []int
		progress dispatch.TaskProgress
		givenUp  bool
	}{
		{"not recorded", []int{1, 2, 3}, dispatch.TaskProgress{}, true},
		{"suspected", []int{1, 2, 3}, dispatch.TaskProgress{SuspectedRuns: []int{1, 2, 3}}, true},
		{"two of three counted", []int{1, 2, 3}, dispatch.TaskProgress{UnconfirmedCrashes: 2, CountedRuns: []int{1, 2}}, true},
		{"all counted", []int{1, 2}, dispatch.TaskProgress{UnconfirmedCrashes: 2, CountedRuns: []int{1, 2}}, false},
		{"counted by an earlier version", []int{1, 2, 3}, dispatch.TaskProgress{UnconfirmedCrashes: 2}, false},
	}
	for _, step := range cases {
		c := newCluster(t, 28, 1, equalRooms(1, 16000))
		c.run(500 * time.Millisecond)
		s := c.submission("q", 1, 60*time.Millisecond, 1000, 0)
		for _, number := range step.reported {
			report := wire.RunReport{Run: batch.Run{Task: batch.Task{Job: s.Job.ID}, Number: number}, TargetCrashed: true, StartUnconfirmed: true}
			c.entries[0].core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(), Runs: []wire.RunReport{report}})
		}
		var result *dispatch.Result
		c.entries[0].core.RunDurable(dispatch.DurableJob{Submission: s, Term: 2, NotBefore: c.now, Progress: []dispatch.TaskProgress{step.progress}},
			func(r dispatch.Result) { result = &r })
		c.run(time.Second)
		want := dispatch.Completed
		if step.givenUp {
			want = dispatch.Failed
		}
		if result == nil || result.Code != want {
			t.Errorf("%s: result %+v, want %s", step.name, result, want)
		}
	}
}
