package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// writeDelay is how long a line waits for others to be written in the same call. A call
// for each line takes more processor time than the decisions that are logged. A process
// that is killed loses the lines of this time.
const writeDelay = 20 * time.Millisecond

// NonBlockingWriter is an io.Writer for log lines that never blocks its caller: it
// queues each line and writes the queued lines to the underlying writer in the
// background. Lines that do not fit into the queue or cannot be written are dropped and
// counted.
type NonBlockingWriter struct {
	out      io.Writer
	maxLines int
	// wake receives a value when there are lines to write.
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
	counter atomic.Pointer[tally.Counter]

	mu sync.Mutex
	// pending holds the lines that wait to be written, lines counts these and those that
	// are being written.
	pending      []byte
	pendingLines int
	lines        int
}

// NewNonBlockingWriter returns a writer to out with a queue of the given number of
// lines.
func NewNonBlockingWriter(out io.Writer, queue int) *NonBlockingWriter {
	w := &NonBlockingWriter{out: out, maxLines: queue, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line. It always reports success.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := w.lines >= w.maxLines
	if !full {
		w.pending = append(w.pending, line...)
		w.pendingLines++
		w.lines++
	}
	first := w.pendingLines == 1
	w.mu.Unlock()
	switch {
	case full:
		w.drop(1)
	case first:
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// CountDroppedIn makes the writer count each line that is dropped from this call on
// in counter as well.
func (w *NonBlockingWriter) CountDroppedIn(counter tally.Counter) { w.counter.Store(&counter) }

func (w *NonBlockingWriter) drop(lines int) {
	w.dropped.Add(uint64(lines))
	if counter := w.counter.Load(); counter != nil {
		(*counter).Inc(int64(lines))
	}
}

// Dropped returns the number of lines dropped since the writer was created.
func (w *NonBlockingWriter) Dropped() uint64 { return w.dropped.Load() }

func (w *NonBlockingWriter) run() {
	defer close(w.done)
	var spare []byte
	for {
		select {
		case <-w.wake:
		case <-w.closing:
			w.writePending(spare)
			return
		}
		select {
		case <-time.After(writeDelay):
		case <-w.closing:
		}
		spare = w.writePending(spare)
	}
}

// writePending writes the queued lines and returns memory for the next ones. spare is
// the memory in which lines are queued meanwhile.
func (w *NonBlockingWriter) writePending(spare []byte) []byte {
	w.mu.Lock()
	batch, lines := w.pending, w.pendingLines
	w.pending, w.pendingLines = spare[:0], 0
	w.mu.Unlock()
	if lines == 0 {
		return batch
	}
	if _, err := w.out.Write(batch); err != nil {
		// A failure to write the log cannot be logged, only counted.
		w.drop(lines)
	}
	w.mu.Lock()
	w.lines -= lines
	w.mu.Unlock()
	return batch
}

// Close waits until the queued lines are written, for at most limit. Write must not
// be called after it.
func (w *NonBlockingWriter) Close(limit time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
