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
	// periodicTaskInterval is the time between two runs of the periodic tasks.
	periodicTaskInterval = 200 * time.Millisecond
	// claimRetryInterval is the time between two attempts to claim the jobs of a
	// dead owner.
	claimRetryInterval = 10 * time.Millisecond
	// endedJobRetention is how long the state of a job can be requested after its
	// end.
	endedJobRetention = 130 * time.Second
	// fenceEpoch is higher than the epoch of every live owner.
	fenceEpoch = firstEpoch + 1
	// maxClaimAttempts limits the attempts to claim the jobs of one dead owner.
	maxClaimAttempts = 400
)

// Run follows the log, appends records and takes over jobs until the context ends.
// It always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.runWriter(ctx)
	}()
	go k.runPeriodicTasks(ctx)
	go k.watchForPauses(ctx)
	k.log.Follow(ctx, Reader{Apply: k.applyPage, NoteResult: k.noteReadResult, NoteSnapshot: k.noteSnapshot})
	<-done
	return nil
}

// runPeriodicTasks takes over and expires jobs as needed until the context ends.
func (k *Keeper) runPeriodicTasks(ctx context.Context) {
	ticker := time.NewTicker(periodicTaskInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.takeOverFromDeadOwners(ctx)
			k.dropExpiredJobs()
		}
	}
}

// takeOverFromDeadOwners claims the open jobs of owners that are presumed dead.
func (k *Keeper) takeOverFromDeadOwners(ctx context.Context) {
	k.mu.Lock()
	now := k.options.Now()
	timeout := takeoverAfter
	if !k.options.IsFirstByName() {
		timeout += nonFirstTakeoverDelay
	}
	silentSince := now.Add(-timeout)
	if !k.reads.isCurrent() || k.wasPaused(now) || k.logUnavailable {
		k.mu.Unlock()
		return
	}
	if k.reads.readableSince.After(silentSince) {
		// Records of other owners may not have been read yet. Only earlier
		// incarnations on this instance are certainly dead.
		silentSince = time.Time{}
	}
	dead := k.table.DeadOwners(silentSince, k.options.Node, k.self)
	k.mu.Unlock()
	for _, o := range dead {
		k.takeOverFrom(ctx, o)
	}
}

// takeOverFrom fences a dead owner and claims its open jobs. The claims are appended
// on condition that the log ends where it was last read, so that no other claim can
// precede them unseen.
func (k *Keeper) takeOverFrom(ctx context.Context, o ledger.DeadOwner) {
	answer := k.log.Append(ctx, AppendRequest{Writer: string(o.Owner), Epoch: fenceEpoch})
	if answer.Verdict != Done {
		k.logDecision("", "take_over", "not_fenced", string(answer.Verdict), 0)
		return
	}
	fencedAt := k.options.Now()
	for range maxClaimAttempts {
		records, at := k.claimRecords(o.Owner, fencedAt)
		if len(records) == 0 {
			return
		}
		answer = k.log.Append(ctx, AppendRequest{ExpectedEnd: &at, Records: records})
		if answer.Verdict == Done {
			k.counters.takenOver.Add(uint64(len(records)))
			k.recorder.Record(decision.Decision{Step: "take_over", Peer: string(o.Owner), Outcome: "claimed", Age: k.options.Now().Sub(o.LastSeen),
				Version: at, Inputs: []decision.Input{{Name: "jobs", Value: int64(len(records))}}})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(claimRetryInterval):
		}
	}
	k.logDecision("", "take_over", "not_claimed", string(answer.Verdict), 0)
}

// claimRecords returns accept records that claim the open jobs of another owner, up
// to about maxBatchBytes, and the offset up to which the log has been read. Tasks
// of these jobs start once the runs of the former owner have ended.
func (k *Keeper) claimRecords(from ledger.Owner, fencedAt time.Time) ([]ledger.Record, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	startAfter := k.runsEnd(from, fencedAt)
	var records []ledger.Record
	size := 0
	for _, id := range k.table.OpenJobs(from) {
		r, ok := k.claimRecord(id)
		if !ok {
			continue
		}
		k.notBefore[id] = startAfter
		records = append(records, r)
		if size += len(r.Value); size > maxBatchBytes {
			break
		}
	}
	return records, k.nextOffset
}

// runsEnd returns when the runs of an owner that was fenced at a time have certainly
// ended. Its last append, which extends its ownership by ownerTTL, may have come just
// before. It is in the log by then, so that no claim succeeds before it has been read.
func (k *Keeper) runsEnd(owner ledger.Owner, fencedAt time.Time) time.Time {
	ordersEnd := k.table.LastSeen(owner).Add(ownerTTL)
	if fencedAt.After(ordersEnd) {
		ordersEnd = fencedAt
	}
	return ordersEnd.Add(wire.OwnerRunsLostAfter)
}

// claimRecord returns the accept record that claims a job for this entry in the next
// term, with the progress recorded so far.
func (k *Keeper) claimRecord(id batch.ID) (ledger.Record, bool) {
	v, known := k.table.Job(id)
	if !known {
		return ledger.Record{}, false
	}
	a := v.AcceptedJob
	a.Progress = v.Progress
	r, err := ledger.AcceptRecord(v.Term+1, k.self, a)
	if err != nil {
		k.logDecision(id, "take_over", "unwritten", err.Error(), v.Term)
		return ledger.Record{}, false
	}
	return r, true
}

// dropExpiredJobs deletes the records of jobs that ended more than endedJobRetention
// ago. Only the first entry by name does it, and only while nothing else waits to
// be appended.
func (k *Keeper) dropExpiredJobs() {
	if !k.options.IsFirstByName() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) > 0 || k.logUnavailable {
		return
	}
	for _, r := range k.table.ExpiredTombstones(k.options.Now().Add(-endedJobRetention)) {
		k.queue = append(k.queue, queuedRecord{record: r})
	}
	if len(k.queue) > 0 {
		k.wakeWriter()
	}
}
