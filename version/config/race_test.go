package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// race is a log with several operators and readers, next to a plain model that
// folds each record at the moment of its append.
type race struct {
	log       testLog
	published []published
	snapshots [][]byte
	readers   []*raceReader

	// verdicts and files hold the model's result after each offset; index 0 is
	// the state before the first record.
	verdicts []Verdict
	files    []map[string]File
	// upTo is the offset that the snapshot at an offset reaches.
	upTo map[uint64]uint64
}

type published struct {
	change Change
	record []byte
}

type raceReader struct {
	state    *State
	accepted map[string]uint64
}

func newRace() *race {
	return &race{log: testLog{first: 1}, verdicts: make([]Verdict, 1), files: []map[string]File{{}},
		upTo: map[uint64]uint64{}, readers: []*raceReader{newRaceReader(), newRaceReader()}}
}

func newRaceReader() *raceReader {
	return &raceReader{state: NewState(), accepted: map[string]uint64{}}
}

// appendChange appends the record and judges the change by its base versions.
func (r *race) appendChange(p published) {
	r.log.append(p.record)
	offset := uint64(len(r.log.records))
	before := r.files[offset-1]
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
	r.verdicts, r.files = append(r.verdicts, verdict), append(r.files, after)
}

// appendOther appends a record that changes no file.
func (r *race) appendOther(record []byte, snapshot bool) {
	r.log.append(record)
	offset := uint64(len(r.log.records))
	r.verdicts = append(r.verdicts, Verdict{Offset: offset, Accepted: snapshot, Snapshot: snapshot})
	r.files = append(r.files, r.files[offset-1])
}

func (r *race) reader(t *rapid.T) *raceReader { return rapid.SampledFrom(r.readers).Draw(t, "reader") }

// publish is an operator who changes one or two files against the versions that
// its reader has. The request may be lost; a lost response shows as a later
// repetition of the record.
func (r *race) publish(t *rapid.T) {
	operator := r.reader(t)
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a.json", "b.json", "c.json"}), 1, 3, rapid.ID).Draw(t, "names")
	c := Change{ID: fmt.Sprint("p", len(r.published)), Base: map[string]uint64{}, Put: map[string][]byte{}}
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
	r.published = append(r.published, published{c, record})
	if !rapid.Bool().Draw(t, "request lost") {
		r.appendChange(published{c, record})
	}
}

func (r *race) repeat(t *rapid.T) {
	if len(r.published) == 0 {
		t.Skip("nothing published")
	}
	r.appendChange(rapid.SampledFrom(r.published).Draw(t, "publication"))
}

func (r *race) takeSnapshot(t *rapid.T) {
	record, err := r.reader(t).state.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	r.snapshots = append(r.snapshots, record)
}

// appendSnapshot appends a snapshot that may be far behind the log by now.
func (r *race) appendSnapshot(t *rapid.T) {
	if len(r.snapshots) == 0 {
		t.Skip("no snapshot")
	}
	record := rapid.SampledFrom(r.snapshots).Draw(t, "snapshot")
	r.appendOther(record, true)
	decoded, err := decodeRecord(r.log.next(), record)
	if err != nil {
		t.Fatal(err)
	}
	r.upTo[r.log.next()-1] = decoded.UpTo
}

func (r *race) trim(t *rapid.T) {
	r.log.first = rapid.Uint64Range(r.log.first, r.log.next()).Draw(t, "first")
}

// trimToSnapshot leaves the records that a late reader of a snapshot in the log
// has to hold back until it finds the snapshot.
func (r *race) trimToSnapshot(t *rapid.T) {
	for offset, upTo := range r.upTo {
		if offset+1 == r.log.next() {
			r.log.first = max(r.log.first, rapid.Uint64Range(1, upTo+1).Draw(t, "first"))
		}
	}
}

func (r *race) read(t *rapid.T) {
	r.readUpTo(t, r.reader(t), rapid.Uint64Range(1, r.log.next()).Draw(t, "end"))
}

func (r *race) readUpTo(t *rapid.T, reader *raceReader, end uint64) {
	for offset := max(reader.state.Next(), r.log.first); offset < end; offset++ {
		before := reader.state.Offset()
		verdict, err := reader.state.Apply(offset, r.log.first, r.log.records[offset-1])
		if reader.state.Offset() < before {
			t.Fatalf("offset went back from %d to %d", before, reader.state.Offset())
		}
		judged := append(reader.state.Deferred(), Judgement{verdict, err})
		for _, j := range judged {
			r.checkVerdict(t, reader, j)
		}
	}
}

func (r *race) checkVerdict(t *rapid.T, reader *raceReader, j Judgement) {
	if j.Verdict.Pending && j.Err == nil {
		return
	}
	want := r.verdicts[j.Verdict.Offset]
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

func (r *race) startLate(*rapid.T) { r.readers = append(r.readers, newRaceReader()) }

// restore gives a reader, or a new one, the state of a peer.
func (r *race) restore(t *rapid.T) {
	peer, reader := r.reader(t), r.reader(t)
	if rapid.Bool().Draw(t, "new") {
		reader = newRaceReader()
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

// check compares the files of every reader with the model at its offset.
func (r *race) check(t *rapid.T) {
	for i, reader := range r.readers {
		want := slices.SortedFunc(maps.Values(r.files[reader.state.Offset()]), compareFileNames)
		if got := reader.state.Files(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("reader %d at %d has %v, want %v", i, reader.state.Offset(), got, want)
		}
	}
}

// checkEnd reads every reader to the end. It must get there, unless records are
// trimmed that neither it nor a snapshot in the log covers.
func (r *race) checkEnd(t *rapid.T) {
	for i, reader := range r.readers {
		start := max(reader.state.Next(), r.log.first)
		if len(reader.state.held) > 0 && start == reader.state.Next() {
			start = reader.state.held[0].offset
		}
		reachable := reader.state.Offset()+1 >= start
		for offset, upTo := range r.upTo {
			reachable = reachable || offset >= start && upTo+1 >= start
		}
		r.readUpTo(t, reader, r.log.next())
		if complete := reader.state.Offset()+1 == r.log.next(); complete != reachable {
			t.Fatalf("reader %d at %d of %d: complete %t, want %t", i, reader.state.Offset(), r.log.next()-1, complete, reachable)
		}
	}
	r.check(t)
}

func (r *race) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"publish": r.publish, "publish more": r.publish, "repeat": r.repeat, "read": r.read, "read more": r.read,
		"take snapshot": r.takeSnapshot, "append snapshot": r.appendSnapshot, "trim": r.trim,
		"trim to snapshot": r.trimToSnapshot, "start late": r.startLate, "restore": r.restore,
		"append garbage": func(*rapid.T) { r.appendOther([]byte{0xff}, false) }, "": r.check,
	}
}

// TestOperatorsRace guards against a second total order: operators race on the
// same and on different files with lost responses, repeated publications,
// snapshots and trimming, and every reader, including those that start late or
// from a peer, must reach the verdicts of the model.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRace()
		// One sequence is often too short for a snapshot, a trim and a late
		// reader to meet.
		for range 4 {
			t.Repeat(r.actions())
		}
		r.checkEnd(t)
	})
}
