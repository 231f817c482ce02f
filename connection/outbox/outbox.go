// Package outbox queues the messages of one connection, so that senders never
// wait for the network.
package outbox

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// maxSpareBufferBytes is the largest write buffer that Run keeps for reuse. A
// larger one, left by a burst of messages, is freed.
const maxSpareBufferBytes = 64 << 10

// ErrClosed marks the error of Put if the outbox is closed or full.
var ErrClosed = errors.New("connection closed")

// Outbox holds encoded messages until they are written. It is safe for
// concurrent use.
type Outbox struct {
	maxBytes int

	mu     sync.Mutex
	queue  []byte
	closed bool
	wake   chan struct{} // receives a value when Run has messages to write
	done   chan struct{} // closed by Close
}

// New returns an outbox that holds at most maxBytes of encoded messages.
func New(maxBytes int) *Outbox {
	return &Outbox{maxBytes: maxBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Put queues messages, in the order of the calls, so that Run can write them in
// one call. The error is marked ErrClosed if the outbox is closed, or if the queue
// exceeds its limit, which closes the outbox; the caller must then close the
// connection. An error of wire.Append leaves the outbox open.
func (o *Outbox) Put(messages ...wire.Message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range messages {
		if err := o.putLocked(m); err != nil {
			return err
		}
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

func (o *Outbox) putLocked(m wire.Message) error {
	if o.closed {
		return errors.Wrapf(ErrClosed, "send %s", wire.KindName(m))
	}
	queue, err := wire.Append(o.queue, m)
	if err != nil {
		return err
	}
	o.queue = queue
	if len(queue) > o.maxBytes {
		o.closeLocked()
		return errors.Wrapf(ErrClosed, "send queue exceeds %d bytes", o.maxBytes)
	}
	return nil
}

// Close closes the outbox and makes Run return. Messages that Run has not begun
// to write are discarded.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeLocked()
}

func (o *Outbox) closeLocked() {
	if !o.closed {
		o.closed = true
		close(o.done)
	}
}

// Closed reports whether the outbox has been closed.
func (o *Outbox) Closed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// Run writes all messages queued since the last write in one call of w.Write, so
// that a burst of small messages shares packets. It returns nil after Close and
// otherwise the error of w.
func (o *Outbox) Run(w io.Writer) error {
	var spare []byte
	for {
		select {
		case <-o.wake:
		case <-o.done:
			return nil
		}
		o.mu.Lock()
		batch, closed := o.queue, o.closed
		o.queue = spare[:0]
		o.mu.Unlock()
		if closed {
			return nil
		}
		if _, err := w.Write(batch); err != nil {
			return err
		}
		spare = batch
		if cap(spare) > maxSpareBufferBytes {
			spare = nil
		}
	}
}
