// Package dialer makes the HTTP clients for calls between processes. Pooled and
// Transports keep unencrypted HTTP/2 connections and ping them, so that a dead
// one is detected and closed; Unpooled opens a connection for each call; PooledHTTP1
// and VerifiedHTTP1 keep HTTP/1.1 connections.
package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cowslipbend.dev"
)

// HeaderSecret holds the secret that all processes of the system share.
const HeaderSecret = "Cowslip-Secret"

// Timeouts of connections.
const (
	dialTimeout  = 1 * time.Second
	pingInterval = 1 * time.Second // without a received frame before a ping
	pingTimeout  = 1 * time.Second // without a reply to the ping
	idleTimeout  = 60 * time.Second
)

// DialError is the error of a request that was not sent because no connection
// could be made.
type DialError struct{ Cause error }

// Error returns the message with that of the cause.
func (e *DialError) Error() string { return "cannot connect: " + e.Cause.Error() }

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

// secretTransport adds HeaderSecret to each request, unless the secret is empty.
type secretTransport struct {
	next   http.RoundTripper
	secret string
}

// RoundTrip sends a copy of the request with the secret, as a RoundTripper must
// not modify the request itself.
func (t secretTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.secret == "" {
		return t.next.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.Header.Set(HeaderSecret, t.secret)
	return t.next.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t secretTransport) CloseIdleConnections() { closeIdleConnections(t.next) }

// closeIdleConnections closes the idle connections of a transport that has any.
func closeIdleConnections(rt http.RoundTripper) {
	if c, ok := rt.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// newTransport returns a transport that keeps unencrypted HTTP/2 connections and
// pings them.
func newTransport() *http.Transport {
	tr := &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		Protocols:          new(http.Protocols),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	tr.Protocols.SetUnencryptedHTTP2(true)
	return tr
}

// Pooled returns a client that keeps unencrypted HTTP/2 connections and pings
// them.
func Pooled(secret string) *http.Client {
	return &http.Client{Transport: secretTransport{newTransport(), secret}, CheckRedirect: noRedirect}
}

// Unpooled returns a client that opens a connection for each call, for calls
// that must not depend on an open connection, which may be dead.
func Unpooled(secret string, timeout cowslipbend.Span) *http.Client {
	tr := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: secretTransport{tr, secret}, Timeout: timeout.Duration(), CheckRedirect: noRedirect}
}

// PooledHTTP1 returns a client that keeps up to conns idle HTTP/1.1 connections to
// each peer. It neither pings them nor sends HeaderSecret. It is meant for peers on
// the same host and inside the users' platform.
func PooledHTTP1(conns int) *http.Client {
	return &http.Client{Transport: newHTTP1Transport(conns, dial), CheckRedirect: noRedirect}
}

// VerifiedHTTP1 is like PooledHTTP1 with at most conns connections to each peer, and has the
// function verify each new connection before a request is sent on it. If the function says that
// the connection cannot be used after that, the request is sent on another one. Its error is that
// of a connection that could not be made.
func VerifiedHTTP1(conns int, verify func(net.Conn) (usable bool, err error)) *http.Client {
	dialVerified := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		usable, err := verify(conn)
		if err == nil && usable {
			return conn, nil
		}
		_ = conn.Close()
		if err != nil {
			return nil, &DialError{Cause: err}
		}
		return dial(ctx, network, addr)
	}
	tr := newHTTP1Transport(conns, dialVerified)
	tr.MaxConnsPerHost = conns
	return &http.Client{Transport: tr, CheckRedirect: noRedirect}
}

func newHTTP1Transport(conns int, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
