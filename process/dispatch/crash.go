package dispatch

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// maxCrashes is the number of targets that may crash under a task before it is
	// given up.
	maxCrashes = 2
	// maxSuspectedCrashes is the number of crashes that are not certain after which a
	// task waits for certainty, for crashVerdictTimeout at most. After a certain one it
	// waits at the next.
	maxSuspectedCrashes = 3
	crashVerdictTimeout = 4 * time.Second
)

// crashRecord counts the targets that have crashed under a task.
type crashRecord struct {
	certain int
	// suspected are the runs that were lost at a target that may have crashed.
	suspected []suspectedCrash
}

type suspectedCrash struct {
	runNumber int
	at        time.Time
}

// add counts the end of a run with its target. A suspicion that has not been confirmed
// for twice the timeout is dropped.
func (r *crashRecord) add(now time.Time, runNumber int, certain bool) {
	r.suspected = slices.DeleteFunc(r.suspected, func(s suspectedCrash) bool {
		return s.runNumber == runNumber || now.Sub(s.at) > 2*crashVerdictTimeout
	})
	if certain {
		r.certain++
		return
	}
	r.suspected = append(r.suspected, suspectedCrash{runNumber, now})
}

// restore takes over what an earlier owner of the job has recorded. Its suspicions can't
// be confirmed any more, but count until they are dropped.
func (r *crashRecord) restore(now time.Time, progress TaskProgress) {
	r.certain = progress.Crashes
	for range min(progress.SuspectedCrashes, maxSuspectedCrashes) {
		r.suspected = append(r.suspected, suspectedCrash{at: now})
	}
}

// awaitsVerdict reports whether the task must not start again before it is certain
// whether targets have crashed under it.
func (r *crashRecord) awaitsVerdict() bool {
	suspected := len(r.suspected)
	return suspected > 0 && (r.certain > 0 || suspected >= maxSuspectedCrashes)
}

func (r *crashRecord) empty() bool { return r.certain == 0 && len(r.suspected) == 0 }

func (r *crashRecord) isSuspected(runNumber int) bool {
	return slices.ContainsFunc(r.suspected, func(s suspectedCrash) bool { return s.runNumber == runNumber })
}

// noteCrash handles a report that the target has crashed under a run whose end was
// reported before.
func (c *Core) noteCrash(now time.Time, p *pool, id batch.Run) {
	j := p.jobs[id.Task.Job]
	if j == nil {
		return
	}
	t := j.task(id.Task.Step, id.Task.Index)
	if t == nil || t.done || !t.crashes.isSuspected(id.Number) {
		return
	}
	t.crashes.add(now, id.Number, true)
	j.heldUntil = time.Time{}
	c.judgeCrashes(now, p, t)
}

// judgeCrashes gives up the job of a task under which too many targets have crashed,
// and reports whether it did. While it is not certain that they have, the job waits.
func (c *Core) judgeCrashes(now time.Time, p *pool, t *task) bool {
	j := t.job
	if j.durableState != nil {
		c.env.NoteProgress(j.Job.ID)
	}
	if t.crashes.certain >= maxCrashes {
		c.env.Record(decision.Decision{Step: "answer", Job: j.Job.ID, Run: batch.Run{Task: t.id(), Number: t.lastNumber}, Outcome: "given_up",
			Reason: string(ReasonCrashes), Inputs: []decision.Input{{Name: "crashes", Value: int64(t.crashes.certain)}}})
		c.endJob(now, p, j, Result{Code: Failed, Reason: ReasonCrashes})
		return true
	}
	if t.crashes.awaitsVerdict() {
		j.heldUntil = now.Add(crashVerdictTimeout)
		c.env.Record(decision.Decision{Step: "place", Job: j.Job.ID, Outcome: "held", Reason: string(ReasonCrashes),
			Inputs: []decision.Input{{Name: "crashes", Value: int64(t.crashes.certain)}, {Name: "suspected", Value: int64(len(t.crashes.suspected))}}})
	}
	return false
}
