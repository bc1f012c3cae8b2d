package faulter_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/faulter"
)

// serveEcho starts a server on a wrapped listener that sends back what it
// receives, and returns its address.
func serveEcho(t *testing.T, h *faulter.Host) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := h.Listener(inner)
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			g.Go(func() error {
				defer c.Close()
				_, _ = io.Copy(c, c)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		_ = g.Wait()
	})
	return inner.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// noAnswerTimeout is how long a test waits to see that no data arrives.
const noAnswerTimeout = 50 * time.Millisecond

// echoes reports whether a byte is echoed before the timeout. It fails the test
// if the connection is closed.
func echoes(t *testing.T, c net.Conn, timeout time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(timeout)))
	n, err := c.Read(make([]byte, 1))
	if err != nil {
		assert.ErrorContains(t, err, "timeout") // The connection must stay open.
	}
	return n == 1
}

func TestBlackhole(t *testing.T) {
	h := faulter.New()
	addr := serveEcho(t, h)
	old := dial(t, addr)
	assert.Assert(t, echoes(t, old, time.Minute))
	h.Blackhole()
	t.Run("an open connection discards data and stays open", func(t *testing.T) {
		assert.Assert(t, !echoes(t, old, noAnswerTimeout))
	})
	t.Run("a new connection works", func(t *testing.T) {
		assert.Assert(t, echoes(t, dial(t, addr), time.Minute))
	})
}

func TestPause(t *testing.T) {
	h := faulter.New()
	c := dial(t, serveEcho(t, h))
	assert.Assert(t, echoes(t, c, time.Minute))
	h.Pause()
	fired := h.After(cowslipbend.Millisecond)
	t.Run("timers do not fire and connections do not answer during the pause", func(t *testing.T) {
		assert.Assert(t, !echoes(t, c, noAnswerTimeout))
		select {
		case <-fired:
			t.Fatal("timer fired during the pause")
		default:
		}
	})
	h.Resume()
	t.Run("timers fire and connections answer after the pause", func(t *testing.T) {
		<-fired
		assert.Assert(t, echoes(t, c, time.Minute))
	})
}
