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
	// maxSkew is half of the part of ClockMargin that is left to clocks.
	maxSkew = 30 * time.Second
)

// fakeLog keeps every record, and serves those that it retains.
type fakeLog struct {
	now     time.Time
	records []logclient.Record
	first   uint64
	late    [][]byte
}

func (l *fakeLog) append(data []byte) uint64 {
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, logclient.Record{Offset: offset, Time: l.now, Data: data})
	return offset
}

// trim removes what is older than the shortest retention time allowed.
func (l *fakeLog) trim() {
	for l.first <= uint64(len(l.records)) && l.records[l.first-1].Time.Before(l.now.Add(-2*testWindow)) {
		l.first++
	}
}

func (l *fakeLog) read(from uint64, count int) logclient.Page {
	page := logclient.Page{First: l.first, Next: uint64(len(l.records) + 1)}
	for offset := max(from, l.first); offset < page.Next && len(page.Records) < count; offset++ {
		page.Records = append(page.Records, l.records[offset-1])
	}
	return page
}

// testEntry is one entry process; a restart replaces it.
type testEntry struct {
	self      wire.Incarnation
	skew      time.Duration
	committer *Committer
	table     *Table
	flight    *Batch
	waiting   map[job.KeyHash]*call
}

// call is one claim in the history that porcupine checks.
type call struct {
	pair  Pair
	begin int64
	entry *testEntry
}

type machine struct {
	log     *fakeLog
	random  *rand.Rand
	entries []*testEntry
	started wire.Incarnation
	// runs holds who was told to run each submission.
	runs    map[Pair]wire.Incarnation
	step    int64
	history []porcupine.Operation
}

func newMachine(t *rapid.T) *machine {
	m := &machine{log: &fakeLog{now: time.Unix(1_000_000, 0), first: 1},
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), runs: make(map[Pair]wire.Incarnation)}
	for range rapid.IntRange(2, 4).Draw(t, "entries") {
		m.entries = append(m.entries, nil)
	}
	for i := range m.entries {
		m.start(t, i)
	}
	return m
}

func (m *machine) start(t *rapid.T, i int) {
	m.started++
	table := NewTable(testWindow)
	e := &testEntry{self: m.started, table: table, committer: NewCommitter(m.started, table, testWindow),
		skew: time.Duration(rapid.Int64Range(int64(-maxSkew), int64(maxSkew)).Draw(t, "skew")), waiting: make(map[job.KeyHash]*call)}
	m.entries[i] = e
	m.read(t, e, len(m.log.records)+1)
}

func (m *machine) pick(t *rapid.T) *testEntry {
	return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")]
}

// pair gives each key a body, and with it a digest, per time of submission.
func pair(key int, submitted time.Time) Pair {
	var p Pair
	p.Key[0] = byte(key)
	binary.BigEndian.PutUint64(p.Digest[:], uint64(submitted.UnixNano()))
	return p
}

// add submits, or resubmits, within the limits that job.Parse sets.
func (m *machine) add(t *rapid.T, grid time.Duration) {
	e := m.pick(t)
	now := m.log.now.Add(e.skew)
	// A grid of submission times makes resubmissions of the same body likely.
	submitted := now.Add(job.MaxClockSkew).Truncate(grid)
	if now.Sub(submitted) > testWindow {
		return
	}
	p := pair(rapid.IntRange(1, testKeys).Draw(t, "key"), submitted)
	if _, busy := e.waiting[p.Key]; busy {
		return
	}
	m.step++
	c := &call{p, m.step, e}
	if decision, ok := e.committer.Add(now, Claim{p, submitted}); ok {
		m.decided(t, c, decision)
		return
	}
	e.waiting[p.Key] = c
}

func (m *machine) decisions(t *rapid.T, e *testEntry, decisions []Decision) {
	for _, decision := range decisions {
		c, ok := e.waiting[decision.Key]
		if !ok {
			t.Fatalf("entry %s: decision %+v for a claim that does not wait", e.self, decision)
		}
		delete(e.waiting, decision.Key)
		m.decided(t, c, decision)
	}
}

func (m *machine) decided(t *rapid.T, c *call, decision Decision) {
	m.step++
	m.history = append(m.history, porcupine.Operation{ClientId: int(c.entry.self), Input: c,
		Call: c.begin, Output: decision, Return: m.step})
	if decision.Verdict != Won {
		return
	}
	if runner, ok := m.runs[c.pair]; ok && runner != c.entry.self {
		t.Fatalf("submission %x: run by entries %s and %s", c.pair, runner, c.entry.self)
	}
	m.runs[c.pair] = c.entry.self
	if owner := m.owner(c.pair.Key); owner.Entry != c.entry.self || owner.Digest != c.pair.Digest {
		t.Fatalf("entry %s runs %x, the log says %+v", c.entry.self, c.pair, owner)
	}
}

