package runner

import (
	"testing"
	"time"
)

// Guards against a task that starts elsewhere while a copy of its start may be carried out:
// all orders of up to three copies, with each outcome, or with none yet for the newest.
func TestTaskIsFreeOnceNoCopyCanArrive(t *testing.T) {
	const interval = 25 * time.Millisecond
	verdicts := []Verdict{VerdictDone, VerdictUnanswered, VerdictUnhealthy, VerdictNoRoom, VerdictNotListening, ""}
	begin := time.UnixMilli(1_000_000)
	var play func(s startCopies, now, lastOnItsWay time.Time, copies int)
	play = func(s startCopies, now, lastOnItsWay time.Time, copies int) {
		want := time.Time{}
		if !lastOnItsWay.IsZero() {
			want = lastOnItsWay.Add(maxLateArrival + maxLateRun)
		}
		if got := s.taskFreeAt(); !got.Equal(want) {
			t.Errorf("%+v: the task is free at %v, want %v", s, got, want)
		}
		if got := s.mayArrive(now); got == lastOnItsWay.IsZero() {
			t.Errorf("%+v: a copy may arrive: %t", s, got)
		}
		if copies == 0 || s.pending {
			return
		}
		for _, verdict := range verdicts {
			next, onItsWay := s, lastOnItsWay
			next.sent(now)
			if verdict != "" {
				next.answered(verdict)
			}
			if verdict == "" || verdict == VerdictUnanswered {
				onItsWay = now
			}
			play(next, now.Add(interval), onItsWay, copies-1)
		}
	}
	play(startCopies{}, begin, time.Time{}, 3)
}
