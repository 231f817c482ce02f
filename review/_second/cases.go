package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const service = "huvo11a"

// sameMachines returns machines of one service and kind.
func sameMachines(count int) []machine {
	var all []machine
	for range count {
		all = append(all, machine{service, []string{"a", "r1-1"}})
	}
	return all
}

// startServing starts a system whose queue goes to a service.
func startServing(r *record, entries int, machines []machine, queueService string, services ...string) (*system, error) {
	s, err := newSystem(r, entries, machines)
	if err != nil {
		return s, err
	}
	s.publish(queueService, services...)
	return s, s.waitReady()
}

// overlaps returns the pairs of runs of one task that went on at the same time on two executors.
func overlaps(runs []runRecord) verdict {
	var broken verdict
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task || a.executor == b.executor && a.life == b.life {
				continue
			}
			if b.started.Before(a.started) {
				a, b = b, a
			}
			end := a.ended
			if end.IsZero() {
				end = time.Now()
			}
			if common := end.Sub(b.started); common > 0 {
				broken = append(broken, fmt.Sprintf("run %d of %s at %s and run %d at %s overlap by %d ms", a.run, a.task, a.executor, b.run, b.executor, common.Milliseconds()))
			}
		}
	}
	return broken
}

// foreignHeartbeat: another writer sends heartbeats with the id of an executor that runs tasks
// and a service that no configuration names.
func foreignHeartbeat(r *record, trouble bool) (verdict, error) {
	s, err := startServing(r, 2, sameMachines(8), service, service)
	defer s.close()
	if err != nil {
		return nil, err
	}
	kept, urgent := job{id: newID(), tasks: 6, ms: 3000, cpu: 1600}, job{id: newID(), tasks: 6, ms: 3000, cpu: 1600, bestEffort: true}
	if err := s.submit(s.entries[0], kept); err != nil {
		return nil, err
	}
	var answered sync.WaitGroup
	answered.Add(1)
	go func() {
		defer answered.Done()
		s.request(s.entries[1], http.MethodPost, urgent.id, urgent.body())
	}()
	time.Sleep(700 * time.Millisecond)
	if trouble {
		if err := s.sendForeignHeartbeats(); err != nil {
			return nil, err
		}
	}
	answered.Wait()
	time.Sleep(4 * time.Second)
	return append(overlaps(r.runsOf(kept.id)), overlaps(r.runsOf(urgent.id))...), nil
}

// Heartbeats of another writer, which counts them by itself.
const (
	foreignService       = "vomu99z"
	foreignHeartbeats    = 4
	foreignPeriod        = 500 * time.Millisecond
	foreignFirstSequence = 40
)

// sendForeignHeartbeats sends some heartbeats of another writer to the agents of executors that
// run tasks, at most two of them.
func (s *system) sendForeignHeartbeats() error {
	var writers sync.WaitGroup
	sent := 0
	for _, e := range s.executors {
		e.mu.Lock()
		busy := len(e.running) > 0
		e.mu.Unlock()
		if !busy || sent == 2 {
			continue
		}
		sent++
		writers.Add(1)
		go func() {
			defer writers.Done()
			for n := range foreignHeartbeats {
				body := foreignHeartbeatBody(foreignService, e.addr, foreignFirstSequence+uint64(n))
				status := e.post("Heartbeat", e.id, body)
				s.record.note("another writer sends a heartbeat of %s with service %s to its agent: %d", e.id, foreignService, status)
				time.Sleep(foreignPeriod)
			}
		}()
	}
	if sent == 0 {
		return fmt.Errorf("no executor runs a task")
	}
	writers.Wait()
	return nil
}

// foreignDraining: another writer sends one heartbeat with the id of each executor and the state
// draining, which lacks most fields.
func foreignDraining(r *record, trouble bool) (verdict, error) {
	s, err := startServing(r, 2, sameMachines(8), service, service)
	defer s.close()
	if err != nil {
		return nil, err
	}
	var ids []string
	for range 12 {
		j := job{id: newID(), tasks: 10, ms: 2000, cpu: 1600}
		if err := s.submit(s.entries[0], j); err != nil {
			return nil, err
		}
		ids = append(ids, j.id)
	}
	if trouble {
		for _, e := range s.executors {
			body := fmt.Sprintf(`{"service":%q,"state":"draining","room":{"cpu":16000,"memMb":32768,"gpu":0},"sequence":%d}`, service, foreignFirstSequence)
			status := e.post("Heartbeat", e.id, body)
			r.note("another writer sends a heartbeat of %s with state draining to its agent: %d", e.id, status)
		}
	}
	time.Sleep(14 * time.Second)
	return s.stuckJobs(ids), nil
}

