package dispatch

import (
	"sync/atomic"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// counters counts events since the process started.
type counters struct {
	submitted   atomic.Uint64
	runsOrdered atomic.Uint64
	// callersLeft counts the jobs that were stopped because their last caller
	// left.
	callersLeft atomic.Uint64
	completed   atomic.Uint64
	failed      atomic.Uint64
	notRun      atomic.Uint64
	gaveUp      atomic.Uint64
	// refusedFull and refusedOther count the runs that agents refused to start,
	// for lack of room and for any other reason.
	refusedFull  atomic.Uint64
	refusedOther atomic.Uint64
	runsLost     atomic.Uint64
	// runsWithheld counts the runs without a confirmed start of agents that fell silent.
	runsWithheld atomic.Uint64
	// stragglers counts the runs that agents stopped because they were slow, and
	// restartsPaid those of the tasks started again that took the usual time.
	stragglers   atomic.Uint64
	restartsPaid atomic.Uint64
	// localWaits counts the steps that waited for a target in the rack of their data,
	// localWaitsMet the waits after which a task went there.
	localWaits    atomic.Uint64
	localWaitsMet atomic.Uint64
}

func (c *counters) countResult(result Result) {
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

func (c *counters) countRefusal(reason wire.StartRefusal) {
	if reason == wire.RefusedFull {
		c.refusedFull.Add(1)
		return
	}
	c.refusedOther.Add(1)
}

func (c *counters) countRunEnd(end batch.End) {
	if end == batch.EndLost || end == batch.EndLapsed {
		c.runsLost.Add(1)
	}
}

// Counts holds the numbers of events since the process started.
type Counts struct {
	Submitted uint64 `json:"submitted"`
	Completed uint64 `json:"completed"`
	Failed    uint64 `json:"failed"`
	NotRun    uint64 `json:"not_run"`
	GaveUp    uint64 `json:"gave_up"`
	// CallersLeft counts the jobs that were stopped because their last caller left.
	CallersLeft uint64 `json:"left"`
	// RunsOrdered counts the start orders sent to agents, one for each run.
	RunsOrdered uint64 `json:"ordered"`
	// RefusedFull and RefusedOther count the runs that agents refused to start, for
	// lack of room and for any other reason.
	RefusedFull  uint64 `json:"turned_back_full"`
	RefusedOther uint64 `json:"refused_otherwise"`
	// RunsLost counts the runs that were lost or whose lease lapsed.
	RunsLost uint64 `json:"runs_lost"`
	// RunsWithheld counts the runs whose tasks wait because a start of them may still be
	// carried out.
	RunsWithheld uint64 `json:"runs_withheld"`
	// Stragglers counts the runs that agents stopped because they were slow, RestartsPaid
	// the tasks of such runs that took the usual time when they were started again.
	Stragglers   uint64 `json:"stragglers"`
	RestartsPaid uint64 `json:"restarts_paid"`
	// LocalWaits counts the steps that waited for a target in the rack of their data,
	// LocalWaitsMet the waits after which a task went there.
	LocalWaits    uint64 `json:"local_waits"`
	LocalWaitsMet uint64 `json:"local_waits_met"`
}

// Counts returns the numbers of events since the process started.
func (c *Core) Counts() Counts {
	n := &c.counters
	return Counts{Submitted: n.submitted.Load(), Completed: n.completed.Load(), Failed: n.failed.Load(), NotRun: n.notRun.Load(),
		GaveUp: n.gaveUp.Load(), CallersLeft: n.callersLeft.Load(), RunsOrdered: n.runsOrdered.Load(), RefusedFull: n.refusedFull.Load(),
		RefusedOther: n.refusedOther.Load(), RunsLost: n.runsLost.Load(), RunsWithheld: n.runsWithheld.Load(),
		Stragglers: n.stragglers.Load(), RestartsPaid: n.restartsPaid.Load(),
		LocalWaits: n.localWaits.Load(), LocalWaitsMet: n.localWaitsMet.Load()}
}
