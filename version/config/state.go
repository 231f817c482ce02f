package config

import (
	"bytes"
	"maps"
	"slices"
)

// tombstoneRetentionRecords is the number of records after which the tombstone of
// a deleted file is dropped. Until then, a repetition of the publication that
// created the file is rejected. The number must not be changed, because readers
// with different numbers would accept different publications.
//
// At 2,800 changes a day it is more than a day, while a publisher stops retrying
// after seconds. Even with one deletion per record, the tombstones fit into a
// snapshot together with a full folder.
const tombstoneRetentionRecords = 5_000

// Outcome states whether one record was accepted, and why not.
type Outcome struct {
	// ID is the ID of the publication; it is empty for a snapshot.
	ID string
	// Offset is the offset of the record.
	Offset uint64
	// Accepted is true if the change was applied, or if the record is a
	// snapshot that is consistent with the State.
	Accepted bool
	// ConflictingFile is the name of the first file, by name, whose version in
	// Change.BaseVersions was not the current one. It is empty if there is no
	// such file.
	ConflictingFile string
	// Snapshot is true if the record is a snapshot.
	Snapshot bool
	// Pending is true if trimmed records are missing, so that the record cannot
	// be evaluated yet. DeferredResults returns the outcome once the gap is
	// closed.
	Pending bool
}

// ApplyResult holds the result of Apply for a record that was pending, once it
// has been evaluated.
type ApplyResult struct {
	Outcome Outcome
	Err     error
}

// State holds the published files that result from applying the records of the
// config stream in order. Use NewState to create one.
//
// A State that starts after the oldest records were trimmed buffers the records
// that it reads until a snapshot in the log or the state of a peer closes the
// gap.
type State struct {
	// offset is the offset of the last record applied to files.
	offset uint64
	// files includes tombstones.
	files           map[string]File
	bufferedRecords []bufferedRecord
	deferredResults []ApplyResult
	snapshotOffset  uint64
}

// bufferedRecord is a record that cannot be applied yet, because records before
// it are missing.
type bufferedRecord struct {
	offset uint64
	data   []byte
}

// NewState returns the state before the first record.
func NewState() *State { return &State{files: map[string]File{}} }

// Offset returns the offset of the last record applied, 0 if there is none. A
// reader that has read the log to its end is up to date if Offset()+1 is the
// offset of the next append. Otherwise trimmed records are missing and it needs
// the state of a peer.
func (s *State) Offset() uint64 { return s.offset }

// Next returns the offset of the record to read next, which comes after all
// applied and buffered records.
func (s *State) Next() uint64 {
	if len(s.bufferedRecords) > 0 {
		return s.bufferedRecords[len(s.bufferedRecords)-1].offset + 1
	}
	return s.offset + 1
}

// Files returns all files in name order, including tombstones, which a peer needs
// for Restore. The contents must not be changed.
func (s *State) Files() []File {
	return slices.SortedFunc(maps.Values(s.files), compareFileNames)
}

// SnapshotOffset returns the highest offset that an accepted snapshot in the log
// covers, and 0 if no snapshot was read. Once the record after that offset is
// trimmed, a new reader needs a newer snapshot.
func (s *State) SnapshotOffset() uint64 { return s.snapshotOffset }

// DeferredResults returns the results for records that were pending, each once
// and in log order. Records that the snapshot or the state of a peer covers have
// no result. Call it after each Apply and Restore.
func (s *State) DeferredResults() []ApplyResult {
	results := s.deferredResults
	s.deferredResults = nil
	return results
}

// Apply applies the next record, or buffers it if trimmed records before it are
// missing. firstRetained is the oldest offset that the log retains. Apply keeps a
// reference to data until the record has been evaluated, so data must not be
// changed.
//
// The error is an *OffsetError or a *GapError if the record is not the next one;
// the record then has no effect. It is a *RecordError if the record cannot be
// decoded, and a *DisagreementError if the record is a snapshot that is
// inconsistent with the State; in these two cases Offset advances past the
// record, unless the record is pending.
func (s *State) Apply(offset, firstRetained uint64, data []byte) (Outcome, error) {
	next := s.Next()
	switch {
	case offset < next:
		return Outcome{Offset: offset}, &OffsetError{Offset: offset, Current: next - 1}
	case offset == next && len(s.bufferedRecords) == 0:
		return s.applyRecord(offset, data)
	case offset > next && (next >= firstRetained || offset != firstRetained):
		return Outcome{Offset: offset}, &GapError{Offset: offset, Next: max(next, firstRetained)}
	case offset > next:
		s.bufferedRecords = nil
	}
	return s.bufferRecord(offset, data)
}

// applyRecord evaluates the record that directly follows the offset of the State
// and applies it if it is accepted.
func (s *State) applyRecord(offset uint64, data []byte) (Outcome, error) {
	outcome := Outcome{Offset: offset}
	r, recordErr := decodeRecord(offset, data)
	s.offset = offset
	defer s.dropExpiredTombstones()
	if recordErr != nil {
		return outcome, recordErr
	}
	if r.Kind == snapshotRecord {
		outcome.Snapshot = true
		if err := s.checkConsistency(offset, r.UpTo, r.files()); err != nil {
			return outcome, err
		}
		outcome.Accepted = true
		s.snapshotOffset = max(s.snapshotOffset, r.UpTo)
		return outcome, nil
	}
	outcome.ID = r.ID
	outcome.ConflictingFile, outcome.Accepted = s.checkBaseVersions(&r)
	if outcome.Accepted {
		s.applyChange(offset, &r)
	}
	return outcome, nil
}

