package claims

import (
	"flag"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
)

var (
	testStart  = time.Unix(1_000_000, 0)
	errNoReply = errors.New("response lost")
)

// TestMain raises the default effort: some faults of the committer show only
// in one of about a thousand runs.
func TestMain(m *testing.M) {
	flag.Set("rapid.checks", "3000")
	flag.Set("rapid.steps", "60")
	flag.Parse()
	os.Exit(m.Run())
}

func encoded(t testing.TB, entry wire.Incarnation, nonce uint64, pairs ...Pair) []byte {
	data, err := EncodeRecord(Record{Entry: entry, Nonce: nonce, Pairs: pairs})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func minutes(n int) time.Time { return testStart.Add(time.Duration(n) * time.Minute) }

// Guards against a reader that started after the first claim was trimmed and
// takes a key for free while readers of the whole log know an owner: claim 2
// lost against the trimmed claim 1, and claim 3 won after claim 1 had expired.
func TestClaimsAfterATrimmedOneExtendDoubt(t *testing.T) {
	key := pair(1, testStart)
	records := []logclient.Record{
		{Offset: 1, Time: minutes(0), Data: encoded(t, 1, 1, key)},
		{Offset: 2, Time: minutes(19), Data: encoded(t, 2, 1, key)},
		{Offset: 3, Time: minutes(31), Data: encoded(t, 3, 1, key)},
		{Offset: 4, Time: minutes(40), Data: encoded(t, 4, 1, key)},
	}
	whole, late := NewTable(testWindow), NewTable(testWindow)
	late.Gap(2, 4)
	for _, r := range records {
		whole.Apply(r.Offset, r.Time, r.Data)
		late.Apply(r.Offset, r.Time, r.Data)
	}
	if owner, _ := whole.Owner(key.Key); owner.Entry != 3 || owner.Doubtful {
		t.Errorf("whole log: owner %+v, want 3", owner)
	}
	if owner, ok := late.Owner(key.Key); !ok || !owner.Doubtful {
		t.Errorf("trimmed log: owner %+v, %v, want a doubtful one", owner, ok)
	}
}

// Guards against an entry that takes itself for the owner although a trimmed
// record may hold an earlier claim.
func TestOwnDoubtfulClaimIsUndecided(t *testing.T) {
	claim := Claim{pair(1, testStart), testStart}
	inFlight := func() (*Committer, Batch) {
		c := NewCommitter(7, NewTable(testWindow), testWindow)
		c.Add(testStart, claim)
		batch, _ := c.Next(testStart, rand.New(rand.NewPCG(1, 1)))
		return c, batch
	}
	c, batch := inFlight()
	page := logclient.Page{First: 5, Next: 6, Records: []logclient.Record{{Offset: 5, Time: testStart, Data: batch.Data}}}
	decisions, err := c.Records(testStart, page)
	if err != nil || len(decisions) != 1 || decisions[0].Verdict != Undecided {
		t.Errorf("read behind a gap: %+v, %v, want undecided", decisions, err)
	}
	c, batch = inFlight()
	c.Records(testStart, logclient.Page{First: 5, Next: 6})
	if decisions := c.Appended(testStart, batch.Nonce, 5, nil); len(decisions) != 0 {
		t.Errorf("appended behind a gap: %+v, want no decision", decisions)
	}
}

// Guards against a decision from the offset alone while an earlier owner has
// expired by the entry's clock, but not yet by that of the log.
func TestExpiryFollowsTheLogTime(t *testing.T) {
	table := NewTable(testWindow)
	c := NewCommitter(7, table, testWindow)
	earlier := logclient.Record{Offset: 1, Time: testStart, Data: encoded(t, 1, 1, pair(1, testStart))}
	c.Records(testStart, logclient.Page{First: 1, Next: 2, Records: []logclient.Record{earlier}})
	now := minutes(20).Add(10 * time.Second)
	claim := Claim{pair(1, now), now}
	c.Add(now, claim)
	batch, ok := c.Next(now, rand.New(rand.NewPCG(1, 1)))
	if decisions := c.Appended(now, batch.Nonce, 2, nil); !ok || len(decisions) != 0 {
		t.Errorf("decisions %+v before the record is read", decisions)
	}
	own := logclient.Record{Offset: 2, Time: minutes(20).Add(-time.Second), Data: batch.Data}
	decisions, _ := c.Records(now, logclient.Page{First: 1, Next: 3, Records: []logclient.Record{own}})
	if want := []Decision{{claim.Key, Conflict, 1}}; !reflect.DeepEqual(decisions, want) {
		t.Errorf("decisions %+v, want %+v", decisions, want)
	}
}

// Guards against a withdrawn claim that turns up and is ignored, so that the
// key has an owner who never runs the resubmission.
func TestWithdrawnClaimTurnsUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := NewCommitter(7, NewTable(testWindow), testWindow)
	claim := Claim{pair(1, testStart), testStart}
	c.Add(testStart, claim)
	batch, _ := c.Next(testStart, random)
	c.Appended(testStart, batch.Nonce, 0, errNoReply)
	if !c.Withdraw(claim.Key) || c.Withdraw(claim.Key) || c.Waiting() != 0 {
		t.Error("the claim was not withdrawn once")
	}
	c.Records(testStart, logclient.Page{First: 1, Next: 1})
	c.Add(testStart, claim)
	record := logclient.Record{Offset: 1, Time: testStart, Data: batch.Data}
	decisions, err := c.Records(testStart, logclient.Page{First: 1, Next: 2, Records: []logclient.Record{record}})
	if want := []Decision{{claim.Key, Won, 7}}; err != nil || !reflect.DeepEqual(decisions, want) {
		t.Errorf("decisions %+v, %v, want %+v", decisions, err, want)
	}
	if batch, ok := c.Next(minutes(1), random); ok {
		t.Errorf("a decided claim is appended again: %+v", batch)
	}
}

