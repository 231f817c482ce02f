package config

import (
	"bytes"
	"maps"
	"slices"
)

// deletionRecords is the number of records after which the mark of a deleted
// file is dropped. Until then a publication that created the file and is
// repeated is refused. The number is part of the verdict and must not be
// changed. It is more than a day at 2,800 changes a day, while a publisher gives
// up after seconds, and with one deletion per record the marks fit into a
// snapshot next to a full folder.
const deletionRecords = 5_000

// Verdict is the outcome of one record.
type Verdict struct {
	// ID is the ID of the publication; it is empty for a snapshot.
	ID     string
	Offset uint64
	// Accepted is true if the change was applied, or if the record is a
	// snapshot that agrees with the State.
	Accepted bool
	// Conflict names the first file whose version was not current.
	Conflict string
	Snapshot bool
	// Pending is true if the State misses trimmed records and cannot judge the
	// record yet. Deferred returns the verdict once there is one.
	Pending bool
}

// Judgement is what Apply would have returned for a record that was pending.
type Judgement struct {
	Verdict Verdict
	Err     error
}

// State is the fold of the config stream. Use NewState.
//
// A State that starts after the oldest records were trimmed holds back the
// records that it reads until it finds a snapshot, or is given the state of a
// peer, that closes the gap.
type State struct {
	offset       uint64
	files        map[string]File
	held         []heldRecord
	deferred     []Judgement
	snapshotUpTo uint64
}

// heldRecord is a record after a gap.
type heldRecord struct {
	offset uint64
	data   []byte
}

// NewState returns the state before the first record.
func NewState() *State { return &State{files: map[string]File{}} }

// Offset returns the offset up to which the files are known. A reader that has
// read the log to its end is up to date if Offset()+1 is the offset of the next
// append; otherwise it misses trimmed records and needs the state of a peer.
func (s *State) Offset() uint64 { return s.offset }

// Next returns the offset of the record to read next.
func (s *State) Next() uint64 {
	if len(s.held) > 0 {
		return s.held[len(s.held)-1].offset + 1
	}
	return s.offset + 1
}

// Files returns all files in name order, including the marks of deleted ones,
// which a peer needs for Restore. The contents must not be changed.
func (s *State) Files() []File {
	return slices.SortedFunc(maps.Values(s.files), compareFileNames)
}

// SnapshotUpTo returns the highest offset up to which a snapshot in the log is
// known, and 0 if none was read. Once the record after it is trimmed, a reader
// that starts late needs a newer snapshot.
func (s *State) SnapshotUpTo() uint64 { return s.snapshotUpTo }

// Deferred returns the judgements of records that were pending, once each, in
// log order. Records that a snapshot or peer state already covers have none.
// Call it after Apply and Restore.
func (s *State) Deferred() []Judgement {
	judged := s.deferred
	s.deferred = nil
	return judged
}

// Apply folds the next record. first is the oldest offset that the log retains.
// The record is kept by reference until it is judged and must not be changed.
//
// The error is an *OffsetError or a *GapError if the record is not the next
// one, which then has no effect; a *RecordError if the record cannot be
// decoded; or a *DisagreementError if it is a snapshot that contradicts the
// State. In the last two cases the State moves past the record, unless it is
// pending.
func (s *State) Apply(offset, first uint64, data []byte) (Verdict, error) {
	next := s.Next()
	switch {
	case offset < next:
		return Verdict{Offset: offset}, &OffsetError{Offset: offset, Have: next - 1}
	case offset == next && len(s.held) == 0:
		return s.fold(offset, data)
	case offset > next && (next >= first || offset != first):
		return Verdict{Offset: offset}, &GapError{Offset: offset, Next: max(next, first)}
	case offset > next:
		s.held = nil
	}
	return s.hold(offset, data)
}

// fold judges a record directly after the offset of the State.
func (s *State) fold(offset uint64, data []byte) (Verdict, error) {
	verdict := Verdict{Offset: offset}
	r, recordErr := decodeRecord(offset, data)
	s.offset = offset
	defer s.dropOldDeletions()
	if recordErr != nil {
		return verdict, recordErr
	}
	if r.Kind == snapshotRecord {
		verdict.Snapshot = true
		if err := s.disagreement(offset, r.UpTo, r.files()); err != nil {
			return verdict, err
		}
		verdict.Accepted = true
		s.snapshotUpTo = max(s.snapshotUpTo, r.UpTo)
		return verdict, nil
	}
	verdict.ID = r.ID
	verdict.Conflict, verdict.Accepted = s.judge(&r)
	if verdict.Accepted {
		s.change(offset, &r)
	}
	return verdict, nil
}

