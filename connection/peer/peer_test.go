package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// eventTimeout bounds the wait for an event that must occur.
const eventTimeout = 20 * time.Second

// recordingHandler is a handler that records its calls in order.
type recordingHandler struct {
	mu        sync.Mutex
	changed   chan struct{}
	events    []string
	conns     []*Conn
	onReceive func(c *Conn)
}

func newRecordingHandler() *recordingHandler { return &recordingHandler{changed: make(chan struct{})} }

func (r *recordingHandler) record(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *recordingHandler) Connected(c *Conn) error {
	r.mu.Lock()
	r.conns = append(r.conns, c)
	r.mu.Unlock()
	r.record("connected " + c.Peer.Name)
	return nil
}

func (r *recordingHandler) Received(c *Conn, m wire.Message) {
	r.record(fmt.Sprintf("%s from %s", messageNumber(m), c.Peer.Name))
	if r.onReceive != nil {
		r.onReceive(c)
	}
}

func (r *recordingHandler) Disconnected(c *Conn, _ error) { r.record("disconnected " + c.Peer.Name) }

func (r *recordingHandler) recordedEvents() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// waitForEvent blocks until the event has been recorded, for at most limit, and
// reports whether it has been.
func (r *recordingHandler) waitForEvent(event string, limit time.Duration) bool {
	deadline := time.After(limit)
	for {
		r.mu.Lock()
		found, changed := slices.Contains(r.events, event), r.changed
		r.mu.Unlock()
		if found {
			return true
		}
		select {
		case <-changed:
		case <-deadline:
			return false
		}
	}
}

func (r *recordingHandler) requireEvent(t *testing.T, event string) {
	t.Helper()
	if !r.waitForEvent(event, eventTimeout) {
		t.Fatalf("no %q in %q", event, r.recordedEvents())
	}
}

func (r *recordingHandler) conn(i int) *Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[i]
}

// numberedMessage returns a message with a number and a body of the given size.
func numberedMessage(n, size int) wire.Message {
	return &wire.Query{ID: uint64(n), Body: make([]byte, size)}
}

func messageNumber(m wire.Message) string { return fmt.Sprint(m.(*wire.Query).ID) }

