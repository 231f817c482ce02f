package soak

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Times of the fake network, as those of connection/peer.
const (
	latencyMin   = 300 * time.Microsecond
	latencyMax   = 2 * time.Millisecond
	idleTimeout  = 2 * time.Second
	dialInterval = 500 * time.Millisecond
	retransmit   = 50 * time.Millisecond
)

// process is one process of the run: it can be paused, cut off or dead.
type process struct {
	world *world
	name  string
	inc   wire.Incarnation
	alive bool
	// paused holds back everything that happens at the process, in order.
	paused bool
	held   []func()
	// cut drops every message from and to the process.
	cut bool
	// cutAt is when the process was cut off, for the check that it receives
	// no new work.
	cutAt time.Time
}

// do runs an event at the process, now or when it goes on.
func (p *process) do(run func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.held = append(p.held, run)
	default:
		run()
	}
}

// every calls run at an interval while the process lives.
func (p *process) every(interval time.Duration, name string, run func()) {
	p.world.after(interval, p.name+" "+name, func() {
		if !p.alive {
			return
		}
		if !p.paused {
			run()
		}
		p.every(interval, name, run)
	})
}

func (p *process) resume() {
	p.paused = false
	held := p.held
	p.held = nil
	for _, run := range held {
		p.do(run)
	}
}

// conn is one connection. Messages of a direction arrive in order; those in
// flight when it ends are lost.
type conn struct {
	ends   [2]*connEnd
	closed bool
}

type connEnd struct {
	conn     *conn
	process  *process
	receive  func(m wire.Message)
	ended    func()
	told     bool
	lastSeen time.Time
	// nextAt keeps the order of messages to this end.
	nextAt   time.Time
	waiting  []wire.Message
	retrying bool
}

// connect joins two processes.
func (w *world) connect(a, b *connEnd) *conn {
	c := &conn{ends: [2]*connEnd{a, b}}
	for _, end := range c.ends {
		end.conn = c
		end.lastSeen = w.now
	}
	w.watch(c)
	return c
}

// watch ends a connection that has been silent for idleTimeout at either end.
func (w *world) watch(c *conn) {
	w.after(idleTimeout/4, "watch", func() {
		if c.closed {
			return
		}
		a, b := c.ends[0].process, c.ends[1].process
		flowing := a.alive && b.alive && !a.cut && !b.cut && !a.paused && !b.paused
		for _, end := range c.ends {
			if flowing {
				end.lastSeen = w.now // keep-alive packets
			}
			if w.now.Sub(end.lastSeen) > idleTimeout {
				w.close(c)
				return
			}
		}
		w.watch(c)
	})
}

// close ends a connection; each end learns of it on its own.
func (w *world) close(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	for _, end := range c.ends {
		w.after(w.duration(latencyMin, latencyMax), "close "+end.process.name, func() {
			end.process.do(func() {
				if !end.told {
					end.told = true
					end.ended()
				}
			})
		})
	}
}

// send carries a message to the end, in order. What is sent while either side is
// cut off waits as in a send buffer: it arrives if the cut heals before the
// connection ends.
func (w *world) send(to *connEnd, m wire.Message) {
	if w.cancels != nil {
		w.cancels.sent(to, m)
	}
	at := w.now.Add(w.duration(latencyMin, latencyMax))
	if at.Before(to.nextAt) {
		at = to.nextAt
	}
	to.nextAt = at
	w.after(at.Sub(w.now), "deliver "+to.process.name+" "+wire.KindName(m), func() {
		if to.conn.closed && !to.process.paused {
			return
		}
		to.waiting = append(to.waiting, m)
		w.drain(to)
	})
}

func (w *world) drain(to *connEnd) {
	if to.process.cut || to.other().process.cut {
		if !to.retrying {
			to.retrying = true
			w.after(retransmit, "retransmit "+to.process.name, func() {
				to.retrying = false
				if !to.conn.closed {
					w.drain(to)
				}
			})
		}
		return
	}
	waiting := to.waiting
	to.waiting = nil
	for _, m := range waiting {
		to.process.do(func() {
			if !to.told {
				to.receive(m)
			}
		})
	}
}

func (e *connEnd) other() *connEnd {
	if e.conn.ends[0] == e {
		return e.conn.ends[1]
	}
	return e.conn.ends[0]
}
