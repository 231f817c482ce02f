// Package peer connects entries and agents over QUIC with mutual TLS. A
// connection carries one ordered stream of messages in each direction. Both
// directions are closed when no packet has arrived for IdleTimeout.
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

// Timeouts and intervals of connections.
const (
	// IdleTimeout is the time without a packet from the peer after which a
	// connection is closed. It is shorter than the dispatch lease, so that
	// messages still buffered for a silent peer are discarded before the lease
	// ends. QUIC counts it from the first packet sent after the last one received. If
	// only keep-alive packets are sent, that is up to keepAliveInterval later.
	IdleTimeout = 2 * time.Second
	// keepAliveInterval is the time without other packets after which QUIC sends
	// a keep-alive packet.
	keepAliveInterval = 500 * time.Millisecond
	// handshakeTimeout bounds the QUIC handshake and the wait for the hello.
	handshakeTimeout = 2 * time.Second
)

const (
	// readBufferBytes is enough for small messages; larger payloads bypass the
	// buffer. An entry has one buffer per agent.
	readBufferBytes = 4 << 10
	// maxQueuedBytes bounds the send queue of a connection.
	maxQueuedBytes = 64 << 20
	// alpnProtocol is the application protocol in the TLS handshake.
	alpnProtocol = "azurerouter/1"
)

// ErrNotNeeded marks the error with which Handler.Connected rejects a connection
// to a reachable peer that is already connected or is this process itself. Dial at
// the other side then returns an error with the same mark.
var ErrNotNeeded = errors.New("connection not needed")

// codeNotNeeded is the QUIC error code that stands for ErrNotNeeded.
const codeNotNeeded quic.ApplicationErrorCode = 2

// ErrClosed marks the error of Send after the connection has ended.
var ErrClosed = outbox.ErrClosed

// Handler receives the events of connections. For one connection, Received and
// Disconnected are called one after the other from its read goroutine.
type Handler interface {
	// Connected is called after both sides have sent wire.Hello and before the
	// first Received. If it returns an error, the connection is closed.
	Connected(c *Conn) error
	// Received is called for each message. It is not called for messages that
	// are still buffered when this side closes the connection.
	Received(c *Conn, m wire.Message)
	// Disconnected is called once after the last Received of a connection for
	// which Connected returned nil.
	Disconnected(c *Conn, err error)
}

// Conn is one connection to another process.
type Conn struct {
	// Peer is the hello of the other side.
	Peer wire.Hello

	connection *quic.Conn
	stream     *quic.Stream
	reader     *bufio.Reader

	outbox *outbox.Outbox
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       IdleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   1,
		// A negative value allows none: a peer could otherwise open streams that
		// are never read.
		MaxIncomingUniStreams: -1,
	}
}

// Dial connects to addr, exchanges hellos and serves the connection in the
// background. The handler may be called before Dial returns. The error contains
// addr, unless it is the error of Handler.Connected.
func Dial(ctx context.Context, addr string, tlsConfig *tls.Config, hello wire.Hello, h Handler) (*Conn, error) {
	connection, err := quic.DialAddr(ctx, addr, withALPN(tlsConfig), quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		connection.CloseWithError(0, "")
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	c := newConn(connection, stream)
	if err := c.sendHello(hello); err != nil {
		c.Close()
		return nil, errors.Wrapf(err, "hello to %s", addr)
	}
	if err := c.receiveHello(); err != nil {
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

// markNotNeeded marks err with ErrNotNeeded if the other side closed the
// connection with codeNotNeeded.
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

func (c *Conn) sendHello(hello wire.Hello) error {
	frame, err := wire.Append(nil, &hello)
	if err != nil {
		return err
	}
	_, err = c.stream.Write(frame)
	return err
}

func (c *Conn) receiveHello() error {
	c.stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	m, err := wire.Read(c.reader)
	if err != nil {
		return err
	}
	c.stream.SetReadDeadline(time.Time{})
	hello, ok := m.(*wire.Hello)
	if !ok {
		return errors.Newf("first message is %s, expected hello", wire.KindName(m))
	}
	c.Peer = *hello
	return nil
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.connection.RemoteAddr() }

// Send queues a message without waiting for the network. Messages arrive in the
// order of the calls, without gaps until the connection ends. The error is marked
// ErrClosed if the connection has ended, or if the queue is full, which closes the
// connection; it is marked wire.ErrFrame if the message is too large.
func (c *Conn) Send(m wire.Message) error {
	err := c.outbox.Put(m)
	if errors.Is(err, ErrClosed) {
		c.connection.CloseWithError(1, "send queue closed")
	}
	return errors.Wrapf(err, "peer %s", c.Peer.Name)
}

// Close closes the connection. Queued messages may be lost.
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
	// Closing the connection after a failed write makes readLoop call
	// Handler.Disconnected.
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
