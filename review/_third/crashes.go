package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

func init() { cases["crashes"] = playCrashes }

// playCrashes submits a job that must be kept, of one task of four seconds, and crashes the executor
// on which the task runs, twice. No run ends `failed`, so that the job must not be shown as
// failed: RULES, LOST.
func playCrashes(w *world, trouble bool) bool {
	const (
		attempts = 4
		taskTime = 4 * time.Second
		downTime = 3 * time.Second
		crashes  = 2
	)
	type started struct {
		at  *worker
		run batch.Run
	}
	starts := make(chan started, 64)
	var mu sync.Mutex
	failedEnds := 0
	w.publish(3, queue{Name: "q", Host: host, PathPrefix: prefix, TimeoutMs: 4000, TargetLatencyMs: 1000, Service: service, MaxAttempts: attempts, Stretch: 3})
	for machine := 21; machine <= 28; machine++ {
		k := w.addWorker(machine, batch.Resources{MilliCPU: 8000, MemoryMiB: 16384}, []string{"a", "r1-1"},
			func(batch.Task) executor.Work {
				return executor.Work{Duration: taskTime, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}}
			})
		k.observe(func(run batch.Run) {
			w.note("executor on machine %d starts %v", machine, run)
			starts <- started{k, run}
		}, func(run batch.Run, end batch.End) {
			w.note("executor on machine %d ends %v: %s", machine, run, end)
			if end == batch.EndFailed {
				mu.Lock()
				failedEnds++
				mu.Unlock()
			}
		})
	}
	w.addEntry(1)
	w.addEntry(2)
	w.awaitReady()
	time.Sleep(2 * time.Second)

	client := &http.Client{Timeout: 4 * time.Second}
	id := newID()
	status, body := w.call(client, 1, http.MethodPost, prefix+id, `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":4000}]}`, 4*time.Second)
	w.note("client: POST %s%s -> %d %s", prefix, id, status, body)
	if status != http.StatusOK {
		fail("the job was not accepted")
	}
	if trouble {
		for n := range crashes {
			select {
			case s := <-starts:
				time.Sleep(time.Second)
				w.note("executor on machine %d crashes (%d of %d), down for %v; one of 8 executors", s.at.machine, n+1, crashes, downTime)
				s.at.crash()
				time.AfterFunc(downTime, func() {
					s.at.restart(true, []string{"a", "r1-1"})
					w.note("executor on machine %d starts again as %s", s.at.machine, s.at.id())
				})
			case <-time.After(25 * time.Second):
				fail("the task was not started")
			}
		}
	}
	state := ""
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		status, body := w.call(client, 2, http.MethodGet, prefix+id, "", 2*time.Second)
		var answer struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(body), &answer)
		if answer.State != state {
			state = answer.State
			w.note("client: GET %s%s -> %d %s", prefix, id, status, body)
		}
		if state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	w.note("%d ends `failed` of %d attempts; the job is shown as %q", failedEnds, attempts, state)
	return state != "failed" || failedEnds >= attempts
}
