package logclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against an error that is marked ErrNotAppended although the record may
// be in the log: a submission would be refused as not run while its claim is in
// the log. Also guards against a second append by the HTTP client, which status
// 307 and 308 ask for.
func TestAppendErrors(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodGet {
			body = []byte("201")
		}
		switch code, _ := strconv.Atoi(string(body)); code {
		case 0:
			panic(http.ErrAbortHandler)
		case http.StatusCreated:
			w.WriteHeader(code)
			fmt.Fprint(w, `{"offset":7}`)
		case http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect:
			http.Redirect(w, r, "/elsewhere", code)
		default:
			w.WriteHeader(code)
		}
	}))
	defer server.Close()
	closedListener, _ := net.Listen("tcp", "127.0.0.1:0")
	closedListener.Close()
	cases := []struct {
		url, data   string
		offset      uint64
		notAppended bool
	}{
		{server.URL, "201", 7, false},
		{server.URL, "200", 0, false},
		{server.URL, "303", 0, false},
		{server.URL, "307", 0, false},
		{server.URL, "308", 0, false},
		{server.URL, "500", 0, false},
		{server.URL, "503", 0, true},
		{server.URL, "504", 0, false},
		{server.URL, "abort", 0, false},
		{server.URL, "", 0, true},
		{"http://" + closedListener.Addr().String(), "201", 0, true},
	}
	for _, c := range cases {
		requests.Store(0)
		offset, err := New(c.url, nil).Append(context.Background(), "claims", []byte(c.data))
		if offset != c.offset || (err == nil) != (offset > 0) || errors.Is(err, ErrNotAppended) != c.notAppended || requests.Load() > 1 {
			t.Errorf("append %q: offset %d, error %v, %d requests, want ErrNotAppended %v", c.data, offset, err, requests.Load(), c.notAppended)
		}
	}
}

// Guards against a reader that makes no progress because a page of large records
// exceeds MaxPageBytes.
func TestReadHalvesPagesThatAreTooLarge(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count, _ := strconv.Atoi(r.URL.Query().Get("max"))
		if count > 2 {
			io.WriteString(w, strings.Repeat(" ", MaxPageBytes+1))
			return
		}
		fmt.Fprint(w, `{"first":1,"next":9,"records":[{"offset":3,"time":"2026-01-02T03:04:05.000000006Z","data":"YQ=="}]}`)
	}))
	defer server.Close()
	page, err := New(server.URL, nil).Read(context.Background(), "claims", 3, 10, 0)
	if err != nil || len(page.Records) != 1 || page.Next != 9 || string(page.Records[0].Data) != "a" {
		t.Errorf("page %+v, error %v", page, err)
	}
	if want := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC); err == nil && !page.Records[0].Time.Equal(want) {
		t.Errorf("time %v, want %v", page.Records[0].Time, want)
	}
}

// FuzzDecodePage guards against responses that make the decoder panic, and
// against pages with a gap or an invalid range of offsets that it accepts.
func FuzzDecodePage(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte, from uint64) {
		page, err := decodePage(body, from)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("error is not marked ErrMalformed: %v", err)
			}
			return
		}
		if page.First == 0 || page.Next < page.First {
			t.Errorf("accepted invalid range from %d to %d", page.First, page.Next)
		}
		for i, r := range page.Records {
			if r.Offset != max(from, page.First)+uint64(i) || r.Offset >= page.Next {
				t.Errorf("record %d of page from %d has offset %d", i, from, r.Offset)
			}
		}
	})
}

// FuzzDecodeAppend guards against accepting offset 0, which stands for no offset.
func FuzzDecodeAppend(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		if offset, err := decodeAppend(body); (offset == 0) != (err != nil) {
			t.Errorf("offset %d, error %v", offset, err)
		}
	})
}
