package dialer

import (
	"io"
	"net/http"
)

// SendOnce changes a request so that the transport never retries it by itself.
// When a reused connection breaks, the transport retries requests that have an
// idempotent method and no body, or a body that it can get again by GetBody.
func SendOnce(r *http.Request) {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = emptyBody{}
	}
}

// emptyBody is a body without content. The transport does not recognise it as
// http.NoBody, so that it takes the request for one with a body.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
