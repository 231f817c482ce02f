package quota

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"pgregory.net/rapid"
)

const (
	testTeam  = "team"
	testQuota = 100.0
)

var start = time.Unix(1000, 0)

// testEntry is an entry with its own clock.
type testEntry struct {
	shares       *Shares
	id           wire.Incarnation
	clockOffset  time.Duration
	clockRate    float64
	knownEntries map[wire.Incarnation]bool
	demand       int
	stopped      bool
}

func (n *testEntry) now(elapsed time.Duration) time.Time {
	return start.Add(n.clockOffset + time.Duration(float64(elapsed)*n.clockRate))
}

func (n *testEntry) updateEntries(elapsed time.Duration) {
	var entries []wire.Incarnation
	for id := range n.knownEntries {
		entries = append(entries, id)
	}
	n.shares.SetEntries(n.now(elapsed), entries)
}

type envelope struct {
	from, to wire.Incarnation
	message  Message
}

// network is a set of entries whose messages are delayed, lost, repeated and
// reordered at random, which includes every partition.
type network struct {
	t       *rapid.T
	entries []*testEntry
	elapsed time.Duration
	sent    []envelope
}

func (w *network) entry(id wire.Incarnation) *testEntry { return w.entries[id-1] }

func (w *network) join(t *rapid.T) {
	if len(w.entries) == 5 {
		t.Skip("enough entries")
	}
	n := &testEntry{id: wire.Incarnation(len(w.entries) + 1), knownEntries: map[wire.Incarnation]bool{},
		demand:      300 * (len(w.entries) % 2),
		clockOffset: time.Duration(rapid.IntRange(0, 100000).Draw(t, "offset ms")) * time.Millisecond,
		clockRate:   rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "drift")}
	n.shares = New(n.now(w.elapsed), n.id)
	n.shares.SetQuotas(map[string]Quota{testTeam: {Rate: testQuota, Burst: testQuota}})
	w.entries = append(w.entries, n)
	for _, other := range w.entries {
		if !other.stopped {
			n.knownEntries[other.id] = true
		}
		other.knownEntries[n.id] = true
		other.updateEntries(w.elapsed)
	}
}

func (w *network) drawEntry(t *rapid.T) *testEntry {
	return rapid.SampledFrom(w.entries).Draw(t, "entry")
}

// stopEntry stops an entry without updating the lists of the others.
func (w *network) stopEntry(t *rapid.T) { w.drawEntry(t).stopped = true }

// removeStoppedEntry removes a stopped entry from the list of one other entry.
func (w *network) removeStoppedEntry(t *rapid.T) {
	n, other := w.drawEntry(t), w.drawEntry(t)
	if !other.stopped || n == other {
		t.Skip("nothing to forget")
	}
	delete(n.knownEntries, other.id)
	n.updateEntries(w.elapsed)
}

func (w *network) changeDemand(t *rapid.T) {
	w.drawEntry(t).demand = rapid.SampledFrom([]int{0, 20, 60, 300}).Draw(t, "demand")
}

func (w *network) report(t *rapid.T) {
	n, to := w.drawEntry(t), w.drawEntry(t)
	if n.stopped || n == to {
		t.Skip("no message")
	}
	w.sent = append(w.sent, envelope{n.id, to.id, n.shares.Report(n.now(w.elapsed), to.id)})
}

// round simulates one ReportInterval: every entry has its demand and reports to
// all others. A message that is cut off arrives later or never.
func (w *network) round(t *rapid.T) {
	w.elapsed += ReportInterval
	cut := rapid.SampledFrom(w.entries).Draw(t, "cut off")
	oneWay := rapid.Bool().Draw(t, "one way")
	isCut := rapid.IntRange(0, 2).Draw(t, "cut") == 0
	for _, a := range w.entries {
		if !a.stopped {
			a.shares.Take(a.now(w.elapsed), testTeam, a.demand/2)
		}
		for _, b := range w.entries {
			if a == b || a.stopped || b.stopped {
				continue
			}
			e := envelope{a.id, b.id, a.shares.Report(a.now(w.elapsed), b.id)}
			w.sent = append(w.sent, e)
			if !isCut || a != cut && (oneWay || b != cut) {
				b.shares.Receive(b.now(w.elapsed), a.id, e.message)
				w.check(t)
			}
		}
	}
}

