package dispatch_test

import (
	"maps"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/locality"
	"github.com/azurerouter/azurerouter/request/batch"
)

// nearJob returns a job of one task of a whole target, with an exact estimate.
func (c *rackCluster) nearJob(name, rack string, work time.Duration) batch.Submission {
	s := c.submission(name, 1, work, 32000, 0)
	s.Job.Steps[0].DataRack, c.rackOf[s.Job.ID] = rack, rack
	return s
}

// orderedAt returns the agents to which starts of each job have been ordered that they have
// not received.
func (c *cluster) orderedAt() map[batch.ID]string {
	ordered := make(map[batch.ID]string)
	for _, l := range c.links {
		for _, d := range l.toAgent {
			if m, ok := d.m.(*wire.Orders); ok {
				for _, start := range m.Starts {
					ordered[start.Job] = l.agent.name
				}
			}
		}
	}
	return ordered
}

// Guards against a start far from the data just before a near target is free, and against
// a wait for one that is free too late. A remote task takes 300 ms longer.
func TestTaskWaitsWhileItEndsEarlier(t *testing.T) {
	cases := []struct {
		name     string
		busy     time.Duration
		min, max time.Duration
		waits    uint64
	}{
		// The end of the run before is foretold with an error of 40 %.
		{"short wait", 50 * time.Millisecond, 330 * time.Millisecond, 400 * time.Millisecond, 1},
		{"long wait", 400 * time.Millisecond, 600 * time.Millisecond, 650 * time.Millisecond, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newRackCluster(t, 1, 1, 2, 1, 2, locality.ByGain)
			c.call(c.nearJob("first", rackName(0), test.busy), 0)
			c.run(10 * time.Millisecond)
			s := c.nearJob("second", rackName(0), 300*time.Millisecond)
			s.Objective = time.Second
			k := c.call(s, 0)
			c.run(2 * time.Second)
			if !k.completed() || k.took < test.min || k.took > test.max {
				t.Errorf("took %v (%+v), expected %v to %v", k.took, k.result, test.min, test.max)
			}
			if counts := c.entries[0].core.Counts(); counts.LocalWaits != test.waits || counts.LocalWaitsMet != test.waits {
				t.Errorf("%d waits, %d met; expected %d", counts.LocalWaits, counts.LocalWaitsMet, test.waits)
			}
		})
	}
}

// Guards against steps that wait for their rack and thereby keep others from a start
// elsewhere: they hold no capacity and do not end a pass.
func TestWaitingStepsHoldNothing(t *testing.T) {
	c := newRackCluster(t, 2, 1, 2, 1, 2, locality.ByGain)
	first := c.submission("first", 32, 40*time.Millisecond, 1000, 0)
	first.Job.Steps[0].DataRack, c.rackOf[first.Job.ID] = rackName(0), rackName(0)
	c.call(first, 0)
	c.run(10 * time.Millisecond)
	for range 16 {
		s := c.submission("near", 1, 300*time.Millisecond, 1000, 0)
		s.Objective = time.Second
		s.Job.Steps[0].DataRack, c.rackOf[s.Job.ID] = rackName(0), rackName(0)
		c.call(s, 0)
	}
	if waits := c.entries[0].core.Counts().LocalWaits; waits != 16 {
		t.Fatalf("%d steps wait, expected 16", waits)
	}
	k := c.call(c.nearJob("other", rackName(1), 100*time.Millisecond), 0)
	if agent := c.orderedAt()[k.submission.Job.ID]; agent != "agent-1" {
		t.Errorf("the other job is ordered at %q, expected agent-1", agent)
	}
}

