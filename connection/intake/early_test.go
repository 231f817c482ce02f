package intake

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// rejectPath answers requests for one path early and admits all others.
type rejectPath string

func (p rejectPath) AnswerEarly(h Head) ([]byte, bool) {
	if h.Path == string(p) {
		return []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Field: " + h.Field("x-field") + "\r\n\r\n"), false
	}
	return nil, true
}

// Guards against an early answer that takes a request from the server or the order of the
// answers on a connection, and against one to a part of a request or to two at once.
func TestEarlyAnswersShareAConnection(t *testing.T) {
	_, addr := serveEcho(t, ListenerOptions{MaxConns: 10, Early: rejectPath("/busy")})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	busy, idle := "POST /busy HTTP/1.1\r\nHost: x\r\nX-Field: 1\r\nContent-Length: 2\r\n\r\nab", "POST /idle HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
	reader := bufio.NewReader(conn)
	for i, step := range []struct {
		text string
		want []int
	}{{busy, []int{503}}, {busy, []int{503}}, {idle, []int{200}}, {busy, []int{503}}, {idle + idle, []int{200, 200}}} {
		if _, err := io.WriteString(conn, step.text); err != nil {
			t.Fatal(err)
		}
		for _, want := range step.want {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if response.StatusCode != want || want == 503 && response.Header.Get("X-Field") != "1" {
				t.Errorf("step %d: %d %v, want %d", i, response.StatusCode, response.Header, want)
			}
		}
	}
	// The server decides about a request that does not come with one read.
	if _, response := exchange(t, addr, busy[:40]); response != nil {
		t.Errorf("%d to a part of a request", response.StatusCode)
	}
}

// Guards against a head that is read otherwise than the HTTP server reads it: a rejection for
// another job, or for something that is no request.
func FuzzHeadIsReadLikeTheServerDoes(f *testing.F) {
	head := "POST /q/0123 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\nX-Deadline: 1500\r\n"
	for _, seed := range []string{head + "\r\nab", head + "\r\nabc", head + "\r\na", head + "Connection: close\r\n\r\nab", head + "Host: b\r\n\r\nab",
		head + "Transfer-Encoding: chunked\r\n\r\nab", head + " folded\r\n\r\nab", strings.Replace(head, "/q/", "/q%2f", 1) + "\r\nab",
		strings.Replace(head, "/q/", "http://x/q/", 1) + "\r\nab", strings.Replace(head, "1.1", "1.0", 1) + "\r\nab", "\r\n" + head + "\r\nab",
		head + "Content-Length: 3\r\n\r\nab", head + "Expect: 100-continue\r\n\r\nab", head + "Bad Name: x\r\n\r\nab"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h, ok := parseWhole(data)
		if !ok {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			t.Fatalf("%q: the server refuses it: %v", data, err)
		}
		if r.Method != h.Method || r.Host != h.Host || r.URL.Path != h.Path || r.Close || r.Header.Get("X-Deadline") != h.Field("x-deadline") {
			t.Errorf("%q: %s %s %s, the server reads %s %s %s", data, h.Method, h.Host, h.Path, r.Method, r.Host, r.URL.Path)
		}
		body, err := io.ReadAll(r.Body)
		if _, length, _ := bytes.Cut(data, headEnd); err != nil || len(body) != len(length) {
			t.Errorf("%q: the server reads a body of %d bytes, %v", data, len(body), err)
		}
	})
}
