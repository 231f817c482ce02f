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

// Step is one line of a trace: a call, a cancellation or a fault. A trace is a
// file with one JSON object per line, in the order of time.
type Step struct {
	// AtMS is the virtual time since the start of the run, in milliseconds.
	AtMS float64 `json:"at_ms"`
	// Action is "call", "cancel" or the name of a Fault.
	Action string `json:"do"`
	// Process is the entry that receives a call, or the process affected by a
	// fault; empty for cancellations and for faults of the log and of messages.
	Process string `json:"process,omitempty"`
	// DurationMS is the duration of a temporary fault, in milliseconds.
	DurationMS float64 `json:"lasts_ms,omitempty"`
	// Name identifies the submission to call or cancel. Later calls of the same
	// name are resubmissions.
	Name string `json:"name,omitempty"`
	// Body is the request body of a call.
	Body json.RawMessage `json:"body,omitempty"`
	// Single marks a call that is a single request, not a job.
	Single bool `json:"single,omitempty"`
}

const (
	stepCall   = "call"
	stepCancel = "cancel"
)

// maxStepBytes limits the length of a line of a trace, in bytes.
const maxStepBytes = 1 << 20

// ReadTrace reads and validates a trace. The error contains the line number of an
// invalid step.
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
		if err := step.validate(); err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		steps = append(steps, step)
	}
	return steps, errors.Wrap(scanner.Err(), "read trace")
}

// validate checks the times, the kind and the required fields of a step.
func (s *Step) validate() error {
	switch {
	case s.AtMS < 0 || s.DurationMS < 0:
		return errors.Newf("at_ms %v and lasts_ms %v must not be negative", s.AtMS, s.DurationMS)
	case s.Action == stepCall && (s.Name == "" || len(s.Body) == 0 || s.Process == ""):
		return errors.New("a call requires name, process and body")
	case s.Action == stepCall || s.Action == stepCancel:
		return nil
	}
	_, err := ParseFaults(s.Action)
	return err
}

// time returns the virtual time of a step.
func (s *Step) time() time.Time { return epoch.Add(milliseconds(s.AtMS)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// recordStep sets the time of a randomly generated step to the current time and
// writes the step to the recorded trace, if there is one.
func (sim *simulation) recordStep(step Step) Step {
	step.AtMS = float64(sim.now.Sub(epoch)) / float64(time.Millisecond)
	if sim.options.Record != nil {
		line, _ := json.Marshal(step)
		sim.options.Record.Write(append(line, '\n'))
	}
	return step
}

// scheduleTrace schedules the steps of a trace.
func (sim *simulation) scheduleTrace(steps []Step) {
	for _, step := range steps {
		sim.after(step.time().Sub(sim.now), "step "+step.Action, func() { sim.runStep(step) })
	}
}

// runStep executes a step.
func (sim *simulation) runStep(step Step) {
	switch step.Action {
	case stepCall:
		sim.oracle.replayCall(step)
	case stepCancel:
		sim.oracle.cancelCalls(step.Name)
	default:
		sim.inject(Fault(step.Action), sim.entryByName(step.Process), sim.agentByName(step.Process), milliseconds(step.DurationMS))
	}
}

// entryByName returns the entry with a name, or the first entry if there is none,
// as for a step without a process.
func (sim *simulation) entryByName(name string) *entryNode {
	for _, e := range sim.entries {
		if e.name == name {
			return e
		}
	}
	return sim.entries[0]
}

// agentByName returns the agent with a name, or the first agent if there is none.
func (sim *simulation) agentByName(name string) *agentNode {
	for _, a := range sim.agents {
		if a.name == name {
			return a
		}
	}
	return sim.agents[0]
}

// taskPlan is a task input that sets the run time, in milliseconds, and the
// outcome of the task. Both are random for tasks with any other input.
type taskPlan struct {
	MS  *float64    `json:"ms"`
	End job.Outcome `json:"end"`
}

// parseTaskPlan reports false if the input is not a taskPlan.
func parseTaskPlan(input []byte) (taskPlan, bool) {
	var plan taskPlan
	err := json.Unmarshal(input, &plan)
	return plan, err == nil && plan.MS != nil
}

// WriteOutcomes prints the task starts and call outcomes of each submission of a
// run, and the violations.
func WriteOutcomes(out io.Writer, result Result) {
	for _, s := range result.Submissions {
		fmt.Fprintf(out, "%s: starts %v\n", s.Name, s.Starts)
		for _, reply := range s.Replies {
			fmt.Fprintf(out, "  %s\n", reply)
		}
	}
	for _, violation := range result.Violations {
		fmt.Fprintf(out, "violated: %s\n", violation)
	}
}
