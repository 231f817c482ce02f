package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// resubmissionWeight is the weight of the newest submission of a queue in the
	// share of its submissions that look like resubmissions. It is so low that
	// the share stays below maxResubmissionShare when, after a power outage,
	// about a hundred callers of a queue submit again at once.
	resubmissionWeight = 0.005
	// maxResubmissionShare is the share above which all submissions of a queue
	// are taken for first ones: its callers just leave less time than those of
	// other queues.
	maxResubmissionShare = 0.5
)

// resubmissionShares holds, by queue, the share of submissions that look like
// resubmissions.
type resubmissionShares map[string]float64

// credibleWait returns how long the caller of a submission has waited, or 0 if so
// many submissions of its queue state a wait that it can't be relied on.
func (r resubmissionShares) credibleWait(s batch.Submission) time.Duration {
	observed := 0.0
	if s.PriorWait > 0 {
		observed = 1
	}
	r[s.Queue] += resubmissionWeight * (observed - r[s.Queue])
	if r[s.Queue] > maxResubmissionShare {
		return 0
	}
	return s.PriorWait
}
