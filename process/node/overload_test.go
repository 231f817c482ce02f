package node

import (
	"strings"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/observe"
)

// Guards against an entry that rejects requests without a sign of it and of its reasons, and
// against one that is short of processor time and stays ready for new connections.
func TestShortageOfProcessorTimeIsReported(t *testing.T) {
	log := &syncBuffer{}
	observer := observe.New("entry-1", log)
	defer observer.Close()
	shedder := newLoadShedder(0, observer, observer.Decisions(100, 100))
	now := time.Now()
	observeFor := func(d, delay time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(tickInterval + delay) {
			for range 10 {
				shedder.guard.Count()
			}
			shedder.observe(now, delay)
		}
	}
	observeFor(time.Second, 0)
	if log.String() != "" || shedder.guard.Limited() {
		t.Fatalf("limited without a late pass:\n%s", log.String())
	}
	observeFor(4*time.Second, 80*time.Millisecond)
	if !shedder.guard.Limited() || !shedder.guard.Lasting(now) {
		t.Error("not limited after 4 s of late passes")
	}
	observeFor(10*time.Second, 0)
	if shedder.guard.Limited() || shedder.guard.Lasting(now) {
		t.Error("limited 10 s after the last late pass")
	}
	for _, text := range []string{"condition started", "condition ended", `"outcome":"began"`, `"outcome":"ended"`} {
		if got := strings.Count(log.String(), text); got != 1 {
			t.Errorf("%q is logged %d times, want once:\n%s", text, got, log.String())
		}
	}
	if !strings.Contains(log.String(), `"mean_delay_ms":80`) {
		t.Errorf("the mean delay is not logged:\n%s", log.String())
	}
}
