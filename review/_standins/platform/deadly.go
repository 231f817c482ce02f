package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// crashesBefore is the number of executors that may crash under a task before its
	// starts are counted, startsAfter the number of starts after that which break the rule.
	crashesBefore = 3
	startsAfter   = 3
)

// playDeadly: a job that must be kept has a task that crashes each executor that starts it,
// before the executor has answered the order to start it.
func playDeadly(f *fleet) error {
	stop := f.load(6, 600*time.Millisecond, job{tasks: 2, length: 150 * time.Millisecond}, f.fronts...)
	time.Sleep(2 * time.Second)
	deadly := job{id: newID(), tasks: 1, length: 200 * time.Millisecond, deadly: troubled()}
	if status, _ := f.w.newClient("ca", f.fronts[0]).send(http.MethodPost, deadly, 4*time.Second); status != http.StatusOK {
		f.w.log("the job was not accepted")
	}
	time.Sleep(70 * time.Second)
	f.w.newClient("ca", f.fronts[0]).send(http.MethodGet, deadly, 4*time.Second)
	stop()
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	crashes, starts := 0, 0
	for _, r := range f.w.runs {
		if !strings.HasPrefix(r.task, deadly.id) {
			continue
		}
		if crashes >= crashesBefore {
			starts++
		}
		if r.how == "crashed" {
			crashes++
		}
	}
	f.w.logLocked("%d executors have crashed under %s, which was started %d times after the first %d of them", crashes, deadly.id, starts, crashesBefore)
	if starts >= startsAfter {
		f.w.breaksLocked("BUDGET: %s was started %d times after %d executors had crashed under it", deadly.id, starts, crashesBefore)
	}
	return nil
}
