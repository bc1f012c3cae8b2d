package bounder

import (
	"io"

	"cowslipbend.dev"
)

// valueMemory is how much memory a value of a JSON text takes at most, without its own text,
// once it is decoded.
const valueMemory = 256 * cowslipbend.Bytes(1)

// Reserve takes the memory for what the body, which has been read, is decoded into. It returns
// a refusal if there is none: the request has not run. maxValues is how many values the text
// may have; zero means no limit.
func Reserve(r io.ReadCloser, text []byte, maxValues int) *cowslipbend.Error {
	values := countValues(text)
	if maxValues > 0 && values > maxValues {
		return cowslipbend.Invalid("body", "has too many values", "send less at a time")
	}
	b, ok := r.(*body)
	if !ok || b.hold(cowslipbend.Bytes(values)*valueMemory) {
		return nil
	}
	return Refusal(b.fail(nil))
}

// countValues returns an upper bound of the number of values in a JSON text.
func countValues(text []byte) int {
	values, quoted := 1, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case !quoted && (c == ',' || c == '[' || c == '{'):
			values++
		}
	}
	return values
}
