// Package executor is a stand-in for a target that runs batch tasks under leases.
// The caller passes the current time to its methods, so that it can run in virtual
// time as well as behind a server.
package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// stopDuration is the time from a stop request to the end of the run.
const stopDuration = 40 * time.Millisecond

// crashDelay is the time from the start of a run to the crash that it causes.
const crashDelay = 10 * time.Millisecond

// maxLease is the longest lease. A call that was made before a restart of the target asks
// for a longer one, because the clock of the target starts again.
const maxLease = time.Second

// maxEndsPerAnswer limits the ended runs in one answer.
const maxEndsPerAnswer = 500

// Work describes the simulated execution of a task: its run time, the resources that
// it occupies, and whether it fails or crashes the target. It replaces the specification in a start
// request, which the stand-in does not interpret.
type Work struct {
	Duration time.Duration
	Demand   batch.Resources
	Fails    bool
	// Crashes makes the target crash when the task has run for crashDelay.
	Crashes bool
	// CrashesAtStart makes the target crash before it answers the request to start it.
	CrashesAtStart bool
}

// Executor is one incarnation of a target. It is not safe for concurrent use.
type Executor struct {
	ID string
	// StartedAtMS is the start time of the incarnation, in Unix milliseconds.
	StartedAtMS int64
	// Capacity is the total capacity for runs.
	Capacity batch.Resources
	// Work returns the work of a task.
	Work func(batch.Task) Work
	// SlowFactor multiplies the duration of new runs; 0 means 1.
	SlowFactor float64
	// Hang makes new runs never finish by themselves.
	Hang bool
	// FailAll makes new runs fail.
	FailAll bool
	// Crashed is set after Crash. The caller must not send requests then.
	Crashed bool

	started time.Time
	// fence is the highest fencing token received.
	fence uint64
	// leaseUntil is when all active runs end unless the lease is extended.
	leaseUntil time.Time
	runs       map[batch.Run]*activeRun
	// highestNumber is the highest run number of each task that must not start
	// any more.
	highestNumber map[batch.Task]int
	// unacknowledged holds the ended runs that no caller has confirmed, in the
	// order of their numbers; lastEnd is the latest number. lastVoid is the latest one
	// that the lease has lapsed after.
	unacknowledged []runner.EndedRun
	lastEnd        uint64
	lastVoid       uint64
	// Starts counts the started runs of each task.
	Starts map[batch.Task]int
	// OnStart and OnEnd, if set, are called for each run that starts or ends.
	OnStart func(batch.Run)
	OnEnd   func(batch.Run, batch.End)
	// OnAcknowledged, if set, is called for each end that is acknowledged, unless the
	// lease has lapsed between the two.
	OnAcknowledged func(batch.Run, batch.End)
	// OnCrash, if set, is called when a run crashes the target.
	OnCrash func(batch.Run)
}

// activeRun is a run that has started and not ended.
type activeRun struct {
	run             batch.Run
	work            Work
	startedAt       time.Time
	duration        time.Duration
	hang            bool
	fail            bool
	stopRequestedAt time.Time
}

// New returns a target that starts at the given time.
func New(now time.Time, id string, room batch.Resources, work func(batch.Task) Work) *Executor {
	return &Executor{ID: id, StartedAtMS: now.UnixMilli(), Capacity: room, Work: work, started: now,
		runs: make(map[batch.Run]*activeRun), highestNumber: make(map[batch.Task]int), Starts: make(map[batch.Task]int)}
}

// Clock returns the time on the clock of the target, which starts at zero.
func (e *Executor) Clock(now time.Time) runner.TargetClock {
	return runner.TargetClock(now.Sub(e.started).Milliseconds())
}

// Start handles a request to start a run. A repeated request for a run that is
// active has no effect except for the lease.
func (e *Executor) Start(now time.Time, c runner.StartCall) runner.Answer {
	e.Advance(now)
	answer := runner.Answer{Clock: e.Clock(now), Verdict: e.startVerdict(now, c)}
	if answer.Verdict != runner.VerdictDone || e.runs[c.Run] != nil {
		return answer
	}
	work := e.Work(c.Run.Task)
	a := &activeRun{run: c.Run, work: work, startedAt: now, duration: work.Duration, hang: e.Hang, fail: e.FailAll || work.Fails}
	if e.SlowFactor > 0 {
		a.duration = time.Duration(float64(work.Duration) * e.SlowFactor)
	}
	e.runs[c.Run] = a
	e.Starts[c.Run.Task]++
	if e.OnStart != nil {
		e.OnStart(c.Run)
	}
	e.highestNumber[c.Run.Task] = max(e.highestNumber[c.Run.Task], c.Run.Number-1)
	if work.CrashesAtStart {
		e.crashUnder(c.Run)
	}
	return answer
}

