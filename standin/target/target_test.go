package target_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	client "github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/standin/target"
)

func startTarget(t *testing.T) (*target.Target, *client.Client, string) {
	standin := target.New()
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	return standin, client.New(server.URL, 4), server.URL
}

func postControl(t *testing.T, url, body string) {
	response, err := http.Post(url+"/control", "application/json", strings.NewReader(body))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("control %s: %v, %v", body, response, err)
	}
	response.Body.Close()
}

// Guards against starts that are counted wrongly while a fault is switched on.
// Tests of the at-most-once guarantee rely on these counts.
func TestStartsAreCountedUnderFaults(t *testing.T) {
	standin, c, url := startTarget(t)
	steps := []struct {
		control, input string
		budget         time.Duration
		want           job.Outcome
		starts         int
	}{
		{`{}`, `{"output":{"a":1}}`, time.Minute, job.OK, 1},
		{`{}`, `{"fail":true}`, time.Minute, job.Failed, 1},
		{`{"fail_all":true}`, `{"sleep_ms":60000}`, time.Minute, job.Failed, 1},
		{`{"fail_all":false,"refuse":true}`, `{}`, time.Minute, job.NotStarted, 0},
		{`{"refuse":false,"hang":true}`, `{}`, 50 * time.Millisecond, job.Timeout, 1},
		{`{"hang":false,"freeze":true}`, `{}`, 50 * time.Millisecond, job.Timeout, 0},
		{`{"freeze":false}`, `{"sleep_ms":60000}`, 50 * time.Millisecond, job.Timeout, 1},
	}
	for i, step := range steps {
		// A task that timed out during a freeze may start afterwards unless
		// the target has noticed that its request was closed.
		for standin.Status().Counters.Waiting > 0 {
			time.Sleep(time.Millisecond)
		}
		postControl(t, url, step.control)
		result := c.Run(context.Background(), client.Call{Index: i, Budget: step.budget, Input: []byte(step.input)})
		task := job.KeyHash{}.String() + "/" + string(rune('0'+i))
		if starts := standin.Starts().Tasks[task]; result.Outcome != step.want || starts != step.starts {
			t.Errorf("step %d: %+v and %d starts, want %s and %d", i, result, starts, step.want, step.starts)
		}
	}
	response, err := http.Get(url + "/control/starts")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var starts target.Starts
	if err := json.NewDecoder(response.Body).Decode(&starts); err != nil || starts.Total != 5 || len(starts.Tasks) != 5 {
		t.Errorf("starts %+v, error %v, want 5", starts, err)
	}
}

// Guards against a freeze during which a running task ends, or after which its
// remaining run time is lost.
func TestFreezeSuspendsRunningTasks(t *testing.T) {
	standin, c, url := startTarget(t)
	ends := make(chan client.Result, 2)
	run := func(ctx context.Context, input string) {
		ends <- c.Run(ctx, client.Call{Budget: time.Minute, Input: []byte(input)})
	}
	expectRunning := func(want int) {
		t.Helper()
		time.Sleep(200 * time.Millisecond)
		if running := standin.Status().Counters.Running; running != want {
			t.Errorf("%d tasks running, want %d", running, want)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go run(ctx, `{"sleep_ms":100}`)
	go run(ctx, `{"sleep_ms":60000}`)
	for standin.Status().Counters.Running < 2 {
		time.Sleep(time.Millisecond)
	}
	postControl(t, url, `{"freeze":true}`)
	expectRunning(2)
	postControl(t, url, `{"freeze":false}`)
	if result := <-ends; result.Outcome != job.OK {
		t.Errorf("after the freeze: %+v", result)
	}
	expectRunning(1)
}
