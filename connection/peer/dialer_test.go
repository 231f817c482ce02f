package peer

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Guards against a dialer that does not report a failed dial, or that stops
// dialling after it.
func TestDialerReportsEachFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failures := make(chan string, 2)
	d := &Dialer{Identity: &Identity{}, Hello: func() wire.Hello { return wire.Hello{} },
		Addresses:   func() []string { return []string{"127.0.0.1:0"} },
		OnDialError: func(addr string, err error) { failures <- addr }}
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	for range 2 {
		if addr := <-failures; addr != "127.0.0.1:0" {
			t.Fatalf("reported failure of %s, want 127.0.0.1:0", addr)
		}
	}
	cancel()
	if err := <-done; err != context.Canceled {
		t.Fatalf("Run returned %v, want context.Canceled", err)
	}
}

// rejectingHandler rejects every connection with ErrNotNeeded.
type rejectingHandler struct{ *recordingHandler }

func (rejectingHandler) Connected(*Conn) error {
	return errors.Mark(errors.New("connected already"), ErrNotNeeded)
}

// Guards against reporting a reachable peer as unreachable because it closed a
// connection that it did not need. The dialling side may receive the close during
// Dial or after it has received the hello.
func TestUnneededConnectionIsNotADialFailure(t *testing.T) {
	files := issueCertificate(t, newTestAuthority(t), t.TempDir(), "own", time.Now().Add(time.Hour))
	hello := wire.Hello{Role: wire.RoleEntry, Name: "own"}
	listener, err := Listen("127.0.0.1:0", loadIdentity(t, files).TLS(), func() wire.Hello { return hello }, rejectingHandler{newRecordingHandler()})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go listener.Serve(t.Context())
	events := newRecordingHandler()
	_, err = Dial(t.Context(), listener.Addr(), loadIdentity(t, files).TLS(), hello, events)
	if err == nil {
		events.requireEvent(t, "disconnected own")
	} else if !errors.Is(err, ErrNotNeeded) {
		t.Errorf("Dial returned %v, want ErrNotNeeded", err)
	}
	closed := &quic.ApplicationError{Remote: true, ErrorCode: codeNotNeeded}
	if !errors.Is(markNotNeeded(closed), ErrNotNeeded) {
		t.Error("a close with codeNotNeeded is not marked ErrNotNeeded")
	}
	if errors.Is(markNotNeeded(&quic.ApplicationError{Remote: true}), ErrNotNeeded) {
		t.Error("a close with another code is marked ErrNotNeeded")
	}
}
