package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// fakeEntries are HTTP servers that answer submissions as entries do, without running
// tasks, and record the request bodies.
type fakeEntries struct {
	t            *testing.T
	changeAnswer func(*job.Answer) // applied to each answer
	refuseWith   *refusal.Error    // if set, the answer to every submission

	mu     sync.Mutex
	bodies map[string][]string // by key; each begins with the index of the entry
}

// start starts n servers and returns their addresses, separated by commas.
func (f *fakeEntries) start(n int) string {
	f.bodies = make(map[string][]string)
	var addrs []string
	for i := range n {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(i, w, r) }))
		f.t.Cleanup(server.Close)
		addrs = append(addrs, server.Listener.Addr().String())
	}
	return strings.Join(addrs, ",")
}

func (f *fakeEntries) serve(entry int, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	sub, err := job.Parse(bytes.NewReader(body), r.URL.Path == "/v1/requests", time.Now(), job.Limits{DedupeWindow: 10 * time.Minute})
	if err != nil {
		f.t.Errorf("%s of %s: %v", r.URL.Path, body, err)
		return
	}
	f.mu.Lock()
	f.bodies[sub.Key] = append(f.bodies[sub.Key], fmt.Sprintf("%d %s %s", entry, r.URL.Path, body))
	f.mu.Unlock()
	if f.refuseWith != nil {
		w.WriteHeader(f.refuseWith.Code.Status())
		json.NewEncoder(w).Encode(map[string]string{"code": string(f.refuseWith.Code), "run": string(f.refuseWith.Run)})
		return
	}
	results := make([]job.TaskResult, len(sub.Inputs))
	for i := range results {
		results[i] = job.TaskResult{Outcome: job.OK, Output: sub.Inputs[i]}
	}
	answer := job.NewAnswer(sub, results)
	if f.changeAnswer != nil {
		f.changeAnswer(answer)
	}
	json.NewEncoder(w).Encode(answer)
}

func runLoadAgainst(addrs string, args ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	code := runLoad(append([]string{"-entry", addrs, "-resubmit-after", "0s"}, args...), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

func mustContain(t *testing.T, output string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(output, part) {
			t.Errorf("output lacks %q:\n%s", part, output)
		}
	}
}

// Guards against a run that submits more or less than requested, and against
// resubmissions that check nothing because they differ from the submission or go to the
// same entry.
func TestLoadSubmitsRequestedCount(t *testing.T) {
	f := &fakeEntries{t: t}
	code, output := runLoadAgainst(f.start(3), "-count", "200", "-clients", "8", "-tasks", "5", "-singles", "0.3", "-resubmit", "0.5")
	if code != exitOK || len(f.bodies) != 200 {
		t.Errorf("exit code %d, %d keys: %s", code, len(f.bodies), output)
	}
	resubmitted := 0
	for key, bodies := range f.bodies {
		if len(bodies) == 1 {
			continue
		}
		resubmitted++
		if len(bodies) != 2 || bodies[0][0] == bodies[1][0] || bodies[0][1:] != bodies[1][1:] {
			t.Errorf("%s was submitted as %q", key, bodies)
		}
	}
	if resubmitted < 60 || resubmitted > 140 {
		t.Errorf("%d of 200 were resubmitted", resubmitted)
	}
	mustContain(t, output, "submitted 200 ", "complete 200, failed 0", fmt.Sprintf("resubmitted %d, answers compared %d", resubmitted, resubmitted))
}

// Guards against runs with the same seed that submit different work, so that their
// results cannot be compared.
func TestLoadIsReproducibleBySeed(t *testing.T) {
	settings := loadSettings{entries: addressList{"a", "b"}, seed: 7, maxTasks: 9, singleShare: 0.2, resubmitShare: 0.2,
		mix: runTimeMix{{50, 1000, 98}, {2000, 4000, 2}}}
	draw := func(seed uint64) (items []loadSubmission) {
		settings.seed = seed
		planner := newLoadPlanner(settings)
		for range 1000 {
			items = append(items, planner.next())
		}
		return items
	}
	first := draw(7)
	if !reflect.DeepEqual(first, draw(7)) {
		t.Error("the same seed gives different submissions")
	}
	if reflect.DeepEqual(first, draw(8)) {
		t.Error("another seed gives the same submissions")
	}
	tasks, long := 0, 0
	for _, item := range first {
		for _, ms := range item.sleepsMS {
			tasks++
			if ms >= 2000 {
				long++
			}
			if ms < 50 || ms > 4000 || (ms > 1000 && ms < 2000) || time.Duration(ms)*time.Millisecond > item.ideal {
				t.Fatalf("task of %d ms, ideal %v", ms, item.ideal)
			}
		}
	}
	if share := float64(long) / float64(tasks); share < 0.01 || share > 0.03 {
		t.Errorf("%.3f of the tasks are long, not 0.02", share)
	}
}

// Guards against a run that exceeds its duration or accepts flags beyond the bounds, and
// against one that does not report the submissions that it could not send.
func TestLoadIsBounded(t *testing.T) {
	f := &fakeEntries{t: t}
	addrs := f.start(1)
	for _, rate := range []string{"0", "5000"} {
		code, output := runLoadAgainst(addrs, "-count", "1000000", "-duration", "50ms", "-rate", rate)
		if code != exitOK || strings.Contains(output, "submitted 1000000 ") {
			t.Errorf("rate %s: exit code %d: %s", rate, code, output)
		}
	}
	release := make(chan struct{})
	f.changeAnswer = func(*job.Answer) { <-release }
	settings, _, _ := parseLoadFlags([]string{"-entry", addrs, "-count", "10", "-rate", "1000", "-clients", "1"}, io.Discard, io.Discard)
	runner := newLoadRunner(settings)
	go func() { // blocks the only client until the other nine submissions are dropped
		defer close(release)
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			runner.report.mu.Lock()
			notSent := runner.report.notSent
			runner.report.mu.Unlock()
			if notSent == 9 {
				return
			}
		}
	}()
	var output bytes.Buffer
	runner.run().print(&output)
	mustContain(t, output.String(), "submitted 1 in", "not sent for lack of clients 9")
	for _, args := range [][]string{{"-count", "1000001"}, {"-duration", "1h"}, {"-clients", "5000"}, {"-tasks", "401"},
		{"-resubmit", "0.5"}, {"-singles", "NaN"}, {"-rate", "-1"}, {"-mix", "5-1:1"}, {"-mix", "0:1"}, {"stray"}} {
		if code, output := runLoadAgainst(addrs, args...); code != exitUsage {
			t.Errorf("%v: exit code %d: %s", args, code, output)
		}
	}
}

