package keeper

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// rejectingLog returns a log that takes no append with a record of the job while rejects
// is set.
func rejectingLog(id batch.ID, rejects *atomic.Bool) *interceptedLog {
	log := &interceptedLog{memoryLog: newMemoryLog()}
	log.intercept = func(a AppendRequest) Verdict {
		for _, r := range a.Records {
			if rejects.Load() && strings.Contains(r.Key, "/"+string(id)+"/") {
				return Rejected
			}
		}
		return ""
	}
	return log
}

// Guards against an entry that repeats an append for ever which the log rejects because of
// one record: nothing else is recorded, and its owner seems dead.
func TestRejectedRecordDoesNotHoldUpTheOthers(t *testing.T) {
	c := &clock{}
	rejects := &atomic.Bool{}
	rejects.Store(true)
	e := startEntry(t, rejectingLog("bad", rejects), c, "a")
	outcomes := make(map[batch.ID]chan Outcome)
	e.mu.Lock()
	for _, id := range []batch.ID{"good-1", "bad", "good-2"} {
		r, err := ledger.AcceptRecord(1, e.self, ledger.AcceptedJob{Job: submission(id).Job, Progress: ledger.Progress{State: ledger.Open}})
		if err != nil {
			t.Fatal(err)
		}
		outcomes[id] = make(chan Outcome, 1)
		e.queue = append(e.queue, queuedRecord{record: r, acceptsJob: id})
		e.waiters[id] = append(e.waiters[id], outcomes[id])
	}
	e.mu.Unlock()
	e.wakeWriter()
	want := map[batch.ID]Code{"good-1": Accepted, "bad": NotAccepted, "good-2": Accepted}
	for id, code := range want {
		var o Outcome
		eventually(t, "an answer about "+string(id), func() bool {
			select {
			case o = <-outcomes[id]:
				return true
			default:
				return false
			}
		})
		if o.Code != code {
			t.Errorf("job %s: %+v, want %s", id, o, code)
		}
	}
	c.advance(ownerTTL)
	eventually(t, "the next ownership", func() bool { return e.dispatcher.owns(c.now()) })
}

// Guards against progress that the log rejects and that is repeated for ever.
func TestRejectedProgressDoesNotHoldUpOtherJobs(t *testing.T) {
	rejects := &atomic.Bool{}
	e := startEntry(t, rejectingLog("bad", rejects), &clock{}, "a")
	for _, id := range []batch.ID{"bad", "good"} {
		if o := e.Submit(context.Background(), submission(id)); o.Code != Accepted {
			t.Fatalf("submit: %+v", o)
		}
	}
	eventually(t, "both jobs", func() bool { return len(e.dispatcher.startedJobs()) == 2 })
	rejects.Store(true)
	e.dispatcher.finished["bad"](dispatch.Result{Code: dispatch.Completed})
	e.dispatcher.finished["good"](dispatch.Result{Code: dispatch.Completed})
	eventually(t, "the end of the other job", func() bool {
		state, _, _ := e.State(context.Background(), "good")
		return state == ledger.Completed
	})
}

// Guards against an append that is larger than the log takes because the progress of many
// large jobs is due at once.
func TestProgressOfManyJobsIsAppendedInParts(t *testing.T) {
	const jobs = 100
	d := newFakeDispatcher()
	e := New(Options{Owner: "a", Now: time.Now, UnixTime: time.Now}, newMemoryLog(), d, discardSink{})
	for n := range jobs {
		id := batch.ID(fmt.Sprintf("j%d", n))
		for index := range batch.MaxTasks {
			d.progress[id] = append(d.progress[id], dispatch.TaskProgress{Step: 1, Index: index, Done: true})
		}
		e.ownedJobs[id] = 1
		e.NoteProgress(id)
	}
	recorded := make(map[batch.ID]bool)
	for range jobs {
		b := e.nextBatch()
		size := 0
		for _, r := range b.records {
			size += len(r.Key) + len(r.Value)
		}
		if size > 2*maxBatchBytes {
			t.Fatalf("an append of %d bytes, want at most %d", size, 2*maxBatchBytes)
		}
		for _, p := range b.progress {
			recorded[p.id] = true
		}
	}
	if len(recorded) != jobs {
		t.Errorf("progress of %d jobs appended, want %d", len(recorded), jobs)
	}
}

// Guards against a caller who is told that its job was not accepted, because the log rejects
// the repeat of an append that was not answered and had taken effect.
func TestRejectedRepeatOfAnUnansweredAppendIsUndecided(t *testing.T) {
	log := &interceptedLog{memoryLog: newMemoryLog()}
	var attempts atomic.Int32
	log.intercept = func(AppendRequest) Verdict {
		if attempts.Add(1) == 1 {
			return Unknown
		}
		return Rejected
	}
	e := startEntry(t, log, &clock{}, "a")
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if o := e.Submit(ctx, submission("j")); o.Code != Undecided || attempts.Load() < 2 {
		t.Errorf("%+v after %d attempts, want %s", o, attempts.Load(), Undecided)
	}
}
