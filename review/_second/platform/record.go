package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and keeps the runs for the checks.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
	runs  []*runRecord
}

// runRecord is one run of a task.
type runRecord struct {
	task     string
	run      int
	executor string
	life     int
	service  string
	labels   []string
	started  time.Time
	// ended is zero while the run goes on. how is "crashed" for one that ended with its executor.
	ended time.Time
	how   string
	// noted is when the end was taken note of, or zero.
	noted time.Time
}

// end returns when the run ended, or now if it goes on.
func (r *runRecord) end() time.Time {
	if r.ended.IsZero() {
		return time.Now()
	}
	return r.ended
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), begin: time.Now()}, nil
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *record) noteLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f s  ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *record) started(e *executor, run *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked("run %d of %s starts at %s, life %d", run.run, run.task, e.id, e.life)
	r.runs = append(r.runs, &runRecord{task: run.task, run: run.run, executor: e.id, life: e.life, service: e.service,
		labels: append([]string(nil), e.labels...), started: run.started})
}

func (r *record) ended(e *executor, run *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked("run %d of %s ends %s at %s, life %d", run.run, run.task, how, e.id, run.life)
	if found := r.find(e.id, run.life, run.task, run.run); found != nil {
		found.ended, found.how = time.Now(), how
	}
}

func (r *record) noted(e *executor, f finishedRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked("the end of run %d of %s (%s) is taken note of at %s", f.run, f.task, f.how, e.id)
	if found := r.find(e.id, e.life, f.task, f.run); found != nil {
		found.noted = time.Now()
	}
}

func (r *record) find(executor string, life int, task string, run int) *runRecord {
	for _, known := range r.runs {
		if known.executor == executor && known.life == life && known.task == task && known.run == run {
			return known
		}
	}
	return nil
}

// runsOf returns copies of the runs of a job.
func (r *record) runsOf(job string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []runRecord
	for _, known := range r.runs {
		if strings.HasPrefix(known.task, job+".") {
			runs = append(runs, *known)
		}
	}
	return runs
}
