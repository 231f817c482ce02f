package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// submission is a job or, if idempotent is set, a single idempotent request.
type submission struct {
	key        string
	tasks      int
	sleepMS    int
	deadlineMS int
	// outputBytes is the number of bytes by which each output is padded.
	outputBytes int
	// firstSubmission adds "resubmission": false to the body, which states that
	// the key was not submitted before.
	firstSubmission bool
	idempotent      bool
	submittedAt     time.Time
}

// newJob returns a job with a deadline of 20 s. sleepMS is the run time of each task
// in milliseconds.
func newJob(key string, tasks, sleepMS int) submission {
	return submission{key: key, tasks: tasks, sleepMS: sleepMS, deadlineMS: 20_000, submittedAt: time.Now()}
}

// newIdempotentRequest returns an idempotent single request with a deadline of 20 s.
func newIdempotentRequest(sleepMS int) submission {
	return submission{tasks: 1, sleepMS: sleepMS, deadlineMS: 20_000, idempotent: true}
}

func (s submission) path() string {
	if s.idempotent {
		return "/v1/requests"
	}
	return "/v1/jobs"
}

func (s submission) body() []byte {
	body := map[string]any{"service": service, "team": team, "deadline_ms": s.deadlineMS}
	inputs := make([]map[string]any, s.tasks)
	for i := range inputs {
		inputs[i] = map[string]any{"sleep_ms": s.sleepMS, "output": s.output(i)}
	}
	if s.idempotent {
		body["idempotent"], body["input"] = true, inputs[0]
	} else {
		body["key"], body["tasks"], body["submitted_at"] = s.key, inputs, s.submittedAt.UTC().Format(time.RFC3339Nano)
	}
	if s.firstSubmission {
		body["resubmission"] = false
	}
	encoded, _ := json.Marshal(body)
	return encoded
}

// output returns the output that task i asks the target for.
func (s submission) output(i int) string {
	return fmt.Sprintf("%s/%d%s", s.key, i, strings.Repeat(".", s.outputBytes))
}

// taskName returns the name under which a target records task i.
func (s submission) taskName(i int) string {
	return fmt.Sprintf("%s/%d", job.HashKey(team, service, s.key), i)
}

// countStarts returns the number of tasks of the job that were started, and the
// highest number of starts of one task.
func (s submission) countStarts(starts map[string]int) (started, highest int) {
	for i := range s.tasks {
		if n := starts[s.taskName(i)]; n > 0 {
			started++
			highest = max(highest, n)
		}
	}
	return started, highest
}

// reply is the result of one call: a transport error, or the response.
type reply struct {
	err        error
	status     int
	retryAfter string
	// connectionClose is set if the response asks to close the connection.
	connectionClose bool
	State           string `json:"state"`
	Key             string `json:"key"`
	Code            string `json:"code"`
	Run             string `json:"run"`
	Message         string `json:"message"`
	Tasks           []struct {
		Outcome string `json:"outcome"`
		Output  any    `json:"output"`
		Error   string `json:"error"`
	} `json:"tasks"`
}

func (r reply) String() string {
	if r.err != nil {
		return "error " + r.err.Error()
	}
	outcomes := make(map[string]int)
	for _, task := range r.Tasks {
		outcomes[task.Outcome]++
	}
	return fmt.Sprintf("status %d state %q code %q run %q message %q outcomes %v", r.status, r.State, r.Code, r.Run, r.Message, outcomes)
}

// newClient returns an HTTP client with connections of its own.
func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// post sends a request body to an entry.
func post(ctx context.Context, client *http.Client, p *process, path string, body []byte) reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.httpAddr+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err}
	}
	r := reply{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), connectionClose: response.Close}
	if err := json.Unmarshal(text, &r); err != nil {
		r.err = fmt.Errorf("body %q: %w", text, err)
	}
	return r
}

func submit(ctx context.Context, client *http.Client, p *process, s submission) reply {
	return post(ctx, client, p, s.path(), s.body())
}

// submitAsync submits in the background and returns a channel that receives the
// reply.
func submitAsync(ctx context.Context, client *http.Client, p *process, s submission) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- submit(ctx, client, p, s) }()
	return replies
}

// checkComplete asserts that the answer is complete: every task succeeded, with its
// own output, in order.
func checkComplete(t *testing.T, s submission, r reply) {
	t.Helper()
	if r.err != nil || r.status != http.StatusOK || r.State != "complete" || r.Key != s.key || len(r.Tasks) != s.tasks {
		t.Fatalf("job %q was answered with %v", s.key, r)
	}
	for i, task := range r.Tasks {
		if task.Outcome != "ok" || task.Output != s.output(i) {
			t.Fatalf("job %q task %d: outcome %q output %v", s.key, i, task.Outcome, task.Output)
		}
	}
}

// checkOutcomes asserts that the answer states the outcome of every task, and that
// its state is complete if all succeeded, else failed. It returns the number of
// tasks per outcome.
func checkOutcomes(t *testing.T, s submission, r reply) map[string]int {
	t.Helper()
	if r.err != nil || r.status != http.StatusOK || r.Key != s.key || len(r.Tasks) != s.tasks {
		t.Fatalf("job %q was answered with %v", s.key, r)
	}
	outcomes := make(map[string]int)
	for i, task := range r.Tasks {
		switch task.Outcome {
		case "ok", "failed", "not_started", "timeout", "cancelled", "unknown":
			outcomes[task.Outcome]++
		default:
			t.Fatalf("job %q task %d: outcome %q", s.key, i, task.Outcome)
		}
	}
	complete := outcomes["ok"] == s.tasks
	if complete != (r.State == "complete") || complete == (r.State == "failed") {
		t.Fatalf("job %q: state %q with outcomes %v", s.key, r.State, outcomes)
	}
	return outcomes
}

// checkStarts asserts that want tasks of the job were started, each once.
func checkStarts(t *testing.T, c *cluster, s submission, want int) {
	t.Helper()
	started, highest := s.countStarts(c.starts())
	if started != want || highest > 1 {
		t.Fatalf("job %q: %d tasks started, want %d; one task was started %d times", s.key, started, want, highest)
	}
}

// checkNoRepeatedStart asserts that no task of the job was started more than once.
func checkNoRepeatedStart(t *testing.T, c *cluster, s submission) {
	t.Helper()
	if _, highest := s.countStarts(c.starts()); highest > 1 {
		t.Fatalf("job %q: one task was started %d times", s.key, highest)
	}
}
