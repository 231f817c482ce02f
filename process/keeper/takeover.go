package keeper

import (
	"context"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	checkInterval = 200 * time.Millisecond
	// claimPause is between two tries to claim the jobs of an owner that is gone.
	claimPause = 10 * time.Millisecond
	// stateKept is how long the state of a job that has ended can be asked for.
	stateKept = 130 * time.Second
	// fenceEpoch is above that of every living owner.
	fenceEpoch = firstEpoch + 1
	maxClaims  = 400
)

// Run keeps jobs until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.write(ctx)
	}()
	go k.check(ctx)
	k.log.Follow(ctx, k.apply, k.readState)
	<-done
	return nil
}

// check does what is due.
func (k *Keeper) check(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.suspendIfSilent()
			k.takeOver(ctx)
			k.expire()
		}
	}
}

// suspendIfSilent stops the runs of an owner that others may take for gone.
func (k *Keeper) suspendIfSilent() {
	k.mu.Lock()
	defer k.mu.Unlock()
	silent := k.options.Now().Sub(k.written)
	if k.suspended || len(k.mine) == 0 || silent <= ownerTTL {
		return
	}
	k.suspended = true
	k.sink.Decided(decision.Decision{Step: "durable", Outcome: "suspended", Reason: "log not written", Age: silent,
		Inputs: []decision.Input{{Name: "jobs", Value: int64(len(k.mine))}}})
	k.run.SuspendDurable(true)
}

// takeOver claims the jobs of owners that are gone.
func (k *Keeper) takeOver(ctx context.Context) {
	k.mu.Lock()
	now := k.options.Now()
	wait := silentAfter
	if !k.options.IsFirst() {
		wait += secondAfter
	}
	since := now.Add(-wait)
	if !k.caughtUp || k.healthySince.IsZero() || k.away {
		k.mu.Unlock()
		return
	}
	if k.healthySince.After(since) {
		// Records of the others may have been missed: only those of this
		// instance are known to be gone.
		since = time.Time{}
	}
	orphans := k.table.Orphans(since, k.options.Node, k.self)
	k.mu.Unlock()
	for _, o := range orphans {
		k.takeFrom(ctx, o)
	}
}

// takeFrom fences an owner and claims its jobs at the end of the log, where no
// other claim can have come in between.
func (k *Keeper) takeFrom(ctx context.Context, o ledger.Orphan) {
	answer := k.log.Append(ctx, Append{Writer: string(o.Owner), Epoch: fenceEpoch})
	if answer.Verdict != Done {
		k.decided("", "take_over", "not_fenced", string(answer.Verdict), 0)
		return
	}
	fenced := k.options.Now()
	if ended := o.Heard.Add(ownerTTL); ended.After(fenced) {
		fenced = ended
	}
	startAfter := fenced.Add(wire.LostAfter)
	for range maxClaims {
		records, at := k.claims(o.Owner, startAfter)
		if len(records) == 0 {
			return
		}
		sent := k.options.Now()
		answer = k.log.Append(ctx, Append{At: &at, Records: records})
		if answer.Verdict == Done {
			k.hasWritten(sent)
			k.counters.takenOver.Add(uint64(len(records)))
			k.sink.Decided(decision.Decision{Step: "take_over", Peer: string(o.Owner), Outcome: "claimed", Age: k.options.Now().Sub(o.Heard),
				Version: at, Inputs: []decision.Input{{Name: "jobs", Value: int64(len(records))}}})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(claimPause):
		}
	}
	k.decided("", "take_over", "not_claimed", string(answer.Verdict), 0)
}

// hasWritten notes an append that others take as a sign of life.
func (k *Keeper) hasWritten(sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if sent.After(k.written) {
		k.written = sent
	}
}

// claims returns the records that make this entry the owner of another's open
// jobs, and the offset up to which the log has been read.
func (k *Keeper) claims(from ledger.Owner, startAfter time.Time) ([]ledger.Record, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var records []ledger.Record
	size := 0
	for _, id := range k.table.OpenJobs(from) {
		r, ok := k.claim(id)
		if !ok {
			continue
		}
		k.notBefore[id] = startAfter
		records = append(records, r)
		if size += len(r.Value); size > batchBytes {
			break
		}
	}
	return records, k.next
}

func (k *Keeper) claim(id batch.ID) (ledger.Record, bool) {
	v, known := k.table.Job(id)
	if !known {
		return ledger.Record{}, false
	}
	a := v.Accepted
	a.Progress = v.Progress
	r, err := ledger.AcceptRecord(v.Term+1, k.self, a)
	if err != nil {
		k.decided(id, "take_over", "unwritten", err.Error(), v.Term)
		return ledger.Record{}, false
	}
	return r, true
}

// expire drops the records of jobs that ended long ago.
func (k *Keeper) expire() {
	if !k.options.IsFirst() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) > 0 || k.away {
		return
	}
	for _, r := range k.table.Expired(k.options.Now().Add(-stateKept)) {
		k.queue = append(k.queue, item{record: r})
	}
	if len(k.queue) > 0 {
		k.signal()
	}
}
