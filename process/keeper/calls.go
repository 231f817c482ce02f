package keeper

import (
	"context"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Outcome is the answer to a caller's submission or cancellation.
type Outcome struct {
	Code Code
	// Refusal is the reason if Code is NotAccepted.
	Refusal dispatch.Result
}

// Code is the result of a call about a durable job.
type Code string

// Values of Code.
const (
	// Accepted: the job, or its cancellation, is in the log.
	Accepted Code = "accepted"
	// NotAccepted: the job, or its cancellation, is not in the log and will not be
	// appended to it.
	NotAccepted Code = "not_accepted"
	// UnknownJob: no entry has accepted the job.
	UnknownJob Code = "not_known"
	// Undecided: the log has not answered in time.
	Undecided Code = "undecided"
)

const (
	// logAnswerTimeout is how long a call waits for the log before it is Undecided.
	logAnswerTimeout = 2500 * time.Millisecond
	// logUnavailableRetryAfter is the delay after which refused callers are asked
	// to retry while the log is unavailable.
	logUnavailableRetryAfter = time.Second
	// jobEndWait is how long a state request waits for an open job to end. It is
	// about the time that it takes to record an end.
	jobEndWait = 80 * time.Millisecond
)

// refusedLogUnavailable is the refusal of all calls while the log is unavailable.
var refusedLogUnavailable = Outcome{Code: NotAccepted, Refusal: dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.ReasonStoreUnavailable, RetryAfter: logUnavailableRetryAfter}}

// refusedMalformed is the refusal of a forwarded job that no caller could have submitted.
var refusedMalformed = Outcome{Code: NotAccepted, Refusal: dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.ReasonUnsupported}}

// refusedCallerLeft is the outcome of a new job whose caller's connection has ended. The caller may
// have been told elsewhere that there is no such job.
var refusedCallerLeft = Outcome{Code: NotAccepted, Refusal: dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.ReasonCallerLeft}}

// submitHere accepts a job at this entry. If the record of the job is queued or being
// appended already, the caller waits for it.
func (k *Keeper) submitHere(ctx context.Context, s batch.Submission) Outcome {
	callerLeft := s.CallerWaits != nil && !s.CallerWaits()
	k.mu.Lock()
	if _, known := k.table.Job(s.Job.ID); known {
		k.mu.Unlock()
		return Outcome{Code: Accepted}
	}
	pending := k.maybeAccepted[s.Job.ID] || len(k.waiters[s.Job.ID]) > 0
	if refusal, ok := k.admit(s); !ok && !pending {
		k.mu.Unlock()
		return Outcome{Code: NotAccepted, Refusal: refusal}
	}
	if !pending && callerLeft {
		k.mu.Unlock()
		return refusedCallerLeft
	}
	answer := make(chan Outcome, 1)
	if !pending {
		record, err := ledger.AcceptRecord(1, k.self, ledger.AcceptedJob{Job: s.Job, Service: s.Service, Queue: s.Queue, Priority: s.Priority,
			MaxAttempts: s.MaxAttempts, Objective: s.Objective, Version: s.Version, AcceptedAt: k.options.UnixTime().UnixMilli(),
			Progress: ledger.Progress{State: ledger.Open}})
		if err != nil {
			k.mu.Unlock()
			return Outcome{Code: NotAccepted, Refusal: dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.ReasonUnsupported}}
		}
		k.queue = append(k.queue, queuedRecord{record: record, acceptsJob: s.Job.ID})
	}
	k.waiters[s.Job.ID] = append(k.waiters[s.Job.ID], answer)
	k.mu.Unlock()
	k.wakeWriter()
	return awaitOutcome(ctx, answer)
}

// awaitOutcome waits for an outcome. It returns Undecided after logAnswerTimeout.
func awaitOutcome(ctx context.Context, answer <-chan Outcome) Outcome {
	ctx, cancel := context.WithTimeout(ctx, logAnswerTimeout)
	defer cancel()
	select {
	case o := <-answer:
		return o
	case <-ctx.Done():
		return Outcome{Code: Undecided}
	}
}

