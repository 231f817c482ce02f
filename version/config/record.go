package config

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Change is one publication. Base names, for each file that it touches, the
// version that it was made against, with 0 for a file that was never published.
// It may name further files that must not have changed.
type Change struct {
	// ID identifies the publication to its author; it must be unique.
	ID     string
	Base   map[string]uint64
	Put    map[string][]byte
	Delete []string
}

// recordKind is part of the record format. Readers skip records of a kind that
// they do not know, so a new kind must not change files.
type recordKind uint8

const (
	changeRecord   recordKind = 1
	snapshotRecord recordKind = 2
)

// record is the encoded form of a change or a snapshot. Numbers are part of the
// format and must not be reused; unknown ones are ignored.
type record struct {
	Kind   recordKind        `cbor:"1,keyasint"`
	ID     string            `cbor:"2,keyasint,omitempty"`
	Base   map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Put    map[string][]byte `cbor:"4,keyasint,omitempty"`
	Delete []string          `cbor:"5,keyasint,omitempty"`
	UpTo   uint64            `cbor:"6,keyasint,omitempty"`
	Files  []recordFile      `cbor:"7,keyasint,omitempty"`
}

type recordFile struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Content []byte `cbor:"3,keyasint,omitempty"`
}

// The decoding bounds are part of the record format: two readers with other
// bounds would disagree on which records can be decoded, and so on verdicts.
const (
	maxRecordElements = 1 << 17
	maxRecordNesting  = 4
)

var recordDecoding = func() cbor.DecMode {
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

var recordEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encodeRecord(r record) ([]byte, error) {
	data, err := recordEncoding.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode config record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Mark(errors.Newf("config record of %d bytes exceeds %d bytes", len(data), MaxRecordBytes),
			ErrTooLarge)
	}
	return data, nil
}

// decodeRecord returns the record at an offset of the log.
func decodeRecord(offset uint64, data []byte) (record, *RecordError) {
	var r record
	if err := recordDecoding.Unmarshal(data, &r); err != nil {
		return record{}, &RecordError{Offset: offset, Reason: err.Error()}
	}
	switch r.Kind {
	case changeRecord:
		return r, nil
	case snapshotRecord:
		if reason := r.snapshotFault(offset); reason != "" {
			return record{}, &RecordError{Offset: offset, Reason: reason}
		}
		return r, nil
	}
	return record{}, &RecordError{Offset: offset, Reason: "unknown kind of record"}
}

// snapshotFault says why a decoded snapshot cannot be one, or returns "".
func (r *record) snapshotFault(offset uint64) string {
	if r.UpTo >= offset {
		return "snapshot of a state that is newer than its own record"
	}
	return filesFault(r.UpTo, r.files())
}

// filesFault says why files cannot be the state up to an offset, or returns "".
func filesFault(upTo uint64, files []File) string {
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

// touched returns the files that a change writes or deletes, sorted.
func (r *record) touched() []string {
	var names []string
	for name := range r.Put {
		names = append(names, name)
	}
	names = append(names, r.Delete...)
	slices.Sort(names)
	return slices.Compact(names)
}

// EncodeChange returns the record of a publication. It is an error if the
// publication has no ID, touches no file, touches a file twice or without a
// version in Base, puts an empty file, or exceeds the bounds of a publication.
// The settings in the files are not checked; see Check.
func EncodeChange(c Change) ([]byte, error) {
	if c.ID == "" || len(c.ID) > MaxNameBytes {
		return nil, errors.Newf("publication id %q does not have 1 to %d bytes", c.ID, MaxNameBytes)
	}
	r := record{Kind: changeRecord, ID: c.ID, Base: c.Base, Put: c.Put, Delete: c.Delete}
	touched := r.touched()
	if len(touched) == 0 {
		return nil, errors.New("publication touches no file")
	}
	if len(touched) != len(c.Put)+len(c.Delete) {
		return nil, errors.New("publication touches a file twice")
	}
	for _, name := range touched {
		if err := checkTouched(c, name); err != nil {
			return nil, err
		}
	}
	return encodeRecord(r)
}

func checkTouched(c Change, name string) error {
	content, put := c.Put[name]
	_, based := c.Base[name]
	switch {
	case !ValidFileName(name):
		return errors.Newf("file name %q is not usable", name)
	case !based:
		return errors.Newf("publication names no version for file %q", name)
	case put && len(content) == 0:
		return errors.Newf("file %q is empty", name)
	case len(content) > MaxFileBytes:
		return errors.Mark(errors.Newf("file %q has %d bytes, more than %d", name, len(content), MaxFileBytes), ErrTooLarge)
	}
	return nil
}

// EncodeSnapshot returns a record with all files up to Offset. The error is
// marked ErrTooLarge if they do not fit into one record.
func (s *State) EncodeSnapshot() ([]byte, error) {
	r := record{Kind: snapshotRecord, UpTo: s.offset}
	for _, f := range s.Files() {
		r.Files = append(r.Files, recordFile(f))
	}
	return encodeRecord(r)
}

func compareFileNames(a, b File) int { return cmp.Compare(a.Name, b.Name) }
