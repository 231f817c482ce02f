package keeper

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// appendInterval is the shortest time between two appends of an entry. It keeps
	// the appends of all entries together within the rate that they share.
	appendInterval = 15 * time.Millisecond
	// minRetryDelay is the delay before the first retry of a refused append. It
	// doubles with each retry up to maxRetryDelay, since refused calls count
	// against the rate that all entries share.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// appendTimeoutFactor is the timeout of the first attempt of an append as a
	// multiple of the usual latency: answers get lost, so an append is repeated
	// after that. The timeout doubles with each further attempt.
	appendTimeoutFactor = 4
	minAppendTimeout    = 40 * time.Millisecond
	maxAppendTimeout    = 800 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average of the
	// append latency.
	latencyWeight = 0.2
	// maxBatchBytes is the approximate size limit of one append: once it is
	// reached, no further queued record, progress or claim is added. The log takes
	// twice as much.
	maxBatchBytes = 1 << 20
	// firstEpoch is the epoch of every owner: a deposed process continues under
	// another name instead of a higher epoch.
	firstEpoch = 1
	// maxUnansweredAppends is the number of unanswered attempts of one append after
	// which the log counts as unavailable.
	maxUnansweredAppends = 3
)

// appendBatch is the content of one append and the calls and progress that it
// covers. The records of items come first in records, in the same order.
type appendBatch struct {
	items    []queuedRecord
	progress []batchedProgress
	records  []ledger.Record
	owner    ledger.Owner
}

// batchedProgress describes the progress record of one job in a batch.
type batchedProgress struct {
	id batch.ID
	// ends is the number of ended runs that the record covers.
	ends int
	// final is set if the record ends the job.
	final bool
}

// runWriter appends the waiting records, one batch at a time, until the context
// ends. Sequence numbers start at 0 for each name of the owner.
func (k *Keeper) runWriter(ctx context.Context) {
	var sequence uint64
	var owner ledger.Owner
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-time.After(heartbeatInterval / 2):
		}
		b := k.nextBatch()
		if b.owner != owner {
			owner, sequence = b.owner, 0
		}
		if len(b.records) > 0 && k.appendUntilDecided(ctx, &b, sequence) {
			sequence++
		}
		select {
		case <-ctx.Done():
		case <-time.After(appendInterval):
		}
	}
}

// nextBatch collects queued records, the progress of jobs that has not been appended,
// and, if there is neither, a heartbeat when one is due.
func (k *Keeper) nextBatch() appendBatch {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := appendBatch{owner: k.self}
	size, limit := 0, maxBatchBytes
	if k.singleAppends > 0 {
		k.singleAppends--
		limit = 1
	}
	add := func(r ledger.Record) {
		b.records = append(b.records, r)
		size += len(r.Key) + len(r.Value)
	}
	for len(k.queue) > 0 && size < limit {
		b.items = append(b.items, k.queue[0])
		if id := k.queue[0].acceptsJob; id != "" {
			k.maybeAccepted[id] = true
		}
		add(k.queue[0].record)
		k.queue = k.queue[1:]
	}
	k.unsaved.mu.Lock()
	dirty := slices.Sorted(maps.Keys(k.unsaved.dirty))
	clear(k.unsaved.dirty)
	finalStates := maps.Clone(k.unsaved.finalStates)
	k.unsaved.mu.Unlock()
	for _, id := range dirty {
		term, owned := k.ownedJobs[id]
		if !owned {
			continue
		}
		if size >= limit {
			k.NoteProgress(id)
			continue
		}
		progress, ends := k.currentProgress(id, finalStates[id])
		r, err := ledger.ProgressRecord(id, term, k.self, progress)
		if err != nil {
			k.logDecision(id, "durable", "unwritten", err.Error(), term)
			continue
		}
		final := progress.State != ledger.Open
		b.progress = append(b.progress, batchedProgress{id, ends, final})
		add(r)
		if final {
			for _, tombstone := range k.table.EndedTombstones(id, term, k.self) {
				add(tombstone)
			}
		}
	}
	// While the log is unavailable, the heartbeat probes whether it is back.
	if len(b.records) == 0 && (k.logUnavailable || len(k.ownedJobs) > 0) && k.options.Now().Sub(k.lastAppend) > heartbeatInterval {
		r, err := ledger.HeartbeatRecord(k.self, ledger.Heartbeat{Node: k.options.Node})
		if err != nil {
			k.logDecision("", "durable", "unwritten", err.Error(), 0)
		} else {
			add(r)
		}
	}
	if len(k.queue) > 0 {
		k.wakeWriter()
	}
	return b
}