// Guards against appends that the log cannot bear: a second one in flight, one
// before the outcome of a lost one has been looked for, more than the budget,
// and one for a key that is owned already.
func TestAppendsAreHeldBack(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := NewCommitter(7, NewTable(testWindow), testWindow)
	c.SetEntries(3)
	first, second := Claim{pair(1, testStart), testStart}, Claim{pair(2, testStart), testStart}
	mayAppend := func(now time.Time, want bool) (batch Batch) {
		t.Helper()
		batch, got := c.Next(now, random)
		if got != want {
			t.Errorf("next: %v, want %v", got, want)
		}
		return batch
	}
	c.Add(testStart, first)
	batch := mayAppend(testStart, true)
	c.Add(testStart, second)
	mayAppend(minutes(1), false)
	if decisions := c.Appended(testStart, batch.Nonce, 1, nil); len(decisions) != 1 || decisions[0].Verdict != Won {
		t.Errorf("decisions %+v, want one without reading", decisions)
	}
	if decision, ok := c.Add(testStart, first); !ok || decision.Verdict != Won {
		t.Errorf("resubmission before the record is read: %+v, %v", decision, ok)
	}
	mayAppend(testStart.Add(9*time.Millisecond), false)
	now := testStart.Add(10 * time.Millisecond)
	lost := mayAppend(now, true)
	c.Appended(now, lost.Nonce, 0, errNoReply)
	mayAppend(minutes(1), false)
	if !c.MustRead() {
		t.Error("a lost response does not ask for a read")
	}
	c.Records(minutes(1), logclient.Page{First: 1, Next: 2, Records: []logclient.Record{{Offset: 1, Time: testStart, Data: batch.Data}}})
	again := mayAppend(minutes(1), true)
	if again.Nonce == lost.Nonce || again.Size != 1 {
		t.Errorf("batch %+v after %+v, want the same claim under a new nonce", again, lost)
	}
	record := logclient.Record{Offset: 2, Time: minutes(1), Data: again.Data}
	c.Records(minutes(1), logclient.Page{First: 1, Next: 3, Records: []logclient.Record{record}})
	if c.Appended(minutes(1), again.Nonce, 0, errNoReply); c.MustRead() {
		t.Error("a read is asked for although the record has been seen")
	}
}

// Guards against appends that flood a log that refuses them, and against claims
// that wait long after the log is back.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c, now := NewCommitter(7, NewTable(testWindow), testWindow), testStart
	c.Add(now, Claim{pair(1, now), now})
	for i, want := range []time.Duration{10, 20, 40, 80, 160, 320, 640, 1000, 1000} {
		batch, _ := c.Next(now, random)
		c.Appended(now, batch.Nonce, 0, errors.Mark(errNoReply, logclient.ErrNotAppended))
		if wait := c.NextAllowed().Sub(now); wait != want*time.Millisecond {
			t.Errorf("wait %v after %d refusals, want %d ms", wait, i+1, want)
		}
		now = c.NextAllowed()
	}
	batch, _ := c.Next(now, random)
	if decisions := c.Appended(now, batch.Nonce, 1, nil); len(decisions) != 1 || c.NextAllowed().Sub(now) != c.interval {
		t.Errorf("decisions %+v, next append in %v", decisions, c.NextAllowed().Sub(now))
	}
}

// FuzzDecodeRecord guards against records that make a reader panic, and
// against two readings of one record.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err != nil {
			if !errors.Is(err, ErrRecord) {
				t.Errorf("error without mark: %v", err)
			}
			return
		}
		again, err := DecodeRecord(encoded(t, record.Entry, record.Nonce, record.Pairs...))
		if err != nil || !reflect.DeepEqual(again, record) {
			t.Errorf("%+v became %+v, %v", record, again, err)
		}
	})
}
