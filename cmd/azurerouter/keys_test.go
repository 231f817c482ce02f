package main

import (
	"bytes"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/peer"
)

func runKeysIn(t *testing.T, dir string, args ...string) (int, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := runKeys(append([]string{"-dir", dir}, args...), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// tlsHandshake returns the first error of a handshake with mutual authentication.
func tlsHandshake(t *testing.T, client, server peer.KeyFiles) error {
	t.Helper()
	clientID, err := peer.LoadIdentity(client)
	if err != nil {
		t.Fatal(err)
	}
	serverID, err := peer.LoadIdentity(server)
	if err != nil {
		t.Fatal(err)
	}
	left, right := net.Pipe()
	defer left.Close()
	defer right.Close()
	// A pipe has no buffer: without deadlines, one side would block when it sends an alert
	// that the other side does not read.
	left.SetDeadline(time.Now().Add(5 * time.Second))
	right.SetDeadline(time.Now().Add(5 * time.Second))
	serverResult := make(chan error, 1)
	go func() { serverResult <- tls.Server(right, serverID.TLS()).Handshake() }()
	if err := tls.Client(left, clientID.TLS()).Handshake(); err != nil {
		return err
	}
	return <-serverResult
}

// Guards against a second run that replaces the authority, after which the processes of
// one deployment reject the certificates of each other, and against one that replaces an
// authority whose key is missing.
func TestKeysOfSeveralRunsShareAuthority(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"entry-1", "agent-1"} {
		if code, output := runKeysIn(t, dir, name); code != exitOK {
			t.Fatalf("exit code %d: %s", code, output)
		}
	}
	if err := tlsHandshake(t, keyFilesIn(dir, "agent-1"), keyFilesIn(dir, "entry-1")); err != nil {
		t.Errorf("handshake: %v", err)
	}
	os.Remove(keyFilesIn(dir, authorityName).Key)
	if code, output := runKeysIn(t, dir, "agent-2"); code != exitFailed {
		t.Errorf("authority without a key: exit code %d: %s", code, output)
	}
}

// Guards against private keys that other users of a machine can read.
func TestPrivateKeysAreOwnerOnly(t *testing.T) {
	dir := t.TempDir()
	if code, output := runKeysIn(t, dir, "entry-1"); code != exitOK {
		t.Fatal(output)
	}
	keys, _ := filepath.Glob(filepath.Join(dir, "*-key.pem"))
	if len(keys) != 2 {
		t.Fatalf("keys: %v", keys)
	}
	for _, name := range keys {
		if info, err := os.Stat(name); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v %v", name, info.Mode(), err)
		}
	}
}

// Guards against a mistyped command that replaces the certificate of a running process
// or writes outside the folder.
func TestKeysRefusesReplacementAndBadNames(t *testing.T) {
	dir := t.TempDir()
	runKeysIn(t, dir, "entry-1")
	before, _ := os.ReadFile(keyFilesIn(dir, "entry-1").Certificate)
	if code, output := runKeysIn(t, dir, "entry-1"); code != exitFailed || !strings.Contains(output, "exists") {
		t.Errorf("exit code %d: %s", code, output)
	}
	after, _ := os.ReadFile(keyFilesIn(dir, "entry-1").Certificate)
	if !bytes.Equal(before, after) {
		t.Error("certificate was replaced")
	}
	if code, output := runKeysIn(t, dir, "-replace", "entry-1"); code != exitOK {
		t.Errorf("-replace: exit code %d: %s", code, output)
	}
	for _, name := range []string{"../entry", "folder/entry", "authority", ".hidden", ""} {
		if code, _ := runKeysIn(t, dir, name); code != exitUsage {
			t.Errorf("name %q: exit code %d", name, code)
		}
	}
}
