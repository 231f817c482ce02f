package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Times of an executor.
const (
	maxHold         = time.Second
	stopTime        = 45 * time.Millisecond
	advanceInterval = 2 * time.Millisecond
	heartbeat       = 1500 * time.Millisecond
	maxEnds         = 500
	// deadlyDown is how long an executor is down after a task has crashed it.
	deadlyDown = 3 * time.Second
)

// executor is a stand-in of an executor with its machine. The lock of the world guards
// all of its fields.
type executor struct {
	w       *world
	machine string
	addr    string
	control string
	service string
	cpu     int
	// room is what is left of cpu, or 0 if all is.
	room int

	lives  int
	id     string
	born   time.Time
	up     bool
	server *http.Server

	sequence int
	fence    uint64
	lease    time.Time
	// crashes is set when a task that crashes the executor has started.
	crashes bool
	runs    map[runKey]*activeRun
	ends    []endedRun
	lastEnd uint64
	// highest is, by task, the highest number of a run that was stopped or has ended.
	highest map[string]int
}

type runKey struct {
	task   string
	number int
}

type activeRun struct {
	record  *runRecord
	cpu     int
	due     time.Time
	length  time.Duration
	stopDue time.Time
}

type endedRun struct {
	number uint64
	record *runRecord
}

// addExecutor adds an executor that is not up yet.
func (w *world) addExecutor(machine, addr, control, service string, cpu int) *executor {
	e := &executor{w: w, machine: machine, addr: addr, control: control, service: service, cpu: cpu}
	w.mu.Lock()
	w.executors = append(w.executors, e)
	w.mu.Unlock()
	return e
}

// startLife starts a new incarnation.
func (e *executor) startLife() error {
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.w.mu.Lock()
	e.lives++
	e.id = fmt.Sprintf("i-%s-%d", e.machine, e.lives)
	e.born, e.up, e.sequence, e.fence, e.lease = time.Now(), true, 0, 0, time.Time{}
	e.runs, e.ends, e.lastEnd, e.highest = make(map[runKey]*activeRun), nil, 0, make(map[string]int)
	life := e.lives
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		e.w.mu.Lock()
		rw.Header().Set("Azurerouter-Instance-Id", e.id)
		e.w.mu.Unlock()
		rw.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("POST /v1/run-start", func(rw http.ResponseWriter, r *http.Request) { e.handle(rw, r, life, e.start) })
	mux.HandleFunc("POST /v1/run-stop", func(rw http.ResponseWriter, r *http.Request) { e.handle(rw, r, life, e.stop) })
	mux.HandleFunc("POST /v1/hold", func(rw http.ResponseWriter, r *http.Request) { e.handle(rw, r, life, e.hold) })
	e.server = &http.Server{Handler: mux}
	e.w.logLocked("executor %s is up at %s", e.id, e.machine)
	server := e.server
	e.w.mu.Unlock()
	go server.Serve(listener)
	go e.sendHeartbeats(life)
	return nil
}

// crash ends the incarnation. Its address refuses connections until the next one.
func (e *executor) crash() {
	e.w.mu.Lock()
	e.up = false
	for _, a := range e.runs {
		a.record.ended, a.record.how = time.Now(), "crashed"
	}
	e.w.logLocked("disruption: executor %s crashes with %d runs", e.id, len(e.runs))
	e.runs = nil
	server := e.server
	e.w.mu.Unlock()
	server.Close()
}

// crashFor crashes the executor and starts it again after a time.
func (e *executor) crashFor(down time.Duration) {
	e.crash()
	time.AfterFunc(down, func() {
		if err := e.startLife(); err != nil {
			e.w.log("executor at %s doesn't start: %v", e.machine, err)
		}
	})
}

