// Package locality decides whether a task waits for a target near its data or starts
// elsewhere, where it takes longer. It holds no state and reads no clock.
package locality

import "time"

// Estimate is an expected duration with its error: the actual one lies within Expected
// minus Error and Expected plus Error, as far as the errors of callers' estimates are known.
type Estimate struct {
	Expected time.Duration
	Error    time.Duration
}

// latest returns the longest duration within the error.
func (e Estimate) latest() time.Duration { return e.Expected + e.Error }

// Policy says how the gain of a wait is weighed.
type Policy int

// Values of Policy.
const (
	// ByGain waits while the expected end at the local target is before the expected end
	// elsewhere.
	ByGain Policy = iota
	// ByCertainGain subtracts the error of the time at which the local target becomes free
	// from the gain. It is for comparison.
	ByCertainGain
	// Never starts tasks at once. It is for comparison.
	Never
	// Fixed waits for FixedWait, whatever the gain. It is for comparison.
	Fixed
)

// FixedWait is the wait of the policy Fixed.
const FixedWait = 50 * time.Millisecond

// Input describes a choice. Durations count from now.
type Input struct {
	// Local is the duration of the task at a local target, Remote at the best other one
	// with capacity now.
	Local, Remote Estimate
	// LocalFree is when the local target is expected to have capacity for all tasks that
	// the step has left. Known is false if no local target is expected to have it.
	LocalFree Estimate
	Known     bool
	// Waited is how long the step has waited for a local target.
	Waited time.Duration
	// Objective is the time left for the step if its job is to meet its latency
	// objective, Deadline the time left until its result is of no more use to the caller.
	// Either may be negative.
	Objective, Deadline time.Duration
	// LatestStart is the time within which a task must start. Jobs that have not started by
	// then are rejected under load.
	LatestStart time.Duration
}

// Reason is why a task waits or does not wait.
type Reason string

// Values of Reason.
const (
	// Gain: the task ends earlier at the local target, in spite of the wait.
	Gain Reason = "ends_earlier"
	// NoGain: the task ends earlier elsewhere, or as early.
	NoGain Reason = "no_gain"
	// NoLocal: no local target is expected to have capacity.
	NoLocal Reason = "no_local_target"
	// Waited: the step has waited for as long as a local target could have made up for.
	Waited Reason = "waited"
	// Objective: after the wait the job could miss its latency objective.
	Objective Reason = "objective"
	// Deadline: after the wait the caller could have left.
	Deadline Reason = "deadline"
	// Disabled: the policy allows no wait.
	Disabled Reason = "disabled"
)

// Decision is whether to wait. A task that does not wait starts elsewhere now.
type Decision struct {
	Wait bool
	// For is the time from now after which the task starts elsewhere unless a local
	// target has become free. It is positive if Wait is set.
	For    time.Duration
	Reason Reason
}

// Decide returns whether a task waits for a local target. It waits only if it is expected
// to end no later for that. The bound of all waits of the step together is the time that the
// local target saves, and each wait leaves the time to start elsewhere within the objective
// and the deadline.
func Decide(p Policy, in Input) Decision {
	switch {
	case p == Never:
		return Decision{Reason: Disabled}
	case !in.Known:
		return Decision{Reason: NoLocal}
	}
	saved := in.Remote.Expected - in.Local.Expected
	limit, reason := saved-in.Waited, Waited
	free := in.LocalFree.Expected
	switch p {
	case Fixed:
		limit = FixedWait - in.Waited
	case ByCertainGain:
		free = in.LocalFree.latest()
	}
	if p != Fixed && free >= saved {
		return Decision{Reason: NoGain}
	}
	if left := timeWithinObjective(in); left < limit {
		limit, reason = left, Objective
	}
	if in.LatestStart < limit {
		limit, reason = in.LatestStart, Objective
	}
	if left := timeToWait(in.Deadline, in.Local.latest(), in.Remote.latest()); left < limit {
		limit, reason = left, Deadline
	}
	if limit <= 0 || in.LocalFree.Expected > limit && p != Fixed {
		return Decision{Reason: reason}
	}
	return Decision{Wait: true, For: limit, Reason: Gain}
}

// timeWithinObjective returns how long a task may wait without the objective being missed. A
// wait uses up time that makes up for the error of the estimates. If the objective is met
// elsewhere at the latest duration too, the wait leaves time for that one; otherwise it uses
// half of what the expected duration leaves.
func timeWithinObjective(in Input) time.Duration {
	left := timeToWait(in.Objective, in.Local.Expected, in.Remote.Expected)
	if in.Remote.Expected <= in.Objective {
		return max(in.Objective-in.Remote.latest(), left/2)
	}
	return left
}

// timeToWait returns how long a task may wait to end within the time left: at a remote
// target after the wait, or, if it can't do so even without a wait, at a local one.
func timeToWait(left, local, remote time.Duration) time.Duration {
	if remote <= left {
		return left - remote
	}
	return left - local
}

// Remaining returns the time until a run ends that was expected to take a duration and has
// run for some time. The end is taken to be equally likely at all times within the error.
// ok is false for a run that has exceeded the error; its end can't be foretold.
func Remaining(duration Estimate, elapsed time.Duration) (left Estimate, ok bool) {
	earliest, latest := duration.Expected-duration.Error, duration.latest()
	if elapsed <= earliest {
		return Estimate{Expected: duration.Expected - elapsed, Error: duration.Error}, true
	}
	if elapsed >= latest {
		return Estimate{}, false
	}
	half := (latest - elapsed) / 2
	return Estimate{Expected: half, Error: half}, true
}
