package keeper

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
)

var errTurnedAway = errors.New("turned away")

// turnedAwayLog is the log as an entry sees it that the store turns away.
type turnedAwayLog struct{}

func (turnedAwayLog) Append(context.Context, Append) Appended {
	return Appended{Verdict: NotDone, Err: errTurnedAway}
}

func (turnedAwayLog) Follow(ctx context.Context, _ func(Page), state func(error)) {
	state(errTurnedAway)
	<-ctx.Done()
}

// neighbour is another entry in the same process.
type neighbour struct {
	*entry
	// lost calls are carried out without an answer.
	lost bool
}

func (n neighbour) Name() string { return "neighbour" }

func (n neighbour) Ask(ctx context.Context, call wire.DurableCall) (wire.DurableReply, error) {
	reply := n.Serve(ctx, &call)
	if n.lost {
		return wire.DurableReply{}, errTurnedAway
	}
	return reply, nil
}

// newTurnedAway returns a keeper that the store turns away, with neighbours.
func newTurnedAway(t *testing.T, c *clock, peers ...Peer) *Keeper {
	k := New(Options{Node: "node-a", Self: "a", IsFirst: func() bool { return false }, Peers: func() []Peer { return peers },
		Now: c.now, UnixTime: c.now}, turnedAwayLog{}, newRuns(), noSink{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = k.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return k
}

// Guards against callers who are refused, or get no state, though only the entry
// that they have reached is turned away by the store.
func TestCallsAreForwardedWhileTheStoreTurnsAnEntryAway(t *testing.T) {
	log, c, ctx := newSharedLog(), &clock{}, context.Background()
	b := startEntry(t, log, c, "b")
	away := newTurnedAway(t, c)
	a := newTurnedAway(t, c, neighbour{entry: &entry{Keeper: away}}, neighbour{entry: b})
	if o := a.Submit(ctx, submission("j")); o.Code != Accepted {
		t.Fatalf("%+v, expected that the neighbour accepts the job", o)
	}
	eventually(t, "the start at the neighbour", func() bool { return len(b.runs.startedJobs()) == 1 })
	if state, _, code := a.State(ctx, "j"); state != ledger.Open || code != Accepted {
		t.Errorf("state %q, %s", state, code)
	}
	if _, _, code := a.State(ctx, "unknown"); code != NotKnown {
		t.Errorf("state of an unknown job: %s", code)
	}
	if o := a.Cancel(ctx, "j"); o.Code != Accepted {
		t.Errorf("cancel: %+v", o)
	}
	if o := a.Cancel(ctx, "unknown"); o.Code != NotKnown {
		t.Errorf("cancel of an unknown job: %+v", o)
	}
	if got, expected := a.Counts(), (Counts{Accepted: 1, Forwarded: 5}); got != expected {
		t.Errorf("counts %+v, expected %+v", got, expected)
	}
	if d := a.Dump(); d.Reads || d.Mine != 0 {
		t.Errorf("dump of an entry that is turned away: %+v", d)
	}
}

// Guards against a caller who is told that a job has not run, though the entry
// that was asked has accepted it and its answer was lost.
func TestUnansweredSubmissionIsUndecided(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	b := startEntry(t, log, c, "b")
	a := newTurnedAway(t, c, neighbour{entry: b, lost: true})
	if o := a.Submit(context.Background(), submission("j")); o.Code != Undecided {
		t.Errorf("%+v", o)
	}
}

// Guards against calls that go round between entries which are all turned away.
func TestNobodyAcceptsWhileTheStoreIsAway(t *testing.T) {
	c := &clock{}
	a := newTurnedAway(t, c, neighbour{entry: &entry{Keeper: newTurnedAway(t, c)}})
	if o := a.Submit(context.Background(), submission("j")); o.Code != NotAccepted || o.Refusal.Reason != dispatch.ReasonStoreAway {
		t.Errorf("%+v", o)
	}
}
