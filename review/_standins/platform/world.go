// Command platform runs the cases of the review that need the project's programs as
// separate processes. It starts entries and agents with the commands of the deploy
// file, stands in for the store, the machines, the executors and the clients, causes
// the disruption of the case, and checks one rule from what clients and executors see.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// runRecord is what an executor has seen of one run.
type runRecord struct {
	task     string
	number   int
	executor string
	started  time.Time
	ended    time.Time
	how      string
	// noted is set once a hold call has acknowledged the end while the lease had not
	// lapsed since the end.
	noted bool
	// lapsed is set if the lease lapsed between the end and its acknowledgement.
	lapsed bool
}

// world holds everything that the rules are checked against.
type world struct {
	mu        sync.Mutex
	begin     time.Time
	record    *bufio.Writer
	file      *os.File
	executors []*executor
	runs      []*runRecord
	byTask    map[string][]*runRecord
	// cancelled is when the cancelling of a job was acknowledged.
	cancelled map[string]time.Time
	// bestEffort holds the IDs of the jobs that needn't be kept.
	bestEffort map[string]bool
	// late is the share of orders to executors that get no answer and are carried out
	// late, lost the share of answers of executors that get lost.
	late, lost float64
	// countOver is set while starts over the room of an executor break LIMIT.
	countOver bool
	broken    []string
}

func newWorld(path string) (*world, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &world{begin: time.Now(), file: file, record: bufio.NewWriter(file), byTask: make(map[string][]*runRecord), cancelled: make(map[string]time.Time), bestEffort: make(map[string]bool)}, nil
}

// log writes a line to the record of the run.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaksLocked(format, args...)
}

func (w *world) breaksLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.logLocked("BROKEN %s", text)
}

// close writes the result and returns the number of breaks.
func (w *world) close() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("result: %d breaks of the rule, %d runs", len(w.broken), len(w.runs))
	w.record.Flush()
	w.file.Close()
	return len(w.broken)
}

// started records the start of a run. It reports other runs of the task that are alive.
func (w *world) started(r *runRecord) {
	w.runs = append(w.runs, r)
	w.byTask[r.task] = append(w.byTask[r.task], r)
	w.logLocked("executor %s starts %s run %d", r.executor, r.task, r.number)
}

// checkTwiceAtOnce checks that no two runs of a task were at work at the same time on
// executors that were up.
func (w *world) checkTwiceAtOnce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, runs := range w.byTask {
		for n, a := range runs {
			for _, b := range runs[n+1:] {
				end := a.ended
				if end.IsZero() {
					end = time.Now()
				}
				if overlap := end.Sub(b.started); overlap > 0 {
					w.breaksLocked("TWICE: %s run %d at %s since %.3f and run %d at %s since %.3f, both for %v", task, a.number, a.executor, a.started.Sub(w.begin).Seconds(),
						b.number, b.executor, b.started.Sub(w.begin).Seconds(), overlap.Round(time.Millisecond))
				}
			}
		}
	}
}

// checkStartAfterDone checks that no run started after a run of its task had ended
// done, if that end was taken note of. For jobs that needn't be kept that is allowed.
func (w *world) checkStartAfterDone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, runs := range w.byTask {
		if id, _, _ := strings.Cut(task, "."); w.bestEffort[id] {
			continue
		}
		for _, a := range runs {
			for _, b := range runs {
				if a.how == "done" && a.noted && b.started.After(a.ended) {
					w.breaksLocked("TWICE: %s run %d ended done at %s at %.3f, which was taken note of, and run %d started at %s at %.3f", task, a.number, a.executor,
						a.ended.Sub(w.begin).Seconds(), b.number, b.executor, b.started.Sub(w.begin).Seconds())
				}
			}
		}
	}
}
