package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// retryCause is a cause of retries at 120 % load.
type retryCause struct {
	name           string
	agentQueue     int
	scheduleFaults func(*cluster)
}

// retryCauses returns the compared causes: busy agents with and without a queue, and
// targets that refuse tasks.
func retryCauses() []retryCause {
	return []retryCause{
		{name: "2 places at agents", agentQueue: 2},
		{name: "no places at agents"},
		{name: "targets refuse half", agentQueue: 2, scheduleFaults: refuseHalf},
	}
}

// refuseHalf makes every target refuse half of its dispatches.
func refuseHalf(c *cluster) {
	for _, a := range c.agents {
		c.at(c.cfg.Duration/3, func() { a.refuseShare = 0.5 })
		c.at(2*c.cfg.Duration/3, func() { a.refuseShare = 0 })
	}
}

// unlimitedRetries is a retry budget that no run uses up.
const unlimitedRetries = 1 << 30

// WriteRetryCauses simulates each cause of retries at 120 % load, with and
// without the retry budget, and writes a table with the dispatches per dispatched task.
func WriteRetryCauses(w io.Writer, cfg Config) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cause\tbudget\tdispatches/task\tpeak\tunused\turgent/s\tideal/s\tends")
	for _, cause := range retryCauses() {
		for _, unlimited := range []bool{false, true} {
			runConfig, budget := cfg, "10 %"
			runConfig.Load, runConfig.AgentQueue, runConfig.ScheduleFaults = 1.2, cause.agentQueue, cause.scheduleFaults
			if unlimited {
				runConfig.Settings.RetryMinimum, budget = unlimitedRetries, "none"
			}
			report := Run(runConfig)
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.2f%%\t%.1f\t%.1f\t%s\n", cause.name, budget,
				report.DispatchesPerTask, report.PeakDispatches, 100*report.UnusedShare,
				report.UrgentGoodput, report.IdealGoodput, formatEnds(report.Ends))
		}
	}
	return table.Flush()
}
