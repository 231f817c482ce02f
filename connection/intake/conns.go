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
	// phaseClosed: the connection is closed for another one. No other phase follows.
	phaseClosed
)

// headAllowance is the age up to which a new connection is closed only after idle ones.
const headAllowance = 250 * time.Millisecond

// connView is what the choice of the connection to close depends on.
type connView struct {
	address netip.Addr
	phase   phase
	since   time.Time
}

// rank orders connections by how readily they are closed; 0 means never.
func (v connView) rank(now time.Time) int {
	switch {
	case v.phase == phaseBusy || v.phase == phaseClosed:
		return 0
	case v.phase == phaseIdle:
		return 2
	case now.Sub(v.since) > headAllowance:
		return 3
	}
	return 1
}

// chooseClosed returns the index of the connection to close for a newcomer, or -1 if the newcomer
// has to be closed. Connections with a part of a request come before idle ones, and those before
// new ones. Among equals one of the address with the most connections is chosen, the one that has
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
	// once, timedOut those on which a request did not arrive in time.
	closed, refused, timedOut uint64
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
	views := make([]connView, 0, len(t.conns))
	conns := make([]*Conn, 0, len(t.conns))
	for other := range t.conns {
		views, conns = append(views, other.view()), append(conns, other)
	}
	i := chooseClosed(now, views)
	if i < 0 {
		t.refused++
		t.mu.Unlock()
		return false
	}
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	if conns[i].closeInPhase(views[i].phase) {
		t.count(&t.closed)
		return true
	}
	// A request has arrived there meanwhile.
	t.remove(c)
	t.count(&t.refused)
	return false
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

// sweep closes the connections that have waited longer than the limits allow. Reads of bodies are
// interrupted, so that their requests are answered.
func (t *connTable) sweep(now time.Time, limits RequestLimits) {
	for _, c := range t.all() {
		v := c.view()
		waited := now.Sub(v.since)
		began, writes := c.writesSince()
		switch {
		case writes && now.Sub(began) > writeTimeout:
			t.count(&t.timedOut)
			c.Close()
		case v.phase == phaseIdle && waited > limits.IdleTimeout:
			c.closeInPhase(phaseIdle)
		case v.phase == phaseHead && waited > limits.HeaderTimeout:
			if c.closeInPhase(phaseHead) {
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
