package bench

import (
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"
	"time"
)

// Report holds the figures of one run.
type Report struct {
	// P50, P95 and P99 are quantiles of the response time of all answered
	// tasks, divided by the same quantiles of the ideal.
	P50, P95, P99 float64
	// UrgentP50 and UrgentP99 are the same for urgent tasks only.
	UrgentP50, UrgentP99 float64
	// MessagesPerTask counts every message between entries and agents, per
	// task that got an answer.
	MessagesPerTask float64
	// Unused is the share of messages that led to no used answer; Heartbeats
	// is the share of heartbeats, which are not part of it.
	Unused, Heartbeats float64
	// UrgentGoodput is the number of urgent tasks per second that were
	// answered with success before their deadline.
	UrgentGoodput float64
	// IdealGoodput is the same figure of the ideal.
	IdealGoodput float64
	// Ends counts tasks by how they ended.
	Ends map[string]int
	// StartsPerTask is the number of dispatches per task that was dispatched
	// at least once.
	StartsPerTask float64
	// PeakStarts is the largest value of StartsPerTask in any 10 s of the run.
	PeakStarts float64
}

var resultNames = map[result]string{answered: "ok", failed: "failed", refused: "refused", expired: "expired",
	late: "late", lost: "unknown", notStarted: "not_started"}

// Run runs one configuration in virtual time.
func Run(cfg Config) Report {
	c := newCluster(cfg)
	c.run()
	return c.report()
}

func (c *cluster) report() Report {
	best := ideal(c.arrivals)
	var got, gotUrgent, want, wantUrgent []time.Duration
	r := Report{Ends: map[string]int{}}
	finished := 0
	for i, a := range c.arrivals {
		if !c.counted(i) {
			continue
		}
		r.Ends[resultNames[c.results[i]]]++
		if best[i] >= 0 {
			want = append(want, best[i])
			if isUrgent(a) {
				wantUrgent = append(wantUrgent, best[i])
			}
		}
		if c.results[i] == answered {
			got = append(got, c.response[i])
			if isUrgent(a) {
				gotUrgent = append(gotUrgent, c.response[i])
			}
		}
		if c.results[i] == answered || c.results[i] == failed {
			finished++
		}
	}
	r.P50, r.P95, r.P99 = ratio(got, want, 0.5), ratio(got, want, 0.95), ratio(got, want, 0.99)
	r.UrgentP50, r.UrgentP99 = ratio(gotUrgent, wantUrgent, 0.5), ratio(gotUrgent, wantUrgent, 0.99)
	seconds := (c.cfg.Duration - warmUp).Seconds()
	r.UrgentGoodput, r.IdealGoodput = float64(len(gotUrgent))/seconds, float64(len(wantUrgent))/seconds
	total := 0
	for _, n := range c.messages {
		total += n
	}
	r.MessagesPerTask = float64(total) / float64(finished)
	r.Unused = float64(c.wasted) / float64(total)
	r.Heartbeats = float64(c.messages[heartbeatMessage]) / float64(total)
	r.StartsPerTask = float64(c.starts) / float64(c.starts-c.retries)
	r.PeakStarts = c.peakStarts()
	return r
}

// startSpan is the time over which peaks of dispatches are counted.
const startSpan = 10 * time.Second

func (c *cluster) peakStarts() float64 {
	peak := 0.0
	for _, n := range c.startsIn {
		if n.first > 0 {
			peak = max(peak, float64(n.all)/float64(n.first))
		}
	}
	return peak
}

func ratio(got, want []time.Duration, q float64) float64 {
	return float64(quantile(got, q)) / float64(quantile(want, q))
}

// quantile sorts its argument.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(math.Ceil(q*float64(len(values))))-1)]
}

// Row is a report with the names under which it is printed.
type Row struct {
	Scenario, Policy string
	Report           Report
}

// WriteTable prints rows in aligned columns.
func WriteTable(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tpolicy\tp50\tp95\tp99\turgent p99\tmsg/task\tunused\theartbeats\turgent/s\tideal/s\tends")
	for _, row := range rows {
		r := row.Report
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f%%\t%.1f%%\t%.1f\t%.1f\t%s\n",
			row.Scenario, row.Policy, r.P50, r.P95, r.P99, r.UrgentP99, r.MessagesPerTask, 100*r.Unused,
			100*r.Heartbeats, r.UrgentGoodput, r.IdealGoodput, formatEnds(r.Ends))
	}
	return table.Flush()
}

func formatEnds(ends map[string]int) string {
	text := ""
	for r := answered; r <= notStarted; r++ {
		if n := ends[resultNames[r]]; n > 0 {
			text += fmt.Sprintf("%s=%d ", resultNames[r], n)
		}
	}
	return text
}
