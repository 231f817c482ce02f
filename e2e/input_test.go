package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// G4: malformed and invalid submissions are each refused with a 4xx status, a code
// and a message, and none of their tasks starts.
func TestBadInput(t *testing.T) {
	c := newCluster(t, 1, 1)
	ctx, client := c.context(), newClient(t)
	now := time.Now().UTC().Format(time.RFC3339Nano)
	body := func(changes map[string]any) string {
		fields := map[string]any{"service": service, "team": team, "key": "bad", "submitted_at": now,
			"resubmission": false, "deadline_ms": 5000, "tasks": []any{map[string]any{"sleep_ms": 1}}}
		for name, value := range changes {
			if value == nil {
				delete(fields, name)
				continue
			}
			fields[name] = value
		}
		text, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	manyTasks := make([]any, job.MaxTasks+1)
	for i := range manyTasks {
		manyTasks[i] = 1
	}
	longInput := strings.Repeat("x", job.MaxInputBytes+1)
	cases := []struct {
		name   string
		path   string
		body   string
		status int
		code   string
		run    string
	}{
		{"empty", "/v1/jobs", "", http.StatusBadRequest, "bad_request", "no"},
		{"not JSON", "/v1/jobs", "service=card", http.StatusBadRequest, "bad_request", "no"},
		{"cut off", "/v1/jobs", body(nil)[:40], http.StatusBadRequest, "bad_request", "no"},
		{"two objects", "/v1/jobs", body(nil) + body(nil), http.StatusBadRequest, "bad_request", "no"},
		{"wrong type", "/v1/jobs", body(map[string]any{"tasks": "all"}), http.StatusBadRequest, "bad_request", "no"},
		{"no tasks", "/v1/jobs", body(map[string]any{"tasks": []any{}}), http.StatusBadRequest, "bad_request", "no"},
		{"401 tasks", "/v1/jobs", body(map[string]any{"tasks": manyTasks}), http.StatusBadRequest, "bad_request", "no"},
		{"unknown field", "/v1/jobs", body(map[string]any{"colour": "blue"}), http.StatusBadRequest, "bad_request", "no"},
		{"no key", "/v1/jobs", body(map[string]any{"key": nil}), http.StatusBadRequest, "bad_request", "no"},
		{"long key", "/v1/jobs", body(map[string]any{"key": longInput[:job.MaxKeyLength+1]}), http.StatusBadRequest, "bad_request", "no"},
		{"idempotent job", "/v1/jobs", body(map[string]any{"idempotent": true}), http.StatusBadRequest, "bad_request", "no"},
		{"unkeyed request", "/v1/requests", `{"service":"card","team":"shop","input":1}`, http.StatusBadRequest, "bad_request", "no"},
		{"deadline in the past", "/v1/jobs", body(map[string]any{"deadline_ms": -1}), http.StatusBadRequest, "bad_request", "no"},
		{"deadline beyond the window", "/v1/jobs", body(map[string]any{"deadline_ms": 3_600_000}), http.StatusBadRequest, "bad_request", "no"},
		{"submitted in the future", "/v1/jobs", body(map[string]any{"submitted_at": time.Now().Add(time.Hour)}), http.StatusBadRequest, "bad_request", "no"},
		{"key too old", "/v1/jobs", body(map[string]any{"submitted_at": time.Now().Add(-time.Hour)}), http.StatusUnprocessableEntity, "key_too_old", "unknown"},
		{"unknown service", "/v1/jobs", body(map[string]any{"service": "cards"}), http.StatusNotFound, "unknown_service", "no"},
		{"unknown path", "/v1/job", body(nil), http.StatusNotFound, "not_found", "no"},
		{"long input", "/v1/jobs", body(map[string]any{"tasks": []any{longInput}}), http.StatusRequestEntityTooLarge, "too_large", "no"},
		{"long body", "/v1/jobs", strings.Repeat(" ", job.MaxBodyBytes) + body(nil), http.StatusRequestEntityTooLarge, "too_large", "no"},
	}
	for _, test := range cases {
		r := post(ctx, client, c.entries[0], test.path, []byte(test.body))
		if r.err != nil || r.status != test.status || r.Code != test.code || r.Run != test.run || r.Message == "" {
			t.Errorf("%s: %v, want status %d code %q run %q", test.name, r, test.status, test.code, test.run)
		}
	}
	// A valid submission of the same key runs, so no refused one has claimed it.
	s := submission{key: "bad", tasks: 2, sleepMS: 1, deadlineMS: 5000, submittedAt: time.Now(), firstSubmission: true}
	checkComplete(t, s, submit(ctx, client, c.entries[0], s))
	if starts := c.starts(); len(starts) != s.tasks {
		t.Errorf("started tasks %v, want only the %d of the valid job", starts, s.tasks)
	}
}
