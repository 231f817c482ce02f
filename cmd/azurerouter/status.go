package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/azurerouter/azurerouter/process/observe"
)

const (
	// maxConcurrentReads bounds the dumps that are read at once.
	maxConcurrentReads = 16
	defaultRows        = 40
	// maxSummaryBytes bounds a text in a row, so that the row fits on one line.
	maxSummaryBytes = 100
	// maxShownViolations bounds the violations that are shown; the latest are kept.
	maxShownViolations = 5
)

// processStatus is the dump of one process, or the error of reading it.
type processStatus struct {
	addr string
	dump observe.Dump
	err  error
}

// rank orders rows by urgency, so that processes with problems are shown first.
func (s processStatus) rank() int {
	switch {
	case s.err != nil:
		return 0
	case len(s.dump.Violations) > 0:
		return 1
	case s.dump.Ready != observe.ReadyYes:
		return 2
	}
	return 3
}

// runStatus prints a table of the states of several processes. It returns exitFailed if
// one of them does not respond.
func runStatus(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("status")
	var addrs addressList
	flags.Var(&addrs, "admin", "admin addresses of the processes, separated by commas; may be repeated")
	rows := flags.Int("rows", defaultRows, "maximum number of processes to show")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	if len(addrs) == 0 {
		return usageError(flags, stderr, "-admin ADDR[,ADDR...] is required")
	}
	statuses := readStatuses(context.Background(), addrs)
	sort.SliceStable(statuses, func(i, j int) bool { return statuses[i].rank() < statuses[j].rank() })
	if err := printStatuses(stdout, statuses, *rows); err != nil {
		fmt.Fprintf(stderr, "status: %v\n", err)
		return exitFailed
	}
	if statuses[0].err != nil {
		return exitFailed
	}
	return exitOK
}

// readStatuses returns the statuses in the order of the addresses.
func readStatuses(ctx context.Context, addrs []string) []processStatus {
	statuses := make([]processStatus, len(addrs))
	permits := make(chan struct{}, maxConcurrentReads)
	var readers sync.WaitGroup
	for i, addr := range addrs {
		permits <- struct{}{}
		readers.Go(func() {
			defer func() { <-permits }()
			dump, err := readDump(ctx, addr)
			statuses[i] = processStatus{addr: addr, dump: dump, err: err}
		})
	}
	readers.Wait()
	return statuses
}

func printStatuses(w io.Writer, statuses []processStatus, rows int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADMIN\tPROCESS\tREADY\tUPTIME\tVIOLATIONS\tSTATE")
	for _, s := range statuses[:min(rows, len(statuses))] {
		if s.err != nil {
			fmt.Fprintf(table, "%s\t-\tno answer\t-\t-\t%s\n", s.addr, oneLine(s.err.Error()))
			continue
		}
		uptime := time.Duration(s.dump.UptimeSeconds * float64(time.Second)).Round(time.Second)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", s.addr, oneLine(s.dump.Process), oneLine(s.dump.Ready), uptime,
			formatViolationCounts(s.dump.Violations), summarize(s.dump.State))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printTotals(w, statuses, rows)
	return nil
}

// printTotals prints the totals of all processes and the latest violations.
func printTotals(w io.Writer, statuses []processStatus, rows int) {
	unreachable, notReady, violations := 0, 0, []observe.Violation(nil)
	for _, s := range statuses {
		switch {
		case s.err != nil:
			unreachable++
		case s.dump.Ready != observe.ReadyYes:
			notReady++
		}
		violations = append(violations, s.dump.LastViolations...)
	}
	if len(statuses) > rows {
		fmt.Fprintf(w, "%d more processes are not shown\n", len(statuses)-rows)
	}
	fmt.Fprintf(w, "%d processes, %d without an answer, %d not ready\n", len(statuses), unreachable, notReady)
	sort.SliceStable(violations, func(i, j int) bool { return violations[i].Time.After(violations[j].Time) })
	for _, v := range violations[:min(maxShownViolations, len(violations))] {
		fmt.Fprintf(w, "%s violated at %s, step %s, peer %q: %s\n", v.Guarantee, v.Time.Format(time.RFC3339), v.Step,
			v.Peer, oneLine(v.Detail))
	}
}

// formatViolationCounts returns GUARANTEE:COUNT pairs, or "none".
func formatViolationCounts(counts map[string]uint64) string {
	if len(counts) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(counts))
	for guarantee, n := range counts {
		parts = append(parts, fmt.Sprintf("%s:%d", guarantee, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// omittedValues are left out of a row, which is cut at maxSummaryBytes: most members have
// one of them in most processes.
var omittedValues = []string{"null", "false", "0", `""`, "[0]", "{0}"}

// summarize returns the scalar members of a state, followed by the lengths of its lists
// and objects.
func summarize(state json.RawMessage) string {
	var members map[string]json.RawMessage
	if json.Unmarshal(state, &members) != nil {
		return oneLine(string(state))
	}
	parts := make([]string, 0, len(members))
	for name, value := range members {
		if !slices.Contains(omittedValues, summarizeMember(value)) && name != "incarnation" && name != "ready" {
			parts = append(parts, name+"="+summarizeMember(value))
		}
	}
	isLength := func(part string) bool { return strings.HasSuffix(part, "]") || strings.HasSuffix(part, "}") }
	sort.Slice(parts, func(i, j int) bool {
		if isLength(parts[i]) != isLength(parts[j]) {
			return isLength(parts[j])
		}
		return parts[i] < parts[j]
	})
	return oneLine(strings.Join(parts, " "))
}

// summarizeMember returns a scalar as it is, and the length of a list or an object.
func summarizeMember(value json.RawMessage) string {
	var list []json.RawMessage
	if value = bytes.TrimSpace(value); json.Unmarshal(value, &list) == nil && list != nil {
		return fmt.Sprintf("[%d]", len(list))
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(value, &object) == nil && object != nil {
		return fmt.Sprintf("{%d}", len(object))
	}
	return string(value)
}

// oneLine collapses white space, cuts the text at maxSummaryBytes and replaces control
// characters, because texts of other processes are written to the terminal of the
// operator.
func oneLine(text string) string {
	text = strings.Join(strings.Fields(text), " ")
	if len(text) > maxSummaryBytes {
		text = text[:maxSummaryBytes] + "..."
	}
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return unicode.ReplacementChar
		}
		return r
	}, text)
}
