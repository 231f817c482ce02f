package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatPeriod is heartbeatMs of the settings.
	heartbeatPeriod = 1500 * time.Millisecond
	// maxLease is maxHoldMs, stopTime is below stopGraceMs.
	maxLease = time.Second
	stopTime = 30 * time.Millisecond
	// maxEnds is the number of ends in one response.
	maxEnds = 500
)

// executor is a stand-in of an executor, with the machine's agent at control. One value stands
// for all lives at its address.
type executor struct {
	addr, control string
	record        *record

	mu sync.Mutex
	// up is false while the executor is down. life numbers the lives from 1.
	up       bool
	life     int
	server   *http.Server
	id       string
	service  string
	labels   []string
	cpu      int
	state    string
	born     time.Time
	sequence uint64
	fence    uint64
	// leaseEnd is when all that runs is killed.
	leaseEnd time.Time
	running  map[string]*taskRun
	// lastRun is the highest run of each task that must not start any more.
	lastRun   map[string]int
	finished  []finishedRun
	lastEnd   uint64
	lastLapse uint64
	changed   chan struct{}
	// holdBack, if set, says for how long an order to start a task is on its way to the
	// executor. The executor that is up then carries it out, and nobody gets the answer.
	holdBack func(task string) time.Duration
}

// taskRun is a run that goes on.
type taskRun struct {
	task     string
	run      int
	cpu      int
	duration time.Duration
	started  time.Time
	stopAt   time.Time
	life     int
	percent  int
}

type finishedRun struct {
	number uint64
	task   string
	run    int
	how    string
}

// newExecutor returns an executor that is down.
func newExecutor(addr, control, id, service string, cpu int, labels []string, r *record) *executor {
	return &executor{addr: addr, control: control, id: id, service: service, cpu: cpu, labels: labels, record: r, changed: make(chan struct{})}
}

// start begins a life: it listens and sends its first heartbeat.
func (e *executor) start() error {
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.handleHealth)
	mux.HandleFunc("POST /v1/run-start", e.passStart)
	mux.HandleFunc("POST /v1/run-stop", e.handleStop)
	mux.HandleFunc("POST /v1/hold", e.handleHold)
	e.server = &http.Server{Handler: mux}
	e.up, e.life, e.born, e.state = true, e.life+1, time.Now(), "ready"
	e.sequence, e.fence, e.leaseEnd, e.lastEnd, e.lastLapse, e.finished = 0, 0, time.Time{}, 0, 0, nil
	e.running, e.lastRun = make(map[string]*taskRun), make(map[string]int)
	e.record.note("executor %s starts: life %d, born %d, service %s, labels %v", e.id, e.life, e.born.UnixMilli(), e.service, e.labels)
	go e.server.Serve(listener)
	go e.runLife(e.life)
	go e.runHeartbeats(e.life)
	return nil
}

// crash ends the life: everything that runs is gone, and nothing is sent.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.record.note("executor %s crashes with %d runs", e.id, len(e.running))
	for _, r := range e.running {
		e.record.ended(e, r, "crashed")
	}
	e.up, e.running = false, nil
	server := e.server
	e.mu.Unlock()
	server.Close()
}

// leave ends the life after a planned end: it reports draining, waits for what runs, at most
// for wait, deregisters and ends.
func (e *executor) leave(wait time.Duration) {
	e.mu.Lock()
	e.state = "draining"
	life := e.life
	e.mu.Unlock()
	e.record.note("executor %s drains", e.id)
	e.heartbeat()
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	e.mu.Lock()
	born, id := e.born, e.id
	e.mu.Unlock()
	if e.isLife(life) {
		e.post("Deregister", id, fmt.Sprintf(`{"born":%d}`, born.UnixMilli()))
		e.crash()
	}
}

func (e *executor) isLife(life int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up && e.life == life
}

func (e *executor) runHeartbeats(life int) {
	for e.isLife(life) {
		e.heartbeat()
		time.Sleep(heartbeatPeriod)
	}
}

// heartbeat sends one heartbeat.
func (e *executor) heartbeat() {
	e.mu.Lock()
	e.sequence++
	id, body := e.id, e.heartbeatBody()
	e.mu.Unlock()
	e.post("Heartbeat", id, body)
}

// heartbeatBody returns a heartbeat.
func (e *executor) heartbeatBody() string {
	labels, _ := json.Marshal(e.labels)
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"arq-a","version":"v1","capacity":8,"state":%q,"coldRemainingMs":0,`+
		`"room":{"cpu":%d,"memMb":32768,"gpu":0},"labels":%s,"clockMs":%d,"sequence":%d,"born":%d}`,
		e.service, e.addr, e.state, e.cpu, labels, e.clock(), e.sequence, e.born.UnixMilli())
}

// foreignHeartbeatBody returns a heartbeat of another writer. It names a service that no
// configuration has, and lacks the fields that only the executor knows.
func foreignHeartbeatBody(service, address string, sequence uint64) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"arq-a","version":"v0","capacity":8,"state":"ready",`+
		`"room":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-1"],"sequence":%d}`, service, address, sequence)
}

var heartbeatClient = &http.Client{Timeout: time.Second}

