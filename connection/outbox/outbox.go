// Package outbox queues the messages of one connection, so that senders never
// wait for the network.
package outbox

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// maxSpareBytes bounds the write buffer that an idle connection keeps after a
// burst.
const maxSpareBytes = 64 << 10

// ErrClosed is returned by Put after Close.
var ErrClosed = errors.New("connection closed")

// Outbox holds encoded messages until they are written. It is safe for
// concurrent use.
type Outbox struct {
	maxBytes int

	mu     sync.Mutex
	queue  []byte
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// New returns an outbox that holds at most maxBytes.
func New(maxBytes int) *Outbox {
	return &Outbox{maxBytes: maxBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Put queues messages for one write, in the order of the calls. The error is
// marked ErrClosed if the outbox is closed or a message exceeds its size; the
// caller then ends the connection.
func (o *Outbox) Put(messages ...wire.Message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range messages {
		if err := o.put(m); err != nil {
			return err
		}
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

func (o *Outbox) put(m wire.Message) error {
	if o.closed {
		return errors.Wrapf(ErrClosed, "send %s", wire.KindName(m))
	}
	queue, err := wire.Append(o.queue, m)
	if err != nil {
		return err
	}
	o.queue = queue
	if len(queue) > o.maxBytes {
		o.close()
		return errors.Wrapf(ErrClosed, "send queue exceeds %d bytes", o.maxBytes)
	}
	return nil
}

// Close drops what is queued and ends Run.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.close()
}

func (o *Outbox) close() {
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

// Run writes everything queued since the last write at once, so that a burst of
// small messages shares packets. It returns nil after Close and the error of
// the writer otherwise.
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
		if cap(spare) > maxSpareBytes {
			spare = nil
		}
	}
}
