package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// unsettledEnds holds the ends about which agents have asked and which can be settled
// only once the log has been read to its present end. The zero value is empty.
type unsettledEnds struct {
	ends []durableEnd
	// reading is set while the log is being read for earlier ends.
	reading bool
}

// resolveLateEnd answers an agent that keeps the end of a run which this entry no
// longer waits for, unless the end still has to be recorded. An end may count only if
// this entry has recorded it, or if its job is not durable: the task of any other run
// may have started again, also if the job has ended since.
func (c *Core) resolveLateEnd(now time.Time, p *pool, t *target, run batch.Run) {
	recorded, known := p.recordedEnds.values[run]
	switch {
	case known && !recorded.mayAcknowledge(t.agent):
		// The agent voids the end, which must not count while the run may begin again.
	case known || p.isNonDurable(run.Task.Job):
		c.send(now, p, t, &wire.Orders{RecordedEnds: []batch.Run{run}, Waiting: c.announcedWaiting(now, p, t)})
	case p.awaitsRecord(t.agent, run):
	default:
		p.unsettledEnds.ends = append(p.unsettledEnds.ends, durableEnd{agent: t.agent, run: run})
		c.readForUnsettledEnds(p)
	}
}

// isNonDurable reports whether a job has been submitted here and is not durable. The
// ends of its runs are not recorded.
func (p *pool) isNonDurable(id batch.ID) bool {
	if j := p.jobs[id]; j != nil {
		return j.durableState == nil
	}
	_, answered := p.retainedAnswers[id]
	return answered
}

// readForUnsettledEnds settles the ends of the pool once this entry has read what the
// log has now. A job that was accepted a moment ago would seem not to be durable before.
func (c *Core) readForUnsettledEnds(p *pool) {
	if p.unsettledEnds.reading || len(p.unsettledEnds.ends) == 0 {
		return
	}
	ends := p.unsettledEnds.ends
	p.unsettledEnds = unsettledEnds{reading: true}
	c.env.AfterLogRead(func(ok bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.unsettledEnds.reading = false
		if ok {
			c.settleEnds(p, ends)
		}
		c.readForUnsettledEnds(p)
	})
}

// settleEnds reports to agents which ends may be acknowledged and which are void. The
// end of a run of an ended job is left to the entry that has recorded it: unless that
// entry settles it, the agent voids it.
func (c *Core) settleEnds(p *pool, ends []durableEnd) {
	now := c.env.Now()
	for _, end := range ends {
		t := p.targets[end.agent]
		if t == nil || !t.connected {
			continue
		}
		m := &wire.Orders{Waiting: c.announcedWaiting(now, p, t)}
		switch c.env.DurableJobState(end.run.Task.Job) {
		case DurableOpen:
			m.VoidEnds = []batch.Run{end.run}
		case DurableUnknown:
			m.RecordedEnds = []batch.Run{end.run}
		default:
			continue
		}
		c.send(now, p, t, m)
	}
}
