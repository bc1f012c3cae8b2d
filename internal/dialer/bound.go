package dialer

import (
	"fmt"
	"io"

	"cowslipbend.dev"
)

// Bound returns a reader of a body that fails if the body is larger than the limit in
// bytes. Unlike io.LimitReader it never passes the first part off as the whole.
func Bound(body io.Reader, limit int64) io.Reader {
	return &boundedReader{body: body, limit: limit, left: limit}
}

// boundedReader reads up to limit bytes.
type boundedReader struct {
	body        io.Reader
	limit, left int64
}

// Read reads from the body.
func (r *boundedReader) Read(data []byte) (int, error) {
	if r.left == 0 {
		return 0, r.readEnd()
	}
	n, err := r.body.Read(data[:min(int64(len(data)), r.left)])
	r.left -= int64(n)
	return n, err
}

// readEnd returns io.EOF if the body ends at the limit.
func (r *boundedReader) readEnd() error {
	var next [1]byte
	n, err := r.body.Read(next[:])
	if n == 0 {
		return err
	}
	return cowslipbend.Fail(cowslipbend.KindBroken, fmt.Sprintf("body is larger than %d bytes", r.limit), "make what is asked for smaller")
}
