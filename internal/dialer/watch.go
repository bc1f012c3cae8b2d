package dialer

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// TrackConnected returns the request and a flag that is set once the request has
// a connection. If the flag is not set, no byte of the request was sent. The error
// does not tell this, as a timeout while connecting looks like one of the call.
func TrackConnected(r *http.Request) (*http.Request, *atomic.Bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), &connected
}