// stuckJobs asks for jobs for 4 s and returns those that are not completed, if nothing runs.
func (s *system) stuckJobs(ids []string) verdict {
	var open []string
	for range 8 {
		open = nil
		for _, id := range ids {
			if state := s.state(s.entries[1], id); state != "completed" {
				open = append(open, id+" is "+state)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	var broken verdict
	for _, text := range open {
		if running := s.running(); running == 0 {
			broken = append(broken, fmt.Sprintf("job %s, no task runs on any executor; it has had %d runs", text, len(s.record.runsOf(text[:16]))))
		}
	}
	return broken
}

// twoCrashes: the executor that runs the only task of a kept job crashes, and so does the next
// one that runs it.
func twoCrashes(r *record, trouble bool) (verdict, error) {
	s, err := startServing(r, 2, sameMachines(8), service, service)
	defer s.close()
	if err != nil {
		return nil, err
	}
	j := job{id: newID(), tasks: 1, ms: 3000, cpu: 1600}
	if err := s.submit(s.entries[0], j); err != nil {
		return nil, err
	}
	if trouble {
		for crash := range 2 {
			e, err := s.awaitExecutorOf(j.id, time.Second)
			if err != nil {
				return nil, fmt.Errorf("crash %d: %w", crash+1, err)
			}
			e.crash()
			time.AfterFunc(3*time.Second, func() {
				e.mu.Lock()
				e.id = fmt.Sprintf("i-%08x", rand.Uint32())
				e.mu.Unlock()
				if err := e.start(); err != nil {
					r.note("executor does not start: %v", err)
				}
			})
		}
	}
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		switch state := s.state(s.entries[1], j.id); state {
		case "completed":
			return nil, nil
		case "failed":
			var ends []string
			for _, run := range r.runsOf(j.id) {
				ends = append(ends, run.how)
			}
			if !slices.Contains(ends, "failed") {
				return verdict{fmt.Sprintf("job %s is shown as failed; its runs ended %v, none of them failed", j.id, ends)}, nil
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil, fmt.Errorf("the job has not ended")
}

// awaitExecutorOf returns the executor that has run a task of a job for some time.
func (s *system) awaitExecutorOf(id string, ran time.Duration) (*executor, error) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
		for _, e := range s.executors {
			e.mu.Lock()
			found := false
			for _, run := range e.running {
				found = found || run.task[:len(id)] == id && time.Since(run.started) >= ran
			}
			e.mu.Unlock()
			if found {
				return e, nil
			}
		}
	}
	return nil, fmt.Errorf("no executor runs job %s", id)
}

const oldService, newService = "huvo11a", "kesi42b"

// movedQueue: the configuration sends a queue with waiting jobs to another service; the one
// executor of the former service is emptied and taken away.
func movedQueue(r *record, trouble bool) (verdict, error) {
	machines := []machine{{oldService, []string{"a", "r1-1"}}}
	for range 7 {
		machines = append(machines, machine{newService, []string{"a", "r1-1"}})
	}
	s, err := startServing(r, 2, machines, oldService, oldService, newService)
	defer s.close()
	if err != nil {
		return nil, err
	}
	var ids []string
	for range 6 {
		j := job{id: newID(), tasks: 10, ms: 2000, cpu: 1600}
		if err := s.submit(s.entries[0], j); err != nil {
			return nil, err
		}
		ids = append(ids, j.id)
	}
	if trouble {
		s.publish(newService, oldService, newService)
		time.Sleep(500 * time.Millisecond)
		go s.executors[0].leave(4 * time.Second)
	}
	// finish_s after the end of the traffic the jobs are asked for, for 4 s.
	time.Sleep(14 * time.Second)
	s.request(s.entries[1], http.MethodGet, "", "")
	return s.stuckJobs(ids), nil
}

// running returns the number of tasks that run on all executors.
func (s *system) running() int {
	total := 0
	for _, e := range s.executors {
		e.mu.Lock()
		total += len(e.running)
		e.mu.Unlock()
	}
	return total
}

// otherKind: an executor of kind a crashes and starts again under its id with kind b, while jobs
// come that require kind a.
func otherKind(r *record, trouble bool) (verdict, error) {
	machines := sameMachines(8)
	s, err := startServing(r, 2, machines, service, service)
	defer s.close()
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var ids []string
	var mu sync.Mutex
	for client := range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				j := job{id: newID(), tasks: 6, ms: 1000, cpu: 1600, requires: "a", bestEffort: true}
				mu.Lock()
				ids = append(ids, j.id)
				mu.Unlock()
				s.request(s.entries[client%2], http.MethodPost, j.id, j.body())
			}
		}()
	}
	time.Sleep(2 * time.Second)
	e := s.executors[0]
	if trouble {
		e.crash()
		time.Sleep(2 * time.Second)
		e.mu.Lock()
		e.labels = []string{"b", "r1-1"}
		e.mu.Unlock()
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	var broken verdict
	for _, id := range ids {
		for _, run := range r.runsOf(id) {
			if !slices.Contains(run.labels, "a") {
				broken = append(broken, fmt.Sprintf("run %d of %s, which requires label a, started at %s, life %d, with labels %v, %d ms after that life began", run.run, run.task, run.executor, run.life, run.labels, run.started.Sub(e.born).Milliseconds()))
			}
		}
	}
	return broken, nil
}
