package node

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/azurerouter/azurerouter/process/observe"
)

// syncBuffer is a log that may be read while it is written.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against an entry that lacks processor time without any sign of it.
func TestLateTicksAreReported(t *testing.T) {
	log := &syncBuffer{}
	observer := observe.New("entry-1", log)
	defer observer.Close()
	ticks := newTickMonitor(observer)
	ticks.longest.Store(int64(2 * maxTickDelay))
	ticks.report()
	ticks.report() // no late tick since
	for _, message := range []string{"condition started", "condition ended"} {
		if got := strings.Count(log.String(), message); got != 1 {
			t.Errorf("%q is logged %d times, want once:\n%s", message, got, log.String())
		}
	}
}
