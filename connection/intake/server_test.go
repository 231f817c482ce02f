package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/standin/freeport"
)

// serveEcho serves a handler that answers with the length of the body, with a budget of 64 KiB.
func serveEcho(t *testing.T, options ListenerOptions) (*Intake, string) {
	t.Helper()
	addr, err := freeport.NewRange(40_000, 41_999).Addr()
	if err != nil {
		t.Fatal(err)
	}
	in := New(Limits{Bytes: 64 << 10})
	l, err := in.Listen(addr, options)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 1<<20)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer body.Close()
		fmt.Fprint(w, len(body.Data))
	}), nil)
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return in, addr
}

// exchange sends text on a new connection and returns it with the response, or nil if there was none.
func exchange(t *testing.T, addr, text string) (net.Conn, *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	// The server may close the connection before it has read everything.
	_, _ = io.WriteString(conn, text)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return conn, nil
	}
	return conn, response
}

// Guards against a head that is refused although it is within the limits, and against many short
// lines, whose memory is a multiple of their length.
func TestHeadLimits(t *testing.T) {
	limits := func() RequestLimits { return RequestLimits{HeaderBytes: 16 << 10} }
	_, addr := serveEcho(t, ListenerOptions{MaxConns: 10, Limits: limits})
	// The lines of a body are not of the head.
	body := strings.Repeat("\n", 2000)
	head := func(lines int, line string) string {
		return "POST / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat(line, lines) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	}
	cases := map[string]struct {
		request  string
		accepted bool
	}{
		"ordinary":                  {head(10, "X-A: b\r\n"), true},
		"100 lines":                 {head(100, "X-A: "+strings.Repeat("b", 100)+"\r\n"), true},
		"many lines":                {head(1000, "a:\r\n"), false},
		"folded lines of one space": {"POST / HTTP/1.1\r\nHost: x\r\n \n" + strings.Repeat("a:\r\n", 1000) + "\r\n", false},
		"empty lines before":        {"\n\n" + head(1000, "a:\r\n"), false},
		"too long":                  {head(30, "X-A: "+strings.Repeat("b", 1000)+"\r\n"), false},
	}
	for name, c := range cases {
		_, response := exchange(t, addr, c.request)
		if accepted := response != nil && response.StatusCode == http.StatusOK; accepted != c.accepted {
			t.Errorf("%s: accepted %t, want %t", name, accepted, c.accepted)
		}
	}
}

// Guards against a connection whose limits count several requests together, and against bytes
// that stay charged after a request.
func TestRequestsOfOneConnection(t *testing.T) {
	in, addr := serveEcho(t, ListenerOptions{MaxConns: 10, Limits: func() RequestLimits { return RequestLimits{HeaderBytes: 8 << 10} }})
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for range 20 {
		request, _ := http.NewRequest(http.MethodPost, "http://"+addr, strings.NewReader(strings.Repeat("x", 40<<10)))
		request.Header.Set("X-Long", strings.Repeat("y", 4<<10))
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if string(text) != "40960" {
			t.Fatalf("answer %q, want the length 40960", text)
		}
	}
	client.CloseIdleConnections()
	for deadline := time.Now().Add(10 * time.Second); in.Stats().Bytes+int64(in.Stats().Conns) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("left: %+v", in.Stats())
		}
	}
}

// Guards against bytes that stay charged for good because a connection is closed while its
// reader waits for room.
func TestClosedChargeTakesNothing(t *testing.T) {
	b := newBudget(100)
	leaving, waiting := b.open(time.Now(), netip.Addr{}, func() {}), b.open(time.Now(), netip.Addr{}, func() {})
	if err := leaving.grow(time.Now(), 100); err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	b.evictLocked(leaving)
	b.mu.Unlock()
	result := make(chan error)
	go func() { result <- waiting.grow(time.Now(), 50) }()
	waiting.close()
	leaving.close()
	if err := <-result; !errors.Is(err, ErrNoRoom) {
		t.Errorf("a closed charge grew: %v", err)
	}
	if b.used != 0 {
		t.Errorf("%d bytes stay charged", b.used)
	}
}

// Guards against slow bodies that keep an ordinary request out.
func TestSlowBodyGivesWay(t *testing.T) {
	in, addr := serveEcho(t, ListenerOptions{MaxConns: 10})
	slow, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	fmt.Fprintf(slow, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n%s", strings.Repeat("x", 49_999))
	for deadline := time.Now().Add(10 * time.Second); in.Stats().Bytes < 49_999; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the slow body is not charged: %+v", in.Stats())
		}
	}
	time.Sleep(2 * startAllowance)
	_, response := exchange(t, addr, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n\r\n"+strings.Repeat("x", 30_000))
	if response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("ordinary request: %v, want status 200", response)
	}
	refused, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil || refused.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("slow request: %v, %v, want status 503", refused, err)
	}
}
