package faulter

import (
	"net"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Host is the clock and the network of one component. It is safe for concurrent
// use.
type Host struct {
	mu      sync.Mutex
	resumed chan struct{} // closed while the host is not paused
	conns   map[*conn]bool
}

// New returns a host without faults.
func New() *Host {
	resumed := make(chan struct{})
	close(resumed)
	return &Host{resumed: resumed, conns: map[*conn]bool{}}
}

// Pause stops the component until Resume: its timers do not fire, reads of its
// clock block, and so do reads and writes of its connections.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.resumed:
		h.resumed = make(chan struct{})
	default:
	}
}

// Resume ends a pause. The clock has advanced by the length of the pause.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.resumed:
	default:
		close(h.resumed)
	}
}

// Blackhole makes all connections that are open now discard data in both
// directions and stay open. Connections that are accepted later work.
func (h *Host) Blackhole() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.blackhole()
	}
}

// waitWhilePaused blocks while the host is paused.
func (h *Host) waitWhilePaused() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	<-resumed
}

// Now returns the monotonic time. It blocks while the host is paused.
func (h *Host) Now() cowslipbend.Time {
	h.waitWhilePaused()
	return timer.Host{}.Now()
}

// Wall returns the wall time, also while the host is paused.
func (h *Host) Wall() cowslipbend.Time { return timer.Host{}.Wall() }

// After returns a channel that receives the time once the span has passed and
// the host is not paused.
func (h *Host) After(s cowslipbend.Span) <-chan cowslipbend.Time {
	ch := make(chan cowslipbend.Time, 1)
	afterFunc(s, func() { ch <- h.Now() })
	return ch
}

// Listener wraps the listener of the component.
func (h *Host) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, host: h} }
