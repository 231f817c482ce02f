package target

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var errSealed = errors.New("connection was given up before the request was written")

// countingConn counts the bytes handed to a connection, so that a request of
// which nothing was sent can be told from one that may have arrived.
type countingConn struct {
	net.Conn

	mu     sync.Mutex
	bytes  int
	sealed bool
}

// Write counts before it writes: a concurrent seal must not miss bytes that
// have left but are not counted yet.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.begin(len(p)) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if n == 0 {
		c.mu.Lock()
		c.bytes -= len(p)
		c.mu.Unlock()
	}
	return n, err
}

func (c *countingConn) begin(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.bytes += n
	return true
}

func (c *countingConn) attempted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// seal reports whether nothing was written since the count was before. If so,
// every later write fails.
func (c *countingConn) seal(before int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes != before {
		return false
	}
	c.sealed = true
	return true
}
