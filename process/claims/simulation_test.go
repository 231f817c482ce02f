package claims

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

const (
	testWindow = 10 * time.Minute
	testKeys   = 4
	// maxSkew is half of the part of ClockMargin that is left for differences
	// between the clocks of entries and log.
	maxSkew = 30 * time.Second
)

// fakeLog stores every record, and serves the ones from firstRetained on.
type fakeLog struct {
	now           time.Time
	records       []logclient.Record
	firstRetained uint64
	// lateAppends holds records whose append takes effect later.
	lateAppends [][]byte
}

func (l *fakeLog) append(data []byte) uint64 {
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, logclient.Record{Offset: offset, Time: l.now, Data: data})
	return offset
}

// trim removes records that are older than the shortest retention time allowed.
func (l *fakeLog) trim() {
	for l.firstRetained <= uint64(len(l.records)) && l.records[l.firstRetained-1].Time.Before(l.now.Add(-2*testWindow)) {
		l.firstRetained++
	}
}

func (l *fakeLog) read(from uint64, count int) logclient.Page {
	page := logclient.Page{First: l.firstRetained, Next: uint64(len(l.records) + 1)}
	for offset := max(from, l.firstRetained); offset < page.Next && len(page.Records) < count; offset++ {
		page.Records = append(page.Records, l.records[offset-1])
	}
	return page
}

// testEntry is one entry process. A restart replaces it by one with a new
// incarnation.
type testEntry struct {
	self wire.Incarnation
	// skew is the difference between the clock of the entry and that of the
	// log.
	skew      time.Duration
	committer *Committer
	table     *Table
	// inFlight is the batch whose append has not ended, or nil.
	inFlight *Batch
	waiting  map[job.KeyHash]*claimCall
}

// claimCall is one call of Committer.Add in the history that porcupine checks.
type claimCall struct {
	pair  Pair
	begin int64
	entry *testEntry
}

// simulation runs several entries against one log in virtual time, with random
// faults.
type simulation struct {
	log             *fakeLog
	random          *rand.Rand
	entries         []*testEntry
	lastIncarnation wire.Incarnation
	// runners maps each submission to the entry incarnation whose claim won.
	runners map[Pair]wire.Incarnation
	// step counts the calls and returns in history, which it orders.
	step    int64
	history []porcupine.Operation
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{log: &fakeLog{now: time.Unix(1_000_000, 0), firstRetained: 1},
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), runners: make(map[Pair]wire.Incarnation)}
	for range rapid.IntRange(2, 4).Draw(t, "entries") {
		sim.entries = append(sim.entries, nil)
	}
	for i := range sim.entries {
		sim.startEntry(t, i)
	}
	return sim
}

// startEntry replaces entry i by a new incarnation that has read the log to its
// end.
func (sim *simulation) startEntry(t *rapid.T, i int) {
	sim.lastIncarnation++
	table := NewTable(testWindow)
	e := &testEntry{self: sim.lastIncarnation, table: table, committer: NewCommitter(sim.lastIncarnation, table, testWindow),
		skew: time.Duration(rapid.Int64Range(int64(-maxSkew), int64(maxSkew)).Draw(t, "skew")), waiting: make(map[job.KeyHash]*claimCall)}
	sim.entries[i] = e
	sim.read(t, e, len(sim.log.records)+1)
}

func (sim *simulation) pickEntry(t *rapid.T) *testEntry {
	return sim.entries[rapid.IntRange(0, len(sim.entries)-1).Draw(t, "entry")]
}

// pair returns a key with a body, and thus a digest, that depends on the time
// of submission.
func pair(key int, submitted time.Time) Pair {
	var p Pair
	p.Key[0] = byte(key)
	binary.BigEndian.PutUint64(p.Digest[:], uint64(submitted.UnixNano()))
	return p
}

