// Package logclient is the HTTP client of the platform's append-only log
// service. It tells an append that certainly had no effect from one whose
// outcome is open, and never sends an append twice on its own.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the client.
const (
	// MaxRecordBytes bounds the data of one append.
	MaxRecordBytes = 1 << 20
	// MaxPageBytes bounds the body of one read response. A page that exceeds
	// it is read again with half as many records.
	MaxPageBytes = 16 << 20

	// An entry uses one connection per followed stream (claims, config,
	// members) and one for the append in flight per stream; the rest is for
	// catch-up reads.
	maxConns = 8
	// Below the 60 s after which common servers and load balancers close idle
	// connections, so that the client closes first and a request seldom meets
	// a connection that is being closed.
	idleConnTimeout = 30 * time.Second
	dialTimeout     = 2 * time.Second
	maxErrorBytes   = 1 << 10
)

// ErrNotAppended marks an append error that certainly had no effect. Any other
// error of Append leaves the outcome open.
var ErrNotAppended = errors.New("record not appended")

// ErrMalformed marks a response that does not follow the protocol.
var ErrMalformed = errors.New("malformed response of the log service")

// errPageTooLarge marks a page that exceeds MaxPageBytes.
var errPageTooLarge = errors.New("page too large")

// Record is one record of a stream.
type Record struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// Page is the result of one read. Records are in ascending order of offsets.
type Page struct {
	Records []Record
	// First is the oldest retained offset. It equals Next if none is retained.
	First uint64
	// Next is the offset of the next append.
	Next uint64
}

// Client accesses one log service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewHTTPClient returns an http.Client with connection limits for the log
// service. It uses no proxy and HTTP/1.1 only: the HTTP/2 client resends
// requests on its own after a connection is shut down.
func NewHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		Protocols:           protocols,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		MaxIdleConns:        maxConns,
		IdleConnTimeout:     idleConnTimeout,
	}}
}

// New returns a client of the log service at baseURL, for example
// "http://127.0.0.1:9300". A nil client stands for NewHTTPClient. Redirects
// are never followed, because 307 and 308 would send an append again.
func New(baseURL string, client *http.Client) *Client {
	if client == nil {
		client = NewHTTPClient()
	}
	own := *client
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: strings.TrimSuffix(baseURL, "/"), http: &own}
}

// Append appends one record and returns its offset. An error marked
// ErrNotAppended states that the append had no effect; after any other error
// the record may be in the stream now or appear in it later.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset uint64, err error) {
	if len(data) == 0 || len(data) > MaxRecordBytes {
		return 0, errors.Mark(errors.Newf("append to %s: a record has 1 to %d bytes, this one has %d",
			stream, MaxRecordBytes, len(data)), ErrNotAppended)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "append to %s", stream), ErrNotAppended)
	}
	// Without GetBody the transport cannot send the request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := c.http.Do(request)
	if err != nil {
		err = errors.Wrapf(err, "append to %s", stream)
		if !connected.Load() {
			return 0, errors.Mark(err, ErrNotAppended)
		}
		return 0, err
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusCreated {
		err := errors.Newf("append to %s at %s: %s", stream, c.base, describe(response))
		if response.StatusCode == http.StatusServiceUnavailable {
			return 0, errors.Mark(err, ErrNotAppended)
		}
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return 0, errors.Wrapf(err, "append to %s: response", stream)
	}
	offset, err = decodeAppend(body)
	return offset, errors.Wrapf(err, "append to %s at %s", stream, c.base)
}

// Read returns at most max records at or after from. If there is none, it
// waits up to wait for one; waits are rounded down to milliseconds. A from
// below the oldest retained offset returns records from that offset on, which
// the caller recognises by Page.First.
func (c *Client) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error) {
	if from == 0 || max <= 0 {
		return Page{}, errors.Newf("read %s: offset %d and count %d must be at least 1", stream, from, max)
	}
	for {
		page, err := c.read(ctx, stream, from, max, wait)
		if !errors.Is(err, errPageTooLarge) || max == 1 {
			return page, errors.Wrapf(err, "read %s from %d at %s", stream, from, c.base)
		}
		max /= 2
	}
}

func (c *Client) read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(max))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Page{}, err
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return Page{}, errors.Newf("%s", describe(response))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxPageBytes+1))
	if err != nil {
		return Page{}, err
	}
	if len(body) > MaxPageBytes {
		return Page{}, errors.Mark(errors.Newf("page of %d records exceeds %d bytes", max, MaxPageBytes), errPageTooLarge)
	}
	return decodePage(body, from)
}

func (c *Client) recordsURL(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// decodeAppend decodes the body of a 201 answer to an append.
func decodeAppend(body []byte) (uint64, error) {
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, errors.Mark(err, ErrMalformed)
	}
	if answer.Offset == 0 {
		return 0, errors.Mark(errors.New("offset is missing or 0"), ErrMalformed)
	}
	return answer.Offset, nil
}

// decodePage decodes the body of a 200 answer to a read. It checks everything
// that readers rely on, so that a faulty page is an error and not a gap.
func decodePage(body []byte, from uint64) (Page, error) {
	var answer struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Offset uint64    `json:"offset"`
			Time   time.Time `json:"time"`
			Data   []byte    `json:"data"`
		} `json:"records"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return Page{}, errors.Mark(err, ErrMalformed)
	}
	if answer.First == 0 || answer.Next < answer.First {
		return Page{}, errors.Mark(errors.Newf("first %d and next %d are not a range", answer.First, answer.Next), ErrMalformed)
	}
	page := Page{First: answer.First, Next: answer.Next, Records: make([]Record, 0, len(answer.Records))}
	expected := max(from, answer.First)
	for _, r := range answer.Records {
		if r.Offset != expected || r.Offset >= answer.Next {
			return Page{}, errors.Mark(errors.Newf("record %d where %d is expected, next is %d",
				r.Offset, expected, answer.Next), ErrMalformed)
		}
		expected++
		page.Records = append(page.Records, Record{Offset: r.Offset, Time: r.Time, Data: r.Data})
	}
	return page, nil
}

// describe returns the status of a response and the start of its body.
func describe(response *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return strings.TrimSpace(fmt.Sprintf("%s %s", response.Status, bytes.TrimSpace(body)))
}

// drain reads the rest of a short body, so that the connection can be reused.
func drain(body io.ReadCloser) {
	io.CopyN(io.Discard, body, maxErrorBytes)
	body.Close()
}
