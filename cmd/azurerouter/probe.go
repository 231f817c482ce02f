package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/standin/target"
)

const probeTimeout = 2 * time.Second

// runReady returns exitOK if the process at the admin address is ready.
func runReady(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("ready")
	if code, ok := parseFlags(flags, args, 1, stdout, stderr); !ok {
		return code
	}
	client := &http.Client{Timeout: probeTimeout}
	response, err := client.Get("http://" + flags.Arg(0) + "/ready")
	if err != nil {
		return fail(stderr, "ready", err)
	}
	defer response.Body.Close()
	reply, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	fmt.Fprintf(stdout, "%d %s\n", response.StatusCode, reply)
	if response.StatusCode != http.StatusOK {
		return exitFailed
	}
	return exitOK
}

// runStarts reads the starts recorded by the target stand-ins and fails if a task was
// started more than once.
func runStarts(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("starts")
	if code, ok := parseFlags(flags, args, anyOperands, stdout, stderr); !ok {
		return code
	}
	startsPerTask := make(map[string]int)
	for _, addr := range flags.Args() {
		starts, err := fetchStarts(addr)
		if err != nil {
			return fail(stderr, "starts", err)
		}
		fmt.Fprintf(stdout, "target %s: %d starts of %d tasks\n", addr, starts.Total, len(starts.Tasks))
		for task, count := range starts.Tasks {
			startsPerTask[task] += count
		}
	}
	maxStarts := 0
	for _, count := range startsPerTask {
		maxStarts = max(maxStarts, count)
	}
	fmt.Fprintf(stdout, "all targets: %d tasks, at most %d starts per task\n", len(startsPerTask), maxStarts)
	if maxStarts > 1 {
		return exitFailed
	}
	return exitOK
}

func fetchStarts(addr string) (target.Starts, error) {
	var starts target.Starts
	client := &http.Client{Timeout: probeTimeout}
	response, err := client.Get("http://" + addr + "/control/starts")
	if err != nil {
		return starts, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return starts, errors.Newf("target %s answered %s", addr, response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&starts)
	return starts, errors.Wrapf(err, "starts of target %s", addr)
}
