package outbox

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
)

const maxQueuedBytes = 16 << 20

func messageOfSize(size int) wire.Message {
	return &wire.Config{Files: []wire.ConfigFile{{Name: "f", Content: make([]byte, size)}}}
}

// sizeWriter sends the size of each write.
type sizeWriter chan int

func (w sizeWriter) Write(p []byte) (int, error) {
	w <- len(p)
	return len(p), nil
}

// Guards against idle connections that keep a write buffer of the size of their
// largest burst.
func TestIdleOutboxKeepsNoLargeBuffer(t *testing.T) {
	o := New(maxQueuedBytes)
	written := make(sizeWriter)
	go o.Run(written)
	defer o.Close()
	for i, size := range []int{8 << 20, 0, 0} { // Run alternates between two buffers
		if err := o.Put(messageOfSize(size)); err != nil {
			t.Fatal(err)
		}
		<-written
		o.mu.Lock()
		if cap(o.queue) > maxSpareBufferBytes {
			t.Errorf("idle outbox keeps a buffer of %d bytes after message %d, want at most %d", cap(o.queue), i, maxSpareBufferBytes)
		}
		o.mu.Unlock()
	}
}

// Guards against a peer that has stopped reading and makes a process queue
// messages without bound.
func TestPutFailsWhenQueueIsFull(t *testing.T) {
	o := New(1000)
	var err error
	sent := 0
	for ; err == nil && sent < 100; sent++ {
		err = o.Put(messageOfSize(100))
	}
	if !errors.Is(err, ErrClosed) || sent > 10 || !o.Closed() {
		t.Errorf("error %v after %d messages, want ErrClosed after at most 10 and a closed outbox", err, sent)
	}
	if err := o.Run(make(sizeWriter)); err != nil {
		t.Errorf("Run of a closed outbox returned %v, want nil", err)
	}
}
