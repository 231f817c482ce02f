package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

func init() { cases["migrated"] = playMigrated }

// playMigrated hands in jobs that must be kept and need an executor of kind `b`, of which the service of
// their queue has one among seven. That executor is lost for good while the jobs run, and the operator
// sends the queue to another service, which has two of that kind. New jobs run there, and so must those
// accepted before: RULES, LOST.
func playMigrated(w *world, trouble bool) bool {
	const (
		jobs = 4
		// finish, window and apply are `finish_s`, the 3 s of the rule and `configApplyMs`.
		finish = 14 * time.Second
		window = 3 * time.Second
		apply  = 2 * time.Second
	)
	room := batch.Resources{MilliCPU: 8000, MemoryMiB: 16384}
	var mu sync.Mutex
	lastRun, running := make(map[batch.ID]time.Time), make(map[batch.ID]int)
	for machine := 21; machine <= 31; machine++ {
		name, kind := service, "a"
		if machine > 24 {
			name = otherService
		}
		if machine < 23 || machine == 31 {
			kind = "b"
		}
		k := w.addWorkerOf(name, machine, room, []string{kind, "r1-1"}, func(batch.Task) executor.Work {
			return executor.Work{Duration: 3 * time.Second, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}}
		})
		k.observe(func(run batch.Run) {
			mu.Lock()
			defer mu.Unlock()
			running[run.Task.Job]++
			w.note("executor on machine %d, of service %s and kind %s, starts %v", machine, name, kind, run)
		}, func(run batch.Run, end batch.End) {
			mu.Lock()
			defer mu.Unlock()
			running[run.Task.Job]--
			lastRun[run.Task.Job] = time.Now()
			w.note("executor on machine %d, of service %s, ends %v: %s", machine, name, run, end)
		})
	}
	route := func(service string) queue {
		return queue{Name: "q", Host: host, PathPrefix: prefix, TimeoutMs: 4000, TargetLatencyMs: 1000, Service: service, MaxAttempts: 4, Stretch: 3}
	}
	w.publish(3, route(otherService))
	w.addEntry(1)
	w.addEntry(2)
	w.awaitReady()
	time.Sleep(2 * time.Second)

	client := &http.Client{Timeout: 4 * time.Second}
	submit := func(machine int) string {
		id := newID()
		status, answer := w.call(client, machine, http.MethodPost, prefix+id, `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":3000,"requires":"b"}]}`, 4*time.Second)
		w.note("client: POST %s%s to machine %d -> %d %s", prefix, id, machine, status, answer)
		if status != http.StatusOK {
			fail("a job was not accepted")
		}
		return id
	}
	var ids []string
	for n := range jobs {
		ids = append(ids, submit(1+n%2))
	}
	time.Sleep(time.Second)
	if trouble {
		k := w.workers[len(w.workers)-1]
		w.note("executor on machine %d, the one of service %s of kind b, is lost for good; one of 7 executors of its service", k.machine, otherService)
		k.crash()
		mu.Lock()
		clear(running)
		mu.Unlock()
		time.Sleep(time.Second)
	}
	w.publish(9, route(service))
	time.Sleep(apply + 500*time.Millisecond)
	late := submit(1)
	lastSent := time.Now()
	time.Sleep(finish + window - time.Since(lastSent))
	held := true
	for _, id := range append(ids, late) {
		status, answer := w.call(client, 1, http.MethodGet, prefix+id, "", 2*time.Second)
		var state struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(answer), &state)
		mu.Lock()
		idle := running[batch.ID(id)] == 0 && time.Since(lastRun[batch.ID(id)]) > window
		mu.Unlock()
		w.note("client: GET %s%s -> %d %s; nothing of it has run for the last %v: %t", prefix, id, status, answer, window, idle)
		if idle && (state.State == "pending" || state.State == "running") {
			held = false
		}
	}
	w.note("the two executors of kind b of service %s, to which the configuration sends the queue, are idle and have room for 16 such tasks", service)
	return held
}
