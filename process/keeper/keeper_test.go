package keeper

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
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
			answer.Verdict = l.append(a)
		}
		if l.forcedVerdict != "" {
			answer.Verdict = l.forcedVerdict
		}
	})
	return answer
}

func (l *memoryLog) append(a AppendRequest) Verdict {
	if a.ExpectedEnd != nil && *a.ExpectedEnd != uint64(len(l.records)) {
		return EndMoved
	}
	if a.Writer != "" {
		w := l.writers[a.Writer]
		if w == nil {
			w = &writerState{}
			l.writers[a.Writer] = w
		}
		if a.Epoch < w.epoch {
			return Fenced
		}
		if a.Epoch > w.epoch {
			w.epoch, w.next = a.Epoch, a.Sequence
		}
		switch {
		case len(a.Records) == 0:
			return Done
		case a.Sequence < w.next:
			return Done
		case a.Sequence > w.next:
			return OutOfSequence
		}
		w.next++
	}
	l.records = append(l.records, a.Records...)
	return Done
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
	suspended bool
	// everSuspended is set by the first suspension and never reset.
	everSuspended bool
}

func newFakeDispatcher() *fakeDispatcher {
	return &fakeDispatcher{finished: make(map[batch.ID]func(dispatch.Result)), progress: make(map[batch.ID][]dispatch.TaskProgress), forgotten: make(map[batch.ID]bool)}
}

func (d *fakeDispatcher) AdmitDurable(batch.Submission) (dispatch.Result, bool) {
	return dispatch.Result{}, true
}
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
func (d *fakeDispatcher) StopDurable(batch.ID)             {}
func (d *fakeDispatcher) ForgetDurable(id batch.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgotten[id] = true
}
func (d *fakeDispatcher) SuspendDurable(suspended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspended = suspended
	d.everSuspended = d.everSuspended || suspended
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
		return e.caughtUp
	})
	return e
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

// Guards against running a job after its caller received a refusal, because its
// record stayed in the batch that the log had refused.
func TestRefusedJobNeverRuns(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	e := startEntry(t, log, c, "a")
	log.update(func() { log.forcedVerdict = Refused })
	if o := e.Submit(context.Background(), submission("j")); o.Code != NotAccepted || o.Refusal.Code != dispatch.NotRun {
		t.Fatalf("submit while the log refuses appends: %+v", o)
	}
	log.update(func() { log.forcedVerdict = "" })
	eventually(t, "acceptance of the next job", func() bool { return e.Submit(context.Background(), submission("k")).Code == Accepted })
	eventually(t, "the start of the next job", func() bool { return len(e.dispatcher.startedJobs()) > 0 })
	if started := e.dispatcher.startedJobs(); len(started) != 1 || started[0].Job.ID != "k" {
		t.Errorf("started %+v, expected only job k", started)
	}
}

// Guards against recording a job twice, or not running it, when its append took
// effect but the answer was lost and the append is repeated.
func TestUnansweredAppendRecordsJobOnce(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	e := startEntry(t, log, c, "a")
	log.update(func() { log.forcedVerdict, log.appendAnyway = Unknown, true })
	answer := make(chan Outcome, 1)
	go func() { answer <- e.Submit(context.Background(), submission("j")) }()
	eventually(t, "the append of the accept record", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) > 0
	})
	log.update(func() { log.forcedVerdict, log.appendAnyway = "", false })
	if o := <-answer; o.Code != Accepted {
		t.Fatalf("submit with a lost append answer: %+v", o)
	}
	eventually(t, "the start of the job", func() bool { return len(e.dispatcher.startedJobs()) == 1 })
	accepts := 0
	for _, r := range log.records {
		if r.Key[0] == 'j' {
			accepts++
		}
	}
	if accepts != 1 {
		t.Errorf("%d records accept the job, expected 1", accepts)
	}
}

