package node

import (
	"context"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// withdrawTimeout is how long a resubmitted job waits for other entries to end it.
	// It covers the stop of a run and its report; an entry that does not reply is cut
	// off or paused, and its agents end its runs by themselves.
	withdrawTimeout = 250 * time.Millisecond
	// withdrawPollInterval is how often an entry checks whether the runs of a withdrawn
	// job have ended.
	withdrawPollInterval = 3 * time.Millisecond
)

// Submit submits a job that is not durable; see dispatch.Core.Submit. If its caller seems
// to have submitted it before, the other entries end it first: the one that had accepted
// it may not have learned that the caller has left. A result that it had is the answer.
func (e *Entry) Submit(s batch.Submission, reply func(dispatch.Result)) (cancel func()) {
	if !e.Core.LooksResubmitted(s) {
		return e.Core.Submit(s, reply)
	}
	ctx, cancelWait := context.WithTimeout(context.Background(), withdrawTimeout)
	again := &resubmission{}
	go func() {
		defer cancelWait()
		start := time.Now()
		withdrawn := withdrawElsewhere(ctx, e.keeperPeers(), s.Job.ID)
		if withdrawn.ended {
			reply(withdrawn.result)
			return
		}
		s.CallerTimeout -= time.Since(start)
		again.submit(func() (cancel func()) {
			return e.Core.Submit(s, func(r dispatch.Result) { reply(withdrawn.correctNotRun(r)) })
		})
	}()
	return func() {
		cancelWait()
		again.leave()
	}
}

// resubmission is a submission whose caller may leave before it is made. The zero value
// is one that has not been made.
type resubmission struct {
	mu     sync.Mutex
	left   bool
	cancel func()
}

func (r *resubmission) submit(submit func() (cancel func())) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.left {
		r.cancel = submit()
	}
}

func (r *resubmission) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	if r.cancel != nil {
		r.cancel()
	}
}

// withdrawal is what other entries have replied about a withdrawn job.
type withdrawal struct {
	// ended is set if the job has ended with result at one of them.
	ended  bool
	result dispatch.Result
	// mayHaveRun is set if tasks of it may have run at one of them.
	mayHaveRun bool
}

// correctNotRun returns a result in place of one that may say that the job has not run.
func (w withdrawal) correctNotRun(result dispatch.Result) dispatch.Result {
	if result.Code == dispatch.NotRun && w.mayHaveRun {
		return dispatch.Result{Code: dispatch.GaveUp, Reason: result.Reason}
	}
	return result
}

// withdrawElsewhere asks other entries to end a job and returns when all of them have
// replied, one has replied with the result of the job, or the context ends.
func withdrawElsewhere(ctx context.Context, peers []keeper.Peer, id batch.ID) withdrawal {
	replies := make(chan wire.JobReply, len(peers))
	for _, peer := range peers {
		go func() {
			// An entry that does not reply has no result to offer.
			reply, _ := peer.Call(ctx, wire.JobCall{Action: wire.WithdrawJob, ID: id})
			replies <- reply
		}()
	}
	var w withdrawal
	for range peers {
		reply := <-replies
		if reply.Code != "" {
			w.ended, w.result = true, dispatch.Result{Code: dispatch.Code(reply.Code), Reason: dispatch.Reason(reply.Reason)}
			return w
		}
		w.mayHaveRun = w.mayHaveRun || reply.Started
	}
	return w
}

// serveWithdrawal ends a job and replies once none of its runs is alive, or the context
// has ended.
func (e *Entry) serveWithdrawal(ctx context.Context, call *wire.JobCall) wire.JobReply {
	reply := wire.JobReply{Number: call.Number}
	if result, known := e.Core.Withdraw(call.ID); known {
		reply.Code, reply.Reason = string(result.Code), string(result.Reason)
		return reply
	}
	reply.Started = e.Core.MayHaveRun(call.ID)
	for e.Core.HasRuns(call.ID) && ctx.Err() == nil {
		pause(ctx, withdrawPollInterval)
	}
	return reply
}
