// Package runner starts and stops runs of tasks at one target on behalf of
// several entries. It is the part of an agent that keeps the runs within the
// target's capacity, renews their lease and stops the runs of an entry whose
// session has expired.
//
// Core makes the decisions. It is driven by events and uses no clock or socket
// of its own, so that it can also run in virtual time.
package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Env gives Core its clock, its decision log, the connections to entries and
// the calls to the target. No method may block or call back into Core before it
// returns.
type Env interface {
	decision.Recorder
	// Now returns a time that never goes backwards and that advances while the
	// machine is suspended.
	Now() time.Time
	// Send queues a message to an entry; it is lost if there is no connection.
	Send(entry wire.Incarnation, m wire.Message)
	// Start asks the target to start a run and later calls Core.HandleStartAnswer.
	Start(call StartCall)
	// Stop asks the target to stop a run and later calls Core.HandleStopAnswer.
	Stop(call StopCall)
	// RequestHold asks for a hold call that the target answers at once; see
	// Core.NextHold.
	RequestHold()
}

// TargetClock is a reading of a target's own monotonic clock, in milliseconds.
type TargetClock int64

// StartCall is a request to a target to start a run.
type StartCall struct {
	Target string
	// Life is the life of the target that the agent knew when it made the call.
	Life uint64
	Run  batch.Run
	Spec string
	// LeaseUntil is when the target kills its runs unless the lease is renewed.
	LeaseUntil TargetClock
	// Fence is the fencing token of this agent.
	Fence uint64
}

// StopCall is a request to a target to stop a run or, if it has not started, to
// refuse its start from then on.
type StopCall struct {
	Target string
	// Life is the same as StartCall.Life.
	Life  uint64
	Run   batch.Run
	Fence uint64
}

// HoldCall renews the lease of all runs at the target, acknowledges ends and
// asks for a list of the runs.
type HoldCall struct {
	Target string
	// Life is the same as StartCall.Life.
	Life  uint64
	Fence uint64
	// LeaseUntil is zero in a call that does not renew the lease.
	LeaseUntil TargetClock
	// AckedEnds is the number up to which all ends are acknowledged; the target may
	// forget them.
	AckedEnds uint64
	// Wait is how long the target may wait for an end before it answers.
	Wait time.Duration
	// SentAt is when the call was made, by the agent's clock.
	SentAt time.Time
}

// RunningRun is a run that a target lists as running.
type RunningRun struct {
	Run batch.Run
	// Percent is the reported progress of the run.
	Percent int
}

// EndedRun is a run that a target lists as ended.
type EndedRun struct {
	// Number rises with each end. It starts again after a restart of the target.
	Number uint64
	Run    batch.Run
	End    batch.End
}

// HoldAnswer is the answer to a HoldCall.
type HoldAnswer struct {
	Clock TargetClock
	// StartTime differs after each restart of a target that keeps its identity. It
	// is zero if the target does not report it.
	StartTime int64
	Running   []RunningRun
	Ended     []EndedRun
}

// Verdict is the outcome of a call to a target.
type Verdict string

// Values of Verdict.
const (
	// VerdictDone: the call was carried out.
	VerdictDone Verdict = "done"
	// VerdictNoRoom: the run does not fit into the free capacity of the target.
	VerdictNoRoom Verdict = "no_room"
	// VerdictSuperseded: a run of the task with the same or a higher number has
	// been stopped or has ended at the target.
	VerdictSuperseded Verdict = "superseded"
	// VerdictLate: LeaseUntil was in the past by the target's clock.
	VerdictLate Verdict = "late"
	// VerdictFenced: the target has seen a higher fencing token.
	VerdictFenced Verdict = "fenced"
	// VerdictUnhealthy: the target did nothing because it is unhealthy.
	VerdictUnhealthy Verdict = "unhealthy"
	// VerdictInvalid: the target does not accept such a call.
	VerdictInvalid Verdict = "invalid"
	// VerdictOtherTarget: another incarnation answers at the address.
	VerdictOtherTarget Verdict = "other_target"
	// VerdictNotListening: nothing accepts connections at the address of the target.
	// An earlier copy of the call may have been carried out.
	VerdictNotListening Verdict = "not_listening"
	// VerdictUnanswered: there was no answer; the call may still be carried out.
	VerdictUnanswered Verdict = "unanswered"
)

// Answer is the result of a StartCall or StopCall.
type Answer struct {
	Verdict Verdict
	// Clock is zero if the answer has none.
	Clock TargetClock
}

// TargetReport is a target's description of its own state.
type TargetReport struct {
	Target  string
	Service string
	// StartTime is when the target last started, or zero if it is not reported.
	StartTime int64
	// Sequence rises with each report. It starts again after a restart of the
	// target.
	Sequence uint64
	Capacity batch.Resources
	Labels   []string
	Draining bool
}
