package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/bench"
	"github.com/azurerouter/azurerouter/process/scheduler"
)

// maxParallelRuns bounds the runs that are computed at the same time.
const maxParallelRuns = 4

// nightBatchSpreads are the batch spreads that the experiment night compares: shares of
// the time to the deadline over which batch work is spread.
var nightBatchSpreads = []float64{0, 0.25, 0.5, 0.75, 0.9}

// benchOptions are the flags of bench.
type benchOptions struct {
	seed         uint64
	duration     time.Duration
	urgentShare  float64
	agentQueue   int
	batchReserve float64
	experiment   string
	policies     []string
	scenarios    []string
}

// runBench prints a comparison of the scheduling policies in virtual time and
// returns the exit code.
func runBench(args []string, stdout, stderr io.Writer) int {
	var options benchOptions
	var policies, scenarios string
	flags := newFlags("bench")
	flags.StringVar(&options.experiment, "experiment", "policies", "what to measure (\"policies\", \"retries\" or \"night\")")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of arrivals and choices (integer)")
	flags.DurationVar(&options.duration, "duration", 5*time.Minute, "virtual time in which tasks arrive (duration)")
	flags.Float64Var(&options.urgentShare, "urgent-share", 0.7, "urgent tasks among all tasks (share, 0 to 1)")
	flags.IntVar(&options.agentQueue, "agent-queue", 2, "tasks that may wait at an agent beyond its slots (tasks)")
	flags.Float64Var(&options.batchReserve, "batch-reserve", 0.025, "slots that batch work leaves free (share, 0 to 1)")
	flags.StringVar(&policies, "policies", "random,least_outstanding,two_choices,credits", "policies (comma-separated names)")
	flags.StringVar(&scenarios, "scenarios", "all", "scenarios (comma-separated names, or \"all\")")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	options.policies = strings.Split(policies, ",")
	options.scenarios = strings.Split(scenarios, ",")
	if err := options.validate(); err != nil {
		fmt.Fprintln(stderr, "bench:", err)
		return exitUsage
	}
	if err := options.write(stdout); err != nil {
		fmt.Fprintln(stderr, "bench:", err)
		return exitFailed
	}
	return exitOK
}

// validate rejects unknown names, which would otherwise select nothing or fall back to
// a default.
func (o benchOptions) validate() error {
	known := []string{"all"}
	for _, scenario := range bench.Scenarios() {
		known = append(known, scenario.Name)
	}
	for _, name := range o.scenarios {
		if !slices.Contains(known, name) {
			return fmt.Errorf("unknown scenario %q, want one of %q", name, known)
		}
	}
	for _, name := range o.policies {
		if !slices.Contains(scheduler.Policies(), scheduler.Policy(name)) {
			return fmt.Errorf("unknown policy %q, want one of %q", name, scheduler.Policies())
		}
	}
	return nil
}

func (o benchOptions) write(w io.Writer) error {
	switch o.experiment {
	case "policies":
		return bench.WriteTable(w, o.rows())
	case "retries":
		return bench.WriteRetryCauses(w, o.config(scheduler.Policy(o.policies[0])))
	case "night":
		return bench.WriteNightLoad(w, o.config(scheduler.Policy(o.policies[0])), nightBatchSpreads)
	}
	return fmt.Errorf("unknown experiment %q", o.experiment)
}

// rows runs every selected scenario under every selected policy.
func (o benchOptions) rows() []bench.ReportRow {
	var rows []bench.ReportRow
	var configs []bench.Config
	for _, scenario := range bench.Scenarios() {
		if !slices.Contains(o.scenarios, "all") && !slices.Contains(o.scenarios, scenario.Name) {
			continue
		}
		for _, policy := range o.policies {
			rows = append(rows, bench.ReportRow{Scenario: scenario.Name, Policy: policy})
			configs = append(configs, scenario.Configure(o.config(scheduler.Policy(policy))))
		}
	}
	var group sync.WaitGroup
	permits := make(chan struct{}, maxParallelRuns)
	for i := range rows {
		group.Go(func() {
			permits <- struct{}{}
			rows[i].Report = bench.Run(configs[i])
			<-permits
		})
	}
	group.Wait()
	return rows
}

func (o benchOptions) config(policy scheduler.Policy) bench.Config {
	settings := scheduler.DefaultSettings()
	settings.Policy = policy
	settings.BatchReserve = o.batchReserve
	if o.batchReserve == 0 {
		settings.BatchReserve = -1 // Zero selects the default.
	}
	return bench.Config{Settings: settings, UrgentShare: o.urgentShare, Seed: o.seed, AgentQueue: o.agentQueue, Duration: o.duration}
}
