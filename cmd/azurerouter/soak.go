package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/azurerouter/azurerouter/soak"
)

// runSoak runs the cores of entries and agents in virtual time under random faults. It
// returns exitFailed if a guarantee was violated.
func runSoak(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("soak")
	seed := flags.Uint64("seed", 1, "seed of the first run (integer)")
	runs := flags.Uint64("runs", 1, "number of runs, with consecutive seeds (runs)")
	duration := flags.Duration("duration", time.Minute, "virtual time in which submissions arrive (duration)")
	entries := flags.Int("entries", 0, "entry processes; 0 means 3 (processes)")
	agents := flags.Int("agents", 0, "agent processes; 0 means 5 (processes)")
	faults := flags.String("faults", "all", "kinds of faults to inject, comma-separated, or \"all\"")
	record := flags.String("record", "", "`file` to which the calls and faults of the last run are written, as a trace for replay")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	kinds, err := soak.ParseFaults(*faults)
	if err != nil {
		fmt.Fprintf(stderr, "azurerouter soak: %v\n", err)
		return exitUsage
	}
	failed := 0
	for run := range *runs {
		options := soak.Options{Seed: *seed + run, Duration: *duration, Faults: kinds, Entries: *entries, Agents: *agents}
		if run == *runs-1 {
			trace, err := createTrace(*record)
			if err != nil {
				return fail(stderr, "soak", err)
			}
			if trace != nil {
				defer trace.Close()
				options.Record = trace
			}
		}
		result := soak.Run(options)
		fmt.Fprintf(stdout, "seed %d: %d events, digest %016x, %d calls, %d starts, answers %v, %d violations\n",
			options.Seed, result.Events, result.Digest, result.Calls, result.Starts, result.Answers, len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Fprintln(stdout, "  "+violation)
		}
		if len(result.Violations) > 0 {
			failed++
			fmt.Fprintf(stdout, "  repeat with: azurerouter soak -seed %d -duration %s -faults %s\n",
				options.Seed, *duration, strings.ReplaceAll(*faults, " ", ""))
		}
	}
	fmt.Fprintf(stdout, "%d of %d runs violated a guarantee\n", failed, *runs)
	if failed > 0 {
		return exitFailed
	}
	return exitOK
}
