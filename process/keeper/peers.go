package keeper

import (
	"context"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Peer is another entry that answers calls about durable jobs.
type Peer interface {
	// Name returns the name of the entry.
	Name() string
	// Call sends a call to the entry and returns its reply. If it fails, the call
	// may or may not have been carried out. It may set the call's number.
	Call(ctx context.Context, call wire.JobCall) (wire.JobReply, error)
}

// peerCallTimeout limits the wait for the reply of one other entry. It is several
// times the latency of an append to a healthy log.
const peerCallTimeout = 500 * time.Millisecond

// Submit accepts a job, or reports Accepted if it has been accepted before. If the
// log is unavailable to this entry, it forwards the submission to other entries.
func (k *Keeper) Submit(ctx context.Context, s batch.Submission) Outcome {
	o := k.submitOrForward(ctx, s)
	if o.Code == NotAccepted && o.Refusal.Reason != dispatch.ReasonUnsupported && k.dispatcher.LooksResubmitted(s) {
		o = k.outcomeOfResubmission(ctx, s.Job.ID)
	}
	k.counters.countSubmission(o)
	switch o.Code {
	case NotAccepted:
		k.logDecision(s.Job.ID, "accept", "refused", string(o.Refusal.Reason), s.Version)
	case Undecided:
		k.logDecision(s.Job.ID, "accept", string(Undecided), "the log has not answered", s.Version)
	}
	return o
}

// outcomeOfResubmission returns the outcome of a refused submission whose caller seems to
// have submitted the job before. A refusal would say that the job never runs, but its
// record may be in the log, or on its way from an entry whose answer was lost.
func (k *Keeper) outcomeOfResubmission(ctx context.Context, id batch.ID) Outcome {
	ctx, cancel := context.WithTimeout(ctx, currentReadTimeout)
	defer cancel()
	if k.awaitCurrent(ctx) == nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		if _, known := k.table.Job(id); known {
			return Outcome{Code: Accepted}
		}
	}
	return Outcome{Code: Undecided}
}

// submitOrForward submits a job here or, if the log is unavailable to this entry,
// at another one.
func (k *Keeper) submitOrForward(ctx context.Context, s batch.Submission) Outcome {
	o := k.submitHere(ctx, s)
	if o.Code != NotAccepted || o.Refusal.Reason != dispatch.ReasonStoreUnavailable {
		return o
	}
	reply, answered := k.forwardToPeers(ctx, wire.JobCall{Action: wire.SubmitDurable, ID: s.Job.ID, Submission: &s})
	if !answered {
		return o
	}
	return outcomeFromReply(reply)
}

// State returns the state of a job and whether a task of it has begun. The code is
// Accepted for a known job, UnknownJob if the log does not contain it, and
// Undecided if no entry that was asked can read the log.
func (k *Keeper) State(ctx context.Context, id batch.ID) (ledger.State, bool, Code) {
	inaccessible := k.logInaccessible()
	if !inaccessible {
		if state, begun, code := k.stateHere(ctx, id); code != Undecided {
			return state, begun, code
		}
	}
	if reply, answered := k.forwardToPeers(ctx, wire.JobCall{Action: wire.DurableState, ID: id}); answered {
		return ledger.State(reply.State), reply.Started, Code(reply.Code)
	}
	if inaccessible {
		return k.stateHere(ctx, id)
	}
	return "", false, Undecided
}

// Cancel requests the cancellation of a job. Accepted means that the request is in
// the log or that the job has ended.
func (k *Keeper) Cancel(ctx context.Context, id batch.ID) Outcome {
	inaccessible := k.logInaccessible()
	if !inaccessible {
		if o := k.cancelHere(ctx, id); o.Code != Undecided {
			return o
		}
	}
	if reply, answered := k.forwardToPeers(ctx, wire.JobCall{Action: wire.CancelDurable, ID: id}); answered {
		return outcomeFromReply(reply)
	}
	if inaccessible {
		return k.cancelHere(ctx, id)
	}
	return Outcome{Code: Undecided}
}

// ServeForwarded answers a call that another entry has forwarded. It does not
// forward the call again.
func (k *Keeper) ServeForwarded(ctx context.Context, call *wire.JobCall) wire.JobReply {
	switch {
	case call.Action == wire.SubmitDurable && !hasValidJob(call):
		return replyFromOutcome(call, refusedMalformed)
	case call.Action == wire.SubmitDurable:
		return replyFromOutcome(call, k.submitHere(ctx, *call.Submission))
	case k.logInaccessible():
	case call.Action == wire.DurableState:
		state, begun, code := k.stateHere(ctx, call.ID)
		return wire.JobReply{Number: call.Number, Code: string(code), State: string(state), Started: begun}
	case call.Action == wire.CancelDurable:
		return replyFromOutcome(call, k.cancelHere(ctx, call.ID))
	}
	return replyFromOutcome(call, refusedLogUnavailable)
}

func hasValidJob(call *wire.JobCall) bool {
	return call.Submission != nil && call.Submission.Job.Validate() == nil
}

func replyFromOutcome(call *wire.JobCall, o Outcome) wire.JobReply {
	return wire.JobReply{Number: call.Number, Code: string(o.Code), Reason: string(o.Refusal.Reason),
		RetryAfterMS: o.Refusal.RetryAfter.Milliseconds()}
}

func outcomeFromReply(reply wire.JobReply) Outcome {
	o := Outcome{Code: Code(reply.Code)}
	if o.Code == NotAccepted {
		o.Refusal = dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.Reason(reply.Reason),
			RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond}
	}
	return o
}

// forwardToPeers sends a call to one entry after the other until one can answer
// it, and reports whether one did. A submission without a reply may have been
// accepted, so no further entry is asked and the reply is Undecided.
func (k *Keeper) forwardToPeers(ctx context.Context, call wire.JobCall) (wire.JobReply, bool) {
	for _, peer := range k.options.Peers() {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		reply, err := peer.Call(callCtx, call)
		cancel()
		switch {
		case err != nil && call.Action == wire.SubmitDurable:
			k.logForward(call, peer, string(Undecided), err.Error())
			return wire.JobReply{Code: string(Undecided)}, true
		case err != nil:
			k.logForward(call, peer, "unanswered", err.Error())
		case reply.Code == string(NotAccepted) && reply.Reason == string(dispatch.ReasonStoreUnavailable):
		case reply.Code == string(Undecided) && call.Action != wire.SubmitDurable:
		default:
			k.counters.forwarded.Add(1)
			k.logForward(call, peer, reply.Code, reply.Reason)
			return reply, true
		}
	}
	return wire.JobReply{}, false
}

func (k *Keeper) logForward(call wire.JobCall, peer Peer, outcome, reason string) {
	k.recorder.Record(decision.Decision{Step: "forward_" + string(call.Action), Job: call.ID, Peer: peer.Name(), Outcome: outcome, Reason: reason})
}

// logInaccessible reports whether this entry can't read the log or can't append to it, so
// that calls are better answered by another entry.
func (k *Keeper) logInaccessible() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.reads.caughtUp || k.reads.readableSince.IsZero() || k.logUnavailable
}
