// Package target is the HTTP client of a target. A task is sent at most once
// per call, whatever happens to the connection.
package target

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/request/job"
)

// Headers of the protocol.
const (
	HeaderTask       = "Azurerouter-Task"
	HeaderAttempt    = "Azurerouter-Attempt"
	HeaderDeadlineMS = "Azurerouter-Deadline-Ms"
	HeaderNotStarted = "Azurerouter-Not-Started"
)

const (
	tasksPath = "/v1/tasks"
	// MaxOutputBytes bounds the output of one task. The outputs of 400 tasks
	// are held until the whole answer is written.
	MaxOutputBytes = 256 << 10
	maxErrorBytes  = 512
	// A target on the same machine accepts within microseconds unless it is
	// overloaded; the rest of the budget is better spent on another target.
	dialTimeout = time.Second
	// Below 5 s, the shortest keep-alive default among common HTTP servers, so
	// that the client closes first and a task seldom meets a connection that
	// is being closed.
	idleConnTimeout = 4 * time.Second
)

// Call is one task for the target.
type Call struct {
	Key     job.KeyHash
	Index   int
	Attempt int
	// Budget is the time left until the deadline.
	Budget time.Duration
	// Input is a JSON value. An empty input is sent as null.
	Input []byte
}

// Result is the end of a call.
type Result struct {
	// Outcome is OK, Failed, NotStarted, Timeout, Cancelled or Unknown. Unknown
	// means that the connection was lost after the task had been sent.
	Outcome job.Outcome
	// Output is set if and only if Outcome is OK. It is valid JSON.
	Output []byte
	Error  string
	// NotStarted promises that the target did not start the task and will not
	// do so for this call. It may accompany NotStarted, Timeout and Cancelled.
	NotStarted bool
	Took       time.Duration
}

// Client calls one target. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the target at baseURL, for example
// "http://127.0.0.1:9400". It keeps at most maxConns connections; a call that
// finds all of them in use waits within its budget.
func New(baseURL string, maxConns int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, addr)
	}
	return newClient(baseURL, maxConns, dial)
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func newClient(baseURL string, maxConns int, dial dialFunc) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		TLSHandshakeTimeout: dialTimeout,
		// The HTTP/2 client resends requests on its own after a connection is
		// shut down.
		Protocols:           protocols,
		DisableCompression:  true,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		MaxIdleConns:        maxConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{url: strings.TrimSuffix(baseURL, "/") + tasksPath, http: &http.Client{
		Transport: transport,
		// 307 and 308 would send the task again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the task and waits for its end. A cancelled context, or the end of
// the budget, closes the request, which stops the task at the target.
func (c *Client) Run(ctx context.Context, call Call) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	result := c.run(ctx, call)
	result.Took = time.Since(start)
	return result
}

func (c *Client) run(ctx context.Context, call Call) Result {
	var sent sendState
	request, err := c.request(httptrace.WithClientTrace(ctx, sent.trace()), call)
	if err != nil {
		return Result{Outcome: job.NotStarted, NotStarted: true, Error: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return failedCall(ctx, err, sent.nothing())
	}
	defer drain(response.Body)
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxOutputBytes+1))
	if err != nil {
		return failedCall(ctx, err, false)
	}
	return readAnswer(response, body)
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	input := call.Input
	if len(input) == 0 {
		input = []byte("null")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(input))
	if err != nil {
		return nil, errors.Wrap(err, "request to target")
	}
	// Without GetBody the transport cannot send the request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderTask, fmt.Sprintf("%s/%d", call.Key, call.Index))
	request.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	request.Header.Set(HeaderDeadlineMS, strconv.FormatInt(call.Budget.Milliseconds(), 10))
	return request, nil
}

// failedCall is the result of a call without a whole response.
func failedCall(ctx context.Context, err error, nothingSent bool) Result {
	result := Result{Outcome: job.Unknown, NotStarted: nothingSent, Error: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Outcome = job.Timeout
	case ctx.Err() != nil:
		result.Outcome = job.Cancelled
	case nothingSent:
		result.Outcome = job.NotStarted
	}
	return result
}

func readAnswer(response *http.Response, body []byte) Result {
	if response.StatusCode == http.StatusOK {
		return readOutput(body)
	}
	text := fmt.Sprintf("%s: %s", response.Status, bytes.TrimSpace(body[:min(len(body), maxErrorBytes)]))
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotStarted) == "true" {
		return Result{Outcome: job.NotStarted, NotStarted: true, Error: text}
	}
	return Result{Outcome: job.Failed, Error: text}
}

// readOutput fails a task with an unusable output: one that is not valid JSON
// would make the whole answer of the job impossible to encode.
func readOutput(body []byte) Result {
	if len(body) > MaxOutputBytes {
		return Result{Outcome: job.Failed, Error: fmt.Sprintf("output exceeds %d bytes", MaxOutputBytes)}
	}
	if !json.Valid(body) {
		return Result{Outcome: job.Failed, Error: "output is not valid JSON"}
	}
	return Result{Outcome: job.OK, Output: body}
}

// sendState records whether any byte of a request reached a connection.
type sendState struct {
	sent   bool
	conn   *countingConn
	before int
}

func (s *sendState) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn}
}

// gotConn is called by the transport, in the goroutine of the call, when it has
// chosen a connection for the request.
func (s *sendState) gotConn(info httptrace.GotConnInfo) {
	s.sent = !s.nothing()
	conn := info.Conn
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	counting, ok := conn.(*countingConn)
	if !ok {
		s.sent = true
		return
	}
	s.conn, s.before = counting, counting.attempted()
}

// nothing reports whether no byte of the request was written, and makes sure
// that none is written later: after a cancellation the transport's writer may
// still be about to run.
func (s *sendState) nothing() bool {
	return !s.sent && (s.conn == nil || s.conn.seal(s.before))
}

// drain reads the rest of a short body, so that the connection can be reused.
func drain(body io.ReadCloser) {
	io.CopyN(io.Discard, body, maxErrorBytes)
	body.Close()
}
