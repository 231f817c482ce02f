package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment.
const (
	contact     = 3000 * time.Millisecond
	cancelBound = 3000 * time.Millisecond
	stopBound   = 50 * time.Millisecond
)

// playEnds: an entry that is cut off from the store without knowing it confirms ends of
// runs to an agent that has been started again.
func playEnds(f *fleet) error {
	const (
		rounds    = 9
		cutFor    = 2500 * time.Millisecond
		killAfter = 700 * time.Millisecond
		between   = 5 * time.Second
	)
	stop := f.load(12, 300*time.Millisecond, job{tasks: 6, length: 150 * time.Millisecond}, f.fronts[0], f.fronts[2])
	time.Sleep(2 * time.Second)
	for range rounds {
		if troubledBy("cut") {
			f.w.log("disruption: frontend-2 is cut off from the store")
			f.fronts[1].store.setCut(true)
		}
		time.Sleep(killAfter)
		if troubledBy("kill") {
			busiest := f.sides[0]
			for _, s := range f.sides {
				if s.running() > busiest.running() {
					busiest = s
				}
			}
			busiest.process.signal(syscall.SIGKILL)
		}
		time.Sleep(cutFor - killAfter)
		if troubledBy("cut") {
			f.fronts[1].store.setCut(false)
			f.w.log("disruption: frontend-2 reaches the store again")
		}
		time.Sleep(between)
	}
	stop()
	time.Sleep(3 * time.Second)
	f.w.checkTwiceAtOnce()
	f.w.checkStartAfterDone()
	return nil
}

// load makes clients hand jobs in, one after the other with pauses, until stop is called.
func (f *fleet) load(count int, pause time.Duration, like job, fronts ...*front) (stop func()) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n := range count {
		c := f.w.newClient("c"+string(rune('a'+n)), fronts[n%len(fronts)])
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.Int64N(int64(pause)))):
				}
				j := like
				j.id = newID()
				if status, _ := c.send(http.MethodPost, j, 1500*time.Millisecond); status == 0 || status == http.StatusGatewayTimeout {
					time.Sleep(retryAfter)
					c.send(http.MethodPost, j, 1500*time.Millisecond)
				}
			}
		}()
	}
	return func() {
		close(done)
		clients.Wait()
	}
}

// playSilent: connections between a frontend and side machines go silent, without a
// reset, while new ones work.
func playSilent(f *fleet) error {
	const (
		rounds  = 30
		share   = 0.55
		between = 2800 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed(), 5))
	stop := f.load(24, time.Second, job{tasks: 3, length: 550 * time.Millisecond}, f.fronts[0], f.fronts[0], f.fronts[0], f.fronts[1], f.fronts[2])
	time.Sleep(2 * time.Second)
	for range rounds {
		if troubled() {
			silent, open := silenceShare(random, share, f.fronts[0].links)
			f.w.log("disruption: %d of %d connections to frontend-1 go silent", silent, open)
		}
		time.Sleep(between)
	}
	stop()
	time.Sleep(3 * time.Second)
	f.w.checkTwiceAtOnce()
	f.w.checkStartAfterDone()
	return nil
}

