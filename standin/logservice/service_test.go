package logservice

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
)

func startService(t *testing.T, settings Settings) (*Service, *logclient.Client, string) {
	service := New(settings)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, logclient.New(server.URL, nil), server.URL
}

func postControl(t *testing.T, url, body string) int {
	response, err := http.Post(url+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// Guards against lost responses that differ from those of the platform: the record
// must be appended at once or later, but never twice.
func TestLostResponses(t *testing.T) {
	service, client, url := startService(t, Settings{})
	ctx := context.Background()
	postControl(t, url, `{"lose_next":1,"late_ms":30}`)
	if _, err := client.Append(ctx, "s", []byte("lost")); err == nil || errors.Is(err, logclient.ErrNotAppended) {
		t.Errorf("lost response: error %v", err)
	}
	if page, err := client.Read(ctx, "s", 1, 10, 0); err != nil || len(page.Records) != 1 {
		t.Errorf("lost response: page %+v, error %v", page, err)
	}
	postControl(t, url, `{"late_next":1}`)
	if _, err := client.Append(ctx, "s", []byte("late")); err == nil || errors.Is(err, logclient.ErrNotAppended) {
		t.Errorf("late effect: error %v", err)
	}
	page, err := client.Read(ctx, "s", 2, 10, 20*time.Second)
	if err != nil || len(page.Records) != 1 || string(page.Records[0].Data) != "late" || page.Next != 3 {
		t.Errorf("late effect: page %+v, error %v", page, err)
	}
	if c := service.Status().Counters; c.Appends != 2 || c.ResponsesLost != 1 {
		t.Errorf("counters %+v", c)
	}
}

// Guards against retention that keeps expired records, removes too many, or starts
// offsets again from 1.
func TestRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	service, client, url := startService(t, Settings{Control: Control{RetainMS: 60_000, RetainRecords: 3},
		Now: func() time.Time { return now }})
	for i := range 5 {
		if _, err := client.Append(context.Background(), "s", []byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
		now = now.Add(20 * time.Second)
	}
	expectPage := func(first uint64, records int) {
		t.Helper()
		page, err := client.Read(context.Background(), "s", 1, 10, 0)
		if err != nil || page.First != first || page.Next != 6 || len(page.Records) != records {
			t.Errorf("page %+v, error %v, want first %d", page, err, first)
		}
	}
	expectPage(3, 3)
	now = now.Add(20 * time.Second)
	expectPage(4, 2)
	postControl(t, url, `{"trim":{"stream":"s","before":100}}`)
	expectPage(6, 0)
	if c := service.Status().Counters; c.RecordsTrimmed != 5 {
		t.Errorf("%d records trimmed, want 5", c.RecordsTrimmed)
	}
}

// Guards against an outage during which appends take effect or long polls keep
// waiting, and against misspelt control fields that are ignored.
func TestOutage(t *testing.T) {
	service, client, url := startService(t, Settings{})
	ctx := context.Background()
	waiting := make(chan error)
	go func() {
		_, err := client.Read(ctx, "s", 1, 1, time.Minute)
		waiting <- err
	}()
	postControl(t, url, `{"outage":"down"}`)
	if err := <-waiting; err == nil {
		t.Error("a waiting read succeeded while the service was down")
	}
	if _, err := client.Append(ctx, "s", []byte("x")); !errors.Is(err, logclient.ErrNotAppended) {
		t.Errorf("append while down: %v", err)
	}
	postControl(t, url, `{"outage":"hang"}`)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := client.Append(short, "s", []byte("x")); err == nil || errors.Is(err, logclient.ErrNotAppended) {
		t.Errorf("append while hanging: %v", err)
	}
	if status := postControl(t, url, `{"outtage":""}`); status != http.StatusBadRequest {
		t.Errorf("unknown field answered with %d", status)
	}
	postControl(t, url, `{"outage":""}`)
	if offset, err := client.Append(ctx, "s", []byte("x")); offset != 1 || err != nil {
		t.Errorf("append after the outage: offset %d, error %v", offset, err)
	}
	if c := service.Status().Counters; c.Appends != 1 {
		t.Errorf("%d appends took effect, want 1", c.Appends)
	}
}

// Guards against a rate limit whose queue grows without bound in a burst: appends
// that would wait longer than maxAppendQueue must be refused.
func TestRateLimitRefusesAppendsBeyondQueue(t *testing.T) {
	service := New(Settings{Control: Control{AppendsPerSecond: 10}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		service.awaitAppendRate(ctx)
	}
	if queue := time.Until(service.nextAppend); queue > maxAppendQueue+200*time.Millisecond {
		t.Errorf("queue of %v, want at most %v plus one append interval", queue, maxAppendQueue)
	}
}
