package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// acceptedJob is a job whose submission was answered with success.
type acceptedJob struct {
	job
	at        time.Time
	cancelled time.Time
}

// playSolo is no case but a search: it plays the kinds of faults in FAULT at random and
// checks several rules.
func playSolo(f *fleet) error {
	kinds := strings.Split(os.Getenv("FAULT"), ",")
	random := rand.New(rand.NewPCG(seed(), 6))
	var mu sync.Mutex
	var accepted []*acceptedJob
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := f.fronts[n%len(f.fronts)]
			c := f.w.newClient("c"+string(rune('a'+n)), r)
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.Int64N(int64(800 * time.Millisecond)))):
				}
				lengths := []time.Duration{30, 60, 150, 550, 900, 2500}
				j := job{id: newID(), steps: 1 + rand.IntN(2), tasks: 1 + rand.IntN(4), length: lengths[rand.IntN(len(lengths))] * time.Millisecond, bestEffort: n%6 == 5}
				deadline := 4 * time.Second
				if j.bestEffort {
					deadline = 10 * time.Second
				}
				status, _ := c.send(http.MethodPost, j, deadline)
				for try := 0; try < 3 && (status == 0 || status == http.StatusGatewayTimeout); try++ {
					time.Sleep(retryAfter)
					c = f.w.newClient("c"+string(rune('a'+n)), f.fronts[rand.IntN(len(f.fronts))])
					status, _ = c.send(http.MethodPost, j, deadline)
				}
				if status != http.StatusOK || j.bestEffort {
					continue
				}
				a := &acceptedJob{job: j, at: time.Now()}
				mu.Lock()
				accepted = append(accepted, a)
				mu.Unlock()
				if rand.IntN(12) == 0 {
					clients.Add(1)
					go func() {
						defer clients.Done()
						time.Sleep(time.Duration(50+rand.IntN(400)) * time.Millisecond)
						status, _ := c.send(http.MethodDelete, j, 4*time.Second)
						if status == http.StatusOK || status == http.StatusGone {
							mu.Lock()
							a.cancelled = time.Now()
							mu.Unlock()
						}
					}()
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for begin := time.Now(); time.Since(begin) < 70*time.Second; {
		f.fault(random, kinds[random.IntN(len(kinds))])
		time.Sleep(time.Duration(1500+random.IntN(4500)) * time.Millisecond)
	}
	close(done)
	clients.Wait()
	end := time.Now()
	open := accepted
	for len(open) > 0 && time.Since(end) < 20*time.Second {
		var rest []*acceptedJob
		for n, a := range open {
			status, body := f.w.newClient("poll", f.fronts[n%len(f.fronts)]).send(http.MethodGet, a.job, 4*time.Second)
			switch {
			case status == http.StatusGone:
				f.w.breaks("LOST: %s is unknown", a.id)
			case strings.Contains(body, "failed"):
				f.w.breaks("LOST: %s is shown as failed", a.id)
			case strings.Contains(body, "cancelled"):
				if a.cancelled.IsZero() {
					f.w.log("note: %s is shown as cancelled without an answered DELETE", a.id)
				}
			case strings.Contains(body, "completed"):
				f.checkDone(a.job)
			default:
				rest = append(rest, a)
			}
		}
		open = rest
		time.Sleep(300 * time.Millisecond)
	}
	for _, a := range open {
		f.w.breaks("LOST: %s is open %v after the end", a.id, time.Since(end))
	}
	f.w.mu.Lock()
	for _, a := range accepted {
		if a.cancelled.IsZero() {
			continue
		}
		for _, r := range f.w.runs {
			if strings.HasPrefix(r.task, a.id) && r.started.After(a.cancelled.Add(cancelBound)) {
				f.w.breaksLocked("UNASKED?: %s run %d started %v after its cancelling", r.task, r.number, r.started.Sub(a.cancelled))
			}
			if strings.HasPrefix(r.task, a.id) && (r.ended.IsZero() || r.ended.After(a.cancelled.Add(cancelBound+stopBound))) && r.started.Before(a.cancelled.Add(cancelBound)) {
				f.w.breaksLocked("UNASKED?: %s run %d ended after the cancelling", r.task, r.number)
			}
		}
	}
	f.w.mu.Unlock()
	f.w.checkTwiceAtOnce()
	f.w.checkStartAfterDone()
	return nil
}

// checkDone checks that every task of a completed job has a run that ended done.
func (f *fleet) checkDone(j job) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	done := make(map[string]bool)
	for _, r := range f.w.runs {
		if strings.HasPrefix(r.task, j.id) && r.how == "done" {
			done[r.task] = true
		}
	}
	if len(done) != max(j.steps, 1)*j.tasks {
		f.w.breaksLocked("MIXED: %s is completed with %d of %d tasks done", j.id, len(done), j.steps*j.tasks)
	}
}

// fault causes one fault of a kind.
func (f *fleet) fault(random *rand.Rand, kind string) {
	r := f.fronts[random.IntN(len(f.fronts))]
	s := f.sides[random.IntN(len(f.sides))]
	f.w.log("disruption: %s, %s or %s", kind, r.process.name, s.process.name)
	after := func(ms int, g func()) { time.AfterFunc(time.Duration(ms)*time.Millisecond, g) }
	setPause := func(p *process, ms int) {
		p.mu.Lock()
		p.pause = time.Duration(ms) * time.Millisecond
		p.mu.Unlock()
	}
	switch kind {
	case "killside":
		setPause(s.process, 60+random.IntN(800))
		s.process.signal(syscall.SIGKILL)
	case "killfront":
		setPause(r.process, 100+random.IntN(3000))
		r.process.signal(syscall.SIGKILL)
	case "termside":
		setPause(s.process, 100)
		s.process.signal(syscall.SIGTERM)
	case "termfront":
		setPause(r.process, 100)
		r.process.signal(syscall.SIGTERM)
	case "killall":
		for _, r := range f.fronts {
			setPause(r.process, 300+random.IntN(900))
			r.process.signal(syscall.SIGKILL)
		}
		for _, s := range f.sides {
			setPause(s.process, 300+random.IntN(900))
			s.process.signal(syscall.SIGKILL)
		}
		time.Sleep(8 * time.Second)
	case "stopfront":
		r.process.signal(syscall.SIGSTOP)
		after(200+random.IntN(3800), func() { r.process.signal(syscall.SIGCONT) })
	case "stopside":
		s.process.signal(syscall.SIGSTOP)
		after(200+random.IntN(3800), func() { s.process.signal(syscall.SIGCONT) })
	case "cutstore":
		r.store.setCut(true)
		after(500+random.IntN(5000), func() { r.store.setCut(false); f.w.log("store link of %s heals", r.process.name) })
	case "cutlinks":
		r.links.setCut(true)
		after(200+random.IntN(4000), func() { r.links.setCut(false); f.w.log("links of %s heal", r.process.name) })
	case "reset":
		resetShare(random, 0.55, r.links)
	case "resetclients":
		resetShare(random, 0.55, r.links, r.clients)
	case "resetstore":
		resetShare(random, 0.55, r.store)
	case "silent":
		silenceShare(random, 0.55, r.links)
	case "silentstore":
		silenceShare(random, 0.55, r.store)
	case "late":
		f.w.mu.Lock()
		f.w.late = 0.055
		f.w.mu.Unlock()
	case "lost":
		f.w.mu.Lock()
		f.w.lost = 0.025
		f.w.mu.Unlock()
	case "crash":
		s.executor.crash()
		after(300+random.IntN(3000), func() { _ = s.executor.startLife() })
	}
}
