package config

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/tailscale/hujson"
)

// FuzzMerge guards against a published file that makes readers panic or apply an
// invalid configuration. For any bytes, Merge must return the same configuration
// each time, with every value in its range, and must report a file that does not
// parse.
func FuzzMerge(f *testing.F) {
	f.Fuzz(func(t *testing.T, first, second []byte) {
		files := []File{{Name: "20.json", Content: second}, {Name: "10.json", Content: first}}
		merged, faults := Merge(files)
		if again, _ := Merge(files); !reflect.DeepEqual(merged, again) {
			t.Fatalf("second merge of the same files differs: %+v and %+v", merged, again)
		}
		if _, err := hujson.Parse(append(bytes.Clone(first), '\n')); err != nil && len(faults) == 0 {
			t.Fatalf("no fault for a file that does not parse: %v", err)
		}
		if len(Check(files)) < len(faults) {
			t.Fatal("Check reports less than Merge")
		}
		for _, v := range merged.Values() {
			checkValue(t, merged, v)
		}
	})
}

// checkValue checks that a merged value is in the range of its field and that its
// file is the one in SourceFiles.
func checkValue(t *testing.T, merged MergeResult, v Value) {
	field := fieldForPath(v.Path)
	if field == nil || v.File != merged.SourceFiles[v.Path] {
		t.Fatalf("value %+v has no field, or its file differs from SourceFiles", v)
	}
	if n, err := strconv.ParseInt(v.Text, 10, 64); !field.List() && (err != nil || n < field.Min || n > field.Max) {
		t.Fatalf("%s = %s, expected %s", v.Path, v.Text, field.Expected())
	}
}

// fieldForPath returns the field for a path whose second part may be the name of a
// service or team, or nil.
func fieldForPath(path string) *Field {
	parts := strings.Split(path, ".")
	for _, field := range Fields() {
		pattern := strings.Split(field.Path, ".")
		if len(pattern) == len(parts) && pattern[1] == nameWildcard {
			pattern[1] = parts[1]
		}
		if strings.Join(pattern, ".") == path {
			return &field
		}
	}
	return nil
}

// FuzzApply guards against a record that makes readers panic or stop, and against
// one that gets another outcome from a reader that starts after the log was
// trimmed.
func FuzzApply(f *testing.F) {
	first, err := EncodeChange(Change{ID: "f", BaseVersions: map[string]uint64{"a.json": 0}, Put: map[string][]byte{"a.json": []byte("{}")}})
	if err != nil {
		f.Fatal(err)
	}
	afterFirst := NewState()
	afterFirst.Apply(1, 1, first)
	snapshot, err := afterFirst.EncodeSnapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reader, late := NewState(), NewState()
		reader.Apply(1, 1, first)
		outcome, err := reader.Apply(2, 1, data)
		late.Apply(2, 2, data)
		if reader.Offset() != 2 {
			t.Fatalf("offset %d after record 2", reader.Offset())
		}
		// A snapshot up to record 1 closes the gap for late, whatever files it holds.
		// Its results are then not comparable with those of reader.
		if late.Offset() == 0 {
			late.Apply(3, 2, snapshot)
			deferred := late.DeferredResults()
			if len(deferred) != 2 || deferred[0].Outcome != outcome || (deferred[0].Err == nil) != (err == nil) {
				t.Fatalf("deferred results of the late reader are %+v, want first %+v and %v", deferred, outcome, err)
			}
		}
		if !NewState().Restore(late.Offset(), late.Files()) {
			t.Fatal("files of a state cannot be restored")
		}
	})
}
