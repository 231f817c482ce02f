package peer

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Listener accepts connections from other processes.
type Listener struct {
	quic    *quic.Listener
	hello   func() wire.Hello
	handler Handler

	mu       sync.Mutex
	accepted map[*quic.Conn]struct{}
	closed   bool
}

// Listen binds a listener to addr. Connections are accepted by Serve. hello returns
// the hello that is sent on each of them.
func Listen(addr string, tlsConfig *tls.Config, hello func() wire.Hello, h Handler) (*Listener, error) {
	listener, err := quic.ListenAddr(addr, withALPN(tlsConfig), quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	return &Listener{quic: listener, hello: hello, handler: h, accepted: make(map[*quic.Conn]struct{})}, nil
}

// Addr returns the address to which the listener is bound.
func (l *Listener) Addr() string { return l.quic.Addr().String() }

// Serve accepts connections until ctx ends or Close is called. It always returns
// an error.
func (l *Listener) Serve(ctx context.Context) error {
	for {
		connection, err := l.quic.Accept(ctx)
		if err != nil {
			return errors.Wrapf(err, "accept on %s", l.Addr())
		}
		go l.accept(ctx, connection)
	}
}

// Close stops accepting connections and closes those that were accepted.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	accepted := l.accepted
	l.accepted = nil
	l.mu.Unlock()
	// Closing the QUIC listener does not close its accepted connections.
	for connection := range accepted {
		connection.CloseWithError(0, "")
	}
	return l.quic.Close()
}

// track records the connection in accepted until it ends. It reports false if
// the listener has been closed.
func (l *Listener) track(connection *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.accepted[connection] = struct{}{}
	context.AfterFunc(connection.Context(), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.accepted, connection)
	})
	return true
}

func (l *Listener) accept(ctx context.Context, connection *quic.Conn) {
	if !l.track(connection) {
		connection.CloseWithError(0, "")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := connection.AcceptStream(ctx)
	if err != nil {
		connection.CloseWithError(1, "no stream")
		return
	}
	c := newConn(connection, stream)
	if c.receiveHello() != nil || c.sendHello(l.hello()) != nil {
		c.Close()
		return
	}
	if err := l.handler.Connected(c); err != nil {
		if errors.Is(err, ErrNotNeeded) {
			connection.CloseWithError(codeNotNeeded, ErrNotNeeded.Error())
		}
		c.Close()
		return
	}
	c.start(l.handler)
}

func withALPN(config *tls.Config) *tls.Config {
	config = config.Clone()
	config.NextProtos = []string{alpnProtocol}
	return config
}
