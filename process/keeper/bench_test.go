package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// foreignJobRecords returns the records that another owner appends for one job: its
// acceptance, the end of its first task, its end, and the deletion of its accept record.
func foreignJobRecords(b *testing.B, id batch.ID) []ledger.Record {
	const owner = "other-entry"
	step := batch.Step{Tasks: 4, Demand: batch.Resources{MilliCPU: 2600, MemoryMiB: 64}, Estimate: 60 * time.Millisecond}
	job := batch.Job{ID: id, Spec: `{"work":{"ms":60,"seed":1234567,"bytes":1200}}`, Durable: true, Steps: []batch.Step{step}}
	accepted, err := ledger.AcceptRecord(1, owner, ledger.AcceptedJob{Job: job, Service: "payout-ledger", Queue: "share-check", MaxAttempts: 4,
		Objective: 200 * time.Millisecond, Version: 3, AcceptedAt: time.Now().UnixMilli(), Progress: ledger.Progress{State: ledger.Open}})
	if err != nil {
		b.Fatal(err)
	}
	begun, err := ledger.ProgressRecord(id, 1, owner, ledger.Progress{State: ledger.Open, Tasks: []ledger.TaskProgress{{Done: true}, {Index: 2, Done: true}}})
	if err != nil {
		b.Fatal(err)
	}
	ended, err := ledger.ProgressRecord(id, 1, owner, ledger.Progress{State: ledger.Completed})
	if err != nil {
		b.Fatal(err)
	}
	return []ledger.Record{accepted, begun, ended, {Key: accepted.Key}}
}

// BenchmarkJobOfAnotherEntry measures what an entry spends on the records of one job that
// another entry owns.
func BenchmarkJobOfAnotherEntry(b *testing.B) {
	const jobsPerPage = 10
	k := New(Options{Node: "node-a", Owner: "a", IsFirstByName: func() bool { return false }, Now: time.Now, UnixTime: time.Now},
		newMemoryLog(), newFakeDispatcher(), discardSink{})
	k.applyPage(Page{Snapshot: true, UpToDate: true})
	var offset uint64
	b.ReportAllocs()
	for job := 0; job < b.N; job += jobsPerPage {
		b.StopTimer()
		pages := make([]Page, 4)
		for n := range jobsPerPage {
			for i, r := range foreignJobRecords(b, batch.ID(fmt.Sprintf("%016x", job+n))) {
				pages[i].Records = append(pages[i].Records, ReadRecord{offset, r})
				offset++
			}
		}
		b.StartTimer()
		for _, p := range pages {
			p.UpToDate, p.Next = true, offset
			k.applyPage(p)
		}
	}
}

// BenchmarkOpenJobs measures the calls that concern all open jobs: how many wait in a
// queue, and which owners are dead.
func BenchmarkOpenJobs(b *testing.B) {
	const owners, jobsPerOwner = 9, 400
	k := New(Options{Node: "node-a", Owner: "owner-0", IsFirstByName: func() bool { return false }, Now: time.Now, UnixTime: time.Now},
		newMemoryLog(), newFakeDispatcher(), discardSink{})
	page := Page{Snapshot: true, UpToDate: true}
	for n := range owners * jobsPerOwner {
		id := batch.ID(fmt.Sprintf("%016x", n))
		r, err := ledger.AcceptRecord(1, ledger.Owner(fmt.Sprintf("owner-%d", n%owners)), ledger.AcceptedJob{
			Job: batch.Job{ID: id, Durable: true, Steps: []batch.Step{{Tasks: 4}}}, Service: "card", Queue: "q", Progress: ledger.Progress{State: ledger.Open}})
		if err != nil {
			b.Fatal(err)
		}
		page.Records = append(page.Records, ReadRecord{uint64(n), r})
	}
	k.applyPage(page)
	b.Run("waiting", func(b *testing.B) {
		for b.Loop() {
			k.WaitingJobs("card", "q")
		}
	})
	b.Run("dead", func(b *testing.B) {
		for b.Loop() {
			k.table.DeadOwners(time.Now().Add(-time.Hour), "node-a", k.self)
		}
	})
}
