package runner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Guards against a healthy target that is closed for its stragglers, and against one that
// has turned eight times slower and stays open.
func TestSlowRunsOfHealthyAndFaultyTargets(t *testing.T) {
	cases := []struct {
		name      string
		slowShare float64
		// sameJob makes all runs belong to one job.
		sameJob bool
		runs    int
		closed  bool
	}{
		{"3 % of stragglers", 0.03, false, 20_000, false},
		{"all runs slow", 1, false, 4, true},
		{"80 % of the runs slow", 0.8, false, 40, true},
		{"one job takes longer than its estimate", 1, true, 50, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			now := time.UnixMilli(1_000_000)
			var h health
			for i := range test.runs {
				now = now.Add(10 * time.Millisecond)
				job, speed := batch.ID(fmt.Sprint(i)), speedUsual
				if test.sameJob {
					job = "job"
				}
				if random.Float64() < test.slowShare {
					speed = speedSlow
				}
				h.noteSpeed(now, job, speed)
				h.runDone(now, speed == speedSlow)
			}
			if closed := h.closedReason == wire.ClosedStalled; closed != test.closed {
				t.Errorf("closed: %v, want %v", closed, test.closed)
			}
		})
	}
}
