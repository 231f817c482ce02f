package runner

import (
	"slices"

	"github.com/azurerouter/azurerouter/request/batch"
)

// confirmedStarts returns the highest sequence number of orders up to which the target has
// answered all starts of the held runs of an entry, and the runs, held or with a withheld
// end, of which a start got no answer. The latter do not hold the number back.
func (c *Core) confirmedStarts(s *session) (confirmed uint64, unanswered []batch.Run) {
	confirmed = s.handledSequence
	for _, h := range c.runs {
		switch {
		case h.entry != s.entry:
		case h.copies.unanswered():
			unanswered = append(unanswered, h.run)
		case h.copies.pending:
			confirmed = min(confirmed, max(h.orderSequence, 1)-1)
		}
	}
	for _, e := range c.withheldOf(s.entry) {
		unanswered = append(unanswered, e.run.run)
	}
	slices.SortFunc(unanswered, batch.Run.Compare)
	return confirmed, unanswered
}
