package observe

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Guards against decision lines that lack what on-call needs, or name a field
// twice.
func TestDecisionLine(t *testing.T) {
	var out bytes.Buffer
	o := New("entry-1", &out)
	defer o.Close()
	o.Decisions(10, 10).Decided(decision.Decision{Step: "place", Job: "j", Run: batch.Run{Task: batch.Task{Job: "j", Index: 3}, Number: 2},
		Peer: "agent-1", Outcome: "ordered", Reason: "r", Age: 5 * time.Millisecond, Version: 7, Inputs: []decision.Input{{Name: "tasks", Value: 4}}})
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{"step": "place", "job": "j", "run": "j.0.0.3#2", "peer": "agent-1", "outcome": "ordered", "reason": "r",
		"age_ms": 5.0, "version": 7.0, "tasks": 4.0}
	for name, value := range want {
		if line[name] != value {
			t.Errorf("%s is %v, expected %v", name, line[name], value)
		}
		if strings.Count(out.String(), `"`+name+`":`) != 1 {
			t.Errorf("%s is not named once in %s", name, out.String())
		}
	}
}

// Guards against logs without bound, and against lines of requests that go as
// planned which displace those of requests that do not.
func TestDecisionsAreBounded(t *testing.T) {
	o := New("entry-1", io.Discard)
	defer o.Close()
	d := o.Decisions(5, 3)
	admitted := func(routine bool, n int) (count int) {
		for range n {
			if d.admit(routine, 100) {
				count++
			}
		}
		return count
	}
	if got := admitted(true, 10); got != 3 {
		t.Errorf("%d routine lines, expected 3", got)
	}
	if got := admitted(false, 10); got != 2 {
		t.Errorf("%d other lines, expected 2", got)
	}
	if !d.admit(true, 101) {
		t.Error("no line in the next second")
	}
}

// stuck is a reader of logs that has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a process that stands still because nobody reads its log.
func TestLogDoesNotBlock(t *testing.T) {
	reader := stuck{make(chan struct{})}
	w := NewNonBlocking(reader, 4)
	for range 20 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if dropped := w.Dropped(); dropped < 15 || dropped > 16 {
		t.Errorf("%d lines dropped, expected the 20 less the queue and the one being written", dropped)
	}
	close(reader.release)
	w.Close(time.Minute)
}
