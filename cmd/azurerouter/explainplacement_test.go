package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/standin/freeport"
)

var explainPorts = freeport.NewRange(48_000, 49_999)

// startOnTestPort starts a server, which ends with the test, and returns its address.
func startOnTestPort(t *testing.T, server *httptest.Server) string {
	t.Helper()
	addr, err := explainPorts.Addr()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return addr
}

// Guards against a command that sends another submission than that of the file, prints no
// reason, or exits with 0 for a job that would be rejected.
func TestExplainPlacement(t *testing.T) {
	answer := dispatch.Explanation{Service: "card", Queue: "check", Rejection: &dispatch.ExplainedRejection{Code: dispatch.NotRun, Reason: dispatch.ReasonOverloaded, RetryAfterMS: 70},
		Steps: []dispatch.ExplainedStep{{Tasks: 2, DataRack: "r1-3", Outcome: dispatch.StepAwaitsLocal, Target: "agent-1", WaitMS: 40, StartMS: 20,
			Candidates: []dispatch.Candidate{{Node: "agent-1", Rack: "r1-3", Local: true, Excluded: dispatch.ExcludedFull, WaitMS: 20}, {Node: "agent-2", Rack: "r1-4", Cost: 1.5}}}}}
	var asked []string
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		asked = append(asked, r.Method+" "+r.URL.String()+" "+string(body))
		json.NewEncoder(w).Encode(answer)
	}))
	admin := startOnTestPort(t, server)
	folder := t.TempDir()
	body, whole := filepath.Join(folder, "job.json"), filepath.Join(folder, "request")
	os.WriteFile(body, []byte(`{"steps":[]}`), 0o600)
	os.WriteFile(whole, []byte("POST /q/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 12\r\n\r\n"+`{"steps":[]}`), 0o600)
	run := func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		code := runSubcommand(append([]string{"explain-placement"}, args...), &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}
	code, text, _ := run("-admin", admin, "-host", "shop.example", "-path", "/q/1", body)
	for _, part := range []string{"rejected (not_run): overloaded, retry after 70 ms", "wait up to 40 ms for agent-1", "data in r1-3", "full 1", "r1-3 (data)", "1.50"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is not in the text:\n%s", part, text)
		}
	}
	codeJSON, text, _ := run("-admin", admin, "-json", whole)
	var decoded dispatch.Explanation
	if err := json.Unmarshal([]byte(text), &decoded); err != nil || decoded.Steps[0].Target != "agent-1" {
		t.Errorf("%v: %s", err, text)
	}
	if code != exitFailed || codeJSON != exitFailed {
		t.Errorf("exit codes %d and %d, expected %d", code, codeJSON, exitFailed)
	}
	expected := `POST /explain-placement?host=shop.example&path=%2Fq%2F1 {"steps":[]}`
	if len(asked) != 2 || asked[0] != expected || asked[1] != expected {
		t.Errorf("asked %q, expected %q twice", asked, expected)
	}
	answer.Rejection = nil
	if code, _, _ := run("-admin", admin, whole); code != exitOK {
		t.Errorf("exit code %d, expected %d", code, exitOK)
	}
	for _, args := range [][]string{{whole}, {"-admin", admin, body}, {"-admin", admin, filepath.Join(folder, "missing")}} {
		if code, _, stderr := run(args...); code != exitUsage || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%v: exit code %d, %q", args, code, stderr)
		}
	}
	server.Close()
	if code, _, stderr := run("-admin", admin, whole); code != exitFailed || stderr == "" {
		t.Errorf("entry away: exit code %d, %q", code, stderr)
	}
}