// playResend: connections of a frontend are reset, and clients whose connection was
// among them send their jobs again to another frontend.
func playResend(f *fleet) error {
	const (
		rounds = 5
		share  = 0.55
	)
	random := rand.New(rand.NewPCG(seed(), 2))
	for range rounds {
		var clients sync.WaitGroup
		for n := range 8 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				j := job{id: newID(), tasks: 3, length: 3 * time.Second, bestEffort: true}
				first := f.w.newClient("c"+string(rune('a'+n)), f.fronts[0])
				if status, _ := first.send(http.MethodPost, j, 15*time.Second); status == 0 || status == http.StatusGatewayTimeout {
					time.Sleep(retryAfter)
					f.w.newClient("c"+string(rune('a'+n)), f.fronts[1+n%2]).send(http.MethodPost, j, 13*time.Second)
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
		if troubled() {
			resets, open := resetShare(random, share, f.fronts[0].clients, f.fronts[0].links)
			f.w.log("disruption: %d of %d connections of frontend-1 are reset", resets, open)
		}
		clients.Wait()
		time.Sleep(3 * time.Second)
	}
	f.w.checkTwiceAtOnce()
	return nil
}

// playCrashes: executors crash, one at a time, while jobs that must be kept run.
func playCrashes(f *fleet) error {
	const (
		crashes      = 10
		downFor      = 4500 * time.Millisecond
		between      = time.Second
		jobsPerCrash = 4
	)
	random := rand.New(rand.NewPCG(seed(), 3))
	var jobs []job
	for range crashes {
		for n := range jobsPerCrash {
			j := job{id: newID(), tasks: 5, length: 12 * time.Second, perExecutor: 1}
			if status, _ := f.w.newClient("ca", f.fronts[n%3]).send(http.MethodPost, j, 4*time.Second); status == http.StatusOK {
				jobs = append(jobs, j)
			}
		}
		time.Sleep(between)
		victim := f.sides[random.IntN(len(f.sides))]
		if troubled() {
			victim.executor.crash()
		}
		time.Sleep(downFor)
		if troubled() {
			if err := victim.executor.startLife(); err != nil {
				return err
			}
		}
	}
	time.Sleep(20 * time.Second)
	for _, j := range jobs {
		_, body := f.w.newClient("ca", f.fronts[0]).send(http.MethodGet, j, 4*time.Second)
		if strings.Contains(body, `"failed"`) && f.failedRuns(j) == 0 {
			f.w.breaks("LOST: job %s was accepted and is shown as failed, though none of its runs has ended failed", j.id)
		}
	}
	return nil
}

// failedRuns returns how many runs of a job have ended failed.
func (f *fleet) failedRuns(j job) int {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	failed := 0
	for _, r := range f.w.runs {
		if strings.HasPrefix(r.task, j.id) && r.how == "failed" {
			failed++
		}
	}
	return failed
}

// playCancel: a client cancels a job at a frontend that is cut off from the store without
// knowing it.
func playCancel(f *fleet) error {
	const (
		rounds = 4
		cutFor = 2500 * time.Millisecond
	)
	for range rounds {
		if troubled() {
			f.w.log("disruption: frontend-2 is cut off from the store")
			f.fronts[1].store.setCut(true)
		}
		time.Sleep(500 * time.Millisecond)
		j := job{id: newID(), steps: 8, tasks: 3, length: 2500 * time.Millisecond}
		accepted, _ := f.w.newClient("ca", f.fronts[0]).send(http.MethodPost, j, 4*time.Second)
		time.Sleep(300 * time.Millisecond)
		cancelled, _ := f.w.newClient("ca", f.fronts[1]).send(http.MethodDelete, j, 4*time.Second)
		time.Sleep(cutFor - 800*time.Millisecond)
		if troubled() {
			f.fronts[1].store.setCut(false)
			f.w.log("disruption: frontend-2 reaches the store again")
		}
		if accepted == http.StatusOK {
			f.checkCancelled([]job{j}, []int{cancelled})
		}
		time.Sleep(6 * time.Second)
	}
	return nil
}

// checkCancelled waits until the disruption, which ends now, has been over for contactMs,
// cancel_ms and stopGraceMs. It checks that no task of a job runs then, and that none has
// started later than cancel_ms after the job's cancelling was acknowledged, when the
// disruption had been over for contactMs.
func (f *fleet) checkCancelled(jobs []job, cancelled []int) {
	calm := time.Now().Add(contact)
	time.Sleep(contact + cancelBound + stopBound + 250*time.Millisecond)
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	for n, j := range jobs {
		if cancelled[n]/100 != 2 && cancelled[n] != http.StatusGone {
			continue
		}
		running, late := 0, 0
		for _, r := range f.w.runs {
			if !strings.HasPrefix(r.task, j.id) {
				continue
			}
			if r.ended.IsZero() {
				running++
			}
			if r.started.After(calm) && r.started.After(f.w.cancelled[j.id].Add(cancelBound)) {
				late++
			}
		}
		if running+late > 0 {
			f.w.breaksLocked("UNASKED: job %s, whose cancelling was acknowledged with %d at %.3f: %d tasks run, %d started more than cancel_ms after that", j.id,
				cancelled[n], f.w.cancelled[j.id].Sub(f.w.begin).Seconds(), running, late)
		}
	}
}

// playStop: jobs are cancelled while connections of the frontend that runs them are reset.
func playStop(f *fleet) error {
	const (
		rounds = 4
		jobs   = 24
		share  = 0.55
	)
	random := rand.New(rand.NewPCG(seed(), 4))
	for range rounds {
		var all []job
		var cancelled [jobs]int
		for range jobs {
			j := job{id: newID(), tasks: 2, length: 15 * time.Second}
			if status, _ := f.w.newClient("ca", f.fronts[0]).send(http.MethodPost, j, 4*time.Second); status == http.StatusOK {
				all = append(all, j)
			}
		}
		time.Sleep(time.Second)
		var clients sync.WaitGroup
		for n, j := range all {
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				cancelled[n], _ = f.w.newClient("cb", f.fronts[1+n%2]).send(http.MethodDelete, j, 4*time.Second)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		if troubled() {
			resets, open := resetShare(random, share, f.fronts[0].clients, f.fronts[0].links)
			f.w.log("disruption: %d of %d connections of frontend-1 are reset", resets, open)
		}
		clients.Wait()
		f.checkCancelled(all, cancelled[:])
		time.Sleep(10 * time.Second)
	}
	return nil
}

// playForeign: another writer sends a heartbeat of a service that isn't configured to the
// control address of side machines.
func playForeign(f *fleet) error {
	const rounds = 5
	stop := f.load(9, 600*time.Millisecond, job{tasks: 3, length: 550 * time.Millisecond}, f.fronts...)
	time.Sleep(2 * time.Second)
	for n := range rounds {
		s := f.sides[n%len(f.sides)]
		if troubled() {
			body := `{"service":"other","address":"127.0.0.1:9","zone":"a","version":"v1","capacity":8,"state":"ready","coldRemainingMs":0,` +
				`"room":{"cpu":1000,"memMb":1024,"gpu":0},"labels":[],"clockMs":1,"sequence":1}`
			response, err := http.Post("http://"+s.executor.control+"/v1/Instances.Heartbeat/i-7f3a91c2", "application/json", strings.NewReader(body))
			if err != nil {
				return err
			}
			response.Body.Close()
			f.w.log("disruption: a heartbeat of another writer reaches %s, answer %d", s.executor.machine, response.StatusCode)
		}
		time.Sleep(5 * time.Second)
	}
	stop()
	time.Sleep(3 * time.Second)
	f.w.checkTwiceAtOnce()
	f.w.checkStartAfterDone()
	return nil
}
