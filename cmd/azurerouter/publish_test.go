package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// memoryLog is a log in memory. Each append takes the next of its faults:
//
//	refused     certainly has no effect
//	lost        the request is lost
//	unanswered  the response is lost
//	slow        the response arrives after every timeout
//	down        as lost, and reads fail until the end of the command
//	delayed     as down, and the record is in transit until the command deliver appends it
//	raced       the record in transit is appended first
//	hidden      as unanswered, and reads fail until the next append
type memoryLog struct {
	// inTransit is a record that was sent and is not yet appended.
	inTransit []byte
	first     uint64
	records   []logclient.Record
	faults    []string
	appends   int
	down      bool
}

func (l *memoryLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.appends++
	fault := ""
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	l.down = fault == "down" || fault == "delayed" || fault == "hidden"
	switch fault {
	case "delayed":
		l.inTransit = data
		return 0, errors.New("connection reset")
	case "raced":
		l.add(l.inTransit)
	case "refused":
		return 0, errors.Mark(errors.New("log unavailable"), logclient.ErrNotAppended)
	case "lost", "down":
		return 0, errors.New("connection reset")
	}
	offset := l.add(data)
	switch fault {
	case "unanswered", "hidden":
		return 0, errors.New("connection reset")
	case "slow":
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return offset, nil
}

func (l *memoryLog) add(data []byte) uint64 {
	offset := uint64(len(l.records)) + 1
	l.records = append(l.records, logclient.Record{Offset: offset, Data: data})
	return offset
}

func (l *memoryLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	if l.down || ctx.Err() != nil {
		return logclient.Page{}, errors.New("log unavailable")
	}
	page := logclient.Page{First: l.first, Next: uint64(len(l.records)) + 1}
	for _, record := range l.records {
		if record.Offset >= max(from, l.first) && len(page.Records) < min(limit, 2) {
			page.Records = append(page.Records, record)
		}
	}
	if len(page.Records) == 0 {
		time.Sleep(wait)
	}
	return page, nil
}

var idPattern = regexp.MustCompile(`[0-9a-f]{32}`)

// TestCheckAndPublish guards against publications that overwrite a change of someone
// else, that report a wrong outcome after a lost response, or that are refused for a
// fault in a file of someone else; and against check or -h omitting documented output.
func TestCheckAndPublish(t *testing.T) {
	root, log := t.TempDir(), &memoryLog{first: 1}
	original := openConfigLog
	openConfigLog = func(string) configLog { return log }
	t.Cleanup(func() { openConfigLog = original })
	datadriven.RunTest(t, "testdata/commands.txt", func(t *testing.T, td *datadriven.TestData) string {
		path := root
		if arg, ok := td.Arg("dir"); ok {
			path = filepath.Join(root, arg.Vals[0])
			os.MkdirAll(path, 0o755)
		}
		name := ""
		td.MaybeScanArgs(t, "name", &name)
		var err error
		switch td.Cmd {
		case "write":
			err = os.WriteFile(filepath.Join(path, name), []byte(td.Input+"\n"), 0o644)
		case "remove":
			err = os.Remove(filepath.Join(path, name))
		case "show":
			content, readErr := os.ReadFile(filepath.Join(path, name))
			if readErr == nil {
				return string(content)
			}
			err = readErr
		case "list":
			return listFolder(path)
		case "other-change":
			var base uint64
			td.MaybeScanArgs(t, "base", &base)
			log.inTransit = changeRecord(t, name, base, td.Input)
		case "deliver":
			return fmt.Sprintln("at", log.add(log.inTransit))
		case "false-snapshot":
			record, _ := cbor.Marshal(map[int]any{1: 2, 6: 1, 7: []any{map[int]any{1: "x.json", 2: 1, 3: []byte("{}")}}})
			return fmt.Sprintln("at", log.add(record))
		case "append":
			return fmt.Sprintln("at", log.add([]byte(td.Input)))
		case "trim":
			td.ScanArgs(t, "first", &log.first)
		default:
			return runCommand(t, td, log, root, path)
		}
		if err != nil {
			return err.Error()
		}
		return ""
	})
}

// changeRecord encodes a change without the checks of a publisher, so that its name
// and content can be invalid.
func changeRecord(t *testing.T, name string, base uint64, content string) []byte {
	record, err := cbor.Marshal(map[int]any{1: 1, 2: "other", 3: map[string]uint64{name: base},
		4: map[string][]byte{name: []byte(content)}})
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func listFolder(path string) string {
	entries, _ := os.ReadDir(path)
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return strings.Join(names, " ") + "\n"
}

// runCommand runs check or publish in virtual time and returns its output, exit code
// and number of appends.
func runCommand(t *testing.T, td *datadriven.TestData, log *memoryLog, root, path string) string {
	var args []string
	if path != root {
		args = append(args, path)
	}
	if arg, ok := td.Arg("args"); ok {
		args = append(args, arg.Vals...)
	}
	arg, _ := td.Arg("faults")
	log.faults, log.appends = arg.Vals, 0
	var stdout, stderr bytes.Buffer
	code := 0
	synctest.Test(t, func(*testing.T) {
		if td.Cmd == "check" {
			code = runCheck(args, &stdout, &stderr)
		} else {
			code = runPublish(args, &stdout, &stderr)
		}
	})
	log.down = false
	out := stdout.String()
	if stderr.Len() > 0 {
		out += "stderr: " + stderr.String()
	}
	out = strings.ReplaceAll(idPattern.ReplaceAllString(out, "ID"), root, "ROOT")
	out = regexp.MustCompile(`(?m)[ \t]+$`).ReplaceAllString(out, "")
	return fmt.Sprintf("%sexit %d, %d appends\n", out, code, log.appends)
}

// TestExampleSettings guards against example settings that check refuses.
func TestExampleSettings(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := runCheck([]string{"../../examples/settings"}, &stdout, &stderr); code != exitOK {
		t.Errorf("exit %d: %s%s", code, &stdout, &stderr)
	}
}
