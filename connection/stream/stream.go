// Package stream connects entries and agents over TCP inside the platform's
// private network. A connection carries one ordered sequence of messages in each
// direction. Both directions are closed when no message has arrived for
// a timeout.
package stream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/outbox"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// Timeouts and delays of connections.
const (
	// MinIdleTimeout is the shortest time without a complete message from the peer
	// after which a connection is closed.
	MinIdleTimeout = 4 * wire.SessionTTL
	// idlePauses is the number of pauses between messages of the peer after which a
	// connection is closed.
	idlePauses = 3
	// dialTimeout is shorter than the second after which TCP resends a lost SYN
	// packet: a new attempt reaches a machine that has just come back sooner.
	dialTimeout = 200 * time.Millisecond
	// dialAttemptInterval is the time after which a dial without an answer makes another
	// attempt beside it. The SYN packets to a machine that is starting are lost, so that it is
	// reached this long after its start at the latest.
	dialAttemptInterval = 40 * time.Millisecond
	// writeTimeout bounds one write to the peer.
	writeTimeout = 2 * time.Second
	// acceptRetryDelay is the pause after a transient error of Accept.
	acceptRetryDelay = 20 * time.Millisecond
)

const (
	readBufferBytes = 4 << 10
	// maxQueuedBytes bounds the send queue of a connection.
	maxQueuedBytes = 8 << 20
)

// Handler receives the messages and the end of one connection. Its methods are
// called one after the other from the connection's read goroutine.
type Handler interface {
	// Received is called for each message of the peer.
	Received(m wire.Message)
	// Closed is called once after the last Received, with the reason why the
	// connection ended.
	Closed(err error)
}

// Conn is one connection to another process.
type Conn struct {
	tcp       net.Conn
	outbox    *outbox.Outbox
	closeOnce sync.Once
	// idleTimeout is the time without a complete message from the peer after which
	// the connection is closed, in nanoseconds.
	idleTimeout atomic.Int64
}

// Dial connects to addr. newHandler is called with the new connection before
// anything is read from it. The error contains addr.
func Dial(ctx context.Context, addr string, newHandler func(*Conn) Handler) (*Conn, error) {
	tcp, err := dialTCP(ctx, addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	return startConn(tcp, newHandler), nil
}

// Serve accepts connections and calls newHandler for each of them before
// anything is read from it. It returns nil once the listener is closed, and any
// other permanent error of Accept.
func Serve(listener net.Listener, newHandler func(*Conn) Handler) error {
	for {
		tcp, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTransient(err) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return errors.Wrapf(err, "accept on %s", listener.Addr())
		}
		startConn(tcp, newHandler)
	}
}

// isTransient reports whether Accept may succeed if it is called again: the peer
// has already closed the connection, the call was interrupted, or no file
// descriptor is free at the moment.
func isTransient(err error) bool {
	for _, transient := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.EINTR} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// limitedConn is a connection whose listener bounds what arrives before the first message.
type limitedConn interface {
	// Established ends these bounds.
	Established()
}

func startConn(tcp net.Conn, newHandler func(*Conn) Handler) *Conn {
	c := &Conn{tcp: tcp, outbox: outbox.New(maxQueuedBytes)}
	c.SetMessagePause(0)
	h := newHandler(c)
	go c.writeLoop()
	go c.readLoop(h)
	return c
}

// SetMessagePause sets the longest pause between two messages of the peer. The
// connection is closed after several of them without a message, and not before
// MinIdleTimeout. It takes effect with the next message.
func (c *Conn) SetMessagePause(pause time.Duration) {
	c.idleTimeout.Store(int64(max(MinIdleTimeout, idlePauses*pause)))
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.tcp.RemoteAddr().String() }

// Send queues a message without waiting for the network. If it returns an error
// it has closed the connection.
func (c *Conn) Send(m wire.Message) error {
	err := c.outbox.Put(m)
	if err != nil {
		c.Close()
	}
	return errors.Wrapf(err, "peer %s", c.RemoteAddr())
}

// Close closes the connection. Queued messages may be lost.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		c.outbox.Close()
		c.tcp.Close()
	})
}

// deadlineWriter limits each write to writeTimeout. A write to a peer that has
// become unreachable would otherwise block indefinitely.
type deadlineWriter struct{ net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

func (c *Conn) writeLoop() {
	// Closing the connection after a failed write makes readLoop call
	// Handler.Closed.
	if err := c.outbox.Run(deadlineWriter{c.tcp}); err != nil {
		c.Close()
	}
}

func (c *Conn) readLoop(h Handler) {
	reader := bufio.NewReaderSize(c.tcp, readBufferBytes)
	for first := true; ; first = false {
		m, err := c.readMessage(reader)
		if err != nil {
			c.Close()
			h.Closed(errors.Wrapf(err, "peer %s", c.RemoteAddr()))
			return
		}
		if limited, ok := c.tcp.(limitedConn); ok && first {
			limited.Established()
		}
		h.Received(m)
	}
}

func (c *Conn) readMessage(reader *bufio.Reader) (wire.Message, error) {
	if err := c.tcp.SetReadDeadline(time.Now().Add(time.Duration(c.idleTimeout.Load()))); err != nil {
		return nil, err
	}
	m, err := wire.Read(reader)
	if err == nil && c.outbox.Closed() {
		err = outbox.ErrClosed
	}
	return m, err
}
