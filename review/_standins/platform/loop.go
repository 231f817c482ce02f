package main

import (
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

// playLoop is no case but a trial: an entry takes the jobs of another one over when the
// store ceases to answer it, CUT milliseconds after the other one was killed.
func playLoop(f *fleet) error {
	stop := f.load(24, 300*time.Millisecond, job{tasks: 2, length: 60 * time.Millisecond}, f.fronts...)
	for n := range 12 {
		j := job{id: newID(), steps: 30, tasks: 2, length: 3 * time.Second}
		f.w.newClient("l", f.fronts[1+n%2]).send(http.MethodPost, j, 4*time.Second)
	}
	time.Sleep(2 * time.Second)
	for n := range 4 {
		f.fronts[0].process.mu.Lock()
		f.fronts[0].process.pause = 3500 * time.Millisecond
		f.fronts[0].process.mu.Unlock()
		f.fronts[0].process.signal(syscall.SIGKILL)
		ms, _ := strconv.Atoi(os.Getenv("CUT"))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		r := f.fronts[1+n%2]
		r.store.setCut(true)
		f.w.log("disruption: the store does not answer %s", r.process.name)
		time.Sleep(9 * time.Second)
		r.store.setCut(false)
		f.w.log("disruption: the store answers %s again", r.process.name)
		time.Sleep(6 * time.Second)
	}
	stop()
	f.w.checkTwiceAtOnce()
	f.w.checkStartAfterDone()
	return nil
}
