package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// repeatWeight is that of the newest submission of a queue in the share of
	// its submissions that seem to be repeats. After a loss of power about a
	// hundred callers of a queue come again together, which this share outlasts.
	repeatWeight = 0.005
	// maxRepeatShare is the share above which submissions of a queue are taken
	// for first ones: its callers just leave less time than elsewhere.
	maxRepeatShare = 0.5
)

// repeats holds the share of the submissions that seem to be repeats, by queue.
type repeats map[string]float64

// waited returns how long the caller of a submission has waited, as far as that
// is to be believed.
func (r repeats) waited(s batch.Submission) time.Duration {
	seen := 0.0
	if s.Waited > 0 {
		seen = 1
	}
	r[s.Queue] += repeatWeight * (seen - r[s.Queue])
	if r[s.Queue] > maxRepeatShare {
		return 0
	}
	return s.Waited
}
