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
	ms, err := strconv.Atoi(os.Getenv("CUT"))
	if err != nil {
		return err
	}
	stop := f.load(24, 300*time.Millisecond, job{tasks: 2, length: 60 * time.Millisecond}, f.fronts[0], f.fronts[2])
	for range 4 {
		for range 10 {
			f.w.newClient("l", f.fronts[1]).send(http.MethodPost, job{id: newID(), tasks: 2, length: 20 * time.Second}, 4*time.Second)
		}
		time.Sleep(2 * time.Second)
		f.fronts[0].process.mu.Lock()
		f.fronts[0].process.pause = 3500 * time.Millisecond
		f.fronts[0].process.mu.Unlock()
		f.fronts[0].process.signal(syscall.SIGKILL)
		time.Sleep(time.Duration(ms) * time.Millisecond)
		f.fronts[1].store.setCut(true)
		f.w.log("disruption: the store does not answer frontend-2")
		time.Sleep(9 * time.Second)
		f.fronts[1].store.setCut(false)
		f.w.log("disruption: the store answers frontend-2 again")
		time.Sleep(6 * time.Second)
	}
	stop()
	f.w.checkTwiceAtOnce()
	f.w.checkStartAfterDone()
	return nil
}