// add submits or resubmits, within the limits on submission times that
// job.Parse checks.
func (sim *simulation) add(t *rapid.T, submissionGrid time.Duration) {
	e := sim.pickEntry(t)
	now := sim.log.now.Add(e.skew)
	// Rounding the submission times makes resubmissions of the same body likely.
	submitted := now.Add(job.MaxClockSkew).Truncate(submissionGrid)
	if now.Sub(submitted) > testWindow {
		return
	}
	p := pair(rapid.IntRange(1, testKeys).Draw(t, "key"), submitted)
	if _, busy := e.waiting[p.Key]; busy {
		return
	}
	sim.step++
	c := &claimCall{p, sim.step, e}
	if decision, ok := e.committer.Add(now, Claim{p, submitted}); ok {
		sim.recordDecision(t, c, decision)
		return
	}
	e.waiting[p.Key] = c
}

func (sim *simulation) recordDecisions(t *rapid.T, e *testEntry, decisions []Decision) {
	for _, decision := range decisions {
		c, ok := e.waiting[decision.Key]
		if !ok {
			t.Fatalf("entry %s: decision %+v for a claim that is not waiting", e.self, decision)
		}
		delete(e.waiting, decision.Key)
		sim.recordDecision(t, c, decision)
	}
}

func (sim *simulation) recordDecision(t *rapid.T, c *claimCall, decision Decision) {
	sim.step++
	sim.history = append(sim.history, porcupine.Operation{ClientId: int(c.entry.self), Input: c,
		Call: c.begin, Output: decision, Return: sim.step})
	if decision.Result != Won {
		return
	}
	if runner, ok := sim.runners[c.pair]; ok && runner != c.entry.self {
		t.Fatalf("submission %x: run by entries %s and %s", c.pair, runner, c.entry.self)
	}
	sim.runners[c.pair] = c.entry.self
	if owner := sim.owner(c.pair.Key); owner.Entry != c.entry.self || owner.Digest != c.pair.Digest {
		t.Fatalf("entry %s runs %x, the owner by the log is %+v", c.entry.self, c.pair, owner)
	}
}

// owner computes the owner of a key from the whole log, record by record.
func (sim *simulation) owner(key job.KeyHash) (owner Owner) {
	for _, r := range sim.log.records {
		record, err := DecodeRecord(r.Data)
		if err != nil {
			continue
		}
		for _, p := range record.Pairs {
			if p.Key == key && (owner.Entry == 0 || r.Time.After(owner.ExpiresAt)) {
				owner = Owner{Entry: record.Entry, Digest: p.Digest, ExpiresAt: r.Time.Add(2 * testWindow)}
			}
		}
	}
	return owner
}

func (sim *simulation) next(t *rapid.T) {
	e := sim.pickEntry(t)
	if e.inFlight != nil {
		return
	}
	if batch, ok := e.committer.NextBatch(sim.log.now.Add(e.skew), sim.random); ok {
		e.inFlight = &batch
	}
}

// finishAppend ends an append in one of the ways that section 2 of the design
// document lists.
func (sim *simulation) finishAppend(t *rapid.T) {
	e := sim.pickEntry(t)
	if e.inFlight == nil {
		return
	}
	var offset uint64
	err := errors.New("response lost")
	switch rapid.SampledFrom([]string{"ok", "ok", "lost", "late", "nothing", "refused"}).Draw(t, "append result") {
	case "ok":
		offset, err = sim.log.append(e.inFlight.Data), nil
	case "lost":
		sim.log.append(e.inFlight.Data)
	case "late":
		sim.log.lateAppends = append(sim.log.lateAppends, e.inFlight.Data)
	case "refused":
		err = errors.Mark(err, logclient.ErrNotAppended)
	}
	// The response may arrive after a read that returns the record.
	if rapid.Bool().Draw(t, "read first") {
		sim.read(t, e, 3)
	}
	decisions := e.committer.HandleAppendResult(sim.log.now.Add(e.skew), e.inFlight.Nonce, offset, err)
	e.inFlight = nil
	sim.recordDecisions(t, e, decisions)
}

