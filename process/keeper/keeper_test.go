package keeper

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// patience bounds each wait for something that happens in the end.
const patience = 20 * time.Second

// sharedLog is a log in memory that keeps the rules of its writers.
type sharedLog struct {
	mu      sync.Mutex
	records []ledger.Record
	writers map[string]*writerState
	// verdict, if set, decides instead; carriedOut says that the append is done
	// all the same.
	verdict    Verdict
	carriedOut bool
	// hidden keeps readers from seeing the newest records.
	hidden bool
	wake   chan struct{}
}

type writerState struct {
	epoch, next uint64
}

func newSharedLog() *sharedLog {
	return &sharedLog{writers: make(map[string]*writerState), wake: make(chan struct{})}
}

func (l *sharedLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.wake)
	l.wake = make(chan struct{})
}

func (l *sharedLog) Append(_ context.Context, a Append) Appended {
	var answer Appended
	l.set(func() {
		if l.verdict == "" || l.carriedOut {
			answer.Verdict = l.append(a)
		}
		if l.verdict != "" {
			answer.Verdict = l.verdict
		}
	})
	return answer
}

func (l *sharedLog) append(a Append) Verdict {
	if a.At != nil && *a.At != uint64(len(l.records)) {
		return Moved
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

func (l *sharedLog) Follow(ctx context.Context, apply func(Page), state func(error)) {
	read, whole := 0, true
	for ctx.Err() == nil {
		l.mu.Lock()
		page := Page{Whole: whole, Next: uint64(len(l.records))}
		for offset := read; offset < len(l.records); offset++ {
			page.Records = append(page.Records, Read{uint64(offset), l.records[offset]})
		}
		hidden, wake := l.hidden, l.wake
		l.mu.Unlock()
		if !hidden && (whole || len(page.Records) > 0) {
			read, whole = int(page.Next), false
			apply(page)
			state(nil)
		}
		select {
		case <-ctx.Done():
		case <-wake:
		}
	}
}

// runs is a dispatcher that runs nothing.
type runs struct {
	mu        sync.Mutex
	started   []dispatch.Durable
	finished  map[batch.ID]func(dispatch.Result)
	progress  map[batch.ID][]dispatch.TaskProgress
	forgotten map[batch.ID]bool
	suspended bool
	// suspendedOnce stays set.
	suspendedOnce bool
}

func newRuns() *runs {
	return &runs{finished: make(map[batch.ID]func(dispatch.Result)), progress: make(map[batch.ID][]dispatch.TaskProgress), forgotten: make(map[batch.ID]bool)}
}

func (r *runs) AdmitDurable(batch.Submission) (dispatch.Result, bool) {
	return dispatch.Result{}, true
}
func (r *runs) RunDurable(d dispatch.Durable, finished func(dispatch.Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = append(r.started, d)
	r.finished[d.Job.ID] = finished
}
func (r *runs) DurableProgress(id batch.ID) ([]dispatch.TaskProgress, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[id], 0
}
func (r *runs) DurableStored(batch.ID, int) {}
func (r *runs) StopDurable(batch.ID)        {}
func (r *runs) ForgetDurable(id batch.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgotten[id] = true
}
func (r *runs) SuspendDurable(suspended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspended = suspended
	r.suspendedOnce = r.suspendedOnce || suspended
}
func (r *runs) HasBegun(batch.ID) bool { return false }

func (r *runs) startedJobs() []dispatch.Durable {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]dispatch.Durable(nil), r.started...)
}

// clock is moved by hand beside the time that passes.
type clock struct {
	mu    sync.Mutex
	ahead time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.ahead)
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead += d
}

type noSink struct{}

func (noSink) Decided(decision.Decision) {}

// entry is a keeper with its runs.
type entry struct {
	*Keeper
	runs *runs
	stop func()
}

func startEntry(t *testing.T, log Log, c *clock, name string) *entry {
	e := &entry{runs: newRuns()}
	e.Keeper = New(Options{Node: "node-" + name, Self: ledger.Owner(name), IsFirst: func() bool { return true }, Now: c.now, UnixTime: c.now}, log, e.runs, noSink{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = e.Run(ctx)
	}()
	e.stop = func() { cancel(); <-ended }
	t.Cleanup(e.stop)
	eventually(t, "the first read", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.caughtUp
	})
	return e
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s does not come about", what)
}

func submission(id batch.ID) batch.Submission {
	return batch.Submission{Job: batch.Job{ID: id, Durable: true, Steps: []batch.Step{{Tasks: 2}}}, Service: "card", Queue: "q", MaxAttempts: 2}
}