// post sends a call to the agent and returns its status, or 0.
func (e *executor) post(name, id, body string) int {
	response, err := heartbeatClient.Post("http://"+e.control+"/v1/Instances."+name+"/"+id, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// runLife ends runs when their time has come.
func (e *executor) runLife(life int) {
	for {
		time.Sleep(2 * time.Millisecond)
		e.mu.Lock()
		if !e.up || e.life != life {
			e.mu.Unlock()
			return
		}
		e.advance(time.Now())
		e.mu.Unlock()
	}
}

// advance ends the runs that are done, stopped or lapsed. The lock must be held.
func (e *executor) advance(now time.Time) {
	lapsed := now.After(e.leaseEnd)
	for _, r := range e.running {
		switch {
		case lapsed:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.end(r, "stopped")
		case now.Sub(r.started) >= r.duration:
			e.end(r, "done")
		default:
			r.percent = int(100 * now.Sub(r.started) / r.duration)
		}
	}
	if lapsed {
		e.lastLapse = e.lastEnd
	}
}

func (e *executor) end(r *taskRun, how string) {
	delete(e.running, r.task)
	e.lastRun[r.task] = max(e.lastRun[r.task], r.run)
	e.lastEnd++
	e.finished = append(e.finished, finishedRun{e.lastEnd, r.task, r.run, how})
	e.record.ended(e, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// accept decodes a call and checks its instance and fencing token. It returns false after it
// has answered, and true with the lock held.
func (e *executor) accept(w http.ResponseWriter, r *http.Request) (call, bool) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	e.mu.Lock()
	instance := r.Header.Get("Azurerouter-Target-Instance")
	switch {
	case !e.up:
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	case instance != "" && instance != e.id:
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	e.advance(time.Now())
	if c.FencingToken < e.fence {
		e.reply(w, http.StatusConflict, "fence")
		e.mu.Unlock()
		return c, false
	}
	e.fence = c.FencingToken
	return c, true
}

// reply answers with the clock and, with status 409, a reason. The lock must be held.
func (e *executor) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// extendLease moves the end of the lease to a time on the executor's clock.
func (e *executor) extendLease(deadlineMs int64) {
	lease := min(time.Duration(deadlineMs-e.clock())*time.Millisecond, maxLease)
	if end := time.Now().Add(lease); end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

func (e *executor) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Azurerouter-Instance-Id", e.id)
	if e.state == "draining" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// passStart passes an order to start a task on, or holds it back.
func (e *executor) passStart(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var c call
	json.Unmarshal(body, &c)
	e.mu.Lock()
	holdBack := e.holdBack
	e.mu.Unlock()
	var delay time.Duration
	if holdBack != nil {
		delay = holdBack(c.Task)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if delay == 0 {
		e.handleStart(w, r)
		return
	}
	e.record.note("the order to start run %d of %s at %s is held back for %v", c.Run, c.Task, e.id, delay)
	go e.startLate(r.Clone(context.Background()), body, delay)
	// The caller gets no answer.
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// startLate carries an order out after a delay.
func (e *executor) startLate(r *http.Request, body []byte, delay time.Duration) {
	time.Sleep(delay)
	// handleStart breaks a call off if the executor is down.
	defer func() { recover() }()
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	e.handleStart(answer, r)
	e.record.note("the late order is answered %d %s", answer.Code, answer.Body)
}

func (e *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	c, ok := e.accept(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	if c.DeadlineMs <= e.clock() {
		e.reply(w, http.StatusConflict, "late")
		return
	}
	e.extendLease(c.DeadlineMs)
	present := e.running[c.Task]
	if present != nil && present.run == c.Run {
		e.reply(w, http.StatusOK, "")
		return
	}
	if c.Run <= e.lastRun[c.Task] {
		e.reply(w, http.StatusConflict, "old")
		return
	}
	duration, cpu := parseSpec(c.Spec)
	used := cpu
	for _, other := range e.running {
		used += other.cpu
	}
	if used > e.cpu || present != nil {
		e.reply(w, http.StatusConflict, "room")
		return
	}
	run := &taskRun{task: c.Task, run: c.Run, cpu: cpu, duration: duration, started: time.Now(), life: e.life}
	e.running[c.Task] = run
	e.record.started(e, run)
	e.reply(w, http.StatusOK, "")
}

func (e *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	c, ok := e.accept(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.lastRun[c.Task] = max(e.lastRun[c.Task], c.Run)
	if run := e.running[c.Task]; run != nil && run.run <= c.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopTime)
	}
	e.reply(w, http.StatusOK, "")
}

func (e *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	c, ok := e.accept(w, r)
	if !ok {
		return
	}
	if c.DeadlineMs > e.clock() {
		e.extendLease(c.DeadlineMs)
	}
	for len(e.finished) > 0 && e.finished[0].number <= c.LastSeen {
		if f := e.finished[0]; f.number > e.lastLapse {
			e.record.noted(e, f)
		}
		e.finished = e.finished[1:]
	}
	timeout, life := time.After(time.Duration(min(c.WaitMs, 2000))*time.Millisecond), e.life
	for waiting := c.WaitMs > 0; waiting && len(e.finished) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
		if !e.up || e.life != life {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	defer e.mu.Unlock()
	e.advance(time.Now())
	running, finished := [][]any{}, [][]any{}
	for _, run := range e.running {
		running = append(running, []any{run.task, run.run, "", run.percent, run.cpu})
	}
	for _, f := range e.finished[:min(len(e.finished), maxEnds)] {
		finished = append(finished, []any{f.number, f.task, f.run, f.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "finished": finished})
}

// parseSpec returns the duration and the processor capacity of a task, which these cases put
// into the specification: "MILLISECONDS MILLICORES".
func parseSpec(spec string) (time.Duration, int) {
	parts := strings.Fields(spec)
	ms, _ := strconv.Atoi(parts[0])
	cpu, _ := strconv.Atoi(parts[1])
	return time.Duration(ms) * time.Millisecond, cpu
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