// checkBaseVersions accepts a change if every version in Base is the current one.
// For a changed file that is missing in Base, it assumes version 0. Otherwise it
// returns the first file, by name, with another version.
func (s *State) checkBaseVersions(r *record) (conflict string, accepted bool) {
	names := append(r.changedFiles(), slices.Collect(maps.Keys(r.Base))...)
	slices.Sort(names)
	for _, name := range names {
		if s.files[name].Version != r.Base[name] {
			return name, false
		}
	}
	return "", true
}

// applyChange applies an accepted change. Every changed file gets the offset as
// its version, so the same change is never accepted twice.
func (s *State) applyChange(offset uint64, r *record) {
	for _, name := range r.changedFiles() {
		s.files[name] = File{Name: name, Version: offset, Content: r.Put[name]}
	}
}

// dropExpiredTombstones removes tombstones that are past their retention. It
// depends only on offsets, so that all readers drop a tombstone at the same
// record.
func (s *State) dropExpiredTombstones() {
	for name, f := range s.files {
		if f.Deleted() && tombstoneExpired(f, s.offset) {
			delete(s.files, name)
		}
	}
}

func tombstoneExpired(f File, offset uint64) bool {
	return f.Version+tombstoneRetentionRecords <= offset
}

// bufferRecord buffers a record that comes after a gap. A snapshot that covers all
// records before the first buffered one closes the gap.
func (s *State) bufferRecord(offset uint64, data []byte) (Outcome, error) {
	s.bufferedRecords = append(s.bufferedRecords, bufferedRecord{offset, data})
	outcome := Outcome{Offset: offset, Pending: true}
	r, recordErr := decodeRecord(offset, data)
	if recordErr != nil || r.Kind != snapshotRecord || r.UpTo+1 < s.bufferedRecords[0].offset {
		return outcome, nil
	}
	if err := s.checkConsistency(offset, r.UpTo, r.files()); err != nil {
		return outcome, err
	}
	s.install(r.UpTo, r.files())
	return outcome, nil
}

// install replaces the files with those of a snapshot or peer at the given offset
// and applies the buffered records that follow it.
func (s *State) install(offset uint64, files []File) {
	s.offset = offset
	s.files = make(map[string]File, len(files))
	for _, f := range files {
		s.files[f.Name] = f
	}
	s.dropExpiredTombstones()
	s.applyBuffered()
}

// applyBuffered applies the buffered records that directly follow the offset of
// the State, and drops those that the State already covers.
func (s *State) applyBuffered() {
	for len(s.bufferedRecords) > 0 && s.bufferedRecords[0].offset <= s.offset+1 {
		next := s.bufferedRecords[0]
		s.bufferedRecords = s.bufferedRecords[1:]
		if next.offset <= s.offset {
			continue
		}
		outcome, err := s.applyRecord(next.offset, next.data)
		s.deferredResults = append(s.deferredResults, ApplyResult{outcome, err})
	}
}

// Restore replaces the files with the state of a peer at the given offset. It
// reports false, and has no effect, if RestoreFrom would return an error.
func (s *State) Restore(offset uint64, files []File) bool {
	return s.RestoreFrom(offset, files) == nil
}

// RestoreFrom is like Restore, but returns why the state of the peer was rejected:
// a *RecordError if it is invalid, a *DisagreementError if it is inconsistent with
// the current state, and an *OffsetError if it is not newer.
func (s *State) RestoreFrom(offset uint64, files []File) error {
	if reason := invalidFilesReason(offset, files); reason != "" {
		return &RecordError{Offset: offset, Reason: reason}
	}
	if err := s.checkConsistency(0, offset, files); err != nil {
		return err
	}
	if offset <= s.offset {
		return &OffsetError{Offset: offset, Current: s.offset}
	}
	s.install(offset, files)
	return nil
}

// checkConsistency compares the current state with the state in a snapshot or of
// a peer. It returns a *DisagreementError if no log can lead to both.
// recordOffset is the offset of the snapshot record, and 0 for a peer.
func (s *State) checkConsistency(recordOffset, upTo uint64, files []File) error {
	offered := make(map[string]File, len(files))
	for _, f := range files {
		offered[f.Name] = f
	}
	older, newer, olderOffset, newerOffset := s.files, offered, s.offset, upTo
	if upTo < s.offset {
		older, newer, olderOffset, newerOffset = offered, s.files, upTo, s.offset
	}
	file, reason := findInconsistency(older, newer, olderOffset, newerOffset)
	if reason == "" {
		return nil
	}
	return &DisagreementError{Offset: recordOffset, UpTo: upTo, Current: s.offset, File: file, Reason: reason}
}

// findInconsistency returns a file for which no records lead from the older to
// the newer state, and the reason; both are empty if there is none. It checks the
// files in a fixed order, so that all readers report the same file.
func findInconsistency(older, newer map[string]File, olderOffset, newerOffset uint64) (file, reason string) {
	for _, name := range slices.Sorted(maps.Keys(newer)) {
		f := newer[name]
		before, inOlder := older[name]
		switch {
		case f.Version > olderOffset:
		case !inOlder:
			return name, "is missing in the older state"
		case before.Version != f.Version || !bytes.Equal(before.Content, f.Content):
			return name, "has another version or content"
		}
	}
	for _, name := range slices.Sorted(maps.Keys(older)) {
		f := older[name]
		if _, inNewer := newer[name]; !inNewer && !(f.Deleted() && tombstoneExpired(f, newerOffset)) {
			return name, "is missing in the newer state"
		}
	}
	return "", ""
}