func (e *executor) sendHeartbeats(life int) {
	client := &http.Client{Timeout: time.Second}
	for {
		e.w.mu.Lock()
		if e.lives != life || !e.up {
			e.w.mu.Unlock()
			return
		}
		e.sequence++
		body, _ := json.Marshal(map[string]any{"service": e.service, "address": e.addr, "zone": "a", "version": "v1", "capacity": 8, "state": "ready",
			"coldRemainingMs": 0, "room": map[string]int{"cpu": cmp.Or(e.room, e.cpu), "memMb": 65536, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clockMs": e.clock(time.Now()), "sequence": e.sequence, "born": e.born.UnixMilli()})
		id := e.id
		e.w.mu.Unlock()
		response, err := client.Post("http://"+e.control+"/v1/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
		wait := heartbeat
		if err != nil {
			// Without an acknowledgement the heartbeat is sent again soon.
			wait = 500 * time.Millisecond
		} else {
			response.Body.Close()
		}
		time.Sleep(wait)
	}
}

func (e *executor) clock(now time.Time) int64 { return now.Sub(e.born).Milliseconds() + 1 }

type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fencingToken"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// handle decodes a call, refuses it if it is meant for another incarnation or has a low
// token, and writes the answer.
func (e *executor) handle(rw http.ResponseWriter, r *http.Request, life int, f func(c call) (int, map[string]any)) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.w.mu.Lock()
	if e.lives != life || !e.up {
		e.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	target := r.Header.Get("Azurerouter-Target-Instance")
	if e.w.late > 0 && r.URL.Path != "/v1/hold" && rand.Float64() < e.w.late {
		e.w.mu.Unlock()
		time.Sleep(time.Duration(2000+rand.IntN(10000)) * time.Millisecond)
		e.w.mu.Lock()
		if e.up && target == e.id && c.Fence >= e.fence {
			e.advance(time.Now())
			e.fence = c.Fence
			status, _ := f(c)
			e.w.logLocked("executor %s carries out late: %s %s run %d: %d", e.id, r.URL.Path, c.Task, c.Run, status)
		}
		e.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	lost := e.w.lost > 0 && rand.Float64() < e.w.lost
	if target != e.id {
		e.w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.advance(time.Now())
	status, body := http.StatusConflict, map[string]any{"reason": "fence"}
	if c.Fence >= e.fence {
		e.fence = c.Fence
		status, body = f(c)
	}
	if e.crashes {
		// A task that crashes the executor has started.
		e.crashes = false
		e.w.mu.Unlock()
		e.crashFor(deadlyDown)
		panic(http.ErrAbortHandler)
	}
	if e.lives != life || !e.up {
		e.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body["clockMs"], body["born"] = e.clock(time.Now()), e.born.UnixMilli()
	e.w.mu.Unlock()
	if lost {
		time.Sleep(3 * time.Second)
		panic(http.ErrAbortHandler)
	}
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(data)
}

// extendLease takes a deadline over, which is at most maxHold away and never shortens.
func (e *executor) extendLease(now time.Time, deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := now.Add(min(time.Duration(deadlineMs-e.clock(now))*time.Millisecond, maxHold))
	if until.After(e.lease) {
		e.lease = until
	}
}

// workOf reads the length and the demand of a task from its spec, "ms=150 cpu=1600".
func workOf(spec string) (length time.Duration, cpu int) {
	ms := 0
	fmt.Sscanf(spec, "ms=%d cpu=%d", &ms, &cpu)
	return time.Duration(ms) * time.Millisecond, cpu
}

func (e *executor) start(c call) (int, map[string]any) {
	now := time.Now()
	key := runKey{c.Task, c.Run}
	if c.DeadlineMs <= e.clock(now) {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	e.extendLease(now, c.DeadlineMs)
	if e.runs[key] != nil {
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= e.highest[c.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	length, cpu := workOf(c.Spec)
	used := cpu
	for _, a := range e.runs {
		used += a.cpu
	}
	if e.w.countOver && used > cmp.Or(e.room, e.cpu) {
		e.w.breaksLocked("LIMIT: %s run %d brings %s to %d of %d", c.Task, c.Run, e.id, used, e.room)
	} else if used > e.cpu {
		return http.StatusConflict, map[string]any{"reason": "room"}
	}
	a := &activeRun{record: &runRecord{task: c.Task, number: c.Run, executor: e.id, started: now}, cpu: cpu, due: now.Add(length), length: length}
	e.runs[key] = a
	e.w.started(a.record)
	e.crashes = strings.Contains(c.Spec, "deadly")
	return http.StatusOK, map[string]any{}
}

func (e *executor) stop(c call) (int, map[string]any) {
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	if a := e.runs[runKey{c.Task, c.Run}]; a != nil && a.stopDue.IsZero() {
		a.stopDue = time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

// hold renews the lease, forgets the ends that the caller has seen and lists the rest.
// It waits for an end as long as the call asks.
func (e *executor) hold(c call) (int, map[string]any) {
	now := time.Now()
	life := e.lives
	e.extendLease(now, c.DeadlineMs)
	e.ends = slices.DeleteFunc(e.ends, func(end endedRun) bool {
		if end.number > c.LastSeen {
			return false
		}
		if !end.record.lapsed {
			end.record.noted = true
			e.w.logLocked("executor %s: the end of %s run %d, %s, is taken note of", e.id, end.record.task, end.record.number, end.record.how)
		}
		return true
	})
	for until := now.Add(time.Duration(c.WaitMs) * time.Millisecond); len(e.ends) == 0 && time.Now().Before(until); {
		e.w.mu.Unlock()
		time.Sleep(advanceInterval)
		e.w.mu.Lock()
		if e.lives != life || !e.up {
			return 0, map[string]any{}
		}
	}
	running, finished := [][]any{}, [][]any{}
	now = time.Now()
	for key, a := range e.runs {
		percent := min(99, int(100*now.Sub(a.record.started)/max(a.length, 1)))
		running = append(running, []any{key.task, key.number, "", percent, 0})
	}
	for _, end := range e.ends[:min(len(e.ends), maxEnds)] {
		finished = append(finished, []any{end.number, end.record.task, end.record.number, end.record.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// advance ends the runs that are due and those whose lease has lapsed.
func (e *executor) advance(now time.Time) {
	lapses := !e.lease.IsZero() && now.After(e.lease)
	for key, a := range e.runs {
		switch {
		case lapses:
			e.end(now, key, a, "lapsed")
		case !a.stopDue.IsZero() && now.After(a.stopDue):
			e.end(now, key, a, "stopped")
		case now.After(a.due):
			e.end(now, key, a, "done")
		}
	}
	if lapses {
		for _, end := range e.ends {
			end.record.lapsed = true
		}
		e.lease = time.Time{}
	}
}

func (e *executor) end(now time.Time, key runKey, a *activeRun, how string) {
	delete(e.runs, key)
	e.highest[key.task] = max(e.highest[key.task], key.number)
	e.lastEnd++
	a.record.ended, a.record.how = now, how
	e.ends = append(e.ends, endedRun{e.lastEnd, a.record})
	e.w.logLocked("executor %s: %s run %d ends %s", e.id, key.task, key.number, how)
}

// advanceAll keeps the state of all executors current until the process ends.
func (w *world) advanceAll() {
	for range time.Tick(advanceInterval) {
		w.mu.Lock()
		for _, e := range w.executors {
			if e.up {
				e.advance(time.Now())
			}
		}
		w.mu.Unlock()
	}
}

// running returns how many runs are at work.
func (e *executor) running() int {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	return len(e.runs)
}
