package keeper

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// noteReadResult notes that a read of the log has succeeded, or failed with err.
func (k *Keeper) noteReadResult(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads.noteResult(k.options.Now(), err)
	k.readsCurrent.Store(k.reads.isCurrent())
}

// noteSnapshot notes how many records of a snapshot have been read. Until all of it and
// the records after it have been read, records may be lacking.
func (k *Keeper) noteSnapshot(records int) {
	k.snapshotRecords.Store(uint64(records))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads.fallBehind(k.options.Now(), 1)
	k.readsCurrent.Store(false)
}

// CatchUp reports whether the log has been read to its end since the start of the
// process, and how many records of the newest snapshot have been read. Until it is done,
// no job can be accepted here.
func (k *Keeper) CatchUp() (done bool, records uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reads.caughtUp, k.snapshotRecords.Load()
}

// applyPage applies a page of the log to the table and updates the jobs that it
// changes.
func (k *Keeper) applyPage(p Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	if p.Snapshot {
		k.table = ledger.NewTable()
	}
	changed := make(map[batch.ID]bool)
	var toUpdate []batch.ID
	for _, r := range p.Records {
		id, err := k.table.Apply(now, r.Offset, r.Record)
		if err != nil {
			outcome := "unreadable"
			if errors.Is(err, ledger.ErrForeign) {
				outcome = "foreign"
			}
			k.logDecision("", "job_record", outcome, err.Error(), r.Offset)
			continue
		}
		if id != "" && !changed[id] {
			changed[id] = true
			toUpdate = append(toUpdate, id)
		}
	}
	k.nextOffset = p.Next
	if p.Snapshot {
		// Jobs that the snapshot lacks have been deleted from the log.
		k.jobStates.Range(func(key, _ any) bool {
			if id := key.(batch.ID); !changed[id] {
				toUpdate = append(toUpdate, id)
			}
			return true
		})
	}
	for _, id := range toUpdate {
		k.updateJob(now, id)
	}
	k.notePageRead(now, p)
	k.permitStarts()
	if k.pageApplied != nil {
		close(k.pageApplied)
		k.pageApplied = nil
	}
}

// notePageRead updates what is known about the reading of the log after a page was
// applied.
func (k *Keeper) notePageRead(now time.Time, p Page) {
	caughtUpBefore := k.reads.caughtUp
	k.reads.notePage(now, p.UpToDate)
	k.readsCurrent.Store(k.reads.isCurrent())
	if k.reads.caughtUp && !caughtUpBefore {
		k.recorder.Record(decision.Decision{Step: "job_log", Outcome: "caught_up", Version: p.Next, Age: now.Sub(k.started),
			Inputs: []decision.Input{{Name: "snapshot_records", Value: int64(k.snapshotRecords.Load())}}})
	}
}

// updateJob brings this entry in line with the state of a job in the log: it
// starts, cancels or releases the job and answers waiting callers.
func (k *Keeper) updateJob(now time.Time, id batch.ID) {
	v, known := k.table.Job(id)
	_, runsHere := k.ownedJobs[id]
	delete(k.maybeAccepted, id)
	if !known {
		k.jobStates.Delete(id)
		k.notifyEnd(id)
		if runsHere {
			k.releaseJob(id)
		}
		return
	}
	if v.Progress.State == ledger.Open {
		k.setJobState(id, dispatch.DurableOpen)
	} else {
		k.setJobState(id, dispatch.DurableEnded)
		delete(k.endAppended, id)
		k.notifyEnd(id)
	}
	k.answerWaiters(id, Outcome{Code: Accepted})
	for _, r := range k.table.LosingClaimTombstones(id, k.self) {
		k.queue = append(k.queue, queuedRecord{record: r})
		k.wakeWriter()
	}
	switch {
	case v.Owner != k.self:
		if runsHere {
			k.logDecision(id, "durable", "handed_over", string(v.Owner), v.Term)
			k.releaseJob(id)
		}
	case v.Progress.State != ledger.Open:
	case k.endAppended[id]:
	case v.Cancelled:
		k.cancelOwnedJob(id, v, runsHere)
	case !runsHere:
		k.runOwnedJob(now, id, v)
	}
}

// setJobState stores the state of a job in jobStates. Most records do not change it, and
// to look it up is cheaper than to store it.
func (k *Keeper) setJobState(id batch.ID, state dispatch.DurableJobState) {
	if stored, known := k.jobStates.Load(id); !known || stored.(dispatch.DurableJobState) != state {
		k.jobStates.Store(id, state)
	}
}

// cancelOwnedJob ends a job that a caller has cancelled. A job that this entry has
// just taken over is not started first.
func (k *Keeper) cancelOwnedJob(id batch.ID, v ledger.View, runsHere bool) {
	k.logDecision(id, "durable", "cancelled", "caller", v.Term)
	if runsHere {
		k.dispatcher.StopDurable(id)
	}
	delete(k.notBefore, id)
	k.ownedJobs[id] = v.Term
	k.noteFinished(id, ledger.Cancelled)
}

// notifyEnd wakes the callers who wait for the end of a job.
func (k *Keeper) notifyEnd(id batch.ID) {
	if ended := k.endSignals[id]; ended != nil {
		close(ended)
		delete(k.endSignals, id)
	}
}

// releaseJob stops the runs of a job that this entry no longer owns.
func (k *Keeper) releaseJob(id batch.ID) {
	delete(k.ownedJobs, id)
	k.dispatcher.ForgetDurable(id, false)
}

// runOwnedJob runs the remaining tasks of a job that this entry owns. The time
// since the job was accepted is subtracted from its objective.
func (k *Keeper) runOwnedJob(now time.Time, id batch.ID, v ledger.View) {
	a := v.AcceptedJob
	d := dispatch.DurableJob{Submission: batch.Submission{Job: a.Job, Service: a.Service, Queue: a.Queue, Priority: a.Priority,
		MaxAttempts: a.MaxAttempts, Version: a.Version}, Term: v.Term, NotBefore: k.notBefore[id]}
	age := k.options.UnixTime().Sub(time.UnixMilli(a.AcceptedAt))
	d.Objective = max(a.Objective-max(age, 0), 0)
	for _, t := range v.Progress.Tasks {
		d.Progress = append(d.Progress, dispatch.TaskProgress(t))
	}
	delete(k.notBefore, id)
	k.ownedJobs[id] = v.Term
	if now.Sub(k.lastAppend) > heartbeatInterval {
		// A claim does not extend the ownership, only an append of the writer does.
		k.wakeWriter()
	}
	k.logDecision(id, "durable", "owned", "", v.Term, decision.Input{Name: "tasks_ended", Value: int64(len(d.Progress))},
		decision.Input{Name: "starts_in_ms", Value: max(0, d.NotBefore.Sub(now).Milliseconds())})
	k.dispatcher.RunDurable(d, func(r dispatch.Result) {
		switch r.Code {
		case dispatch.Completed:
			k.noteFinished(id, ledger.Completed)
		case dispatch.Failed:
			k.noteFinished(id, ledger.Failed)
		}
	})
}