// startVerdict decides a start request. A request that is not fenced sets the
// fence, and one that is not late either extends the lease.
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
		e.extendLease(now, c.LeaseUntil)
		return runner.VerdictDone
	}
	e.extendLease(now, c.LeaseUntil)
	if c.Run.Number <= e.highestNumber[c.Run.Task] {
		return runner.VerdictSuperseded
	}
	used := e.Work(c.Run.Task).Demand
	for _, a := range e.runs {
		used = used.Add(a.work.Demand)
	}
	if !used.FitsIn(e.Capacity) {
		return runner.VerdictNoRoom
	}
	return runner.VerdictDone
}

// extendLease moves the end of the lease to a time on the clock of the target, but at most
// maxLease ahead, unless it is later already.
func (e *Executor) extendLease(now time.Time, until runner.TargetClock) {
	lease := min(time.Duration(until-e.Clock(now))*time.Millisecond, maxLease)
	if deadline := now.Add(lease); deadline.After(e.leaseUntil) {
		e.leaseUntil = deadline
	}
}

// Stop handles a request to stop a run. If the run is not active, a later request to
// start it is refused.
func (e *Executor) Stop(now time.Time, c runner.StopCall) runner.Answer {
	e.Advance(now)
	switch {
	case c.Target != e.ID:
		return runner.Answer{Verdict: runner.VerdictOtherTarget}
	case c.Fence < e.fence:
		return runner.Answer{Verdict: runner.VerdictFenced, Clock: e.Clock(now)}
	}
	e.fence = c.Fence
	e.highestNumber[c.Run.Task] = max(e.highestNumber[c.Run.Task], c.Run.Number)
	if a := e.runs[c.Run]; a != nil && a.stopRequestedAt.IsZero() {
		a.stopRequestedAt = now
	}
	return runner.Answer{Verdict: runner.VerdictDone, Clock: e.Clock(now)}
}

// Hold renews the lease, discards the ended runs that the caller has seen, and
// returns the active runs and the other ended ones. It does not wait: the caller
// implements the wait of the request.
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
		e.extendLease(now, c.LeaseUntil)
	}
	e.acknowledge(c.AckedEnds)
	answer := runner.HoldAnswer{Clock: e.Clock(now), StartTime: e.StartedAtMS, Ended: slices.Clone(e.unacknowledged[:min(len(e.unacknowledged), maxEndsPerAnswer)])}
	for _, a := range batch.SortedByRun(e.runs) {
		answer.Running = append(answer.Running, runner.RunningRun{Run: a.run, Percent: a.percent(now)})
	}
	return answer, runner.VerdictDone
}

// acknowledge discards the ended runs up to a number.
func (e *Executor) acknowledge(number uint64) {
	for len(e.unacknowledged) > 0 && e.unacknowledged[0].Number <= number {
		end := e.unacknowledged[0]
		e.unacknowledged = e.unacknowledged[1:]
		if e.OnAcknowledged != nil && end.Number > e.lastVoid {
			e.OnAcknowledged(end.Run, end.End)
		}
	}
}

// HasEnds reports whether a run has ended with a number above seen.
func (e *Executor) HasEnds(seen uint64) bool { return e.lastEnd > seen }

// Running returns the active runs in order.
func (e *Executor) Running() []batch.Run {
	return slices.SortedFunc(maps.Keys(e.runs), batch.Run.Compare)
}

// percent returns the progress of a run in percent, at most 99 while it is active.
func (a *activeRun) percent(now time.Time) int {
	if a.hang {
		return 0
	}
	return min(99, int(100*now.Sub(a.startedAt)/max(a.duration, 1)))
}

// Advance ends the runs that have finished, were stopped or lost their lease by the
// given time.
func (e *Executor) Advance(now time.Time) {
	for _, a := range batch.SortedByRun(e.runs) {
		switch {
		case a.work.Crashes && now.Sub(a.startedAt) >= crashDelay:
			e.crashUnder(a.run)
			return
		case now.After(e.leaseUntil):
			e.endRun(a, batch.EndLapsed)
		case !a.stopRequestedAt.IsZero() && now.Sub(a.stopRequestedAt) >= stopDuration:
			e.endRun(a, batch.EndStopped)
		case a.hang || now.Sub(a.startedAt) < a.duration:
		case a.fail:
			e.endRun(a, batch.EndFailed)
		default:
			e.endRun(a, batch.EndDone)
		}
	}
	if now.After(e.leaseUntil) {
		e.lastVoid = e.lastEnd
	}
}

func (e *Executor) crashUnder(run batch.Run) {
	e.Crash()
	if e.OnCrash != nil {
		e.OnCrash(run)
	}
}

// endRun ends a run and keeps the end for the answers to Hold.
func (e *Executor) endRun(a *activeRun, end batch.End) {
	delete(e.runs, a.run)
	e.highestNumber[a.run.Task] = max(e.highestNumber[a.run.Task], a.run.Number)
	e.lastEnd++
	e.unacknowledged = append(e.unacknowledged, runner.EndedRun{Number: e.lastEnd, Run: a.run, End: end})
	if e.OnEnd != nil {
		e.OnEnd(a.run, end)
	}
}

// Crash drops all runs without reporting their ends.
func (e *Executor) Crash() {
	e.Crashed = true
	e.runs = make(map[batch.Run]*activeRun)
}
