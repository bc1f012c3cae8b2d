package soaker

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/spawner"
)

// echo starts a server that sends back what it receives, and returns its
// address.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var all spawner.Group
	t.Cleanup(func() {
		_ = ln.Close()
		all.End()
	})
	all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			})
		}
	})
	return ln.Addr().String()
}

// roundTrip sends a word and reports whether it is echoed within the time.
func roundTrip(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("word")); err != nil {
		return false
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	buf := make([]byte, 4)
	_, err := io.ReadFull(c, buf)
	return err == nil && string(buf) == "word"
}

func TestProxy(t *testing.T) {
	const long, short = time.Minute, 50 * time.Millisecond
	start := func(t *testing.T) (*proxy, net.Conn) {
		t.Helper()
		p, err := newProxy("127.0.0.1:0", echo(t), 0)
		assert.NilError(t, err)
		t.Cleanup(p.close)
		c, err := net.Dial("tcp", p.ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.Assert(t, roundTrip(t, c, long))
		return p, c
	}
	for _, m := range []mode{modeDropAnswers, modeDropAll} {
		t.Run("discarded data is never delivered, and the stream ends with the mode", func(t *testing.T) {
			p, c := start(t)
			p.setMode(m)
			assert.Assert(t, !roundTrip(t, c, short))
			p.setMode(modeForward)
			assert.Assert(t, !roundTrip(t, c, long), "a stream with data missing continues")
		})
	}
	t.Run("a slow proxy forwards everything", func(t *testing.T) {
		p, c := start(t)
		p.setMode(modeDelay)
		assert.Assert(t, roundTrip(t, c, long))
	})
	t.Run("a resetting proxy closes old and new connections until it forwards again", func(t *testing.T) {
		p, c := start(t)
		p.setMode(modeReset)
		assert.Assert(t, !roundTrip(t, c, long))
		p.setMode(modeForward)
		newConn, err := net.Dial("tcp", p.ln.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = newConn.Close() }()
		assert.Assert(t, roundTrip(t, newConn, long))
	})
}
