package intake

import (
	"time"

	"golang.org/x/sys/unix"
)

// leave makes the reader of the connection close it, unless a request has arrived: whether the
// process has read one only the reader knows. It reports false if the connection has left the phase.
func (c *Conn) leave(from phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.phase.CompareAndSwap(int32(from), int32(phaseLeaving)) {
		return false
	}
	// A connection that is closed already has no deadline.
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// stay undoes leave, after the connection has another phase.
func (c *Conn) stay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted.Load() && phase(c.phase.Load()) != phaseLeaving {
		// As in leave.
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
}

// giveWay ends the connection for another one, as leave does. A request whose body is under way is
// answered. It reports false if the connection has left the phase.
func (c *Conn) giveWay(from phase) bool {
	switch {
	case from == phaseBody:
		if phase(c.phase.Load()) != phaseBody {
			return false
		}
		c.interrupt()
	case !c.leave(from):
		return false
	case c.listener.options.Raw:
		// A first message may be large, and the other process connects again.
		c.Close()
	}
	return true
}

// readArrived reads the bytes that have arrived, although the deadline of reads has passed. It
// returns 0 if there are none.
func (c *Conn) readArrived(p []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error of the connection is that of the read before.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.Read(int(fd), p) })
	return max(n, 0)
}
