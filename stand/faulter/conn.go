package faulter

import (
	"net"
	"sync"
	"time"

	"cowslipbend.dev"
)

func afterFunc(s cowslipbend.Span, f func()) { time.AfterFunc(s.Duration(), f) }

// listener hands out connections that the host can silence.
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

// conn is a connection that may have gone silent.
type conn struct {
	net.Conn
	host *Host

	mu     sync.Mutex
	silent bool
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) swallows() bool {
	c.host.wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read reads. A silent connection reads on for nobody until it is closed.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.swallows() || err != nil {
			return n, err
		}
	}
}

// Write writes, or pretends to.
func (c *conn) Write(b []byte) (int, error) {
	if c.swallows() {
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
