package dispatch

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// maxCrashes is the number of targets that may crash under confirmed runs of a task
	// before it is given up.
	maxCrashes = 2
	// maxAllCrashes is the same if runs count whose start the target did not confirm. It
	// is higher because such a start may have come after the crash.
	maxAllCrashes = 3
	// maxSuspectedCrashes is the number of crashes, certain or not, after which a task
	// waits for certainty, for crashVerdictTimeout at most. After a certain one it waits
	// at the next.
	maxSuspectedCrashes = 3
	crashVerdictTimeout = 4 * time.Second
	// suspicionTTL is how long a task may have to wait because of a suspicion,
	// suspicionRetention how long the suspicion can still be confirmed.
	suspicionTTL       = 2 * crashVerdictTimeout
	suspicionRetention = time.Minute
)

// crashKind is what is known of the crash of a target with a run.
type crashKind uint8

const (
	noCrash crashKind = iota
	// crashSuspected: the run was lost at a target that may have crashed.
	crashSuspected
	// crashUnconfirmed: the target has crashed and had not confirmed the start of the run.
	crashUnconfirmed
	// crashCertain: the target has crashed while the run was there.
	crashCertain
)

// crashKindOf returns what a report on a run says of a crash of its target.
func crashKindOf(report wire.RunReport) crashKind {
	switch {
	case report.TargetCrashed && report.StartUnconfirmed:
		return crashUnconfirmed
	case report.TargetCrashed:
		return crashCertain
	case report.End == batch.EndLost || report.End == batch.EndLapsed:
		return crashSuspected
	}
	return noCrash
}

// reportsCrashOnly reports whether a report says that the target has crashed under a run
// and nothing of the end of the run, which was reported before.
func reportsCrashOnly(report wire.RunReport) bool { return report.TargetCrashed && report.End == "" }

// crashRecord counts the targets that have crashed under a task.
type crashRecord struct {
	certain     int
	unconfirmed int
	// countedRuns are the numbers of the runs in both.
	countedRuns []int
	// suspected are the runs that were lost at a target that may have crashed.
	suspected []suspectedCrash
}

type suspectedCrash struct {
	runNumber int
	at        time.Time
}

// add counts the end of a run with its target, unless it is counted already.
func (r *crashRecord) add(now time.Time, runNumber int, kind crashKind) {
	if slices.Contains(r.countedRuns, runNumber) {
		return
	}
	r.suspected = slices.DeleteFunc(r.suspected, func(s suspectedCrash) bool {
		return s.runNumber == runNumber || now.Sub(s.at) > suspicionRetention
	})
	switch kind {
	case crashCertain:
		r.certain++
		r.countedRuns = append(r.countedRuns, runNumber)
	case crashUnconfirmed:
		r.unconfirmed++
		r.countedRuns = append(r.countedRuns, runNumber)
	default:
		r.suspected = append(r.suspected, suspectedCrash{runNumber, now})
	}
}

// restore takes over what an earlier owner of the job has recorded.
func (r *crashRecord) restore(now time.Time, progress TaskProgress) {
	r.certain, r.unconfirmed, r.countedRuns = progress.Crashes, progress.UnconfirmedCrashes, slices.Clone(progress.CountedRuns)
	for _, number := range progress.SuspectedRuns {
		r.suspected = append(r.suspected, suspectedCrash{number, now})
	}
}

func (r *crashRecord) suspectedRuns() []int {
	var numbers []int
	for _, s := range r.suspected {
		numbers = append(numbers, s.runNumber)
	}
	return numbers
}

// tooMany reports whether the task must not start again.
func (r *crashRecord) tooMany() bool {
	return r.certain >= maxCrashes || r.certain+r.unconfirmed >= maxAllCrashes
}

// awaitsVerdict reports whether the task must not start again before it is certain
// whether targets have crashed under it.
func (r *crashRecord) awaitsVerdict(now time.Time) bool {
	suspected := 0
	for _, s := range r.suspected {
		if now.Sub(s.at) <= suspicionTTL {
			suspected++
		}
	}
	return suspected > 0 && (r.certain > 0 || r.unconfirmed+suspected >= maxSuspectedCrashes)
}

func (r *crashRecord) empty() bool {
	return r.certain == 0 && r.unconfirmed == 0 && len(r.suspected) == 0
}

func (r *crashRecord) isSuspected(runNumber int) bool {
	return slices.ContainsFunc(r.suspected, func(s suspectedCrash) bool { return s.runNumber == runNumber })
}

// noteCrash handles a report that the target has crashed under a run. Its end was reported
// before, or the run is one of another owner of the job, which this entry may take over
// later.
func (c *Core) noteCrash(now time.Time, p *pool, id batch.Run, kind crashKind) {
	p.reportedCrashes.add(now, id, kind, suspicionRetention)
	if j := p.jobs[id.Task.Job]; j != nil {
		c.countCrash(now, p, j, id, kind)
	}
}

// countReportedCrashes counts the crashes that were reported before this entry has taken
// a job over.
func (c *Core) countReportedCrashes(now time.Time, p *pool, j *activeJob) {
	for _, id := range p.reportedCrashes.ofJob(j.Job.ID) {
		c.countCrash(now, p, j, id, p.reportedCrashes.values[id])
	}
}

// countCrash counts a reported crash under a run of a job unless it is counted already.
func (c *Core) countCrash(now time.Time, p *pool, j *activeJob, id batch.Run, kind crashKind) {
	t := j.task(id.Task.Step, id.Task.Index)
	if t == nil || t.done || j.ended || !t.mayCountCrash(id.Number) {
		return
	}
	t.crashes.add(now, id.Number, kind)
	j.heldUntil = time.Time{}
	c.judgeCrashes(now, p, t)
}

// mayCountCrash reports whether a crash under a run counts for the task: this entry has
// ordered the run, or another owner of the job had ordered it and did not record its end.
// The agent reports no crash under a run that has ended by itself.
func (t *task) mayCountCrash(runNumber int) bool {
	if t.crashes.isSuspected(runNumber) {
		return true
	}
	if t.job.durableState == nil || runNumber > t.job.durableState.lastForeignRun {
		return runNumber <= t.lastNumber
	}
	// Processes before this version recorded no numbers.
	return len(t.crashes.countedRuns) == t.crashes.certain+t.crashes.unconfirmed
}

// judgeCrashes gives up the job of a task under which too many targets have crashed,
// and reports whether it did. While it is not certain that they have, the job waits.
func (c *Core) judgeCrashes(now time.Time, p *pool, t *task) bool {
	j := t.job
	if j.durableState != nil {
		c.env.NoteProgress(j.Job.ID)
	}
	inputs := []decision.Input{{Name: "crashes", Value: int64(t.crashes.certain)}, {Name: "unconfirmed", Value: int64(t.crashes.unconfirmed)},
		{Name: "suspected", Value: int64(len(t.crashes.suspected))}}
	if t.crashes.tooMany() {
		c.env.Record(decision.Decision{Step: "answer", Job: j.Job.ID, Run: batch.Run{Task: t.id(), Number: t.lastNumber}, Outcome: "given_up",
			Reason: string(ReasonCrashes), Inputs: inputs})
		c.endJob(now, p, j, Result{Code: Failed, Reason: ReasonCrashes})
		return true
	}
	if t.crashes.awaitsVerdict(now) {
		j.heldUntil = now.Add(crashVerdictTimeout)
		c.env.Record(decision.Decision{Step: "place", Job: j.Job.ID, Outcome: "held", Reason: string(ReasonCrashes), Inputs: inputs})
	}
	return false
}
