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

// sampleTime is the interval at which busy slots are counted.
const sampleTime = 100 * time.Millisecond

// sample is the number of busy slots per target at one moment.
type sample [targets]int

func (c *cluster) sampleBusy() {
	if c.now < warmUp || c.now >= c.cfg.Duration {
		return
	}
	var s sample
	for i, a := range c.agents {
		s[i] = len(a.running)
	}
	c.busy = append(c.busy, s)
}

// A night has urgent work that falls from 50 to 10 % of the slots and rises
// again, and every 10 min a batch run of 30 % of the slots' time that has 10 min
// to end.
const (
	nightUrgentLow, nightUrgentHigh = 0.1, 0.5
	nightBatch                      = 0.3
	nightPeriod                     = 10 * time.Minute
	nightJob                        = 400
)

// night returns the arrivals of a night that is compressed into the duration.
func night(cfg Config) []arrival {
	random := rand.New(rand.NewPCG(cfg.Seed, 4))
	perLoad := float64(targets*slots) / meanRun.Seconds()
	var all []arrival
	number := 0
	add := func(at time.Duration, tasks int, priority job.Priority, deadline time.Duration) {
		number++
		for range tasks {
			all = append(all, arrival{at: at, run: drawRun(random), deadline: at + deadline,
				priority: priority, job: number, poison: 1})
		}
	}
	for now := time.Duration(0); now < cfg.Duration; {
		phase := 2 * math.Pi * float64(now) / float64(cfg.Duration)
		load := nightUrgentLow + (nightUrgentHigh-nightUrgentLow)*(1+math.Cos(phase))/2
		now += time.Duration(random.ExpFloat64() / (load * perLoad) * float64(time.Second))
		add(now, 1, job.Urgent, urgentDeadline)
	}
	jobs := int(nightBatch * perLoad * nightPeriod.Seconds() / nightJob)
	for now := time.Duration(0); now < cfg.Duration; now += nightPeriod {
		for range jobs {
			add(now+uniform(random, 0, 10*time.Second), nightJob, job.Batch, nightPeriod)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// Steadiness says how even the busy slots of the targets are over a run.
type Steadiness struct {
	// Mean is the mean number of busy slots per target.
	Mean float64
	// Minutes is the standard deviation of a target's one-minute means over
	// time, Jumps the mean change from one minute to the next.
	Minutes, Jumps float64
	// Between is the mean standard deviation between targets at one moment.
	Between float64
	// Idle and Full are the shares of minutes in which a target's mean is
	// below 1 slot, and above 7 of 8.
	Idle, Full float64
}

func (c *cluster) steadiness() Steadiness {
	perMinute := int(time.Minute / sampleTime)
	var s Steadiness
	minutes, jumps := 0, 0
	for t := range targets {
		var means []float64
		for first := 0; first+perMinute <= len(c.busy); first += perMinute {
			sum := 0
			for _, one := range c.busy[first : first+perMinute] {
				sum += one[t]
			}
			means = append(means, float64(sum)/float64(perMinute))
		}
		mean, deviation := meanDeviation(means)
		s.Mean += mean / targets
		s.Minutes += deviation / targets
		for i, m := range means {
			minutes++
			s.Idle += indicator(m < 1)
			s.Full += indicator(m > slots-1)
			if i > 0 {
				jumps++
				s.Jumps += math.Abs(m - means[i-1])
			}
		}
	}
	for _, one := range c.busy {
		values := make([]float64, targets)
		for t := range one {
			values[t] = float64(one[t])
		}
		_, deviation := meanDeviation(values)
		s.Between += deviation / float64(len(c.busy))
	}
	s.Idle /= float64(minutes)
	s.Full /= float64(minutes)
	s.Jumps /= float64(jumps)
	return s
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func meanDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, math.Sqrt(deviation)
}

// WriteNight runs a night with each share of the batch deadline over which
// batch work is spread, and prints how even the load is.
func WriteNight(w io.Writer, cfg Config, spreads []float64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "spread\tbusy/target\tminute dev\tminute jump\tbetween targets\tidle min\tfull min\turgent p50\turgent p99\tends")
	cfg.Night = true
	for _, spread := range spreads {
		run := cfg
		run.Settings.BatchSpread = spread
		c := newCluster(run)
		c.run()
		s, r := c.steadiness(), c.report()
		fmt.Fprintf(table, "%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f%%\t%.1f%%\t%.3f\t%.3f\t%s\n", spread, s.Mean, s.Minutes,
			s.Jumps, s.Between, 100*s.Idle, 100*s.Full, r.UrgentP50, r.UrgentP99, formatEnds(r.Ends))
	}
	return table.Flush()
}
