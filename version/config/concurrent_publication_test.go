package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// streamModel is a log of config records with several publishers and readers.
// When a record is appended, the model computes the outcome and the files that
// every reader must reach at its offset.
type streamModel struct {
	log          testLog
	publications []publication
	snapshots    [][]byte
	readers      []*modelReader

	// wantOutcomes and wantFiles hold the expected outcome and files for the record
	// at each offset; index 0 is the state before the first record.
	wantOutcomes []Outcome
	wantFiles    []map[string]File
	// snapshotUpTo maps the offset of each snapshot record to the last offset that
	// the snapshot covers.
	snapshotUpTo map[uint64]uint64
}

type publication struct {
	change Change
	record []byte
}

type modelReader struct {
	state *State
	// acceptedAt maps the ID of each accepted publication to its offset.
	acceptedAt map[string]uint64
}

func newStreamModel() *streamModel {
	return &streamModel{log: testLog{firstRetained: 1}, wantOutcomes: make([]Outcome, 1), wantFiles: []map[string]File{{}},
		snapshotUpTo: map[uint64]uint64{}, readers: []*modelReader{newModelReader(), newModelReader()}}
}

func newModelReader() *modelReader {
	return &modelReader{state: NewState(), acceptedAt: map[string]uint64{}}
}

// appendChange appends the record and computes the expected outcome from the base
// versions of the change.
func (m *streamModel) appendChange(p publication) {
	m.log.append(p.record)
	offset := uint64(len(m.log.records))
	before := m.wantFiles[offset-1]
	outcome := Outcome{ID: p.change.ID, Offset: offset, Accepted: true}
	for _, name := range slices.Sorted(maps.Keys(p.change.BaseVersions)) {
		if outcome.Accepted && before[name].Version != p.change.BaseVersions[name] {
			outcome.Accepted, outcome.ConflictingFile = false, name
		}
	}
	after := maps.Clone(before)
	for name, content := range p.change.Put {
		if outcome.Accepted {
			after[name] = File{name, offset, content}
		}
	}
	for _, name := range p.change.Delete {
		if outcome.Accepted {
			after[name] = File{name, offset, nil}
		}
	}
	m.wantOutcomes, m.wantFiles = append(m.wantOutcomes, outcome), append(m.wantFiles, after)
}

// appendNonChange appends a record that changes no file: a snapshot or a record
// that cannot be decoded.
func (m *streamModel) appendNonChange(record []byte, snapshot bool) {
	m.log.append(record)
	offset := uint64(len(m.log.records))
	m.wantOutcomes = append(m.wantOutcomes, Outcome{Offset: offset, Accepted: snapshot, Snapshot: snapshot})
	m.wantFiles = append(m.wantFiles, m.wantFiles[offset-1])
}

func (m *streamModel) randomReader(t *rapid.T) *modelReader {
	return rapid.SampledFrom(m.readers).Draw(t, "reader")
}

// publishRandom publishes a change against the versions of a random reader. The
// change names up to three files in BaseVersions and deletes or writes at least
// one of them. The append request may be lost; repeatPublication covers lost
// responses.
func (m *streamModel) publishRandom(t *rapid.T) {
	reader := m.randomReader(t)
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a.json", "b.json", "c.json"}), 1, 3, rapid.ID).Draw(t, "names")
	c := Change{ID: fmt.Sprint("p", len(m.publications)), BaseVersions: map[string]uint64{}, Put: map[string][]byte{}}
	for i, name := range names {
		c.BaseVersions[name] = reader.state.files[name].Version
		switch {
		case rapid.Bool().Draw(t, "delete"):
			c.Delete = append(c.Delete, name)
		case i == 0 || rapid.Bool().Draw(t, "put"):
			c.Put[name] = []byte("{} // " + c.ID)
		}
	}
	record, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	m.publications = append(m.publications, publication{c, record})
	if !rapid.Bool().Draw(t, "request lost") {
		m.appendChange(publication{c, record})
	}
}

// repeatPublication appends the record of an earlier publication again.
func (m *streamModel) repeatPublication(t *rapid.T) {
	if len(m.publications) == 0 {
		t.Skip("nothing published")
	}
	m.appendChange(rapid.SampledFrom(m.publications).Draw(t, "publication"))
}

// encodeSnapshot encodes a snapshot for appendSnapshot to append later.
func (m *streamModel) encodeSnapshot(t *rapid.T) {
	record, err := m.randomReader(t).state.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	m.snapshots = append(m.snapshots, record)
}

// appendSnapshot appends a snapshot that was encoded earlier, so that it may be far
// behind the end of the log.
func (m *streamModel) appendSnapshot(t *rapid.T) {
	if len(m.snapshots) == 0 {
		t.Skip("no snapshot")
	}
	record := rapid.SampledFrom(m.snapshots).Draw(t, "snapshot")
	m.appendNonChange(record, true)
	decoded, err := decodeRecord(m.log.nextOffset(), record)
	if err != nil {
		t.Fatal(err)
	}
	m.snapshotUpTo[m.log.nextOffset()-1] = decoded.UpTo
}

func (m *streamModel) trim(t *rapid.T) {
	m.log.firstRetained = rapid.Uint64Range(m.log.firstRetained, m.log.nextOffset()).Draw(t, "first")
}

// trimToSnapshot trims the log, if its last record is a snapshot, to an offset that
// the snapshot covers or to the next one. A new reader has to buffer the remaining
// records until it reads the snapshot.
func (m *streamModel) trimToSnapshot(t *rapid.T) {
	for offset, upTo := range m.snapshotUpTo {
		if offset+1 == m.log.nextOffset() {
			m.log.firstRetained = max(m.log.firstRetained, rapid.Uint64Range(1, upTo+1).Draw(t, "first"))
		}
	}
}

