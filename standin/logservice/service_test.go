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

func start(t *testing.T, settings Settings) (*Service, *logclient.Client, string) {
	service := New(settings)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, logclient.New(server.URL, nil), server.URL
}

func post(t *testing.T, url, body string) int {
	response, err := http.Post(url+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// Guards against a stand-in whose lost responses behave otherwise than the
// platform's: the record must be there at once, or later, but never twice.
func TestLostResponses(t *testing.T) {
	service, client, url := start(t, Settings{})
	ctx := context.Background()
	post(t, url, `{"lose_next":1,"late_ms":30}`)
	if _, err := client.Append(ctx, "s", []byte("lost")); err == nil || errors.Is(err, logclient.ErrNotAppended) {
		t.Errorf("lost response: error %v", err)
	}
	if page, err := client.Read(ctx, "s", 1, 10, 0); err != nil || len(page.Records) != 1 {
		t.Errorf("lost response: page %+v, error %v", page, err)
	}
	post(t, url, `{"late_next":1}`)
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

// Guards against retention that leaves records behind, removes too many, or
// lets offsets start again.
func TestRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	service, client, url := start(t, Settings{Control: Control{RetainMS: 60_000, RetainRecords: 3},
		Now: func() time.Time { return now }})
	for i := range 5 {
		if _, err := client.Append(context.Background(), "s", []byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
		now = now.Add(20 * time.Second)
	}
	check := func(first uint64, records int) {
		t.Helper()
		page, err := client.Read(context.Background(), "s", 1, 10, 0)
		if err != nil || page.First != first || page.Next != 6 || len(page.Records) != records {
			t.Errorf("page %+v, error %v, want first %d", page, err, first)
		}
	}
	check(3, 3)
	now = now.Add(20 * time.Second)
	check(4, 2)
	post(t, url, `{"trim":{"stream":"s","before":100}}`)
	check(6, 0)
	if c := service.Status().Counters; c.RecordsTrimmed != 5 {
		t.Errorf("%d records trimmed, want 5", c.RecordsTrimmed)
	}
}

// Guards against an outage that lets appends take effect or leaves long polls
// waiting, and against a misspelt control field that is ignored.
func TestOutage(t *testing.T) {
	service, client, url := start(t, Settings{})
	ctx := context.Background()
	waiting := make(chan error)
	go func() {
		_, err := client.Read(ctx, "s", 1, 1, time.Minute)
		waiting <- err
	}()
	post(t, url, `{"outage":"down"}`)
	if err := <-waiting; err == nil {
		t.Error("a waiting read succeeded while the service was down")
	}
	if _, err := client.Append(ctx, "s", []byte("x")); !errors.Is(err, logclient.ErrNotAppended) {
		t.Errorf("append while down: %v", err)
	}
	post(t, url, `{"outage":"hang"}`)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := client.Append(short, "s", []byte("x")); err == nil || errors.Is(err, logclient.ErrNotAppended) {
		t.Errorf("append while hanging: %v", err)
	}
	if status := post(t, url, `{"outtage":""}`); status != http.StatusBadRequest {
		t.Errorf("unknown field answered with %d", status)
	}
	post(t, url, `{"outage":""}`)
	if offset, err := client.Append(ctx, "s", []byte("x")); offset != 1 || err != nil {
		t.Errorf("append after the outage: offset %d, error %v", offset, err)
	}
	if c := service.Status().Counters; c.Appends != 1 {
		t.Errorf("%d appends took effect, want 1", c.Appends)
	}
}

// Guards against a cap that lets bursts through without a limit.
func TestCapRefusesWhatExceedsTheQueue(t *testing.T) {
	service := New(Settings{Control: Control{AppendsPerSecond: 10}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		service.awaitTurn(ctx)
	}
	if ahead := time.Until(service.turn); ahead > maxTurnWait+200*time.Millisecond {
		t.Errorf("queue of %v, want at most %v plus one turn", ahead, maxTurnWait)
	}
}