// Guards against a job that runs though its caller was told that it never will.
func TestRefusedJobNeverRuns(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	e := startEntry(t, log, c, "a")
	log.set(func() { log.verdict = NotDone })
	if o := e.Submit(context.Background(), submission("j")); o.Code != NotAccepted || o.Refusal.Code != dispatch.NotRun {
		t.Fatalf("%+v", o)
	}
	log.set(func() { log.verdict = "" })
	eventually(t, "the next job", func() bool { return e.Submit(context.Background(), submission("k")).Code == Accepted })
	eventually(t, "its start", func() bool { return len(e.runs.startedJobs()) > 0 })
	if started := e.runs.startedJobs(); len(started) != 1 || started[0].Job.ID != "k" {
		t.Errorf("started %+v", started)
	}
}

// Guards against a second record, or no run, of a job whose append was carried
// out without an answer.
func TestLostAnswerIsOneJob(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	e := startEntry(t, log, c, "a")
	log.set(func() { log.verdict, log.carriedOut = Unknown, true })
	answer := make(chan Outcome, 1)
	go func() { answer <- e.Submit(context.Background(), submission("j")) }()
	eventually(t, "the record", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) > 0
	})
	log.set(func() { log.verdict, log.carriedOut = "", false })
	if o := <-answer; o.Code != Accepted {
		t.Fatalf("%+v", o)
	}
	eventually(t, "a start", func() bool { return len(e.runs.startedJobs()) == 1 })
	accepts := 0
	for _, r := range log.records {
		if r.Key[0] == 'j' {
			accepts++
		}
	}
	if accepts != 1 {
		t.Errorf("%d records accept the job", accepts)
	}
}

// Guards against a job that two entries run because its caller sent it to both.
func TestJobSentToTwoEntriesRunsAtOne(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	a, b := startEntry(t, log, c, "a"), startEntry(t, log, c, "b")
	log.set(func() { log.hidden = true })
	answers := make(chan Outcome, 2)
	for _, e := range []*entry{a, b} {
		go func() { answers <- e.Submit(context.Background(), submission("j")) }()
	}
	eventually(t, "both records", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) >= 2
	})
	log.set(func() { log.hidden = false })
	for range 2 {
		if o := <-answers; o.Code != Accepted {
			t.Errorf("%+v", o)
		}
	}
	eventually(t, "the loser's record to be dropped", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) >= 3
	})
	if n := len(a.runs.startedJobs()) + len(b.runs.startedJobs()); n != 1 {
		t.Errorf("%d entries run the job", n)
	}
}

// Guards against a second run of a job whose end is written but not read yet.
func TestEndedJobIsNotStartedAgain(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	e := startEntry(t, log, c, "a")
	if o := e.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("%+v", o)
	}
	eventually(t, "a start", func() bool { return len(e.runs.startedJobs()) == 1 })
	log.set(func() { log.hidden = true })
	e.Progressed("j")
	eventually(t, "the progress", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) == 2
	})
	e.runs.finished["j"](dispatch.Result{Code: dispatch.Completed})
	eventually(t, "the end to be written", func() bool { return e.Open() == 0 })
	e.apply(Page{Next: 2, Records: []Read{{1, log.records[1]}}})
	if n := len(e.runs.startedJobs()); n != 1 {
		t.Errorf("the job was started %d times", n)
	}
	log.set(func() { log.hidden = false })
	eventually(t, "the state", func() bool {
		state, _, code := e.State(context.Background(), "j")
		return code == Accepted && state == ledger.Completed
	})
}

// Guards against jobs that are lost with their entry, against tasks that run
// beside those of an owner that may be alive, and against an owner that goes on
// after it was taken for gone.
func TestJobsOfASilentOwnerAreTakenOver(t *testing.T) {
	log, ca, cb := newSharedLog(), &clock{}, &clock{}
	a := startEntry(t, log, ca, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("%+v", o)
	}
	done := []dispatch.TaskProgress{{Index: 1, Done: true}}
	a.runs.mu.Lock()
	a.runs.progress["j"] = done
	a.runs.mu.Unlock()
	a.Progressed("j")
	eventually(t, "the progress", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) >= 2
	})
	a.stop()
	b := startEntry(t, log, cb, "b")
	cb.advance(2*silentAfter + secondAfter)
	taken := cb.now()
	eventually(t, "the takeover", func() bool { return len(b.runs.startedJobs()) == 1 })
	b.suspendIfSilent()
	got := b.runs.startedJobs()[0]
	if got.Term != 2 || len(got.Progress) != 1 || got.Progress[0] != done[0] {
		t.Errorf("taken as %+v", got)
	}
	if got.NotBefore.Before(taken.Add(wire.LostAfter)) {
		t.Errorf("starts %v after the takeover, runs of the owner end after %v", got.NotBefore.Sub(taken), wire.LostAfter)
	}
	b.runs.mu.Lock()
	if b.runs.suspendedOnce {
		t.Error("the new owner was suspended right after it had claimed the jobs")
	}
	b.runs.mu.Unlock()
	if answer := log.Append(context.Background(), Append{Writer: "a", Epoch: firstEpoch, Sequence: 100, Records: []ledger.Record{{Key: "x"}}}); answer.Verdict != Fenced {
		t.Errorf("the former owner's append is %s", answer.Verdict)
	}
}

