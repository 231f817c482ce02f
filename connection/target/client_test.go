package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// closingServer is an HTTP/1.1 server that closes kept-alive connections at a
// chosen moment of the second request. It counts the starts of each task.
type closingServer struct {
	listener net.Listener
	// handleReuse handles the second request on a connection. The connection
	// is closed afterwards.
	handleReuse func(conn net.Conn, r *bufio.Reader, start func(task string))

	mu     sync.Mutex
	starts map[string]int
}

func newClosingServer(t *testing.T, handleReuse func(net.Conn, *bufio.Reader, func(string))) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &closingServer{listener: listener, handleReuse: handleReuse, starts: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if request, err := http.ReadRequest(reader); err == nil {
		io.Copy(io.Discard, request.Body)
		s.start(request.Header.Get(HeaderTask))
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull")
		s.handleReuse(conn, reader, s.start)
	}
}

func (s *closingServer) start(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[task]++
}

// startTaskThen starts the task of the next request and then ends the connection.
func startTaskThen(end func(net.Conn)) func(net.Conn, *bufio.Reader, func(string)) {
	return func(conn net.Conn, r *bufio.Reader, start func(string)) {
		if request, err := http.ReadRequest(r); err == nil {
			io.Copy(io.Discard, request.Body)
			start(request.Header.Get(HeaderTask))
			end(conn)
		}
	}
}

func replyWith(text string) func(net.Conn) { return func(conn net.Conn) { io.WriteString(conn, text) } }

// closeCases are the moments of a connection's end after which net/http may send a
// request again.
var closeCases = map[string]func(net.Conn, *bufio.Reader, func(string)){
	"idle":                  func(net.Conn, *bufio.Reader, func(string)) {},
	"after the first byte":  func(_ net.Conn, r *bufio.Reader, _ func(string)) { r.Peek(1) },
	"after the start":       startTaskThen(func(net.Conn) {}),
	"reset after the start": startTaskThen(func(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0) }),
	"within the response":   startTaskThen(replyWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnu")),
	"with 408":              startTaskThen(replyWith("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n")),
	"with a redirect": startTaskThen(replyWith(
		"HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/tasks\r\nContent-Length: 0\r\n\r\n")),
}

// Guards against a second start of a task because net/http resends a request when
// a kept-alive connection is closed, and against reporting a started task as not
// started.
func TestNoTaskIsSentTwiceWhenConnectionCloses(t *testing.T) {
	const tasks = 200
	for name, handleReuse := range closeCases {
		t.Run(name, func(t *testing.T) {
			server := newClosingServer(t, handleReuse)
			client := New("http://"+server.listener.Addr().String(), 1)
			defer client.Close()
			notStarted := make(map[string]bool)
			for i := range tasks {
				call := Call{Index: i, Budget: 10 * time.Second, Input: []byte(`{}`)}
				result := client.Run(context.Background(), call)
				notStarted[fmt.Sprintf("%s/%d", call.Key, i)] = result.NotStarted
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			for task, starts := range server.starts {
				if starts > 1 || notStarted[task] {
					t.Errorf("task %s: %d starts, reported as not started: %v", task, starts, notStarted[task])
				}
			}
		})
	}
}

// failingWriteConn fails every write after the first without writing anything.
type failingWriteConn struct {
	net.Conn
	writes int
}

func (c *failingWriteConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes > 1 {
		return 0, errors.New("broken pipe")
	}
	return c.Conn.Write(p)
}

// Guards against a request of which nothing was sent and whose outcome is
// reported as unknown, although the task can safely be sent to another target.
func TestUnsentRequestIsReportedAsNotStarted(t *testing.T) {
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served++
		fmt.Fprint(w, "1")
	}))
	defer server.Close()
	client := newClient(server.URL, 1, func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return &failingWriteConn{Conn: conn}, err
	})
	call := Call{Budget: 10 * time.Second, Input: []byte(`{}`)}
	if first := client.Run(context.Background(), call); first.Outcome != job.OK {
		t.Fatalf("first call: %+v", first)
	}
	second := client.Run(context.Background(), call)
	if second.Outcome != job.NotStarted || !second.NotStarted || served != 1 {
		t.Errorf("second call: %+v after %d requests at the server", second, served)
	}
}

// blockingWriteConn lets a write return only after the connection has been closed.
type blockingWriteConn struct {
	net.Conn
	written, closed chan struct{}
	once            sync.Once
}

func (c *blockingWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	close(c.written)
	<-c.closed
	return n, err
}

func (c *blockingWriteConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against reporting a cancelled call as not started while its bytes are
// being written.
func TestCancelDuringWriteIsNotReportedAsNotStarted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server notices a closed request only after its body
		<-r.Context().Done()
	}))
	defer server.Close()
	written := make(chan struct{})
	client := newClient(server.URL, 1, func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return &blockingWriteConn{Conn: conn, written: written, closed: make(chan struct{})}, err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-written
		cancel()
	}()
	result := client.Run(ctx, Call{Budget: time.Minute})
	if result.Outcome != job.Cancelled || result.NotStarted {
		t.Errorf("result %+v, want cancelled, not reported as not started", result)
	}
}

// Guards against a response or an error of the target that is reported to the
// entry as the wrong outcome.
func TestOutcomes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodGet {
			body = []byte("1")
		}
		switch string(body) {
		case "1":
			fmt.Fprint(w, `{"a":1}`)
		case "2":
			w.Header().Set(HeaderNotStarted, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "3":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "4":
			fmt.Fprint(w, `{"a":`)
		case "5":
			w.Write(make([]byte, MaxOutputBytes+1))
		case "6":
			panic(http.ErrAbortHandler)
		case "7":
			<-r.Context().Done()
		case "8":
			http.Redirect(w, r, "/other", http.StatusSeeOther)
		case "null":
			fmt.Fprintf(w, `"%s %s"`, r.Header.Get(HeaderTask), r.Header.Get(HeaderAttempt))
		}
	}))
	defer server.Close()
	closedListener, _ := net.Listen("tcp", "127.0.0.1:0")
	closedListener.Close()
	cases := []struct {
		url, input string
		budget     time.Duration
		want       job.Outcome
		notStarted bool
		output     string
	}{
		{server.URL, "1", time.Minute, job.OK, false, `{"a":1}`},
		{server.URL, "", time.Minute, job.OK, false, `"00000000000000000000000000000000/3 2"`},
		{server.URL, "2", time.Minute, job.NotStarted, true, ""},
		{server.URL, "3", time.Minute, job.Failed, false, ""},
		{server.URL, "4", time.Minute, job.Failed, false, ""},
		{server.URL, "5", time.Minute, job.Failed, false, ""},
		{server.URL, "6", time.Minute, job.Unknown, false, ""},
		{server.URL, "7", 50 * time.Millisecond, job.Timeout, false, ""},
		{server.URL, "8", time.Minute, job.Failed, false, ""},
		{server.URL, "1", 0, job.Timeout, true, ""},
		{"http://" + closedListener.Addr().String(), "1", time.Minute, job.NotStarted, true, ""},
	}
	for _, c := range cases {
		client := New(c.url, 2)
		r := client.Run(context.Background(), Call{Index: 3, Attempt: 2, Budget: c.budget, Input: []byte(c.input)})
		if r.Outcome != c.want || r.NotStarted != c.notStarted || string(r.Output) != c.output {
			t.Errorf("input %q: %+v, want %s, not started %v", c.input, r, c.want, c.notStarted)
		}
		client.Close()
	}
}
