package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/request/job"
)

// Step is one line of a trace: a call of a caller, or a fault. A trace is a file
// with one JSON object per line, in the order of time.
type Step struct {
	// AtMS is the virtual time since the start of the run, in milliseconds.
	AtMS float64 `json:"at_ms"`
	// Do is "call", "cancel" or a kind of fault.
	Do string `json:"do"`
	// Process is the entry of a call, or the process that the fault is about;
	// empty for faults of the log and of messages.
	Process string `json:"process,omitempty"`
	// LastsMS is the duration of a fault that has one, in milliseconds.
	LastsMS float64 `json:"lasts_ms,omitempty"`
	// Name names the submission of a call. Calls of the same name are
	// resubmissions.
	Name string `json:"name,omitempty"`
	// Body is the body of a call, Single that it is a single request.
	Body   json.RawMessage `json:"body,omitempty"`
	Single bool            `json:"single,omitempty"`
}

const (
	stepCall   = "call"
	stepCancel = "cancel"
)

const maxStepBytes = 1 << 20

// ReadTrace reads a trace. The error names the line.
func ReadTrace(r io.Reader) ([]Step, error) {
	var steps []Step
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxStepBytes)
	for line := 1; scanner.Scan(); line++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		var step Step
		if err := decoder.Decode(&step); err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		if err := step.check(); err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		steps = append(steps, step)
	}
	return steps, errors.Wrap(scanner.Err(), "read trace")
}

func (s *Step) check() error {
	switch {
	case s.AtMS < 0 || s.LastsMS < 0:
		return errors.New("times must not be negative")
	case s.Do == stepCall && (s.Name == "" || len(s.Body) == 0 || s.Process == ""):
		return errors.New("a call needs name, process and body")
	case s.Do == stepCall || s.Do == stepCancel:
		return nil
	}
	_, err := ParseFaults(s.Do)
	return err
}

// at returns the time of a step.
func (s *Step) at() time.Time { return epoch.Add(milliseconds(s.AtMS)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// record writes a step that the run has drawn, for a later replay.
func (w *world) record(step Step) Step {
	step.AtMS = float64(w.now.Sub(epoch)) / float64(time.Millisecond)
	if w.options.Record != nil {
		line, _ := json.Marshal(step)
		w.options.Record.Write(append(line, '\n'))
	}
	return step
}

// replay schedules the steps of a trace.
func (w *world) replay(steps []Step) {
	for _, step := range steps {
		w.after(step.at().Sub(w.now), "step "+step.Do, func() { w.perform(step) })
	}
}

// perform executes a step.
func (w *world) perform(step Step) {
	switch step.Do {
	case stepCall:
		w.oracle.perform(step)
	case stepCancel:
		w.oracle.cancel(step.Name)
	default:
		w.inject(Fault(step.Do), w.entryNamed(step.Process), w.agentNamed(step.Process), milliseconds(step.LastsMS))
	}
}

// entryNamed returns the entry of a name, or the first one for a step that names
// none.
func (w *world) entryNamed(name string) *entryNode {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return w.entries[0]
}

func (w *world) agentNamed(name string) *agentNode {
	for _, a := range w.agents {
		if a.name == name {
			return a
		}
	}
	return w.agents[0]
}

// taskPlan is the input of a task that says how it ends. Any other input leaves
// it to chance.
type taskPlan struct {
	MS  *float64    `json:"ms"`
	End job.Outcome `json:"end"`
}

func planOf(input []byte) (taskPlan, bool) {
	var plan taskPlan
	err := json.Unmarshal(input, &plan)
	return plan, err == nil && plan.MS != nil
}

// WriteOutcomes prints what became of each submission of a run.
func WriteOutcomes(out io.Writer, result Result) {
	for _, s := range result.Replies {
		fmt.Fprintf(out, "%s: starts %v\n", s.Name, s.Starts)
		for _, reply := range s.Replies {
			fmt.Fprintf(out, "  %s\n", reply)
		}
	}
	for _, violation := range result.Violations {
		fmt.Fprintf(out, "violated: %s\n", violation)
	}
}
