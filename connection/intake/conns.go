package intake

import (
	"net/netip"
	"sync"
	"time"
)

// phase is what a connection waits for.
type phase int32

// Values of phase.
const (
	// phaseHead: a request has begun or the connection is new.
	phaseHead phase = iota
	// phaseBody: the head of a request has arrived and its body has not.
	phaseBody
	// phaseBusy: a whole request has arrived and is being served.
	phaseBusy
	// phaseIdle: the last request was answered.
	phaseIdle
	// phaseLeaving: the reader closes the connection unless a request has arrived.
	phaseLeaving
)

// headAllowance is how long a part of a request may wait for the rest before its connection is
// closed for another one.
const headAllowance = 250 * time.Millisecond

// leavingShare of the bound of a listener is the number of connections that may be open beyond it
// while others leave.
const leavingShare = 8

// connView is what the choice of the connection to close depends on.
type connView struct {
	address netip.Addr
	phase   phase
	since   time.Time
	// begun is set once a byte of the current request has arrived.
	begun bool
}

// rank orders connections by how readily they are closed; 0 means never.
func (v connView) rank(now time.Time) int {
	switch {
	case v.phase == phaseBusy || v.phase == phaseLeaving:
		return 0
	case v.phase == phaseIdle:
		return 2
	case (v.begun || v.phase == phaseBody) && now.Sub(v.since) > headAllowance:
		return 3
	}
	return 1
}

// chooseClosed returns the index of the connection to close for a newcomer, or -1 if the newcomer
// has to be closed. Connections with a part of a request come before idle ones, then those without a
// byte, whose request may have arrived and be unread. Among equals one of the address with the most connections is chosen, the one that has
// waited longest. A busy connection is never closed.
func chooseClosed(now time.Time, conns []connView) int {
	worst, perAddress := 0, make(map[netip.Addr]int)
	for _, v := range conns {
		worst = max(worst, v.rank(now))
		perAddress[v.address]++
	}
	if worst == 0 {
		return -1
	}
	best := -1
	for i, v := range conns {
		if v.rank(now) != worst {
			continue
		}
		if best >= 0 && perAddress[v.address] < perAddress[conns[best].address] {
			continue
		}
		if best < 0 || perAddress[v.address] > perAddress[conns[best].address] || v.since.Before(conns[best].since) {
			best = i
		}
	}
	return best
}

// connTable holds the open connections of one listener. It is safe for concurrent use.
type connTable struct {
	max int

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// closed counts connections that were closed for a newcomer, refused those that were closed at
	// once, timedOut those on which a request did not arrive in time, idle those without a request.
	closed, refused, timedOut, idle uint64

	// lastSweep is when sweep was last called, readUntil when the process has certainly read what
	// arrived while sweeps were late. Only sweep uses both.
	lastSweep, readUntil time.Time
}

// add takes a new connection in, and closes another one if there are too many. It reports false
// if the new one has to be closed.
func (t *connTable) add(now time.Time, c *Conn) bool {
	t.mu.Lock()
	if len(t.conns) < t.max {
		t.conns[c] = struct{}{}
		t.mu.Unlock()
		return true
	}
	full := len(t.conns) >= t.max+t.max/leavingShare
	views := make([]connView, 0, len(t.conns))
	conns := make([]*Conn, 0, len(t.conns))
	for other := range t.conns {
		views, conns = append(views, other.view()), append(conns, other)
	}
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	// A request may have arrived on the chosen connection meanwhile.
	i := chooseClosed(now, views)
	roomMade := i >= 0 && conns[i].giveWay(views[i].phase)
	if full {
		roomMade = closeLongestLeaving(conns)
	}
	if !roomMade {
		t.remove(c)
		t.count(&t.refused)
		return false
	}
	t.count(&t.closed)
	return true
}

// closeLongestLeaving closes the connection that has waited longest among those that are to leave.
// Their readers get too little processor time to do it. It reports false if there is none.
func closeLongestLeaving(conns []*Conn) bool {
	var longest *Conn
	for _, c := range conns {
		if phase(c.phase.Load()) == phaseLeaving && (longest == nil || c.since.Load() < longest.since.Load()) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	longest.Close()
	return true
}

func (t *connTable) remove(c *Conn) {
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
}

// all returns the open connections.
func (t *connTable) all() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*Conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns
}

// idleGrace is how long after its idle timeout a connection is closed. The client counts the timeout
// from when it receives the answer and may send a request just before its end. The answer and the
// request may each be on their way, or wait in this process, for as long as the caller waits.
const idleGrace = 5 * time.Second

// A sweep that is maxSweepGap after the last one is late: the process was paused or lacks processor
// time, so that requests that have arrived may be unread for another catchUpDelay.
const (
	maxSweepGap  = 2 * sweepInterval
	catchUpDelay = sweepInterval
)

// isLate reports whether requests may have arrived in time that the process has not read.
func (t *connTable) isLate(now time.Time) bool {
	if !t.lastSweep.IsZero() && now.Sub(t.lastSweep) > maxSweepGap {
		t.readUntil = now.Add(catchUpDelay)
	}
	t.lastSweep = now
	return now.Before(t.readUntil)
}

// sweep closes the connections that have waited longer than the limits allow. Reads of bodies are
// interrupted, so that their requests are answered.
func (t *connTable) sweep(now time.Time, limits RequestLimits) {
	if t.isLate(now) {
		return
	}
	for _, c := range t.all() {
		v := c.view()
		waited := now.Sub(v.since)
		began, writes := c.writesSince()
		switch {
		case writes && now.Sub(began) > writeTimeout:
			t.count(&t.timedOut)
			c.Close()
		case v.phase == phaseIdle && waited > limits.IdleTimeout+idleGrace:
			if c.leave(phaseIdle) {
				t.count(&t.idle)
			}
		case v.phase == phaseHead && waited > limits.HeaderTimeout:
			if c.leave(phaseHead) {
				t.count(&t.timedOut)
			}
		case v.phase == phaseBody && waited > bodyTimeout && !c.interrupted.Load():
			t.count(&t.timedOut)
			c.interrupt()
		}
	}
}

// count adds one to a counter of the table.
func (t *connTable) count(counter *uint64) {
	t.mu.Lock()
	*counter++
	t.mu.Unlock()
}