// Guards against two entries running the same job because its caller sent it to
// both before either had read the other's accept record.
func TestJobSentToTwoEntriesRunsAtOnlyOne(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a, b := startEntry(t, log, c, "a"), startEntry(t, log, c, "b")
	log.update(func() { log.readsBlocked = true })
	answers := make(chan Outcome, 2)
	for _, e := range []*testEntry{a, b} {
		go func() { answers <- e.Submit(context.Background(), submission("j")) }()
	}
	eventually(t, "the append of both accept records", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) >= 2
	})
	log.update(func() { log.readsBlocked = false })
	for range 2 {
		if o := <-answers; o.Code != Accepted {
			t.Errorf("submit to two entries: %+v", o)
		}
	}
	eventually(t, "the tombstone of the losing claim", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) >= 3
	})
	if n := len(a.dispatcher.startedJobs()) + len(b.dispatcher.startedJobs()); n != 1 {
		t.Errorf("%d entries run the job, expected 1", n)
	}
}

// Guards against starting a job again when an older record of it is read after its
// end was appended but before that end is read.
func TestJobWithUnreadEndIsNotStartedAgain(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	e := startEntry(t, log, c, "a")
	if o := e.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	eventually(t, "the start of the job", func() bool { return len(e.dispatcher.startedJobs()) == 1 })
	log.update(func() { log.readsBlocked = true })
	e.NoteProgress("j")
	eventually(t, "the append of the progress", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) == 2
	})
	e.dispatcher.finished["j"](dispatch.Result{Code: dispatch.Completed})
	eventually(t, "the append of the end", func() bool { return e.OwnedJobs() == 0 })
	e.applyPage(Page{Next: 2, Records: []ReadRecord{{1, log.records[1]}}})
	if n := len(e.dispatcher.startedJobs()); n != 1 {
		t.Errorf("the job was started %d times, expected 1", n)
	}
	log.update(func() { log.readsBlocked = false })
	eventually(t, "the completed state", func() bool {
		state, _, code := e.State(context.Background(), "j")
		return code == Accepted && state == ledger.Completed
	})
}

// Guards against losing the jobs of an entry that has failed, against starting tasks
// while runs of the former owner may still exist, against suspending the new owner
// because its claims did not count as appends, and against a former owner that can
// still append.
func TestJobsOfADeadOwnerAreTakenOver(t *testing.T) {
	log, ca, cb := newMemoryLog(), &clock{}, &clock{}
	a := startEntry(t, log, ca, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	done := []dispatch.TaskProgress{{Index: 1, Done: true}}
	a.dispatcher.mu.Lock()
	a.dispatcher.progress["j"] = done
	a.dispatcher.mu.Unlock()
	a.NoteProgress("j")
	eventually(t, "the append of the progress", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) >= 2
	})
	a.stop()
	b := startEntry(t, log, cb, "b")
	cb.advance(2*takeoverAfter + nonFirstTakeoverDelay)
	takenOverAt := cb.now()
	eventually(t, "the takeover", func() bool { return len(b.dispatcher.startedJobs()) == 1 })
	// The reader may start the job before the takeover has recorded its append. Only
	// the goroutine that takes over jobs suspends them, so it can't see that state.
	eventually(t, "the end of the takeover", func() bool { return b.counters.takenOver.Load() == 1 })
	b.suspendIfOwnershipExpired()
	got := b.dispatcher.startedJobs()[0]
	if got.Term != 2 || len(got.Progress) != 1 || got.Progress[0] != done[0] {
		t.Errorf("taken over as %+v, expected term 2 with progress %+v", got, done)
	}
	if got.NotBefore.Before(takenOverAt.Add(wire.RunsLostAfter)) {
		t.Errorf("tasks start %v after the takeover, but runs of the former owner end only after %v", got.NotBefore.Sub(takenOverAt), wire.RunsLostAfter)
	}
	b.dispatcher.mu.Lock()
	if b.dispatcher.everSuspended {
		t.Error("the new owner was suspended after it had claimed the jobs")
	}
	b.dispatcher.mu.Unlock()
	if answer := log.Append(context.Background(), AppendRequest{Writer: "a", Epoch: firstEpoch, Sequence: 100, Records: []ledger.Record{{Key: "x"}}}); answer.Verdict != Fenced {
		t.Errorf("append of the former owner: verdict %s, expected %s", answer.Verdict, Fenced)
	}
}

// Guards against a fenced owner that continues to run jobs which other entries have
// claimed, or that accepts no more jobs.
func TestDeposedOwnerForgetsItsJobs(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	eventually(t, "the start of the job", func() bool { return len(a.dispatcher.startedJobs()) == 1 })
	log.Append(context.Background(), AppendRequest{Writer: "a", Epoch: fenceEpoch})
	a.NoteProgress("j")
	eventually(t, "the stop of the job", func() bool {
		a.dispatcher.mu.Lock()
		defer a.dispatcher.mu.Unlock()
		return a.dispatcher.forgotten["j"]
	})
	if o := a.Submit(context.Background(), submission("k")); o.Code != Accepted {
		t.Errorf("submit after the owner was fenced: %+v", o)
	}
}

