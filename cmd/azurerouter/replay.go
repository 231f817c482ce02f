package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/azurerouter/azurerouter/soak"
)

// runReplay runs a recorded trace of calls and faults against the cores of entries and
// agents and prints the outcome of each submission.
func runReplay(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("replay")
	seed := flags.Uint64("seed", 1, "seed of delays (integer)")
	entries := flags.Int("entries", 0, "entry processes; 0 means 3 (processes)")
	agents := flags.Int("agents", 0, "agent processes; 0 means 5 (processes)")
	if code, ok := parseFlags(flags, args, 1, stdout, stderr); !ok {
		return code
	}
	file, err := os.Open(flags.Arg(0))
	if err != nil {
		return fail(stderr, "replay", err)
	}
	defer file.Close()
	steps, err := soak.ReadTrace(file)
	if err != nil {
		return fail(stderr, "replay", err)
	}
	result := soak.Run(soak.Options{Seed: *seed, Duration: traceDuration(steps), Trace: steps, Entries: *entries, Agents: *agents})
	soak.WriteOutcomes(stdout, result)
	if len(result.Violations) > 0 {
		return exitFailed
	}
	return exitOK
}

// traceDuration returns the time to the end of the last step, plus 1 s.
func traceDuration(steps []soak.Step) time.Duration {
	if len(steps) == 0 {
		return time.Second
	}
	last := steps[len(steps)-1]
	return time.Duration((last.AtMS+last.DurationMS)*float64(time.Millisecond)) + time.Second
}

// createTrace opens the trace file of soak -record. It returns nil for an empty name.
func createTrace(name string) (io.WriteCloser, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create the trace file: %w", err)
	}
	return file, nil
}
