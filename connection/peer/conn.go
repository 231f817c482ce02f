// Package peer connects the processes of the system over QUIC with mutual TLS.
// A connection carries one ordered stream of messages in each direction; it is
// closed as a whole when the peer has been silent for IdleTimeout.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/azurerouter/azurerouter/connection/outbox"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// Times of a connection.
const (
	// IdleTimeout is shorter than the dispatch lease, so that what is still
	// buffered for a silent peer is discarded before the lease ends. QUIC counts
	// it from the first packet sent after the last one received, which a
	// keep-alive delays by up to keepAlive.
	IdleTimeout      = 2 * time.Second
	keepAlive        = 500 * time.Millisecond
	handshakeTimeout = 2 * time.Second
)

const (
	// readBufferBytes holds small messages; larger payloads are read past the
	// buffer. An entry holds one buffer per agent.
	readBufferBytes     = 4 << 10
	maxQueuedBytes      = 64 << 20
	applicationProtocol = "azurerouter/1"
)

// ErrNotNeeded marks the error with which Handler.Connected ends a connection to
// a reachable peer that is connected already or is this process itself. Dial
// returns an error of the same mark at the other side.
var ErrNotNeeded = errors.New("connection not needed")

// codeNotNeeded carries ErrNotNeeded to the other side.
const codeNotNeeded quic.ApplicationErrorCode = 2

// ErrClosed is returned by Send after the connection has ended.
var ErrClosed = outbox.ErrClosed

// Handler receives what happens on connections. Received and Disconnected are
// called from the connection's own goroutine, in order.
type Handler interface {
	// Connected is called after both sides have said hello, before the first
	// Received. An error closes the connection.
	Connected(c *Conn) error
	// Received is not called for messages that are still buffered when this
	// side has closed the connection.
	Received(c *Conn, m wire.Message)
	// Disconnected is called once after the last Received of a connection for
	// which Connected returned nil.
	Disconnected(c *Conn, err error)
}

// Conn is one connection to another process.
type Conn struct {
	// Peer is what the other side said in its hello.
	Peer wire.Hello

	connection *quic.Conn
	stream     *quic.Stream
	reader     *bufio.Reader

	outbox *outbox.Outbox
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       IdleTimeout,
		KeepAlivePeriod:      keepAlive,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   1,
		// Negative means none: a peer could otherwise open streams that nobody
		// reads.
		MaxIncomingUniStreams: -1,
	}
}

// Dial connects to addr, exchanges hellos and serves the connection in the
// background. The handler may be called before Dial returns. The error names
// the peer's address.
func Dial(ctx context.Context, addr string, tlsConfig *tls.Config, hello wire.Hello, h Handler) (*Conn, error) {
	connection, err := quic.DialAddr(ctx, addr, withProtocol(tlsConfig), quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		connection.CloseWithError(0, "")
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	c := newConn(connection, stream)
	if err := c.sayHello(hello); err != nil {
		c.Close()
		return nil, errors.Wrapf(err, "hello to %s", addr)
	}
	if err := c.hearHello(); err != nil {
		c.Close()
		return nil, errors.Wrapf(markNotNeeded(err), "hello from %s", addr)
	}
	if err := h.Connected(c); err != nil {
		c.Close()
		return nil, err
	}
	c.start(h)
	return c, nil
}

func markNotNeeded(err error) error {
	var closed *quic.ApplicationError
	if errors.As(err, &closed) && closed.Remote && closed.ErrorCode == codeNotNeeded {
		return errors.Mark(err, ErrNotNeeded)
	}
	return err
}

func newConn(connection *quic.Conn, stream *quic.Stream) *Conn {
	return &Conn{connection: connection, stream: stream,
		reader: bufio.NewReaderSize(stream, readBufferBytes), outbox: outbox.New(maxQueuedBytes)}
}

func (c *Conn) sayHello(hello wire.Hello) error {
	frame, err := wire.Append(nil, &hello)
	if err != nil {
		return err
	}
	_, err = c.stream.Write(frame)
	return err
}

func (c *Conn) hearHello() error {
	c.stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	m, err := wire.Read(c.reader)
	if err != nil {
		return err
	}
	c.stream.SetReadDeadline(time.Time{})
	hello, ok := m.(*wire.Hello)
	if !ok {
		return errors.Newf("first message is %s, not hello", wire.KindName(m))
	}
	c.Peer = *hello
	return nil
}

// RemoteAddr returns the address of the other side.
func (c *Conn) RemoteAddr() net.Addr { return c.connection.RemoteAddr() }

// Send queues a message. Messages arrive in the order of the calls, or the
// connection ends. Send does not wait for the network.
func (c *Conn) Send(m wire.Message) error {
	err := c.outbox.Put(m)
	if errors.Is(err, ErrClosed) {
		c.connection.CloseWithError(1, "send queue closed")
	}
	return errors.Wrapf(err, "peer %s", c.Peer.Name)
}

// Close ends the connection. Queued messages may be lost.
func (c *Conn) Close() {
	c.outbox.Close()
	c.connection.CloseWithError(0, "")
}

func (c *Conn) start(h Handler) {
	context.AfterFunc(c.connection.Context(), c.outbox.Close)
	go c.writeLoop()
	go c.readLoop(h)
}

func (c *Conn) writeLoop() {
	// The reader reports why a connection ended; a failed write ends it.
	if err := c.outbox.Run(c.stream); err != nil {
		c.Close()
	}
}

func (c *Conn) readLoop(h Handler) {
	for {
		m, err := wire.Read(c.reader)
		if err == nil && c.outbox.Closed() {
			err = ErrClosed
		}
		if err != nil {
			c.Close()
			h.Disconnected(c, err)
			return
		}
		h.Received(c, m)
	}
}
