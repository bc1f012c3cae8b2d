// Package piper connects an HTTP client with a handler in memory, over a link of
// limited bandwidth. It is for tests inside a bubble of testing/synctest, in which
// the time that a transfer takes passes at once and is the same in each run.
package piper

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
)

const (
	// tick is how often a link passes bytes on.
	tick = 10 * cowslipbend.Millisecond
	// closeTime is longer than a write waits for its tick, and than a server delays the
	// closing of a connection with unread bytes.
	closeTime = cowslipbend.Second
)

// Link is the link between a client and its server.
type Link struct {
	// Rate is in bytes per second in each direction; zero means no limit.
	Rate int
	// Silent returns true once the link passes no more bytes on; nil means never.
	Silent func() bool
}

// Client returns a client whose connections all lead to the handler. It must be
// called inside a bubble, and stops when the test ends.
func Client(t *testing.T, link Link, handler http.Handler) *http.Client {
	t.Helper()
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		near, far := net.Pipe()
		select {
		case l.conns <- conn{far, link}:
			return conn{near, link}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
		_ = g.Wait()
		time.Sleep(closeTime.Duration())
	})
	return &http.Client{Transport: transport}
}

// listener accepts the server's ends of the connections.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	close(l.closed)
	return nil
}

// Addr returns an address that is not used.
func (*listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// conn delays what is written to it by the time that the link needs for it.
type conn struct {
	net.Conn
	link Link
}

// Write writes the data in pieces of a tick.
func (c conn) Write(data []byte) (int, error) {
	if c.link.Rate == 0 && c.link.Silent == nil {
		return c.Conn.Write(data)
	}
	written := 0
	for written < len(data) {
		piece := data[written:]
		if c.link.Rate > 0 {
			piece = piece[:min(len(piece), c.link.Rate*int(tick)/int(cowslipbend.Second))]
			time.Sleep(tick.Duration() * time.Duration(len(piece)) * time.Duration(cowslipbend.Second) / time.Duration(c.link.Rate*int(tick)))
		}
		if c.link.Silent != nil && c.link.Silent() {
			return len(data), nil
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
