package peer

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Guards against a dialer that keeps a failure to itself, or that gives up after
// it.
func TestDialerReportsEachFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failures := make(chan string, 2)
	d := &Dialer{Identity: &Identity{}, Hello: func() wire.Hello { return wire.Hello{} },
		Wanted: func() []string { return []string{"127.0.0.1:0"} },
		Failed: func(addr string, err error) { failures <- addr }}
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	for range 2 {
		if addr := <-failures; addr != "127.0.0.1:0" {
			t.Fatalf("failure of %s", addr)
		}
	}
	cancel()
	if err := <-done; err != context.Canceled {
		t.Fatalf("Run ended with %v", err)
	}
}

// notNeeded refuses every connection as one that it does not need.
type notNeeded struct{ *recorder }

func (notNeeded) Connected(*Conn) error {
	return errors.Mark(errors.New("connected already"), ErrNotNeeded)
}

// Guards against a reachable peer that counts as unreachable because it closed a
// connection that it did not need. The close may also come after the hello.
func TestConnectionNotNeeded(t *testing.T) {
	files := issue(t, newTestAuthority(t), t.TempDir(), "own", time.Now().Add(time.Hour))
	hello := wire.Hello{Role: wire.RoleEntry, Name: "own"}
	listener, err := Listen("127.0.0.1:0", load(t, files).TLS(), func() wire.Hello { return hello }, notNeeded{newRecorder()})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go listener.Serve(t.Context())
	events := newRecorder()
	_, err = Dial(t.Context(), listener.Addr(), load(t, files).TLS(), hello, events)
	if err == nil {
		events.mustSee(t, "disconnected own")
	} else if !errors.Is(err, ErrNotNeeded) {
		t.Errorf("Dial ended with %v", err)
	}
	closed := &quic.ApplicationError{Remote: true, ErrorCode: codeNotNeeded}
	if !errors.Is(markNotNeeded(closed), ErrNotNeeded) {
		t.Error("the close of a connection that is not needed is not recognised")
	}
	if errors.Is(markNotNeeded(&quic.ApplicationError{Remote: true}), ErrNotNeeded) {
		t.Error("any other close counts as a connection that is not needed")
	}
}
