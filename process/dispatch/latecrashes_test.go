package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
)

// scriptedAgent is an agent whose messages a test makes up.
type scriptedAgent struct {
	c  *cluster
	id wire.Incarnation
}

// enroll enrolls the agent with the first entry and lists the given runs.
func (a scriptedAgent) enroll(held ...wire.RunReport) {
	room := batch.Resources{MilliCPU: 16000, MemoryMiB: 32768}
	a.c.entries[0].core.HandleEnroll(&wire.Enroll{Agent: a.id, Node: "scripted", Zone: "zone-0", Clock: a.c.now.UnixMicro(),
		Target: wire.TargetState{Target: "scripted-target", Service: serviceName, Capacity: room, Revision: 1}, Free: room, HeldRuns: held})
}

// keepReporting advances the cluster while the agent renews its session.
func (a scriptedAgent) keepReporting(d time.Duration) {
	for end := a.c.now.Add(d); a.c.now.Before(end); a.c.run(100 * time.Millisecond) {
		a.c.entries[0].core.HandleReport(a.id, &wire.AgentReport{Clock: a.c.now.UnixMicro()})
	}
}

// startAtScriptedAgent returns a cluster whose entry has started the task of a durable job
// at the only agent that it knows yet. result is set once the job has ended.
func startAtScriptedAgent(t *testing.T, seed uint64, work time.Duration) (a scriptedAgent, run batch.Run, result *dispatch.Result) {
	c := newCluster(t, seed, 1, equalRooms(1, 16000))
	a, result = scriptedAgent{c, 77}, new(dispatch.Result)
	a.enroll()
	s := c.submission("q", 1, work, 1000, 0)
	c.entries[0].core.RunDurable(dispatch.DurableJob{Submission: s, Term: 1, NotBefore: c.now}, func(r dispatch.Result) { *result = r })
	if !c.entries[0].core.HasStarted(s.Job.ID) {
		t.Fatal("the task has not started at the only agent")
	}
	return a, batch.Run{Task: batch.Task{Job: s.Job.ID}, Number: 1}, result
}

// Guards against a run that is taken to be alive for ever because the agent reports only a
// crash under it: the report of its end was lost with an earlier connection.
func TestRunOfWhichOnlyACrashIsReportedIsLost(t *testing.T) {
	a, run, result := startAtScriptedAgent(t, 31, 60*time.Millisecond)
	a.keepReporting(300 * time.Millisecond)
	a.enroll(wire.RunReport{Run: run, TargetCrashed: true})
	a.keepReporting(5 * time.Second)
	if result.Code != dispatch.Completed {
		t.Errorf("result %+v 5 s after the run was lost, want %s", *result, dispatch.Completed)
	}
}

// Guards against a task that crashes target after target and is started for ever, because
// its owner has heard nothing of the agents for a while and gives the runs up before they
// report the crashes (rule BUDGET).
func TestCrashUnderARunThatWasGivenUpCounts(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		a, run, _ := startAtScriptedAgent(t, 32, 10*time.Second)
		a.c.run(2 * time.Second)
		report := wire.RunReport{Run: run, TargetCrashed: true, StartUnconfirmed: true}
		if a.enroll(report); repeated {
			a.enroll(report)
		}
		progress, _ := a.c.entries[0].core.DurableProgress(run.Task.Job)
		if len(progress) != 1 || progress[0].UnconfirmedCrashes != 1 {
			t.Errorf("reported again %t: progress %+v, want one unconfirmed crash", repeated, progress)
		}
	}
}
