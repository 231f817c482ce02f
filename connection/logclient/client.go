// Package logclient is the HTTP client of the platform's append-only log
// service. It distinguishes an append that had no effect from one whose outcome
// is unknown, and never sends an append a second time by itself.
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
	// MaxPageBytes bounds the body of one read response. If a page exceeds it,
	// half as many records are requested.
	MaxPageBytes = 16 << 20

	// maxConns allows an entry one connection for each stream that it follows
	// (claims, config, members) and one for the append in flight to each of
	// them; the rest is for reads that catch up.
	maxConns = 8
	// idleConnTimeout is below the 60 s after which common servers and load
	// balancers close idle connections. The client closes them first, so that a
	// request is seldom sent on a connection that the server is closing.
	idleConnTimeout = 30 * time.Second
	dialTimeout     = 2 * time.Second
	// maxErrorBytes bounds what is read of error and append responses, and of the
	// unread rest of a body.
	maxErrorBytes = 1 << 10
)

// ErrNotAppended marks the error of an append that had no effect. After any other
// error of Append the outcome is unknown.
var ErrNotAppended = errors.New("record not appended")

// ErrMalformed marks the error of a response that does not follow the protocol.
var ErrMalformed = errors.New("malformed response of the log service")

// errPageTooLarge marks the error of a page that exceeds MaxPageBytes.
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
	// First is the oldest retained offset. It equals Next if no record is
	// retained.
	First uint64
	// Next is the offset of the next append.
	Next uint64
}

// Client accesses one log service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewHTTPClient returns an http.Client with connection limits for the log
// service. It uses no proxy, and HTTP/1.1 only, because the HTTP/2 client resends
// requests by itself after a connection is shut down.
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
// "http://127.0.0.1:9300". If client is nil, NewHTTPClient is used. Redirects are
// not followed, because after status 307 or 308 the append would be sent again.
func New(baseURL string, client *http.Client) *Client {
	if client == nil {
		client = NewHTTPClient()
	}
	copied := *client
	copied.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: &copied}
}

// Append appends one record and returns its offset. An error marked
// ErrNotAppended means that the append had no effect. After any other error the
// record may be in the stream already or appear in it later.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset uint64, err error) {
	if len(data) == 0 || len(data) > MaxRecordBytes {
		return 0, errors.Mark(errors.Newf("append to %s: a record must have 1 to %d bytes, this one has %d",
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
		err := errors.Newf("append to %s at %s: %s", stream, c.baseURL, describeResponse(response))
		if response.StatusCode == http.StatusServiceUnavailable {
			return 0, errors.Mark(err, ErrNotAppended)
		}
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return 0, errors.Wrapf(err, "append to %s: read response", stream)
	}
	offset, err = decodeAppend(body)
	return offset, errors.Wrapf(err, "append to %s at %s", stream, c.baseURL)
}

// Read returns at most max records with offsets from on. If there is none, the
// service waits for one, for at most wait rounded down to milliseconds. If from
// is below the oldest retained offset, the records begin at that offset, which is
// Page.First. The error of an invalid response is marked ErrMalformed.
func (c *Client) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error) {
	if from == 0 || max <= 0 {
		return Page{}, errors.Newf("read %s: offset %d and count %d must be at least 1", stream, from, max)
	}
	for {
		page, err := c.read(ctx, stream, from, max, wait)
		if !errors.Is(err, errPageTooLarge) || max == 1 {
			return page, errors.Wrapf(err, "read %s from %d at %s", stream, from, c.baseURL)
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
		return Page{}, errors.Newf("%s", describeResponse(response))
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
	return c.baseURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// decodeAppend returns the offset in the body of a 201 response to an append.
func decodeAppend(body []byte) (uint64, error) {
	var decoded struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return 0, errors.Mark(err, ErrMalformed)
	}
	if decoded.Offset == 0 {
		return 0, errors.Mark(errors.New("offset is missing or 0"), ErrMalformed)
	}
	return decoded.Offset, nil
}

// decodePage decodes the body of a 200 response to a read. It checks that the
// offsets are consecutive and in range, so that a reader gets an error from a
// faulty page and does not skip records.
func decodePage(body []byte, from uint64) (Page, error) {
	var decoded struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Offset uint64    `json:"offset"`
			Time   time.Time `json:"time"`
			Data   []byte    `json:"data"`
		} `json:"records"`
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return Page{}, errors.Mark(err, ErrMalformed)
	}
	if decoded.First == 0 || decoded.Next < decoded.First {
		return Page{}, errors.Mark(errors.Newf("first offset %d and next offset %d are not a valid range", decoded.First, decoded.Next), ErrMalformed)
	}
	page := Page{First: decoded.First, Next: decoded.Next, Records: make([]Record, 0, len(decoded.Records))}
	expected := max(from, decoded.First)
	for _, r := range decoded.Records {
		if r.Offset != expected || r.Offset >= decoded.Next {
			return Page{}, errors.Mark(errors.Newf("record has offset %d, expected %d and less than the next offset %d",
				r.Offset, expected, decoded.Next), ErrMalformed)
		}
		expected++
		page.Records = append(page.Records, Record{Offset: r.Offset, Time: r.Time, Data: r.Data})
	}
	return page, nil
}

// describeResponse returns the status of a response and the start of its body.
func describeResponse(response *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return strings.TrimSpace(fmt.Sprintf("%s %s", response.Status, bytes.TrimSpace(body)))
}

// drain reads up to maxErrorBytes that are left of a body, so that the connection
// can be reused, and closes it.
func drain(body io.ReadCloser) {
	io.CopyN(io.Discard, body, maxErrorBytes)
	body.Close()
}
