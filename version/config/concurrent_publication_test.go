package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// streamModel is a log with several operators and readers, next to a plain model that
// folds each record at the moment of its append.
type streamModel struct {
	log          testLog
	publications []publication
	snapshots    [][]byte
	readers      []*modelReader

	// wantVerdicts and files hold the model's result after each offset; index 0 is
	// the state before the first record.
	wantVerdicts []Verdict
	wantFiles    []map[string]File
	// snapshotUpTo is the offset that the snapshot at an offset reaches.
	snapshotUpTo map[uint64]uint64
}

type publication struct {
	change Change
	record []byte
}

type modelReader struct {
	state    *State
	accepted map[string]uint64
}

func newStreamModel() *streamModel {
	return &streamModel{log: testLog{firstRetained: 1}, wantVerdicts: make([]Verdict, 1), wantFiles: []map[string]File{{}},
		snapshotUpTo: map[uint64]uint64{}, readers: []*modelReader{newModelReader(), newModelReader()}}
}

func newModelReader() *modelReader {
	return &modelReader{state: NewState(), accepted: map[string]uint64{}}
}

// appendChange appends the record and judges the change by its base versions.
func (r *streamModel) appendChange(p publication) {
	r.log.append(p.record)
	offset := uint64(len(r.log.records))
	before := r.wantFiles[offset-1]
	verdict := Verdict{ID: p.change.ID, Offset: offset, Accepted: true}
	for _, name := range slices.Sorted(maps.Keys(p.change.Base)) {
		if verdict.Accepted && before[name].Version != p.change.Base[name] {
			verdict.Accepted, verdict.Conflict = false, name
		}
	}
	after := maps.Clone(before)
	for name, content := range p.change.Put {
		if verdict.Accepted {
			after[name] = File{name, offset, content}
		}
	}
	for _, name := range p.change.Delete {
		if verdict.Accepted {
			after[name] = File{name, offset, nil}
		}
	}
	r.wantVerdicts, r.wantFiles = append(r.wantVerdicts, verdict), append(r.wantFiles, after)
}

// appendNonChange appends a record that changes no file.
func (r *streamModel) appendNonChange(record []byte, snapshot bool) {
	r.log.append(record)
	offset := uint64(len(r.log.records))
	r.wantVerdicts = append(r.wantVerdicts, Verdict{Offset: offset, Accepted: snapshot, Snapshot: snapshot})
	r.wantFiles = append(r.wantFiles, r.wantFiles[offset-1])
}

func (r *streamModel) randomReader(t *rapid.T) *modelReader {
	return rapid.SampledFrom(r.readers).Draw(t, "reader")
}

