package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/process/explain"
)

// maxLogLineBytes bounds a line of a log.
const maxLogLineBytes = 1 << 20

// runExplain prints the log lines of one job from several processes and the cause of its
// end.
func runExplain(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("explain", ` ID FILE...

Reads the logs of several processes (- for standard input) and prints the lines
of the job ID in order of time. The line that decided its end is marked with >.
Below them are the changes in the state of targets, agents and entries as the
processes saw it during the job or shortly before. A time in seconds in front of
a log line takes precedence over the time inside it.

Exits with 0 if there are lines of the job, 1 if there are none, and 2 if a file
cannot be read.
`)
	if code, ok := parseFlags(flags, args, anyOperands, stdout, stderr); !ok {
		return code
	}
	if flags.NArg() < 2 {
		return usageError(flags, stderr, "the ID of a job and at least one file are required")
	}
	var lines []explain.Line
	for _, path := range flags.Args()[1:] {
		read, err := readLog(path)
		if err != nil {
			fail(stderr, "explain", err)
			return exitUsage
		}
		lines = append(lines, read...)
	}
	report := explain.BuildTimeline(flags.Arg(0), lines)
	printJobReport(stdout, report)
	if len(report.Lines) == 0 {
		return exitFailed
	}
	return exitOK
}

// readLog returns the log lines of a file. It skips lines that are no log lines.
func readLog(path string) ([]explain.Line, error) {
	file := os.Stdin
	if path != "-" {
		opened, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		defer opened.Close()
		file = opened
	}
	var lines []explain.Line
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := explain.Parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log %s", path)
}

// printJobReport prints the lines of a job, the cause of its end, and the changes in the
// state of targets, agents and entries as the processes saw it.
func printJobReport(w io.Writer, s explain.Timeline) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, l := range s.Lines {
		mark := ""
		if i == s.DecidingLine {
			mark = ">"
		}
		printLine(table, mark, s.Lines[0].At, l)
	}
	table.Flush()
	fmt.Fprintln(w, s.Cause)
	if len(s.StateChanges) == 0 {
		return
	}
	fmt.Fprintln(w, "changes in the state of targets, agents and entries, during the job or shortly before:")
	for _, l := range s.StateChanges {
		printLine(table, "", s.Lines[0].At, l)
	}
	table.Flush()
}

// printLine prints a line with its time relative to the first line of the job.
func printLine(w io.Writer, mark string, first time.Duration, l explain.Line) {
	var inputs []string
	for _, name := range slices.Sorted(maps.Keys(l.Inputs)) {
		inputs = append(inputs, fmt.Sprintf("%s=%d", name, l.Inputs[name]))
	}
	fmt.Fprintf(w, "%s\t%+.1f ms\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", mark, float64(l.At-first)/float64(time.Millisecond), l.Process, l.Step,
		l.Outcome, l.Reason, l.Peer, l.Run, strings.Join(inputs, " "))
}
