// Package stream connects the processes of the system over TCP inside the
// platform's private network. A connection carries one ordered sequence of
// messages in each direction and ends as a whole when the peer has been silent
// for IdleTimeout.
package stream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/outbox"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// Times of a connection.
const (
	// IdleTimeout ends a connection whose peer sends nothing. It is several
	// times the interval at which both sides send.
	IdleTimeout = 4 * wire.SessionTTL
	// dialTimeout is shorter than the second after which a lost opening packet
	// is sent again: a new attempt finds a machine that has come back sooner.
	dialTimeout  = 200 * time.Millisecond
	writeTimeout = 2 * time.Second
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 20 * time.Millisecond
)

const (
	readBufferBytes = 4 << 10
	maxQueuedBytes  = 8 << 20
)

// Handler receives what happens on one connection, in order, from the
// connection's own goroutine.
type Handler interface {
	// Received is called for each message of the peer.
	Received(m wire.Message)
	// Closed is called once, after the last Received.
	Closed(err error)
}

// Conn is one connection to another process.
type Conn struct {
	tcp    net.Conn
	outbox *outbox.Outbox
	once   sync.Once
}

// Dial connects to addr. open is called with the new connection before anything
// is read from it.
func Dial(ctx context.Context, addr string, open func(*Conn) Handler) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	tcp, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	return start(tcp, open), nil
}

// Serve accepts connections until the listener is closed.
func Serve(listener net.Listener, open func(*Conn) Handler) error {
	for {
		tcp, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTransient(err) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return errors.Wrapf(err, "accept on %s", listener.Addr())
		}
		start(tcp, open)
	}
}

// isTransient reports whether an error of Accept passes by itself: the peer has
// left already, or the process has no descriptor free for the moment.
func isTransient(err error) bool {
	for _, transient := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.EINTR} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

func start(tcp net.Conn, open func(*Conn) Handler) *Conn {
	c := &Conn{tcp: tcp, outbox: outbox.New(maxQueuedBytes)}
	h := open(c)
	go c.write()
	go c.read(h)
	return c
}

// RemoteAddr returns the address of the other side.
func (c *Conn) RemoteAddr() string { return c.tcp.RemoteAddr().String() }

// Send queues a message. It does not wait for the network. After an error the
// connection is closed.
func (c *Conn) Send(m wire.Message) error {
	err := c.outbox.Put(m)
	if err != nil {
		c.Close()
	}
	return errors.Wrapf(err, "peer %s", c.RemoteAddr())
}

// Close ends the connection. Queued messages may be lost.
func (c *Conn) Close() {
	c.once.Do(func() {
		c.outbox.Close()
		c.tcp.Close()
	})
}

// deadlineWriter bounds each write, because a peer that is cut off would block
// it without end.
type deadlineWriter struct{ net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

func (c *Conn) write() {
	// The reader reports why a connection ended; a failed write ends it.
	if err := c.outbox.Run(deadlineWriter{c.tcp}); err != nil {
		c.Close()
	}
}

func (c *Conn) read(h Handler) {
	reader := bufio.NewReaderSize(c.tcp, readBufferBytes)
	for {
		m, err := c.next(reader)
		if err != nil {
			c.Close()
			h.Closed(errors.Wrapf(err, "peer %s", c.RemoteAddr()))
			return
		}
		h.Received(m)
	}
}

func (c *Conn) next(reader *bufio.Reader) (wire.Message, error) {
	if err := c.tcp.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return nil, err
	}
	m, err := wire.Read(reader)
	if err == nil && c.outbox.Closed() {
		err = outbox.ErrClosed
	}
	return m, err
}