// currentProgress returns the progress of a job that runs here and the number of ended
// runs that it covers. The tasks of a job with a final state are left out, since only
// the state is needed any more.
func (k *Keeper) currentProgress(id batch.ID, final ledger.State) (ledger.Progress, int) {
	tasks, ends := k.dispatcher.DurableProgress(id)
	if final != "" {
		return ledger.Progress{State: final}, ends
	}
	progress := ledger.Progress{State: ledger.Open}
	for _, t := range tasks {
		progress.Tasks = append(progress.Tasks, ledger.TaskProgress(t))
	}
	return progress, ends
}

// appendUntilDecided repeats the append of a batch until it succeeds, the owner is
// deposed, the batch is empty because all its calls were refused, or the context
// ends. It reports whether it succeeded, which uses up the sequence number.
func (k *Keeper) appendUntilDecided(ctx context.Context, b *appendBatch, sequence uint64) bool {
	timeout, retryDelay, unanswered := k.appendTimeout(), minRetryDelay, 0
	// mayTakeEffect is when the first attempt was sent that may have taken effect. Its
	// repeats get the same answer, also if the owner has been deposed since.
	var mayTakeEffect time.Time
	for ctx.Err() == nil {
		sent := k.options.Now()
		if unanswered == 0 {
			mayTakeEffect = sent
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		answer := k.log.Append(callCtx, AppendRequest{Writer: string(b.owner), Epoch: firstEpoch, Sequence: sequence, Records: b.records})
		cancel()
		wait := retryDelay
		switch answer.Verdict {
		case Done:
			k.noteAppendLatency(k.options.Now().Sub(sent))
			k.noteBatchAppended(unreadAppend{next: answer.Next, sent: mayTakeEffect}, b)
			return true
		case Unknown:
			// The repeat has the same sequence number, so the log answers it as it
			// would have answered this attempt. If the attempt failed early, wait
			// for the rest of its timeout before the next one.
			wait = timeout - k.options.Now().Sub(sent)
			if unanswered++; unanswered >= maxUnansweredAppends {
				k.setLogUnavailable(true, answer.Err)
				k.refuseQueuedJobs()
			}
		case Refused:
			k.setLogUnavailable(true, answer.Err)
			k.refuseQueuedJobs()
			if unanswered > 0 {
				// An earlier, unanswered attempt may still take effect.
				break
			}
			k.refuseBatchCalls(b)
			if len(b.records) == 0 {
				return false
			}
		case Rejected:
			k.handleRejected(b, unanswered > 0, answer.Err)
			return false
		case Fenced, OutOfSequence:
			if unanswered == 0 {
				k.refuseBatchCalls(b)
			}
			k.handleDeposed(answer)
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		timeout, retryDelay = min(2*timeout, maxAppendTimeout), min(2*retryDelay, maxRetryDelay)
	}
	return false
}

// appendTimeout returns the timeout of the first attempt of an append. Only the
// writer calls it.
func (k *Keeper) appendTimeout() time.Duration {
	return min(max(appendTimeoutFactor*k.appendLatency, minAppendTimeout), maxAppendTimeout)
}

// noteAppendLatency adds a sample to appendLatency. Only the writer calls it.
func (k *Keeper) noteAppendLatency(took time.Duration) {
	k.appendLatency += time.Duration(latencyWeight * float64(took-k.appendLatency))
}

// setLogUnavailable records whether appends are possible. err, if any, is the reason
// why not.
func (k *Keeper) setLogUnavailable(unavailable bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.logUnavailable == unavailable {
		return
	}
	k.logUnavailable = unavailable
	outcome := "regained"
	if unavailable {
		outcome = "lost"
	}
	k.logDecision("", "job_log", outcome, errorText(err), k.nextOffset)
}

// noteBatchAppended updates the state after a batch was appended. It extends the
// ownership, answers the callers and reports the stored progress to the dispatcher.
func (k *Keeper) noteBatchAppended(a unreadAppend, b *appendBatch) {
	k.setLogUnavailable(false, nil)
	k.mu.Lock()
	k.lastAppend = a.sent
	k.readBack.add(k.options.Now(), a)
	k.permitStarts()
	for _, p := range b.progress {
		if p.final {
			delete(k.ownedJobs, p.id)
			k.endAppended[p.id] = true
			k.unsaved.mu.Lock()
			delete(k.unsaved.finalStates, p.id)
			k.unsaved.mu.Unlock()
		}
	}
	k.mu.Unlock()
	k.dispatcher.OwnDurableUntil(a.sent.Add(ownerTTL))
	for _, queued := range b.items {
		if queued.outcome != nil {
			queued.outcome <- Outcome{Code: Accepted}
		}
	}
	for _, p := range b.progress {
		k.dispatcher.ConfirmDurableEnds(p.id, p.ends)
		if p.final {
			k.dispatcher.ForgetDurable(p.id, true)
		}
	}
	if len(b.progress) > 0 {
		k.dispatcher.SendConfirmations()
	}
}

// refuseBatchCalls removes submissions and cancellations from a batch that the log
// has refused, and refuses them so that their callers can try another entry. The
// other records stay in the batch.
func (k *Keeper) refuseBatchCalls(b *appendBatch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var remaining []queuedRecord
	var records []ledger.Record
	for n, queued := range b.items {
		switch {
		case queued.acceptsJob != "":
			delete(k.maybeAccepted, queued.acceptsJob)
			k.answerWaiters(queued.acceptsJob, refusedLogUnavailable)
		case queued.outcome != nil:
			queued.outcome <- refusedLogUnavailable
		default:
			remaining = append(remaining, queued)
			records = append(records, b.records[n])
		}
	}
	b.records = append(records, b.records[len(b.items):]...)
	b.items = remaining
}

// refuseQueuedJobs refuses the submitted jobs whose records are still queued and not
// part of a batch. Their callers can then try another entry, and the jobs don't all
// start at once when the log is available again.
func (k *Keeper) refuseQueuedJobs() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, queued := range k.queue {
		if queued.acceptsJob != "" {
			k.answerWaiters(queued.acceptsJob, refusedLogUnavailable)
		}
	}
	k.queue = slices.DeleteFunc(k.queue, func(queued queuedRecord) bool { return queued.acceptsJob != "" })
}

// handleDeposed drops all jobs and continues under another owner name after the log
// has refused the current one: another entry may have fenced it and claimed its jobs.
func (k *Keeper) handleDeposed(answer AppendResult) {
	// The queued accept records contain the former name.
	k.refuseQueuedJobs()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.logDecision("", "durable", "deposed", string(answer.Verdict), 0, decision.Input{Name: "jobs", Value: int64(len(k.ownedJobs))})
	for id := range k.ownedJobs {
		k.dispatcher.ForgetDurable(id, false)
	}
	clear(k.ownedJobs)
	clear(k.endAppended)
	k.unsaved.mu.Lock()
	clear(k.unsaved.dirty)
	clear(k.unsaved.finalStates)
	k.unsaved.mu.Unlock()
	k.timesDeposed++
	k.self = ledger.Owner(fmt.Sprintf("%s.%d", k.options.Owner, k.timesDeposed))
}
