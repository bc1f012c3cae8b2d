// Package dialer makes the HTTP clients of calls between processes. Pooled
// connections speak unencrypted HTTP/2 and are pinged, so that one that went
// silent is found and dropped; fresh ones are opened for a single call.
package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cowslipbend.dev"
)

// HeaderSecret carries the shared secret of the system's processes.
const HeaderSecret = "Cowslip-Secret"

// Times of a connection.
const (
	dialTimeout = 1 * time.Second
	pingIdle    = 1 * time.Second // silence before a ping
	pingTimeout = 1 * time.Second // silence after a ping
	idleTimeout = 60 * time.Second
)

// DialError marks a request that was never sent, as no connection came about.
type DialError struct{ Cause error }

// Error names the cause.
func (e *DialError) Error() string { return "no connection: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Unsent reports whether err proves that no byte of the request was sent.
func Unsent(err error) bool {
	_, ok := errors.AsType[*DialError](err)
	return ok
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, &DialError{Cause: err}
	}
	return conn, nil
}

// secretTripper adds the secret to each request.
type secretTripper struct {
	next   http.RoundTripper
	secret string
}

// RoundTrip sends a copy of the request with the secret.
func (t secretTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.secret == "" {
		return t.next.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.Header.Set(HeaderSecret, t.secret)
	return t.next.RoundTrip(r)
}

// CloseIdleConnections closes those of the wrapped transport.
func (t secretTripper) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// transport returns a transport that keeps HTTP/2 connections open and pings
// them.
func transport() *http.Transport {
	tr := &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		Protocols:          new(http.Protocols),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout},
	}
	tr.Protocols.SetUnencryptedHTTP2(true)
	return tr
}

// Pooled returns a client that keeps HTTP/2 connections open and pings them.
func Pooled(secret string) *http.Client {
	return &http.Client{Transport: secretTripper{transport(), secret}, CheckRedirect: noRedirect}
}

// Fresh returns a client that opens a connection for each call, for calls
// that must not trust an open one.
func Fresh(secret string, timeout cowslipbend.Span) *http.Client {
	tr := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: secretTripper{tr, secret}, Timeout: timeout.Duration(), CheckRedirect: noRedirect}
}

// Local returns a client for peers on the same host, over HTTP/1.1.
func Local(conns int) *http.Client {
	tr := &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
	}
	return &http.Client{Transport: tr, CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