// judge accepts a change if every version that it names is current. A touched
// file without a version in Base is taken as never published.
func (s *State) judge(r *record) (conflict string, accepted bool) {
	names := append(r.touched(), slices.Collect(maps.Keys(r.Base))...)
	slices.Sort(names)
	for _, name := range names {
		if s.files[name].Version != r.Base[name] {
			return name, false
		}
	}
	return "", true
}

// change applies an accepted change. Every touched file gets the offset as its
// version, so the same change is never accepted twice.
func (s *State) change(offset uint64, r *record) {
	for _, name := range r.touched() {
		s.files[name] = File{Name: name, Version: offset, Content: r.Put[name]}
	}
}

// dropOldDeletions depends only on offsets, so that all readers agree.
func (s *State) dropOldDeletions() {
	for name, f := range s.files {
		if f.Deleted() && expiredDeletion(f, s.offset) {
			delete(s.files, name)
		}
	}
}

func expiredDeletion(f File, offset uint64) bool { return f.Version+deletionRecords <= offset }

// hold keeps a record that comes after a gap. A snapshot that reaches the first
// held record closes the gap.
func (s *State) hold(offset uint64, data []byte) (Verdict, error) {
	s.held = append(s.held, heldRecord{offset, data})
	verdict := Verdict{Offset: offset, Pending: true}
	r, recordErr := decodeRecord(offset, data)
	if recordErr != nil || r.Kind != snapshotRecord || r.UpTo+1 < s.held[0].offset {
		return verdict, nil
	}
	if err := s.disagreement(offset, r.UpTo, r.files()); err != nil {
		return verdict, err
	}
	s.install(r.UpTo, r.files())
	return verdict, nil
}

// install replaces the state and folds the held records that follow it.
func (s *State) install(offset uint64, files []File) {
	s.offset = offset
	s.files = make(map[string]File, len(files))
	for _, f := range files {
		s.files[f.Name] = f
	}
	s.dropOldDeletions()
	s.foldHeld()
}

func (s *State) foldHeld() {
	for len(s.held) > 0 && s.held[0].offset <= s.offset+1 {
		h := s.held[0]
		s.held = s.held[1:]
		if h.offset <= s.offset {
			continue
		}
		verdict, err := s.fold(h.offset, h.data)
		s.deferred = append(s.deferred, Judgement{verdict, err})
	}
}

// Restore takes over the state of a peer. It reports false, and has no effect,
// if that state is not newer or if RestoreFrom refuses it.
func (s *State) Restore(offset uint64, files []File) bool {
	return s.RestoreFrom(offset, files) == nil
}

// RestoreFrom is Restore with the reason for a refusal: an *OffsetError if the
// state is not newer, a *DisagreementError if it contradicts this one, and a
// *RecordError if it cannot be a state.
func (s *State) RestoreFrom(offset uint64, files []File) error {
	if reason := filesFault(offset, files); reason != "" {
		return &RecordError{Offset: offset, Reason: reason}
	}
	if err := s.disagreement(0, offset, files); err != nil {
		return err
	}
	if offset <= s.offset {
		return &OffsetError{Offset: offset, Have: s.offset}
	}
	s.install(offset, files)
	return nil
}

// disagreement compares an offered state with this one. It returns an error if
// no log can lead to both.
func (s *State) disagreement(at, upTo uint64, files []File) error {
	offered := make(map[string]File, len(files))
	for _, f := range files {
		offered[f.Name] = f
	}
	older, newer, olderAt, newerAt := s.files, offered, s.offset, upTo
	if upTo < s.offset {
		older, newer, olderAt, newerAt = offered, s.files, upTo, s.offset
	}
	file, reason := contradiction(older, newer, olderAt, newerAt)
	if reason == "" {
		return nil
	}
	return &DisagreementError{Offset: at, UpTo: upTo, Have: s.offset, File: file, Reason: reason}
}

// contradiction finds a file for which no records between two states lead from
// the older one to the newer one. Of several files it returns the first by name,
// so that all readers report the same.
func contradiction(older, newer map[string]File, olderAt, newerAt uint64) (file, reason string) {
	for _, name := range slices.Sorted(maps.Keys(newer)) {
		f := newer[name]
		before, known := older[name]
		switch {
		case f.Version > olderAt:
		case !known:
			return name, "is missing in the older state"
		case before.Version != f.Version || !bytes.Equal(before.Content, f.Content):
			return name, "has another version or content"
		}
	}
	for _, name := range slices.Sorted(maps.Keys(older)) {
		f := older[name]
		if _, kept := newer[name]; !kept && !(f.Deleted() && expiredDeletion(f, newerAt)) {
			return name, "is missing in the newer state"
		}
	}
	return "", ""
}
