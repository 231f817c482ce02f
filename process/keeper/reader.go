package keeper

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// readState notes whether the log can be read.
func (k *Keeper) readState(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err != nil:
		k.healthySince = time.Time{}
	case k.healthySince.IsZero():
		k.healthySince = k.options.Now()
	}
}

// apply takes a page of the log and acts on the jobs that it changes.
func (k *Keeper) apply(p Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	if p.Whole {
		k.table, k.caughtUp = ledger.NewTable(), true
	}
	changed := make(map[batch.ID]bool)
	var order []batch.ID
	for _, r := range p.Records {
		id, err := k.table.Apply(now, r.Offset, r.Record)
		if err != nil {
			outcome := "unreadable"
			if errors.Is(err, ledger.ErrForeign) {
				outcome = "foreign"
			}
			k.decided("", "job_record", outcome, err.Error(), r.Offset)
			continue
		}
		if id != "" && !changed[id] {
			changed[id] = true
			order = append(order, id)
		}
	}
	k.next = p.Next
	if p.Whole {
		for id := range k.mine {
			if !changed[id] {
				order = append(order, id)
			}
		}
	}
	for _, id := range order {
		k.evaluate(now, id)
	}
	k.haveRead.Store(true)
}

// evaluate acts on what the log says of a job.
func (k *Keeper) evaluate(now time.Time, id batch.ID) {
	v, known := k.table.Job(id)
	_, runs := k.mine[id]
	delete(k.onTheWay, id)
	if !known {
		k.open.Delete(id)
		k.ended(id)
		if runs {
			k.drop(id)
		}
		return
	}
	if v.Progress.State == ledger.Open {
		k.open.Store(id, true)
	} else {
		k.open.Delete(id)
		delete(k.settled, id)
		k.ended(id)
	}
	k.answerWaiters(id, Outcome{Code: Accepted})
	for _, r := range k.table.Losers(id, k.self) {
		k.queue = append(k.queue, item{record: r})
		k.signal()
	}
	switch {
	case v.Owner != k.self:
		if runs {
			k.decided(id, "durable", "handed_over", string(v.Owner), v.Term)
			k.drop(id)
		}
	case v.Progress.State != ledger.Open:
	case k.settled[id]:
	case v.Cancelled:
		k.cancelOwn(id, v, runs)
	case !runs:
		k.start(now, id, v)
	}
}

// cancelOwn ends a job that a caller has cancelled. One that this entry has just
// taken over is not started first.
func (k *Keeper) cancelOwn(id batch.ID, v ledger.View, runs bool) {
	k.decided(id, "durable", "cancelled", "caller", v.Term)
	if runs {
		k.run.StopDurable(id)
	}
	delete(k.notBefore, id)
	k.mine[id] = v.Term
	k.finished(id, ledger.Cancelled)
}

// ended answers the callers who wait for the end of a job.
func (k *Keeper) ended(id batch.ID) {
	if ending := k.ending[id]; ending != nil {
		close(ending)
		delete(k.ending, id)
	}
}

func (k *Keeper) drop(id batch.ID) {
	delete(k.mine, id)
	k.run.ForgetDurable(id)
}

// start runs what is left of a job that this entry owns.
func (k *Keeper) start(now time.Time, id batch.ID, v ledger.View) {
	a := v.Accepted
	d := dispatch.Durable{Submission: batch.Submission{Job: a.Job, Service: a.Service, Queue: a.Queue, Priority: a.Priority,
		MaxAttempts: a.MaxAttempts, Version: a.Version}, Term: v.Term, NotBefore: k.notBefore[id]}
	age := k.options.UnixTime().Sub(time.UnixMilli(a.At))
	d.Objective = max(a.Objective-max(age, 0), 0)
	for _, t := range v.Progress.Tasks {
		d.Progress = append(d.Progress, dispatch.TaskProgress(t))
	}
	delete(k.notBefore, id)
	k.mine[id] = v.Term
	k.decided(id, "durable", "owned", "", v.Term, decision.Input{Name: "tasks_ended", Value: int64(len(d.Progress))},
		decision.Input{Name: "starts_in_ms", Value: max(0, d.NotBefore.Sub(now).Milliseconds())})
	k.run.RunDurable(d, func(r dispatch.Result) {
		switch r.Code {
		case dispatch.Completed:
			k.finished(id, ledger.Completed)
		case dispatch.Failed:
			k.finished(id, ledger.Failed)
		}
	})
}
