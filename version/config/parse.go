package config

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// maxNestingLevels bounds the nesting of objects and lists in a file. The parser
// recurses once per level, so deeper input could exhaust the stack.
const maxNestingLevels = 32

// parsedFile is the syntax tree of one file.
type parsedFile struct {
	name string
	root hujson.Value
	// lineStarts holds the byte offset of the start of each line. Counting the
	// newlines for each fault would take time quadratic in the size of the file.
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

// line returns the number of the line at a byte offset, counted from 1.
func (p *parsedFile) line(offset int) int {
	return sort.SearchInts(p.lineStarts, offset+1)
}

// parseFile parses a file, unless it is too large or nested too deeply.
func parseFile(f File) (*parsedFile, *Fault) {
	if len(f.Content) > MaxFileBytes {
		return nil, &Fault{File: f.Name, Message: fmt.Sprintf("file of %d bytes is too large", len(f.Content)),
			Expected: fmt.Sprintf("at most %d bytes", MaxFileBytes)}
	}
	p := newParsedFile(f)
	if offset, found := findExcessNesting(f.Content); found {
		return nil, &Fault{File: f.Name, Line: p.line(offset), Message: "values are nested too deeply",
			Expected: fmt.Sprintf("at most %d levels", maxNestingLevels)}
	}
	// The parser rejects a line comment without a newline at its end. Editors that
	// add no newline at the end of a file can leave such a comment on the last line.
	value, err := hujson.Parse(append(bytes.Clone(f.Content), '\n'))
	if err != nil {
		return nil, syntaxFault(f.Name, err, len(p.lineStarts))
	}
	p.root = value
	return p, nil
}

// syntaxFault returns the fault for an error of the parser, whose message
// includes line and column. The newline that parseFile appends can make the parser
// report a line after the last one; the fault then has the last line and no column.
func syntaxFault(name string, err error, lineCount int) *Fault {
	fault := &Fault{File: name, Message: err.Error(), Expected: "JSON with comments and trailing commas"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return fault
	}
	fault.Line = min(line, lineCount)
	fault.Message = errors.UnwrapAll(err).Error()
	if line <= lineCount {
		fault.Message = fmt.Sprintf("column %d: %s", column, fault.Message)
	}
	return fault
}

// findExcessNesting returns the byte offset at which the nesting exceeds
// maxNestingLevels, and whether there is one. It parses strings and comments only
// as far as needed to skip the brackets in them.
func findExcessNesting(content []byte) (offset int, found bool) {
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
		if depth > maxNestingLevels {
			return i, true
		}
	}
	return 0, false
}

// endOfString returns the index of the closing quote of the string at start, or
// len(content) if it is not closed.
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

// endOfComment returns the index of the last byte of the comment at start, start
// itself if there is no comment, or len(content) if the comment is not closed.
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

// typeName returns the name of the JSON type of a value, for messages.
func typeName(v hujson.Value) string {
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

// integerLiteral returns the value of an integer literal. It rejects fractions and
// exponents, because every setting is a whole number of its unit.
func integerLiteral(v hujson.Value) (int64, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return 0, false
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	return n, err == nil
}

// stringLiteral returns the value of a string literal.
func stringLiteral(v hujson.Value) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	return literal.String(), true
}
