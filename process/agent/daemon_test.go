package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/peer"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/settings"
)

// newTestDaemon returns a daemon with keys of its own authority that writes its
// log to the given writer.
func newTestDaemon(t *testing.T, log io.Writer) *Daemon {
	t.Helper()
	dir := t.TempDir()
	files := peer.KeyFiles{Authority: filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, "own.pem"), Key: filepath.Join(dir, "own-key.pem")}
	authority, err := peer.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(authority.WriteAuthority(files.Authority, filepath.Join(dir, "authority-key.pem")),
		authority.Issue(files, "own", time.Now(), time.Now().Add(time.Hour))); err != nil {
		t.Fatal(err)
	}
	observer := observe.New("agent-1", log)
	t.Cleanup(func() { observer.Close() })
	d, err := NewDaemon(&settings.Agent{Name: "agent-1", Keys: files, Slots: 1,
		MaxConns: settings.DefaultMaxConns}, observer)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against an agent that reports ready before it has a connection and a
// configuration, or while it is leaving.
func TestReady(t *testing.T) {
	d := newTestDaemon(t, io.Discard)
	if d.ready() == nil {
		t.Error("ready without a connection")
	}
	d.conns[1] = nil
	if d.ready() == nil {
		t.Error("ready without a configuration")
	}
	d.core.config.Restore(1, nil)
	if err := d.ready(); err != nil {
		t.Errorf("not ready with a connection and a configuration: %v", err)
	}
	d.core.Leave()
	if d.ready() == nil {
		t.Error("ready while leaving")
	}
}

// Guards against logging that tasks are cut off when the drain timeout passes
// without running or queued tasks.
func TestDrainTimeoutWithoutTasksLogsResults(t *testing.T) {
	var log bytes.Buffer
	newTestDaemon(t, &log).logDrainTimeout()
	if !strings.Contains(log.String(), "results are not acknowledged") {
		t.Errorf("logged %s", log.String())
	}
}

// Guards against one log line per buffered message on a connection whose lease
// has lapsed.
func TestLapsedLeaseIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	d := newTestDaemon(t, &log)
	d.conns[1] = &peer.Conn{}
	d.closedForLease[1] = d.conns[1]
	(*daemonEnv)(d).Disconnect(1)
	if log.Len() > 0 {
		t.Errorf("logged %s", log.String())
	}
}

// Guards against an agent that stays behind the other processes without a word because
// it rejects a configuration, and against a warning for each further copy of one that
// is in force.
func TestRejectedConfigIsReported(t *testing.T) {
	var log bytes.Buffer
	d := newTestDaemon(t, &log)
	published := func(offset, version uint64) *wire.Config {
		return &wire.Config{Offset: offset, Files: []wire.ConfigFile{{Name: "10-a.json", Version: version, Content: []byte("{}")}}}
	}
	d.core.Received(1, published(7, 5))
	d.core.Received(2, published(7, 5))
	if strings.Contains(log.String(), "rejected") {
		t.Errorf("logged for a copy of the configuration in force: %s", log.String())
	}
	d.core.Received(1, published(9, 4))
	if got := d.core.ConfigOffset(); got != 7 || !strings.Contains(log.String(), "configuration rejected") {
		t.Errorf("offset %d after a configuration with an older file, log %q; expected 7 and a warning", got, log.String())
	}
}

// Guards against a second signal that stops the heartbeats but not the drain:
// the process would keep running while the entries consider it lost.
func TestDrainEndsOnCancel(t *testing.T) {
	d := newTestDaemon(t, io.Discard)
	d.settings.DrainTimeoutMS = settings.DefaultDrainTimeoutMS
	d.core.running[taskRef{}] = func() {}
	ctx, cancel := context.WithCancel(context.Background())
	stop, ended := make(chan struct{}), make(chan error, 1)
	close(stop)
	go func() { ended <- d.drainOnSignal(ctx, stop) }()
	for !d.core.Dump().Leaving {
		runtime.Gosched()
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the drain ended with %v", err)
	}
}
