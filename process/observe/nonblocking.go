package observe

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// NonBlocking is a writer that never waits for the one below it. Lines that do
// not fit its queue or its rate are dropped and counted.
type NonBlocking struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	counter atomic.Pointer[tally.Counter]
}

// NewNonBlocking returns a writer with a queue of the given number of lines.
func NewNonBlocking(out io.Writer, queue int) *NonBlocking {
	w := &NonBlocking{out: out, lines: make(chan []byte, queue), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line. It always reports success.
func (w *NonBlocking) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// CountIn also counts dropped lines in a metric from now on.
func (w *NonBlocking) CountIn(counter tally.Counter) { w.counter.Store(&counter) }

func (w *NonBlocking) drop() {
	w.dropped.Add(1)
	if counter := w.counter.Load(); counter != nil {
		(*counter).Inc(1)
	}
}

// Dropped returns how many lines were dropped since the start.
func (w *NonBlocking) Dropped() uint64 { return w.dropped.Load() }

func (w *NonBlocking) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			// Nothing can be logged about a log that can't be written.
			w.drop()
		}
	}
}

// Close writes what is queued, for at most the given time. Nothing may be
// written after it.
func (w *NonBlocking) Close(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
