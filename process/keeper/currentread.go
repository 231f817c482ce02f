package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// logEndTimeout limits the time of a call for the end of the log.
	logEndTimeout = 800 * time.Millisecond
	// currentReadTimeout limits the wait until the log has been read to its present end.
	currentReadTimeout = logEndTimeout + 400*time.Millisecond
)

// endReads combines concurrent calls for the end of the log. The zero value is ready
// for use.
type endReads struct {
	mu      sync.Mutex
	running *endRead
	// next is the call for those that came while running was under way, whose answer
	// may be older than their request.
	next *endRead
}

// endRead is one call for the end of the log. end and err are set when done is closed.
type endRead struct {
	done chan struct{}
	end  uint64
	err  error
}

// request returns a call that begins after request was called. read makes the call.
func (r *endReads) request(read func() (uint64, error)) *endRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = &endRead{done: make(chan struct{})}
		go r.run(r.running, read)
		return r.running
	}
	if r.next == nil {
		r.next = &endRead{done: make(chan struct{})}
	}
	return r.next
}

// run makes a call, and then the ones that were requested meanwhile.
func (r *endReads) run(c *endRead, read func() (uint64, error)) {
	for c != nil {
		c.end, c.err = read()
		close(c.done)
		r.mu.Lock()
		r.running, r.next = r.next, nil
		c = r.running
		r.mu.Unlock()
	}
}

// awaitCurrent waits until this entry has read every record that the log had when
// awaitCurrent was called. The reader alone does not show that: it may have lost the
// connection to the log without knowing it.
func (k *Keeper) awaitCurrent(ctx context.Context) error {
	read := k.endReads.request(k.readEnd)
	select {
	case <-read.done:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "read the end of the job log")
	}
	if read.err != nil {
		return errors.Wrap(read.err, "read the end of the job log")
	}
	for {
		applied := k.awaitPage(read.end)
		if applied == nil {
			return nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "read the job log up to offset %d", read.end)
		}
	}
}

func (k *Keeper) readEnd() (uint64, error) {
	k.mu.Lock()
	from := k.nextOffset
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), logEndTimeout)
	defer cancel()
	return k.log.End(ctx, from)
}

// awaitPage returns nil if the log has been read up to an offset, or else a channel that
// is closed when the next page has been applied.
func (k *Keeper) awaitPage(end uint64) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reads.caughtUp && k.nextOffset >= end {
		return nil
	}
	if k.pageApplied == nil {
		k.pageApplied = make(chan struct{})
	}
	return k.pageApplied
}

// AfterLogRead calls f from another goroutine: with true once this entry has read every
// record that the log had when AfterLogRead was called, or with false if that takes too
// long.
func (k *Keeper) AfterLogRead(f func(ok bool)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), currentReadTimeout)
		defer cancel()
		f(k.awaitCurrent(ctx) == nil)
	}()
}
