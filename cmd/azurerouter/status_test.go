package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/azurerouter/azurerouter/process/observe"
)

// adminAddrWriter is the log output of a process. It sends the admin address that the
// process logs.
type adminAddrWriter chan string

func (a adminAddrWriter) Write(line []byte) (int, error) {
	var entry struct{ Message, Addr string }
	if json.Unmarshal(line, &entry) == nil && entry.Message == "admin listening" {
		a <- entry.Addr
	}
	return len(line), nil
}

// startProcess runs the admin server of a process and returns its address.
func startProcess(t *testing.T, name string, ready error) (string, *observe.Observer) {
	t.Helper()
	addr := make(adminAddrWriter, 1)
	observer := observe.New(name, addr)
	state := func() any {
		return map[string]any{"queue": 7, "agents": []int{1, 2, 3}, "faults": nil, "idle": 0, "jobs": []int{}}
	}
	execute, interrupt := observe.Admin("127.0.0.1:0", observer, state, func() error { return ready })
	ended := make(chan error, 1)
	go func() { ended <- execute() }()
	t.Cleanup(func() {
		interrupt(nil)
		<-ended
		observer.Close()
	})
	return <-addr, observer
}

// unusedAddr returns an address at which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against a table that looks healthy although a process is unreachable, is not
// ready or has violated a guarantee.
func TestStatusShowsProblemsFirst(t *testing.T) {
	good, _ := startProcess(t, "entry-1", nil)
	notReady, _ := startProcess(t, "entry-2", errors.New("no\x1b[2J configuration"))
	violated, observer := startProcess(t, "entry-3", nil)
	observer.ReportViolation("G5", "dispatch", "agent-9", "started twice")
	unreachable := unusedAddr(t)

	var stdout, stderr bytes.Buffer
	code := runStatus([]string{"-admin", good + "," + notReady, "-admin", violated + "," + unreachable}, &stdout, &stderr)
	if code != exitFailed {
		t.Errorf("exit code %d: %s", code, stderr.String())
	}
	lines := strings.Split(stdout.String(), "\n")
	want := [][]string{{unreachable, "no answer"}, {violated, "G5:1"}, {notReady, "configuration"},
		{good, "entry-1", "yes", "none", "queue=7 agents=[3]"}, {"4 processes, 1 without an answer, 1 not ready"},
		{"G5 violated", "started twice"}}
	for i, parts := range want {
		for _, part := range parts {
			if !strings.Contains(lines[i+1], part) {
				t.Errorf("line %d lacks %q: %s", i+1, part, lines[i+1])
			}
		}
	}
	if !strings.HasSuffix(lines[4], " queue=7 agents=[3]") {
		t.Errorf("the row contains members with omitted values: %s", lines[4])
	}
	if strings.Contains(stdout.String(), "\x1b") {
		t.Error("a control character of another process is in the output")
	}
	if code := runStatus([]string{"-admin", good}, &stdout, &stderr); code != exitOK {
		t.Errorf("healthy process: exit code %d: %s", code, stderr.String())
	}
}

// Guards against -h that exits with the code of a usage error, and against an unknown
// flag that exits with another code.
func TestHelpExitsWithZero(t *testing.T) {
	for name, command := range map[string]func([]string, io.Writer, io.Writer) int{
		"status": runStatus, "dump": runDump, "keys": runKeys, "submit": runSubmit, "check": runCheck} {
		if code := command([]string{"-h"}, io.Discard, io.Discard); code != exitOK {
			t.Errorf("%s -h: exit code %d", name, code)
		}
		if code := command([]string{"-no-such-flag"}, io.Discard, io.Discard); code != exitUsage {
			t.Errorf("%s with an unknown flag: exit code %d", name, code)
		}
	}
}

// Guards against a submit command that exits with 0 for a failed job.
func TestSubmitFailsForFailedJob(t *testing.T) {
	body := `{"state":"complete"}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
	defer server.Close()
	args := []string{"-entry", server.URL, "-file", os.DevNull}
	if code := runSubmit(args, io.Discard, io.Discard); code != exitOK {
		t.Errorf("complete job: exit code %d", code)
	}
	body = `{"state":"failed"}`
	if code := runSubmit(args, io.Discard, io.Discard); code != exitFailed {
		t.Errorf("failed job: exit code %d", code)
	}
}

// Guards against a dump command that exits with 0 without printing a dump.
func TestDumpPrintsStateOrFails(t *testing.T) {
	addr, _ := startProcess(t, "entry-1", nil)
	var stdout, stderr bytes.Buffer
	if code := runDump([]string{addr}, &stdout, &stderr); code != exitOK {
		t.Errorf("exit code %d: %s", code, stderr.String())
	}
	var dump observe.Dump
	if err := json.Unmarshal(stdout.Bytes(), &dump); err != nil || dump.Process != "entry-1" {
		t.Errorf("dump %+v, error %v", dump, err)
	}
	if code := runDump([]string{unusedAddr(t)}, &stdout, &stderr); code != exitFailed {
		t.Errorf("unreachable process: exit code %d", code)
	}
}
