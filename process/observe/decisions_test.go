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

// Guards against decision lines that lack a field which the on-call engineer needs
// to explain a decision, or that contain a field twice.
func TestDecisionLine(t *testing.T) {
	var out bytes.Buffer
	o := New("entry-1", &out)
	defer o.Close()
	o.Decisions(10, 10).Record(decision.Decision{Step: "place", Job: "j", Run: batch.Run{Task: batch.Task{Job: "j", Index: 3}, Number: 2},
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
			t.Errorf("%s does not appear exactly once in %s", name, out.String())
		}
	}
}

// Guards against a log of decisions that grows without limit, and against routine
// lines that use up the whole limit, so that other lines are omitted.
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

// blockedWriter blocks each write until release is closed, like a pipe whose
// reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a process that blocks because the reader of its log has stopped
// reading and the pipe is full.
func TestLogDoesNotBlock(t *testing.T) {
	blocked := blockedWriter{make(chan struct{})}
	w := NewNonBlockingWriter(blocked, 4)
	for range 20 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if dropped := w.Dropped(); dropped < 15 || dropped > 16 {
		t.Errorf("%d lines dropped, expected 20 less 4 in the queue and at most 1 being written", dropped)
	}
	close(blocked.release)
	w.Close(time.Minute)
}