// publishRandom is an operator who changes one or two files against the versions that
// its reader has. The request may be lost; a lost response shows as a later
// repetition of the record.
func (r *streamModel) publishRandom(t *rapid.T) {
	operator := r.randomReader(t)
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a.json", "b.json", "c.json"}), 1, 3, rapid.ID).Draw(t, "names")
	c := Change{ID: fmt.Sprint("p", len(r.publications)), Base: map[string]uint64{}, Put: map[string][]byte{}}
	for i, name := range names {
		c.Base[name] = operator.state.files[name].Version
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
	r.publications = append(r.publications, publication{c, record})
	if !rapid.Bool().Draw(t, "request lost") {
		r.appendChange(publication{c, record})
	}
}

func (r *streamModel) repeatPublication(t *rapid.T) {
	if len(r.publications) == 0 {
		t.Skip("nothing published")
	}
	r.appendChange(rapid.SampledFrom(r.publications).Draw(t, "publication"))
}

func (r *streamModel) encodeSnapshot(t *rapid.T) {
	record, err := r.randomReader(t).state.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	r.snapshots = append(r.snapshots, record)
}

// appendSnapshot appends a snapshot that may be far behind the log by now.
func (r *streamModel) appendSnapshot(t *rapid.T) {
	if len(r.snapshots) == 0 {
		t.Skip("no snapshot")
	}
	record := rapid.SampledFrom(r.snapshots).Draw(t, "snapshot")
	r.appendNonChange(record, true)
	decoded, err := decodeRecord(r.log.nextOffset(), record)
	if err != nil {
		t.Fatal(err)
	}
	r.snapshotUpTo[r.log.nextOffset()-1] = decoded.UpTo
}

func (r *streamModel) trim(t *rapid.T) {
	r.log.firstRetained = rapid.Uint64Range(r.log.firstRetained, r.log.nextOffset()).Draw(t, "first")
}

// trimToSnapshot leaves the records that a late reader of a snapshot in the log
// has to hold back until it finds the snapshot.
func (r *streamModel) trimToSnapshot(t *rapid.T) {
	for offset, upTo := range r.snapshotUpTo {
		if offset+1 == r.log.nextOffset() {
			r.log.firstRetained = max(r.log.firstRetained, rapid.Uint64Range(1, upTo+1).Draw(t, "first"))
		}
	}
}

func (r *streamModel) readRandom(t *rapid.T) {
	r.readUpTo(t, r.randomReader(t), rapid.Uint64Range(1, r.log.nextOffset()).Draw(t, "end"))
}

func (r *streamModel) readUpTo(t *rapid.T, reader *modelReader, end uint64) {
	for offset := max(reader.state.Next(), r.log.firstRetained); offset < end; offset++ {
		before := reader.state.Offset()
		verdict, err := reader.state.Apply(offset, r.log.firstRetained, r.log.records[offset-1])
		if reader.state.Offset() < before {
			t.Fatalf("offset went back from %d to %d", before, reader.state.Offset())
		}
		judged := append(reader.state.Deferred(), Judgement{verdict, err})
		for _, j := range judged {
			r.checkVerdict(t, reader, j)
		}
	}
}

func (r *streamModel) checkVerdict(t *rapid.T, reader *modelReader, j Judgement) {
	if j.Verdict.Pending && j.Err == nil {
		return
	}
	want := r.wantVerdicts[j.Verdict.Offset]
	undecodable := want.ID == "" && !want.Snapshot
	if _, isRecordErr := j.Err.(*RecordError); isRecordErr != undecodable || (j.Err != nil && !isRecordErr) {
		t.Fatalf("offset %d: unexpected error %v", j.Verdict.Offset, j.Err)
	}
	if j.Verdict != want {
		t.Fatalf("verdict %+v, want %+v", j.Verdict, want)
	}
	if first, repeated := reader.accepted[want.ID]; want.Accepted && want.ID != "" {
		if repeated {
			t.Fatalf("publication %s accepted at %d and %d", want.ID, first, want.Offset)
		}
		reader.accepted[want.ID] = want.Offset
	}
}

func (r *streamModel) addReader(*rapid.T) { r.readers = append(r.readers, newModelReader()) }

// restoreFromPeer gives a reader, or a new one, the state of a peer.
func (r *streamModel) restoreFromPeer(t *rapid.T) {
	peer, reader := r.randomReader(t), r.randomReader(t)
	if rapid.Bool().Draw(t, "new") {
		reader = newModelReader()
		r.readers = append(r.readers, reader)
	}
	before, offered := reader.state.Offset(), peer.state.Offset()
	restored := reader.state.Restore(offered, peer.state.Files())
	if restored != (offered > before) || reader.state.Offset() < max(before, offered) {
		t.Fatalf("restore of %d over %d: %t, now %d", offered, before, restored, reader.state.Offset())
	}
	for _, j := range reader.state.Deferred() {
		r.checkVerdict(t, reader, j)
	}
}

// checkFiles compares the files of every reader with the model at its offset.
func (r *streamModel) checkFiles(t *rapid.T) {
	for i, reader := range r.readers {
		want := slices.SortedFunc(maps.Values(r.wantFiles[reader.state.Offset()]), compareFileNames)
		if got := reader.state.Files(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("reader %d at %d has %v, want %v", i, reader.state.Offset(), got, want)
		}
	}
}

// checkReadToEnd reads every reader to the end. It must get there, unless records are
// trimmed that neither it nor a snapshot in the log covers.
func (r *streamModel) checkReadToEnd(t *rapid.T) {
	for i, reader := range r.readers {
		start := max(reader.state.Next(), r.log.firstRetained)
		if len(reader.state.bufferedRecords) > 0 && start == reader.state.Next() {
			start = reader.state.bufferedRecords[0].offset
		}
		reachable := reader.state.Offset()+1 >= start
		for offset, upTo := range r.snapshotUpTo {
			reachable = reachable || offset >= start && upTo+1 >= start
		}
		r.readUpTo(t, reader, r.log.nextOffset())
		if complete := reader.state.Offset()+1 == r.log.nextOffset(); complete != reachable {
			t.Fatalf("reader %d at %d of %d: complete %t, want %t", i, reader.state.Offset(), r.log.nextOffset()-1, complete, reachable)
		}
	}
	r.checkFiles(t)
}

func (r *streamModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"publish": r.publishRandom, "publish more": r.publishRandom, "repeat": r.repeatPublication, "read": r.readRandom, "read more": r.readRandom,
		"take snapshot": r.encodeSnapshot, "append snapshot": r.appendSnapshot, "trim": r.trim,
		"trim to snapshot": r.trimToSnapshot, "start late": r.addReader, "restore": r.restoreFromPeer,
		"append garbage": func(*rapid.T) { r.appendNonChange([]byte{0xff}, false) }, "": r.checkFiles,
	}
}

// TestConcurrentPublications guards against a second total order: operators race on the
// same and on different files with lost responses, repeated publications,
// snapshots and trimming, and every reader, including those that start late or
// from a peer, must reach the verdicts of the model.
func TestConcurrentPublications(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newStreamModel()
		// One sequence is often too short for a snapshot, a trim and a late
		// reader to meet.
		for range 4 {
			t.Repeat(r.actions())
		}
		r.checkReadToEnd(t)
	})
}
