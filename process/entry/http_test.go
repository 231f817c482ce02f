package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

func newTestAPI(core *Core) *API {
	return &API{core: core, now: time.Now, countSubmission: func(bool) {},
		countAnswer: func(job.State, time.Duration) {}, countRefusal: func(refusal.Code) {}}
}

// Guards against a load balancer that keeps sending calls to an entry that has
// no configuration or is draining, because its readiness check still succeeds.
func TestReadinessAndHealth(t *testing.T) {
	f := newFakeEnv(t, []byte("1"))
	fresh := NewCore(f, 2, 1, 1)
	draining := newFakeEnv(t, []byte("1")).core
	draining.Drain()
	for name, c := range map[string]struct {
		core *Core
		path string
		want int
	}{
		"ready":            {f.core, PathReady, http.StatusOK},
		"no configuration": {fresh, PathReady, http.StatusServiceUnavailable},
		"draining":         {draining, PathReady, http.StatusServiceUnavailable},
		"healthy":          {draining, PathHealth, http.StatusOK},
	} {
		w := httptest.NewRecorder()
		newTestAPI(c.core).ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.path, nil))
		if w.Code != c.want {
			t.Errorf("%s: status %d, want %d: %s", name, w.Code, c.want, w.Body)
		}
	}
}

// Guards against requests with an unsupported method, an unknown path or a
// malformed query or body that are taken for valid submissions, and against
// refusals that do not state whether anything was run.
func TestInvalidRequests(t *testing.T) {
	api := newTestAPI(newFakeEnv(t, []byte("1")).core)
	for call, want := range map[string]int{
		"PUT /v1/jobs":                        http.StatusMethodNotAllowed,
		"POST /v2/jobs":                       http.StatusNotFound,
		"GET /v1/jobs":                        http.StatusBadRequest,
		"GET /v1/jobs?team=a&service=b&key=c": http.StatusNotFound,
		"GET /v1/jobs?team=a&service=b&key=c&deadline_ms=-1": http.StatusBadRequest,
		"DELETE /v1/jobs?team=a&service=b&key=c":             http.StatusNotFound,
		"POST /v1/jobs":                                      http.StatusBadRequest,
	} {
		method, target, _ := strings.Cut(call, " ")
		w := httptest.NewRecorder()
		api.ServeHTTP(w, httptest.NewRequest(method, target, nil))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d: %s", call, w.Code, want, w.Body)
		}
		if !strings.Contains(w.Body.String(), `"run"`) {
			t.Errorf("%s: the body does not state whether anything was run: %s", call, w.Body)
		}
	}
}
