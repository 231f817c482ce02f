package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/platform"
	"github.com/azurerouter/azurerouter/process/dispatch"
)

const (
	// maxExplanationBytes bounds the response of the entry: about 400 bytes for each of
	// the candidates.
	maxExplanationBytes = 4 << 20
	// printedCandidates bounds the candidates of a step in the text without -all.
	printedCandidates = 10
)

// runExplainPlacement asks an entry where the tasks of a job would go.
func runExplainPlacement(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("explain-placement", ` FILE

Asks a running entry where the tasks of a job would go now, and why, without
submitting the job. FILE (- for standard input) holds the body of a submission,
or the whole HTTP request with its head. The entry must run with -platform and
-metrics. Nothing is reserved, recorded or counted.

Exits with 0 if the job would be admitted, 1 if it would be rejected or the
entry does not explain it, and 2 if the arguments are wrong.
`)
	admin := flags.String("admin", "", "admin `address` of the entry (required)")
	host := flags.String("host", "", "`host` of the request, if FILE holds only the body")
	path := flags.String("path", "", "`path` of the request, if FILE holds only the body")
	deadline := flags.Duration("deadline", 0, "`time` for which the caller waits, with a unit such as s or ms; 0 for that of the file or the queue")
	asJSON := flags.Bool("json", false, "print the explanation as JSON")
	all := flags.Bool("all", false, "print all candidates")
	if code, ok := parseFlags(flags, args, 1, stdout, stderr); !ok {
		return code
	}
	if *admin == "" {
		return usageError(flags, stderr, "-admin is missing; see -h")
	}
	submission, err := readSubmission(flags.Arg(0), *host, *path)
	if err != nil {
		return usageError(flags, stderr, err.Error())
	}
	if *deadline > 0 {
		platform.SetDeadline(submission, strconv.FormatFloat(float64(*deadline)/float64(time.Millisecond), 'f', -1, 64))
	}
	data, e, err := askForPlacement(*admin, submission)
	if err != nil {
		return fail(stderr, "explain-placement", err)
	}
	if *asJSON {
		stdout.Write(data)
	} else {
		printExplanation(stdout, e, *all)
	}
	if e.Rejection != nil {
		return exitFailed
	}
	return exitOK
}

// readSubmission reads a request, or the body of one to a host and path, from a file.
func readSubmission(file, host, path string) (*http.Request, error) {
	data, err := readFileOrStdin(file)
	if err != nil {
		return nil, err
	}
	if bytes.HasPrefix(data, []byte(http.MethodPost+" ")) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		return r, errors.Wrapf(err, "request in %s", file)
	}
	if host == "" || path == "" {
		return nil, errors.New("-host and -path are required for a file without the head of a request")
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+host+path, bytes.NewReader(data))
	return r, errors.Wrapf(err, "host %q and path %q", host, path)
}

func readFileOrStdin(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// askForPlacement returns the explanation of an entry, encoded and decoded.
func askForPlacement(admin string, submission *http.Request) ([]byte, dispatch.Explanation, error) {
	var e dispatch.Explanation
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	request, err := platform.NewExplainRequest(admin, submission.WithContext(ctx))
	if err != nil {
		return nil, e, err
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return nil, e, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, e, errors.Wrap(err, "read explanation")
	}
	if response.StatusCode != http.StatusOK {
		return nil, e, errors.Newf("%s responded with status %s: %s", admin, response.Status, bytes.TrimSpace(data))
	}
	return data, e, errors.Wrap(json.Unmarshal(data, &e), "decode explanation")
}

// printExplanation prints an explanation for people.
func printExplanation(w io.Writer, e dispatch.Explanation, all bool) {
	fmt.Fprintf(w, "service %s, queue %s, priority %d, objective %d ms, caller waits %d ms\n", e.Service, e.Queue, e.Priority, e.ObjectiveMS, e.DeadlineMS)
	if e.Rejection != nil {
		fmt.Fprintf(w, "rejected (%s): %s, retry after %d ms\n", e.Rejection.Code, e.Rejection.Reason, e.Rejection.RetryAfterMS)
	}
	fmt.Fprintf(w, "ahead of it: %d steps with %d tasks of %d thousandths of a core together, expected wait %d ms; %d of the steps wait for the rack of their data\n",
		e.Ahead.Steps, e.Ahead.Tasks, e.Ahead.MilliCPU, e.Ahead.WaitMS, e.Ahead.AwaitLocal)
	for _, step := range e.Steps {
		printStep(w, step, all)
	}
}

func printStep(w io.Writer, step dispatch.ExplainedStep, all bool) {
	fmt.Fprintf(w, "\nstep %d, %d tasks: %s\n", step.Step, step.Tasks, describeStep(step))
	excluded := make(map[dispatch.Exclusion]int)
	for _, c := range step.Candidates {
		if c.Excluded != "" {
			excluded[c.Excluded]++
		}
	}
	var counts []string
	for _, reason := range slices.Sorted(maps.Keys(excluded)) {
		counts = append(counts, fmt.Sprintf("%s %d", reason, excluded[reason]))
	}
	if len(step.Candidates) == 0 {
		return
	}
	fmt.Fprintf(w, "%d targets, excluded: %s\n", len(step.Candidates), cmp.Or(strings.Join(counts, ", "), "none"))
	printed := step.Candidates
	if !all {
		printed = printed[:min(len(printed), printedCandidates)]
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  TARGET\tZONE\tRACK\tWAIT\tTAKES\tSLOWNESS\tFREE\tCOST\tEXCLUDED")
	for _, c := range printed {
		rack := c.Rack
		if step.DataRack != "" && c.Local {
			rack += " (data)"
		}
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%d±%d ms\t%.2f\t%d\t%s\t%s\n", c.Node, c.Zone, rack, describeWait(c.WaitMS), c.DurationMS, c.ErrorMS,
			c.Slowness, c.Free.MilliCPU, describeCost(c), strings.TrimSpace(string(c.Excluded)+" "+c.ClosedReason))
	}
	table.Flush()
	if left := len(step.Candidates) - len(printed); left > 0 {
		fmt.Fprintf(w, "  and %d more, see -all\n", left)
	}
}

func describeStep(step dispatch.ExplainedStep) string {
	var text string
	switch step.Outcome {
	case dispatch.StepPlaced:
		text = fmt.Sprintf("%d go to %s now", step.TasksThere, step.Target)
	case dispatch.StepAwaitsLocal:
		text = fmt.Sprintf("wait up to %d ms for %s, which is near their data and expected to have room in %d ms", step.WaitMS, step.Target, step.StartMS)
	case dispatch.StepBehind:
		text = "wait behind tasks that find no room"
	case dispatch.StepDepends:
		text = "start after other steps"
	default:
		text = "wait, no target has room"
		if step.StartMS >= 0 {
			text += fmt.Sprintf("; the first is expected to in %d ms", step.StartMS)
		}
	}
	if step.DataRack != "" {
		text += ", data in " + step.DataRack
	}
	if step.Locality != "" {
		text += fmt.Sprintf(" (locality: %s)", step.Locality)
	}
	return text
}

// describeWait returns a time in milliseconds, of which -1 stands for an unknown one.
func describeWait(ms int64) string {
	if ms < 0 {
		return "?"
	}
	return fmt.Sprintf("%d ms", ms)
}

func describeCost(c dispatch.Candidate) string {
	if c.Excluded != "" {
		return "-"
	}
	return fmt.Sprintf("%.2f", c.Cost)
}