// Guards against a wait for a target that is lost, or for one that the entry knew of before
// its restart: the task starts elsewhere within the bound of the wait.
func TestLostTargetEndsTheWait(t *testing.T) {
	c := newRackCluster(t, 3, 1, 2, 1, 2, locality.ByGain)
	c.call(c.nearJob("first", rackName(0), 60*time.Millisecond), 0)
	c.run(10 * time.Millisecond)
	s := c.nearJob("second", rackName(0), 300*time.Millisecond)
	s.Objective = time.Second
	k := c.call(s, 0)
	c.run(10 * time.Millisecond)
	c.agents[0].executor.Crash()
	c.run(3 * time.Second)
	// A remote task takes 600 ms, the wait saves at most 300 ms.
	if !k.completed() || k.took > 930*time.Millisecond {
		t.Errorf("took %v (%+v), expected at most 930 ms", k.took, k.result)
	}
	if c.entries[0].core.Counts().LocalWaits != 1 {
		t.Error("the step has not waited")
	}
}

// Guards against waits that survive nowhere but make the callers of a restarted entry wait
// for an answer.
func TestRestartedEntryServesWaitingJobs(t *testing.T) {
	c := newRackCluster(t, 4, 2, 2, 2, 1.5, locality.ByGain)
	load := rackLoad{load: 0.5, disturb: func(c *rackCluster) { c.restartEntry(0) }}
	for _, k := range c.submitLoad(load, 2*time.Second) {
		if k.result == nil {
			t.Errorf("job %s has no answer", k.submission.Job.ID)
		}
	}
}

// Guards against waits that serve callers worse than none, and against jobs for a hot rack
// that wait for it while others are idle.
func TestWaitsServeCallersOfAHotRack(t *testing.T) {
	share := func(policy locality.Policy) float64 {
		c := newRackCluster(t, 5, 2, 3, 2, 1.5, policy)
		all := totalOf(outcomesOf(c.submitLoad(rackLoad{load: 0.5, hotShare: 0.5}, 3*time.Second)))
		t.Logf("policy %v: %+v, %d local, %d remote", policy, all, c.local, c.remote)
		return float64(all.inTime) / float64(all.submitted)
	}
	if never, gain := share(locality.Never), share(locality.ByGain); gain < never-0.01 || gain < 0.95 {
		t.Errorf("%.3f in time, %.3f without waits", gain, never)
	}
}

// Guards against a change for jobs that name no rack.
func TestJobsWithoutARackArePlacedAsBefore(t *testing.T) {
	started := func(factor float64, policy locality.Policy) map[batch.Task]int {
		c := newRackCluster(t, 6, 2, 3, 2, factor, policy)
		c.ignoreRacks = true
		clear(c.rackOf)
		starts := make(map[batch.Task]int)
		for i, a := range c.agents {
			a.executor.OnStart = func(r batch.Run) { starts[r.Task] = 100*i + r.Number }
		}
		c.factor = 1
		c.submitLoad(rackLoad{load: 0.9}, time.Second)
		return starts
	}
	if before, after := started(1, locality.Never), started(2, locality.ByGain); len(before) == 0 || !maps.Equal(before, after) {
		t.Errorf("%d and %d starts differ", len(before), len(after))
	}
}

// BenchmarkPassWithLocalWaits measures a report that finds as many steps waiting for a local
// target as may wait, with 890 targets.
func BenchmarkPassWithLocalWaits(b *testing.B) {
	c := newRackCluster(b, 7, 1, 89, 10, 2, locality.ByGain)
	for range 10 {
		c.call(c.nearJob("first", rackName(0), 200*time.Millisecond), 0)
	}
	c.run(10 * time.Millisecond)
	for range 100 {
		s := c.submission("near", 1, 300*time.Millisecond, 1000, 0)
		s.Objective = time.Second
		s.Job.Steps[0].DataRack, c.rackOf[s.Job.ID] = rackName(0), rackName(0)
		c.call(s, 0)
	}
	core := c.entries[0].core
	b.ResetTimer()
	for range b.N {
		core.HandleReport(c.agents[20].id, &wire.AgentReport{Clock: c.now.UnixMicro(), HandledSequence: 1 << 40, Free: batch.Resources{MilliCPU: 32000, MemoryMiB: 32768}})
	}
	b.ReportMetric(float64(core.Counts().LocalWaits), "waiting")
	b.ReportMetric(float64(core.ActiveJobs()), "jobs")
}
