package intake

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrTooComplex is the error of a JSON text with too many values or too deep nesting.
var ErrTooComplex = errors.New("too many JSON values")

// Memory of decoded JSON values, including what growing slices leave behind.
const (
	objectCost = 512
	valueCost  = 64
	levelCost  = 32
	// unscannedBytes is the length up to which a text is decoded without a scan. Decoding takes at
	// most some 200 KB for such a text, and is not interrupted, so that no more texts are
	// decoded at once than there are processors.
	unscannedBytes = 1 << 10
)

// JSONBounds bounds a JSON text before it is decoded.
type JSONBounds struct {
	// Depth is the deepest level whose values are counted, because the decoder keeps deeper
	// ones as text. The text itself is level 0.
	Depth int
	// Values is the largest number of values.
	Values int
}

// DecodeCost returns about how many bytes decoding a JSON text allocates beside the text, without
// decoding it. It returns ErrTooComplex if the text exceeds the bounds. A text that is not valid
// JSON has a cost too.
func (b JSONBounds) DecodeCost(text []byte) (int64, error) {
	if len(text) <= unscannedBytes {
		return int64(len(text)), nil
	}
	depth, deepest, values, objects := 0, 0, 1, 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			i += stringLength(text[i+1:])
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
			if depth <= b.Depth {
				values++
				if c == '{' {
					objects++
				}
			}
		case c == '}' || c == ']':
			depth--
		case c == ',' && depth <= b.Depth:
			values++
		}
		if values > b.Values {
			return 0, ErrTooComplex
		}
	}
	return int64(len(text)) + int64(objects)*objectCost + int64(values)*valueCost + int64(deepest)*levelCost, nil
}

// stringLength returns the length of the rest of a JSON string with its closing quote, or of the
// whole text if the string does not end.
func stringLength(text []byte) int {
	length := 0
	for {
		i := bytes.IndexByte(text[length:], '"')
		if i < 0 {
			return len(text)
		}
		escapes := 0
		for escapes < i && text[length+i-1-escapes] == '\\' {
			escapes++
		}
		length += i + 1
		if escapes%2 == 0 {
			return length
		}
	}
}
