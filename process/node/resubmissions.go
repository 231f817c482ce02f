package node

import (
	"context"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// withdrawTimeout is how long an entry waits for another one to reply to a
	// withdrawal.
	withdrawTimeout = 250 * time.Millisecond
	// withdrawReplyDelay is how long an entry waits for the runs of a withdrawn job to
	// end before it replies that they may be alive.
	withdrawReplyDelay = withdrawTimeout / 2
	// withdrawPollInterval is how often an entry checks whether the runs of a withdrawn
	// job have ended.
	withdrawPollInterval = 3 * time.Millisecond
	// maxWithdrawal bounds a withdrawal: by then the runs have ended by themselves.
	maxWithdrawal = wire.OwnerRunsLostAfter + withdrawTimeout
)

// Submit submits a job that is not durable; see dispatch.Core.Submit. It may forward a first
// submission to another entry, see forwarder. If its caller seems
// to have submitted it before, the other entries end it first: the one that had accepted
// it may not have learned that the caller has left. A result that it had is the answer.
// The job is given up if its caller does not wait until runs elsewhere have ended.
func (e *Entry) Submit(s batch.Submission, reply func(dispatch.Result)) (cancel func()) {
	defer e.work.Add(observe.WorkRequests, time.Now())
	if !e.Core.LooksResubmitted(s) && !e.forwarder.isOpen(s.Job.ID) {
		if link := e.forwarder.choose(s); link != nil {
			return e.forwarder.forward(link, s, reply)
		}
		return e.Core.Submit(s, reply)
	}
	ctx, cancelWait := context.WithCancel(context.Background())
	again := &resubmission{}
	go func() {
		defer cancelWait()
		start := clock.Now()
		e.forwarder.withdrawJob(s.Job.ID)
		withdrawn := withdrawElsewhere(ctx, e.withdrawalPeers(), s.Job.ID)
		withdrawn.addRunsEnd(e.forwarder.runsEnd(s.Job.ID))
		if withdrawn.known {
			reply(withdrawn.result)
			return
		}
		wait := withdrawn.runsEnd.Sub(clock.Now())
		if wait > 0 {
			e.decisions.Record(decision.Decision{Step: "accept", Job: s.Job.ID, Outcome: "withheld", Reason: "runs at another entry may be alive", Age: wait})
		}
		if withdrawn.runsAlive || wait >= s.CallerTimeout-clock.Now().Sub(start) {
			reply(dispatch.Result{Code: dispatch.GaveUp, Reason: dispatch.ReasonRunsElsewhere})
			return
		}
		pause(ctx, wait)
		s.CallerTimeout -= clock.Now().Sub(start)
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

// withdrawalPeer is another entry that may have accepted a job.
type withdrawalPeer interface {
	keeper.Peer
	// LastHeard returns when the entry last sent a message.
	LastHeard() time.Time
}

func (e *Entry) withdrawalPeers() []withdrawalPeer {
	var peers []withdrawalPeer
	for _, l := range e.peerLinks() {
		peers = append(peers, l)
	}
	return peers
}

// withdrawal is what other entries say of a job that they were asked to end.
type withdrawal struct {
	// result is the final result that the job had, if known is set.
	result dispatch.Result
	known  bool
	// mayHaveRun is set if tasks of it may have run at one of them.
	mayHaveRun bool
	// runsAlive is set if an entry has replied up to maxWithdrawal that runs may be alive.
	runsAlive bool
	// runsEnd is when the runs at entries that have not confirmed their end have ended.
	runsEnd time.Time
}

// correctNotRun returns a result in place of one that may say that the job has not run.
func (w withdrawal) correctNotRun(result dispatch.Result) dispatch.Result {
	if result.Code == dispatch.NotRun && w.mayHaveRun {
		return dispatch.Result{Code: dispatch.GaveUp, Reason: result.Reason}
	}
	return result
}

// withdrawElsewhere asks other entries to end a job and returns when each of them has
// confirmed that no run is alive or does not reply, when one has replied with the result
// of the job, or when the context ends.
func withdrawElsewhere(ctx context.Context, peers []withdrawalPeer, id batch.ID) withdrawal {
	ctx, cancel := context.WithTimeout(ctx, maxWithdrawal)
	defer cancel()
	replies := make(chan withdrawal, len(peers))
	for _, peer := range peers {
		go func() { replies <- withdrawAt(ctx, peer, id) }()
	}
	var all withdrawal
	for range peers {
		w := <-replies
		if w.known {
			return w
		}
		all.mayHaveRun, all.runsAlive = all.mayHaveRun || w.mayHaveRun, all.runsAlive || w.runsAlive
		all.addRunsEnd(w.runsEnd)
	}
	return all
}

// addRunsEnd adds the time when the runs at another entry have ended.
func (w *withdrawal) addRunsEnd(at time.Time) {
	if at.After(w.runsEnd) {
		w.runsEnd = at
	}
}

// withdrawAt asks one entry to end a job, again and again while runs may be alive. An entry
// that does not reply may have renewed the sessions with its agents until it was last
// heard of, or later if it is only cut off from this one.
func withdrawAt(ctx context.Context, peer withdrawalPeer, id batch.ID) withdrawal {
	runsAlive := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		reply, err := peer.Call(callCtx, wire.JobCall{Action: wire.WithdrawJob, ID: id})
		cancel()
		switch {
		case err != nil:
			return withdrawal{runsEnd: peer.LastHeard().Add(wire.OwnerRunsLostAfter), runsAlive: runsAlive && ctx.Err() != nil}
		case reply.Code != "":
			return withdrawal{result: dispatch.Result{Code: dispatch.Code(reply.Code), Reason: dispatch.Reason(reply.Reason)}, known: true}
		case !reply.RunsAlive:
			return withdrawal{mayHaveRun: reply.Started}
		}
		runsAlive = true
	}
}

// serveWithdrawal ends a job and replies once none of its runs is alive, or the context
// has ended.
func (e *Entry) serveWithdrawal(ctx context.Context, call *wire.JobCall) wire.JobReply {
	reply := wire.JobReply{Number: call.Number}
	if result, known := e.Core.Withdraw(call.ID); known {
		reply.Code, reply.Reason = string(result.Code), string(result.Reason)
		return reply
	}
	e.forwarder.withdrawJob(call.ID)
	reply.Started = e.Core.MayHaveRun(call.ID)
	for e.Core.HasRuns(call.ID) || e.forwarder.isOpen(call.ID) {
		if ctx.Err() != nil {
			reply.RunsAlive = true
			break
		}
		pause(ctx, withdrawPollInterval)
	}
	return reply
}
