package node

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
)

// fakePeer is an entry that replies to a withdrawal after a delay.
type fakePeer struct {
	delay time.Duration
	reply wire.JobReply
	calls chan wire.JobCall
}

func (p *fakePeer) Name() string { return "peer" }

func (p *fakePeer) Call(ctx context.Context, call wire.JobCall) (wire.JobReply, error) {
	p.calls <- call
	select {
	case <-ctx.Done():
		return wire.JobReply{}, errors.Wrap(ctx.Err(), "call")
	case <-time.After(p.delay):
		return p.reply, nil
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
		peers []keeper.Peer
		known bool
		// ran is set if an entry has replied that tasks have run there.
		ran bool
		// atLeast is the shortest time that the call may take.
		atLeast time.Duration
		timeout time.Duration
	}{
		{"alone", nil, false, false, 0, time.Hour},
		{"runs elsewhere", []keeper.Peer{idle, busy}, false, true, busy.delay, time.Hour},
		{"ended elsewhere", []keeper.Peer{silent, done}, true, false, 0, time.Hour},
		{"an entry does not reply", []keeper.Peer{silent, idle}, false, false, withdrawTimeout, withdrawTimeout},
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
			if w.ended != step.known || w.ended && w.result.Code != dispatch.Completed {
				t.Errorf("result %+v, known %t, expected %t", w.result, w.ended, step.known)
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

// Guards against a job that is submitted after its caller has left.
func TestCallerWhoLeavesBeforeTheSubmissionIsNotServed(t *testing.T) {
	var again resubmission
	again.leave()
	again.submit(func() func() {
		t.Error("submitted")
		return func() {}
	})
}
