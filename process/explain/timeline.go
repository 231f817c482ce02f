package explain

import (
	"fmt"
	"slices"
	"time"
)

const (
	// stateChangeWindow is the time before the first line of a job in which a
	// state change may have influenced the job and is therefore shown.
	stateChangeWindow = 2 * time.Second
	// maxStateChanges limits the state changes that are shown; the latest are kept.
	maxStateChanges = 20
)

// Timeline is the course of one job as far as the logs show it.
type Timeline struct {
	// Lines are the lines of the job in order of time.
	Lines []Line
	// StateChanges are the lines, in order of time, that record a state change of a
	// target, agent or entry involved in the job, during the job or in the
	// stateChangeWindow before it.
	StateChanges []Line
	// DecidingLine is the index in Lines of the line that decided the outcome of
	// the job, or -1.
	DecidingLine int
	// Cause describes the outcome of the job and the reason for it.
	Cause string
}

// BuildTimeline selects the lines of a job from all lines and determines which one
// decided its outcome.
func BuildTimeline(job string, all []Line) Timeline {
	s := Timeline{DecidingLine: -1}
	for _, l := range all {
		if l.belongsTo(job) {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, compareTimes)
	if len(s.Lines) == 0 {
		s.Cause = "no line of the job: it reached none of these processes, or its lines were omitted (see decisions_omitted)"
		return s
	}
	s.StateChanges = stateChanges(s.Lines, all)
	s.findDecidingLine()
	return s
}

func compareTimes(a, b Line) int { return int(max(-1, min(1, a.At-b.At))) }

// stateChangeSteps are the steps of lines that record a change of the state that a
// process keeps of a target, agent, entry, session, fencing token or configuration.
var stateChangeSteps = []string{"judge_target", "target", "session_end", "agent", "fence", "config", "entry"}

// stateChanges returns the latest lines that record a state change at a process
// or of a peer involved in the job.
func stateChanges(lines, all []Line) []Line {
	involved := make(map[string]bool)
	for _, l := range lines {
		involved[l.Process] = true
		if l.Step == "place" || l.Step == "run_end" {
			involved[l.Peer] = true
		}
	}
	from, to := lines[0].At-stateChangeWindow, lines[len(lines)-1].At
	var found []Line
	for _, l := range all {
		if slices.Contains(stateChangeSteps, l.Step) && l.Job == "" && l.At >= from && l.At <= to && (involved[l.Process] || involved[l.Peer]) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, compareTimes)
	return found[max(0, len(found)-maxStateChanges):]
}

// findDecidingLine sets DecidingLine to the latest line that holds an outcome of
// the job, and Cause accordingly. A caller may send a job again, and then only the
// latest outcome counts.
func (s *Timeline) findDecidingLine() {
	for i, l := range slices.Backward(s.Lines) {
		if l.Step != "accept" && l.Step != "answer" || l.Outcome == "accepted" {
			continue
		}
		s.DecidingLine = i
		switch l.Outcome {
		case "refused", "not_run":
			s.Cause = fmt.Sprintf("refused, nothing has run: %s", l.Reason)
			if waited := l.Inputs["waited_ms"]; waited > 0 {
				s.Cause += fmt.Sprintf("; the caller had lost an earlier attempt and waited %d ms", waited)
			}
		case "undecided":
			s.Cause = "not known whether the job is accepted, the caller sends it again: " + l.Reason
		case "gave_up":
			s.Cause = fmt.Sprintf("given up after some tasks had started: %s", l.Reason)
		case "failed":
			s.explainFailure(l.Reason)
		case "completed":
			s.explainCompletion(l)
		case "cancelled":
			s.Cause = "the caller left; " + s.longestPhase(l)
		default:
			s.Cause = l.Outcome
		}
		return
	}
	s.Cause = "no answer: the entry ended or lost the caller, or the line was omitted (see decisions_omitted)"
}

// explainFailure selects the failed run that used up the last attempt as the
// deciding line.
func (s *Timeline) explainFailure(reason string) {
	s.Cause = "failed: " + reason
	for i, l := range slices.Backward(s.Lines[:s.DecidingLine]) {
		if l.Step == "run_end" && l.Outcome == "failed" {
			s.Cause += fmt.Sprintf("; the last attempt was %s at %s", l.Run, l.Peer)
			s.DecidingLine = i
			return
		}
	}
}

// explainCompletion compares the time that the job took with its latency
// objective and names the longest phase of a late job.
func (s *Timeline) explainCompletion(answer Line) {
	took, objective := answer.Inputs["took_ms"], answer.Inputs["objective_ms"]
	if took <= objective {
		s.Cause = fmt.Sprintf("completed in time: %d of %d ms", took, objective)
		return
	}
	s.Cause = fmt.Sprintf("completed late, %d of %d ms; %s", took, objective, s.longestPhase(answer))
}

// longestPhase describes the longest of the three phases of a job: from its
// acceptance to its last order, from there to the last end of a run, and from
// there to the answer.
func (s *Timeline) longestPhase(answer Line) string {
	var accepted, placed, ended *Line
	for i := range s.Lines {
		l := &s.Lines[i]
		switch {
		case l.At > answer.At:
		case l.Step == "accept" && l.Outcome == "accepted":
			accepted, placed, ended = l, nil, nil
		case l.Step == "place" && l.Outcome == "ordered":
			placed = l
		case l.Step == "run_end":
			ended = l
		}
	}
	switch {
	case accepted == nil:
		return "its acceptance is not among the lines"
	case placed == nil:
		return "no task was ordered"
	case ended == nil:
		return "no run has ended"
	}
	waiting, running, answering := placed.At-accepted.At, ended.At-placed.At, answer.At-ended.At
	switch max(waiting, running, answering) {
	case waiting:
		return fmt.Sprintf("mostly until its last order, %d ms", waiting.Milliseconds())
	case running:
		return fmt.Sprintf("mostly at targets after its last order, %d ms; last at %s", running.Milliseconds(), ended.Peer)
	}
	return fmt.Sprintf("mostly between the last end and the answer, %d ms", answering.Milliseconds())
}
