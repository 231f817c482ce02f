package explain_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/azurerouter/azurerouter/process/explain"
)

// Guards against an explanation that lists the lines of a job in the wrong order,
// includes lines of other jobs, or marks the wrong line as the deciding one. The
// cases are a refusal, failures, lateness, resubmission, and missing or reordered
// lines.
func TestExplanations(t *testing.T) {
	datadriven.RunTest(t, "testdata/explanations.txt", func(t *testing.T, d *datadriven.TestData) string {
		var lines []explain.Line
		for _, text := range strings.Split(d.Input, "\n") {
			if l, ok := explain.Parse(text); ok {
				lines = append(lines, l)
			}
		}
		var job string
		d.ScanArgs(t, "job", &job)
		return format(explain.BuildTimeline(job, lines))
	})
}

// format prints an explanation with > before the deciding line and all times
// relative to the first line.
func format(s explain.Timeline) string {
	var out strings.Builder
	for i, l := range s.Lines {
		mark := " "
		if i == s.DecidingLine {
			mark = ">"
		}
		fmt.Fprintf(&out, "%s %d ms %s %s %s\n", mark, (l.At - s.Lines[0].At).Milliseconds(), l.Process, l.Step, l.Outcome)
	}
	fmt.Fprintln(&out, s.Cause)
	for _, l := range s.StateChanges {
		fmt.Fprintf(&out, "state change %d ms %s %s %s %s\n", (l.At - s.Lines[0].At).Milliseconds(), l.Process, l.Step, l.Outcome, l.Peer)
	}
	return out.String()
}
