package keeper

import (
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// handleRejected handles a batch that the log will never take because of its records. A
// repeat would keep all later records, and the heartbeat of this owner, from the log. The
// parts of the batch are appended one by one; a part that is rejected alone is dropped.
// Its callers get no answer if an earlier attempt had none: it may have taken effect.
func (k *Keeper) handleRejected(b *appendBatch, unanswered bool, err error) {
	if parts := len(b.items) + len(b.progress); parts > 1 {
		k.logDecision("", "job_log", "rejected", errorText(err), 0, decision.Input{Name: "records", Value: int64(len(b.records))})
		k.requeueSingly(b)
		return
	}
	var id batch.ID
	switch {
	case len(b.items) == 1:
		id = b.items[0].acceptsJob
		if !unanswered {
			k.rejectItem(b.items[0])
		}
	case len(b.progress) == 1:
		id = b.progress[0].id
	default:
		// Not even a heartbeat is possible.
		k.setLogUnavailable(true, err)
	}
	k.logDecision(id, "durable", "unwritten", errorText(err), 0)
}

// requeueSingly puts the parts of a batch back in front of the others and makes the writer
// append each of them alone.
func (k *Keeper) requeueSingly(b *appendBatch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, queued := range b.items {
		if queued.acceptsJob != "" {
			delete(k.maybeAccepted, queued.acceptsJob)
		}
	}
	k.queue = append(b.items, k.queue...)
	k.unsaved.mu.Lock()
	for _, p := range b.progress {
		k.unsaved.dirty[p.id] = true
	}
	k.unsaved.mu.Unlock()
	k.singleAppends = len(b.items) + len(b.progress)
	k.wakeWriter()
}

// rejectItem answers the callers of a queued record that is not appended.
func (k *Keeper) rejectItem(queued queuedRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if queued.acceptsJob != "" {
		delete(k.maybeAccepted, queued.acceptsJob)
		k.answerWaiters(queued.acceptsJob, refusedMalformed)
	}
	if queued.outcome != nil {
		queued.outcome <- refusedLogUnavailable
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
