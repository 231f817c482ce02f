package dispatch_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
)

// manyJobs is a number of jobs at which passes are spaced.
const manyJobs = 1500

// submitMany runs durable jobs of one task at entry 0 and returns a counter of those that
// are complete.
func (c *cluster) submitMany(jobs int, work time.Duration) *int {
	completed := new(int)
	for range jobs {
		c.entries[0].core.RunDurable(dispatch.DurableJob{Submission: c.submission("q", 1, work, 1000, 0), Term: 1, NotBefore: c.now},
			func(r dispatch.Result) {
				if r.Code == dispatch.Completed {
					*completed++
				}
			})
	}
	return completed
}

// Guards against an entry that spends all of its processor time on its queue, because it
// looks at every waiting job for each message (deadly-kept on braeholm-payouts-grown).
func TestReportsAreCheapWithManyWaitingJobs(t *testing.T) {
	const reports, maxBytesPerReport = 1000, 4096
	c := newCluster(t, 51, 1, equalRooms(4, 1000))
	c.run(500 * time.Millisecond)
	c.submitMany(manyJobs, 10*time.Second)
	c.run(100 * time.Millisecond)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range reports {
		c.entries[0].core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro(), Invitation: true})
		c.links[0].toAgent = nil
	}
	runtime.ReadMemStats(&after)
	if bytes := (after.TotalAlloc - before.TotalAlloc) / reports; bytes > maxBytesPerReport {
		t.Errorf("a report allocates %d bytes with %d waiting jobs, want at most %d", bytes, manyJobs, maxBytesPerReport)
	}
}

// Guards against an entry that spends its processor time on the memory of its passes over a
// long queue, and on collecting it (deadly-kept on braeholm-payouts-grown).
func TestPassesOverALongQueueReuseTheirMemory(t *testing.T) {
	const passes, maxBytesPerPass = 100, 8192
	c := newCluster(t, 54, 1, equalRooms(4, 1000))
	c.run(500 * time.Millisecond)
	c.submitMany(manyJobs, 10*time.Second)
	c.run(100 * time.Millisecond)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range passes {
		c.now = c.now.Add(50 * time.Millisecond)
		c.entries[0].core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro()})
		c.links[0].toAgent = nil
	}
	runtime.ReadMemStats(&after)
	if bytes := (after.TotalAlloc - before.TotalAlloc) / passes; bytes > maxBytesPerPass {
		t.Errorf("a pass allocates %d bytes with %d waiting jobs, want at most %d", bytes, manyJobs, maxBytesPerPass)
	}
}

// startedJobs returns the jobs of the start orders that are under way to agent 0.
func (c *cluster) startedJobs() []batch.ID {
	var jobs []batch.ID
	for _, d := range c.links[0].toAgent {
		if orders, ok := d.m.(*wire.Orders); ok {
			for _, start := range orders.Starts {
				jobs = append(jobs, start.Job)
			}
		}
	}
	return jobs
}

// Guards against a task that was turned back and waits for the next look at all jobs,
// while less urgent ones start.
func TestTaskThatWasTurnedBackIsNextInALongQueue(t *testing.T) {
	c := newCluster(t, 55, 1, equalRooms(1, 1000))
	c.run(500 * time.Millisecond)
	agent := c.agents[0]
	c.agents[0].frozen = true
	c.submitMany(1, 10*time.Second)
	c.run(100 * time.Millisecond)
	c.submitMany(manyJobs, 10*time.Second)
	c.run(100 * time.Millisecond)
	first := c.startedJobs()
	if len(first) != 1 {
		t.Fatalf("jobs %v are started, want one", first)
	}
	refused := wire.RunReport{Run: batch.Run{Task: batch.Task{Job: first[0]}, Number: 1}, RefusalReason: wire.RefusedFull}
	for range 3 {
		c.links[0].toAgent = nil
		c.now = c.now.Add(20 * time.Millisecond)
		c.entries[0].core.HandleReport(agent.id, &wire.AgentReport{Clock: c.now.UnixMicro(), HandledSequence: 1 << 40,
			Free: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}, Runs: []wire.RunReport{refused}})
		refused.Run.Number++
		if again := c.startedJobs(); len(again) != 1 || again[0] != first[0] {
			t.Errorf("jobs %v are started, want %v again", again, first)
		}
	}
}

// Guards against targets that stay idle because passes over a long queue are spaced.
func TestManyWaitingJobsKeepTargetsBusy(t *testing.T) {
	const work, slots = 60 * time.Millisecond, 160
	c := newCluster(t, 52, 1, equalRooms(10, 1000*slots/10))
	c.run(500 * time.Millisecond)
	completed := c.submitMany(manyJobs, work)
	shortest := work * manyJobs / slots
	c.run(shortest * 5 / 2)
	if *completed < manyJobs {
		t.Errorf("%d of %d jobs are complete after %v, want all", *completed, manyJobs, shortest*5/2)
	}
}

// BenchmarkReport measures what a report costs that comes when a pass is due.
func BenchmarkReport(b *testing.B) {
	c := newCluster(&testing.T{}, 53, 1, equalRooms(20, 1000))
	c.run(500 * time.Millisecond)
	c.submitMany(manyJobs, 10*time.Second)
	for b.Loop() {
		c.now = c.now.Add(50 * time.Millisecond)
		c.entries[0].core.HandleReport(c.agents[0].id, &wire.AgentReport{Clock: c.now.UnixMicro()})
		c.links[0].toAgent = nil
	}
}
