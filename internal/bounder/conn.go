package bounder

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
)

// errHeader is the error of a header with too many lines.
var errHeader = errors.New("header has too many lines")

// Listener returns a listener whose connections are bounded. For each one beyond the limit
// it closes the connection that has waited for its peer for the longest time, or the new one
// if none does.
func (b *Bounder) Listener(ln net.Listener) net.Listener { return &listener{ln, b} }

type listener struct {
	net.Listener
	bounder *Bounder
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, bounder: l.bounder}
		if l.bounder.admit(c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// conn is a connection of the listener. Its fields are protected by the bounder's lock, except
// for those of the header, which only its reader uses.
type conn struct {
	net.Conn
	bounder *Bounder
	// idle is set while no request is handled, and ending once the rest of the last request is
	// not wanted.
	idle, ending bool
	// handlers counts the requests that are handled, reading those of them whose handler waits
	// for the body, and writing the writes in progress.
	handlers, reading, writing int
	// place is its place in the bounder's list while it waits for its peer. evicted is set once
	// it was closed to make room, and closed once its requests have ended too.
	place           *list.Element
	evicted, closed bool
	// lines counts the lines of the header that arrives, and lineEmpty tells that the current
	// one has no text yet. They are checked while header is set.
	header    atomic.Bool
	lines     int
	lineEmpty bool
}

// admit adds a connection, and reports whether it may stay.
func (b *Bounder) admit(c *conn) bool {
	evicted, admitted := b.makeRoom(c)
	if evicted != nil {
		_ = evicted.Conn.Close()
	}
	b.logRefusals()
	return admitted
}

// makeRoom adds a connection, and returns the one that has to be closed for it, if any. Requests
// may outlast their connection; new ones are refused while too many do.
func (b *Bounder) makeRoom(c *conn) (evicted *conn, admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limits.Conns
	if limit > 0 && b.conns >= limit {
		b.recordRefusal(CauseConns)
		first := b.waiting.Front()
		if first == nil || b.conns+b.outlasting >= limit+max(limit/2, 1) {
			return nil, false
		}
		evicted = first.Value.(*conn)
		evicted.evicted = true
		b.conns--
		b.outlasting++
		evicted.update()
	}
	b.conns++
	c.idle = true
	c.header.Store(true)
	c.update()
	return evicted, true
}

// update puts the connection into the list if it waits for its peer, and takes it out if it
// doesn't. The caller holds the lock.
func (c *conn) update() {
	allRead := c.handlers > 0 && c.handlers == c.reading
	waits := !c.evicted && !c.closed && (c.idle || c.ending || allRead || c.writing > 0 && c.handlers <= 1)
	switch {
	case waits && c.place == nil:
		c.place = c.bounder.waiting.PushBack(c)
	case !waits && c.place != nil:
		c.bounder.waiting.Remove(c.place)
		c.place = nil
	}
}

// change changes the state of the connection.
func (c *conn) change(f func()) {
	c.bounder.mu.Lock()
	defer c.bounder.mu.Unlock()
	f()
	c.update()
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.change(func() {
		switch {
		case c.closed:
		case c.evicted:
			c.bounder.outlasting--
		default:
			c.bounder.conns--
		}
		c.closed = true
	})
	return err
}

// CloseWrite tells the peer that nothing more is written.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write writes to the peer, and waits for it if it does not read.
func (c *conn) Write(data []byte) (int, error) {
	c.change(func() { c.writing++ })
	defer c.change(func() { c.writing-- })
	return c.Conn.Write(data)
}

// Read reads from the peer. It fails if a header has too many lines, as each takes many times
// its text.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.header.Load() && !c.checkHeader(data[:n]) {
		c.bounder.refuse(CauseHeader)
		return 0, errHeader
	}
	return n, err
}

// checkHeader counts the lines of a header, and reports whether it may have so many.
func (c *conn) checkHeader(data []byte) bool {
	limit := c.bounder.limits.HeaderLines
	for limit > 0 && len(data) > 0 {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		if len(bytes.TrimRight(line, "\r")) > 0 {
			c.lineEmpty = false
		}
		if !ended {
			break
		}
		if c.lineEmpty && c.lines > 0 {
			c.header.Store(false)
			c.lines = 0
			break
		}
		data, c.lineEmpty = rest, true
		if c.lines++; c.lines > limit {
			return false
		}
	}
	return true
}

// ConnState is that of http.Server. A connection waits for its peer while no request is
// handled.
func (b *Bounder) ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.change(func() {
		if idle := state == http.StateNew || state == http.StateIdle; idle != c.idle {
			c.idle, c.ending = idle, false
		}
	})
	if state == http.StateIdle {
		c.header.Store(true)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is that of http.Server.
func (b *Bounder) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}
