package keeper

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// eventTimeout limits each wait for an asynchronous event.
const eventTimeout = 20 * time.Second

// memoryLog is an in-memory Log that enforces expected offsets, epochs and sequence
// numbers.
type memoryLog struct {
	mu      sync.Mutex
	records []ledger.Record
	writers map[string]*writerState
	// forcedVerdict, if set, is the answer to every append. The append then takes
	// effect only if appendAnyway is set.
	forcedVerdict Verdict
	appendAnyway  bool
	// readsBlocked keeps readers from reading new records.
	readsBlocked bool
	// changed is closed and replaced after each update.
	changed chan struct{}
}

// writerState holds the highest epoch of a writer and its next sequence number.
type writerState struct {
	epoch, next uint64
	// ends has the offset after the records of each append, by sequence number.
	ends []uint64
}

func newMemoryLog() *memoryLog {
	return &memoryLog{writers: make(map[string]*writerState), changed: make(chan struct{})}
}

// update applies a change and wakes the readers.
func (l *memoryLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memoryLog) Append(_ context.Context, a AppendRequest) AppendResult {
	var answer AppendResult
	l.update(func() {
		if l.forcedVerdict == "" || l.appendAnyway {
			answer = l.append(a)
		}
		if l.forcedVerdict != "" {
			answer = AppendResult{Verdict: l.forcedVerdict}
		}
	})
	return answer
}

func (l *memoryLog) append(a AppendRequest) AppendResult {
	if a.ExpectedEnd != nil && *a.ExpectedEnd != uint64(len(l.records)) {
		return AppendResult{Verdict: EndMoved}
	}
	end := uint64(len(l.records) + len(a.Records))
	if a.Writer != "" {
		w := l.writers[a.Writer]
		if w == nil {
			w = &writerState{}
			l.writers[a.Writer] = w
		}
		if a.Epoch < w.epoch {
			return AppendResult{Verdict: Fenced}
		}
		if a.Epoch > w.epoch {
			w.epoch, w.next = a.Epoch, a.Sequence
		}
		switch {
		case len(a.Records) == 0:
			return AppendResult{Verdict: Done, Next: end}
		case a.Sequence < w.next:
			return AppendResult{Verdict: Done, Next: w.ends[a.Sequence]}
		case a.Sequence > w.next:
			return AppendResult{Verdict: OutOfSequence}
		}
		w.next++
		w.ends = append(w.ends, end)
	}
	l.records = append(l.records, a.Records...)
	return AppendResult{Verdict: Done, Next: end}
}

func (l *memoryLog) End(context.Context, uint64) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.records)), nil
}

// silencedLog is a memoryLog that can be read once and then answers no call, of which
// its reader learns nothing.
type silencedLog struct{ *memoryLog }

func (l *silencedLog) Append(context.Context, AppendRequest) AppendResult {
	return AppendResult{Verdict: Unknown}
}

func (l *silencedLog) End(context.Context, uint64) (uint64, error) {
	return 0, errors.New("no answer")
}

func (l *silencedLog) Follow(ctx context.Context, reader Reader) {
	reader.Apply(Page{Snapshot: true, UpToDate: true})
	reader.NoteResult(nil)
	<-ctx.Done()
}

