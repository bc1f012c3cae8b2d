package dialer

import (
	"io"
	"net/http"
)

// SendOnce marks a request so that the transport never repeats it by itself.
// The transport repeats requests of idempotent methods without a body, and
// those whose body it can get anew, on a connection that broke.
func SendOnce(r *http.Request) {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = empty{}
	}
}

// empty is a body without content that the transport does not take for none.
type empty struct{}

// Read returns io.EOF.
func (empty) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (empty) Close() error { return nil }
