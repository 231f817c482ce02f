package runner

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// startCopies is what is known of the copies of one start that were sent to a target. A copy
// without an answer may be carried out until wire.MaxCallDelay after it was sent, by the life
// of the target that it was sent to or by a later one. A stop, and a fencing token, keep only
// the life that has seen them from doing so.
type startCopies struct {
	// sentAt is when the newest copy was sent, and pending is set until its answer.
	sentAt  time.Time
	pending bool
	// unansweredSentAt is when the newest copy without an answer was sent, or zero.
	unansweredSentAt time.Time
}

// maxLateArrival is the time on the agent's clock after which a copy is carried out no more.
const maxLateArrival = wire.MaxCallDelay + time.Duration(maxClockDrift*float64(wire.MaxCallDelay))

// maxLateRun is how long a run lasts, by the agent's clock, that a late copy has begun at a
// target which nobody calls.
const maxLateRun = wire.MaxTargetLease + time.Duration(maxClockDrift*float64(wire.MaxTargetLease))

// sent notes a further copy.
func (s *startCopies) sent(now time.Time) { s.sentAt, s.pending = now, true }

// answered notes the outcome of the newest copy. The target has not received a copy if
// nothing listens at its address.
func (s *startCopies) answered(verdict Verdict) {
	s.pending = false
	if verdict == VerdictUnanswered {
		s.unansweredSentAt = s.sentAt
	}
}

// unanswered reports whether a copy got no answer.
func (s *startCopies) unanswered() bool { return !s.unansweredSentAt.IsZero() }

// uncertain reports whether a copy has no answer, or none yet.
func (s *startCopies) uncertain() bool { return s.pending || s.unanswered() }

// overAt returns when the last copy that may be on its way is carried out at the latest, or
// zero if each has an answer.
func (s *startCopies) overAt() time.Time {
	switch {
	case s.pending:
		return s.sentAt.Add(maxLateArrival)
	case s.unanswered():
		return s.unansweredSentAt.Add(maxLateArrival)
	}
	return time.Time{}
}

// mayArrive reports whether a copy may still be carried out.
func (s *startCopies) mayArrive(now time.Time) bool { return now.Before(s.overAt()) }

// taskFreeAt returns when the task of a run that has ended may start elsewhere: no copy of
// the start can begin it again by then, whatever becomes of the target and its agent. It is
// zero if that holds from the end on.
func (s *startCopies) taskFreeAt() time.Time {
	over := s.overAt()
	if over.IsZero() {
		return over
	}
	return over.Add(maxLateRun)
}
