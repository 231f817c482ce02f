package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

func init() { cases["withdrawn"] = playWithdrawn }

// playWithdrawn lets the start of a task get no answer, so that its agent withdraws it and the task runs
// elsewhere. Then the side machine fails, and the start is carried out 2.2 s after it was sent, in the
// next life of the executor. The task must not run twice at the same time: RULES, TWICE.
func playWithdrawn(w *world, trouble bool) bool {
	const (
		rounds    = 3
		lateBy    = 2200 * time.Millisecond
		crashAt   = 300 * time.Millisecond
		downTime  = time.Second
		agentDown = 3 * time.Second
		window    = 5500 * time.Millisecond
		longTask  = 4 * time.Second
		shortTask = 60 * time.Millisecond
		// copies is the most calls that are held back, minCalls the fewest calls of the agent in the
		// window, so that they are at most 0.055 of them.
		copies   = 3
		minCalls = 55
	)
	type active struct {
		machine int
		since   time.Time
	}
	var mu sync.Mutex
	running := make(map[batch.Task]map[batch.Run]active)
	isLong := make(map[batch.ID]bool)
	overlaps := 0
	starts := make(chan batch.Run, 4096)
	w.publish(3, queue{Name: "q", Host: host, PathPrefix: prefix, TimeoutMs: 1500, TargetLatencyMs: 400, Service: service, MaxAttempts: 4, Stretch: 3})
	for machine := 21; machine <= 28; machine++ {
		k := w.addWorker(machine, batch.Resources{MilliCPU: 8000, MemoryMiB: 16384}, []string{"a", "r1-1"}, func(t batch.Task) executor.Work {
			mu.Lock()
			defer mu.Unlock()
			if isLong[t.Job] {
				return executor.Work{Duration: longTask, Demand: batch.Resources{MilliCPU: 500, MemoryMiB: 64}}
			}
			return executor.Work{Duration: shortTask, Demand: batch.Resources{MilliCPU: 500, MemoryMiB: 64}}
		})
		k.observe(func(run batch.Run) {
			mu.Lock()
			defer mu.Unlock()
			w.note("executor on machine %d starts %v", machine, run)
			for other, at := range running[run.Task] {
				overlaps++
				w.note("TWICE: %v runs on machine %d while %v runs on machine %d, since %v", run, machine, other, at.machine, time.Since(at.since).Round(time.Millisecond))
			}
			if running[run.Task] == nil {
				running[run.Task] = make(map[batch.Run]active)
			}
			running[run.Task][run] = active{machine, time.Now()}
			select {
			case starts <- run:
			default:
			}
		}, func(run batch.Run, end batch.End) {
			mu.Lock()
			defer mu.Unlock()
			delete(running[run.Task], run)
			w.note("executor on machine %d ends %v: %s", machine, run, end)
		})
	}
	// Ends and lapses of leases happen at their time, also while nobody calls.
	w.background.Add(1)
	go func() {
		defer w.background.Done()
		for {
			select {
			case <-w.closing:
				return
			case <-time.After(2 * time.Millisecond):
			}
			for _, k := range w.workers {
				k.executor.Do(func(*executor.Executor) {})
			}
		}
	}()
	w.addEntry(1)
	w.addEntry(2)
	w.awaitReady()
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{}}
			for turn := 0; ; turn++ {
				select {
				case <-stop:
					return
				case <-time.After(80 * time.Millisecond):
				}
				id, step := newID(), `{"count":3,"cpu":500,"memMb":64,"estimateMs":60}`
				if n < 2 && turn%4 == 0 {
					step = `{"count":2,"cpu":500,"memMb":64,"estimateMs":4000}`
					mu.Lock()
					isLong[batch.ID(id)] = true
					mu.Unlock()
				}
				status, answer := w.call(client, 1+n%2, http.MethodPost, prefix+id, `{"spec":"x","steps":[`+step+`]}`, 1500*time.Millisecond)
				w.note("client %d: POST %s%s %s to machine %d -> %d %s", n, prefix, id, step, 1+n%2, status, answer)
			}
		}()
	}
	time.Sleep(window)
	if trouble {
		for round := range rounds {
			k := w.workers[2*round]
			held, sent := holdBackStart(k, copies, func(id batch.ID) bool {
				mu.Lock()
				defer mu.Unlock()
				return isLong[id]
			})
			failed, elsewhere := awaitStart(starts, held), time.Now()
			if !failed {
				fail("the task was not started elsewhere")
			}
			k.agent.kill(agentDown)
			calls := k.calls.callsSince(elsewhere.Add(-window))
			w.note("round %d: machine %d: up to %d copies of one call, of %d calls in %v, got no answer: %s %s; its task runs elsewhere; the agent is killed for %v",
				round+1, k.machine, copies, calls, window, held.path, held.body, agentDown)
			if calls < minCalls {
				fail("only %d calls", calls)
			}
			time.Sleep(crashAt)
			w.note("executor on machine %d, %s, crashes, down for %v", k.machine, k.id(), downTime)
			k.crash()
			mu.Lock()
			for _, runs := range running {
				for run, at := range runs {
					if at.machine == k.machine {
						delete(runs, run)
					}
				}
			}
			mu.Unlock()
			time.Sleep(downTime)
			k.restart(false, k.labels)
			w.note("executor on machine %d starts again as %s", k.machine, k.id())
			time.Sleep(lateBy - time.Since(sent))
			w.note("late: %s at machine %d -> %s", held.path, k.machine, k.calls.deliver(held))
			time.Sleep(agentDown + 4*time.Second - time.Since(elsewhere))
		}
	} else {
		time.Sleep(rounds * 7 * time.Second)
	}
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.note("%d times a task ran twice at the same time", overlaps)
	if len(isLong) == 0 {
		fail("no long job was sent")
	}
	return overlaps == 0
}

// awaitStart waits until the task of a call that is held back starts elsewhere.
func awaitStart(starts <-chan batch.Run, held *heldCall) bool {
	task := taskOf(held)
	for timeout := time.After(5 * time.Second); ; {
		select {
		case run := <-starts:
			if run.Task.String() == task {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// taskOf returns the task that a call names.
func taskOf(c *heldCall) string {
	var body struct {
		Task string `json:"task"`
	}
	_ = json.Unmarshal(c.body, &body)
	return body.Task
}

// holdBackStart holds back the next call to start a task of a chosen job, and its repeats.
func holdBackStart(k *worker, copies int, chosen func(batch.ID) bool) (held *heldCall, sent time.Time) {
	got := make(chan bool, 1)
	var mu sync.Mutex
	left := copies
	k.calls.holdBack(func(c *heldCall) bool {
		mu.Lock()
		defer mu.Unlock()
		if c.path != "/v1/run-start" || left == 0 {
			return false
		}
		task := taskOf(c)
		switch {
		case held == nil && len(task) > 16 && chosen(batch.ID(task[:16])):
			held, sent = c, time.Now()
			got <- true
		case held == nil || taskOf(held) != task:
			return false
		}
		left--
		return true
	})
	select {
	case <-got:
	case <-time.After(10 * time.Second):
		fail("no call to hold back")
	}
	mu.Lock()
	defer mu.Unlock()
	return held, sent
}
