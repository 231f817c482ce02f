package bench

import (
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// The distribution of run times follows the goals of the design page: uniform
// from 50 ms to 1 s, and for 2 % of the tasks several seconds.
const (
	shortMin, shortMax = 50 * time.Millisecond, time.Second
	longMin, longMax   = 2 * time.Second, 5 * time.Second
	longShare          = 0.02
	// meanRun is the mean run time of this distribution.
	meanRun = time.Duration((1-longShare)*float64(shortMin+shortMax)/2 + longShare*float64(longMin+longMax)/2)

	urgentDeadline = 10 * time.Second
	batchDeadline  = 2 * time.Minute
	// maxBatchTasks is the largest number of tasks of a batch job; the numbers
	// are uniform from 1.
	maxBatchTasks = 20
)

// arrival is one task of a submission. The tasks of a submission have the same
// jobNumber and are adjacent in the list of arrivals.
type arrival struct {
	at, runTime time.Duration
	deadline    time.Duration
	priority    job.Priority
	jobNumber   int
	// declaredMB is the memory that the submission states, actualMB the memory
	// that the task uses.
	declaredMB, actualMB int
	// failDraw is a random number from 0 to 1. The task fails on every target
	// while it is below failingInputShare of the cluster.
	failDraw float64
}

// generateArrivals returns Poisson arrivals at the rate that cfg.Load requires,
// multiplied by loadFactor at each time.
func generateArrivals(cfg Config, loadFactor func(time.Duration) float64) []arrival {
	random := rand.New(rand.NewPCG(cfg.Seed, 1))
	tasksPerSecond := cfg.Load * float64(targets*slots) / meanRun.Seconds()
	batchJobs := tasksPerSecond * (1 - cfg.UrgentShare) / (float64(1+maxBatchTasks) / 2)
	jobsPerSecond := tasksPerSecond*cfg.UrgentShare + batchJobs
	var all []arrival
	now := time.Duration(0)
	for jobNumber := 0; ; jobNumber++ {
		now += time.Duration(random.ExpFloat64() / (jobsPerSecond * loadFactor(now)) * float64(time.Second))
		if now >= cfg.Duration {
			return all
		}
		tasks, priority, deadline := 1, job.Urgent, urgentDeadline
		if random.Float64() < batchJobs/jobsPerSecond {
			tasks, priority, deadline = 1+random.IntN(maxBatchTasks), job.Batch, batchDeadline
		}
		for range tasks {
			a := arrival{at: now, runTime: drawRunTime(random), deadline: now + deadline, priority: priority, jobNumber: jobNumber}
			a.declaredMB, a.actualMB = drawMemory(random, cfg.MisdeclaredMemory)
			a.failDraw = random.Float64()
			all = append(all, a)
		}
	}
}

// drawRunTime draws a run time from the distribution of the package.
func drawRunTime(random *rand.Rand) time.Duration {
	if random.Float64() < longShare {
		return uniform(random, longMin, longMax)
	}
	return uniform(random, shortMin, shortMax)
}

func uniform(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Float64()*float64(high-low))
}

// drawMemory returns the declared and the actual memory in MB. If misdeclared is
// set, a tenth of the tasks declare four times too much and a tenth four times
// too little.
func drawMemory(random *rand.Rand, misdeclared bool) (declared, actual int) {
	actual = 256 + random.IntN(512)
	kind := random.IntN(10)
	if !misdeclared {
		return actual, actual
	}
	switch kind {
	case 0:
		return 4 * actual, actual
	case 1:
		return actual, 4 * actual
	}
	return actual, actual
}
