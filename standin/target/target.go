// Package target is a stand-in of a target. The input of a task says how long
// it runs and how it ends; faults are switched on through POST /control; every
// start is recorded and can be read with GET /control/starts.
package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Headers of the protocol.
const (
	headerTask       = "Azurerouter-Task"
	headerNotStarted = "Azurerouter-Not-Started"
)

const (
	maxInputBytes   = 1 << 20
	maxControlBytes = 64 << 10
)

// Input is the input of a task.
type Input struct {
	// SleepMS is how long the task runs, in milliseconds.
	SleepMS float64 `json:"sleep_ms"`
	// Fail makes the task end with status 500 after its run time.
	Fail bool `json:"fail"`
	// Output is the output of the task, any JSON value; null if absent.
	Output json.RawMessage `json:"output"`
}

// Control is the body of POST /control. A field that is absent keeps its
// value, except for ResetStarts, which is an action.
type Control struct {
	// Freeze stops the clock of every task and answers nothing, as if the
	// process were paused. Tasks that arrive meanwhile are not started until
	// it ends.
	Freeze bool `json:"freeze"`
	// FailAll starts every new task and fails it at once with status 500.
	FailAll bool `json:"fail_all"`
	// Hang starts every new task and never answers it, until the request is
	// closed.
	Hang bool `json:"hang"`
	// Refuse answers every new task with 503 and Azurerouter-Not-Started, and
	// starts nothing.
	Refuse bool `json:"refuse"`
	// SlowFactor multiplies the run time of new tasks; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ResetStarts clears, once, the record of starts and the counters.
	ResetStarts bool `json:"reset_starts,omitempty"`
}

// Counters count the ends of tasks since the start or the last reset.
type Counters struct {
	// Started is the number of starts; each ends in one of the next three.
	Started uint64 `json:"started"`
	// Succeeded is the number of tasks answered with status 200.
	Succeeded uint64 `json:"succeeded"`
	// Failed is the number of tasks answered with status 500.
	Failed uint64 `json:"failed"`
	// Stopped is the number of tasks whose request was closed.
	Stopped uint64 `json:"stopped"`
	// Refused is the number of tasks refused without a start.
	Refused uint64 `json:"refused"`
	// Waiting is the number of tasks that have arrived during a freeze and
	// wait for its end.
	Waiting int `json:"waiting"`
	// Running is the number of tasks running now.
	Running int `json:"running"`
	// PeakRunning is the highest number of tasks running at once.
	PeakRunning int `json:"peak_running"`
}

// Status is the body of the answers to GET and POST /control.
type Status struct {
	Control  Control  `json:"control"`
	Counters Counters `json:"counters"`
}

// Starts is the body of the answer to GET /control/starts.
type Starts struct {
	// Total is the number of starts.
	Total int `json:"total"`
	// Tasks holds the number of starts by the value of the Azurerouter-Task
	// header, which is "keyhash/index".
	Tasks map[string]int `json:"tasks"`
}

// Target is the target. It implements http.Handler and is safe for concurrent
// use.
type Target struct {
	mux *http.ServeMux

	mu       sync.Mutex
	control  Control
	counters Counters
	starts   map[string]int
	changed  chan struct{}
}

// New returns a target that has started nothing.
func New() *Target {
	t := &Target{mux: http.NewServeMux(), starts: make(map[string]int), changed: make(chan struct{})}
	t.mux.HandleFunc("POST /v1/tasks", t.serveTask)
	t.mux.HandleFunc("GET /control", t.serveControl)
	t.mux.HandleFunc("POST /control", t.serveControl)
	t.mux.HandleFunc("GET /control/starts", t.serveStarts)
	return t
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Starts returns the record of starts.
func (t *Target) Starts() Starts {
	t.mu.Lock()
	defer t.mu.Unlock()
	starts := Starts{Tasks: make(map[string]int, len(t.starts))}
	for task, count := range t.starts {
		starts.Tasks[task] = count
		starts.Total += count
	}
	return starts
}

// Status returns the settings in force and the counters.
func (t *Target) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{Control: t.control, Counters: t.counters}
}

