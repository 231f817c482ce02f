package intake

import (
	"bytes"
	"strconv"
	"strings"
)

// EarlyAnswerer answers requests before they reach the HTTP server, at a fraction of the
// processor time. It sees only those that have arrived as a whole with one read.
type EarlyAnswerer interface {
	// AnswerEarly returns the response to a request, with its head, or nil if the server
	// handles the request. admitted is then kept for the handler, see Admitted.
	AnswerEarly(h Head) (response []byte, admitted bool)
}

// Head is the head of an HTTP/1.1 request.
type Head struct {
	Method, Host string
	// Path is the target of the request. It has no query and no escaped characters.
	Path   string
	fields []byte
}

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Field returns the value of the first header field with a name, or an empty string.
func (h Head) Field(name string) string {
	for rest := h.fields; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, lineEnd)
		if field, value, _ := bytes.Cut(line, []byte{':'}); strings.EqualFold(string(field), name) {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// parseWhole parses a request that has arrived as a whole, with nothing after it. It reports
// false for any other, and for one with a feature that only the HTTP server knows.
func parseWhole(data []byte) (Head, bool) {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		return Head{}, false
	}
	line, fields, _ := bytes.Cut(data[:end], lineEnd)
	h, ok := parseRequestLine(line)
	if !ok {
		return Head{}, false
	}
	h.fields = fields
	bodyLength := 0
	for rest := fields; len(rest) > 0; {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		field, value, found := bytes.Cut(line, []byte{':'})
		if !found || !isToken(field) || !isText(value) {
			return Head{}, false
		}
		value = bytes.Trim(value, " \t")
		switch strings.ToLower(string(field)) {
		case "host":
			if h.Host != "" || len(value) == 0 {
				return Head{}, false
			}
			h.Host = string(value)
		case "content-length":
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || bodyLength != 0 {
				return Head{}, false
			}
			bodyLength = int(n)
		case "connection":
			if !strings.EqualFold(string(value), "keep-alive") {
				return Head{}, false
			}
		case "transfer-encoding", "expect", "upgrade", "trailer":
			return Head{}, false
		}
	}
	return h, h.Host != "" && len(data)-end-len(headEnd) == bodyLength
}

// parseRequestLine parses the first line of a request.
func parseRequestLine(line []byte) (Head, bool) {
	words := bytes.Split(line, []byte{' '})
	if len(words) != 3 || string(words[2]) != "HTTP/1.1" {
		return Head{}, false
	}
	method, path := words[0], words[1]
	plain := bytes.HasPrefix(path, []byte{'/'}) && !bytes.HasPrefix(path, []byte("//")) && !bytes.ContainsAny(path, "%?#") && isText(path)
	return Head{Method: string(method), Path: string(path)}, plain && isToken(method)
}

// isToken reports whether a method or a name of a header field has letters, digits, hyphens and
// underscores only.
func isToken(name []byte) bool {
	for _, b := range name {
		if (b|0x20 < 'a' || b|0x20 > 'z') && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether a value has printable ASCII characters, spaces and tabs only.
func isText(value []byte) bool {
	for _, b := range value {
		if b != '\t' && (b < ' ' || b > '~') {
			return false
		}
	}
	return true
}

// answerEarly answers a request that has been read as a whole, if its listener does so. It
// reports false if the HTTP server has to handle what was read.
func (c *Conn) answerEarly(data []byte) (answered bool, err error) {
	early := c.listener.options.Early
	if early == nil || c.begun.Load() || c.headBytes > 0 {
		return false, nil
	}
	if p := phase(c.phase.Load()); p != phaseIdle && p != phaseHead {
		return false, nil
	}
	h, ok := parseWhole(data)
	if !ok || len(data) > c.listener.headLimit() {
		return false, nil
	}
	response, admitted := early.AnswerEarly(h)
	if response == nil {
		c.admitted = admitted
		return false, nil
	}
	c.setPhase(phaseIdle)
	_, err = c.Write(response)
	return true, err
}
