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

// Peer is another entry that can be asked about durable jobs.
type Peer interface {
	Name() string
	// Ask returns the answer to a call. After an error nobody knows whether it
	// was carried out. It may set the call's number.
	Ask(ctx context.Context, call wire.DurableCall) (wire.DurableReply, error)
}

// askTimeout bounds the wait for one other entry; it is several times what an
// append takes while the store is well.
const askTimeout = 500 * time.Millisecond

// Submit accepts a job, or finds that it has been accepted before. While the log
// turns this entry away another one may accept it.
func (k *Keeper) Submit(ctx context.Context, s batch.Submission) Outcome {
	o := k.submitAnywhere(ctx, s)
	k.counters.submitted(o)
	switch o.Code {
	case NotAccepted:
		k.decided(s.Job.ID, "accept", "refused", string(o.Refusal.Reason), s.Version)
	case Undecided:
		k.decided(s.Job.ID, "accept", string(Undecided), "the log has not answered", s.Version)
	}
	return o
}

func (k *Keeper) submitAnywhere(ctx context.Context, s batch.Submission) Outcome {
	o := k.submit(ctx, s)
	if o.Code != NotAccepted || o.Refusal.Reason != dispatch.ReasonStoreAway {
		return o
	}
	reply, asked := k.askPeers(ctx, wire.DurableCall{Action: wire.DurableSubmit, ID: s.Job.ID, Submission: &s})
	if !asked {
		return o
	}
	return outcomeOf(reply)
}

// State returns the state of a job for a caller, and whether a task has begun.
// Undecided means that nobody who was asked has read the log.
func (k *Keeper) State(ctx context.Context, id batch.ID) (ledger.State, bool, Code) {
	if k.cutOff() {
		if reply, asked := k.askPeers(ctx, wire.DurableCall{Action: wire.DurableState, ID: id}); asked {
			return ledger.State(reply.State), reply.Begun, Code(reply.Code)
		}
	}
	return k.state(ctx, id)
}

// Cancel asks for the end of a job.
func (k *Keeper) Cancel(ctx context.Context, id batch.ID) Outcome {
	if k.cutOff() {
		if reply, asked := k.askPeers(ctx, wire.DurableCall{Action: wire.DurableCancel, ID: id}); asked {
			return outcomeOf(reply)
		}
	}
	return k.cancel(ctx, id)
}

// Serve answers a call that another entry forwards.
func (k *Keeper) Serve(ctx context.Context, call *wire.DurableCall) wire.DurableReply {
	switch {
	case call.Action == wire.DurableSubmit && call.Submission != nil:
		return replyOf(call, k.submit(ctx, *call.Submission))
	case k.cutOff():
	case call.Action == wire.DurableState:
		state, begun, code := k.state(ctx, call.ID)
		return wire.DurableReply{Number: call.Number, Code: string(code), State: string(state), Begun: begun}
	case call.Action == wire.DurableCancel:
		return replyOf(call, k.cancel(ctx, call.ID))
	}
	return replyOf(call, refusedAway)
}

func replyOf(call *wire.DurableCall, o Outcome) wire.DurableReply {
	return wire.DurableReply{Number: call.Number, Code: string(o.Code), Reason: string(o.Refusal.Reason),
		RetryAfterMS: o.Refusal.RetryAfter.Milliseconds()}
}

func outcomeOf(reply wire.DurableReply) Outcome {
	o := Outcome{Code: Code(reply.Code)}
	if o.Code == NotAccepted {
		o.Refusal = dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.Reason(reply.Reason),
			RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond}
	}
	return o
}

// askPeers forwards a call to one entry after the other, until one can answer
// it. A submission without an answer may have been accepted, so no other entry
// is asked and the caller is told that it is undecided.
func (k *Keeper) askPeers(ctx context.Context, call wire.DurableCall) (wire.DurableReply, bool) {
	for _, peer := range k.options.Peers() {
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		reply, err := peer.Ask(asking, call)
		cancel()
		switch {
		case err != nil && call.Action == wire.DurableSubmit:
			k.noteForward(call, peer, string(Undecided), err.Error())
			return wire.DurableReply{Code: string(Undecided)}, true
		case err != nil:
			k.noteForward(call, peer, "unanswered", err.Error())
		case reply.Code == string(NotAccepted) && reply.Reason == string(dispatch.ReasonStoreAway):
		default:
			k.counters.forwarded.Add(1)
			k.noteForward(call, peer, reply.Code, reply.Reason)
			return reply, true
		}
	}
	return wire.DurableReply{}, false
}

func (k *Keeper) noteForward(call wire.DurableCall, peer Peer, outcome, reason string) {
	k.sink.Decided(decision.Decision{Step: "forward_" + string(call.Action), Job: call.ID, Peer: peer.Name(), Outcome: outcome, Reason: reason})
}

// cutOff reports whether this entry can't read the log or not write to it, so
// that another one may know more.
func (k *Keeper) cutOff() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.caughtUp || k.healthySince.IsZero() || k.away
}
