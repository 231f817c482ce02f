package keeper

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
)

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
	if state := b.JobState("j"); state != dispatch.DurableUncertain {
		t.Errorf("state %s before the log was read, expected %s", state, dispatch.DurableUncertain)
	}
	b.noteReadResult(nil)
	b.applyPage(Page{Snapshot: true, UpToDate: true, Next: 1, Records: []ReadRecord{{0, log.records[0]}}})
	if state := b.JobState("j"); state != dispatch.DurableOpen {
		t.Errorf("state %s after the log was read, expected %s", state, dispatch.DurableOpen)
	}
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
	for range 4 {
		c.advance(maxReadLag / 2)
		e.notePause()
	}
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

// Guards against an end that is acknowledged to its target although its task may run
// again: an entry that can't read the log, or has fallen behind in it, does not know
// that another one has accepted the job meanwhile.
func TestIsOpenIsUnknownWhileTheLogIsNotReadToItsEnd(t *testing.T) {
	e := New(Options{Owner: "a", Now: time.Now, UnixTime: time.Now}, newMemoryLog(), newFakeDispatcher(), discardSink{})
	e.noteReadResult(nil)
	e.applyPage(Page{Snapshot: true, UpToDate: true, Next: 1})
	steps := []struct {
		name  string
		do    func()
		state dispatch.DurableJobState
	}{
		{"read to its end", func() {}, dispatch.DurableUnknown},
		{"a failed read", func() { e.noteReadResult(errors.New("no answer")) }, dispatch.DurableUncertain},
		{"a read that did not reach the end", func() { e.noteReadResult(nil); e.applyPage(Page{Next: 5}) }, dispatch.DurableUncertain},
		{"a read that reached the end", func() { e.applyPage(Page{UpToDate: true, Next: 9}) }, dispatch.DurableUnknown},
	}
	for _, step := range steps {
		step.do()
		if state := e.JobState("j"); state != step.state {
			t.Errorf("%s: state %s, expected %s", step.name, state, step.state)
		}
	}
}

// Guards against an entry that was paused, or has fallen behind in reading, and then
// takes live owners for dead because it has read no record of them for so long. Their
// runs would be stopped.
func TestPausedOrLaggingEntryTakesOverNothing(t *testing.T) {
	cases := map[string]func(e *testEntry, c *clock){
		"paused": func(_ *testEntry, c *clock) { c.advance(2 * takeoverAfter) },
		"lagging": func(e *testEntry, c *clock) {
			for range 4 * takeoverAfter / minPause {
				c.advance(minPause / 2)
				e.notePause()
				e.applyPage(Page{Next: e.nextOffset})
			}
		},
	}
	for name, fallBehind := range cases {
		t.Run(name, func(t *testing.T) {
			log, ca, cb := newMemoryLog(), &clock{}, &clock{}
			a := startEntry(t, log, ca, "a")
			if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
				t.Fatalf("submit: %+v", o)
			}
			b := startEntry(t, log, cb, "b")
			log.update(func() { log.readsBlocked = true })
			fallBehind(b, cb)
			b.takeOverFromDeadOwners(context.Background())
			b.notePause()
			b.takeOverFromDeadOwners(context.Background())
			if log.isFenced("a") {
				t.Error("the live owner is fenced")
			}
		})
	}
}

// Guards against a job that counts as open forever because it ended and was deleted from
// the log while this entry did not read it.
func TestSnapshotEndsDeletedJobs(t *testing.T) {
	log := newMemoryLog()
	a := startEntry(t, log, &clock{}, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	b := startEntry(t, log, &clock{}, "b")
	if state := b.JobState("j"); state != dispatch.DurableOpen {
		t.Fatalf("state %s, expected %s", state, dispatch.DurableOpen)
	}
	b.applyPage(Page{Snapshot: true, UpToDate: true, Next: 100})
	if state := b.JobState("j"); state != dispatch.DurableUnknown {
		t.Errorf("state %s after a snapshot without the job, expected %s", state, dispatch.DurableUnknown)
	}
}

// Guards against a caller who is told that its job does not exist by an entry that has
// lost the connection to the log without knowing it, and whose cancellation is lost.
func TestEntryThatLostTheLogUnnoticedKnowsNoJobToBeUnknown(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a := startEntry(t, log, c, "a")
	b := startEntry(t, &silencedLog{memoryLog: log}, c, "b")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	if o := b.Cancel(context.Background(), "j"); o.Code != Undecided {
		t.Errorf("cancellation: %+v, expected %s", o, Undecided)
	}
	if _, _, code := b.State(context.Background(), "j"); code != Undecided {
		t.Errorf("state: %s, expected %s", code, Undecided)
	}
}

// Guards against a job that is unknown because its record is on its way to this entry.
func TestJobOfAnUnreadRecordIsNotUnknown(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a := startEntry(t, log, c, "a")
	b := startEntry(t, log, c, "b")
	log.update(func() { log.readsBlocked = true })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Submit(ctx, submission("j"))
	eventually(t, "the append", func() bool { return len(log.newestRecords()) > 0 })
	time.AfterFunc(50*time.Millisecond, func() { log.update(func() { log.readsBlocked = false }) })
	if _, _, code := b.State(context.Background(), "j"); code != Accepted {
		t.Errorf("state: %s, expected %s", code, Accepted)
	}
}

// Guards against a cancellation that is answered as one of an unknown job because the
// entry, which lacked records, reads a page between its two looks at the log.
func TestEntryThatLackedRecordsHasNotReadTheLogForACall(t *testing.T) {
	e := New(Options{Owner: "a", Now: time.Now, UnixTime: time.Now}, newMemoryLog(), newFakeDispatcher(), discardSink{})
	if e.readIfUnknown(context.Background(), "j") {
		t.Error("an entry that has not read the log counts as one that has read it to its end")
	}
}
