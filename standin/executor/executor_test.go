package executor

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Guards against a target whose lease lasts for longer than any target grants: a call that
// was made before its restart asks for a time on its former clock.
func TestLeaseIsShortenedToTheMaximum(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	work := Work{Duration: time.Hour, Demand: batch.Resources{MilliCPU: 1000}}
	e := New(now, "i", batch.Resources{MilliCPU: 4000}, func(batch.Task) Work { return work })
	run := batch.Run{Task: batch.Task{Job: "j"}, Number: 1}
	if answer := e.Start(now, runner.StartCall{Target: "i", Run: run, LeaseUntil: 60_000}); answer.Verdict != runner.VerdictDone {
		t.Fatalf("start: %s", answer.Verdict)
	}
	e.Advance(now.Add(maxLease))
	if len(e.Running()) != 1 {
		t.Error("the run has lapsed before the end of the longest lease")
	}
	e.Advance(now.Add(maxLease + time.Millisecond))
	if len(e.Running()) != 0 {
		t.Errorf("the run goes on after %v", maxLease)
	}
}
