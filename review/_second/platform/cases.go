package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
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
			begin, end := a.started, a.end()
			if b.started.After(begin) {
				begin = b.started
			}
			if b.end().Before(end) {
				end = b.end()
			}
			if common := end.Sub(begin); common > 0 {
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

// Times of lateStart, from the order on.
const (
	lateRounds        = 3
	lateExecutorDown  = 300 * time.Millisecond
	lateExecutorUp    = 1300 * time.Millisecond
	lateOrder         = 2200 * time.Millisecond
	lateAgentUp       = 3 * time.Second
	lateTaskMs        = 4000
	lateBetweenRounds = 6 * time.Second
	// lateOtherTasks are started beside the one task, so that its order is a small share.
	lateOtherTasks = 24
)

// lateStart: an order to start a task is carried out late; the agent that gave it has been killed
// and its executor has started again under its id meanwhile.
func lateStart(r *record, trouble bool) (verdict, error) {
	s, err := startServing(r, 2, sameMachines(8), service, service)
	defer s.close()
	if err != nil {
		return nil, err
	}
	var broken verdict
	for range lateRounds {
		j := job{id: newID(), tasks: 1, ms: lateTaskMs, cpu: 1600, bestEffort: true}
		var once sync.Once
		ordered := make(chan int, 1)
		for n, e := range s.executors {
			e.mu.Lock()
			e.holdBack = func(task string) time.Duration {
				first := false
				if trouble && task[:len(j.id)] == j.id {
					once.Do(func() { first = true })
				}
				if !first {
					return 0
				}
				ordered <- n
				return lateOrder
			}
			e.mu.Unlock()
		}
		others := job{id: newID(), tasks: lateOtherTasks, ms: 1000, cpu: 1600, bestEffort: true}
		var answered sync.WaitGroup
		answered.Add(2)
		go func() {
			defer answered.Done()
			s.request(s.entries[1], http.MethodPost, others.id, others.body())
		}()
		go func() {
			defer answered.Done()
			s.request(s.entries[0], http.MethodPost, j.id, j.body())
		}()
		if trouble {
			select {
			case n := <-ordered:
				if err := s.loseMachine(n); err != nil {
					return nil, err
				}
			case <-time.After(5 * time.Second):
				return nil, fmt.Errorf("no order to start job %s", j.id)
			}
		}
		answered.Wait()
		time.Sleep(lateBetweenRounds)
		broken = append(broken, overlaps(r.runsOf(j.id))...)
	}
	return broken, nil
}

// loseMachine kills the agent of a machine and crashes its executor, which starts again under
// its id before the agent does.
func (s *system) loseMachine(n int) error {
	begin, node, e := time.Now(), fmt.Sprintf("side-arq-a-%d", n+1), s.executors[n]
	s.kill(node)
	time.Sleep(time.Until(begin.Add(lateExecutorDown)))
	e.crash()
	time.Sleep(time.Until(begin.Add(lateExecutorUp)))
	if err := e.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(begin.Add(lateAgentUp)))
	return s.startProcess(node)
}

// Times of frozenAccept. frozen is below the longest freeze of the site file, 4 s.
const (
	frozen         = 3900 * time.Millisecond
	frozenDeadline = 1500 * time.Millisecond
	cancelLimit    = 3 * time.Second
	// frozenOthers jobs are not cancelled for each one that is.
	frozenOthers = 3
)

// frozenAccept: an entry is frozen before it has read a kept job. Its client gets no answer in
// time, leaves, and cancels the job at the other entry.
func frozenAccept(r *record, trouble bool) (verdict, error) {
	s, err := startServing(r, 2, sameMachines(8), service, service)
	defer s.close()
	if err != nil {
		return nil, err
	}
	first := s.processes["frontend-arq-a-1"].command.Process
	var broken verdict
	for range 3 {
		for range frozenOthers {
			if err := s.submit(s.entries[1], job{id: newID(), tasks: 4, ms: 700, cpu: 1600}); err != nil {
				return nil, err
			}
		}
		j := job{id: newID(), tasks: 4, ms: 700, cpu: 1600, steps: 4}
		if trouble {
			r.note("frontend-arq-a-1 is frozen")
			first.Signal(syscall.SIGSTOP)
			time.AfterFunc(frozen, func() {
				first.Signal(syscall.SIGCONT)
				r.note("frontend-arq-a-1 goes on")
			})
		}
		s.requestWithin(frozenDeadline, s.entries[0], http.MethodPost, j.id, j.body())
		status, _ := s.request(s.entries[1], http.MethodDelete, j.id, "")
		cancelled := time.Now()
		if status != http.StatusOK && status != http.StatusGone {
			return nil, fmt.Errorf("the cancelling is answered %d", status)
		}
		time.Sleep(8 * time.Second)
		for _, run := range r.runsOf(j.id) {
			if late := run.started.Sub(cancelled); late > cancelLimit {
				broken = append(broken, fmt.Sprintf("run %d of %s starts %d ms after its job's cancelling was answered %d", run.run, run.task, late.Milliseconds(), status))
			}
		}
	}
	return broken, nil
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
