package stream

import (
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// recordingHandler records the messages and the end of one connection.
type recordingHandler struct {
	mu       sync.Mutex
	received []wire.Message
	closed   chan error
}

func newRecordingHandler() *recordingHandler { return &recordingHandler{closed: make(chan error, 1)} }

func (r *recordingHandler) Received(m wire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, m)
}

func (r *recordingHandler) Closed(err error) { r.closed <- err }

// failingListener returns each of failures from one call of Accept before it
// accepts connections.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against a server that stops accepting connections because no file
// descriptor was free for a moment, or because a peer closed its connection
// before it was accepted.
func TestServeContinuesAfterTransientAcceptErrors(t *testing.T) {
	l := &failingListener{Listener: listen(t), failures: []error{syscall.EMFILE, syscall.ECONNABORTED}}
	opened := make(chan bool, 1)
	served := make(chan error, 1)
	go func() {
		served <- Serve(l, func(*Conn) Handler { opened <- true; return newRecordingHandler() })
	}()
	conn, err := Dial(t.Context(), l.Addr().String(), func(*Conn) Handler { return newRecordingHandler() })
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	select {
	case <-opened:
	case err := <-served:
		t.Fatalf("Serve returned after a transient error: %v", err)
	}
	l.Listener.Close()
	if err := <-served; err != nil {
		t.Errorf("Serve returned %v after the listener was closed, want nil", err)
	}
}

// Guards against an endless loop of Accept calls on a listener that has failed
// permanently.
func TestServeReturnsPermanentAcceptError(t *testing.T) {
	l := &failingListener{Listener: listen(t), failures: []error{syscall.EINVAL}}
	if err := Serve(l, func(*Conn) Handler { return newRecordingHandler() }); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("Serve returned %v, want EINVAL", err)
	}
}

// Guards against messages that are lost, changed or delivered out of order, and
// against a handler whose Closed method is not called.
func TestMessagesArriveInOrder(t *testing.T) {
	l := listen(t)
	server := newRecordingHandler()
	go Serve(l, func(*Conn) Handler { return server })
	client := newRecordingHandler()
	conn, err := Dial(t.Context(), l.Addr().String(), func(*Conn) Handler { return client })
	if err != nil {
		t.Fatal(err)
	}
	const messages = 100
	for n := range messages {
		if err := conn.Send(&wire.Orders{Sequence: uint64(n + 1)}); err != nil {
			t.Fatal(err)
		}
	}
	for received := 0; received < messages; runtime.Gosched() {
		server.mu.Lock()
		received = len(server.received)
		server.mu.Unlock()
	}
	for n, m := range server.received {
		if got := m.(*wire.Orders).Sequence; got != uint64(n+1) {
			t.Fatalf("message %d has sequence %d", n, got)
		}
	}
	conn.Close()
	if err := <-server.closed; err == nil {
		t.Error("Closed was called without an error")
	}
	<-client.closed
	if err := conn.Send(&wire.Orders{}); err == nil {
		t.Error("Send on a closed connection returned no error")
	}
}
