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

// echo serves a line back on each connection of a wrapped listener.
func echo(t *testing.T, h *faulter.Host) string {
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

// shortly bounds a read that must give nothing.
const shortly = 50 * time.Millisecond

// answers reports whether a byte comes back before the read times out.
func answers(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	n, err := c.Read(make([]byte, 1))
	if err != nil {
		assert.ErrorContains(t, err, "timeout") // Never closed.
	}
	return n == 1
}

func TestSilence(t *testing.T) {
	h := faulter.New()
	addr := echo(t, h)
	old := dial(t, addr)
	assert.Assert(t, answers(t, old, time.Minute))
	h.Silence()
	t.Run("an open connection swallows bytes and stays open", func(t *testing.T) {
		assert.Assert(t, !answers(t, old, shortly))
	})
	t.Run("a new connection works", func(t *testing.T) {
		assert.Assert(t, answers(t, dial(t, addr), time.Minute))
	})
}

func TestPause(t *testing.T) {
	h := faulter.New()
	c := dial(t, echo(t, h))
	assert.Assert(t, answers(t, c, time.Minute))
	h.Pause()
	fired := h.After(cowslipbend.Millisecond)
	t.Run("neither timers nor connections go on", func(t *testing.T) {
		assert.Assert(t, !answers(t, c, shortly))
		select {
		case <-fired:
			t.Fatal("timer fired during the pause")
		default:
		}
	})
	h.Resume()
	t.Run("both go on after it, with the time that has passed", func(t *testing.T) {
		<-fired
		assert.Assert(t, answers(t, c, time.Minute))
	})
}
