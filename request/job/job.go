package job

import (
	"encoding/json"
	"time"
)

// Outcome says how a task ended.
type Outcome string

// Values of Outcome. The empty value means that the task has not ended.
const (
	OK         Outcome = "ok"
	Failed     Outcome = "failed"
	NotStarted Outcome = "not_started"
	Timeout    Outcome = "timeout"
	Cancelled  Outcome = "cancelled"
	Unknown    Outcome = "unknown"
)

// TaskResult is the end of one task.
type TaskResult struct {
	Outcome Outcome         `json:"outcome"`
	Output  json.RawMessage `json:"output,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// State is the state of a whole answer.
type State string

// Values of State. There is no third one: an answer is never partial.
const (
	Complete  State = "complete"
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

// New returns a job none of whose tasks has ended.
func New(sub *Submission, now time.Time) *Job {
	return &Job{Submission: sub, Created: now, results: make([]TaskResult, len(sub.Inputs)), open: len(sub.Inputs)}
}

// Open returns how many tasks have not ended.
func (j *Job) Open() int { return j.open }

// Ended reports whether the task has ended.
func (j *Job) Ended(task int) bool { return j.results[task].Outcome != "" }

// Finish records the end of a task. It reports false, and changes nothing, if
// the task had already ended: the first result of a task stands.
func (j *Job) Finish(task int, result TaskResult) bool {
	if task < 0 || task >= len(j.results) || j.Ended(task) || result.Outcome == "" {
		return false
	}
	j.results[task] = result
	j.open--
	return true
}

// FinishOpen gives every task that has not ended the same result.
func (j *Job) FinishOpen(result TaskResult) {
	for task := range j.results {
		j.Finish(task, result)
	}
}

// Failing reports whether a task has ended in another way than OK, so that the
// answer can no longer be complete.
func (j *Job) Failing() bool {
	for _, result := range j.results {
		if result.Outcome != "" && result.Outcome != OK {
			return true
		}
	}
	return false
}

// Answer returns the whole answer, or nil while a task is open. Later calls
// return the same answer.
func (j *Job) Answer() *Answer {
	if j.answer == nil && j.open == 0 {
		j.answer = NewAnswer(j.Submission, j.results)
	}
	return j.answer
}

// NewAnswer builds the answer from the results of all tasks. The outputs are
// left out unless every task ended OK, so a failed answer holds no part of a
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
