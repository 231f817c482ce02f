package config

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestTombstoneExpires guards against marks of deleted files that pile up for
// ever, and against readers that drop a mark at different offsets.
func TestTombstoneExpires(t *testing.T) {
	create, _ := EncodeChange(Change{ID: "c", Base: map[string]uint64{"a.json": 0}, Put: map[string][]byte{"a.json": []byte("{}")}})
	remove, _ := EncodeChange(Change{ID: "d", Base: map[string]uint64{"a.json": 1}, Delete: []string{"a.json"}})
	early := NewState()
	early.Apply(1, 1, create)
	early.Apply(2, 1, remove)
	for offset := uint64(3); offset <= tombstoneRetentionRecords; offset++ {
		early.Apply(offset, 1, nil)
	}
	peer := NewState()
	if !peer.Restore(early.Offset(), early.Files()) {
		t.Fatal("state not restored")
	}
	for i, want := range []bool{false, false, true} {
		for name, s := range map[string]*State{"early": early, "peer": peer} {
			if verdict, err := s.Apply(s.Next(), 1, create); err != nil || verdict.Accepted != want {
				t.Errorf("%s reader, repetition %d: %+v, %v, want accepted %t", name, i, verdict, err, want)
			}
		}
	}
}

// TestSizeBounds guards against records that the log or a reader could not
// take.
func TestSizeBounds(t *testing.T) {
	big := Change{ID: "p", Base: map[string]uint64{"a.json": 0}, Put: map[string][]byte{"a.json": make([]byte, MaxFileBytes+1)}}
	if _, err := EncodeChange(big); !errors.Is(err, ErrTooLarge) {
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
	// A full folder and the mark of one deletion per record must fit.
	marked := NewState()
	full := []File{{"0.json", 1, files[0].Content}, {"1.json", 1, files[0].Content}}
	for i := range uint64(tombstoneRetentionRecords) {
		full = append(full, File{Name: fmt.Sprintf("%0*d.json", MaxNameBytes-len(".json"), i), Version: i + 2})
	}
	marked.Restore(tombstoneRetentionRecords+1, full)
	if _, err := marked.EncodeSnapshot(); err != nil || len(marked.Files()) != len(full) {
		t.Errorf("snapshot of a full folder with %d of %d files: %v", len(marked.Files()), len(full), err)
	}
	if faults := Check(files); len(faults) == 0 || faults[0].File != "" {
		t.Errorf("no fault for a folder of %d bytes", len(files)*MaxFileBytes)
	}
	valid := bytes.Repeat([]byte(" "), MaxFileBytes+1)
	copy(valid, `{"teams": {"a": {}}}`)
	if merged, faults := Merge([]File{{Name: "a.json", Content: valid}}); len(faults) != 1 || len(merged.Source) > 0 {
		t.Errorf("faults of a large file: %v", faults)
	}
}
