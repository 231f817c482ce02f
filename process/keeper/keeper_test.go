package keeper

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
)

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

// Guards against a job that runs although its caller, which has left a frozen entry, was told
// elsewhere that there is no such job (review/10, UNASKED).
func TestJobOfACallerThatHasLeftIsNotAccepted(t *testing.T) {
	e := startEntry(t, newMemoryLog(), &clock{}, "a")
	for _, waits := range []bool{false, true} {
		s := submission("j")
		s.CallerWaits = func() bool { return waits }
		want := NotAccepted
		if waits {
			want = Accepted
		}
		if o := e.Submit(context.Background(), s); o.Code != want {
			t.Errorf("caller waits %t: %+v, want %s", waits, o, want)
		}
	}
	if started := e.dispatcher.startedJobs(); len(started) > 1 {
		t.Errorf("started %d jobs, want at most the one of the caller that waits", len(started))
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
	var takenOverAt time.Time
	eventually(t, "the takeover", func() bool {
		if now := cb.now(); !log.isFenced("a") {
			takenOverAt = now
			b.advance(cb)
		}
		return len(b.dispatcher.startedJobs()) == 1
	})
	eventually(t, "the ownership", func() bool { return b.dispatcher.owns(cb.now()) })
	got := b.dispatcher.startedJobs()[0]
	if got.Term != 2 || len(got.Progress) != 1 || !reflect.DeepEqual(got.Progress[0], done[0]) {
		t.Errorf("taken over as %+v, expected term 2 with progress %+v", got, done)
	}
	if got.NotBefore.Before(takenOverAt.Add(wire.OwnerRunsLostAfter)) {
		t.Errorf("tasks start %v after the takeover, but runs of the former owner end only after %v", got.NotBefore.Sub(takenOverAt), wire.OwnerRunsLostAfter)
	}
	for now := cb.now(); now.Before(got.NotBefore); now = cb.now() {
		b.advance(cb)
		eventually(t, "the ownership", func() bool { return b.dispatcher.owns(cb.now()) })
	}
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
	eventually(t, "the cancelled state", func() bool {
		b.advance(cb)
		state, _, _ := b.State(ctx, "j")
		return state == ledger.Cancelled
	})
	if started := b.dispatcher.startedJobs(); len(started) > 0 {
		t.Errorf("started %+v, expected no job", started)
	}
}
