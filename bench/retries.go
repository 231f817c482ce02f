package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// retryCase is one cause of retries at 120 % load.
type retryCase struct {
	name       string
	agentQueue int
	faults     func(*cluster)
}

func retryCases() []retryCase {
	return []retryCase{
		{name: "2 places at agents", agentQueue: 2},
		{name: "no places at agents"},
		{name: "targets refuse half", agentQueue: 2, faults: refuseHalf},
	}
}

func refuseHalf(c *cluster) {
	for _, a := range c.agents {
		c.at(c.cfg.Duration/3, func() { a.refuse = 0.5 })
		c.at(2*c.cfg.Duration/3, func() { a.refuse = 0 })
	}
}

// unlimitedRetries is a retry budget that is never used up.
const unlimitedRetries = 1 << 30

// WriteRetries runs the causes of retries at 120 % load with and without the
// retry budget and prints dispatches per dispatched task.
func WriteRetries(w io.Writer, cfg Config) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cause\tbudget\tdispatches/task\tpeak\tunused\turgent/s\tideal/s\tends")
	for _, test := range retryCases() {
		for _, unlimited := range []bool{false, true} {
			run, name := cfg, "10 %"
			run.Load, run.AgentQueue, run.Faults = 1.2, test.agentQueue, test.faults
			if unlimited {
				run.Settings.RetryMinimum, name = unlimitedRetries, "none"
			}
			r := Run(run)
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.2f%%\t%.1f\t%.1f\t%s\n", test.name, name,
				r.StartsPerTask, r.PeakStarts, 100*r.Unused, r.UrgentGoodput, r.IdealGoodput, formatEnds(r.Ends))
		}
	}
	return table.Flush()
}
