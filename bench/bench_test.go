package bench

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
)

// Guards against a reference schedule that starts a task before it arrives, in a
// slot that has been idle. The reference is then too fast, and every policy looks
// worse than it is.
func TestIdealStartsNoTaskBeforeArrival(t *testing.T) {
	var arrivals []arrival
	for range 100 {
		arrivals = append(arrivals, arrival{at: time.Minute, runTime: time.Second, deadline: time.Hour, priority: job.Urgent})
	}
	response := idealResponseTimes(arrivals)
	for i, got := range response {
		want := time.Second
		if i >= targets*slots {
			want = 2 * time.Second
		}
		if got != want {
			t.Fatalf("task %d: response %v, want %v", i, got, want)
		}
	}
}

// Guards against a model that loses tasks or records two results for one, in
// every scenario and under every policy.
func TestEveryTaskEndsOnce(t *testing.T) {
	for _, scenario := range Scenarios() {
		for _, policy := range scheduler.Policies() {
			settings := scheduler.DefaultSettings()
			settings.Policy = policy
			cfg := Config{Settings: settings, UrgentShare: 0.7, Seed: 1, Duration: 20 * time.Second}
			c := newCluster(scenario.Configure(cfg))
			c.run()
			if c.remainingTasks != 0 || c.repeatedEnds != 0 {
				t.Errorf("%s, %s: %d tasks without a result, %d with a second result", scenario.Name, policy, c.remainingTasks, c.repeatedEnds)
			}
			for _, e := range c.entries {
				if n := e.scheduler.Violations(); n != 0 {
					t.Errorf("%s, %s: the scheduler counted %d violations", scenario.Name, policy, n)
				}
			}
		}
	}
}

// Guards against a change that misses the goals of the design page: response time
// and messages per task at 80 % load, urgent goodput at 120 %. The model runs in
// virtual time, so the results do not depend on the machine.
func TestDefaultSettingsMeetDesignGoals(t *testing.T) {
	run := func(load, urgentShare float64, seed uint64) Report {
		return Run(Config{Settings: scheduler.DefaultSettings(), Load: load, UrgentShare: urgentShare, AgentQueue: 2,
			Seed: seed, Duration: 2 * time.Minute})
	}
	for seed := uint64(1); seed <= 3; seed++ {
		for _, urgentShare := range []float64{0.7, 1} {
			r := run(0.8, urgentShare, seed)
			if r.P50 > 1.05 || r.P99 > 1.25 || r.MessagesPerTask > 2.2 || r.UnusedShare > 0.01 {
				t.Errorf("seed %d, urgent share %v: p50 %.3f, p99 %.3f, %.3f messages per task, %.2f %% unused",
					seed, urgentShare, r.P50, r.P99, r.MessagesPerTask, 100*r.UnusedShare)
			}
			normal, overload := run(0.95, urgentShare, seed), run(1.2, urgentShare, seed)
			if overload.UrgentGoodput < 0.95*normal.UrgentGoodput {
				t.Errorf("seed %d, urgent share %v: urgent goodput %.1f/s at 120 %% load, %.1f/s at 95 %%",
					seed, urgentShare, overload.UrgentGoodput, normal.UrgentGoodput)
			}
		}
	}
}
