package main

import (
	"fmt"
	"io"
	"time"

	"github.com/azurerouter/azurerouter/soak"
)

// maxCancelRequests keeps every request within the queue limit of its entry.
const maxCancelRequests = 20_000

// runBenchCancel cancels many requests at the same moment in virtual time. It prints the
// messages between each pair of process kinds and the times until all places in queues,
// slots and calls are free.
func runBenchCancel(args []string, stdout, stderr io.Writer) int {
	var options soak.CancelOptions
	flags := newFlags("bench cancel")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of latencies and run times (integer)")
	flags.IntVar(&options.Requests, "requests", 10_000, "requests submitted at once (requests, 1 to 20000)")
	flags.IntVar(&options.Entries, "entries", 3, "entry processes (processes, 1 to 16)")
	flags.IntVar(&options.Agents, "agents", 100, "agent processes of 4 slots each (processes, 1 to 1000)")
	flags.DurationVar(&options.DisconnectAfter, "after", 100*time.Millisecond, "virtual time from the submission to the cancellation (duration, 0s to 1m)")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	if !inRange(options.Requests, 1, maxCancelRequests) || !inRange(options.Entries, 1, 16) || !inRange(options.Agents, 1, 1000) ||
		options.DisconnectAfter < 0 || options.DisconnectAfter > time.Minute {
		fmt.Fprintf(stderr, "azurerouter %s: a flag is out of its range; -h lists the ranges\n", flags.Name())
		return exitUsage
	}
	result, err := soak.RunCancel(options)
	result.Write(stdout)
	if err != nil {
		return fail(stderr, flags.Name(), err)
	}
	if len(result.Violations) > 0 {
		return exitFailed
	}
	return exitOK
}

func inRange(n, low, high int) bool { return low <= n && n <= high }
