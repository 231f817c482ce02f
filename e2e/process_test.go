package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/standin/freeport"
)

// binary is the path of the program under test. keysDir holds the certificates and
// keys of processNames.
var binary, keysDir string

// processNames are the names of all processes that the tests start.
var processNames = []string{"entry-a", "entry-b", "entry-c", "agent-1", "agent-2", "agent-3"}

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binary, issues the certificates and runs the tests. It
// returns the exit code.
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

// ports are the ports of processes.
var ports = freeport.NewRange(12_000, 30_999)

// freeAddr returns an address that no other process uses.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := ports.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// process is an entry or agent process of a cluster, running or not.
type process struct {
	t            *testing.T
	name         string
	httpAddr     string // empty for an agent
	peerAddr     string // empty for an agent
	adminAddr    string
	settingsFile string
	logFile      string
	cmd          *exec.Cmd // nil before the first start
	exited       chan struct{}
	exitErr      error
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

// keyFiles returns the setting keys of the process of this name.
func keyFiles(name string) map[string]string {
	return map[string]string{"authority": filepath.Join(keysDir, "authority.pem"),
		"certificate": filepath.Join(keysDir, name+".pem"), "key": filepath.Join(keysDir, name+"-key.pem")}
}

// start starts the process in the role entry or agent. It can be called again after
// the process has ended.
func (p *process) start(role string) {
	p.t.Helper()
	file, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer file.Close()
	cmd := exec.Command(binary, role, "-settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		p.exitErr = cmd.Wait()
		close(exited)
	}()
}

// signal sends a signal to this process only.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// suspend sends SIGSTOP and waits until all threads of the process are stopped. A
// thread that runs on another processor continues for a moment after the signal.
func (p *process) suspend() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	deadline := time.Now().Add(waitTimeout)
	for !p.isSuspended() {
		if time.Now().After(deadline) {
			p.t.Fatalf("%s is not stopped %v after SIGSTOP", p.name, waitTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

// isSuspended reports whether every thread of the process is stopped.
func (p *process) isSuspended() bool {
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

// kill sends SIGKILL, which also ends a suspended process, and waits for its exit.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.exited
}

// awaitExit waits until the process exits by itself and returns its error.
func (p *process) awaitExit() error {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s has not exited within %v", p.name, waitTimeout)
		return nil
	}
}

// printLog writes the last 3,000 bytes of the log of the process to the test log.
func (p *process) printLog() {
	const maxBytes = 3000
	text, _ := os.ReadFile(p.logFile)
	if len(text) > maxBytes {
		text = text[len(text)-maxBytes:]
	}
	p.t.Logf("log of %s:\n%s", p.name, text)
}
