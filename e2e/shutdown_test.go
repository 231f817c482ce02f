package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
)

// G7: an agent receives SIGTERM under load. It exits without a failed call, and no
// task starts at its target afterwards.
func TestAgentLeavesUnderLoad(t *testing.T) { testAgentLeaves(t, callersWithinBacklog) }

// G7: the same with more tasks than the remaining agents have slots.
func TestAgentLeavesUnderLoadAboveSlots(t *testing.T) { testAgentLeaves(t, callersAboveSlots) }

func testAgentLeaves(t *testing.T, callers int) {
	c := newCluster(t, 2, 3)
	l := startLoad(t, c, callers, c.entries, untilStopped)
	c.await("the target is under load", func() bool { return len(c.startsAt(0)) > 50 })
	c.agents[0].signal(syscall.SIGTERM)
	if err := c.agents[0].awaitExit(); err != nil {
		t.Errorf("the agent exited with error %v", err)
	}
	startsAtExit := len(c.startsAt(0))
	completed := l.completedCalls()
	c.await("the load continues without the agent", func() bool { return l.completedCalls() > completed+100 })
	calls := l.stopAndWait()
	starts := c.starts()
	for _, call := range calls {
		checkComplete(t, call.submission, call.reply)
		if started, highest := call.submission.countStarts(starts); !call.submission.idempotent && (started != call.submission.tasks || highest != 1) {
			t.Fatalf("job %q: %d tasks started, one %d times", call.submission.key, started, highest)
		}
	}
	if startsAfter := len(c.startsAt(0)); startsAfter != startsAtExit {
		t.Errorf("%d tasks started at the target after the agent exited", startsAfter-startsAtExit)
	}
}

// G7, G4: an entry receives SIGTERM under load on persistent connections. Every call
// in flight is answered. Calls during the drain are refused as draining, and none of
// their tasks starts.
func TestEntryDrainsUnderLoad(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	l := startLoad(t, c, 8, c.entries[:1], func(r reply) bool { return r.Code != "draining" && r.err == nil })
	c.await("the entry is under load", func() bool { return l.completedCalls() > 50 })
	// This job keeps the entry draining until every caller has been refused, also
	// on a machine where this takes seconds instead of milliseconds.
	s := newJob("in-flight", slotsPerAgent, 6000)
	inFlight := submitAsync(ctx, client, c.entries[0], s)
	c.await("the job runs", func() bool { n, _ := s.countStarts(c.starts()); return n > 0 })
	c.entries[0].signal(syscall.SIGTERM)
	r := <-inFlight
	checkComplete(t, s, r)
	if !r.connectionClose {
		t.Error("an answer during the drain does not close its connection")
	}
	if err := c.entries[0].awaitExit(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
	refused := 0
	calls := l.stopAndWait()
	starts := c.starts()
	for _, call := range calls {
		if call.reply.Code != "draining" {
			checkComplete(t, call.submission, call.reply)
			continue
		}
		refused++
		if call.reply.status != http.StatusServiceUnavailable {
			t.Errorf("refusal as draining: %v", call.reply)
		}
		if started, _ := call.submission.countStarts(starts); !call.submission.idempotent && started > 0 {
			t.Errorf("job %q was refused as draining and started", call.submission.key)
		}
	}
	if refused == 0 {
		t.Error("no call was refused as draining")
	}
	checkStarts(t, c, s, s.tasks)
}

// G7, G3: an entry receives SIGTERM while a slow caller still reads a large answer.
// The caller receives all of it.
func TestEntryDrainsWithSlowReader(t *testing.T) {
	c := newCluster(t, 1, 2)
	// The answer is larger than the socket buffers of the connection, so the entry
	// can write a part of it only when the caller reads.
	const smallBuffer = 64 << 10
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err == nil {
			conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
		}
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	s := newJob("large", 28, 1)
	s.outputBytes = 250_000
	request, err := http.NewRequestWithContext(c.context(), http.MethodPost, "http://"+c.entries[0].httpAddr+s.path(), bytes.NewReader(s.body()))
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	c.entries[0].signal(syscall.SIGTERM)
	c.await("the entry refuses connections", func() bool {
		conn, err := net.Dial("tcp", c.entries[0].httpAddr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		conn.Close()
		return false
	})
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("the answer was cut off after %d bytes: %v", len(text), err)
	}
	r := reply{status: response.StatusCode}
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	checkComplete(t, s, r)
	if err := c.entries[0].awaitExit(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
}
