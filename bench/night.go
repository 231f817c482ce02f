package bench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// sampleInterval is the virtual time between two counts of the busy slots.
const sampleInterval = 100 * time.Millisecond

// busySlots is the number of busy slots of each target at one time.
type busySlots [targets]int

// sampleBusy records the busy slots of each target, except during the warm-up.
func (c *cluster) sampleBusy() {
	if c.now < warmUp || c.now >= c.cfg.Duration {
		return
	}
	var s busySlots
	for i, a := range c.agents {
		s[i] = len(a.running)
	}
	c.busySamples = append(c.busySamples, s)
}

// The night load consists of urgent single tasks, which fall from 50 to 10 % of
// the capacity and rise again, and of batch jobs of 400 tasks: every 10 min as
// many as take 30 % of the capacity, with a deadline of 10 min.
const (
	nightUrgentLow, nightUrgentHigh = 0.1, 0.5
	nightBatchLoad                  = 0.3
	nightBatchInterval              = 10 * time.Minute
	nightJobTasks                   = 400
)

// nightArrivals generates the night load. One fall and rise of the urgent load
// takes cfg.Duration.
func nightArrivals(cfg Config) []arrival {
	random := rand.New(rand.NewPCG(cfg.Seed, 4))
	fullLoadRate := float64(targets*slots) / meanRun.Seconds()
	var all []arrival
	jobNumber := 0
	addJob := func(at time.Duration, tasks int, priority job.Priority, deadline time.Duration) {
		jobNumber++
		for range tasks {
			all = append(all, arrival{at: at, runTime: drawRunTime(random), deadline: at + deadline,
				priority: priority, jobNumber: jobNumber, failDraw: 1})
		}
	}
	for now := time.Duration(0); now < cfg.Duration; {
		phase := 2 * math.Pi * float64(now) / float64(cfg.Duration)
		load := nightUrgentLow + (nightUrgentHigh-nightUrgentLow)*(1+math.Cos(phase))/2
		now += time.Duration(random.ExpFloat64() / (load * fullLoadRate) * float64(time.Second))
		addJob(now, 1, job.Urgent, urgentDeadline)
	}
	jobs := int(nightBatchLoad * fullLoadRate * nightBatchInterval.Seconds() / nightJobTasks)
	for now := time.Duration(0); now < cfg.Duration; now += nightBatchInterval {
		for range jobs {
			addJob(now+uniform(random, 0, 10*time.Second), nightJobTasks, job.Batch, nightBatchInterval)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// LoadVariation measures how evenly the slots of the targets are busy, over time
// and between targets.
type LoadVariation struct {
	// MeanBusySlots is the mean number of busy slots per target.
	MeanBusySlots float64
	// MinuteDeviation is the standard deviation of the one-minute means of a
	// target over time, as a mean over all targets. MinuteChange is the mean
	// absolute change from one minute to the next.
	MinuteDeviation, MinuteChange float64
	// TargetDeviation is the standard deviation between targets at one time, as a
	// mean over all samples.
	TargetDeviation float64
	// IdleMinutes and FullMinutes are the shares of minutes in which the mean of
	// a target is below 1 slot, and above 7 of 8 slots.
	IdleMinutes, FullMinutes float64
}

// loadVariation computes the load variation from the samples of the run.
func (c *cluster) loadVariation() LoadVariation {
	perMinute := int(time.Minute / sampleInterval)
	var variation LoadVariation
	minutes, changes := 0, 0
	for t := range targets {
		var means []float64
		for first := 0; first+perMinute <= len(c.busySamples); first += perMinute {
			sum := 0
			for _, sample := range c.busySamples[first : first+perMinute] {
				sum += sample[t]
			}
			means = append(means, float64(sum)/float64(perMinute))
		}
		mean, deviation := meanDeviation(means)
		variation.MeanBusySlots += mean / targets
		variation.MinuteDeviation += deviation / targets
		for i, m := range means {
			minutes++
			variation.IdleMinutes += indicator(m < 1)
			variation.FullMinutes += indicator(m > slots-1)
			if i > 0 {
				changes++
				variation.MinuteChange += math.Abs(m - means[i-1])
			}
		}
	}
	for _, sample := range c.busySamples {
		values := make([]float64, targets)
		for t := range sample {
			values[t] = float64(sample[t])
		}
		_, deviation := meanDeviation(values)
		variation.TargetDeviation += deviation / float64(len(c.busySamples))
	}
	variation.IdleMinutes /= float64(minutes)
	variation.FullMinutes /= float64(minutes)
	variation.MinuteChange /= float64(changes)
	return variation
}

// indicator returns 1 if the condition holds, else 0.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// meanDeviation returns the mean and the standard deviation of the values.
func meanDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, math.Sqrt(deviation)
}

// WriteNightLoad simulates the night load once for each value of BatchSpread, the
// share of its deadline over which batch work is spread, and writes a table with
// the load variation of each run.
func WriteNightLoad(w io.Writer, cfg Config, spreads []float64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "spread\tbusy/target\tminute dev\tminute jump\tbetween targets\tidle min\tfull min\turgent p50\turgent p99\tends")
	cfg.NightLoad = true
	for _, spread := range spreads {
		runConfig := cfg
		runConfig.Settings.BatchSpread = spread
		c := newCluster(runConfig)
		c.run()
		variation, report := c.loadVariation(), c.report()
		fmt.Fprintf(table, "%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f%%\t%.1f%%\t%.3f\t%.3f\t%s\n", spread,
			variation.MeanBusySlots, variation.MinuteDeviation, variation.MinuteChange, variation.TargetDeviation,
			100*variation.IdleMinutes, 100*variation.FullMinutes, report.UrgentP50, report.UrgentP99, formatEnds(report.Ends))
	}
	return table.Flush()
}
