package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"golang.org/x/tools/txtar"
)

// TestMergeDataDriven guards against wrong or missing faults, and against values
// that are lost, out of range or attributed to the wrong file when several files
// are merged.
func TestMergeDataDriven(t *testing.T) {
	datadriven.RunTest(t, "testdata/merge.txt", func(t *testing.T, td *datadriven.TestData) string {
		var files []File
		for _, f := range txtar.Parse([]byte(td.Input + "\n")).Files {
			files = append(files, File{Name: f.Name, Content: f.Data})
		}
		var out strings.Builder
		for _, fault := range Check(files) {
			fmt.Fprintln(&out, fault)
		}
		if td.Cmd == "check" {
			return out.String()
		}
		merged, _ := Merge(files)
		for _, v := range merged.Values() {
			if v.File != "" || td.HasArg("defaults") {
				fmt.Fprintf(&out, "%s = %s (%s) from %q\n", v.Path, v.Text, v.Unit, v.File)
			}
		}
		return out.String()
	})
}

// TestStreamDataDriven guards against wrong outcomes on conflicting, repeated or
// undecodable records, against snapshots and peer states that are wrongly applied
// or rejected, and against offsets that go back. Each command appends a record to
// a log, trims it, or reads it with a named reader.
func TestStreamDataDriven(t *testing.T) {
	log, readers := &testLog{firstRetained: 1}, map[string]*State{}
	datadriven.RunTest(t, "testdata/stream.txt", func(t *testing.T, td *datadriven.TestData) string {
		reader := NewState()
		if name := argValues(td, "reader"); len(name) > 0 {
			if readers[name[0]] == nil {
				readers[name[0]] = reader
			}
			reader = readers[name[0]]
		}
		switch td.Cmd {
		case "change":
			return log.appendChange(td)
		case "raw":
			return log.append([]byte(td.Input))
		case "snapshot":
			record, err := reader.EncodeSnapshot()
			if err != nil {
				return err.Error()
			}
			return log.append(record)
		case "forge":
			return log.append(forgedSnapshot(td))
		case "trim":
			td.ScanArgs(t, "first", &log.firstRetained)
			return ""
		case "skip":
			return formatResult(reader.Apply(reader.Next()+1, log.firstRetained, nil))
		case "repeat":
			return formatResult(reader.Apply(reader.Offset(), log.firstRetained, nil))
		case "read":
			return log.applyTo(reader) + formatState(reader)
		case "restore":
			from := readers[argValues(td, "from")[0]]
			if err := reader.RestoreFrom(from.Offset(), from.Files()); err != nil {
				return err.Error()
			}
			return formatDeferred(reader) + formatState(reader)
		}
		return "unknown command"
	})
}

func argValues(td *datadriven.TestData, key string) []string {
	arg, _ := td.Arg(key)
	return arg.Vals
}

// testLog is a log whose oldest records can be trimmed.
type testLog struct {
	// firstRetained is the offset of the first record that is not trimmed.
	firstRetained uint64
	// records holds all records, including trimmed ones; offsets start at 1.
	records [][]byte
}

func (l *testLog) nextOffset() uint64 { return uint64(len(l.records)) + 1 }

func (l *testLog) append(record []byte) string {
	l.records = append(l.records, record)
	return fmt.Sprintf("at %d\n", len(l.records))
}

// parseVersions parses pairs in the form "file:version".
func parseVersions(pairs []string) map[string]uint64 {
	versions := map[string]uint64{}
	for _, pair := range pairs {
		name, text, _ := strings.Cut(pair, ":")
		var version uint64
		fmt.Sscan(text, &version)
		versions[name] = version
	}
	return versions
}

func (l *testLog) appendChange(td *datadriven.TestData) string {
	c := Change{ID: argValues(td, "id")[0], BaseVersions: parseVersions(argValues(td, "base")), Put: map[string][]byte{},
		Delete: argValues(td, "delete")}
	for _, name := range argValues(td, "put") {
		c.Put[name] = []byte("{} // " + c.ID)
	}
	record, err := EncodeChange(c)
	if err != nil {
		return err.Error()
	}
	return l.append(record)
}

// forgedSnapshot returns a snapshot record with the given offset and versions, which
// need not agree with the log.
func forgedSnapshot(td *datadriven.TestData) []byte {
	r := record{Kind: snapshotRecord}
	fmt.Sscan(argValues(td, "upto")[0], &r.UpTo)
	for _, pair := range argValues(td, "files") {
		for name, version := range parseVersions([]string{pair}) {
			r.Files = append(r.Files, recordFile{Name: name, Version: version, Content: []byte("{} // forged")})
		}
	}
	record, _ := encodeRecord(r)
	return record
}

// applyTo applies all records up to the end of the log to s and returns the
// results, one per line.
func (l *testLog) applyTo(s *State) string {
	var out strings.Builder
	for offset := max(s.Next(), l.firstRetained); offset < l.nextOffset(); offset++ {
		outcome, err := s.Apply(offset, l.firstRetained, l.records[offset-1])
		out.WriteString(formatResult(outcome, err))
		out.WriteString(formatDeferred(s))
	}
	return out.String()
}

func formatDeferred(s *State) string {
	var out strings.Builder
	for _, result := range s.DeferredResults() {
		out.WriteString("  deferred " + formatResult(result.Outcome, result.Err))
	}
	return out.String()
}

func formatResult(v Outcome, err error) string {
	switch {
	case err != nil:
		return fmt.Sprintf("%T: %v\n", err, err)
	case v.Pending:
		return fmt.Sprintf("%d pending\n", v.Offset)
	case v.Snapshot:
		return fmt.Sprintf("%d snapshot\n", v.Offset)
	case v.Accepted:
		return fmt.Sprintf("%d %s accepted\n", v.Offset, v.ID)
	}
	return fmt.Sprintf("%d %s conflict on %s\n", v.Offset, v.ID, v.ConflictingFile)
}

func formatState(s *State) string {
	out := fmt.Sprintf("offset %d, next %d, snapshot up to %d:", s.Offset(), s.Next(), s.SnapshotOffset())
	for _, f := range s.Files() {
		out += fmt.Sprintf(" %s@%d", f.Name, f.Version)
		if f.Deleted() {
			out += "(deleted)"
		}
	}
	return out + "\n"
}
