package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

func init() { cases["starved"] = playStarved }

// playStarved hands in jobs that must be kept and need an executor of kind `b`, of which there is
// one among eight. That one is lost for good while they run. Jobs without such a need, which are
// handed in later, are accepted and must run on the seven others: RULES, LOST.
func playStarved(w *world, trouble bool) bool {
	const (
		special  = 12
		ordinary = 10
		// finish and window are `finish_s` of the sheets and the 3 s of the rule.
		finish = 14 * time.Second
		window = 3 * time.Second
	)
	room := batch.Resources{MilliCPU: 8000, MemoryMiB: 16384}
	var mu sync.Mutex
	started, ended := make(map[batch.ID]int), make(map[batch.ID]int)
	isSpecial := make(map[batch.ID]bool)
	busy := 0
	w.publish(3, queue{Name: "q", Host: host, PathPrefix: prefix, TimeoutMs: 4000, TargetLatencyMs: 1000, Service: service, MaxAttempts: 4, Stretch: 3})
	for machine := 21; machine <= 28; machine++ {
		kind := "a"
		if machine == 28 {
			kind = "b"
		}
		k := w.addWorker(machine, room, []string{kind, "r1-1"}, func(t batch.Task) executor.Work {
			mu.Lock()
			defer mu.Unlock()
			work := executor.Work{Duration: 200 * time.Millisecond, Demand: batch.Resources{MilliCPU: 500, MemoryMiB: 64}}
			if isSpecial[t.Job] {
				work.Duration = 4 * time.Second
			}
			return work
		})
		k.observe(func(run batch.Run) {
			mu.Lock()
			defer mu.Unlock()
			started[run.Task.Job]++
			busy++
			w.note("executor on machine %d starts %v", machine, run)
		}, func(run batch.Run, end batch.End) {
			mu.Lock()
			defer mu.Unlock()
			busy--
			if end == batch.EndDone {
				ended[run.Task.Job]++
			}
			w.note("executor on machine %d ends %v: %s", machine, run, end)
		})
	}
	w.addEntry(1)
	w.addEntry(2)
	w.awaitReady()
	time.Sleep(2 * time.Second)

	client := &http.Client{Timeout: 4 * time.Second}
	submit := func(machine int, id, requires string) int {
		step := map[string]any{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 200}
		if requires != "" {
			step["requires"], step["estimateMs"] = requires, 4000
		}
		body, _ := json.Marshal(map[string]any{"spec": "x", "steps": []any{step}})
		status, answer := w.call(client, machine, http.MethodPost, prefix+id, string(body), 4*time.Second)
		w.note("client: POST %s%s (requires %q) to machine %d -> %d %s", prefix, id, requires, machine, status, answer)
		return status
	}
	for range special {
		id := newID()
		mu.Lock()
		isSpecial[batch.ID(id)] = true
		mu.Unlock()
		if submit(1, id, "b") != http.StatusOK {
			fail("a job for kind b was not accepted")
		}
	}
	time.Sleep(time.Second)
	mu.Lock()
	running := busy
	mu.Unlock()
	if running != special {
		fail("%d of %d tasks run on the executor of kind b", running, special)
	}
	if trouble {
		k := w.workers[len(w.workers)-1]
		w.note("executor on machine %d, the one of kind b, is lost for good; one of 8 executors", k.machine)
		k.crash()
		mu.Lock()
		busy = 0
		mu.Unlock()
	}
	time.Sleep(6 * time.Second)

	var ids []string
	for range ordinary {
		id := newID()
		if submit(1, id, "") == http.StatusOK {
			ids = append(ids, id)
		}
		time.Sleep(200 * time.Millisecond)
	}
	lastSent := time.Now()
	if len(ids) == 0 {
		fail("no ordinary job was accepted")
	}
	other := newID()
	otherStatus := submit(2, other, "")
	status, answer := w.call(client, 1, http.MethodPost, prefix+newID(), `{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":200}]}`, 4*time.Second)
	w.note("client: POST of a job with bestEffort to machine 1 -> %d %s", status, answer)

	time.Sleep(finish - time.Since(lastSent))
	unstarted := func() (jobs []string) {
		mu.Lock()
		defer mu.Unlock()
		for _, id := range ids {
			if started[batch.ID(id)] == 0 {
				jobs = append(jobs, id)
			}
		}
		return jobs
	}
	before := unstarted()
	w.note("%v after the last job: %d of %d accepted ordinary jobs have not started", finish, len(before), len(ids))
	time.Sleep(window)
	after := unstarted()
	mu.Lock()
	w.note("%v later: %d have not started; %d tasks run at all; the job through the other entry: %d, %d runs done", window, len(after), busy, otherStatus, ended[batch.ID(other)])
	mu.Unlock()
	for _, id := range ids {
		status, answer := w.call(client, 1, http.MethodGet, prefix+id, "", 2*time.Second)
		w.note("client: GET %s%s -> %d %s", prefix, id, status, answer)
	}
	w.note("capacity of the seven idle executors: %d tasks such as these", 7*room.MilliCPU/500)
	fmt.Fprintln(w.record, "accepted and not started:", after)
	return len(after) == 0
}
