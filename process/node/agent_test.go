package node

import (
	"testing"
	"time"
)

// Guards against an agent that waits for seconds before it looks for entries that are not
// among its seeds, although all processes have started again and the seeds come last, and
// against one that goes on to read the list so often.
func TestDirectoryIsReadOftenAfterTheStartOnly(t *testing.T) {
	const bound = 200 * time.Millisecond
	for range 100 {
		if p := directoryPollPause(0); p < startPollPause || p > bound {
			t.Fatalf("pause after the start: %v, want %v to %v", p, startPollPause, bound)
		}
	}
	if p := directoryPollPause(startPollPeriod); p != directoryPollInterval {
		t.Errorf("pause later: %v, want %v", p, directoryPollInterval)
	}
}
