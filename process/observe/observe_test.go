package observe

import (
	"bytes"
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// logBuffer collects the log lines of a test.
type logBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

// count returns how many times text occurs in the log.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.all.String(), text)
}

// startAdmin runs a server until the end of the test and returns its base URL.
func startAdmin(t *testing.T, a *admin) string {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- a.execute() }()
	t.Cleanup(func() {
		a.interrupt(nil)
		if err := <-ended; err != nil {
			t.Errorf("execute returned %v after interrupt", err)
		}
		a.observer.Close()
	})
	return "http://" + <-a.boundAddr
}

func get(t *testing.T, url string) (int, []byte) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, data
}

func emptyState() any    { return struct{}{} }
func alwaysReady() error { return nil }

// Guards against a metric or tag that docs/metrics.md does not describe, and
// against a description of a metric that does not exist.
func TestMetricNamesMatchPage(t *testing.T) {
	names, tags := make(map[string]bool), make(map[string]bool)
	file, err := parser.ParseFile(token.NewFileSet(), "names.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || spec.Names[0].Name == "Prefix" {
			return true
		}
		value, _ := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if strings.HasPrefix(spec.Names[0].Name, "Tag") {
			tags[value] = true
		} else {
			names[value] = true
		}
		return true
	})
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (?:counter|gauge|timer|histogram) \\| (.*?) ?\\| ")
	described := make(map[string]bool)
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		described[match[1]] = true
		if !names[match[1]] {
			t.Errorf("the page describes %s, which names.go lacks", match[1])
		}
		for _, tag := range regexp.MustCompile("[a-z_]+").FindAllString(match[2], -1) {
			if !tags[tag] {
				t.Errorf("the page gives %s the tag %s, which names.go lacks", match[1], tag)
			}
		}
	}
	for name := range names {
		if !described[name] {
			t.Errorf("the page does not describe %s", name)
		}
	}
}

// Guards against a violation that is missing from the counter or the log, and
// against a dump that does not show the latest violations after more than 20.
func TestViolationsAreCountedLoggedAndKept(t *testing.T) {
	log := &logBuffer{}
	observer := New("test", log)
	for i := range maxKeptViolations + 5 {
		observer.ReportViolation("G1", "dispatch", "agent-1", strconv.Itoa(i))
	}
	last, count := observer.Violations()
	if len(last) != maxKeptViolations || last[0].Detail != "5" || last[maxKeptViolations-1].Detail != "24" {
		t.Errorf("kept %d violations from %+v", len(last), last[0])
	}
	if count["G1"] != maxKeptViolations+5 || log.count("guarantee violated") != maxKeptViolations+5 {
		t.Errorf("counted %d, logged %d violations", count["G1"], log.count("guarantee violated"))
	}
	observer.Close() // reports the metrics a last time
	a := newAdmin("127.0.0.1:0", observer, emptyState, alwaysReady)
	recorder := httptest.NewRecorder()
	a.server.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	if want := `azurerouter_invariant_violations{guarantee="G1"} 25`; !strings.Contains(recorder.Body.String(), want) {
		t.Errorf("/metrics lacks %s", want)
	}
}

// Guards against one log line per occurrence while a condition is active.
func TestConditionLogsStartAndEnd(t *testing.T) {
	log := &logBuffer{}
	condition := New("test", log).Condition("log service unreachable")
	condition.Set(nil)
	for range 2 {
		for range 100 {
			condition.Set(errors.New("refused"))
		}
		condition.Set(nil)
		condition.Set(nil)
	}
	if log.count("condition started") != 2 || log.count("condition ended") != 2 || log.count(`"occurrences":100`) != 2 {
		t.Errorf("log is\n%s", log.all.String())
	}
}

// Guards against an admin server, which has no authentication, on an address that
// other machines can reach.
func TestAdminRefusesOtherAddresses(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", ":0", "192.0.2.1:80", "localhost:0", "127.0.0.1"} {
		a := newAdmin(addr, New("test", io.Discard), emptyState, alwaysReady)
		a.interrupt(nil) // a server that starts despite the address then ends at once
		if a.execute() == nil {
			t.Errorf("%q was accepted", addr)
		}
	}
}

