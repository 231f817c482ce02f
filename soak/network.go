package soak

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Times of the fake network. They correspond to those of connection/peer.
const (
	latencyMin         = 300 * time.Microsecond
	latencyMax         = 2 * time.Millisecond
	idleTimeout        = 2 * time.Second
	dialInterval       = 500 * time.Millisecond
	retransmitInterval = 50 * time.Millisecond
)

// process is one incarnation of a simulated process. It can be paused,
// partitioned from the network or dead.
type process struct {
	sim         *simulation
	name        string
	incarnation wire.Incarnation
	alive       bool
	// paused delays every event of the process until it resumes.
	paused bool
	// pending holds the delayed events, in order.
	pending []func()
	// partitioned blocks all traffic from and to the process.
	partitioned bool
	// partitionedAt is the time of the last partition. The oracle uses it to
	// check that the process receives no new work.
	partitionedAt time.Time
}

// handle runs an event of the process: at once, or when it resumes if it is
// paused. Events of a dead process are dropped.
func (p *process) handle(event func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.pending = append(p.pending, event)
	default:
		event()
	}
}

// runEvery calls run at an interval while the process is alive. Calls that fall
// into a pause are skipped.
func (p *process) runEvery(interval time.Duration, name string, run func()) {
	p.sim.after(interval, p.name+" "+name, func() {
		if !p.alive {
			return
		}
		if !p.paused {
			run()
		}
		p.runEvery(interval, name, run)
	})
}

// resume ends a pause and runs the events that it delayed.
func (p *process) resume() {
	p.paused = false
	pending := p.pending
	p.pending = nil
	for _, run := range pending {
		p.handle(run)
	}
}

// conn is a connection between two processes. Messages of one direction arrive in
// order; those in flight when the connection closes are lost.
type conn struct {
	ends   [2]*connEnd
	closed bool
}

// connEnd is one end of a connection, with the messages that are sent to it.
type connEnd struct {
	conn      *conn
	process   *process
	onMessage func(m wire.Message)
	onClose   func()
	// closeHandled is set once onClose has run; later messages are dropped.
	closeHandled bool
	lastSeen     time.Time
	// lastDelivery is the latest delivery time of a message to this end. Later
	// messages are not delivered earlier, which keeps their order.
	lastDelivery   time.Time
	undelivered    []wire.Message
	retransmitting bool
}

// connect opens a connection between two ends.
func (sim *simulation) connect(a, b *connEnd) *conn {
	c := &conn{ends: [2]*connEnd{a, b}}
	for _, end := range c.ends {
		end.conn = c
		end.lastSeen = sim.now
	}
	sim.closeWhenIdle(c)
	return c
}

// closeWhenIdle closes a connection once either end has received nothing for
// idleTimeout. It checks four times per idleTimeout.
func (sim *simulation) closeWhenIdle(c *conn) {
	sim.after(idleTimeout/4, "watch", func() {
		if c.closed {
			return
		}
		a, b := c.ends[0].process, c.ends[1].process
		linkUp := a.alive && b.alive && !a.partitioned && !b.partitioned && !a.paused && !b.paused
		for _, end := range c.ends {
			if linkUp {
				end.lastSeen = sim.now // keep-alive packets arrive
			}
			if sim.now.Sub(end.lastSeen) > idleTimeout {
				sim.close(c)
				return
			}
		}
		sim.closeWhenIdle(c)
	})
}

// close closes a connection. Each end handles the close after its own latency.
func (sim *simulation) close(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	for _, end := range c.ends {
		sim.after(sim.randomDuration(latencyMin, latencyMax), "close "+end.process.name, func() {
			end.process.handle(func() {
				if !end.closeHandled {
					end.closeHandled = true
					end.onClose()
				}
			})
		})
	}
}

// send delivers a message to an end, in order. Messages that are in transit while
// either process is partitioned stay buffered: they arrive if the partition ends
// before the connection closes.
func (sim *simulation) send(to *connEnd, m wire.Message) {
	if sim.cancelMonitor != nil {
		sim.cancelMonitor.countMessage(to, m)
	}
	at := sim.now.Add(sim.randomDuration(latencyMin, latencyMax))
	if at.Before(to.lastDelivery) {
		at = to.lastDelivery
	}
	to.lastDelivery = at
	sim.after(at.Sub(sim.now), "deliver "+to.process.name+" "+wire.KindName(m), func() {
		if to.conn.closed && !to.process.paused {
			return
		}
		to.undelivered = append(to.undelivered, m)
		sim.deliver(to)
	})
}

// deliver passes the buffered messages to an end. While either process is
// partitioned it tries again every retransmitInterval.
func (sim *simulation) deliver(to *connEnd) {
	if to.process.partitioned || to.other().process.partitioned {
		if !to.retransmitting {
			to.retransmitting = true
			sim.after(retransmitInterval, "retransmit "+to.process.name, func() {
				to.retransmitting = false
				if !to.conn.closed {
					sim.deliver(to)
				}
			})
		}
		return
	}
	undelivered := to.undelivered
	to.undelivered = nil
	for _, m := range undelivered {
		to.process.handle(func() {
			if !to.closeHandled {
				to.onMessage(m)
			}
		})
	}
}

// other returns the opposite end of the connection.
func (e *connEnd) other() *connEnd {
	if e.conn.ends[0] == e {
		return e.conn.ends[1]
	}
	return e.conn.ends[0]
}
