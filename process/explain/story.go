package explain

import (
	"fmt"
	"slices"
	"time"
)

const (
	// before is how long before a job's first line a belief may have formed that
	// decided about it.
	before = 2 * time.Second
	// maxBeliefs bounds the beliefs that are shown.
	maxBeliefs = 20
)

// Story is what is known of one job.
type Story struct {
	Lines []Line
	// Beliefs are changes of what processes believed of the targets, agents and
	// entries that the job met, shortly before or during the job.
	Beliefs []Line
	// Deciding is the index in Lines of the line that decided the end of the
	// job, or -1.
	Deciding int
	// Cause says in words what the deciding line means.
	Cause string
}

// Tell picks the lines of a job and finds what decided its end.
func Tell(job string, all []Line) Story {
	s := Story{Deciding: -1}
	for _, l := range all {
		if l.about(job) {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, byTime)
	if len(s.Lines) == 0 {
		s.Cause = "no line of the job: it reached none of these processes, or its lines were omitted (see decisions_omitted)"
		return s
	}
	s.Beliefs = beliefs(s.Lines, all)
	s.decide()
	return s
}

func byTime(a, b Line) int { return int(max(-1, min(1, a.At-b.At))) }

// beliefSteps are the steps of lines that change what a process believes.
var beliefSteps = []string{"judge_target", "target", "session_end", "agent", "fence", "config", "entry"}

func beliefs(lines, all []Line) []Line {
	met := make(map[string]bool)
	for _, l := range lines {
		met[l.Process] = true
		if l.Step == "place" || l.Step == "run_end" {
			met[l.Peer] = true
		}
	}
	from, to := lines[0].At-before, lines[len(lines)-1].At
	var found []Line
	for _, l := range all {
		if slices.Contains(beliefSteps, l.Step) && l.Job == "" && l.At >= from && l.At <= to && (met[l.Process] || met[l.Peer]) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, byTime)
	return found[max(0, len(found)-maxBeliefs):]
}

// decide finds the last word on the job. A caller may send a job again, so the
// newest answer counts.
func (s *Story) decide() {
	for i, l := range slices.Backward(s.Lines) {
		if l.Step != "accept" && l.Step != "answer" || l.Outcome == "accepted" {
			continue
		}
		s.Deciding = i
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
			s.failed(l.Reason)
		case "completed":
			s.completed(l)
		case "cancelled":
			s.Cause = "the caller left; " + s.longest(l)
		default:
			s.Cause = l.Outcome
		}
		return
	}
	s.Cause = "no answer: the entry ended or lost the caller, or the line was omitted (see decisions_omitted)"
}

// failed points at the run that used up the last attempt.
func (s *Story) failed(reason string) {
	s.Cause = "failed: " + reason
	for i, l := range slices.Backward(s.Lines[:s.Deciding]) {
		if l.Step == "run_end" && l.Outcome == "failed" {
			s.Cause += fmt.Sprintf("; the last attempt was %s at %s", l.Run, l.Peer)
			s.Deciding = i
			return
		}
	}
}

func (s *Story) completed(answer Line) {
	took, objective := answer.Inputs["took_ms"], answer.Inputs["objective_ms"]
	if took <= objective {
		s.Cause = fmt.Sprintf("completed in time: %d of %d ms", took, objective)
		return
	}
	s.Cause = fmt.Sprintf("completed late, %d of %d ms; %s", took, objective, s.longest(answer))
}

// longest names the phase of a job that took most of its time: from its
// acceptance to its last order, to the last end of a run, to the answer.
func (s *Story) longest(answer Line) string {
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