// Guards against an owner that starts runs although its appends have failed for so
// long that other entries may presume it dead, and against one that stays suspended
// when the log is back.
func TestOwnerThatCannotWriteSuspendsItsJobs(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	suspended := func() bool {
		a.dispatcher.mu.Lock()
		defer a.dispatcher.mu.Unlock()
		return a.dispatcher.suspended
	}
	log.update(func() { log.forcedVerdict = Unknown })
	c.advance(ownerTTL)
	eventually(t, "the suspension", suspended)
	log.update(func() { log.forcedVerdict = "" })
	eventually(t, "the end of the suspension", func() bool { return !suspended() })
}

// Guards against queueing jobs while the log does not answer: they would all start
// at once when it is back, long after their callers have tried other entries.
func TestJobsAreRefusedWhileTheLogDoesNotAnswer(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	e := startEntry(t, log, c, "a")
	log.update(func() { log.forcedVerdict = Unknown })
	first := make(chan Outcome, 1)
	go func() { first <- e.Submit(context.Background(), submission("first")) }()
	eventually(t, "the append of the first job", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.maybeAccepted["first"]
	})
	if o := e.Submit(context.Background(), submission("later")); o.Code != NotAccepted {
		t.Errorf("submit while an append is unanswered: %+v", o)
	}
	// Although the log refuses repeats, the unanswered append may still take effect.
	log.update(func() { log.forcedVerdict = Refused })
	if o := <-first; o.Code != Undecided {
		t.Errorf("submit with an unanswered append: %+v", o)
	}
	log.update(func() { log.forcedVerdict = "" })
	eventually(t, "the start of the first job", func() bool { return len(e.dispatcher.startedJobs()) > 0 })
	eventually(t, "acceptance of the last job", func() bool { return e.Submit(context.Background(), submission("last")).Code == Accepted })
	for _, d := range e.dispatcher.startedJobs() {
		if d.Job.ID == "later" {
			t.Error("a refused job was started")
		}
	}
}

// Guards against the answer NotAccepted for a job whose record is in the log: its
// append took effect without an answer, and the repeat is refused as fenced because
// the owner was deposed in between.
func TestUnansweredJobOfADeposedOwnerIsUndecided(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	e := startEntry(t, log, c, "a")
	log.update(func() { log.forcedVerdict, log.appendAnyway, log.readsBlocked = Unknown, true, true })
	answer := make(chan Outcome, 1)
	go func() { answer <- e.Submit(context.Background(), submission("j")) }()
	eventually(t, "the append of the accept record", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) > 0
	})
	log.update(func() { log.forcedVerdict = Fenced })
	if o := <-answer; o.Code != Undecided {
		t.Errorf("submit at a deposed owner: %+v", o)
	}
}

// Guards against an entry that reports a job as not open before it has read the log.
// An agent could then acknowledge the end of a task before it is recorded, and
// another entry would run the task again.
func TestIsOpenIsUnknownBeforeTheLogIsRead(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	b := New(Options{Owner: "b", IsFirstByName: func() bool { return false }, Now: c.now, UnixTime: c.now}, log, newFakeDispatcher(), discardSink{})
	if _, known := b.IsOpen("j"); known {
		t.Error("IsOpen is known before the log was read")
	}
	b.applyPage(Page{Snapshot: true, UpToDate: true, Next: 1, Records: []ReadRecord{{0, log.records[0]}}})
	if open, known := b.IsOpen("j"); !open || !known {
		t.Errorf("IsOpen after the log was read: open %v, known %v", open, known)
	}
}

