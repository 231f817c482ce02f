package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/azurerouter/azurerouter/request/refusal"
)

var (
	testNow    = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	testLimits = Limits{DedupeWindow: 10 * time.Minute}
)

// Guards against invalid bodies that are accepted, and against refusals whose
// message does not name the fault.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		body := d.Input
		var tasks int
		if d.MaybeScanArgs(t, "tasks", &tasks) {
			body = strings.Replace(body, "TASKS", strings.Repeat("1,", tasks-1)+"1", 1)
		}
		var size int
		if d.MaybeScanArgs(t, "input-bytes", &size) {
			body = strings.Replace(body, "INPUT", `"`+strings.Repeat("x", size)+`"`, 1)
		}
		sub, err := Parse(strings.NewReader(body), d.Cmd == "request", testNow, testLimits)
		if err != nil {
			refused, ok := refusal.As(err)
			if !ok {
				t.Fatalf("error is not a *refusal.Error: %v", err)
			}
			return fmt.Sprintf("%d %s run=%s: %s\n", refused.Code.Status(), refused.Code, refused.Run, refused.Message)
		}
		return fmt.Sprintf("ok: %d tasks, %s, deadline in %v, keyed %v, first %v\n",
			len(sub.Inputs), sub.Priority, sub.Deadline.Sub(testNow), sub.Keyed(), sub.First)
	})
}

// Guards against different submissions with the same KeyHash or Digest, and
// against a resubmission that is taken for other work because its deadline
// differs.
func TestKeyHashAndDigest(t *testing.T) {
	if HashKey("a", "bc", "d") == HashKey("ab", "c", "d") {
		t.Error("different triples of team, service and key have the same KeyHash")
	}
	const body = `{"service":"card","team":"shop","key":"k","submitted_at":"2026-01-01T12:00:00Z","tasks":[1,2]%s}`
	parse := func(more string) *Submission {
		sub, err := Parse(strings.NewReader(fmt.Sprintf(body, more)), false, testNow, testLimits)
		if err != nil {
			t.Fatal(err)
		}
		return sub
	}
	original := parse("")
	if again := parse(`,"deadline_ms":100,"resubmission":true`); again.Digest != original.Digest {
		t.Error("a resubmission with another deadline has another Digest")
	}
	if other := parse(`,"priority":"batch"`); other.Digest == original.Digest {
		t.Error("a submission with another priority has the same Digest")
	}
}

// Guards against a partial answer, and against a result that replaces an earlier
// one of the same task, for results in any order and with repetitions.
func TestAnswerIsWholeAndKeepsFirstResults(t *testing.T) {
	outcomes := []Outcome{OK, OK, OK, Failed, NotStarted, Timeout, Cancelled, Unknown}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "tasks")
		j := New(&Submission{Inputs: make([]json.RawMessage, count)}, testNow)
		first := make([]Outcome, count)
		for j.Open() > 0 {
			if j.Answer() != nil {
				t.Fatal("Answer is not nil although a task has not ended")
			}
			task := rapid.IntRange(-1, count).Draw(t, "task")
			outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			firstResult := task >= 0 && task < count && first[task] == ""
			if j.Finish(task, TaskResult{Outcome: outcome, Output: []byte("1")}) != firstResult {
				t.Fatalf("Finish(%d) did not return %v", task, firstResult)
			}
			if firstResult {
				first[task] = outcome
			}
		}
		answer := j.Answer()
		for i, task := range answer.Tasks {
			if task.Outcome != first[i] {
				t.Fatalf("task %d has outcome %s, its first result had %s", i, task.Outcome, first[i])
			}
			if (answer.State == Complete) != (len(task.Output) > 0) {
				t.Fatalf("answer %s has output %q for task %d", answer.State, task.Output, i)
			}
			if answer.State == Complete && task.Outcome != OK {
				t.Fatalf("complete answer with a task of outcome %s", task.Outcome)
			}
		}
	})
}

// FuzzParse guards against bodies that make Parse panic, and against accepting
// submissions that exceed the limits or lack a required key.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"service":"card","team":"shop","key":"k","submitted_at":"2026-01-01T12:00:00Z","tasks":[1,{"a":2}]}`), false)
	f.Add([]byte(`{"service":"card","team":"shop","idempotent":true,"input":null,"deadline_ms":9007199254740993}`), true)
	f.Add([]byte(`{"service":"card","team":"shop","input":[[[[]]]],"needs":{"memory_mb":-1}}`), true)
	f.Fuzz(func(t *testing.T, body []byte, single bool) {
		sub, err := Parse(bytes.NewReader(body), single, testNow, testLimits)
		if err != nil {
			if _, ok := refusal.As(err); !ok {
				t.Fatalf("error is not a *refusal.Error: %v", err)
			}
			return
		}
		budget := sub.Deadline.Sub(testNow)
		if len(sub.Inputs) < 1 || len(sub.Inputs) > MaxTasks || budget <= 0 || budget > testLimits.DedupeWindow {
			t.Fatalf("accepted %d tasks with a budget of %v", len(sub.Inputs), budget)
		}
		if !sub.Keyed() && (!sub.Single || !sub.Idempotent) {
			t.Fatal("accepted without a key")
		}
	})
}