func newTestAuthority(t *testing.T) *Authority {
	t.Helper()
	// The authority is older than every certificate, so that an expiry error can only
	// concern the certificate.
	authority, err := NewAuthority(time.Now().Add(-3 * time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// issueCertificate writes an identity that is valid until notAfter to dir.
func issueCertificate(t *testing.T, a *Authority, dir, name string, notAfter time.Time) KeyFiles {
	t.Helper()
	files := KeyFiles{Authority: filepath.Join(dir, "authority.pem"), Certificate: filepath.Join(dir, name+".pem"),
		Key: filepath.Join(dir, name+"-key.pem")}
	err := errors.CombineErrors(a.WriteAuthority(files.Authority, filepath.Join(dir, "authority-key.pem")),
		a.Issue(files, name, time.Now().Add(-2*time.Hour), notAfter))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func loadIdentity(t *testing.T, files KeyFiles) *Identity {
	t.Helper()
	id, err := LoadIdentity(files)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func newIdentity(t *testing.T, a *Authority, notAfter time.Time) *Identity {
	t.Helper()
	return loadIdentity(t, issueCertificate(t, a, t.TempDir(), "process", notAfter))
}

func tomorrow() time.Time { return time.Now().Add(24 * time.Hour) }

func listen(t *testing.T, config *tls.Config, h Handler) *Listener {
	t.Helper()
	l, err := Listen("127.0.0.1:0", config, func() wire.Hello { return wire.Hello{Role: wire.RoleEntry, Name: "entry"} }, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go l.Serve(t.Context())
	return l
}

func dial(t *testing.T, addr string, config *tls.Config, name string, h Handler) (*Conn, error) {
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	c, err := Dial(ctx, addr, config, wire.Hello{Role: wire.RoleAgent, Name: name}, h)
	if err == nil {
		t.Cleanup(c.Close)
	}
	return c, err
}

func mustDial(t *testing.T, addr string, config *tls.Config, name string, h Handler) *Conn {
	t.Helper()
	c, err := dial(t, addr, config, name, h)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a process without a certificate of the deployment that dispatches
// tasks to agents, or receives tasks from an entry.
func TestUntrustedPeersAreRejected(t *testing.T) {
	authority, other := newTestAuthority(t), newTestAuthority(t)
	good := newIdentity(t, authority, tomorrow())
	untrusted := map[string]*tls.Config{
		"no certificate":  {InsecureSkipVerify: true, MinVersion: tls.VersionTLS13},
		"other authority": newIdentity(t, other, tomorrow()).TLS(),
		"expired":         newIdentity(t, authority, time.Now().Add(-time.Hour)).TLS(),
	}
	for name, config := range untrusted {
		t.Run(name, func(t *testing.T) {
			config.VerifyConnection = nil // the untrusted peer itself accepts any certificate
			entryEvents, untrustedEvents := newRecordingHandler(), newRecordingHandler()
			entry := listen(t, good.TLS(), entryEvents)
			if _, err := dial(t, entry.Addr(), config, "untrusted", untrustedEvents); err == nil {
				t.Error("the entry accepted the untrusted peer")
			}
			mustDial(t, entry.Addr(), good.TLS(), "agent", newRecordingHandler())
			entryEvents.requireEvent(t, "connected agent")
			if events := entryEvents.recordedEvents(); len(events) != 1 {
				t.Errorf("events at the entry: %q", events)
			}
			if config.GetCertificate == nil {
				return // TLS does not allow a server without a certificate
			}
			if _, err := dial(t, listen(t, config, untrustedEvents).Addr(), good.TLS(), "agent", newRecordingHandler()); err == nil {
				t.Error("the agent accepted the untrusted peer")
			}
		})
	}
}

// Guards against a process that must be restarted to use renewed certificates, and
// against connections that fail while the files are being replaced one by one.
func TestNewConnectionsUseReplacedKeys(t *testing.T) {
	before, after := newTestAuthority(t), newTestAuthority(t)
	dir := t.TempDir()
	id := loadIdentity(t, issueCertificate(t, before, dir, "entry", tomorrow()))
	id.ReloadInterval = 0
	entryEvents := newRecordingHandler()
	entry := listen(t, id.TLS(), entryEvents)
	early, late := newIdentity(t, before, tomorrow()), newIdentity(t, after, tomorrow())
	c := mustDial(t, entry.Addr(), early.TLS(), "early", newRecordingHandler())

	// The key is replaced before its certificate: the earlier pair stays in use.
	halfway := issueCertificate(t, before, t.TempDir(), "other", tomorrow())
	copyFile(t, halfway.Key, filepath.Join(dir, "entry-key.pem"))
	mustDial(t, entry.Addr(), early.TLS(), "halfway", newRecordingHandler())
	if id.ReloadError() == nil {
		t.Error("a key that does not match its certificate is not reported")
	}

	issueCertificate(t, after, dir, "entry", tomorrow())
	mustDial(t, entry.Addr(), late.TLS(), "late", newRecordingHandler())
	if _, err := dial(t, entry.Addr(), early.TLS(), "refused", newRecordingHandler()); err == nil {
		t.Error("a certificate of the replaced authority is still accepted")
	}
	if err := id.ReloadError(); err != nil {
		t.Errorf("ReloadError after both files were replaced: %v", err)
	}
	if err := c.Send(numberedMessage(1, 0)); err != nil {
		t.Errorf("Send on the connection from before the replacement: %v", err)
	}
	entryEvents.requireEvent(t, "1 from early")
}

// Guards against messages that arrive out of order, and against a handler whose
// Disconnected method is called twice or before the last message.
func TestMessagesArriveInOrderBeforeDisconnect(t *testing.T) {
	const messages = 3000
	id := newIdentity(t, newTestAuthority(t), tomorrow())
	entryEvents, agentEvents := newRecordingHandler(), newRecordingHandler()
	entry := listen(t, id.TLS(), entryEvents)
	c := mustDial(t, entry.Addr(), id.TLS(), "agent", agentEvents)
	want := []string{"connected agent"}
	for i := range messages {
		size := 10
		if i%100 == 0 {
			size = 100_000
		}
		if err := c.Send(numberedMessage(i, size)); err != nil {
			t.Fatal(err)
		}
		want = append(want, fmt.Sprintf("%d from agent", i))
	}
	entryEvents.requireEvent(t, want[messages])
	c.Close()
	entryEvents.requireEvent(t, "disconnected agent")
	agentEvents.requireEvent(t, "disconnected entry")
	if err := c.Send(numberedMessage(0, 0)); !errors.Is(err, ErrClosed) {
		t.Errorf("Send on a closed connection: error %v, want ErrClosed", err)
	}
	// Once a later connection is established, the earlier one causes no more events.
	mustDial(t, entry.Addr(), id.TLS(), "second", newRecordingHandler())
	entryEvents.requireEvent(t, "connected second")
	if got := entryEvents.recordedEvents(); !slices.Equal(got, append(want, "disconnected agent", "connected second")) {
		t.Errorf("%d events at the entry, the last are %q", len(got), got[max(0, len(got)-4):])
	}
	if got := agentEvents.recordedEvents(); !slices.Equal(got, []string{"connected entry", "disconnected entry"}) {
		t.Errorf("events at the agent: %q", got)
	}
}

// Guards against messages that are received on a connection after this side has
// closed it, for example dispatches of an entry that was replaced.
func TestNoMessageIsReceivedAfterLocalClose(t *testing.T) {
	id := newIdentity(t, newTestAuthority(t), tomorrow())
	entryEvents := newRecordingHandler()
	entryEvents.onReceive = (*Conn).Close
	c := mustDial(t, listen(t, id.TLS(), entryEvents).Addr(), id.TLS(), "agent", newRecordingHandler())
	var burst []wire.Message // one write carries all messages
	for i := range 101 {
		burst = append(burst, numberedMessage(i, 0))
	}
	c.outbox.Put(burst...)
	entryEvents.requireEvent(t, "disconnected agent")
	if got := entryEvents.recordedEvents(); !slices.Equal(got, []string{"connected agent", "0 from agent", "disconnected agent"}) {
		t.Errorf("%d events: %q", len(got), got)
	}
}

// Guards against peers that detect a stopped entry only after IdleTimeout.
func TestListenerCloseEndsConnections(t *testing.T) {
	id := newIdentity(t, newTestAuthority(t), tomorrow())
	entry := listen(t, id.TLS(), newRecordingHandler())
	ended := make(chan error, 1)
	mustDial(t, entry.Addr(), id.TLS(), "agent", disconnectObserver{ended})
	entry.Close()
	select {
	case err := <-ended:
		var application *quic.ApplicationError
		if !errors.As(err, &application) || !application.Remote {
			t.Errorf("the agent was disconnected with %v, want a close by the remote side", err)
		}
	case <-time.After(eventTimeout):
		t.Error("the connection is still open")
	}
}

type disconnectObserver struct{ ended chan error }

func (disconnectObserver) Connected(*Conn) error                { return nil }
func (disconnectObserver) Received(*Conn, wire.Message)         {}
func (d disconnectObserver) Disconnected(_ *Conn, reason error) { d.ended <- reason }

// Guards against a slow peer that makes a process queue messages without bound, and
// against a message that is too large and closes the connection for all others.
func TestSendQueueIsBounded(t *testing.T) {
	id := newIdentity(t, newTestAuthority(t), tomorrow())
	entryEvents, release := newRecordingHandler(), make(chan struct{})
	entryEvents.onReceive = func(*Conn) { <-release }
	c := mustDial(t, listen(t, id.TLS(), entryEvents).Addr(), id.TLS(), "agent", newRecordingHandler())
	if err := c.Send(numberedMessage(0, wire.MaxFrameBytes+1)); !errors.Is(err, wire.ErrFrame) {
		t.Errorf("Send of an oversized message: error %v, want ErrFrame", err)
	}
	var err error
	sent := 0
	for ; err == nil && sent < 1000; sent++ {
		err = c.Send(numberedMessage(sent, 1<<20))
	}
	if !errors.Is(err, ErrClosed) || sent < maxQueuedBytes>>20 {
		t.Errorf("error %v after %d messages of 1 MB, want ErrClosed after at least %d", err, sent, maxQueuedBytes>>20)
	}
	close(release)
	entryEvents.requireEvent(t, "disconnected agent")
}
