// Package e2e runs the binary in separate processes, brings about failures and
// counts the starts that the targets recorded.
package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binary is the program under test and keysDir holds the certificates of all
// process names that the tests use.
var binary, keysDir string

var processNames = []string{"entry-a", "entry-b", "entry-c", "agent-1", "agent-2", "agent-3"}

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary, keysDir = filepath.Join(dir, "azurerouter"), filepath.Join(dir, "keys")
	build := exec.Command("go", "build", "-o", binary, "../cmd/azurerouter")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	keys := exec.Command(binary, append([]string{"keys", "-dir", keysDir}, processNames...)...)
	if out, err := keys.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "keys: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// The ports of processes are below the range from which systems take ephemeral
// ports, so that no outgoing connection occupies one before its process binds.
const (
	firstPort = 12_000
	lastPort  = 31_000
)

var ports = struct {
	sync.Mutex
	used map[int]bool
}{used: make(map[int]bool)}

// freeAddr returns a loopback address whose port is free for TCP and UDP.
func freeAddr(t *testing.T) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if !ports.used[port] && bindable(addr) {
			ports.used[port] = true
			return addr
		}
	}
	t.Fatal("no free port found")
	return ""
}

func bindable(addr string) bool {
	stream, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer stream.Close()
	packets, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	packets.Close()
	return true
}

// process is one process of a cluster.
type process struct {
	t         *testing.T
	name      string
	http      string // empty for an agent
	peer      string // empty for an agent
	admin     string
	settings  string
	logFile   string
	cmd       *exec.Cmd
	exited    chan struct{}
	exitError error
}

func writeSettings(t *testing.T, path string, settings map[string]any) {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func keyFiles(name string) map[string]string {
	return map[string]string{"authority": filepath.Join(keysDir, "authority.pem"),
		"certificate": filepath.Join(keysDir, name+".pem"), "key": filepath.Join(keysDir, name+"-key.pem")}
}

// start runs the process. It can be called again after the process has ended.
func (p *process) start(role string) {
	p.t.Helper()
	file, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer file.Close()
	cmd := exec.Command(binary, role, "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		p.exitError = cmd.Wait()
		close(exited)
	}()
}

// signal sends a signal to this process alone, by its id.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// stop suspends the process and waits until all its threads are stopped: one that
// runs on another processor goes on for a moment after the signal.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	deadline := time.Now().Add(waitLimit)
	for !p.stopped() {
		if time.Now().After(deadline) {
			p.t.Fatalf("%s has not stopped", p.name)
		}
		time.Sleep(time.Millisecond)
	}
}

func (p *process) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		// The state follows the name of the thread, which is in parentheses.
		_, rest, found := strings.Cut(string(stat), ") ")
		if err != nil || !found || !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

// end kills the process, also one that is stopped, and waits for its end.
func (p *process) end() {
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.exited
}

// awaitExit waits for the process to end by itself and returns its error.
func (p *process) awaitExit() error {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.exitError
	case <-time.After(waitLimit):
		p.t.Fatalf("%s has not ended", p.name)
		return nil
	}
}

// printLog shows the end of the process's log.
func (p *process) printLog() {
	const maxBytes = 3000
	text, _ := os.ReadFile(p.logFile)
	if len(text) > maxBytes {
		text = text[len(text)-maxBytes:]
	}
	p.t.Logf("log of %s:\n%s", p.name, text)
}