// Guards against starting a cancelled job when another entry takes it over from an
// owner that failed before it read the cancel record.
func TestCancelledJobIsNotStartedAfterTakeover(t *testing.T) {
	log, ca, cb, ctx := newMemoryLog(), &clock{}, &clock{}, context.Background()
	a := startEntry(t, log, ca, "a")
	if o := a.Submit(ctx, submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	a.stop()
	b := startEntry(t, log, cb, "b")
	if o := b.Cancel(ctx, "j"); o.Code != Accepted {
		t.Fatalf("cancel: %+v", o)
	}
	cb.advance(2*takeoverAfter + nonFirstTakeoverDelay)
	eventually(t, "the cancelled state", func() bool {
		state, _, _ := b.State(ctx, "j")
		return state == ledger.Cancelled
	})
	if started := b.dispatcher.startedJobs(); len(started) > 0 {
		t.Errorf("started %+v, expected no job", started)
	}
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

// Guards against a log in which entries that start have to read the specifications of
// all jobs that have ended, and against a job that is unknown or runs again at such an
// entry.
func TestEndedJobsLeaveOneSmallRecord(t *testing.T) {
	const maxRecordBytes = 64
	log, c := newMemoryLog(), &clock{}
	e := startEntry(t, log, c, "a")
	job := submission("j")
	job.Job.Spec = strings.Repeat("x", 4000)
	if o := e.Submit(context.Background(), job); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	eventually(t, "the start of the job", func() bool { return len(e.dispatcher.startedJobs()) == 1 })
	e.dispatcher.finished["j"](dispatch.Result{Code: dispatch.Completed})
	eventually(t, "the completed state", func() bool {
		state, _, _ := e.State(context.Background(), "j")
		return state == ledger.Completed
	})
	records := log.newestRecords()
	if len(records) != 1 {
		t.Errorf("%d records in a snapshot, expected the end alone", len(records))
	}
	for key, value := range records {
		if len(value) > maxRecordBytes {
			t.Errorf("record %s has %d bytes, expected at most %d", key, len(value), maxRecordBytes)
		}
	}
	later := startEntry(t, log, c, "b")
	if o := later.Submit(context.Background(), job); o.Code != Accepted {
		t.Errorf("sent again to an entry that started later: %+v", o)
	}
	if state, _, _ := later.State(context.Background(), "j"); state != ledger.Completed {
		t.Errorf("state %s at an entry that started later, expected %s", state, ledger.Completed)
	}
	if n := len(later.dispatcher.startedJobs()); n != 0 {
		t.Errorf("the ended job was started %d times by an entry that started later", n)
	}
}

// Guards against an entry that answers calls by a snapshot that it read while others
// appended records, which are not all in it.
func TestSnapshotAloneIsNotUpToDate(t *testing.T) {
	e := New(Options{Owner: "a", Now: time.Now, UnixTime: time.Now}, newMemoryLog(), newFakeDispatcher(), discardSink{})
	e.noteReadResult(nil)
	e.applyPage(Page{Snapshot: true, Next: 7})
	if _, _, code := e.State(context.Background(), "j"); code != Undecided {
		t.Errorf("state of an unknown job after the snapshot: %s, expected %s", code, Undecided)
	}
	e.applyPage(Page{UpToDate: true, Next: 9})
	if _, _, code := e.State(context.Background(), "j"); code != UnknownJob {
		t.Errorf("state of an unknown job at the end of the log: %s, expected %s", code, UnknownJob)
	}
}

// Guards against an entry that tells callers that their jobs don't exist because it has
// fallen behind in reading the log.
func TestLaggingReaderKnowsNoJobToBeUnknown(t *testing.T) {
	c := &clock{}
	e := New(Options{Owner: "a", Now: c.now, UnixTime: c.now}, newMemoryLog(), newFakeDispatcher(), discardSink{})
	e.noteReadResult(nil)
	e.applyPage(Page{Snapshot: true, Next: 7})
	e.applyPage(Page{UpToDate: true, Next: 9})
	e.applyPage(Page{Next: 12})
	c.advance(2 * maxReadLag)
	e.applyPage(Page{Next: 15})
	if _, _, code := e.State(context.Background(), "j"); code != Undecided {
		t.Errorf("state of a job that was not read: %s, expected %s", code, Undecided)
	}
	if o := e.Cancel(context.Background(), "j"); o.Code != Undecided {
		t.Errorf("cancellation of a job that was not read: %+v, expected %s", o, Undecided)
	}
	e.applyPage(Page{UpToDate: true, Next: 18})
	if _, _, code := e.State(context.Background(), "j"); code != UnknownJob {
		t.Errorf("state of an unknown job at the end of the log: %s, expected %s", code, UnknownJob)
	}
}
