package dialer

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Watch returns the request with a flag that is set once it has a connection.
// While it is not set, no byte of the request was sent, whatever the error
// says: a time-out while dialling looks like one of the call.
func Watch(r *http.Request) (*http.Request, *atomic.Bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), &connected
}
