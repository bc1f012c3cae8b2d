package soaker

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/spawner"
)

// echo answers each piece of data with itself.
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

// talk sends a word and reports whether it came back while the proxy was in
// its mode.
func talk(t *testing.T, c net.Conn, within time.Duration) bool {
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
		p, err := newProxy("127.0.0.1:0", echo(t))
		assert.NilError(t, err)
		t.Cleanup(p.close)
		c, err := net.Dial("tcp", p.ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.Assert(t, talk(t, c, long))
		return p, c
	}
	for _, m := range []mode{deaf, silent} {
		t.Run("what is swallowed does not come back", func(t *testing.T) {
			p, c := start(t)
			p.set(m)
			assert.Assert(t, !talk(t, c, short))
			p.set(pass)
			assert.Assert(t, !talk(t, c, long), "a stream with a hole goes on")
		})
	}
	t.Run("a slow way passes everything", func(t *testing.T) {
		p, c := start(t)
		p.set(slow)
		assert.Assert(t, talk(t, c, long))
	})
	t.Run("a cut resets and refuses until it is healed", func(t *testing.T) {
		p, c := start(t)
		p.set(cut)
		assert.Assert(t, !talk(t, c, long))
		p.set(pass)
		again, err := net.Dial("tcp", p.ln.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = again.Close() }()
		assert.Assert(t, talk(t, again, long))
	})
}
