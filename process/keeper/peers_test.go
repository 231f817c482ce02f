package keeper

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
)

var errLogRefused = errors.New("log refuses this entry")

// refusingLog is a log that refuses all appends and reads of one entry.
type refusingLog struct{}

func (refusingLog) Append(context.Context, AppendRequest) AppendResult {
	return AppendResult{Verdict: Refused, Err: errLogRefused}
}

func (refusingLog) End(context.Context, uint64) (uint64, error) { return 0, errLogRefused }

func (refusingLog) Follow(ctx context.Context, reader Reader) {
	reader.NoteResult(errLogRefused)
	<-ctx.Done()
}

// localPeer is a Peer in the same process, called without a connection.
type localPeer struct {
	*testEntry
	// dropsReplies is set if calls are carried out but their replies are lost.
	dropsReplies bool
}

func (p localPeer) Name() string { return "peer" }

func (p localPeer) Call(ctx context.Context, call wire.JobCall) (wire.JobReply, error) {
	reply := p.ServeForwarded(ctx, &call)
	if p.dropsReplies {
		return wire.JobReply{}, errLogRefused
	}
	return reply, nil
}

// startRefusedKeeper runs a keeper that the log refuses, with the given peers.
func startRefusedKeeper(t *testing.T, c *clock, peers ...Peer) *Keeper {
	k := New(Options{Node: "node-a", Owner: "a", IsFirstByName: func() bool { return false }, Peers: func() []Peer { return peers },
		Now: c.now, UnixTime: c.now}, refusingLog{}, newFakeDispatcher(), discardSink{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = k.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return k
}

// Guards against refusing a call, or giving no state, because the log refuses the
// entry that was called, although other entries can use it.
func TestCallsAreForwardedWhileTheLogRefusesAnEntry(t *testing.T) {
	log, c, ctx := newMemoryLog(), &clock{}, context.Background()
	b := startEntry(t, log, c, "b")
	refused := startRefusedKeeper(t, c)
	a := startRefusedKeeper(t, c, localPeer{testEntry: &testEntry{Keeper: refused}}, localPeer{testEntry: b})
	if o := a.Submit(ctx, submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v, expected that the peer accepts the job", o)
	}
	eventually(t, "the start of the job at the peer", func() bool { return len(b.dispatcher.startedJobs()) == 1 })
	if state, _, code := a.State(ctx, "j"); state != ledger.Open || code != Accepted {
		t.Errorf("state %q, %s", state, code)
	}
	if _, _, code := a.State(ctx, "unknown"); code != UnknownJob {
		t.Errorf("state of an unknown job: %s", code)
	}
	if o := a.Cancel(ctx, "j"); o.Code != Accepted {
		t.Errorf("cancel: %+v", o)
	}
	if o := a.Cancel(ctx, "unknown"); o.Code != UnknownJob {
		t.Errorf("cancel of an unknown job: %+v", o)
	}
	if got, expected := a.Counts(), (Counts{Accepted: 1, Forwarded: 5}); got != expected {
		t.Errorf("counts %+v, expected %+v", got, expected)
	}
	if d := a.Dump(); d.LogReadable || d.OwnedJobs != 0 {
		t.Errorf("dump of an entry that the log refuses: %+v", d)
	}
}

// Guards against the answer NotAccepted for a job that another entry has accepted
// but whose reply to the forwarded submission was lost.
func TestForwardedSubmissionWithoutReplyIsUndecided(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	b := startEntry(t, log, c, "b")
	a := startRefusedKeeper(t, c, localPeer{testEntry: b, dropsReplies: true})
	if o := a.Submit(context.Background(), submission("j")); o.Code != Undecided {
		t.Errorf("submit without a reply of the peer: %+v", o)
	}
}

// Guards against calls that are forwarded in a circle between entries which are all
// refused by the log.
func TestSubmissionIsRefusedWhileTheLogRefusesAllEntries(t *testing.T) {
	c := &clock{}
	a := startRefusedKeeper(t, c, localPeer{testEntry: &testEntry{Keeper: startRefusedKeeper(t, c)}})
	if o := a.Submit(context.Background(), submission("j")); o.Code != NotAccepted || o.Refusal.Reason != dispatch.ReasonStoreUnavailable {
		t.Errorf("submit while the log refuses all entries: %+v", o)
	}
}

// Guards against an entry that fails because another one forwards a job that no caller
// could have submitted.
func TestMalformedForwardedJobIsRefused(t *testing.T) {
	log := newMemoryLog()
	e := startEntry(t, log, &clock{}, "a")
	malformed := submission("j")
	malformed.Job.Steps[0].DependsOn = []int{5}
	reply := e.ServeForwarded(context.Background(), &wire.JobCall{Number: 1, Action: wire.SubmitDurable, ID: "j", Submission: &malformed})
	if reply.Code != string(NotAccepted) {
		t.Errorf("reply %+v, expected %s", reply, NotAccepted)
	}
	if records := log.newestRecords(); len(records) != 0 {
		t.Errorf("records %v in the log, expected none", records)
	}
}

// Guards against a cancellation that is lost, or left undecided, because the entry that
// was called has lost the connection to the log without knowing it.
func TestCallsAreForwardedByAnEntryThatLostTheLogUnnoticed(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	b := startEntry(t, &silencedLog{memoryLog: log}, c, "b")
	b.options.Peers = func() []Peer {
		return []Peer{localPeer{testEntry: startEntry(t, &silencedLog{memoryLog: log}, c, "c")}, localPeer{testEntry: a}}
	}
	if state, _, code := b.State(context.Background(), "j"); code != Accepted || state != ledger.Open {
		t.Errorf("state %s %s, expected %s %s", code, state, Accepted, ledger.Open)
	}
	if o := b.Cancel(context.Background(), "j"); o.Code != Accepted {
		t.Errorf("cancel: %+v, expected %s", o, Accepted)
	}
	eventually(t, "the cancelled state", func() bool {
		state, _, _ := a.State(context.Background(), "j")
		return state == ledger.Cancelled
	})
}
