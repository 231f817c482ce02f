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

// lines collects log lines for a test.
type lines struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

func (l *lines) with(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.all.String(), message)
}

// startAdmin returns the base URL of the server.
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
	return "http://" + <-a.bound
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

func nothing() any   { return struct{}{} }
func isReady() error { return nil }

// Guards against a metric that operators cannot look up, and against a page
// that describes a metric which no longer exists.
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

// Guards against violations that are lost: to the counter, to the log, or to
// the dump when more than 20 have happened.
func TestViolationsAreCountedLoggedAndKept(t *testing.T) {
	log := &lines{}
	observer := New("test", log)
	for i := range keptViolations + 5 {
		observer.Violated("G1", "dispatch", "agent-1", strconv.Itoa(i))
	}
	last, count := observer.Violations()
	if len(last) != keptViolations || last[0].Detail != "5" || last[keptViolations-1].Detail != "24" {
		t.Errorf("kept %d violations from %+v", len(last), last[0])
	}
	if count["G1"] != keptViolations+5 || log.with("guarantee violated") != keptViolations+5 {
		t.Errorf("counted %d, logged %d violations", count["G1"], log.with("guarantee violated"))
	}
	observer.Close() // reports the metrics a last time
	a := newAdmin("127.0.0.1:0", observer, nothing, isReady)
	recorder := httptest.NewRecorder()
	a.server.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	if want := `azurerouter_invariant_violations{guarantee="G1"} 25`; !strings.Contains(recorder.Body.String(), want) {
		t.Errorf("/metrics lacks %s", want)
	}
}

// Guards against a log that fills with one line per occurrence while a
// condition lasts.
func TestConditionLogsStartAndEnd(t *testing.T) {
	log := &lines{}
	condition := New("test", log).Condition("log service unreachable")
	condition.Set(nil)
	for range 2 {
		for range 100 {
			condition.Set(errors.New("refused"))
		}
		condition.Set(nil)
		condition.Set(nil)
	}
	if log.with("condition started") != 2 || log.with("condition ended") != 2 || log.with(`"occurrences":100`) != 2 {
		t.Errorf("log is\n%s", log.all.String())
	}
}

// Guards against an admin server without authentication on an address that
// other machines reach.
func TestAdminRefusesOtherAddresses(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", ":0", "192.0.2.1:80", "localhost:0", "127.0.0.1"} {
		a := newAdmin(addr, New("test", io.Discard), nothing, isReady)
		a.interrupt(nil) // a server that starts after all ends at once
		if a.execute() == nil {
			t.Errorf("%q was accepted", addr)
		}
	}
}

// Guards against a load balancer that sends callers to a process that is not
// ready.
func TestReadyFollowsProcess(t *testing.T) {
	var mu sync.Mutex
	reason := errors.New("no configuration")
	url := startAdmin(t, newAdmin("127.0.0.1:0", New("test", io.Discard), nothing, func() error {
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

// Guards against a dump that exceeds its limit, or that is no longer JSON when
// it is cut.
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
		for range keptViolations {
			observer.Violated("G1", "step", "peer", strings.Repeat("\x00", MaxDumpBytes/keptViolations))
		}
		data, err := newDumper(observer, func() any { return state }, isReady).take()
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

// Guards against requests for a dump that pile up behind a lock, and against
// a server that answers nothing else meanwhile.
func TestBlockedDumpBlocksNothingElse(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	a := newAdmin("127.0.0.1:0", New("test", io.Discard), func() any {
		entered <- struct{}{}
		<-release
		return nil
	}, isReady)
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

// Guards against a process that cannot be inspected when its admin address
// does not answer.
func TestSignalWritesDumpToLog(t *testing.T) {
	log := &lines{}
	startAdmin(t, newAdmin("127.0.0.1:0", New("test", log), func() any { return map[string]int{"queue": 7} }, isReady))
	if err := syscall.Kill(os.Getpid(), syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for log.with(`"state":{"queue":7}`) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("no dump in the log")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a process that panics because one metric is used with two
// sets of tags, which Prometheus does not accept.
func TestMetricWithOtherTagsIsRejected(t *testing.T) {
	log := &lines{}
	observer := New("test", log)
	defer observer.Close()
	observer.Metrics.Tagged(map[string]string{TagCode: "deadline"}).Counter(Refusals).Inc(1)
	observer.Metrics.Counter(Refusals).Inc(1)
	if log.with("metric rejected") != 1 {
		t.Errorf("log is\n%s", log.all.String())
	}
}
