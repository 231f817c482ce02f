package runonce

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/process/ledger"
)

// longPoll is how long a read of the log waits for new records.
const longPoll = 250 * time.Millisecond

// sharedLog is the log of durable jobs. It enforces expected offsets, epochs and sequence
// numbers.
type sharedLog struct {
	mu      sync.Mutex
	records []ledger.Record
	writers map[string]*writerState
	// faults holds the fault of each entry's access.
	faults [entryCount]logFault
	// changed is closed and replaced after each update.
	changed chan struct{}
	closed  bool
}

// logFault is a fault of an entry's access to the log.
type logFault struct {
	// unanswered appends take effect after a delay, or never if it is negative.
	unanswered bool
	delay      time.Duration
	// blind reads return nothing.
	blind bool
}

// writerState holds the highest epoch of a writer and its next sequence number.
type writerState struct {
	epoch, next uint64
	// done holds the appends that have taken effect, whose repeats get the same answer.
	done map[appendKey]bool
}

type appendKey struct{ epoch, sequence uint64 }

func newSharedLog() *sharedLog {
	return &sharedLog{writers: make(map[string]*writerState), changed: make(chan struct{})}
}

// update applies a change and wakes the readers.
func (l *sharedLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *sharedLog) setFault(entry int, f logFault) { l.update(func() { l.faults[entry] = f }) }

func (l *sharedLog) faultOf(entry int) logFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[entry]
}

func (l *sharedLog) close() {
	l.update(func() { l.closed, l.faults = true, [entryCount]logFault{} })
}

func (l *sharedLog) append(a keeper.AppendRequest) (verdict keeper.Verdict) {
	l.update(func() { verdict = l.appendLocked(a) })
	return verdict
}

func (l *sharedLog) appendLocked(a keeper.AppendRequest) keeper.Verdict {
	if a.ExpectedEnd != nil && *a.ExpectedEnd != uint64(len(l.records)) {
		return keeper.EndMoved
	}
	if a.Writer != "" {
		w := l.writers[a.Writer]
		if w == nil {
			w = &writerState{done: make(map[appendKey]bool)}
			l.writers[a.Writer] = w
		}
		key := appendKey{a.Epoch, a.Sequence}
		if len(a.Records) > 0 && w.done[key] {
			return keeper.Done
		}
		if a.Epoch < w.epoch {
			return keeper.Fenced
		}
		if a.Epoch > w.epoch {
			w.epoch, w.next = a.Epoch, a.Sequence
		}
		switch {
		case len(a.Records) == 0:
			return keeper.Done
		case a.Sequence != w.next:
			return keeper.OutOfSequence
		}
		w.next++
		w.done[key] = true
	}
	l.records = append(l.records, a.Records...)
	return keeper.Done
}

// logClient is the keeper.Log of one entry.
type logClient struct{ entry *entryLife }

func (c *logClient) log() *sharedLog { return c.entry.world.log }

// Append implements keeper.Log. A request takes one step of time, as does the answer.
func (c *logClient) Append(ctx context.Context, a keeper.AppendRequest) keeper.AppendResult {
	c.entry.freeze.await()
	defer c.entry.freeze.await()
	if ctx.Err() != nil {
		return keeper.AppendResult{Verdict: keeper.Unknown, Err: ctx.Err()}
	}
	if f := c.log().faultOf(c.entry.index); f.unanswered {
		if f.delay >= 0 {
			go func() {
				time.Sleep(f.delay)
				c.log().append(a)
			}()
		}
		<-ctx.Done()
		return keeper.AppendResult{Verdict: keeper.Unknown, Err: ctx.Err()}
	}
	time.Sleep(timeStep)
	verdict := c.log().append(a)
	time.Sleep(timeStep)
	return keeper.AppendResult{Verdict: verdict}
}

// End implements keeper.Log.
func (c *logClient) End(ctx context.Context, _ uint64) (uint64, error) {
	c.entry.freeze.await()
	defer c.entry.freeze.await()
	if f := c.log().faultOf(c.entry.index); f.blind {
		<-ctx.Done()
		return 0, errors.New("no answer")
	}
	time.Sleep(timeStep)
	c.log().mu.Lock()
	defer c.log().mu.Unlock()
	return uint64(len(c.log().records)), nil
}

// Follow implements keeper.Log.
func (c *logClient) Follow(ctx context.Context, reader keeper.Reader) {
	l := c.log()
	next, snapshot := 0, true
	for ctx.Err() == nil {
		l.mu.Lock()
		page := keeper.Page{Snapshot: snapshot, UpToDate: true, Next: uint64(len(l.records))}
		for offset := next; offset < len(l.records); offset++ {
			page.Records = append(page.Records, keeper.ReadRecord{Offset: uint64(offset), Record: l.records[offset]})
		}
		blind, changed := l.faults[c.entry.index].blind, l.changed
		l.mu.Unlock()
		timeout := longPoll
		if !blind {
			next, snapshot = int(page.Next), false
			time.Sleep(timeStep)
			c.entry.freeze.await()
			if ctx.Err() != nil {
				return
			}
			reader.Apply(page)
			reader.NoteResult(nil)
		} else {
			timeout = time.Hour
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(timeout):
		}
	}
}