func (w *network) redeliver(t *rapid.T) {
	if len(w.sent) == 0 {
		t.Skip("no message")
	}
	recent := w.sent[max(0, len(w.sent)-30):]
	e := rapid.SampledFrom(recent).Draw(t, "message")
	if to := w.entry(e.to); !to.stopped {
		to.shares.Receive(to.now(w.elapsed), e.from, e.message)
	}
}

func (w *network) check(t *rapid.T) {
	sum := 0.0
	for _, n := range w.entries {
		if !n.stopped {
			sum += n.shares.Rate(n.now(w.elapsed), testTeam)
		}
	}
	if sum > testQuota+1e-6 {
		t.Fatalf("the shares add up to %.3f, the quota is %.0f", sum, testQuota)
	}
}

// Guards against shares that add up to more than the quota under lost, late,
// repeated and reordered messages, partitions, paused entries, clocks that
// differ and drift, and entries that join and leave.
func TestSharesNeverExceedQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &network{t: t}
		w.join(t)
		w.join(t)
		t.Repeat(map[string]func(*rapid.T){
			"join": w.join, "leave": w.stopEntry, "forget": w.removeStoppedEntry, "want": w.changeDemand, "report": w.report,
			"round": w.round, "round again": w.round, "round once more": w.round, "deliver": w.redeliver,
			"wait": func(t *rapid.T) {
				w.elapsed += time.Duration(rapid.SampledFrom([]int{1, 50, 400, 1900, 2050}).Draw(t, "ms")) * time.Millisecond
			},
			"": w.check,
		})
	})
}

// Guards against a borrower that keeps a loan after the lender needs its share
// again, or after a partition separates the two.
func TestLoanEnds(t *testing.T) {
	a, b := New(start, 1), New(start, 2)
	for _, s := range []*Shares{a, b} {
		s.SetQuotas(map[string]Quota{testTeam: {Rate: testQuota, Burst: testQuota}})
		s.SetEntries(start, []wire.Incarnation{1, 2})
	}
	now := start
	step := func(connected bool, wantA, wantB int) {
		now = now.Add(ReportInterval)
		a.Take(now, testTeam, wantA)
		b.Take(now, testTeam, wantB)
		fromA, fromB := a.Report(now, 2), b.Report(now, 1)
		if connected {
			b.Receive(now, 1, fromA)
			a.Receive(now, 2, fromB)
		}
	}
	expect := func(situation string, wantA, wantB float64) {
		t.Helper()
		if gotA, gotB := a.Rate(now, testTeam), b.Rate(now, testTeam); gotA != wantA || gotB != wantB {
			t.Errorf("%s: rates %v and %v, want %v and %v", situation, gotA, gotB, wantA, wantB)
		}
	}
	for range 10 {
		step(true, 100, 0)
	}
	expect("idle lender", 100, 0)
	for range 10 {
		step(true, 100, 100)
	}
	expect("both busy", 50, 50)
	for range 10 {
		step(true, 100, 0)
	}
	for range 6 {
		step(false, 100, 0)
	}
	expect("partition", 50, 50)
}

// Guards against refusing forever a job that exceeds the share of one second,
// and against not charging the excess to later tasks.
func TestLargeJobLeavesDebt(t *testing.T) {
	s := New(start, 1)
	s.SetQuotas(map[string]Quota{testTeam: {Rate: testQuota, Burst: testQuota}})
	now := start.Add(lenderHoldTime)
	s.Take(now, testTeam, 0)
	now = now.Add(time.Second)
	if !s.Take(now, testTeam, 400) {
		t.Fatal("a job of 400 tasks was refused at a quota of 100/s")
	}
	if s.Take(now.Add(2900*time.Millisecond), testTeam, 1) {
		t.Error("a task was accepted before the job was paid off")
	}
	if !s.Take(now.Add(3100*time.Millisecond), testTeam, 1) {
		t.Error("a task was refused after the job was paid off")
	}
}
