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

// recorder takes the messages of one connection.
type recorder struct {
	mu       sync.Mutex
	received []wire.Message
	closed   chan error
}

func newRecorder() *recorder { return &recorder{closed: make(chan error, 1)} }

func (r *recorder) Received(m wire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, m)
}

func (r *recorder) Closed(err error) { r.closed <- err }

// failingListener fails some times before it accepts.
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

// Guards against a process that ends because it had no descriptor free for a
// moment, or because a peer left before it was accepted.
func TestServeOutlivesTransientErrors(t *testing.T) {
	l := &failingListener{Listener: listen(t), failures: []error{syscall.EMFILE, syscall.ECONNABORTED}}
	opened := make(chan bool, 1)
	served := make(chan error, 1)
	go func() {
		served <- Serve(l, func(*Conn) Handler { opened <- true; return newRecorder() })
	}()
	conn, err := Dial(t.Context(), l.Addr().String(), func(*Conn) Handler { return newRecorder() })
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	select {
	case <-opened:
	case err := <-served:
		t.Fatalf("Serve has ended: %v", err)
	}
	l.Listener.Close()
	if err := <-served; err != nil {
		t.Errorf("Serve ended with %v after the listener was closed", err)
	}
}

// Guards against a listener that has failed for good and is asked without end.
func TestServeEndsWithItsListener(t *testing.T) {
	l := &failingListener{Listener: listen(t), failures: []error{syscall.EINVAL}}
	if err := Serve(l, func(*Conn) Handler { return newRecorder() }); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("Serve ended with %v", err)
	}
}

// Guards against messages that are lost, changed or out of order, and against a
// handler that is not told of the end.
func TestMessagesArriveInOrder(t *testing.T) {
	l := listen(t)
	server := newRecorder()
	go Serve(l, func(*Conn) Handler { return server })
	client := newRecorder()
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
		t.Error("the end of the connection has no cause")
	}
	<-client.closed
	if err := conn.Send(&wire.Orders{}); err == nil {
		t.Error("a closed connection takes a message")
	}
}
