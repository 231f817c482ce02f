package config

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestTombstoneExpires guards against tombstones that accumulate without limit, and
// against readers that drop a tombstone at different offsets. A repetition of the
// record that created the file must be rejected until the tombstone expires and
// accepted directly after, by a reader of all records and by one restored from its
// state.
func TestTombstoneExpires(t *testing.T) {
	create, _ := EncodeChange(Change{ID: "c", BaseVersions: map[string]uint64{"a.json": 0}, Put: map[string][]byte{"a.json": []byte("{}")}})
	remove, _ := EncodeChange(Change{ID: "d", BaseVersions: map[string]uint64{"a.json": 1}, Delete: []string{"a.json"}})
	original := NewState()
	original.Apply(1, 1, create)
	original.Apply(2, 1, remove)
	for offset := uint64(3); offset <= tombstoneRetentionRecords; offset++ {
		original.Apply(offset, 1, nil)
	}
	restored := NewState()
	if !restored.Restore(original.Offset(), original.Files()) {
		t.Fatal("state not restored")
	}
	for i, want := range []bool{false, false, true} {
		for name, s := range map[string]*State{"original": original, "restored": restored} {
			if outcome, err := s.Apply(s.Next(), 1, create); err != nil || outcome.Accepted != want {
				t.Errorf("%s reader, repetition %d: %+v, %v, want accepted %t", name, i, outcome, err, want)
			}
		}
	}
}

// TestSizeBounds guards against records that are too large for the log, and against
// files that are too large for readers. A full folder with the largest number of
// tombstones must still fit into a snapshot.
func TestSizeBounds(t *testing.T) {
	tooLarge := Change{ID: "p", BaseVersions: map[string]uint64{"a.json": 0}, Put: map[string][]byte{"a.json": make([]byte, MaxFileBytes+1)}}
	if _, err := EncodeChange(tooLarge); !errors.Is(err, ErrTooLarge) {
		t.Errorf("change with a large file: %v", err)
	}
	var files []File
	for i := range MaxRecordBytes/MaxFileBytes + 1 {
		files = append(files, File{Name: fmt.Sprintf("%d.json", i), Version: 1, Content: bytes.Repeat([]byte("x"), MaxFileBytes)})
	}
	s := NewState()
	s.Restore(1, files)
	if _, err := s.EncodeSnapshot(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("snapshot of large files: %v", err)
	}
	// A full folder and one tombstone for each record of their retention must fit.
	fullState := NewState()
	fullFiles := []File{{"0.json", 1, files[0].Content}, {"1.json", 1, files[0].Content}}
	for i := range uint64(tombstoneRetentionRecords) {
		fullFiles = append(fullFiles, File{Name: fmt.Sprintf("%0*d.json", MaxNameBytes-len(".json"), i), Version: i + 2})
	}
	fullState.Restore(tombstoneRetentionRecords+1, fullFiles)
	if _, err := fullState.EncodeSnapshot(); err != nil || len(fullState.Files()) != len(fullFiles) {
		t.Errorf("snapshot of a full folder with %d of %d files: %v", len(fullState.Files()), len(fullFiles), err)
	}
	if faults := Check(files); len(faults) == 0 || faults[0].File != "" {
		t.Errorf("no fault for a folder of %d bytes", len(files)*MaxFileBytes)
	}
	oversized := bytes.Repeat([]byte(" "), MaxFileBytes+1)
	copy(oversized, `{"teams": {"a": {}}}`)
	if merged, faults := Merge([]File{{Name: "a.json", Content: oversized}}); len(faults) != 1 || len(merged.SourceFiles) > 0 {
		t.Errorf("faults of a large file: %v", faults)
	}
}
