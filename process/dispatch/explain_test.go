package dispatch_test

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/locality"
	"github.com/azurerouter/azurerouter/request/batch"
)

// loadedRacks returns a cluster with running and waiting jobs.
func loadedRacks(t testing.TB, seed uint64, perRack int) *rackCluster {
	c := newRackCluster(t, seed, 1, 3, perRack, 1.5, locality.ByGain)
	for i := range 24 * perRack {
		k := ledgerKinds[i%len(ledgerKinds)]
		c.callNear(k, rackName(i%2))
		c.run(5 * time.Millisecond)
	}
	return c
}

func (c *rackCluster) nearSubmission(tasks int) batch.Submission {
	rack := rackName(c.random.IntN(c.racks))
	s := c.submission("explained", tasks, 100*time.Millisecond, 2000, 0)
	s.Job.Steps[0].DataRack, c.rackOf[s.Job.ID] = rack, rack
	return s
}

// Guards against an explanation that differs from the placement that follows it.
func TestExplanationAgreesWithThePlacement(t *testing.T) {
	c := loadedRacks(t, 21, 2)
	core := c.entries[0].core
	outcomes, others := make(map[dispatch.StepOutcome]int), 0
	for i := range 300 {
		s := c.nearSubmission(1 + c.random.IntN(6))
		e := core.Explain(s)
		waits := core.Counts().LocalWaits
		k := c.call(s, 0)
		step := e.Steps[0]
		outcomes[step.Outcome]++
		agent := c.orderedAt()[s.Job.ID]
		switch {
		case (e.Rejection != nil) != (k.result != nil):
			t.Fatalf("rejection %+v, answer %+v", e.Rejection, k.result)
		case e.Rejection != nil || e.Ahead.CanStart > 0:
			others++
		case step.Outcome == dispatch.StepPlaced && !c.orderedTo(s.Job.ID, step.Target, step.TasksThere):
			t.Fatalf("%+v, but ordered at %q", step, agent)
		case step.Outcome != dispatch.StepPlaced && agent != "":
			t.Fatalf("%s, but ordered at %q", step.Outcome, agent)
		case step.Outcome == dispatch.StepAwaitsLocal && core.Counts().LocalWaits == waits:
			t.Fatal("does not wait for a local target")
		}
		c.callNear(ledgerKinds[i%3], rackName(0))
		c.run(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
	t.Logf("outcomes: %v, %d rejected or behind steps that can start", outcomes, others)
	if outcomes[dispatch.StepPlaced] < 50 || outcomes[dispatch.StepAwaitsLocal] == 0 || others > 150 {
		t.Errorf("outcomes %v, expected some of each; %d not compared", outcomes, others)
	}
}

// orderedTo reports whether a number of tasks of the job have been ordered at a target.
func (c *cluster) orderedTo(id batch.ID, agent string, tasks int) bool {
	for _, l := range c.links {
		for _, d := range l.toAgent {
			if m, ok := d.m.(*wire.Orders); ok && l.agent.name == agent {
				for _, start := range m.Starts {
					if start.Job == id && len(start.Tasks) == tasks {
						return true
					}
				}
			}
		}
	}
	return false
}

// Guards against an explanation that reserves, sends, records or counts something, or
// changes what happens after it.
func TestExplanationChangesNothing(t *testing.T) {
	course := func(explain bool) (string, map[batch.Task]int) {
		c := newRackCluster(t, 22, 2, 3, 2, 1.5, locality.ByGain)
		starts := make(map[batch.Task]int)
		for i, a := range c.agents {
			before := a.executor.OnStart
			a.executor.OnStart = func(r batch.Run) { before(r); starts[r.Task] = 100*i + r.Number }
		}
		for i := range 400 {
			c.callNear(ledgerKinds[i%3], rackName(i%3))
			if explain {
				s := c.nearSubmissionFor("r1-0")
				for _, e := range c.entries {
					sent, recorded, counts := c.sent, e.recorded, e.core.Counts()
					if x := e.core.Explain(s); len(x.Steps) != 1 {
						t.Fatalf("%+v", x)
					}
					if c.sent != sent || e.recorded != recorded || e.core.Counts() != counts {
						t.Fatal("the explanation has sent, recorded or counted something")
					}
				}
				if e := c.entries[0].core.Explain(batch.Submission{Service: "unknown", Job: s.Job}); e.Steps[0].Outcome != dispatch.StepWaits {
					t.Fatalf("%+v", e)
				}
			}
			c.run(5 * time.Millisecond)
		}
		c.run(3 * time.Second)
		dump, err := json.Marshal(c.entries[0].core.Counts())
		if err != nil {
			t.Fatal(err)
		}
		return string(dump), starts
	}
	countsWith, startsWith := course(true)
	counts, starts := course(false)
	if counts != countsWith || !maps.Equal(starts, startsWith) {
		t.Errorf("with explanations %s, without %s", countsWith, counts)
	}
}

// nearSubmissionFor returns a job without drawing from the cluster's random source.
func (c *rackCluster) nearSubmissionFor(rack string) batch.Submission {
	return batch.Submission{Service: serviceName, Queue: "explained", MaxAttempts: 3, Objective: 200 * time.Millisecond, CallerTimeout: time.Second,
		Job: batch.Job{ID: "explained", Steps: []batch.Step{{Tasks: 4, Demand: batch.Resources{MilliCPU: 2000}, Estimate: 80 * time.Millisecond, DataRack: rack}}}}
}

// Guards against an explanation that does not say why a target is excluded.
func TestExplanationNamesExclusions(t *testing.T) {
	c := newRackCluster(t, 23, 1, 2, 2, 1.5, locality.ByGain)
	for _, l := range c.links[:1] {
		l.cut = true
	}
	c.run(time.Second)
	s := c.nearSubmissionFor(rackName(0))
	s.Job.Steps[0].Demand.MilliCPU = 40000
	s.Job.Steps = append(s.Job.Steps, batch.Step{Tasks: 1, DependsOn: []int{0}})
	e := c.entries[0].core.Explain(s)
	if e.Rejection == nil || e.Rejection.Reason != dispatch.ReasonTooLarge || e.Steps[1].Outcome != dispatch.StepDepends {
		t.Errorf("%+v", e)
	}
	excluded := make(map[dispatch.Exclusion]int)
	for _, candidate := range e.Steps[0].Candidates {
		excluded[candidate.Excluded]++
		if !slices.Contains(candidate.Labels, candidate.Rack) || candidate.Local != (candidate.Rack == rackName(0)) {
			t.Errorf("%+v", candidate)
		}
	}
	if excluded[dispatch.ExcludedUnreachable] != 1 || excluded[dispatch.ExcludedTooSmall] != 3 {
		t.Errorf("excluded: %v", excluded)
	}
}

// BenchmarkExplain measures an explanation with 300 targets that run jobs.
func BenchmarkExplain(b *testing.B) {
	c := loadedRacks(b, 24, 100)
	s := c.nearSubmission(8)
	b.ResetTimer()
	for range b.N {
		if e := c.entries[0].core.Explain(s); len(e.Steps[0].Candidates) != 300 {
			b.Fatalf("%d candidates", len(e.Steps[0].Candidates))
		}
	}
}