func (m *streamModel) readRandom(t *rapid.T) {
	m.readUpTo(t, m.randomReader(t), rapid.Uint64Range(1, m.log.nextOffset()).Draw(t, "end"))
}

// readUpTo applies the records before end to a reader and checks the results.
func (m *streamModel) readUpTo(t *rapid.T, reader *modelReader, end uint64) {
	for offset := max(reader.state.Next(), m.log.firstRetained); offset < end; offset++ {
		before := reader.state.Offset()
		outcome, err := reader.state.Apply(offset, m.log.firstRetained, m.log.records[offset-1])
		if reader.state.Offset() < before {
			t.Fatalf("offset went back from %d to %d", before, reader.state.Offset())
		}
		results := append(reader.state.DeferredResults(), ApplyResult{outcome, err})
		for _, result := range results {
			m.checkOutcome(t, reader, result)
		}
	}
}

// checkOutcome compares the result for a record with the model, and checks that no
// publication is accepted twice.
func (m *streamModel) checkOutcome(t *rapid.T, reader *modelReader, result ApplyResult) {
	if result.Outcome.Pending && result.Err == nil {
		return
	}
	want := m.wantOutcomes[result.Outcome.Offset]
	undecodable := want.ID == "" && !want.Snapshot
	if _, isRecordErr := result.Err.(*RecordError); isRecordErr != undecodable || (result.Err != nil && !isRecordErr) {
		t.Fatalf("offset %d: unexpected error %v", result.Outcome.Offset, result.Err)
	}
	if result.Outcome != want {
		t.Fatalf("outcome %+v, want %+v", result.Outcome, want)
	}
	if first, repeated := reader.acceptedAt[want.ID]; want.Accepted && want.ID != "" {
		if repeated {
			t.Fatalf("publication %s accepted at %d and %d", want.ID, first, want.Offset)
		}
		reader.acceptedAt[want.ID] = want.Offset
	}
}

func (m *streamModel) addReader(*rapid.T) { m.readers = append(m.readers, newModelReader()) }

// restoreFromPeer restores the state of a peer in an existing or a new reader.
func (m *streamModel) restoreFromPeer(t *rapid.T) {
	peer, reader := m.randomReader(t), m.randomReader(t)
	if rapid.Bool().Draw(t, "new") {
		reader = newModelReader()
		m.readers = append(m.readers, reader)
	}
	before, offered := reader.state.Offset(), peer.state.Offset()
	restored := reader.state.Restore(offered, peer.state.Files())
	if restored != (offered > before) || reader.state.Offset() < max(before, offered) {
		t.Fatalf("restore of %d over %d: %t, now %d", offered, before, restored, reader.state.Offset())
	}
	for _, result := range reader.state.DeferredResults() {
		m.checkOutcome(t, reader, result)
	}
}

// checkFiles compares the files of every reader with the model at its offset.
func (m *streamModel) checkFiles(t *rapid.T) {
	for i, reader := range m.readers {
		want := slices.SortedFunc(maps.Values(m.wantFiles[reader.state.Offset()]), compareFileNames)
		if got := reader.state.Files(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("reader %d at %d has %v, want %v", i, reader.state.Offset(), got, want)
		}
	}
}

// checkReadToEnd reads the log to its end with every reader. The reader must reach
// the offset of the last record, unless trimmed records are covered neither by its
// state nor by a snapshot in the log.
func (m *streamModel) checkReadToEnd(t *rapid.T) {
	for i, reader := range m.readers {
		start := max(reader.state.Next(), m.log.firstRetained)
		if len(reader.state.bufferedRecords) > 0 && start == reader.state.Next() {
			start = reader.state.bufferedRecords[0].offset
		}
		reachable := reader.state.Offset()+1 >= start
		for offset, upTo := range m.snapshotUpTo {
			reachable = reachable || offset >= start && upTo+1 >= start
		}
		m.readUpTo(t, reader, m.log.nextOffset())
		if complete := reader.state.Offset()+1 == m.log.nextOffset(); complete != reachable {
			t.Fatalf("reader %d at %d of %d: complete %t, want %t", i, reader.state.Offset(), m.log.nextOffset()-1, complete, reachable)
		}
	}
	m.checkFiles(t)
}

func (m *streamModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"publish": m.publishRandom, "publish more": m.publishRandom, "repeat": m.repeatPublication,
		"read": m.readRandom, "read more": m.readRandom,
		"take snapshot": m.encodeSnapshot, "append snapshot": m.appendSnapshot, "trim": m.trim,
		"trim to snapshot": m.trimToSnapshot, "start late": m.addReader, "restore": m.restoreFromPeer,
		"append garbage": func(*rapid.T) { m.appendNonChange([]byte{0xff}, false) }, "": m.checkFiles,
	}
}

// TestReadersAgreeOnPublications guards against readers that accept different
// publications from the same log. Concurrent publishers change the same and
// different files, with lost responses, repeated publications, snapshots and
// trimming. Every reader, including those that start late or from the state of a
// peer, must reach the outcomes of the model.
func TestReadersAgreeOnPublications(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStreamModel()
		// One sequence of actions is often too short to contain a snapshot, a trim
		// and a reader that starts after them.
		for range 4 {
			t.Repeat(m.actions())
		}
		m.checkReadToEnd(t)
	})
}
