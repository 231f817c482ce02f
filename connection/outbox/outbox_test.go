package outbox

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
)

const boundBytes = 16 << 20

func ofSize(size int) wire.Message {
	return &wire.Config{Files: []wire.ConfigFile{{Name: "f", Content: make([]byte, size)}}}
}

type writes chan int

func (w writes) Write(p []byte) (int, error) {
	w <- len(p)
	return len(p), nil
}

// Guards against connections that keep the memory of their largest burst.
func TestIdleOutboxKeepsNoLargeBuffer(t *testing.T) {
	o := New(boundBytes)
	written := make(writes)
	go o.Run(written)
	defer o.Close()
	for i, size := range []int{8 << 20, 0, 0} { // the two buffers take turns
		if err := o.Put(ofSize(size)); err != nil {
			t.Fatal(err)
		}
		<-written
		o.mu.Lock()
		if cap(o.queue) > maxSpareBytes {
			t.Errorf("an idle outbox keeps %d bytes after message %d", cap(o.queue), i)
		}
		o.mu.Unlock()
	}
}

// Guards against a reader that has stopped and makes a process keep messages
// without bound.
func TestPutIsBounded(t *testing.T) {
	o := New(1000)
	var err error
	sent := 0
	for ; err == nil && sent < 100; sent++ {
		err = o.Put(ofSize(100))
	}
	if !errors.Is(err, ErrClosed) || sent > 10 || !o.Closed() {
		t.Errorf("after %d messages: %v", sent, err)
	}
	if err := o.Run(make(writes)); err != nil {
		t.Errorf("a closed outbox ends with %v", err)
	}
}
