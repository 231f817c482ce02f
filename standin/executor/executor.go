// Package executor is a stand-in of a target that runs batch tasks under
// leases. It is driven by the times that are passed in, so that it serves in
// virtual time and behind a server alike.
package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// stopTime is how long a run takes to stop.
const stopTime = 40 * time.Millisecond

// maxEnds bounds the ends in one answer.
const maxEnds = 500

// Work says what a task needs; the caller's specification stands for it.
type Work struct {
	Duration time.Duration
	Demand   batch.Resources
	Fails    bool
}

// Executor is one life of a target.
type Executor struct {
	ID   string
	Born int64
	Room batch.Resources
	// Work returns the work of a task.
	Work func(batch.Task) Work
	// Slow multiplies the duration of work; 0 stands for 1. Hang lets runs that
	// start stand still, FailAll lets them fail.
	Slow    float64
	Hang    bool
	FailAll bool
	// Crashed executors answer nothing and run nothing.
	Crashed bool

	started time.Time
	fence   uint64
	lease   time.Time
	runs    map[batch.Run]*active
	highest map[batch.Task]int
	ends    []runner.EndedRun
	last    uint64
	// Starts counts the runs that have begun, by task.
	Starts map[batch.Task]int
	// OnStart and OnEnd, if set, are told of each run that begins or ends.
	OnStart func(batch.Run)
	OnEnd   func(batch.Run, batch.End)
}

type active struct {
	run       batch.Run
	work      Work
	began     time.Time
	duration  time.Duration
	hangs     bool
	fails     bool
	stoppedAt time.Time
}

// New returns a target that starts now.
func New(now time.Time, id string, room batch.Resources, work func(batch.Task) Work) *Executor {
	return &Executor{ID: id, Born: now.UnixMilli(), Room: room, Work: work, started: now,
		runs: make(map[batch.Run]*active), highest: make(map[batch.Task]int), Starts: make(map[batch.Task]int)}
}

// Clock returns the target's own clock.
func (e *Executor) Clock(now time.Time) runner.TargetClock {
	return runner.TargetClock(now.Sub(e.started).Milliseconds())
}

// Start carries out a request to start a run.
func (e *Executor) Start(now time.Time, c runner.StartCall) runner.Answer {
	e.Advance(now)
	answer := runner.Answer{Clock: e.Clock(now), Verdict: e.startVerdict(now, c)}
	if answer.Verdict != runner.VerdictDone || e.runs[c.Run] != nil {
		return answer
	}
	work := e.Work(c.Run.Task)
	a := &active{run: c.Run, work: work, began: now, duration: work.Duration, hangs: e.Hang, fails: e.FailAll || work.Fails}
	if e.Slow > 0 {
		a.duration = time.Duration(float64(work.Duration) * e.Slow)
	}
	e.runs[c.Run] = a
	e.Starts[c.Run.Task]++
	if e.OnStart != nil {
		e.OnStart(c.Run)
	}
	e.highest[c.Run.Task] = max(e.highest[c.Run.Task], c.Run.Number-1)
	return answer
}

func (e *Executor) startVerdict(now time.Time, c runner.StartCall) runner.Verdict {
	switch {
	case c.Target != e.ID:
		return runner.VerdictOtherTarget
	case c.Fence < e.fence:
		return runner.VerdictFenced
	}
	e.fence = c.Fence
	switch {
	case c.LeaseUntil <= e.Clock(now):
		return runner.VerdictLate
	case e.runs[c.Run] != nil:
		e.extend(now, c.LeaseUntil)
		return runner.VerdictDone
	}
	e.extend(now, c.LeaseUntil)
	if c.Run.Number <= e.highest[c.Run.Task] {
		return runner.VerdictSuperseded
	}
	used := e.Work(c.Run.Task).Demand
	for _, a := range e.runs {
		used = used.Add(a.work.Demand)
	}
	if !used.FitsIn(e.Room) {
		return runner.VerdictNoRoom
	}
	return runner.VerdictDone
}

func (e *Executor) extend(now time.Time, until runner.TargetClock) {
	if deadline := now.Add(time.Duration(until-e.Clock(now)) * time.Millisecond); deadline.After(e.lease) {
		e.lease = deadline
	}
}

// Stop carries out a request to stop a run, or to refuse it from now on.
func (e *Executor) Stop(now time.Time, c runner.StopCall) runner.Answer {
	e.Advance(now)
	switch {
	case c.Target != e.ID:
		return runner.Answer{Verdict: runner.VerdictOtherTarget}
	case c.Fence < e.fence:
		return runner.Answer{Verdict: runner.VerdictFenced, Clock: e.Clock(now)}
	}
	e.fence = c.Fence
	e.highest[c.Run.Task] = max(e.highest[c.Run.Task], c.Run.Number)
	if a := e.runs[c.Run]; a != nil && a.stoppedAt.IsZero() {
		a.stoppedAt = now
	}
	return runner.Answer{Verdict: runner.VerdictDone, Clock: e.Clock(now)}
}

// Hold renews the lease and lists runs and ends. The caller sees to waiting.
func (e *Executor) Hold(now time.Time, c runner.HoldCall) (runner.HoldAnswer, runner.Verdict) {
	e.Advance(now)
	switch {
	case c.Target != e.ID:
		return runner.HoldAnswer{}, runner.VerdictOtherTarget
	case c.Fence < e.fence:
		return runner.HoldAnswer{}, runner.VerdictFenced
	}
	e.fence = c.Fence
	if c.LeaseUntil > 0 {
		e.extend(now, c.LeaseUntil)
	}
	e.ends = slices.DeleteFunc(e.ends, func(end runner.EndedRun) bool { return end.Number <= c.Seen })
	answer := runner.HoldAnswer{Clock: e.Clock(now), Born: e.Born, Ended: slices.Clone(e.ends[:min(len(e.ends), maxEnds)])}
	for _, a := range batch.InOrder(e.runs) {
		answer.Running = append(answer.Running, runner.RunningRun{Run: a.run, Percent: a.percent(now)})
	}
	return answer, runner.VerdictDone
}

// HasEnds reports whether there are ends above a number.
func (e *Executor) HasEnds(seen uint64) bool { return e.last > seen }

// Running returns the runs that are alive.
func (e *Executor) Running() []batch.Run {
	return slices.SortedFunc(maps.Keys(e.runs), batch.Run.Compare)
}

func (a *active) percent(now time.Time) int {
	if a.hangs {
		return 0
	}
	return min(99, int(100*now.Sub(a.began)/max(a.duration, 1)))
}

// Advance ends the runs whose time has come.
func (e *Executor) Advance(now time.Time) {
	for _, a := range batch.InOrder(e.runs) {
		switch {
		case now.After(e.lease):
			e.end(a, batch.EndLapsed)
		case !a.stoppedAt.IsZero() && now.Sub(a.stoppedAt) >= stopTime:
			e.end(a, batch.EndStopped)
		case a.hangs || now.Sub(a.began) < a.duration:
		case a.fails:
			e.end(a, batch.EndFailed)
		default:
			e.end(a, batch.EndDone)
		}
	}
}

func (e *Executor) end(a *active, how batch.End) {
	delete(e.runs, a.run)
	e.highest[a.run.Task] = max(e.highest[a.run.Task], a.run.Number)
	e.last++
	e.ends = append(e.ends, runner.EndedRun{Number: e.last, Run: a.run, End: how})
	if e.OnEnd != nil {
		e.OnEnd(a.run, how)
	}
}

// Crash ends everything without a word.
func (e *Executor) Crash() {
	e.Crashed = true
	e.runs = make(map[batch.Run]*active)
}
