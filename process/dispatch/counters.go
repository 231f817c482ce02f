package dispatch

import (
	"sync/atomic"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// counters count events since the start of the process.
type counters struct {
	submitted atomic.Uint64
	ordered   atomic.Uint64
	left      atomic.Uint64
	completed atomic.Uint64
	failed    atomic.Uint64
	notRun    atomic.Uint64
	gaveUp    atomic.Uint64
	full      atomic.Uint64
	otherwise atomic.Uint64
	lost      atomic.Uint64
}

func (c *counters) ended(result Result) {
	switch result.Code {
	case Completed:
		c.completed.Add(1)
	case Failed:
		c.failed.Add(1)
	case GaveUp:
		c.gaveUp.Add(1)
	default:
		c.notRun.Add(1)
	}
}

func (c *counters) refused(reason wire.RefusedStart) {
	if reason == wire.RefusedFull {
		c.full.Add(1)
		return
	}
	c.otherwise.Add(1)
}

func (c *counters) runEnded(end batch.End) {
	if end == batch.EndLost || end == batch.EndLapsed {
		c.lost.Add(1)
	}
}

// Counts are events since the start of the process.
type Counts struct {
	Submitted  uint64 `json:"submitted"`
	Completed  uint64 `json:"completed"`
	Failed     uint64 `json:"failed"`
	NotRun     uint64 `json:"not_run"`
	GaveUp     uint64 `json:"gave_up"`
	Left       uint64 `json:"left"`
	Ordered    uint64 `json:"ordered"`
	TurnedBack uint64 `json:"turned_back_full"`
	Refused    uint64 `json:"refused_otherwise"`
	RunsLost   uint64 `json:"runs_lost"`
}

// Counts returns the counters.
func (c *Core) Counts() Counts {
	n := &c.counters
	return Counts{Submitted: n.submitted.Load(), Completed: n.completed.Load(), Failed: n.failed.Load(), NotRun: n.notRun.Load(),
		GaveUp: n.gaveUp.Load(), Left: n.left.Load(), Ordered: n.ordered.Load(), TurnedBack: n.full.Load(),
		Refused: n.otherwise.Load(), RunsLost: n.lost.Load()}
}
