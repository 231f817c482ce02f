package keeper

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against an owner that starts runs although its appends have failed for so
// long that other entries may presume it dead, and against one that stays suspended
// when the log is back.
func TestOwnerThatCannotWriteSuspendsItsJobs(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	log.update(func() { log.forcedVerdict = Unknown })
	c.advance(ownerTTL)
	if a.dispatcher.owns(c.now()) {
		t.Error("the owner may start tasks after its ownership has ended")
	}
	log.update(func() { log.forcedVerdict = "" })
	eventually(t, "the next ownership", func() bool { return a.dispatcher.owns(c.now()) })
}

// Guards against an owner that runs its jobs because of the answer to a repeat: the log
// answers it because of the first attempt, and may have fenced the owner since (rule TWICE).
func TestRepeatOfAnAppendDoesNotExtendTheOwnership(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	log.update(func() { log.forcedVerdict, log.appendAnyway = Unknown, true })
	a.NoteProgress("j")
	eventually(t, "the append of the progress", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return len(log.records) == 2
	})
	before := a.dispatcher.ownershipEnd()
	c.advance(ownerTTL)
	log.update(func() { log.forcedVerdict, log.appendAnyway = "", false })
	eventually(t, "the answer", func() bool { return a.dispatcher.ownershipEnd().After(before) })
	if a.dispatcher.owns(c.now()) {
		t.Error("the owner may start tasks because of a repeat")
	}
}

// lateLog is a memoryLog whose answers to appends come late: the clock advances before
// each of them.
type lateLog struct {
	*memoryLog
	clock *clock
	late  atomic.Int64
}

func (l *lateLog) Append(ctx context.Context, a AppendRequest) AppendResult {
	answer := l.memoryLog.Append(ctx, a)
	l.clock.advance(time.Duration(l.late.Load()))
	return answer
}

// Guards against an owner that runs its jobs because of an append which was answered only
// after its ownership had ended (rule TWICE, deadly-kept).
func TestLateAnswerOfAnAppendDoesNotExtendTheOwnership(t *testing.T) {
	c := &clock{}
	log := &lateLog{memoryLog: newMemoryLog(), clock: c}
	a := startEntry(t, log, c, "a")
	if o := a.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	c.advance(ownerTTL)
	if a.dispatcher.owns(c.now()) {
		t.Fatal("the ownership has not ended")
	}
	log.late.Store(int64(ownerTTL))
	a.NoteProgress("j")
	eventually(t, "the append of the progress", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.lastAppend.After(c.now().Add(-2 * ownerTTL))
	})
	if a.dispatcher.owns(c.now()) {
		t.Error("the owner may start tasks because of an old append")
	}
}
