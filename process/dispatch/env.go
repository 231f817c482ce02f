// Package dispatch is the part of an entry that holds the jobs of its callers
// and spreads their tasks over the targets of a service. A job lives in the
// entry that accepted it until it is answered.
//
// Core holds the decisions. It is driven by events and reads no clock or socket
// of its own, so that it also runs in virtual time.
package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Env is what Core needs of its surroundings. No method may block or call back
// into Core before it returns.
type Env interface {
	decision.Sink
	// Now never steps back and counts suspensions.
	Now() time.Time
	// Send queues a message to an agent; it is lost if there is no connection.
	Send(agent wire.Incarnation, m wire.Message)
	// Progressed notes that there is something to record of a durable job.
	Progressed(id batch.ID)
	// IsOpen reports whether a job is durable and has not ended, here or
	// elsewhere. known is false as long as that can't be said.
	IsOpen(id batch.ID) (open, known bool)
}

// Code is how a submission ended.
type Code string

// Values of Code.
const (
	// Completed: every task is done.
	Completed Code = "completed"
	// Failed: a task failed as often as its queue allows.
	Failed Code = "failed"
	// NotRun: refused, and no task of the job has run or will run.
	NotRun Code = "not_run"
	// GaveUp: the job can't be completed here; some of its tasks have run.
	GaveUp Code = "gave_up"
	// Invalid: no target can run the job as it is described.
	Invalid Code = "invalid"
)

// Result answers a submission.
type Result struct {
	Code   Code
	Reason Reason
	// RetryAfter is when the caller may try again after NotRun.
	RetryAfter time.Duration
}

// Reason says why a job ended without being completed.
type Reason string

// Values of Reason.
const (
	// ReasonNoTargets: no target of the service is known.
	ReasonNoTargets Reason = "no_targets"
	// ReasonOverloaded: the work ahead takes longer than the caller waits.
	ReasonOverloaded Reason = "overloaded"
	// ReasonDeadline: the time left is shorter than the work left.
	ReasonDeadline Reason = "deadline"
	// ReasonTooLarge: a task needs more than any target has.
	ReasonTooLarge Reason = "too_large"
	// ReasonAttempts: a task has used up its attempts.
	ReasonAttempts Reason = "attempts"
	// ReasonIsolated: the entry has lost contact with every target.
	ReasonIsolated Reason = "isolated"
	// ReasonStoreAway: the job can't be recorded.
	ReasonStoreAway Reason = "store_away"
	// ReasonStopping: the process ends.
	ReasonStopping Reason = "stopping"
	// ReasonUnsupported: the job uses a feature of which this version has none.
	ReasonUnsupported Reason = "unsupported"
)
