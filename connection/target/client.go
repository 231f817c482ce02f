// Package target is the HTTP client of a target. Each call sends its task at most
// once: a request is not resent when its connection fails.
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
	// HeaderTask identifies the task: its key and its index, separated by "/".
	HeaderTask = "Azurerouter-Task"
	// HeaderAttempt is Call.Attempt.
	HeaderAttempt = "Azurerouter-Attempt"
	// HeaderDeadlineMS is the time left until the deadline, in milliseconds.
	HeaderDeadlineMS = "Azurerouter-Deadline-Ms"
	// HeaderNotStarted is "true" in a 503 response if the target has not started
	// the task.
	HeaderNotStarted = "Azurerouter-Not-Started"
)

const (
	tasksPath = "/v1/tasks"
	// MaxOutputBytes bounds the output of one task. The outputs of up to 400
	// tasks are held in memory until the whole answer is written.
	MaxOutputBytes = 256 << 10
	// maxErrorBytes bounds the part of an error response that is reported, and
	// what is read of the unread rest of a body.
	maxErrorBytes = 512
	// dialTimeout is short because a target on the same machine accepts within
	// microseconds unless it is overloaded. The rest of the budget is better
	// spent on another target.
	dialTimeout = time.Second
	// idleConnTimeout is below 5 s, the shortest keep-alive default among common
	// HTTP servers. The client closes idle connections first, so that a task is
	// seldom sent on a connection that the server is closing.
	idleConnTimeout = 4 * time.Second
)

// Call is one attempt to run a task at the target.
type Call struct {
	Key     job.KeyHash
	Index   int
	Attempt int
	// Budget is the time left until the deadline, after which the call ends.
	Budget time.Duration
	// Input is a JSON value. An empty input is sent as null.
	Input []byte
}

// Result is the outcome of a call.
type Result struct {
	// Outcome is OK, Failed, NotStarted, Timeout, Cancelled or Unknown. Unknown
	// means that the connection was lost after at least part of the task had
	// been sent.
	Outcome job.Outcome
	// Output is set if and only if Outcome is OK. It is valid JSON.
	Output []byte
	Error  string
	// NotStarted is true if the target has not started the task and will not
	// start it for this call. It may be true for the outcomes NotStarted,
	// Timeout and Cancelled.
	NotStarted bool
	// Duration is the duration of the call.
	Duration time.Duration
}

// Client calls one target. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the target at baseURL, for example
// "http://127.0.0.1:9400". It opens at most maxConns connections. If all are in
// use, a call waits for one until its budget ends.
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
		// HTTP/1.1 only: the HTTP/2 client resends requests by itself after a
		// connection is shut down.
		Protocols:           protocols,
		DisableCompression:  true,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		MaxIdleConns:        maxConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{url: strings.TrimSuffix(baseURL, "/") + tasksPath, http: &http.Client{
		Transport: transport,
		// After status 307 or 308 the client would send the task again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the task and waits for the response. If ctx is cancelled or the
// budget ends, the request is closed, which stops the task at the target.
func (c *Client) Run(ctx context.Context, call Call) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	result := c.run(ctx, call)
	result.Duration = time.Since(start)
	return result
}

func (c *Client) run(ctx context.Context, call Call) Result {
	var trace requestTrace
	request, err := c.request(httptrace.WithClientTrace(ctx, trace.clientTrace()), call)
	if err != nil {
		return Result{Outcome: job.NotStarted, NotStarted: true, Error: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return resultOfError(ctx, err, trace.confirmUnsent())
	}
	defer drain(response.Body)
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxOutputBytes+1))
	if err != nil {
		return resultOfError(ctx, err, false)
	}
	return resultOfResponse(response, body)
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

// resultOfError returns the result of a call that got no complete response.
func resultOfError(ctx context.Context, err error, nothingSent bool) Result {
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

func resultOfResponse(response *http.Response, body []byte) Result {
	if response.StatusCode == http.StatusOK {
		return resultOfOutput(body)
	}
	text := fmt.Sprintf("%s: %s", response.Status, bytes.TrimSpace(body[:min(len(body), maxErrorBytes)]))
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotStarted) == "true" {
		return Result{Outcome: job.NotStarted, NotStarted: true, Error: text}
	}
	return Result{Outcome: job.Failed, Error: text}
}

// resultOfOutput returns Failed for an output that is too large or is not valid
// JSON. The answer of the whole job could not be encoded with invalid JSON in it.
func resultOfOutput(body []byte) Result {
	if len(body) > MaxOutputBytes {
		return Result{Outcome: job.Failed, Error: fmt.Sprintf("output exceeds %d bytes", MaxOutputBytes)}
	}
	if !json.Valid(body) {
		return Result{Outcome: job.Failed, Error: "output is not valid JSON"}
	}
	return Result{Outcome: job.OK, Output: body}
}

// requestTrace records whether any byte of a request was written to a connection.
type requestTrace struct {
	// maybeSent is set if a byte may have been written to an earlier connection,
	// or to one that is no countingConn.
	maybeSent   bool
	conn        *countingConn
	bytesBefore int
}

func (t *requestTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

// gotConn is called by the transport, in the goroutine of the call, when it has
// selected a connection for the request.
func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.maybeSent = !t.confirmUnsent()
	conn := info.Conn
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	counting, ok := conn.(*countingConn)
	if !ok {
		t.maybeSent = true
		return
	}
	t.conn, t.bytesBefore = counting, counting.countedBytes()
}

// confirmUnsent reports whether no byte of the request was written. If so, it
// also prevents later writes, because after a cancellation the transport's write
// goroutine may not have run yet.
func (t *requestTrace) confirmUnsent() bool {
	return !t.maybeSent && (t.conn == nil || t.conn.sealIfUnchanged(t.bytesBefore))
}

// drain reads up to maxErrorBytes that are left of a body, so that the connection
// can be reused, and closes it.
func drain(body io.ReadCloser) {
	io.CopyN(io.Discard, body, maxErrorBytes)
	body.Close()
}