// Guards against an owner that goes on with its jobs after others have them.
func TestDeposedOwnerForgetsItsJobs(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("%+v", o)
	}
	eventually(t, "a start", func() bool { return len(a.runs.startedJobs()) == 1 })
	log.Append(context.Background(), Append{Writer: "a", Epoch: fenceEpoch})
	a.Progressed("j")
	eventually(t, "the job to be forgotten", func() bool {
		a.runs.mu.Lock()
		defer a.runs.mu.Unlock()
		return a.runs.forgotten["j"]
	})
	if o := a.Submit(context.Background(), submission("k")); o.Code != Accepted {
		t.Errorf("under a new name: %+v", o)
	}
}

// Guards against an owner that orders runs while others may take it for gone.
func TestOwnerThatCannotWriteSuspendsItsJobs(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("%+v", o)
	}
	suspended := func() bool {
		a.runs.mu.Lock()
		defer a.runs.mu.Unlock()
		return a.runs.suspended
	}
	log.set(func() { log.verdict = Unknown })
	c.advance(ownerTTL)
	eventually(t, "suspension", suspended)
	log.set(func() { log.verdict = "" })
	eventually(t, "its end", func() bool { return !suspended() })
}

// Guards against jobs that wait for a log which does not answer and then all
// start at once, long after their callers have gone elsewhere.
func TestJobsAreRefusedWhileTheLogIsSilent(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	e := startEntry(t, log, c, "a")
	log.set(func() { log.verdict = Unknown })
	first := make(chan Outcome, 1)
	go func() { first <- e.Submit(context.Background(), submission("first")) }()
	eventually(t, "the job on its way", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.onTheWay["first"]
	})
	if o := e.Submit(context.Background(), submission("later")); o.Code != NotAccepted {
		t.Errorf("a job after it: %+v", o)
	}
	// A log that refuses now may still carry out what it has not answered.
	log.set(func() { log.verdict = NotDone })
	if o := <-first; o.Code != Undecided {
		t.Errorf("the job on its way: %+v", o)
	}
	log.set(func() { log.verdict = "" })
	eventually(t, "its start", func() bool { return len(e.runs.startedJobs()) > 0 })
	eventually(t, "the next job", func() bool { return e.Submit(context.Background(), submission("last")).Code == Accepted })
	for _, d := range e.runs.startedJobs() {
		if d.Job.ID == "later" {
			t.Error("a refused job was started")
		}
	}
}

// Guards against "not accepted" for a job whose record is in the log: its append
// got no answer, and the repeat comes after the owner was deposed.
func TestJobOfADeposedOwnerIsNotRefused(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	e := startEntry(t, log, c, "a")
	log.set(func() { log.verdict, log.carriedOut, log.hidden = Unknown, true, true })
	answer := make(chan Outcome, 1)
	go func() { answer <- e.Submit(context.Background(), submission("j")) }()
	eventually(t, "the record", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) > 0
	})
	log.set(func() { log.verdict = Fenced })
	if o := <-answer; o.Code != Undecided {
		t.Errorf("%+v", o)
	}
}

// Guards against an entry that lets an agent acknowledge the end of a job of
// which it has not read yet: another entry would run the task again.
func TestNothingIsSaidOfJobsBeforeTheLogIsRead(t *testing.T) {
	log, c := newSharedLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("%+v", o)
	}
	b := New(Options{Self: "b", IsFirst: func() bool { return false }, Now: c.now, UnixTime: c.now}, log, newRuns(), noSink{})
	if _, known := b.IsOpen("j"); known {
		t.Error("an entry that has read nothing says whether the job is open")
	}
	b.apply(Page{Whole: true, Next: 1, Records: []Read{{0, log.records[0]}}})
	if open, known := b.IsOpen("j"); !open || !known {
		t.Errorf("after reading: open %v, known %v", open, known)
	}
}

// Guards against a task of a cancelled job that starts when another entry takes
// the job over from an owner that could not read the cancelling.
func TestCancelledJobIsNotStartedByItsNextOwner(t *testing.T) {
	log, ca, cb, ctx := newSharedLog(), &clock{}, &clock{}, context.Background()
	a := startEntry(t, log, ca, "a")
	if o := a.Submit(ctx, submission("j")); o.Code != Accepted {
		t.Fatalf("%+v", o)
	}
	a.stop()
	b := startEntry(t, log, cb, "b")
	if o := b.Cancel(ctx, "j"); o.Code != Accepted {
		t.Fatalf("%+v", o)
	}
	cb.advance(2*silentAfter + secondAfter)
	eventually(t, "the end", func() bool {
		state, _, _ := b.State(ctx, "j")
		return state == ledger.Cancelled
	})
	if started := b.runs.startedJobs(); len(started) > 0 {
		t.Errorf("started %+v", started)
	}
}
