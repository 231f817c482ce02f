package observe

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// NonBlockingWriter is an io.Writer for log lines that never blocks its caller: it
// queues each line and writes it to the underlying writer in the background. Lines
// that do not fit into the queue or cannot be written are dropped and counted.
type NonBlockingWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	counter atomic.Pointer[tally.Counter]
}

// NewNonBlockingWriter returns a writer to out with a queue of the given number of
// lines.
func NewNonBlockingWriter(out io.Writer, queue int) *NonBlockingWriter {
	w := &NonBlockingWriter{out: out, lines: make(chan []byte, queue), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line. It always reports success.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// CountDroppedIn makes the writer count each line that is dropped from this call on
// in counter as well.
func (w *NonBlockingWriter) CountDroppedIn(counter tally.Counter) { w.counter.Store(&counter) }

func (w *NonBlockingWriter) drop() {
	w.dropped.Add(1)
	if counter := w.counter.Load(); counter != nil {
		(*counter).Inc(1)
	}
}

// Dropped returns the number of lines dropped since the writer was created.
func (w *NonBlockingWriter) Dropped() uint64 { return w.dropped.Load() }

func (w *NonBlockingWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			// A failure to write the log cannot be logged, only counted.
			w.drop()
		}
	}
}

// Close waits until the queued lines are written, for at most limit. Write must not
// be called after it.
func (w *NonBlockingWriter) Close(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
