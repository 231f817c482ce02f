// Package runner is the part of an agent that starts and stops runs of tasks at
// one target on behalf of several entries. It guards the target's room, keeps
// the lease of the runs alive and ends the runs of entries that it no longer
// hears.
//
// Core holds the decisions. It is driven by events and reads no clock or socket
// of its own, so that it also runs in virtual time.
package runner

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
	// Send queues a message to an entry; it is lost if there is no connection.
	Send(entry wire.Incarnation, m wire.Message)
	// Disconnect ends the connection to an entry.
	Disconnect(entry wire.Incarnation)
	// Start asks the target to start a run and later calls Core.StartAnswered.
	Start(call StartCall)
	// Stop asks the target to stop a run and later calls Core.StopAnswered.
	Stop(call StopCall)
	// Look asks for a hold without waiting, see Core.NextHold.
	Look()
}

// TargetClock is a reading of a target's own steady clock, in milliseconds.
type TargetClock int64

// StartCall is a request to a target to start a run.
type StartCall struct {
	Target string
	Run    batch.Run
	Spec   string
	// LeaseUntil is when the target kills its runs unless the lease is renewed.
	LeaseUntil TargetClock
	// Fence is the fencing token of this agent.
	Fence uint64
}

// StopCall is a request to a target to stop a run, or to refuse it from now on.
type StopCall struct {
	Target string
	Run    batch.Run
	Fence  uint64
}

// HoldCall renews the lease of everything that runs at the target, acknowledges
// ends and asks for the runs.
type HoldCall struct {
	Target string
	Fence  uint64
	// LeaseUntil is zero in a call that only asks.
	LeaseUntil TargetClock
	// Seen is the number of the last end that has been noted.
	Seen uint64
	// Wait is how long the target may wait for an end.
	Wait time.Duration
	// Asked is when the call was made, by the agent's clock.
	Asked time.Time
}

// RunningRun is one row of the runs at a target.
type RunningRun struct {
	Run batch.Run
	// Percent is the progress of the run.
	Percent int
}

// EndedRun is one row of the ends at a target.
type EndedRun struct {
	Number uint64
	Run    batch.Run
	End    batch.End
}

// HoldAnswer is the answer to a HoldCall.
type HoldAnswer struct {
	Clock TargetClock
	// Born tells lives of a target under one identity apart; it is zero if the
	// target does not say it.
	Born    int64
	Running []RunningRun
	Ended   []EndedRun
}

// Verdict is how a target answered a call.
type Verdict string

// Values of Verdict.
const (
	// VerdictDone: the call was carried out.
	VerdictDone Verdict = "done"
	// VerdictNoRoom: the run does not fit.
	VerdictNoRoom Verdict = "no_room"
	// VerdictSuperseded: the run is not higher than one stopped or ended there.
	VerdictSuperseded Verdict = "superseded"
	// VerdictLate: LeaseUntil has passed at the target.
	VerdictLate Verdict = "late"
	// VerdictFenced: a higher fencing token was seen.
	VerdictFenced Verdict = "fenced"
	// VerdictUnhealthy: the target did nothing because it is not well.
	VerdictUnhealthy Verdict = "unhealthy"
	// VerdictInvalid: the target does not accept such a call.
	VerdictInvalid Verdict = "invalid"
	// VerdictOtherTarget: another incarnation answers at the address.
	VerdictOtherTarget Verdict = "other_target"
	// VerdictUnanswered: no answer; the call may be carried out later.
	VerdictUnanswered Verdict = "unanswered"
)

// Answer is the end of a StartCall or StopCall.
type Answer struct {
	Verdict Verdict
	// Clock is zero if the answer has none.
	Clock TargetClock
}

// TargetReport is what a target says of itself.
type TargetReport struct {
	Target  string
	Service string
	// Born is when this life of the target started, or zero.
	Born int64
	// Sequence rises with each report of one life.
	Sequence uint64
	Room     batch.Resources
	Labels   []string
	Draining bool
}
