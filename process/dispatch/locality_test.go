package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/locality"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

// rackLoad is a load of jobs that name the rack of their data.
type rackLoad struct {
	name string
	// load is relative to the capacity when all tasks are local.
	load float64
	// hotShare is the share of the jobs whose data is in the first rack, in addition to
	// its equal share of the others.
	hotShare float64
	// kinds are the jobs, nil for those of the ledger.
	kinds []jobKind
	// disturb, if set, is called after half of the time.
	disturb func(c *rackCluster)
}

// wideKinds are jobs whose tasks do not fit in their rack at once while it is in use.
var wideKinds = []jobKind{{"wide", 10, 24, 170 * time.Millisecond, 0}, {"narrow", 90, 2, 170 * time.Millisecond, 0}}

var rackLoads = []rackLoad{
	{name: "steady_0.5", load: 0.5},
	{name: "steady_0.8", load: 0.8},
	{name: "hot_rack", load: 0.6, hotShare: 0.4},
	{name: "pieces", load: 0.6, kinds: wideKinds},
	{name: "target_lost", load: 0.6, disturb: func(c *rackCluster) { c.crashTarget(0) }},
	{name: "entry_restart", load: 0.6, disturb: func(c *rackCluster) { c.restartEntry(0) }},
}

// rackCluster is a cluster whose targets are in racks. Tasks outside the rack of their data
// take longer.
type rackCluster struct {
	*cluster
	factor float64
	racks  int
	// rackOf is the rack of the data of each job.
	rackOf map[batch.ID]string
	// ignoreRacks submits the jobs without their racks.
	ignoreRacks bool
	// local and remote count the started runs.
	local, remote int
}

func newRackCluster(t testing.TB, seed uint64, entries, racks, perRack int, factor float64, policy locality.Policy) *rackCluster {
	c := &rackCluster{cluster: newCluster(t, seed, 0, equalRooms(racks*perRack, 32000)), factor: factor, racks: racks, rackOf: make(map[batch.ID]string)}
	c.options = []dispatch.Option{dispatch.WithRemoteFactor(factor), dispatch.WithLocalityPolicy(policy)}
	for range entries {
		e := &entryNode{c: c.cluster, zone: "zone-0"}
		c.entries = append(c.entries, e)
		c.startEntry(e)
		for _, a := range c.agents {
			c.links = append(c.links, &link{entry: e, agent: a})
		}
	}
	for i, a := range c.agents {
		a.labels = []string{"kind-a", rackName(i / perRack)}
		c.equip(a)
		a.report()
	}
	c.run(500 * time.Millisecond)
	return c
}

func rackName(i int) string { return fmt.Sprintf("r1-%d", i) }

// equip makes the duration of tasks at the agent's target depend on its rack.
func (c *rackCluster) equip(a *agentNode) {
	a.executor.Work = func(task batch.Task) executor.Work {
		work := c.work[task]
		if rack := c.rackOf[task.Job]; rack != "" && !slices.Contains(a.labels, rack) {
			work.Duration = time.Duration(c.factor * float64(work.Duration))
		}
		return work
	}
	a.executor.OnStart = func(r batch.Run) {
		if slices.Contains(a.labels, c.rackOf[r.Task.Job]) {
			c.local++
		} else {
			c.remote++
		}
	}
}

// crashTarget ends the runs at a target, which is back a second later.
func (c *rackCluster) crashTarget(i int) {
	a := c.agents[i]
	a.executor.Crash()
	c.after(time.Second, func() {
		a.executor = executor.New(c.now, a.executor.ID, a.executor.Capacity, nil)
		c.equip(a)
		a.report()
	})
}

// restartEntry ends an entry process and starts another in its place.
func (c *rackCluster) restartEntry(i int) {
	e := c.entries[i]
	e.alive = false
	c.after(300*time.Millisecond, func() { c.startEntry(e) })
}

// submitLoad submits jobs for a duration, waits for their results and returns their callers.
func (c *rackCluster) submitLoad(load rackLoad, d time.Duration) []*caller {
	kinds := load.kinds
	if kinds == nil {
		kinds = ledgerKinds
	}
	var total, work float64
	for _, k := range kinds {
		total += k.weight
		work += k.weight * float64(k.tasks) * k.work.Seconds()
	}
	// Tasks need 2,400 thousandths of a core on average.
	perSecond := load.load * float64(len(c.agents)) * 32000 / 2400 / (work / total)
	var callers []*caller
	half := c.now.Add(d / 2)
	for end := c.now.Add(d); c.now.Before(end); c.step() {
		if c.now.Equal(half) && load.disturb != nil {
			load.disturb(c)
		}
		for _, k := range kinds {
			if c.random.Float64() < perSecond*k.weight/total/1000 {
				callers = append(callers, c.callNear(k, load.rack(c)))
			}
		}
	}
	c.run(6 * time.Second)
	return callers
}

func (l rackLoad) rack(c *rackCluster) string {
	if c.random.Float64() < l.hotShare {
		return rackName(0)
	}
	return rackName(c.random.IntN(c.racks))
}

// callNear submits a job whose data is in a rack. Its estimate is off by up to 40 %.
func (c *rackCluster) callNear(k jobKind, rack string) *caller {
	work := time.Duration(float64(k.work) * (0.6 + 0.8*c.random.Float64()))
	s := c.submission(k.name, k.tasks, work, 1800+c.random.IntN(1200), k.priority)
	s.Job.Steps[0].Estimate = time.Duration(float64(work) * (0.6 + 0.8*c.random.Float64()))
	c.rackOf[s.Job.ID] = rack
	if !c.ignoreRacks {
		s.Job.Steps[0].DataRack = rack
	}
	return c.call(s, c.random.IntN(len(c.entries)))
}

// timesOf returns the response times of completed jobs in order.
func timesOf(callers []*caller) []time.Duration {
	var times []time.Duration
	for _, k := range callers {
		if k.completed() {
			times = append(times, k.took)
		}
	}
	slices.Sort(times)
	return times
}

// BenchmarkLocalityPolicies measures in virtual time what each way to weigh a wait does for
// callers, with another seed in each iteration. Its metrics are the table of
// docs/design/locality.md; "ignored" is a version that does not know of racks.
func BenchmarkLocalityPolicies(b *testing.B) {
	policies := map[string]locality.Policy{"never": locality.Never, "fixed": locality.Fixed, "gain": locality.ByGain, "certain_gain": locality.ByCertainGain}
	for _, load := range rackLoads {
		for _, factor := range []float64{1.5, 2} {
			for _, name := range []string{"ignored", "never", "fixed", "gain", "certain_gain"} {
				b.Run(fmt.Sprintf("%s/%v/%s", load.name, factor, name), func(b *testing.B) {
					var all outcome
					var times []time.Duration
					local, started := 0, 0
					for i := range b.N {
						c := newRackCluster(b, 11+uint64(i), 3, 4, 3, factor, policies[name])
						c.ignoreRacks = name == "ignored"
						callers := c.submitLoad(load, 6*time.Second)
						one := totalOf(outcomesOf(callers))
						all.submitted, all.inTime, all.refused = all.submitted+one.submitted, all.inTime+one.inTime, all.refused+one.refused
						times = append(times, timesOf(callers)...)
						local, started = local+c.local, started+c.local+c.remote
					}
					slices.Sort(times)
					b.ReportMetric(float64(all.inTime)/float64(all.submitted), "in_time")
					b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50_ms")
					b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "p99_ms")
					b.ReportMetric(float64(all.refused)/float64(all.submitted), "rejected")
					b.ReportMetric(float64(local)/float64(started), "local")
				})
			}
		}
	}
}
