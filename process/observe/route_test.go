package observe

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a route for operators that a public address can use, and against several
// requests to it that together take the processor time of callers.
func TestRoutesAreForOperators(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	handler := newAdmin("127.0.0.1:0", New("test", io.Discard), emptyState, alwaysReady, Route{Pattern: "POST /route", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "waits" {
			close(begun)
			<-release
		}
	})}).server.Handler
	status := func(remote, query string) int {
		request := httptest.NewRequest(http.MethodPost, "/route?"+query, nil)
		request.RemoteAddr = remote
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		return response.Code
	}
	for remote, expected := range map[string]int{"127.0.0.1:1": 200, "10.1.2.3:1": 200, "[::1]:1": 200, "[fd00::1]:1": 200,
		"203.0.113.9:1": 403, "[2001:db8::1]:1": 403, "": 403, "name:1": 403} {
		if got := status(remote, ""); got != expected {
			t.Errorf("from %q: status %d, expected %d", remote, got, expected)
		}
	}
	done := make(chan struct{})
	go func() { status("127.0.0.1:1", "waits"); close(done) }()
	<-begun
	if got := status("127.0.0.1:1", ""); got != http.StatusServiceUnavailable {
		t.Errorf("a second request at the same time: status %d, expected 503", got)
	}
	close(release)
	<-done
	if got := status("127.0.0.1:1", ""); got != http.StatusOK {
		t.Errorf("a request after the other: status %d, expected 200", got)
	}
}
