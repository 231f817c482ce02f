package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/azurerouter/azurerouter/process/entry"
	"github.com/azurerouter/azurerouter/request/job"
)

// runSubmit sends one submission and prints the status and the body of the response. It
// returns exitOK only for a complete answer.
func runSubmit(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("submit")
	base := flags.String("entry", "http://127.0.0.1:9101", "base `URL` of an entry")
	file := flags.String("file", "-", "`file` with the JSON body, - for standard input")
	single := flags.Bool("single", false, "send a single request instead of a job")
	timeout := flags.Duration("timeout", time.Minute, "how long to wait for the response, as a `duration` with unit")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	body, err := readInput(*file)
	if err != nil {
		return fail(stderr, "submit", err)
	}
	path := entry.PathJobs
	if *single {
		path = entry.PathRequests
	}
	client := &http.Client{Timeout: *timeout}
	response, err := client.Post(*base+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return fail(stderr, "submit", err)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return fail(stderr, "submit", err)
	}
	fmt.Fprintf(stdout, "%d %s\n", response.StatusCode, reply)
	var answer job.Answer
	if response.StatusCode != http.StatusOK || json.Unmarshal(reply, &answer) != nil || answer.State != job.Complete {
		return exitFailed
	}
	return exitOK
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}