// appendLate lets a late append take effect.
func (sim *simulation) appendLate(t *rapid.T) {
	if n := len(sim.log.lateAppends); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(t, "late")
		sim.log.append(sim.log.lateAppends[i])
		sim.log.lateAppends = append(sim.log.lateAppends[:i:i], sim.log.lateAppends[i+1:]...)
	}
}

func (sim *simulation) read(t *rapid.T, e *testEntry, count int) {
	page := sim.log.read(e.table.NextOffset(), count)
	decisions, err := e.committer.ApplyPage(sim.log.now.Add(e.skew), page)
	if err != nil && !errors.Is(err, ErrInvalidRecord) {
		t.Fatalf("entry %s: %v", e.self, err)
	}
	sim.recordDecisions(t, e, decisions)
}

func (sim *simulation) withdraw(t *rapid.T) {
	e := sim.pickEntry(t)
	for key := 1; key <= testKeys; key++ {
		p := pair(key, time.Time{})
		if c, ok := e.waiting[p.Key]; ok {
			e.committer.Withdraw(p.Key)
			delete(e.waiting, p.Key)
			sim.recordUnknownResult(c)
			return
		}
	}
}

// recordUnknownResult adds a claim to the history whose result no caller
// received.
func (sim *simulation) recordUnknownResult(c *claimCall) {
	sim.history = append(sim.history, porcupine.Operation{ClientId: int(c.entry.self), Input: c,
		Call: c.begin, Output: Decision{}, Return: int64(1) << 40})
}

// restart replaces an entry. An append in flight may still take effect later.
func (sim *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(sim.entries)-1).Draw(t, "entry")
	for _, c := range sim.entries[i].waiting {
		sim.recordUnknownResult(c)
	}
	if f := sim.entries[i].inFlight; f != nil && rapid.Bool().Draw(t, "append continues") {
		sim.log.lateAppends = append(sim.log.lateAppends, f.Data)
	}
	sim.startEntry(t, i)
}

// checkReadersAgree compares the owners that are not uncertain, key by key,
// between readers that have applied the same records.
func (sim *simulation) checkReadersAgree(t *rapid.T) {
	for i, a := range sim.entries {
		for _, b := range sim.entries[:i] {
			for key := 1; key <= testKeys && a.table.NextOffset() == b.table.NextOffset(); key++ {
				hash := pair(key, time.Time{}).Key
				x, inX := a.table.Owner(hash)
				y, inY := b.table.Owner(hash)
				if inX && inY && !x.Uncertain && !y.Uncertain && x.Entry != y.Entry {
					t.Fatalf("key %d: owner %+v for entry %s, %+v for entry %s", key, x, a.self, y, b.self)
				}
			}
		}
	}
}

// actions returns the steps that rapid combines, and the check after each step
// under the empty name. Submission times are rounded to submissionGrid; time
// advances by one of steps.
func (sim *simulation) actions(submissionGrid time.Duration, steps ...time.Duration) map[string]func(*rapid.T) {
	readOne := func(t *rapid.T) { sim.read(t, sim.pickEntry(t), rapid.IntRange(1, 3).Draw(t, "count")) }
	return map[string]func(*rapid.T){
		"add": func(t *rapid.T) { sim.add(t, submissionGrid) }, "add more": func(t *rapid.T) { sim.add(t, submissionGrid) },
		"next": sim.next, "finish append": sim.finishAppend, "finish append more": sim.finishAppend, "take effect late": sim.appendLate,
		"read": readOne, "read to the end": func(t *rapid.T) { sim.read(t, sim.pickEntry(t), 1000) },
		"withdraw": sim.withdraw, "restart": sim.restart,
		"pass time": func(t *rapid.T) {
			sim.log.now = sim.log.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
			sim.log.trim()
		},
		"": sim.checkReadersAgree,
	}
}

// Guards against two entries that run the same submission, and against readers
// that disagree on an owner, under any combination of concurrent entries, lost
// responses, late appends, withdrawn claims, restarts, long outages of the log,
// trimmed records and differing clocks.
func TestOneOwnerPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.actions(5*time.Minute, time.Second, time.Minute, 7*time.Minute, 19*time.Minute, 45*time.Minute))
		sim.drain(t)
	})
}

