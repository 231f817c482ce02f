package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Change is one publication. BaseVersions maps each file that the change writes
// or deletes to the version that the change was made against, which is 0 for a
// file that was never published. BaseVersions may also name other files, which
// must still have the given versions for the change to take effect.
type Change struct {
	// ID lets the publisher recognise its own record in the log; it must be
	// unique.
	ID           string
	BaseVersions map[string]uint64
	// Put maps the names of written files to their contents.
	Put    map[string][]byte
	Delete []string
}

// recordKind is part of the record format. Readers skip records of unknown
// kinds, so a new kind must not change files.
type recordKind uint8

const (
	changeRecord   recordKind = 1
	snapshotRecord recordKind = 2
)

// record is the encoded form of a change or a snapshot. The CBOR keys are part
// of the record format and must not be reused; unknown keys are ignored.
type record struct {
	Kind   recordKind        `cbor:"1,keyasint"`
	ID     string            `cbor:"2,keyasint,omitempty"`
	Base   map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Put    map[string][]byte `cbor:"4,keyasint,omitempty"`
	Delete []string          `cbor:"5,keyasint,omitempty"`
	// UpTo is the offset of the last record that a snapshot covers.
	UpTo  uint64       `cbor:"6,keyasint,omitempty"`
	Files []recordFile `cbor:"7,keyasint,omitempty"`
}

type recordFile struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Content []byte `cbor:"3,keyasint,omitempty"`
}

// The decoding bounds are part of the record format: readers with different
// bounds would disagree on which records can be decoded, and therefore on which
// publications take effect.
const (
	maxRecordElements = 1 << 17
	maxRecordNesting  = 4
)

var recordDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxRecordElements,
		MaxMapPairs:      maxRecordElements,
		MaxNestedLevels:  maxRecordNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var recordEncMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encodeRecord(r record) ([]byte, error) {
	data, err := recordEncMode.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode config record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Mark(errors.Newf("config record of %d bytes exceeds %d bytes", len(data), MaxRecordBytes),
			ErrTooLarge)
	}
	return data, nil
}

// decodeRecord decodes and validates the record at the given offset of the log.
func decodeRecord(offset uint64, data []byte) (record, *RecordError) {
	var r record
	if err := recordDecMode.Unmarshal(data, &r); err != nil {
		return record{}, &RecordError{Offset: offset, Reason: err.Error()}
	}
	switch r.Kind {
	case changeRecord:
		return r, nil
	case snapshotRecord:
		if reason := r.invalidSnapshotReason(offset); reason != "" {
			return record{}, &RecordError{Offset: offset, Reason: reason}
		}
		return r, nil
	}
	return record{}, &RecordError{Offset: offset, Reason: fmt.Sprintf("unknown record kind %d", r.Kind)}
}

// invalidSnapshotReason returns why a decoded snapshot is invalid, or "" if it is
// valid.
func (r *record) invalidSnapshotReason(offset uint64) string {
	if r.UpTo >= offset {
		return "snapshot of a state that is newer than its own record"
	}
	return invalidFilesReason(r.UpTo, r.files())
}

// invalidFilesReason returns why files cannot be the state after the record at
// offset upTo, or "" if they can.
func invalidFilesReason(upTo uint64, files []File) string {
	seen := map[string]bool{}
	for _, f := range files {
		if seen[f.Name] {
			return "file appears twice in one state"
		}
		seen[f.Name] = true
		if f.Version == 0 || f.Version > upTo {
			return "file version is outside the state it belongs to"
		}
	}
	return ""
}

func (r *record) files() []File {
	files := make([]File, 0, len(r.Files))
	for _, f := range r.Files {
		files = append(files, File(f))
	}
	return files
}

// changedFiles returns the names of the files that a change writes or deletes,
// sorted and without duplicates.
func (r *record) changedFiles() []string {
	var names []string
	for name := range r.Put {
		names = append(names, name)
	}
	names = append(names, r.Delete...)
	slices.Sort(names)
	return slices.Compact(names)
}

// EncodeChange returns the record of a publication. It returns an error if the
// publication has no ID, changes no file, changes a file twice or without a
// version in BaseVersions, uses an invalid file name, writes an empty file, or
// exceeds the bounds on an ID, a file or a record. An error that is due to the
// size of a file or record is marked ErrTooLarge. The settings in the files are
// not checked; see Check.
func EncodeChange(c Change) ([]byte, error) {
	if c.ID == "" || len(c.ID) > MaxNameBytes {
		return nil, errors.Newf("publication id %q does not have 1 to %d bytes", c.ID, MaxNameBytes)
	}
	r := record{Kind: changeRecord, ID: c.ID, Base: c.BaseVersions, Put: c.Put, Delete: c.Delete}
	names := r.changedFiles()
	if len(names) == 0 {
		return nil, errors.New("publication touches no file")
	}
	if len(names) != len(c.Put)+len(c.Delete) {
		return nil, errors.New("publication touches a file twice")
	}
	for _, name := range names {
		if err := checkChangedFile(c, name); err != nil {
			return nil, err
		}
	}
	return encodeRecord(r)
}

func checkChangedFile(c Change, name string) error {
	content, isPut := c.Put[name]
	_, hasBase := c.BaseVersions[name]
	switch {
	case !ValidFileName(name):
		return errors.Newf("file name %q is not usable", name)
	case !hasBase:
		return errors.Newf("publication names no version for file %q", name)
	case isPut && len(content) == 0:
		return errors.Newf("file %q is empty", name)
	case len(content) > MaxFileBytes:
		return errors.Mark(errors.Newf("file %q has %d bytes, more than %d", name, len(content), MaxFileBytes), ErrTooLarge)
	}
	return nil
}

// EncodeSnapshot returns a snapshot record with all files as of Offset,
// including tombstones. The error is marked ErrTooLarge if the snapshot exceeds
// MaxRecordBytes.
func (s *State) EncodeSnapshot() ([]byte, error) {
	r := record{Kind: snapshotRecord, UpTo: s.offset}
	for _, f := range s.Files() {
		r.Files = append(r.Files, recordFile(f))
	}
	return encodeRecord(r)
}

func compareFileNames(a, b File) int { return cmp.Compare(a.Name, b.Name) }
