package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
)

// loadPhase is a part of a load: jobs of each kind at a multiple of its share of the capacity.
type loadPhase struct {
	length  time.Duration
	factors map[string]float64
}

// evenPhase returns a phase in which all kinds have the same factor.
func evenPhase(length time.Duration, factor float64) loadPhase {
	factors := make(map[string]float64)
	for _, k := range ledgerKinds {
		factors[k.name] = factor
	}
	return loadPhase{length, factors}
}

// callerDeadline is how long the callers of the phases wait.
const callerDeadline = 1500 * time.Millisecond

// runPhases submits the jobs of the phases one after the other, waits for their results and
// returns the callers of each phase.
func (c *cluster) runPhases(seed uint64, phases ...loadPhase) [][]*caller {
	var total float64
	for _, k := range ledgerKinds {
		total += k.weight
	}
	callers := make([][]*caller, len(phases))
	// The load does not depend on what the processes do, so that changes can be compared.
	random := rand.New(rand.NewPCG(seed, 2))
	for i, phase := range phases {
		for end := c.now.Add(phase.length); c.now.Before(end); c.step() {
			for _, k := range ledgerKinds {
				if random.Float64() >= phase.factors[k.name]*ledgerCapacity*k.weight/total/1000 {
					continue
				}
				work := time.Duration(float64(k.work) * (0.6 + 0.8*random.Float64()))
				s := c.submission(k.name, k.tasks, work, 2500+random.IntN(1200), k.priority)
				s.Job.Steps[0].Estimate = time.Duration(float64(work) * (0.6 + 0.8*random.Float64()))
				s.CallerTimeout = callerDeadline
				callers[i] = append(callers[i], c.call(s, random.IntN(len(c.entries))))
			}
		}
	}
	c.run(2 * callerDeadline)
	return callers
}

// usefulWork returns the core seconds of the jobs that were completed within their objective,
// and those of all jobs that were completed.
func (c *cluster) usefulWork(callers []*caller) (inTime, completed float64) {
	for _, k := range callers {
		step := k.submission.Job.Steps[0]
		work := c.work[batch.Task{Job: k.submission.Job.ID}]
		amount := float64(step.Tasks) * work.Duration.Seconds() * float64(step.Demand.MilliCPU) / 1000
		if k.completedInTime() {
			inTime += amount
		}
		if k.result != nil && k.result.Code == dispatch.Completed {
			completed += amount
		}
	}
	return inTime, completed
}

// shareInTime returns the share of the callers whose job was completed within its objective.
func shareInTime(callers []*caller) float64 {
	inTime := 0
	for _, k := range callers {
		if k.completedInTime() {
			inTime++
		}
	}
	return float64(inTime) / float64(max(len(callers), 1))
}

// overloadOutcome is what the callers of some seeds got at one load.
type overloadOutcome struct {
	// useful and completed are core seconds per second, see usefulWork.
	useful, completed float64
	during, after     []*caller
	ordered, full     uint64
}

// overloadLength is the part of an overload that is measured, recoveryLength the time after
// its end from which callers are to be served as before.
const (
	overloadLength = 4 * time.Second
	recoveryLength = 2 * time.Second
)

// runOverload runs a load, as a multiple of the capacity, and then an ordinary one.
func runOverload(t *testing.T, load float64, seeds uint64) overloadOutcome {
	var o overloadOutcome
	for seed := range seeds {
		c := newCluster(t, 5+seed, 4, equalRooms(9, 32000))
		c.run(500 * time.Millisecond)
		phases := c.runPhases(seed, evenPhase(time.Second, load), evenPhase(overloadLength, load), evenPhase(recoveryLength, 0.6), evenPhase(time.Second, 0.6))
		useful, completed := c.usefulWork(phases[1])
		o.useful += useful / overloadLength.Seconds() / float64(seeds)
		o.completed += completed / overloadLength.Seconds() / float64(seeds)
		o.during, o.after = append(o.during, phases[1]...), append(o.after, phases[3]...)
		for _, e := range c.entries {
			o.ordered += e.core.Counts().RunsOrdered
			o.full += e.core.Counts().RefusedFull
		}
	}
	return o
}

// Guards against useful work that falls in a severe overload, because jobs start at the last
// moment and end late, against a class that starves, and against an overload that lasts longer
// than its cause. With -v it prints the table of docs/CAPACITY.md.
func TestSevereOverload(t *testing.T) {
	const seeds, minGoodput, minAfter, minClassShare = 3, 0.95, 0.95, 0.6
	var full float64
	t.Log("load  useful  completed  core-s/s; in time  check  confirm  line; after 2 s; turned back")
	for _, load := range []float64{1, 1.5, 2, 4} {
		o := runOverload(t, load, seeds)
		if load == 1 {
			full = o.useful
		}
		all, classes := shareInTime(o.during), classShares(o.during)
		after := shareInTime(o.after)
		t.Logf("%4.1f  %6.1f  %9.1f            %7.3f  %5.3f  %7.3f  %4.3f  %9.3f  %11.3f", load, o.useful, o.completed, all,
			classes["check"], classes["confirm"], classes["line"], after, float64(o.full)/float64(o.ordered))
		if o.useful < minGoodput*full {
			t.Errorf("load %.1f: %.1f core-s/s of useful work, expected %.2f of %.1f or more", load, o.useful, minGoodput, full)
		}
		if after < minAfter {
			t.Errorf("load %.1f: %.3f in time from %v after its end, expected %.2f or more", load, after, recoveryLength, minAfter)
		}
		for name, share := range classes {
			if share < minClassShare*all {
				t.Errorf("load %.1f: %.3f of %s in time, expected %.2f of %.3f or more", load, share, name, minClassShare, all)
			}
		}
	}
}

// Guards against a burst of one class that takes the share of the others.
func TestBurstOfOneClassLeavesTheOthersTheirShare(t *testing.T) {
	const seeds, minShare = 2, 0.7
	for _, class := range []string{"confirm", "check"} {
		var callers []*caller
		for seed := range uint64(seeds) {
			c := newCluster(t, 5+seed, 4, equalRooms(9, 32000))
			c.run(500 * time.Millisecond)
			burst := evenPhase(6*time.Second, 0.75)
			burst.factors[class] *= 2.5
			callers = append(callers, c.runPhases(seed, evenPhase(time.Second, 0.75), burst)[1]...)
		}
		shares := classShares(callers)
		t.Logf("burst of %s: %.3f in time, by class %.3v", class, shareInTime(callers), shares)
		for name, share := range shares {
			if share < minShare {
				t.Errorf("burst of %s: %.3f of %s in time, expected %.2f or more", class, share, name, minShare)
			}
		}
	}
}

// classShares returns the share in time of each class.
func classShares(callers []*caller) map[string]float64 {
	byClass := make(map[string][]*caller)
	for _, k := range callers {
		byClass[k.submission.Queue] = append(byClass[k.submission.Queue], k)
	}
	shares := make(map[string]float64)
	for name, some := range byClass {
		shares[name] = shareInTime(some)
	}
	return shares
}
