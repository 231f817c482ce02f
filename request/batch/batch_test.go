package batch

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against accepting jobs that no scheduler could complete.
func TestCheckRefusesMalformedJobs(t *testing.T) {
	good := Step{Tasks: 2}
	cases := map[string][]Step{
		"no steps":           {},
		"no tasks":           {{}},
		"too many tasks":     {{Tasks: MaxTasks}, good},
		"own step":           {{Tasks: 1, DependsOn: []int{0}}},
		"later step":         {{Tasks: 1, DependsOn: []int{1}}, good},
		"negative resources": {{Tasks: 1, Demand: Resources{MilliCPU: -1}}},
	}
	for name, steps := range cases {
		if err := (Job{Steps: steps}).Validate(); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := (Job{Steps: []Step{good, {Tasks: 1, DependsOn: []int{0}}}}).Validate(); err != nil {
		t.Error(err)
	}
}

// Guards against a latency objective that adds up the durations of steps that run
// in parallel.
func TestLongestChain(t *testing.T) {
	j := Job{Steps: []Step{{Estimate: time.Second}, {Estimate: 3 * time.Second}, {Estimate: 5 * time.Second, DependsOn: []int{0}},
		{Estimate: time.Second, DependsOn: []int{1, 2}}}}
	if got := j.CriticalPath(); got != 7*time.Second {
		t.Errorf("CriticalPath is %v, expected 7s", got)
	}
}
