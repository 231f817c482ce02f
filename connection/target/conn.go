package target

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSealed is returned by Write on a sealed connection.
var errSealed = errors.New("connection was given up before the request was written")

// countingConn counts the bytes written to a connection. The count distinguishes
// a request of which nothing was sent from one that may have arrived.
type countingConn struct {
	net.Conn

	mu        sync.Mutex
	byteCount int
	sealed    bool
}

// Write counts the bytes before it writes them, so that a concurrent
// sealIfUnchanged does not miss bytes that are being sent. Bytes of a write that
// sent nothing are subtracted again. Write fails on a sealed connection.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.count(len(p)) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if n == 0 {
		c.mu.Lock()
		c.byteCount -= len(p)
		c.mu.Unlock()
	}
	return n, err
}

// count adds n to the byte count. It reports false if the connection is sealed.
func (c *countingConn) count(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.byteCount += n
	return true
}

// countedBytes returns the number of bytes written or being written.
func (c *countingConn) countedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byteCount
}

// sealIfUnchanged reports whether nothing was written since the count was
// before. If so, it seals the connection: every later write fails.
func (c *countingConn) sealIfUnchanged(before int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byteCount != before {
		return false
	}
	c.sealed = true
	return true
}
