package keeper

import (
	"context"
	"testing"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/ledger"
)

// interceptedLog is a memoryLog whose appends a test answers: it does if intercept returns
// a verdict.
type interceptedLog struct {
	*memoryLog
	intercept func(AppendRequest) Verdict
}

func (l *interceptedLog) Append(ctx context.Context, a AppendRequest) AppendResult {
	if verdict := l.intercept(a); verdict != "" {
		return AppendResult{Verdict: verdict}
	}
	return l.memoryLog.Append(ctx, a)
}

// startWithDeadOwner starts entry b after entry a has accepted job j and ended.
func startWithDeadOwner(t *testing.T, log *interceptedLog, c *clock) *testEntry {
	a := startEntry(t, log.memoryLog, &clock{}, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	a.stop()
	return startEntry(t, log, c, "b")
}

// awaitTakeover advances the clock of an entry until it runs a job.
func (e *testEntry) awaitTakeover(t *testing.T, c *clock) {
	eventually(t, "the takeover", func() bool {
		if e.counters.takenOver.Load() == 0 {
			e.advance(c)
		}
		return len(e.dispatcher.startedJobs()) == 1
	})
}

// Guards against a new owner that starts tasks while the former one may: that one was
// silent, and its last append, which extends its ownership, came just before it was fenced
// (rule TWICE).
func TestTakeoverWaitsForTheOwnershipOfTheLastAppend(t *testing.T) {
	log, c := &interceptedLog{memoryLog: newMemoryLog()}, &clock{}
	appendedAt := c.now()
	log.intercept = func(a AppendRequest) Verdict {
		if a.Epoch != fenceEpoch || log.isFenced("a") {
			return ""
		}
		heartbeat, err := ledger.HeartbeatRecord("a", ledger.Heartbeat{Node: "node-a"})
		if err != nil {
			t.Error(err)
		}
		appendedAt = c.now()
		answer := log.memoryLog.Append(context.Background(), AppendRequest{Writer: "a", Epoch: firstEpoch, Sequence: 1, Records: []ledger.Record{heartbeat}})
		if answer.Verdict != Done {
			t.Errorf("last append of the former owner: %s", answer.Verdict)
		}
		return ""
	}
	b := startWithDeadOwner(t, log, c)
	b.awaitTakeover(t, c)
	got := b.dispatcher.startedJobs()[0]
	if earliest := appendedAt.Add(ownerTTL + wire.OwnerRunsLostAfter); got.NotBefore.Before(earliest) {
		t.Errorf("tasks start %v too early after the last append of the former owner", earliest.Sub(got.NotBefore))
	}
}

// Guards against an entry that counts claims as a sign that it still owns its jobs: they
// are not refused after it has been deposed (rule TWICE).
func TestClaimsDoNotExtendTheOwnership(t *testing.T) {
	log, c := &interceptedLog{memoryLog: newMemoryLog()}, &clock{}
	log.intercept = func(a AppendRequest) Verdict {
		if a.Writer == "b" {
			return Unknown
		}
		return ""
	}
	b := startWithDeadOwner(t, log, c)
	b.awaitTakeover(t, c)
	eventually(t, "the end of the takeover", func() bool { return b.counters.takenOver.Load() == 1 })
	if b.dispatcher.owns(c.now()) {
		t.Error("an entry whose own appends are not answered owns jobs")
	}
}