// owner is the owner of a key by the whole log, computed record by record.
func (m *machine) owner(key job.KeyHash) (owner Owner) {
	for _, r := range m.log.records {
		record, err := DecodeRecord(r.Data)
		if err != nil {
			continue
		}
		for _, p := range record.Pairs {
			if p.Key == key && (owner.Entry == 0 || r.Time.After(owner.Until)) {
				owner = Owner{Entry: record.Entry, Digest: p.Digest, Until: r.Time.Add(2 * testWindow)}
			}
		}
	}
	return owner
}

func (m *machine) next(t *rapid.T) {
	e := m.pick(t)
	if e.flight != nil {
		return
	}
	if batch, ok := e.committer.Next(m.log.now.Add(e.skew), m.random); ok {
		e.flight = &batch
	}
}

// land ends an append in one of the ways that section 2 of the design lists.
func (m *machine) land(t *rapid.T) {
	e := m.pick(t)
	if e.flight == nil {
		return
	}
	var offset uint64
	err := errors.New("response lost")
	switch rapid.SampledFrom([]string{"ok", "ok", "lost", "late", "nothing", "refused"}).Draw(t, "fate") {
	case "ok":
		offset, err = m.log.append(e.flight.Data), nil
	case "lost":
		m.log.append(e.flight.Data)
	case "late":
		m.log.late = append(m.log.late, e.flight.Data)
	case "refused":
		err = errors.Mark(err, logclient.ErrNotAppended)
	}
	// The response may be slower than a read that shows the record.
	if rapid.Bool().Draw(t, "read first") {
		m.read(t, e, 3)
	}
	decisions := e.committer.Appended(m.log.now.Add(e.skew), e.flight.Nonce, offset, err)
	e.flight = nil
	m.decisions(t, e, decisions)
}

func (m *machine) surface(t *rapid.T) {
	if n := len(m.log.late); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(t, "late")
		m.log.append(m.log.late[i])
		m.log.late = append(m.log.late[:i:i], m.log.late[i+1:]...)
	}
}

func (m *machine) read(t *rapid.T, e *testEntry, count int) {
	page := m.log.read(e.table.Next(), count)
	decisions, err := e.committer.Records(m.log.now.Add(e.skew), page)
	if err != nil && !errors.Is(err, ErrRecord) {
		t.Fatalf("entry %s: %v", e.self, err)
	}
	m.decisions(t, e, decisions)
}

func (m *machine) withdraw(t *rapid.T) {
	e := m.pick(t)
	for key := 1; key <= testKeys; key++ {
		p := pair(key, time.Time{})
		if c, ok := e.waiting[p.Key]; ok {
			e.committer.Withdraw(p.Key)
			delete(e.waiting, p.Key)
			m.open(c)
			return
		}
	}
}

// open adds a claim whose result nobody learnt to the history.
func (m *machine) open(c *call) {
	m.history = append(m.history, porcupine.Operation{ClientId: int(c.entry.self), Input: c,
		Call: c.begin, Output: Decision{}, Return: int64(1) << 40})
}

func (m *machine) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")
	for _, c := range m.entries[i].waiting {
		m.open(c)
	}
	if f := m.entries[i].flight; f != nil && rapid.Bool().Draw(t, "append continues") {
		m.log.late = append(m.log.late, f.Data)
	}
	m.start(t, i)
}

// check compares the owners that readers take for certain, key by key, among
// readers that have applied the same records.
func (m *machine) check(t *rapid.T) {
	for i, a := range m.entries {
		for _, b := range m.entries[:i] {
			for key := 1; key <= testKeys && a.table.Next() == b.table.Next(); key++ {
				hash := pair(key, time.Time{}).Key
				x, inX := a.table.Owner(hash)
				y, inY := b.table.Owner(hash)
				if inX && inY && !x.Doubtful && !y.Doubtful && x.Entry != y.Entry {
					t.Fatalf("key %d: owner %+v for entry %s, %+v for entry %s", key, x, a.self, y, b.self)
				}
			}
		}
	}
}

