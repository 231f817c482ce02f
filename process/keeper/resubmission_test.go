package keeper

import (
	"context"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
)

// startRefusingEntry runs an entry that is too busy for new jobs.
func startRefusingEntry(t *testing.T, log Log) *testEntry {
	e := startEntry(t, log, &clock{}, "b")
	e.dispatcher.mu.Lock()
	defer e.dispatcher.mu.Unlock()
	e.dispatcher.refusal = &dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.ReasonOverloaded}
	return e
}

// Guards against a caller who is told that its job never runs, although another entry has
// accepted it and only the answer was lost: a refusal is final.
func TestResubmissionOfAnAcceptedJobIsNotRefused(t *testing.T) {
	log := newMemoryLog()
	busy := startRefusingEntry(t, log)
	log.update(func() { log.readsBlocked = true })
	a := startEntry(t, &silencedReads{log}, &clock{}, "a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	again := submission("j")
	go a.Submit(ctx, again)
	eventually(t, "the append of the job", func() bool { return len(log.newestRecords()) > 0 })
	again.PriorWait = time.Second
	time.AfterFunc(50*time.Millisecond, func() { log.update(func() { log.readsBlocked = false }) })
	if o := busy.Submit(context.Background(), again); o.Code != Accepted {
		t.Errorf("outcome %+v of a job that is in the log, want %s", o, Accepted)
	}
}

// silencedReads is a memoryLog of which one entry reads the end at its start and nothing
// later.
type silencedReads struct{ *memoryLog }

func (l *silencedReads) Follow(ctx context.Context, reader Reader) {
	reader.Apply(Page{Snapshot: true, UpToDate: true})
	reader.NoteResult(nil)
	<-ctx.Done()
}

// Guards against a refusal while the record of the job may be on its way: an entry whose
// answer was lost still holds it. A first submission is refused at once.
func TestResubmissionThatIsNotAcceptedStaysUndecided(t *testing.T) {
	busy := startRefusingEntry(t, newMemoryLog())
	first := submission("j")
	if o := busy.Submit(context.Background(), first); o.Code != NotAccepted {
		t.Errorf("outcome %+v of a first submission, want %s", o, NotAccepted)
	}
	first.PriorWait = time.Second
	if o := busy.Submit(context.Background(), first); o.Code != Undecided {
		t.Errorf("outcome %+v of a resubmission, want %s", o, Undecided)
	}
}