// Guards against wrong answers and refusals that are reported as success.
func TestLoadDetectsWrongAnswers(t *testing.T) {
	changes := map[string]func(*job.Answer){
		"answer to another key":               func(a *job.Answer) { a.Key = "other" },
		"answer with another number of tasks": func(a *job.Answer) { a.Tasks = a.Tasks[1:] },
		"partial answer":                      func(a *job.Answer) { a.Tasks[0].Outcome = "" },
		"state does not match the tasks":      func(a *job.Answer) { a.Tasks[0].Outcome = job.Failed },
		"resubmission with another answer":    func(a *job.Answer) { a.Tasks[0].Output = fmt.Appendf(nil, "%d", time.Now().UnixNano()) },
	}
	for fault, change := range changes {
		f := &fakeEntries{t: t, changeAnswer: change}
		code, output := runLoadAgainst(f.start(2), "-count", "5", "-resubmit", "1")
		if code != exitFailed {
			t.Errorf("%s: exit code %d", fault, code)
		}
		mustContain(t, output, "WRONG: "+fault)
	}
	f := &fakeEntries{t: t, refuseWith: refusal.New(refusal.Overloaded, "admit", "full")}
	code, output := runLoadAgainst(f.start(1), "-count", "5")
	if code != exitFailed {
		t.Errorf("nothing answered: exit code %d", code)
	}
	mustContain(t, output, "refused: overloaded run=no 5", "answered 0")
	_, output = runLoadAgainst(unusedAddr(t), "-count", "3")
	mustContain(t, output, "no answer: ")
}

// Guards against a response time that counts from the wrong moment, is compared with a
// task other than the longest, or includes resubmissions and failed answers.
func TestLoadReportsTimeOverIdeal(t *testing.T) {
	report := newLoadReport()
	answer := &job.Answer{State: job.Complete, Tasks: make([]job.TaskResult, 2)}
	item := loadSubmission{sleepsMS: []int{100_000, 200_000}, ideal: 200 * time.Second}
	for range 100 {
		report.addAnswer(answer, item, time.Now().Add(-300*time.Second))
		report.addAnswer(answer, item, time.Time{}) // a resubmission counts no time
	}
	report.addAnswer(&job.Answer{State: job.JobFailed, Tasks: make([]job.TaskResult, 2)}, item, time.Now())
	var output bytes.Buffer
	report.print(&output)
	mustContain(t, output.String(), "response time over ideal: p50 1.500 p95 1.500 p99 1.500", "minus ideal: p50 100007.9ms",
		"answered 101", "complete 100, failed 1, tasks 202")
}

// Guards against a number of messages per task that includes earlier messages or leaves
// out those of a process.
func TestLoadCountsMessagesPerTask(t *testing.T) {
	addr, observer := startProcess(t, "entry-1", nil)
	other, otherObserver := startProcess(t, "agent-1", nil)
	addSent := func(o *observe.Observer, kind string, n int64) {
		o.Metrics.Tagged(map[string]string{observe.TagKind: kind}).Counter(observe.MessagesSent).Inc(n)
	}
	admins := addressList{addr, other}
	awaitCounts := func(want messageCounts) { // metrics are updated within a second
		deadline := time.Now().Add(20 * time.Second)
		for counts := (messageCounts{}); !reflect.DeepEqual(counts, want); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("scraped %v, not %v", counts, want)
			}
			counts, _ = readMessageCounts(t.Context(), admins)
		}
	}
	addSent(observer, "dispatch", 1000)
	addSent(otherObserver, "answers", 1000)
	before := messageCounts{"dispatch": 1000, "answers": 1000}
	awaitCounts(before)
	addSent(observer, "dispatch", 20)
	addSent(otherObserver, "answers", 40)
	awaitCounts(messageCounts{"dispatch": 1020, "answers": 1040})
	var output bytes.Buffer
	if err := printMessagesPerTask(t.Context(), &output, admins, before, 20); err != nil {
		t.Error(err)
	}
	mustContain(t, output.String(), "messages per task 3.000: answers 2.000, dispatch 1.000")

	f := &fakeEntries{t: t}
	_, countedOutput := runLoadAgainst(f.start(1), "-count", "20", "-singles", "1", "-admin", admins.String())
	mustContain(t, countedOutput, "messages per task 0.000: ")
	if code, _ := runLoadAgainst(f.start(1), "-count", "1", "-admin", unusedAddr(t)); code != exitFailed {
		t.Errorf("unreachable process: exit code %d", code)
	}
}
