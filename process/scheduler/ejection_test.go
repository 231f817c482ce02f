package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// nextTestTask numbers the tasks of runTask, and sharedRandom chooses their
// targets.
var (
	nextTestTask = 1000
	sharedRandom = newRandom()
)

// runTask sends one new task, ends it as the function end returns for its
// target, and returns that target.
func runTask(t *testing.T, s *Scheduler, now time.Time, end func(wire.Incarnation) End) wire.Incarnation {
	t.Helper()
	nextTestTask++
	task := urgentTask(nextTestTask, time.Hour)
	task.Enqueued = now
	mustAdmit(t, s, now, task)
	assigned := s.Assign(now, sharedRandom)
	if len(assigned) != 1 {
		t.Fatalf("%d tasks sent, want 1", len(assigned))
	}
	id := assigned[0].Target
	s.Finish(now, id, task.ID, end(id), time.Millisecond)
	return id
}

// failOn returns an end function for runTask that fails the tasks on bad
// targets.
func failOn(bad ...wire.Incarnation) func(wire.Incarnation) End {
	return func(id wire.Incarnation) End {
		for _, b := range bad {
			if id == b {
				return EndFailed
			}
		}
		return EndOK
	}
}

func targetsInZone(zone string, first wire.Incarnation, count int) []Target {
	var list []Target
	for i := range count {
		list = append(list, Target{ID: first + wire.Incarnation(i), Zone: zone, Slots: 8})
	}
	return list
}

func countStates(s *Scheduler) map[string]int {
	count := map[string]int{}
	for _, t := range s.Dump(start).Targets {
		count[t.State]++
	}
	return count
}

// Guards against a target that fails everything quickly and, being always idle,
// attracts all work; and against one that is never used again after it recovers.
func TestFastFailingTargetIsEjectedAndReadmittedInSteps(t *testing.T) {
	s := withTargets(Settings{Policy: Random}, targetsInZone("a", 1, 4)...)
	for range 100 {
		runTask(t, s, start, failOn(1))
	}
	if n := countStates(s)["ejected"]; n != 1 {
		t.Fatalf("%d targets ejected, want 1", n)
	}
	for range 100 {
		if runTask(t, s, start, failOn(1)) == 1 {
			t.Fatal("a task was sent to the ejected target before a probe was due")
		}
	}
	var tasks []Task
	for i := range 40 {
		tasks = append(tasks, urgentTask(i, time.Hour))
	}
	mustAdmit(t, s, at(2*time.Second), tasks...)
	expectAssigned(t, s, at(2*time.Second), 1, 1)
	expectAssigned(t, s, at(3*time.Second), 1, 2)
	expectAssigned(t, s, at(4*time.Second), 1, 4)
	expectAssigned(t, s, at(5*time.Second), 1, 8)
}

// expectAssigned calls Assign, expects count new tasks on the target and ends
// them with success.
func expectAssigned(t *testing.T, s *Scheduler, now time.Time, id wire.Incarnation, count int) {
	t.Helper()
	var got []Assignment
	for _, a := range s.Assign(now, newRandom()) {
		if a.Target == id {
			got = append(got, a)
		}
	}
	if len(got) != count {
		t.Fatalf("at %v: %d tasks on target %d, want %d", now.Sub(start), len(got), id, count)
	}
	for _, a := range got {
		s.Finish(now, id, a.Task.ID, EndOK, time.Millisecond)
	}
}

// Guards against a target that refuses everything: it is always idle, so without
// an ejection it attracts all work and uses up the retry budget.
func TestRefusingTargetIsEjected(t *testing.T) {
	s := withTargets(Settings{}, targetsInZone("a", 1, 4)...)
	for range 100 {
		runTask(t, s, start, func(id wire.Incarnation) End {
			if id == 1 {
				return EndNotStarted
			}
			return EndOK
		})
	}
	if n := countStates(s)["ejected"]; n != 1 {
		t.Errorf("%d targets ejected, want 1", n)
	}
}

// Guards against a zone that loses all capacity to ejection when all of its
// targets fail, and against dead targets raising the limit of the zone.
func TestEjectionIsLimitedPerZone(t *testing.T) {
	for _, c := range []struct{ live, dead, want int }{{2, 0, 1}, {3, 0, 1}, {10, 0, 3}, {10, 10, 3}, {3, 7, 1}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			s := withTargets(Settings{Policy: Random}, targetsInZone("a", 1, c.live)...)
			for _, d := range targetsInZone("a", 100, c.dead) {
				s.SetTarget(start, d)
				s.RemoveTarget(start, d.ID)
			}
			for _, other := range targetsInZone("b", 200, 20) {
				s.SetTarget(start, other)
			}
			bad := []wire.Incarnation{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
			for range 2000 {
				runTask(t, s, start, failOn(bad...))
			}
			outOfUse := 0
			for _, target := range s.liveTargets {
				if target.health.state == ejected && !target.health.overZoneLimit {
					outOfUse++
				}
			}
			if outOfUse != c.want {
				t.Errorf("%d targets out of use, want %d", outOfUse, c.want)
			}
		})
	}
}

// Guards against failing targets beyond the limit of a zone attracting work
// that healthy targets have room for.
func TestFailingTargetBeyondLimitIsLastResort(t *testing.T) {
	s := withTargets(Settings{}, append(targetsInZone("a", 1, 2), targetsInZone("b", 10, 2)...)...)
	for range 100 {
		runTask(t, s, start, failOn(1, 2))
	}
	for range 100 {
		if id := runTask(t, s, start, failOn(1, 2)); id <= 2 {
			t.Fatalf("a task was sent to failing target %d", id)
		}
	}
	var tasks []Task
	for i := range 24 {
		tasks = append(tasks, urgentTask(i, time.Hour))
	}
	mustAdmit(t, s, start, tasks...)
	if n := len(s.Assign(start, newRandom())); n != 16 {
		t.Errorf("%d tasks sent, want 16 to zone b", n)
	}
	if n := len(s.Assign(at(lastResortAfter), newRandom())); n != 8 {
		t.Errorf("%d tasks sent after waiting, want 8 to the last resort", n)
	}
}

// Guards against retries that multiply the load when every target refuses.
func TestRetryBudget(t *testing.T) {
	s := withTargets(Settings{}, Target{ID: 1, Slots: 8})
	retried := func(now time.Time) int {
		count := 0
		for i := range 1000 {
			if s.Retry(now, urgentTask(i, time.Hour)) {
				count++
				s.Cancel(TaskID{Index: i})
			}
		}
		return count
	}
	if n := retried(start); n != 10 {
		t.Errorf("%d retries without successes, want the minimum of 10", n)
	}
	for range 500 {
		runTask(t, s, at(20*time.Second), failOn())
	}
	if n := retried(at(25 * time.Second)); n != 50 {
		t.Errorf("%d retries after 500 successes, want 50", n)
	}
	if n := retried(at(60 * time.Second)); n != 10 {
		t.Errorf("%d retries long after the successes, want 10", n)
	}
}

// Guards against ejecting targets because of tasks that fail on every target.
func TestFailuresOnAllTargetsEjectNone(t *testing.T) {
	s := withTargets(Settings{Policy: Random}, targetsInZone("a", 1, 10)...)
	count := 0
	for range 2000 {
		runTask(t, s, start, func(wire.Incarnation) End {
			count++
			if count%5 < 3 {
				return EndFailed
			}
			return EndOK
		})
		if n := countStates(s)["healthy"]; n < 10 {
			t.Fatalf("%d of 10 targets in use", n)
		}
	}
}
