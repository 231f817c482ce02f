// Package target is a stand-in for a target, for tests and benchmarks. The input of
// a task sets its run time and its outcome. POST /control switches faults on and
// off. Every task start is counted and returned by GET /control/starts.
package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Headers of the protocol between agent and target.
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
	// SleepMS is the run time of the task, in milliseconds.
	SleepMS float64 `json:"sleep_ms"`
	// Fail makes the task end with status 500 after its run time.
	Fail bool `json:"fail"`
	// Output is the output of the task, any JSON value; null if absent.
	Output json.RawMessage `json:"output"`
}

// Control is the body of POST /control. A field that is absent keeps its
// value, except for ResetStarts, which is an action.
type Control struct {
	// Freeze suspends the run time of every task and sends no answer, as if the
	// process were paused. Tasks that arrive meanwhile start only after the
	// freeze.
	Freeze bool `json:"freeze"`
	// FailAll starts every new task and fails it at once with status 500.
	FailAll bool `json:"fail_all"`
	// Hang starts every new task and never answers it. The task runs until its
	// request is closed.
	Hang bool `json:"hang"`
	// Refuse answers every new task with 503 and Azurerouter-Not-Started, and
	// starts nothing.
	Refuse bool `json:"refuse"`
	// SlowFactor multiplies the run time of new tasks; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ResetStarts clears the counts of starts and the counters, once.
	ResetStarts bool `json:"reset_starts,omitempty"`
}

// Counters count the starts and outcomes of tasks since the process started or the
// last reset.
type Counters struct {
	// Started is the number of task starts. Each task that has ended is also
	// counted in Succeeded, Failed or Stopped.
	Started uint64 `json:"started"`
	// Succeeded is the number of tasks answered with status 200.
	Succeeded uint64 `json:"succeeded"`
	// Failed is the number of tasks answered with status 500.
	Failed uint64 `json:"failed"`
	// Stopped is the number of started tasks whose request was closed before the
	// answer.
	Stopped uint64 `json:"stopped"`
	// Refused is the number of tasks refused without a start.
	Refused uint64 `json:"refused"`
	// Waiting is the number of tasks that are not started yet, because they
	// arrived during a freeze.
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

// Target is the HTTP server of the stand-in. It implements http.Handler and is safe
// for concurrent use.
type Target struct {
	mux *http.ServeMux

	mu       sync.Mutex
	control  Control
	counters Counters
	starts   map[string]int
	// controlChanged is closed and replaced when control changes.
	controlChanged chan struct{}
}

// New returns a target without faults and without task starts.
func New() *Target {
	t := &Target{mux: http.NewServeMux(), starts: make(map[string]int), controlChanged: make(chan struct{})}
	t.mux.HandleFunc("POST /v1/tasks", t.serveTask)
	t.mux.HandleFunc("GET /control", t.serveControl)
	t.mux.HandleFunc("POST /control", t.serveControl)
	t.mux.HandleFunc("GET /control/starts", t.serveStarts)
	return t
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Starts returns the number of starts of each task.
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

// SetControl replaces all settings at once.
func (t *Target) SetControl(control Control) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if control.ResetStarts {
		clear(t.starts)
		t.counters = Counters{Waiting: t.counters.Waiting, Running: t.counters.Running, PeakRunning: t.counters.Running}
	}
	control.ResetStarts = false
	t.control = control
	close(t.controlChanged)
	t.controlChanged = make(chan struct{})
}

// serveTask runs one task. It closes the connection without an answer if the
// request was closed first.
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
	t.updateCounters(func(c *Counters) { c.Waiting++ })
	unfrozen := t.awaitUnfrozen(r.Context())
	t.updateCounters(func(c *Counters) { c.Waiting-- })
	if !unfrozen {
		panic(http.ErrAbortHandler)
	}
	control, ok := t.startTask(r.Header.Get(headerTask))
	if !ok {
		w.Header().Set(headerNotStarted, "true")
		http.Error(w, "task was not started", http.StatusServiceUnavailable)
		return
	}
	if !t.execute(r.Context(), input, control) {
		t.endTask(func(c *Counters) { c.Stopped++ })
		panic(http.ErrAbortHandler)
	}
	if input.Fail || control.FailAll {
		t.endTask(func(c *Counters) { c.Failed++ })
		http.Error(w, "task failed", http.StatusInternalServerError)
		return
	}
	t.endTask(func(c *Counters) { c.Succeeded++ })
	if len(input.Output) == 0 {
		input.Output = json.RawMessage("null")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(input.Output)
}

// startTask counts a start and returns the settings that apply to the whole task.
// It reports false, without a start, if the target refuses tasks.
func (t *Target) startTask(task string) (Control, bool) {
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

// endTask counts a task as no longer running and applies change to the counters.
func (t *Target) endTask(change func(*Counters)) {
	t.updateCounters(func(c *Counters) {
		c.Running--
		change(c)
	})
}

func (t *Target) updateCounters(change func(*Counters)) {
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
	remaining := time.Duration(input.SleepMS * float64(time.Millisecond))
	if control.SlowFactor > 0 {
		remaining = time.Duration(float64(remaining) * control.SlowFactor)
	}
	for remaining > 0 {
		var ok bool
		if remaining, ok = t.runUntilControlChange(ctx, remaining); !ok {
			return false
		}
	}
	return t.awaitUnfrozen(ctx)
}

// runUntilControlChange runs a task for at most its remaining run time, and returns
// what remains if the settings change. It reports false if the request was closed
// first.
func (t *Target) runUntilControlChange(ctx context.Context, remaining time.Duration) (time.Duration, bool) {
	if !t.awaitUnfrozen(ctx) {
		return 0, false
	}
	_, changed := t.freezeState()
	start := time.Now()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0, true
	case <-changed:
		return remaining - time.Since(start), true
	case <-ctx.Done():
		return 0, false
	}
}

// awaitUnfrozen waits while the target is frozen. It reports false if the request
// was closed first.
func (t *Target) awaitUnfrozen(ctx context.Context) bool {
	for {
		frozen, changed := t.freezeState()
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

// freezeState reports whether the target is frozen. The channel is closed when the
// settings change.
func (t *Target) freezeState() (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.control.Freeze, t.controlChanged
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
