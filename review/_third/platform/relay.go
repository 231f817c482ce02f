package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// relay passes the calls of an agent on to its executor. It can hold calls back: they get no answer
// and are carried out later.
type relay struct {
	server *httptest.Server
	target string

	mu sync.Mutex
	// intercept, if set, is asked for each call. A call for which it returns true is held back.
	intercept func(c *heldCall) bool
	// times has the time of each call, for the share that is held back.
	times []time.Time
}

// heldCall is a call that may be held back.
type heldCall struct {
	path, instance string
	body           []byte
}

var relayClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func newRelay(target string) *relay {
	r := &relay{target: target}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	return r
}

func (r *relay) addr() string { return strings.TrimPrefix(r.server.URL, "http://") }

func (r *relay) stop() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// holdBack sets the function that chooses the calls to hold back, or none.
func (r *relay) holdBack(intercept func(c *heldCall) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intercept = intercept
}

// callsSince returns the number of calls since a time.
func (r *relay) callsSince(t time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.times {
		if at.After(t) {
			n++
		}
	}
	return n
}

func (r *relay) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c := &heldCall{path: request.URL.Path, instance: request.Header.Get("Azurerouter-Target-Instance"), body: body}
	r.mu.Lock()
	r.times = append(r.times, time.Now())
	intercept := r.intercept
	r.mu.Unlock()
	if intercept != nil && intercept(c) {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	call, err := http.NewRequestWithContext(request.Context(), request.Method, "http://"+r.target+request.URL.String(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	call.Header = request.Header.Clone()
	response, err := relayClient.Do(call)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// deliver carries a call out that was held back, and returns the answer, which nobody gets.
func (r *relay) deliver(c *heldCall) string {
	call, err := http.NewRequest(http.MethodPost, "http://"+r.target+c.path, bytes.NewReader(c.body))
	if err != nil {
		return err.Error()
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Azurerouter-Target-Instance", c.instance)
	response, err := relayClient.Do(call)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.Status + " " + string(answer)
}
