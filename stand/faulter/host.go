package faulter

import (
	"net"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Host is the clock and the network of one part. It is safe for concurrent
// use.
type Host struct {
	mu    sync.Mutex
	going chan struct{} // closed while the host is not paused
	conns map[*conn]bool
}

// New returns a sound host.
func New() *Host {
	going := make(chan struct{})
	close(going)
	return &Host{going: going, conns: map[*conn]bool{}}
}

// Pause lets the part stand still: its timers do not fire, whoever reads its
// clock waits, and its connections neither read nor write.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.going:
		h.going = make(chan struct{})
	default:
	}
}

// Resume ends a pause. Time has gone on meanwhile.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.going:
	default:
		close(h.going)
	}
}

// Silence makes all connections that are open now swallow what is sent, in
// both directions, without ever closing. New ones work.
func (h *Host) Silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.silence()
	}
}

// wait returns once the host is not paused.
func (h *Host) wait() {
	h.mu.Lock()
	going := h.going
	h.mu.Unlock()
	<-going
}

// Now returns the time, after the pause if there is one.
func (h *Host) Now() cowslipbend.Time {
	h.wait()
	return timer.Host{}.Now()
}

// Wall returns the wall time.
func (h *Host) Wall() cowslipbend.Time { return timer.Host{}.Wall() }

// After returns a channel that receives once the span has passed and the host
// is not paused.
func (h *Host) After(s cowslipbend.Span) <-chan cowslipbend.Time {
	ch := make(chan cowslipbend.Time, 1)
	afterFunc(s, func() { ch <- h.Now() })
	return ch
}

// Listener wraps the listener of the part.
func (h *Host) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, host: h} }
