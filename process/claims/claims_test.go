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
	testStart       = time.Unix(1_000_000, 0)
	errResponseLost = errors.New("response lost")
)

// TestMain raises the default number of checks and steps: some faults of the
// committer show only in one of about a thousand runs.
func TestMain(m *testing.M) {
	flag.Set("rapid.checks", "3000")
	flag.Set("rapid.steps", "60")
	flag.Parse()
	os.Exit(m.Run())
}

// encodeRecord returns the encoded form of a record of the given pairs.
func encodeRecord(t testing.TB, entry wire.Incarnation, nonce uint64, pairs ...Pair) []byte {
	data, err := EncodeRecord(Record{Entry: entry, Nonce: nonce, Pairs: pairs})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func minutesAfterStart(n int) time.Time { return testStart.Add(time.Duration(n) * time.Minute) }

// Guards against a reader that started after the first claim was trimmed and
// returns no owner, or a certain one, while readers of the whole log have
// another owner: claim 2 lost against the trimmed claim 1, and claim 3 won
// after claim 1 had expired.
func TestClaimAfterTrimmedRecordExtendsUncertainOwner(t *testing.T) {
	key := pair(1, testStart)
	records := []logclient.Record{
		{Offset: 1, Time: minutesAfterStart(0), Data: encodeRecord(t, 1, 1, key)},
		{Offset: 2, Time: minutesAfterStart(19), Data: encodeRecord(t, 2, 1, key)},
		{Offset: 3, Time: minutesAfterStart(31), Data: encodeRecord(t, 3, 1, key)},
		{Offset: 4, Time: minutesAfterStart(40), Data: encodeRecord(t, 4, 1, key)},
	}
	fullReader, lateReader := NewTable(testWindow), NewTable(testWindow)
	lateReader.SkipTrimmed(2, 4)
	for _, r := range records {
		fullReader.Apply(r.Offset, r.Time, r.Data)
		lateReader.Apply(r.Offset, r.Time, r.Data)
	}
	if owner, _ := fullReader.Owner(key.Key); owner.Entry != 3 || owner.Uncertain {
		t.Errorf("full log: owner %+v, want 3", owner)
	}
	if owner, ok := lateReader.Owner(key.Key); !ok || !owner.Uncertain {
		t.Errorf("trimmed log: owner %+v, %v, want an uncertain one", owner, ok)
	}
}

// Guards against an entry that decides that it owns a key although a trimmed
// record may hold an earlier claim of it.
func TestOwnUncertainClaimIsUndecided(t *testing.T) {
	claim := Claim{pair(1, testStart), testStart}
	inFlight := func() (*Committer, Batch) {
		c := NewCommitter(7, NewTable(testWindow), testWindow)
		c.Add(testStart, claim)
		batch, _ := c.NextBatch(testStart, rand.New(rand.NewPCG(1, 1)))
		return c, batch
	}
	c, batch := inFlight()
	page := logclient.Page{First: 5, Next: 6, Records: []logclient.Record{{Offset: 5, Time: testStart, Data: batch.Data}}}
	decisions, err := c.ApplyPage(testStart, page)
	if err != nil || len(decisions) != 1 || decisions[0].Result != Undecided {
		t.Errorf("read after a gap: %+v, %v, want undecided", decisions, err)
	}
	c, batch = inFlight()
	c.ApplyPage(testStart, logclient.Page{First: 5, Next: 6})
	if decisions := c.HandleAppendResult(testStart, batch.Nonce, 5, nil); len(decisions) != 0 {
		t.Errorf("appended after a gap: %+v, want no decision", decisions)
	}
}

// Guards against a decision from the offset alone when an earlier owner has
// expired by the clock of the entry, but not yet by that of the log.
func TestOwnerExpiresByLogTime(t *testing.T) {
	table := NewTable(testWindow)
	c := NewCommitter(7, table, testWindow)
	earlier := logclient.Record{Offset: 1, Time: testStart, Data: encodeRecord(t, 1, 1, pair(1, testStart))}
	c.ApplyPage(testStart, logclient.Page{First: 1, Next: 2, Records: []logclient.Record{earlier}})
	now := minutesAfterStart(20).Add(10 * time.Second)
	claim := Claim{pair(1, now), now}
	c.Add(now, claim)
	batch, ok := c.NextBatch(now, rand.New(rand.NewPCG(1, 1)))
	if decisions := c.HandleAppendResult(now, batch.Nonce, 2, nil); !ok || len(decisions) != 0 {
		t.Errorf("decisions %+v before the record is read", decisions)
	}
	own := logclient.Record{Offset: 2, Time: minutesAfterStart(20).Add(-time.Second), Data: batch.Data}
	decisions, _ := c.ApplyPage(now, logclient.Page{First: 1, Next: 3, Records: []logclient.Record{own}})
	if want := []Decision{{claim.Key, Conflict, 1}}; !reflect.DeepEqual(decisions, want) {
		t.Errorf("decisions %+v, want %+v", decisions, want)
	}
}

// Guards against ignoring the record of a withdrawn claim that appears late in
// the log: the key would have an owner that never runs the resubmission.
func TestWithdrawnClaimAppendedLate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := NewCommitter(7, NewTable(testWindow), testWindow)
	claim := Claim{pair(1, testStart), testStart}
	c.Add(testStart, claim)
	batch, _ := c.NextBatch(testStart, random)
	c.HandleAppendResult(testStart, batch.Nonce, 0, errResponseLost)
	if !c.Withdraw(claim.Key) || c.Withdraw(claim.Key) || c.Waiting() != 0 {
		t.Error("the claim was not withdrawn once")
	}
	c.ApplyPage(testStart, logclient.Page{First: 1, Next: 1})
	c.Add(testStart, claim)
	record := logclient.Record{Offset: 1, Time: testStart, Data: batch.Data}
	decisions, err := c.ApplyPage(testStart, logclient.Page{First: 1, Next: 2, Records: []logclient.Record{record}})
	if want := []Decision{{claim.Key, Won, 7}}; err != nil || !reflect.DeepEqual(decisions, want) {
		t.Errorf("decisions %+v, %v, want %+v", decisions, err, want)
	}
	if batch, ok := c.NextBatch(minutesAfterStart(1), random); ok {
		t.Errorf("a decided claim is appended again: %+v", batch)
	}
}

