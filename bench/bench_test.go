package bench

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
)

// Guards against an ideal that starts a task before it arrives, in a slot that
// was idle earlier, which made every policy look worse than it was.
func TestIdealStartsNothingBeforeArrival(t *testing.T) {
	var arrivals []arrival
	for range 100 {
		arrivals = append(arrivals, arrival{at: time.Minute, run: time.Second, deadline: time.Hour, priority: job.Urgent})
	}
	response := ideal(arrivals)
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

// Guards against a model that loses tasks or ends them twice, in every
// scenario and under every policy.
func TestEveryTaskEndsOnce(t *testing.T) {
	for _, scenario := range Scenarios() {
		for _, policy := range []scheduler.Policy{scheduler.Random, scheduler.LeastOutstanding, scheduler.TwoChoices, scheduler.Credits} {
			settings := scheduler.DefaultSettings()
			settings.Policy = policy
			cfg := Config{Settings: settings, UrgentShare: 0.7, Seed: 1, Duration: 20 * time.Second}
			c := newCluster(scenario.Configure(cfg))
			c.run()
			if c.remaining != 0 || c.doubleEnds != 0 {
				t.Errorf("%s, %s: %d tasks without an end, %d second ends", scenario.Name, policy, c.remaining, c.doubleEnds)
			}
			for _, e := range c.entries {
				if n := e.scheduler.Dump().Violations; n != 0 {
					t.Errorf("%s, %s: %d violations", scenario.Name, policy, n)
				}
			}
		}
	}
}
