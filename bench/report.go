package bench

import (
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"
	"time"
)

// Report holds the results of one run. Unless stated otherwise they leave out the
// warm-up.
type Report struct {
	// P50, P95 and P99 are quantiles of the response time of all answered tasks,
	// divided by the same quantiles of the ideal schedule.
	P50, P95, P99 float64
	// UrgentP50 and UrgentP99 are the same ratios for urgent tasks only.
	UrgentP50, UrgentP99 float64
	// MessagesPerTask is the number of messages between entries and agents per
	// task that was answered, with success or as failed.
	MessagesPerTask float64
	// UnusedShare is the share of messages that brought no answer in time, such
	// as those of refused dispatches. HeartbeatShare is the share of heartbeats,
	// which UnusedShare does not include.
	UnusedShare, HeartbeatShare float64
	// UrgentGoodput is the number of urgent tasks per second that were
	// answered with success before their deadline.
	UrgentGoodput float64
	// IdealGoodput is the same rate in the ideal schedule.
	IdealGoodput float64
	// Ends counts tasks by the name of their result.
	Ends map[string]int
	// DispatchesPerTask is the number of dispatches per task that was dispatched
	// at least once, over the whole run with the warm-up.
	DispatchesPerTask float64
	// PeakDispatches is the largest number of dispatches per first dispatch in
	// any 10 s of the run.
	PeakDispatches float64
}

// resultNames are the names of results in printed reports.
var resultNames = map[taskResult]string{answered: "ok", failed: "failed", refused: "refused", expired: "expired",
	late: "late", lost: "unknown", notStarted: "not_started"}

// Run simulates one configuration in virtual time and returns its results.
func Run(cfg Config) Report {
	c := newCluster(cfg)
	c.run()
	return c.report()
}

func (c *cluster) report() Report {
	idealTimes := idealResponseTimes(c.arrivals)
	var answeredTimes, urgentTimes, reference, urgentReference []time.Duration
	r := Report{Ends: map[string]int{}}
	finished := 0
	for i, a := range c.arrivals {
		if !c.afterWarmUp(i) {
			continue
		}
		r.Ends[resultNames[c.results[i]]]++
		if idealTimes[i] >= 0 {
			reference = append(reference, idealTimes[i])
			if isUrgent(a) {
				urgentReference = append(urgentReference, idealTimes[i])
			}
		}
		if c.results[i] == answered {
			answeredTimes = append(answeredTimes, c.responseTimes[i])
			if isUrgent(a) {
				urgentTimes = append(urgentTimes, c.responseTimes[i])
			}
		}
		if c.results[i] == answered || c.results[i] == failed {
			finished++
		}
	}
	r.P50, r.P95, r.P99 = ratio(answeredTimes, reference, 0.5), ratio(answeredTimes, reference, 0.95), ratio(answeredTimes, reference, 0.99)
	r.UrgentP50, r.UrgentP99 = ratio(urgentTimes, urgentReference, 0.5), ratio(urgentTimes, urgentReference, 0.99)
	seconds := (c.cfg.Duration - warmUp).Seconds()
	r.UrgentGoodput, r.IdealGoodput = float64(len(urgentTimes))/seconds, float64(len(urgentReference))/seconds
	total := 0
	for _, n := range c.messages {
		total += n
	}
	r.MessagesPerTask = float64(total) / float64(finished)
	r.UnusedShare = float64(c.unusedMessages) / float64(total)
	r.HeartbeatShare = float64(c.messages[heartbeatMessage]) / float64(total)
	r.DispatchesPerTask = float64(c.dispatches) / float64(c.dispatches-c.retries)
	r.PeakDispatches = c.peakDispatches()
	return r
}

// dispatchSpan is the length of the intervals over which PeakDispatches is taken.
const dispatchSpan = 10 * time.Second

// peakDispatches returns the largest number of dispatches per first dispatch in
// any span.
func (c *cluster) peakDispatches() float64 {
	peak := 0.0
	for _, n := range c.dispatchesBySpan {
		if n.first > 0 {
			peak = max(peak, float64(n.all)/float64(n.first))
		}
	}
	return peak
}

// ratio divides a quantile of the measured times by that of the reference.
func ratio(measured, reference []time.Duration, q float64) float64 {
	return float64(quantile(measured, q)) / float64(quantile(reference, q))
}

// quantile returns the q-quantile, 0 if there are no values. It sorts values in
// place.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(math.Ceil(q*float64(len(values))))-1)]
}

// ReportRow is one line of the table: the report of a scenario under a policy.
type ReportRow struct {
	Scenario, Policy string
	Report           Report
}

// WriteTable writes the rows as a table with aligned columns.
func WriteTable(w io.Writer, rows []ReportRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tpolicy\tp50\tp95\tp99\turgent p99\tmsg/task\tunused\theartbeats\turgent/s\tideal/s\tends")
	for _, row := range rows {
		r := row.Report
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f%%\t%.1f%%\t%.1f\t%.1f\t%s\n",
			row.Scenario, row.Policy, r.P50, r.P95, r.P99, r.UrgentP99, r.MessagesPerTask, 100*r.UnusedShare,
			100*r.HeartbeatShare, r.UrgentGoodput, r.IdealGoodput, formatEnds(r.Ends))
	}
	return table.Flush()
}

// formatEnds lists the results that occurred, with their number of tasks.
func formatEnds(ends map[string]int) string {
	text := ""
	for r := answered; r <= notStarted; r++ {
		if n := ends[resultNames[r]]; n > 0 {
			text += fmt.Sprintf("%s=%d ", resultNames[r], n)
		}
	}
	return text
}
