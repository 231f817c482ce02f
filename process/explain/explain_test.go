package explain_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/azurerouter/azurerouter/process/explain"
)

// Guards against lines of a request in a wrong order, lines of other requests
// among them, and a wrong line named as the one that decided.
func TestStories(t *testing.T) {
	datadriven.RunTest(t, "testdata/stories.txt", func(t *testing.T, d *datadriven.TestData) string {
		var lines []explain.Line
		for _, text := range strings.Split(d.Input, "\n") {
			if l, ok := explain.Parse(text); ok {
				lines = append(lines, l)
			}
		}
		var job string
		d.ScanArgs(t, "job", &job)
		return show(explain.Tell(job, lines))
	})
}

func show(s explain.Story) string {
	var out strings.Builder
	for i, l := range s.Lines {
		mark := " "
		if i == s.Deciding {
			mark = ">"
		}
		fmt.Fprintf(&out, "%s %d ms %s %s %s\n", mark, (l.At - s.Lines[0].At).Milliseconds(), l.Process, l.Step, l.Outcome)
	}
	fmt.Fprintln(&out, s.Cause)
	for _, l := range s.Beliefs {
		fmt.Fprintf(&out, "belief %d ms %s %s %s %s\n", (l.At - s.Lines[0].At).Milliseconds(), l.Process, l.Step, l.Outcome, l.Peer)
	}
	return out.String()
}
