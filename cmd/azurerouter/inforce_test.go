package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a publication that is reported as in force while a process still has
// the earlier configuration or cannot be reached.
func TestAwaitInForce(t *testing.T) {
	var offset atomic.Uint64
	process := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"state":{"config_offset":%d}}`, offset.Add(1))
	}))
	defer process.Close()
	addr := strings.TrimPrefix(process.URL, "http://")
	var out bytes.Buffer
	p := &publisher{stdout: &out}
	if err := p.awaitInForce(context.Background(), []string{addr, addr}, 6); err != nil || offset.Load() < 6 {
		t.Errorf("ended at offset %d with %v", offset.Load(), err)
	}
	if !strings.Contains(out.String(), "in force in 2 processes") {
		t.Errorf("printed %q", out.String())
	}
	ended, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer cancel()
	if err := p.awaitInForce(ended, []string{addr}, 1); err == nil || !strings.Contains(err.Error(), addr) {
		t.Errorf("unreachable process: %v", err)
	}
}