// SetControl puts all settings in force at once.
func (t *Target) SetControl(control Control) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if control.ResetStarts {
		clear(t.starts)
		t.counters = Counters{Waiting: t.counters.Waiting, Running: t.counters.Running, PeakRunning: t.counters.Running}
	}
	control.ResetStarts = false
	t.control = control
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Target) serveTask(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxInputBytes))
	if err != nil {
		http.Error(w, "input could not be read", http.StatusBadRequest)
		return
	}
	var input Input
	if err := json.Unmarshal(raw, &input); err != nil {
		http.Error(w, "input is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.count(func(c *Counters) { c.Waiting++ })
	thawed := t.awaitThaw(r.Context())
	t.count(func(c *Counters) { c.Waiting-- })
	if !thawed {
		panic(http.ErrAbortHandler)
	}
	control, ok := t.start(r.Header.Get(headerTask))
	if !ok {
		w.Header().Set(headerNotStarted, "true")
		http.Error(w, "task was not started", http.StatusServiceUnavailable)
		return
	}
	if !t.execute(r.Context(), input, control) {
		t.end(func(c *Counters) { c.Stopped++ })
		panic(http.ErrAbortHandler)
	}
	if input.Fail || control.FailAll {
		t.end(func(c *Counters) { c.Failed++ })
		http.Error(w, "task failed", http.StatusInternalServerError)
		return
	}
	t.end(func(c *Counters) { c.Succeeded++ })
	if len(input.Output) == 0 {
		input.Output = json.RawMessage("null")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(input.Output)
}

// start records a start, unless the target refuses. It returns the settings
// that hold for the whole task.
func (t *Target) start(task string) (Control, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.control.Refuse {
		t.counters.Refused++
		return Control{}, false
	}
	t.starts[task]++
	t.counters.Started++
	t.counters.Running++
	t.counters.PeakRunning = max(t.counters.PeakRunning, t.counters.Running)
	return t.control, true
}

func (t *Target) end(change func(*Counters)) {
	t.count(func(c *Counters) {
		c.Running--
		change(c)
	})
}

func (t *Target) count(change func(*Counters)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.counters)
}

// execute runs the task. It reports false if the request was closed first.
func (t *Target) execute(ctx context.Context, input Input, control Control) bool {
	if control.Hang {
		<-ctx.Done()
		return false
	}
	if control.FailAll {
		return true
	}
	left := time.Duration(input.SleepMS * float64(time.Millisecond))
	if control.SlowFactor > 0 {
		left = time.Duration(float64(left) * control.SlowFactor)
	}
	for left > 0 {
		var ok bool
		if left, ok = t.runUntilChange(ctx, left); !ok {
			return false
		}
	}
	return t.awaitThaw(ctx)
}

// runUntilChange runs for at most left and returns what is left when the
// settings change. It reports false if the request was closed first.
func (t *Target) runUntilChange(ctx context.Context, left time.Duration) (time.Duration, bool) {
	if !t.awaitThaw(ctx) {
		return 0, false
	}
	_, changed := t.frozen()
	start := time.Now()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0, true
	case <-changed:
		return left - time.Since(start), true
	case <-ctx.Done():
		return 0, false
	}
}

// awaitThaw waits while the target is frozen. It reports false if the request
// was closed first.
func (t *Target) awaitThaw(ctx context.Context) bool {
	for {
		frozen, changed := t.frozen()
		if !frozen {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *Target) frozen() (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.control.Freeze, t.changed
}

func (t *Target) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		control := t.Status().Control
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&control); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetControl(control)
	}
	writeJSON(w, t.Status())
}

func (t *Target) serveStarts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Starts()) }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