// admit reports whether a new job can be accepted now; if not, the result is the
// refusal.
func (k *Keeper) admit(s batch.Submission) (dispatch.Result, bool) {
	if !k.reads.caughtUp || k.logUnavailable {
		return refusedLogUnavailable.Refusal, false
	}
	return k.dispatcher.AdmitDurable(s)
}

// answerWaiters sends an outcome to all callers who wait for the acceptance of a
// job. Each waiter's channel has room for it.
func (k *Keeper) answerWaiters(id batch.ID, o Outcome) {
	for _, answer := range k.waiters[id] {
		answer <- o
	}
	delete(k.waiters, id)
}

// stateHere returns the state of a job as this entry has read it from the log.
// Callers often ask just after the last task has ended, so it waits up to
// jobEndWait for an open job to end.
func (k *Keeper) stateHere(ctx context.Context, id batch.ID) (ledger.State, bool, Code) {
	if ended := k.endNotification(id); ended != nil {
		ctx, cancel := context.WithTimeout(ctx, jobEndWait)
		defer cancel()
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	current := k.readIfUnknown(ctx, id)
	k.mu.Lock()
	defer k.mu.Unlock()
	v, known := k.table.Job(id)
	switch {
	case known:
		begun := len(v.Progress.Tasks) > 0 || k.dispatcher.HasStarted(id)
		return v.Progress.State, begun, Accepted
	case !current || !k.knowsAllJobs():
		return "", false, Undecided
	}
	return "", false, UnknownJob
}

// endNotification returns a channel that is closed when an open job ends, or nil
// if the job is not open.
func (k *Keeper) endNotification(id batch.ID) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, known := k.table.Job(id)
	if !known || v.Progress.State != ledger.Open {
		return nil
	}
	if k.endSignals[id] == nil {
		k.endSignals[id] = make(chan struct{})
	}
	return k.endSignals[id]
}

// cancelHere appends a request to cancel a job.
func (k *Keeper) cancelHere(ctx context.Context, id batch.ID) Outcome {
	current := k.readIfUnknown(ctx, id)
	k.mu.Lock()
	v, known := k.table.Job(id)
	switch {
	case known && (v.Progress.State != ledger.Open || v.Cancelled):
		k.mu.Unlock()
		return Outcome{Code: Accepted}
	case !known && !(current && k.knowsAllJobs()):
		k.mu.Unlock()
		return Outcome{Code: Undecided}
	case !known:
		k.mu.Unlock()
		return Outcome{Code: UnknownJob}
	}
	record, err := ledger.CancelRecord(id)
	if err != nil {
		k.mu.Unlock()
		return Outcome{Code: Undecided}
	}
	answer := make(chan Outcome, 1)
	k.queue = append(k.queue, queuedRecord{record: record, outcome: answer})
	k.mu.Unlock()
	k.wakeWriter()
	return awaitOutcome(ctx, answer)
}

// readIfUnknown reads the log to its present end if it is not known to contain a job. It
// returns false if that is not possible, so that the job may exist all the same. An entry
// that lacks records as far as it knows does not try: other entries know more.
func (k *Keeper) readIfUnknown(ctx context.Context, id batch.ID) bool {
	k.mu.Lock()
	_, known := k.table.Job(id)
	lacksRecords := !k.knowsAllJobs()
	k.mu.Unlock()
	if known || lacksRecords {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, currentReadTimeout)
	defer cancel()
	return k.awaitCurrent(ctx) == nil
}

// knowsAllJobs reports whether this entry lacks no record of the log as far as it knows,
// except those of about maxReadLag.
func (k *Keeper) knowsAllJobs() bool {
	now := k.options.Now()
	return k.reads.lagsAtMost(now, maxReadLag) && !k.wasPaused(now)
}