// drain lets every append and read succeed. It fails the test if a claim has no
// decision afterwards.
func (sim *simulation) drain(t *rapid.T) {
	for range 4 {
		sim.log.now = sim.log.now.Add(maxBackoff)
		for _, e := range sim.entries {
			now := sim.log.now.Add(e.skew)
			if batch, ok := e.committer.NextBatch(now, sim.random); ok {
				e.inFlight = &batch
			}
			if e.inFlight != nil {
				nonce, offset := e.inFlight.Nonce, sim.log.append(e.inFlight.Data)
				e.inFlight = nil
				sim.recordDecisions(t, e, e.committer.HandleAppendResult(now, nonce, offset, nil))
			}
			sim.read(t, e, len(sim.log.records))
		}
	}
	for _, e := range sim.entries {
		if len(e.waiting) > 0 || e.committer.Waiting() > 0 {
			t.Fatalf("entry %s: %d claims without a decision", e.self, e.committer.Waiting())
		}
	}
}

// keyModel is the model of one key without expiry: the first claim to take
// effect owns it. A claim with an unknown result is legal with any owner.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, testKeys)
		for _, op := range history {
			key := op.Input.(*claimCall).pair.Key[0]
			parts[key-1] = append(parts[key-1], op)
		}
		return parts
	},
	Init: func() any { return wire.Incarnation(0) },
	Step: func(state, input, output any) (bool, any) {
		owner := state.(wire.Incarnation)
		if owner == 0 {
			owner = input.(*claimCall).entry.self
		}
		decision := output.(Decision)
		return decision.Result == 0 || decision.Owner == owner, owner
	},
}

// withoutIrrelevantClaims drops claims with an unknown result that cannot
// affect the check, because the search takes time exponential in their number:
// those of entries that no decision names as the owner, and all but the
// earliest of an entry for a key. It also returns the number of decisions.
func withoutIrrelevantClaims(history []porcupine.Operation) (kept []porcupine.Operation, decisions int) {
	type claimant struct {
		key   job.KeyHash
		entry wire.Incarnation
	}
	owners, earliest := map[claimant]bool{}, map[claimant]int64{}
	claimantOf := func(op porcupine.Operation) claimant {
		c := op.Input.(*claimCall)
		return claimant{c.pair.Key, c.entry.self}
	}
	for _, op := range history {
		if d := op.Output.(Decision); d.Result != 0 {
			decisions++
			owners[claimant{d.Key, d.Owner}] = true
		} else if begin, ok := earliest[claimantOf(op)]; !ok || op.Call < begin {
			earliest[claimantOf(op)] = op.Call
		}
	}
	for _, op := range history {
		if op.Output.(Decision).Result != 0 || owners[claimantOf(op)] && earliest[claimantOf(op)] == op.Call {
			kept = append(kept, op)
		}
	}
	return kept, decisions
}

// Guards against decisions that no single order of claims explains, for example
// an owner that is reported and later replaced.
func TestClaimsAreLinearizable(t *testing.T) {
	decided := 0
	defer func() {
		if decided == 0 {
			t.Error("no history contains a decision, so the check could not fail")
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		// Submission times rounded to the hour give every submission of a key the
		// same body. The run starts at a full hour and ends long before the
		// dedupe window has passed.
		sim.log.now = sim.log.now.Truncate(time.Hour)
		t.Repeat(sim.actions(time.Hour, time.Millisecond, 20*time.Millisecond))
		for _, e := range sim.entries {
			for _, c := range e.waiting {
				sim.recordUnknownResult(c)
			}
		}
		history, count := withoutIrrelevantClaims(sim.history)
		decided += count
		if !porcupine.CheckOperations(keyModel, history) {
			t.Fatalf("history is not linearizable: %s", fmt.Sprint(sim.history))
		}
	})
}
