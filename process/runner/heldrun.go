package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// runState is the phase of a held run.
type runState uint8

const (
	stateStarting runState = iota
	stateRunning
	stateStopping
)

// heldRun is a run that may be alive at the target.
type heldRun struct {
	run      batch.Run
	entry    wire.Incarnation
	demand   batch.Resources
	estimate time.Duration
	// orderSequence is the wire.Orders.Sequence of the order on the present connection of
	// the entry, or 0 if the order came on an earlier one.
	orderSequence uint64
	// durable is set if the end of the run may be acknowledged to the target
	// only after the entry has recorded it.
	durable bool
	state   runState
	// observed is set once the target has confirmed the start or listed the run
	// or its end, and for a run that may have begun before a restart of the
	// target. A stopped run that was never observed is reported as not started.
	observed  bool
	startedAt time.Time
	// copies is what is known of the copies of the start, spec the specification in them.
	copies startCopies
	spec   string
	// listed is set once the target has listed the run as running.
	listed bool
	// confirmedAt is when the target confirmed the start.
	confirmedAt time.Time
	// unansweredAt is when the newest copy of a start that the target has not confirmed failed,
	// once retries are no longer made at once, or zero. startRejected is set if the target has
	// refused the start in a way that it would always do.
	unansweredAt  time.Time
	startRejected bool
	// stopRequestedAt is when the run was first to be stopped.
	stopRequestedAt time.Time
	// stopSentAt is when the last request to stop the run was sent or, once a
	// stop was confirmed, when the target was last polled for the run.
	// stopConfirmedAt is when the target confirmed a stop.
	stopSentAt      time.Time
	stopConfirmedAt time.Time
	// notStartedReason is reported to the entry if a stopped run turns out not
	// to have started.
	notStartedReason wire.StartRefusal
	// progressAt is when progressPercent last changed, or when the start was
	// confirmed.
	progressPercent int
	progressAt      time.Time
	// stopIfSlow is wire.StartTask.StopIfSlow.
	stopIfSlow bool
	// speed is how the run has counted for the speed of the target.
	speed runSpeed
	// missingAnswers counts the successive answers of the target that lack the
	// confirmed run, fencedStarts the starts that were refused for a low fencing
	// token.
	missingAnswers int
	fencedStarts   int
	// unansweredStarts counts the starts without an answer, including those that have not
	// reached the target.
	unansweredStarts int
	// lost is set for a run that has ended with a life of its target, but that is held until
	// the present life refuses the starts of its task that are under way.
	lost bool
	// targetCrashed is set if the target has crashed while the run was there.
	targetCrashed bool
}
