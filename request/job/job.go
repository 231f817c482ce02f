package job

import (
	"encoding/json"
	"time"
)

// Outcome is the way in which a task ended.
type Outcome string

// Values of Outcome. The empty value means that the task has not ended.
const (
	// OK means that the task completed.
	OK Outcome = "ok"
	// Failed means that the task ended with an error.
	Failed Outcome = "failed"
	// NotStarted means that the task was not started.
	NotStarted Outcome = "not_started"
	// Timeout means that the deadline passed before the task ended.
	Timeout Outcome = "timeout"
	// Cancelled means that the task was cancelled.
	Cancelled Outcome = "cancelled"
	// Unknown means that the task may have been started, but its result is not
	// known.
	Unknown Outcome = "unknown"
)

// TaskResult is the result of one task.
type TaskResult struct {
	Outcome Outcome         `json:"outcome"`
	Output  json.RawMessage `json:"output,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// State is the state of an answer as a whole.
type State string

// Values of State. There is none for a partial answer, which is never returned.
const (
	// Complete means that all tasks ended OK.
	Complete State = "complete"
	// JobFailed means that at least one task did not end OK.
	JobFailed State = "failed"
)

// Answer is the whole answer to a submission. It is built once and not changed
// afterwards.
type Answer struct {
	Service string       `json:"service"`
	Team    string       `json:"team"`
	Key     string       `json:"key,omitempty"`
	State   State        `json:"state"`
	Tasks   []TaskResult `json:"tasks"`
	Reason  string       `json:"reason,omitempty"`
}

// Job tracks the tasks of one submission until its answer is built. It is not
// safe for concurrent use.
type Job struct {
	Submission *Submission
	Created    time.Time

	results []TaskResult
	open    int
	answer  *Answer
}

// New returns a job with no ended tasks.
func New(sub *Submission, now time.Time) *Job {
	return &Job{Submission: sub, Created: now, results: make([]TaskResult, len(sub.Inputs)), open: len(sub.Inputs)}
}

// Open returns the number of tasks that have not ended.
func (j *Job) Open() int { return j.open }

// Ended reports whether the task has ended.
func (j *Job) Ended(task int) bool { return j.results[task].Outcome != "" }

// Finish records the result of a task and reports whether it did. It changes
// nothing if the task has already ended, because the first result of a task is
// kept, or if there is no such task or the result has no outcome.
func (j *Job) Finish(task int, result TaskResult) bool {
	if task < 0 || task >= len(j.results) || j.Ended(task) || result.Outcome == "" {
		return false
	}
	j.results[task] = result
	j.open--
	return true
}

// FinishRemaining records the same result for every task that has not ended.
func (j *Job) FinishRemaining(result TaskResult) {
	for task := range j.results {
		j.Finish(task, result)
	}
}

// HasFailedTask reports whether a task has ended with another outcome than OK, so
// that the answer cannot be Complete.
func (j *Job) HasFailedTask() bool {
	for _, result := range j.results {
		if result.Outcome != "" && result.Outcome != OK {
			return true
		}
	}
	return false
}

// Answer returns the whole answer, or nil while a task has not ended. Later calls
// return the same answer.
func (j *Job) Answer() *Answer {
	if j.answer == nil && j.open == 0 {
		j.answer = NewAnswer(j.Submission, j.results)
	}
	return j.answer
}

// NewAnswer builds the answer from the results of all tasks. Unless every task
// ended OK it contains no outputs, so that a failed answer holds no part of a
// complete one.
func NewAnswer(sub *Submission, results []TaskResult) *Answer {
	answer := &Answer{Service: sub.Service, Team: sub.Team, Key: sub.Key, State: Complete,
		Tasks: append([]TaskResult(nil), results...)}
	for _, result := range results {
		if result.Outcome != OK {
			answer.State = JobFailed
		}
	}
	if answer.State == JobFailed {
		for i := range answer.Tasks {
			answer.Tasks[i].Output = nil
		}
	}
	return answer
}
