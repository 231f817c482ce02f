package runner

import (
	"slices"

	"github.com/azurerouter/azurerouter/request/batch"
)

// startUnanswered reports whether a start of the run may still be under way to the target.
// A run is bounded by its lease only if each of its starts has an answer: a target that
// restarts carries out a start that reaches it late.
func (h *heldRun) startUnanswered() bool { return h.startPending || h.startMayHaveArrived }

// confirmedStarts returns the highest sequence number of orders up to which the target has
// answered all starts of the held runs of an entry, and the held runs of which a start got
// no answer. The latter do not hold the number back.
func (c *Core) confirmedStarts(s *session) (confirmed uint64, unanswered []batch.Run) {
	confirmed = s.handledSequence
	for _, h := range c.runs {
		switch {
		case h.entry != s.entry:
		case h.startMayHaveArrived:
			unanswered = append(unanswered, h.run)
		case h.startPending:
			confirmed = min(confirmed, max(h.orderSequence, 1)-1)
		}
	}
	slices.SortFunc(unanswered, batch.Run.Compare)
	return confirmed, unanswered
}