func (m *machine) actions(grid time.Duration, steps ...time.Duration) map[string]func(*rapid.T) {
	readOne := func(t *rapid.T) { m.read(t, m.pick(t), rapid.IntRange(1, 3).Draw(t, "count")) }
	return map[string]func(*rapid.T){
		"add": func(t *rapid.T) { m.add(t, grid) }, "add more": func(t *rapid.T) { m.add(t, grid) },
		"next": m.next, "land": m.land, "land more": m.land, "surface": m.surface,
		"read": readOne, "read to the end": func(t *rapid.T) { m.read(t, m.pick(t), 1000) },
		"withdraw": m.withdraw, "restart": m.restart,
		"pass time": func(t *rapid.T) {
			m.log.now = m.log.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
			m.log.trim()
		},
		"": m.check,
	}
}

// Guards against two entries that run the same submission, and against readers
// that disagree on an owner, whatever happens to appends: several entries at
// once, lost answers, late effects, withdrawn claims, restarts, a log that
// takes nothing for long, trimmed records and clocks that differ.
func TestOneOwnerPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions(5*time.Minute, time.Second, time.Minute, 7*time.Minute, 19*time.Minute, 45*time.Minute))
		m.drain(t)
	})
}

// drain lets every append and read succeed. It fails if a claim stays without
// a decision although the log works again.
func (m *machine) drain(t *rapid.T) {
	for range 4 {
		m.log.now = m.log.now.Add(maxBackoff)
		for _, e := range m.entries {
			now := m.log.now.Add(e.skew)
			if batch, ok := e.committer.Next(now, m.random); ok {
				e.flight = &batch
			}
			if e.flight != nil {
				nonce, offset := e.flight.Nonce, m.log.append(e.flight.Data)
				e.flight = nil
				m.decisions(t, e, e.committer.Appended(now, nonce, offset, nil))
			}
			m.read(t, e, len(m.log.records))
		}
	}
	for _, e := range m.entries {
		if len(e.waiting) > 0 || e.committer.Waiting() > 0 {
			t.Fatalf("entry %s: %d claims without a decision", e.self, e.committer.Waiting())
		}
	}
}

// keyModel is one key without expiry: the first claim to take effect owns it.
// A claim whose result nobody learnt is legal with any owner.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, testKeys)
		for _, op := range history {
			key := op.Input.(*call).pair.Key[0]
			parts[key-1] = append(parts[key-1], op)
		}
		return parts
	},
	Init: func() any { return wire.Incarnation(0) },
	Step: func(state, input, output any) (bool, any) {
		owner := state.(wire.Incarnation)
		if owner == 0 {
			owner = input.(*call).entry.self
		}
		decision := output.(Decision)
		return decision.Verdict == 0 || decision.Owner == owner, owner
	},
}

// withoutIdleClaims drops claims without a result that cannot matter, because the
// search takes time exponential in their number: those of entries that no
// decision names as the owner, and all but the earliest of an entry. It returns
// the number of decisions too.
func withoutIdleClaims(history []porcupine.Operation) (kept []porcupine.Operation, decisions int) {
	type claimant struct {
		key   job.KeyHash
		entry wire.Incarnation
	}
	owners, earliest := map[claimant]bool{}, map[claimant]int64{}
	of := func(op porcupine.Operation) claimant {
		c := op.Input.(*call)
		return claimant{c.pair.Key, c.entry.self}
	}
	for _, op := range history {
		if d := op.Output.(Decision); d.Verdict != 0 {
			decisions++
			owners[claimant{d.Key, d.Owner}] = true
		} else if begin, ok := earliest[of(op)]; !ok || op.Call < begin {
			earliest[of(op)] = op.Call
		}
	}
	for _, op := range history {
		if op.Output.(Decision).Verdict != 0 || owners[of(op)] && earliest[of(op)] == op.Call {
			kept = append(kept, op)
		}
	}
	return kept, decisions
}

// Guards against decisions that cannot be explained by one order of claims,
// for example an owner that is seen and later replaced.
func TestClaimsAreLinearizable(t *testing.T) {
	decided := 0
	defer func() {
		if decided == 0 {
			t.Error("no history held a decision, so the check could not fail")
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		// The grid of an hour gives every submission of a key the same body. The
		// run lasts far less than the window after the full hour.
		m.log.now = m.log.now.Truncate(time.Hour)
		t.Repeat(m.actions(time.Hour, time.Millisecond, 20*time.Millisecond))
		for _, e := range m.entries {
			for _, c := range e.waiting {
				m.open(c)
			}
		}
		history, count := withoutIdleClaims(m.history)
		decided += count
		if !porcupine.CheckOperations(keyModel, history) {
			t.Fatalf("history is not linearizable: %s", fmt.Sprint(m.history))
		}
	})
}
