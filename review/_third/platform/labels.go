package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

func init() { cases["labels"] = playLabels }

// playLabels keeps a stream of jobs that need an executor of kind `b`. Of eight executors two are
// of that kind. One of the two crashes and starts again under the id that it had, as kind `a`, and
// later as kind `b` again, three times. While it is of kind `a`, it must not be told to start these
// tasks: RULES, ROUTE.
func playLabels(w *world, trouble bool) bool {
	const (
		taskTime = 200 * time.Millisecond
		downTime = 2 * time.Second
		upTime   = 4 * time.Second
		rounds   = 3
		length   = 36 * time.Second
	)
	var mu sync.Mutex
	kind := make(map[int]string)
	wrong, right := 0, 0
	w.publish(3, queue{Name: "q", Host: host, PathPrefix: prefix, TimeoutMs: 1500, TargetLatencyMs: 100, Service: service, MaxAttempts: 4, Stretch: 1.6})
	for machine := 21; machine <= 28; machine++ {
		kind[machine] = "a"
		if machine <= 22 {
			kind[machine] = "b"
		}
		k := w.addWorker(machine, batch.Resources{MilliCPU: 8000, MemoryMiB: 16384}, []string{kind[machine], "r1-1"},
			func(batch.Task) executor.Work {
				return executor.Work{Duration: taskTime, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}}
			})
		k.observe(func(run batch.Run) {
			mu.Lock()
			defer mu.Unlock()
			if kind[machine] == "b" {
				right++
				w.note("executor on machine %d, of kind b, starts %v", machine, run)
				return
			}
			wrong++
			w.note("executor on machine %d, now of kind %s, IS TOLD TO START %v, which requires kind b", machine, kind[machine], run)
		}, nil)
	}
	w.addEntry(1)
	w.addEntry(2)
	w.awaitReady()
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := make(map[int]int)
	for n := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{}}
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := newID()
				status, answer := w.call(client, 1+n%2, http.MethodPost, prefix+id,
					`{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":200,"requires":"b"}]}`, 1500*time.Millisecond)
				w.note("client %d: POST %s%s (requires \"b\") to machine %d -> %d %s", n, prefix, id, 1+n%2, status, answer)
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		}()
	}
	began := time.Now()
	time.Sleep(3 * time.Second)
	if trouble {
		k := w.workers[0]
		for round := range 2*rounds - 1 {
			next := []string{"a", "b"}[round%2]
			w.note("executor on machine %d, %s of kind %s, crashes, down for %v; one of 8 executors", k.machine, k.id(), kind[k.machine], downTime)
			k.crash()
			time.Sleep(downTime)
			mu.Lock()
			kind[k.machine] = next
			mu.Unlock()
			k.restart(false, []string{next, "r1-1"})
			w.note("executor on machine %d starts again as %s, of kind %s, and has sent its first heartbeat", k.machine, k.id(), next)
			time.Sleep(upTime)
		}
	}
	time.Sleep(length - time.Since(began))
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.note("answers by status: %s; %d starts at executors of kind b, %d at others", fmt.Sprint(answers), right, wrong)
	if right == 0 || answers[http.StatusOK] == 0 {
		fail("no job was served")
	}
	return wrong == 0
}
