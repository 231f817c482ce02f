package bench

import (
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// The work follows the goals of the design page: tasks of 50 ms to 1 s, and
// 2 % of several seconds.
const (
	shortMin, shortMax = 50 * time.Millisecond, time.Second
	longMin, longMax   = 2 * time.Second, 5 * time.Second
	longShare          = 0.02
	// meanRun is the mean of this distribution.
	meanRun = time.Duration((1-longShare)*float64(shortMin+shortMax)/2 + longShare*float64(longMin+longMax)/2)

	urgentDeadline = 10 * time.Second
	batchDeadline  = 2 * time.Minute
	// batchTasks is the largest batch job; sizes are uniform from 1.
	batchTasks = 20
)

// arrival is one task of a submission. Tasks of one submission are adjacent.
type arrival struct {
	at, run  time.Duration
	deadline time.Duration
	priority job.Priority
	job      int
	// declared and actual are memory needs in MB.
	declared, actual int
	// poison is a number from 0 to 1; tasks below the current share of failing
	// inputs fail on every target.
	poison float64
}

// generate returns Poisson arrivals for the load, a share of the slots. rate
// scales the load over time.
func generate(cfg Config, rate func(time.Duration) float64) []arrival {
	random := rand.New(rand.NewPCG(cfg.Seed, 1))
	tasksPerSecond := cfg.Load * float64(targets*slots) / meanRun.Seconds()
	batchJobs := tasksPerSecond * (1 - cfg.UrgentShare) / (float64(1+batchTasks) / 2)
	jobsPerSecond := tasksPerSecond*cfg.UrgentShare + batchJobs
	var all []arrival
	now := time.Duration(0)
	for number := 0; ; number++ {
		now += time.Duration(random.ExpFloat64() / (jobsPerSecond * rate(now)) * float64(time.Second))
		if now >= cfg.Duration {
			return all
		}
		tasks, priority, deadline := 1, job.Urgent, urgentDeadline
		if random.Float64() < batchJobs/jobsPerSecond {
			tasks, priority, deadline = 1+random.IntN(batchTasks), job.Batch, batchDeadline
		}
		for range tasks {
			a := arrival{at: now, run: drawRun(random), deadline: now + deadline, priority: priority, job: number}
			a.declared, a.actual = drawMemory(random, cfg.WrongSizes)
			a.poison = random.Float64()
			all = append(all, a)
		}
	}
}

func drawRun(random *rand.Rand) time.Duration {
	if random.Float64() < longShare {
		return uniform(random, longMin, longMax)
	}
	return uniform(random, shortMin, shortMax)
}

func uniform(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Float64()*float64(high-low))
}

// drawMemory returns declared and actual memory. With wrong sizes a tenth of
// the tasks declares four times too much and a tenth four times too little.
func drawMemory(random *rand.Rand, wrong bool) (declared, actual int) {
	actual = 256 + random.IntN(512)
	kind := random.IntN(10)
	if !wrong {
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
