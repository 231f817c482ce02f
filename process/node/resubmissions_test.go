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

// Guards against a job that is run before the other entries have ended it, and against
// one that is run again although another entry has its result.
func TestResubmittedJobIsWithdrawnElsewhere(t *testing.T) {
	calls := make(chan wire.JobCall, 8)
	idle, busy := &fakePeer{calls: calls}, &fakePeer{delay: 80 * time.Millisecond, calls: calls}
	done := &fakePeer{reply: wire.JobReply{Code: string(dispatch.Completed)}, calls: calls}
	silent := &fakePeer{delay: time.Hour, calls: calls}
	cases := []struct {
		name  string
		peers []keeper.Peer
		known bool
		// atLeast is the shortest time that the call may take.
		atLeast time.Duration
		timeout time.Duration
	}{
		{"alone", nil, false, 0, time.Hour},
		{"runs elsewhere", []keeper.Peer{idle, busy}, false, busy.delay, time.Hour},
		{"ended elsewhere", []keeper.Peer{silent, done}, true, 0, time.Hour},
		{"an entry does not reply", []keeper.Peer{silent, idle}, false, withdrawTimeout, withdrawTimeout},
	}
	for _, step := range cases {
		t.Run(step.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), step.timeout)
			defer cancel()
			start := time.Now()
			result, known := withdrawElsewhere(ctx, step.peers, "j")
			if took := time.Since(start); took < step.atLeast {
				t.Errorf("took %v, expected at least %v", took, step.atLeast)
			}
			if known != step.known || known && result.Code != dispatch.Completed {
				t.Errorf("result %+v, known %t, expected %t", result, known, step.known)
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
