package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

func init() { cases["rerouted"] = playRerouted }

// playRerouted hands in jobs that must be kept while the service of their queue is full. A new
// configuration then sends the queue to another service. The jobs still wait, and the queue's
// number of waiting jobs must say so: RULES, MIXED.
func playRerouted(w *world, trouble bool) bool {
	const (
		long    = 40 * time.Second
		blocker = 4
		jobs    = 20
		// visible and staleness are `visible_ms` of the sheets and the 2 s of the rule.
		visible, staleness = 3 * time.Second, 2 * time.Second
		// apply is `configApplyMs`.
		apply = 2 * time.Second
	)
	room := batch.Resources{MilliCPU: 8000, MemoryMiB: 16384}
	var mu sync.Mutex
	isBlocker, started := make(map[batch.ID]bool), make(map[batch.ID]bool)
	work := func(t batch.Task) executor.Work {
		mu.Lock()
		defer mu.Unlock()
		if isBlocker[t.Job] {
			return executor.Work{Duration: long, Demand: batch.Resources{MilliCPU: 8000, MemoryMiB: 64}}
		}
		return executor.Work{Duration: 200 * time.Millisecond, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}}
	}
	for machine := 21; machine <= 28; machine++ {
		name := service
		if machine > 24 {
			name = otherService
		}
		k := w.addWorkerOf(name, machine, room, []string{"a", "r1-1"}, work)
		k.observe(func(run batch.Run) {
			mu.Lock()
			defer mu.Unlock()
			started[run.Task.Job] = true
			w.note("executor on machine %d, of service %s, starts %v", machine, name, run)
		}, nil)
	}
	route := func(name, prefix, service string) queue {
		return queue{Name: name, Host: host, PathPrefix: prefix, TimeoutMs: 4000, TargetLatencyMs: 60000, Service: service, MaxAttempts: 4, Stretch: 3}
	}
	const blockers = "/long/"
	w.publish(3, route("q", prefix, service), route("long", blockers, service))
	w.addEntry(1)
	w.addEntry(2)
	w.awaitReady()
	time.Sleep(2 * time.Second)

	client := &http.Client{Timeout: 4 * time.Second}
	submit := func(machine int, path, body string) bool {
		status, answer := w.call(client, machine, http.MethodPost, path, body, 4*time.Second)
		w.note("client: POST %s to machine %d -> %d %s", path, machine, status, answer)
		return status == http.StatusOK
	}
	for range blocker {
		id := newID()
		mu.Lock()
		isBlocker[batch.ID(id)] = true
		mu.Unlock()
		if !submit(1, blockers+id, `{"spec":"x","steps":[{"count":1,"cpu":8000,"memMb":64,"estimateMs":40000}]}`) {
			fail("a long job was not accepted")
		}
	}
	time.Sleep(time.Second)
	var ids []string
	for n := range jobs {
		id := newID()
		if submit(1+n%2, prefix+id, `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":200}]}`) {
			ids = append(ids, id)
		}
	}
	lastAccepted := time.Now()
	if len(ids) < jobs/2 {
		fail("%d of %d jobs were accepted", len(ids), jobs)
	}
	if trouble {
		w.publish(9, route("q", prefix, otherService), route("long", blockers, service))
	}
	time.Sleep(max(apply, visible+staleness) + time.Second - time.Since(lastAccepted))
	held := true
	for range 3 {
		for machine := 1; machine <= 2; machine++ {
			mu.Lock()
			unbegun := 0
			for _, id := range ids {
				if !started[batch.ID(id)] {
					unbegun++
				}
			}
			mu.Unlock()
			status, answer := w.call(client, machine, http.MethodGet, prefix, "", 2*time.Second)
			var count struct {
				Waiting int `json:"waiting"`
			}
			if status != http.StatusOK || json.Unmarshal([]byte(answer), &count) != nil {
				fail("GET %s -> %d %s", prefix, status, answer)
			}
			w.note("client: GET %s to machine %d -> %d %s; %d accepted jobs have not begun", prefix, machine, status, answer, unbegun)
			if 2*count.Waiting < unbegun {
				held = false
			}
		}
		time.Sleep(time.Second)
	}
	for _, id := range ids[:3] {
		status, answer := w.call(client, 1, http.MethodGet, prefix+id, "", 2*time.Second)
		w.note("client: GET %s%s -> %d %s", prefix, id, status, answer)
	}
	return held
}
