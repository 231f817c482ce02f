package config

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of a file. The parser recurses once per level,
// so that deeper input could exhaust the stack.
const maxDepth = 32

// parsedFile is the syntax tree of one file.
type parsedFile struct {
	name string
	root hujson.Value
	// lineStarts holds the offset of the first byte of each line. Counting
	// newlines for each fault would be quadratic in the size of the file.
	lineStarts []int
}

func newParsedFile(f File) *parsedFile {
	p := &parsedFile{name: f.Name, lineStarts: []int{0}}
	for i, c := range f.Content {
		if c == '\n' {
			p.lineStarts = append(p.lineStarts, i+1)
		}
	}
	return p
}

// line returns the line of a byte offset, counted from 1.
func (p *parsedFile) line(offset int) int {
	return sort.SearchInts(p.lineStarts, offset+1)
}

func parseFile(f File) (*parsedFile, *Fault) {
	if len(f.Content) > MaxFileBytes {
		return nil, &Fault{File: f.Name, Message: fmt.Sprintf("file of %d bytes is too large", len(f.Content)),
			Expected: fmt.Sprintf("at most %d bytes", MaxFileBytes)}
	}
	p := newParsedFile(f)
	if offset, ok := tooDeep(f.Content); ok {
		return nil, &Fault{File: f.Name, Line: p.line(offset), Message: "values are nested too deeply",
			Expected: fmt.Sprintf("at most %d levels", maxDepth)}
	}
	// The parser refuses a line comment that the end of the file cuts off, which
	// is what an editor that adds no last newline leaves behind.
	value, err := hujson.Parse(append(bytes.Clone(f.Content), '\n'))
	if err != nil {
		return nil, syntaxFault(f.Name, err, len(p.lineStarts))
	}
	p.root = value
	return p, nil
}

// syntaxFault takes the line out of the parser's message. The newline that
// parseFile adds can move the fault past the last line.
func syntaxFault(name string, err error, lines int) *Fault {
	fault := &Fault{File: name, Message: err.Error(), Expected: "JSON with comments and trailing commas"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return fault
	}
	fault.Line = min(line, lines)
	fault.Message = errors.UnwrapAll(err).Error()
	if line <= lines {
		fault.Message = fmt.Sprintf("column %d: %s", column, fault.Message)
	}
	return fault
}

// tooDeep returns the offset at which the nesting exceeds maxDepth. It follows
// strings and comments only as far as needed to skip the brackets in them.
func tooDeep(content []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(content); i++ {
		switch content[i] {
		case '"':
			i = endOfString(content, i)
		case '/':
			i = endOfComment(content, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

func endOfString(content []byte, start int) int {
	for i := start + 1; i < len(content); i++ {
		switch content[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(content)
}

func endOfComment(content []byte, start int) int {
	rest := content[start:]
	terminator, skip := []byte("\n"), 2
	switch {
	case bytes.HasPrefix(rest, []byte("/*")):
		terminator = []byte("*/")
	case !bytes.HasPrefix(rest, []byte("//")):
		return start
	}
	end := bytes.Index(rest[skip:], terminator)
	if end < 0 {
		return len(content)
	}
	return start + skip + end + len(terminator) - 1
}

// kindOf names the type of a value for messages.
func kindOf(v hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "boolean"
	case '"':
		return "string"
	case '0':
		return "number"
	case '{':
		return "object"
	}
	return "list"
}

func isNull(v hujson.Value) bool { return v.Value.Kind() == 'n' }

// number returns the value of an integer literal. Fractions and exponents are
// refused, because every setting is a whole number of its unit.
func number(v hujson.Value) (int64, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return 0, false
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	return n, err == nil
}

// text returns the value of a string literal.
func text(v hujson.Value) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	return literal.String(), true
}
