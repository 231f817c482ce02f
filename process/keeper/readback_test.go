package keeper

import (
	"context"
	"testing"
	"time"
)

// startOwner returns a running entry that owns the job j and may start its tasks.
func startOwner(t *testing.T, log *memoryLog, c *clock) *testEntry {
	owner := startEntry(t, log, c, "a")
	if o := owner.Submit(context.Background(), submission("j")); o.Code != Accepted {
		t.Fatalf("submit: %+v", o)
	}
	eventually(t, "the permission to start tasks", func() bool { return owner.dispatcher.mayStart(c.now()) })
	return owner
}

// Guards against an owner that wakes from a pause and starts tasks of a job that was
// cancelled meanwhile: its next append succeeds before it has read the log (rule UNASKED,
// review/5).
func TestPausedOwnerStartsNothingBeforeItHasReadTheLog(t *testing.T) {
	log, ca := newMemoryLog(), &clock{}
	owner := startOwner(t, log, ca)
	other := startEntry(t, log, &clock{}, "b")
	log.update(func() { log.readsBlocked = true })
	ca.advance(3600 * time.Millisecond)
	if o := other.Cancel(context.Background(), "j"); o.Code != Accepted {
		t.Fatalf("cancel: %+v", o)
	}
	eventually(t, "the append after the pause", func() bool { return owner.dispatcher.owns(ca.now()) })
	if owner.dispatcher.mayStart(ca.now()) {
		t.Error("the owner may start tasks before it has read the log")
	}
	log.update(func() { log.readsBlocked = false })
	eventually(t, "the permission to start tasks", func() bool { return owner.dispatcher.mayStart(ca.now()) })
	if !owner.dispatcher.hasStopped("j") {
		t.Error("tasks may start although the cancellation was not applied")
	}
}

// Guards against an owner that starts tasks of cancelled jobs because its reads lag or
// their connection is dead, while its appends succeed.
func TestOwnerThatFallsBehindInReadingStartsNothing(t *testing.T) {
	log, c := newMemoryLog(), &clock{}
	owner := startOwner(t, log, c)
	log.update(func() { log.readsBlocked = true })
	for range 2 * maxLogAge / heartbeatInterval {
		c.advance(heartbeatInterval)
		appended := c.now()
		eventually(t, "an append", func() bool {
			owner.mu.Lock()
			defer owner.mu.Unlock()
			return !owner.lastAppend.Before(appended)
		})
	}
	if !owner.dispatcher.owns(c.now()) {
		t.Error("the owner stops runs although its appends succeed")
	}
	if owner.dispatcher.mayStart(c.now()) {
		t.Error("the owner may start tasks though it has read nothing for so long")
	}
	log.update(func() { log.readsBlocked = false })
	eventually(t, "the permission to start tasks", func() bool { return owner.dispatcher.mayStart(c.now()) })
}

// Guards against a list of appends that grows as long as the log can't be read.
func TestUnreadAppendsAreLimited(t *testing.T) {
	var r readBack
	start := time.Unix(1000, 0)
	const appends = 100
	for n := range appends {
		sent := start.Add(time.Duration(n) * maxLogAge / 10)
		r.add(sent, unreadAppend{next: uint64(n), sent: sent})
	}
	if len(r.unread) > 10 {
		t.Errorf("%d appends kept, want at most those of the last %v", len(r.unread), maxLogAge)
	}
}
