package soaker

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
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

// startProxy starts a proxy and a connection through it.
func startProxy(t *testing.T, target string) (*proxy, net.Conn) {
	t.Helper()
	p, err := newProxy("127.0.0.1:0", target, 0)
	assert.NilError(t, err)
	t.Cleanup(p.close)
	return p, dialProxy(t, p)
}

func dialProxy(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestProxy(t *testing.T) {
	const long, short = time.Minute, 50 * time.Millisecond
	start := func(t *testing.T) (*proxy, net.Conn) {
		t.Helper()
		p, c := startProxy(t, echo(t))
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

// TestSilence guards against connections to an incarnation that has ended which close, or
// reach the next one.
func TestSilence(t *testing.T) {
	const long, short = time.Minute, 50 * time.Millisecond
	p, c := startProxy(t, echo(t))
	assert.Assert(t, roundTrip(t, c, long))
	p.silence()
	during := dialProxy(t, p)
	assert.Assert(t, !roundTrip(t, during, short))
	p.endSilence()
	for _, silent := range []net.Conn{c, during} {
		_, err := silent.Write([]byte("word"))
		assert.NilError(t, err)
		assert.NilError(t, silent.SetReadDeadline(time.Now().Add(short)))
		_, err = silent.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "timeout")
	}
	assert.Assert(t, roundTrip(t, dialProxy(t, p), long))
}

// TestHold guards against held data that is lost, is delivered too early, or goes to a
// process that has ended since, although another one listens by then.
func TestHold(t *testing.T) {
	const long, short = time.Minute, 50 * time.Millisecond
	for name, ways := range map[string]direction{"towards the server": towardsServer, "towards the client": towardsClient, "both ways": bothWays} {
		t.Run("data "+name+" is delivered once the hold ends", func(t *testing.T) {
			p, c := startProxy(t, echo(t))
			release := p.hold("", ways, deliverAtOnce)
			assert.Assert(t, !roundTrip(t, c, short))
			release()
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(long)))
			got := make([]byte, 4)
			_, err := io.ReadFull(c, got)
			assert.NilError(t, err)
			assert.Equal(t, string(got), "word")
		})
	}
	t.Run("only the client that is named is held", func(t *testing.T) {
		p, _ := startProxy(t, echo(t))
		defer p.hold("127.0.0.9:1", bothWays, deliverAtOnce)()
		named, other := dialProxy(t, p), dialProxy(t, p)
		_, err := named.Write([]byte(`{"url":"http://127.0.0.9:1"}`))
		assert.NilError(t, err)
		assert.Assert(t, roundTrip(t, other, long))
		assert.NilError(t, named.SetReadDeadline(time.Now().Add(short)))
		_, err = named.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "timeout")
	})
	t.Run("a first request goes to the process that listens as the hold ends", func(t *testing.T) {
		addr := echo(t)
		p, err := newProxy("127.0.0.1:0", "127.0.0.1:1", 0)
		assert.NilError(t, err)
		t.Cleanup(p.close)
		release := p.hold("", towardsServer, deliverAtOnce)
		c := dialProxy(t, p)
		assert.Assert(t, !roundTrip(t, c, short))
		p.target = addr
		release()
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(long)))
		_, err = io.ReadFull(c, make([]byte, 4))
		assert.NilError(t, err)
	})
	t.Run("data is sent again after twice the time each time", func(t *testing.T) {
		for age, want := range map[cowslipbend.Span]cowslipbend.Span{0: 200, 200: 0, 201: 399, 700: 700} {
			assert.Equal(t, deliverRetransmitted.delay(age.Duration()), want.Duration(), "after %s", age)
		}
	})
}
