package node

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
)

// fakePeer is an entry that replies to a withdrawal after a delay.
type fakePeer struct {
	delay time.Duration
	reply wire.JobReply
	// runsEnd is when the runs of the job end; until then its replies say that they may
	// be alive.
	runsEnd   time.Time
	lastHeard time.Time
	calls     chan wire.JobCall
}

func (p *fakePeer) LastHeard() time.Time { return p.lastHeard }

func (p *fakePeer) Name() string { return "peer" }

func (p *fakePeer) Call(ctx context.Context, call wire.JobCall) (wire.JobReply, error) {
	p.calls <- call
	select {
	case <-ctx.Done():
		return wire.JobReply{}, errors.Wrap(ctx.Err(), "call")
	case <-time.After(p.delay):
		reply := p.reply
		reply.RunsAlive = time.Now().Before(p.runsEnd)
		return reply, nil
	}
}

// Guards against a job that is run before the other entries have ended it, against one
// that is run again although another entry has its result, and against a caller who is
// told that its job has not run although its tasks have, at another entry.
func TestResubmittedJobIsWithdrawnElsewhere(t *testing.T) {
	calls := make(chan wire.JobCall, 8)
	idle, busy := &fakePeer{calls: calls}, &fakePeer{delay: 80 * time.Millisecond, reply: wire.JobReply{Started: true}, calls: calls}
	done := &fakePeer{reply: wire.JobReply{Code: string(dispatch.Completed)}, calls: calls}
	silent := &fakePeer{delay: time.Hour, calls: calls}
	cases := []struct {
		name  string
		peers []withdrawalPeer
		known bool
		// ran is set if an entry has replied that tasks have run there.
		ran bool
		// atLeast is the shortest time that the call may take.
		atLeast time.Duration
		timeout time.Duration
	}{
		{"alone", nil, false, false, 0, time.Hour},
		{"runs elsewhere", []withdrawalPeer{idle, busy}, false, true, busy.delay, time.Hour},
		{"ended elsewhere", []withdrawalPeer{silent, done}, true, false, 0, time.Hour},
		{"an entry does not reply", []withdrawalPeer{silent, idle}, false, false, withdrawTimeout, withdrawTimeout},
	}
	for _, step := range cases {
		t.Run(step.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), step.timeout)
			defer cancel()
			start := time.Now()
			w := withdrawElsewhere(ctx, step.peers, "j")
			if took := time.Since(start); took < step.atLeast {
				t.Errorf("took %v, expected at least %v", took, step.atLeast)
			}
			if w.known != step.known || w.known && w.result.Code != dispatch.Completed {
				t.Errorf("%+v, expected a known result: %t", w, step.known)
			}
			notRun := dispatch.Result{Code: dispatch.NotRun}
			if said := w.correctNotRun(notRun).Code == dispatch.NotRun; said == step.ran {
				t.Errorf("the caller is told that the job has not run: %t, tasks may have run: %t", said, step.ran)
			}
			for range step.peers {
				if call := <-calls; call.Action != wire.WithdrawJob || call.ID != "j" {
					t.Errorf("call %+v", call)
				}
			}
		})
	}
}

// Guards against a job whose tasks run twice at the same time, because the entry that had
// accepted it replies before its runs have ended, or can't reply.
func TestResubmittedJobWaitsForRunsElsewhere(t *testing.T) {
	calls := make(chan wire.JobCall, 1000)
	const running = 2 * withdrawTimeout
	runsEnd := time.Now().Add(running)
	busy := &fakePeer{delay: 10 * time.Millisecond, runsEnd: runsEnd, calls: calls}
	ctx, cancel := context.WithTimeout(context.Background(), maxWithdrawal)
	defer cancel()
	if w := withdrawElsewhere(ctx, []withdrawalPeer{busy}, "j"); w.known || time.Now().Before(runsEnd) {
		t.Errorf("%+v %s before the runs have ended", w, time.Until(runsEnd))
	}
	silent := &fakePeer{delay: time.Hour, lastHeard: time.Now(), calls: calls}
	if w := withdrawElsewhere(ctx, []withdrawalPeer{silent}, "j"); w.runsEnd.Sub(silent.lastHeard) < wire.OwnerRunsLostAfter {
		t.Errorf("%+v: runs of an entry that was heard of at %s may be alive later", w, silent.lastHeard)
	}
}

// Guards against a job that starts although an entry still replies that runs of it are alive.
func TestResubmittedJobWithLastingRunsElsewhereIsNotStarted(t *testing.T) {
	busy := &fakePeer{delay: 10 * time.Millisecond, runsEnd: time.Now().Add(time.Hour), calls: make(chan wire.JobCall, 1000)}
	ctx, cancel := context.WithTimeout(context.Background(), 2*withdrawTimeout)
	defer cancel()
	if w := withdrawElsewhere(ctx, []withdrawalPeer{busy}, "j"); !w.runsAlive {
		t.Errorf("%+v, want runs that are alive", w)
	}
}

// Guards against a job that is submitted after its caller has left.
func TestCallerWhoLeavesBeforeTheSubmissionIsNotServed(t *testing.T) {
	var again resubmission
	again.leave()
	again.submit(func() func() {
		t.Error("submitted")
		return func() {}
	})
}