// Guards against appends that overload the log or are useless: a second one in
// flight, one before the stream was read to find out whether an unconfirmed one
// took effect, more than the append rate allows, and one for a key that is
// owned already.
func TestAppendLimits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := NewCommitter(7, NewTable(testWindow), testWindow)
	c.SetEntries(3)
	first, second := Claim{pair(1, testStart), testStart}, Claim{pair(2, testStart), testStart}
	expectNext := func(now time.Time, want bool) (batch Batch) {
		t.Helper()
		batch, got := c.NextBatch(now, random)
		if got != want {
			t.Errorf("next: %v, want %v", got, want)
		}
		return batch
	}
	c.Add(testStart, first)
	batch := expectNext(testStart, true)
	c.Add(testStart, second)
	expectNext(minutesAfterStart(1), false)
	if decisions := c.HandleAppendResult(testStart, batch.Nonce, 1, nil); len(decisions) != 1 || decisions[0].Result != Won {
		t.Errorf("decisions %+v, want one without reading", decisions)
	}
	if decision, ok := c.Add(testStart, first); !ok || decision.Result != Won {
		t.Errorf("resubmission before the record is read: %+v, %v", decision, ok)
	}
	expectNext(testStart.Add(9*time.Millisecond), false)
	now := testStart.Add(10 * time.Millisecond)
	lost := expectNext(now, true)
	c.HandleAppendResult(now, lost.Nonce, 0, errResponseLost)
	expectNext(minutesAfterStart(1), false)
	if !c.ReadRequired() {
		t.Error("no read is required after a lost response")
	}
	c.ApplyPage(minutesAfterStart(1), logclient.Page{First: 1, Next: 2, Records: []logclient.Record{{Offset: 1, Time: testStart, Data: batch.Data}}})
	again := expectNext(minutesAfterStart(1), true)
	if again.Nonce == lost.Nonce || again.Size != 1 {
		t.Errorf("batch %+v after %+v, want the same claim under a new nonce", again, lost)
	}
	record := logclient.Record{Offset: 2, Time: minutesAfterStart(1), Data: again.Data}
	c.ApplyPage(minutesAfterStart(1), logclient.Page{First: 1, Next: 3, Records: []logclient.Record{record}})
	if c.HandleAppendResult(minutesAfterStart(1), again.Nonce, 0, errResponseLost); c.ReadRequired() {
		t.Error("a read is required although the record has been read")
	}
}

// Guards against a high rate of appends to a log that refuses them, and against
// claims that wait long after the log accepts appends again.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c, now := NewCommitter(7, NewTable(testWindow), testWindow), testStart
	c.Add(now, Claim{pair(1, now), now})
	for i, want := range []time.Duration{10, 20, 40, 80, 160, 320, 640, 1000, 1000} {
		batch, _ := c.NextBatch(now, random)
		c.HandleAppendResult(now, batch.Nonce, 0, errors.Mark(errResponseLost, logclient.ErrNotAppended))
		if wait := c.NextAppendAt().Sub(now); wait != want*time.Millisecond {
			t.Errorf("wait %v after %d refusals, want %d ms", wait, i+1, want)
		}
		now = c.NextAppendAt()
	}
	batch, _ := c.NextBatch(now, random)
	if decisions := c.HandleAppendResult(now, batch.Nonce, 1, nil); len(decisions) != 1 || c.NextAppendAt().Sub(now) != c.appendInterval {
		t.Errorf("decisions %+v, next append in %v", decisions, c.NextAppendAt().Sub(now))
	}
}

// FuzzDecodeRecord guards against records that make a reader panic, and against
// records that change when they are encoded and decoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err != nil {
			if !errors.Is(err, ErrInvalidRecord) {
				t.Errorf("error is not marked ErrInvalidRecord: %v", err)
			}
			return
		}
		again, err := DecodeRecord(encodeRecord(t, record.Entry, record.Nonce, record.Pairs...))
		if err != nil || !reflect.DeepEqual(again, record) {
			t.Errorf("%+v decoded again as %+v, %v", record, again, err)
		}
	})
}