// Guards against /ready reporting a process as ready that is not, to which a load
// balancer would then send callers.
func TestReadyReportsProcessState(t *testing.T) {
	var mu sync.Mutex
	reason := errors.New("no configuration")
	url := startAdmin(t, newAdmin("127.0.0.1:0", New("test", io.Discard), emptyState, func() error {
		mu.Lock()
		defer mu.Unlock()
		return reason
	}))
	if status, body := get(t, url+"/ready"); status != http.StatusServiceUnavailable || !strings.Contains(string(body), "no configuration") {
		t.Errorf("not ready: %d %s", status, body)
	}
	if status, _ := get(t, url+"/health"); status != http.StatusOK {
		t.Errorf("health of a process that is not ready: %d", status)
	}
	mu.Lock()
	reason = nil
	mu.Unlock()
	if status, _ := get(t, url+"/ready"); status != http.StatusOK {
		t.Errorf("ready: %d", status)
	}
}

// Guards against a dump that exceeds its size limit, or that is no longer valid
// JSON after members were left out.
func TestDumpIsBounded(t *testing.T) {
	big := strings.Repeat("x", MaxDumpBytes)
	manyMembers := make(map[string]string)
	for i := range 20_000 {
		manyMembers[strconv.Itoa(i)+big[:100]] = "x"
	}
	states := map[string]any{
		"object": map[string]any{"jobs": big, "queue": 7},
		"string": big,
		"many":   manyMembers,
	}
	for name, state := range states {
		observer := New("test", io.Discard)
		for range maxKeptViolations {
			observer.ReportViolation("G1", "step", "peer", strings.Repeat("\x00", MaxDumpBytes/maxKeptViolations))
		}
		data, err := newDumper(observer, func() any { return state }, alwaysReady).take()
		if err != nil || len(data) > MaxDumpBytes {
			t.Errorf("%s: dump of %d bytes, error %v", name, len(data), err)
		}
		var dump Dump
		if err := json.Unmarshal(data, &dump); err != nil || len(dump.OmittedMembers) == 0 {
			t.Errorf("%s: error %v, omitted %v", name, err, dump.OmittedMembers)
		}
		if name == "object" && string(dump.State) != `{"queue":7}` {
			t.Errorf("small members were left out: %s", dump.State)
		}
	}
}

// Guards against dump requests that accumulate while one waits for a lock, and
// against a server that answers no other request meanwhile.
func TestBlockedDumpBlocksNothingElse(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	a := newAdmin("127.0.0.1:0", New("test", io.Discard), func() any {
		entered <- struct{}{}
		<-release
		return nil
	}, alwaysReady)
	a.dumper.timeout = 0
	url := startAdmin(t, a)
	if status, body := get(t, url+"/dump"); status != http.StatusServiceUnavailable {
		t.Errorf("blocked dump: %d %s", status, body)
	}
	<-entered
	if status, body := get(t, url+"/dump"); status != http.StatusServiceUnavailable || !strings.Contains(string(body), "another dump") {
		t.Errorf("second dump: %d %s", status, body)
	}
	if status, _ := get(t, url+"/health"); status != http.StatusOK {
		t.Errorf("health during a blocked dump: %d", status)
	}
	close(release)
}

// Guards against a process whose state cannot be read when its admin server does
// not answer: SIGUSR1 has to write the dump to the log.
func TestSignalWritesDumpToLog(t *testing.T) {
	log := &logBuffer{}
	startAdmin(t, newAdmin("127.0.0.1:0", New("test", log), func() any { return map[string]int{"queue": 7} }, alwaysReady))
	if err := syscall.Kill(os.Getpid(), syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for log.count(`"state":{"queue":7}`) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("no dump in the log")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a panic when one metric is used with two sets of tags, which
// Prometheus rejects.
func TestMetricWithOtherTagsIsRejected(t *testing.T) {
	log := &logBuffer{}
	observer := New("test", log)
	defer observer.Close()
	observer.Metrics.Tagged(map[string]string{TagCode: "deadline"}).Counter(Refusals).Inc(1)
	observer.Metrics.Counter(Refusals).Inc(1)
	if log.count("metric rejected") != 1 {
		t.Errorf("log is\n%s", log.all.String())
	}
}
