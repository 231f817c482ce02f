// Package dispatch is the part of an entry that holds the jobs of its callers and
// assigns their tasks to the targets of a service. A job stays with the entry that
// accepted it until it is answered.
//
// Core makes the decisions. It is driven by events and reads no clock or socket of
// its own, so that it also runs in virtual time.
package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Env is what Core requires of its environment. No method may block, or call
// Core before it returns.
type Env interface {
	decision.Recorder
	// Now returns the current time. It never goes back, and it advances while
	// the process is suspended.
	Now() time.Time
	// Send queues a message to an agent. Without a connection the message is
	// dropped.
	Send(agent wire.Incarnation, m wire.Message)
	// NoteProgress reports that a durable job has progress to record; see
	// Core.DurableProgress.
	NoteProgress(id batch.ID)
	// DurableJobState returns the state of a job in the log as far as this entry has
	// read it.
	DurableJobState(id batch.ID) DurableJobState
	// AfterLogRead calls f from another goroutine: with true once this entry has read
	// every record that the log had at the time of the call, or with false if that
	// takes too long.
	AfterLogRead(f func(ok bool))
}

// DurableJobState is the state of a job in the log of durable jobs.
type DurableJobState string

// Values of DurableJobState.
const (
	// DurableUnknown: the part of the log that was read has no such job.
	DurableUnknown DurableJobState = "unknown"
	// DurableOpen: the job has not ended.
	DurableOpen DurableJobState = "open"
	// DurableEnded: the job has ended.
	DurableEnded DurableJobState = "ended"
	// DurableUncertain: this entry is known to lack records of the log.
	DurableUncertain DurableJobState = "uncertain"
)

// Code is the outcome of a submission.
type Code string

// Values of Code.
const (
	// Completed: every task is done.
	Completed Code = "completed"
	// Failed: a task failed as many times as its queue allows.
	Failed Code = "failed"
	// NotRun: the job is refused or given up; none of its tasks has run or will
	// run.
	NotRun Code = "not_run"
	// GaveUp: this entry can't complete the job; some of its tasks may have run.
	GaveUp Code = "gave_up"
	// Invalid: no target can run the job as described.
	Invalid Code = "invalid"
)

// Result is the answer to a submission.
type Result struct {
	Code   Code
	Reason Reason
	// RetryAfter is the time after which the caller may submit again. It is set
	// for NotRun.
	RetryAfter time.Duration
}

// Reason is why a job ended without being completed.
type Reason string

// Values of Reason.
const (
	// ReasonNoTargets: the entry is not in contact with any agent of the service.
	ReasonNoTargets Reason = "no_targets"
	// ReasonOverloaded: the work that is served first takes too long for the job
	// to meet its objective.
	ReasonOverloaded Reason = "overloaded"
	// ReasonDeadline: the remaining work does not fit in the remaining time.
	ReasonDeadline Reason = "deadline"
	// ReasonTooLarge: no target with the required label is large enough for a
	// task.
	ReasonTooLarge Reason = "too_large"
	// ReasonAttempts: a task has failed in all of its attempts.
	ReasonAttempts Reason = "attempts"
	// ReasonCrashes: targets have crashed under a task of the job.
	ReasonCrashes Reason = "crashes"
	// ReasonWithdrawn: the caller has submitted the job to another entry.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonCallerLeft: the connections of all callers have ended.
	ReasonCallerLeft Reason = "caller_left"
	// ReasonRunsElsewhere: runs of the job, or of an earlier submission of it, may be alive or
	// may begin late for longer than the caller waits.
	ReasonRunsElsewhere Reason = "runs_elsewhere"
	// ReasonIsolated: the entry has lost contact with every agent of the service.
	ReasonIsolated Reason = "isolated"
	// ReasonStoreUnavailable: the job can't be recorded in the store.
	ReasonStoreUnavailable Reason = "store_away"
	// ReasonStopping: the process is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonUnsupported: the job uses a feature that this version does not
	// implement.
	ReasonUnsupported Reason = "unsupported"
)
