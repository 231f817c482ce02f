package dispatch_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// oddAgentMessages returns messages that no agent of this version sends.
func oddAgentMessages() []wire.Message {
	run := batch.Run{Task: batch.Task{Job: "j", Step: -1, Index: -1}, Number: math.MinInt}
	reports := []wire.RunReport{{Run: run}, {Run: run, End: "odd"}, {Run: run, End: batch.EndDone, EndUnrecorded: true, RanMS: math.MinInt64},
		{Run: run, RefusalReason: "odd"}, {Run: run, TargetCrashed: true}, {Run: run, End: batch.EndLost, TargetCrashed: true, StartUnconfirmed: true}, {}}
	odd := batch.Resources{MilliCPU: math.MinInt, MemoryMiB: math.MaxInt}
	return []wire.Message{
		&wire.Enroll{}, &wire.Enroll{Agent: 99, Clock: math.MinInt64, Target: wire.TargetState{Service: serviceName, Capacity: odd}, Free: odd, HeldRuns: reports},
		&wire.AgentReport{}, &wire.AgentReport{Clock: math.MaxInt64, HandledSequence: math.MaxUint64, Free: odd, Runs: reports, Invitation: true},
		&wire.AgentReport{Target: &wire.TargetState{}}, &wire.AgentReport{Target: &wire.TargetState{Service: "other", Capacity: odd, Revision: math.MaxUint64}, Runs: reports},
	}
}

// handleAgentMessage passes a message to an entry with a job, as if its agent had sent it,
// and lets time pass.
func handleAgentMessage(t *testing.T, m wire.Message) {
	c := newCluster(t, 71, 1, equalRooms(1, 16000))
	c.run(100 * time.Millisecond)
	e := c.entries[0]
	e.core.Submit(c.submission("q", 2, 30*time.Millisecond, 1000, 0), func(dispatch.Result) {})
	switch m := m.(type) {
	case *wire.Enroll:
		e.core.HandleEnroll(m)
	case *wire.AgentReport:
		e.core.HandleReport(c.agents[0].id, m)
	}
	c.run(20 * time.Millisecond)
	e.core.Dump()
}

// Guards against a message that ends the entry which receives it.
func TestOddAgentMessagesAreHandledWithoutHarm(t *testing.T) {
	for _, m := range oddAgentMessages() {
		handleAgentMessage(t, m)
	}
}

// Guards against the same for any message that can be decoded.
func FuzzAgentMessages(f *testing.F) {
	for _, m := range oddAgentMessages() {
		frame, err := wire.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		if m, err := wire.Read(bytes.NewReader(frame)); err == nil {
			handleAgentMessage(t, m)
		}
	})
}

// runRecordedJob runs a job as its newest owner would after reading a record with it.
func runRecordedJob(t *testing.T, key string, value []byte) {
	table := ledger.NewTable()
	id, err := table.Apply(time.Now(), 1, ledger.Record{Key: key, Value: value})
	view, known := table.Job(id)
	if err != nil || !known {
		return
	}
	c := newCluster(t, 72, 1, equalRooms(1, 16000))
	c.run(100 * time.Millisecond)
	a := view.AcceptedJob
	d := dispatch.DurableJob{Submission: batch.Submission{Job: a.Job, Service: serviceName, Queue: a.Queue, Priority: a.Priority,
		MaxAttempts: a.MaxAttempts, Objective: a.Objective, Version: a.Version}, Term: view.Term}
	for _, progress := range view.Progress.Tasks {
		d.Progress = append(d.Progress, dispatch.TaskProgress(progress))
	}
	core := c.entries[0].core
	core.RunDurable(d, func(dispatch.Result) {})
	c.run(20 * time.Millisecond)
	_, ends := core.DurableProgress(id)
	core.ConfirmDurableEnds(id, ends)
	core.ForgetDurable(id, false)
}

// Guards against an accepted job, recorded by another version, that ends each entry which
// takes it over.
func FuzzRecordedJobs(f *testing.F) {
	odd := []ledger.TaskProgress{{Index: 1, Done: true}, {Index: 1, Done: true}, {Step: math.MaxInt, Done: true}, {Index: math.MaxInt, FailedRuns: math.MaxInt},
		{Crashes: math.MaxInt, UnconfirmedCrashes: math.MaxInt, SuspectedRuns: []int{-1, math.MaxInt}}}
	for _, term := range []uint64{1, math.MaxUint64} {
		for _, steps := range [][]batch.Step{{{Tasks: 2}}, {{Tasks: 1, Estimate: math.MaxInt64}, {Tasks: 1, Estimate: math.MaxInt64, DependsOn: []int{0, 0}, MaxPerTarget: -1}}} {
			r, err := ledger.AcceptRecord(term, "x", ledger.AcceptedJob{Job: batch.Job{ID: "k", Steps: steps}, Service: "card", Objective: math.MinInt64,
				Priority: math.MaxInt, Progress: ledger.Progress{State: ledger.Open, Tasks: odd}})
			if err != nil {
				f.Fatal(err)
			}
			f.Add(r.Key, r.Value)
		}
	}
	f.Fuzz(runRecordedJob)
}