func (l *memoryLog) Follow(ctx context.Context, reader Reader) {
	next, snapshot := 0, true
	for ctx.Err() == nil {
		l.mu.Lock()
		page := Page{Snapshot: snapshot, UpToDate: true, Next: uint64(len(l.records))}
		for offset := next; offset < len(l.records); offset++ {
			page.Records = append(page.Records, ReadRecord{uint64(offset), l.records[offset]})
		}
		blocked, changed := l.readsBlocked, l.changed
		l.mu.Unlock()
		if !blocked && (snapshot || len(page.Records) > 0) {
			next, snapshot = int(page.Next), false
			reader.Apply(page)
			reader.NoteResult(nil)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// fakeDispatcher is a Dispatcher that records its calls and runs no tasks.
type fakeDispatcher struct {
	mu        sync.Mutex
	started   []dispatch.DurableJob
	finished  map[batch.ID]func(dispatch.Result)
	progress  map[batch.ID][]dispatch.TaskProgress
	forgotten map[batch.ID]bool
	// ownedUntil is the latest end of the ownership that was passed.
	ownedUntil time.Time
	// startsUntil is the latest end of the time for starts that was passed.
	startsUntil time.Time
	// refusal, if set, is the answer to every new job.
	refusal *dispatch.Result
	// stopped is the set of jobs that StopDurable was called for.
	stopped map[batch.ID]bool
}

func newFakeDispatcher() *fakeDispatcher {
	return &fakeDispatcher{finished: make(map[batch.ID]func(dispatch.Result)), progress: make(map[batch.ID][]dispatch.TaskProgress), forgotten: make(map[batch.ID]bool),
		stopped: make(map[batch.ID]bool)}
}

func (d *fakeDispatcher) AdmitDurable(batch.Submission) (dispatch.Result, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusal != nil {
		return *d.refusal, false
	}
	return dispatch.Result{}, true
}
func (d *fakeDispatcher) LooksResubmitted(s batch.Submission) bool { return s.PriorWait > 0 }

func (d *fakeDispatcher) RunDurable(job dispatch.DurableJob, finished func(dispatch.Result)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started = append(d.started, job)
	d.finished[job.Job.ID] = finished
}
func (d *fakeDispatcher) DurableProgress(id batch.ID) ([]dispatch.TaskProgress, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.progress[id], 0
}
func (d *fakeDispatcher) ConfirmDurableEnds(batch.ID, int) {}
func (d *fakeDispatcher) SendConfirmations()               {}
func (d *fakeDispatcher) StopDurable(id batch.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped[id] = true
}
func (d *fakeDispatcher) ForgetDurable(id batch.ID, _ bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgotten[id] = true
}
func (d *fakeDispatcher) OwnDurableUntil(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end.After(d.ownedUntil) {
		d.ownedUntil = end
	}
}

func (d *fakeDispatcher) StartDurableUntil(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end.After(d.startsUntil) {
		d.startsUntil = end
	}
}

// mayStart reports whether tasks of durable jobs may start at a time.
func (d *fakeDispatcher) mayStart(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.ownedUntil) && now.Before(d.startsUntil)
}

// hasStopped reports whether StopDurable was called for a job.
func (d *fakeDispatcher) hasStopped(id batch.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped[id]
}

// owns reports whether durable jobs may run at a time.
func (d *fakeDispatcher) owns(now time.Time) bool { return now.Before(d.ownershipEnd()) }

func (d *fakeDispatcher) ownershipEnd() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownedUntil
}

func (d *fakeDispatcher) HasStarted(batch.ID) bool { return false }

func (d *fakeDispatcher) startedJobs() []dispatch.DurableJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]dispatch.DurableJob(nil), d.started...)
}

// clock is the real clock plus an offset that tests can increase.
type clock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// discardSink discards all decisions.
type discardSink struct{}

func (discardSink) Record(decision.Decision) {}

// testEntry is a running keeper with its dispatcher.
type testEntry struct {
	*Keeper
	dispatcher *fakeDispatcher
	stop       func()
}

// startEntry runs a keeper and waits until it has read a snapshot of the log.
func startEntry(t *testing.T, log Log, c *clock, name string) *testEntry {
	e := &testEntry{dispatcher: newFakeDispatcher()}
	e.Keeper = New(Options{Node: "node-" + name, Owner: ledger.Owner(name), IsFirstByName: func() bool { return true }, Now: c.now, UnixTime: c.now}, log, e.dispatcher, discardSink{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = e.Run(ctx)
	}()
	e.stop = func() { cancel(); <-ended }
	t.Cleanup(e.stop)
	eventually(t, "the first read of the log", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.reads.caughtUp
	})
	return e
}

// advance advances the clock of a running entry by less than what counts as a pause.
func (e *testEntry) advance(c *clock) {
	c.advance(minPause / 4)
	e.notePause()
}

// isFenced reports whether an owner has been fenced.
func (l *memoryLog) isFenced(owner string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.writers[owner]
	return w != nil && w.epoch >= fenceEpoch
}

// eventually polls until an event has happened and fails the test after
// eventTimeout.
func eventually(t *testing.T, event string, happened func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if happened() {
			return
		}
	}
	t.Fatalf("%s did not happen within %v", event, eventTimeout)
}

// submission returns a durable job with two tasks.
func submission(id batch.ID) batch.Submission {
	return batch.Submission{Job: batch.Job{ID: id, Durable: true, Steps: []batch.Step{{Tasks: 2}}}, Service: "card", Queue: "q", MaxAttempts: 2}
}

// newestRecords returns the records that a snapshot of the log has.
func (l *memoryLog) newestRecords() map[string][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string][]byte)
	for _, r := range l.records {
		if newest[r.Key] = r.Value; len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	return newest
}
