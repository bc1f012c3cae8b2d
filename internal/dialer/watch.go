package dialer

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// TrackConnected returns the request and a flag that is set once the request has
// a connection. If the flag is not set, no byte of the request was sent. The error
// of the call does not say so, as a timeout while connecting cannot be told from one
// while waiting for the reply.
func TrackConnected(r *http.Request) (*http.Request, *atomic.Bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), &connected
}
