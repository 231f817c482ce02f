package main

import (
	"net/http"
	"strings"
	"syscall"
	"time"
)

// playThaw: jobs are cancelled while the frontend that runs them is frozen.
func playThaw(f *fleet) error {
	const (
		rounds    = 6
		jobs      = 4
		frozenFor = 3600 * time.Millisecond
	)
	for range rounds {
		var all []job
		for range jobs {
			j := job{id: newID(), steps: 4, tasks: 3, length: 2500 * time.Millisecond}
			if status, _ := f.w.newClient("ca", f.fronts[0]).send(http.MethodPost, j, 4*time.Second); status == http.StatusOK {
				all = append(all, j)
			}
		}
		time.Sleep(time.Second)
		if troubled() {
			f.fronts[0].process.signal(syscall.SIGSTOP)
		}
		cancelled := make([]int, len(all))
		for n, j := range all {
			cancelled[n], _ = f.w.newClient("cb", f.fronts[1+n%2]).send(http.MethodDelete, j, 4*time.Second)
		}
		time.Sleep(frozenFor)
		if troubled() {
			f.fronts[0].process.signal(syscall.SIGCONT)
		}
		time.Sleep(6 * time.Second)
		f.w.checkLateStarts(all, cancelled)
	}
	return nil
}

// checkLateStarts checks that no task of a job has started later than cancel_ms after the
// job's cancelling was acknowledged.
func (w *world) checkLateStarts(jobs []job, cancelled []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, j := range jobs {
		for _, r := range w.runs {
			if cancelled[n]/100 == 2 && strings.HasPrefix(r.task, j.id) && r.started.After(w.cancelled[j.id].Add(cancelBound)) {
				w.breaksLocked("UNASKED: %s run %d started at %.3f, %v after the cancelling of its job was acknowledged with %d", r.task, r.number,
					r.started.Sub(w.begin).Seconds(), r.started.Sub(w.cancelled[j.id]).Round(time.Millisecond), cancelled[n])
			}
		}
	}
}
