package timer

import (
	"sync"

	"cowslipbend.dev"
)

// Manual is a clock whose time changes only by Advance. The zero value is ready
// for use and starts at 0. It is safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     cowslipbend.Time
	pending []pendingTimer
}

// pendingTimer is a channel that receives the time at dueAt.
type pendingTimer struct {
	dueAt cowslipbend.Time
	ch    chan cowslipbend.Time
}

// Now returns the sum of all spans passed to Advance.
func (m *Manual) Now() cowslipbend.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns the same as Now.
func (m *Manual) Wall() cowslipbend.Time { return m.Now() }

// After returns a channel that receives once Advance has moved the time by the
// span.
func (m *Manual) After(s cowslipbend.Span) <-chan cowslipbend.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan cowslipbend.Time, 1)
	if s <= 0 {
		ch <- m.now
		return ch
	}
	m.pending = append(m.pending, pendingTimer{dueAt: m.now.Add(s), ch: ch})
	return ch
}

// Advance moves the time forward and fires all channels that are due.
func (m *Manual) Advance(s cowslipbend.Span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(s)
	remaining := m.pending[:0]
	for _, p := range m.pending {
		if p.dueAt > m.now {
			remaining = append(remaining, p)
			continue
		}
		p.ch <- m.now
	}
	m.pending = remaining
}
