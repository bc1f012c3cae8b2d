package faulter

import (
	"net"
	"sync"
	"time"

	"cowslipbend.dev"
)

func afterFunc(s cowslipbend.Span, f func()) { time.AfterFunc(s.Duration(), f) }

// listener accepts connections that are subject to the faults of the host.
type listener struct {
	net.Listener
	host *Host
}

// Accept wraps the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, host: l.host}
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	l.host.conns[c] = true
	return c, nil
}

// conn is a connection that discards all data once it is blackholed.
type conn struct {
	net.Conn
	host *Host

	mu         sync.Mutex
	blackholed bool
}

func (c *conn) blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackholed = true
}

// discards reports whether the connection is blackholed. It first waits for the
// end of a pause of the host.
func (c *conn) discards() bool {
	c.host.waitWhilePaused()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

// Read reads from the connection. If it is blackholed, Read discards what
// arrives and returns only when the connection fails or is closed.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.discards() || err != nil {
			return n, err
		}
	}
}

// Write writes to the connection. If it is blackholed, Write discards the data
// and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.discards() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}
