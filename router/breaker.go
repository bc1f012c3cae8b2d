package router

import (
	"sync"

	"cowslipbend.dev"
)

const (
	breakerThreshold     = 3                             // consecutive failures that open the breaker
	breakerProbeInterval = 250 * cowslipbend.Millisecond // between two attempts while it is open
)

// tableBreaker is a circuit breaker for transactions on the platform's table.
// While it is open, requests fail at once and only one attempt is let through
// in each probe interval.
type tableBreaker struct {
	mu                  sync.Mutex
	consecutiveFailures int
	nextProbeAt         cowslipbend.Time
}

// record updates the breaker with the result of a transaction.
func (b *tableBreaker) record(now cowslipbend.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindDown, cowslipbend.KindUnknown:
		b.consecutiveFailures++
		b.nextProbeAt = now.Add(breakerProbeInterval)
	default:
		b.consecutiveFailures = 0
	}
}

// check returns KindDown while the breaker is open, except for one attempt in
// each probe interval.
func (b *tableBreaker) check(now cowslipbend.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consecutiveFailures < breakerThreshold {
		return nil
	}
	if now >= b.nextProbeAt {
		b.nextProbeAt = now.Add(breakerProbeInterval)
		return nil
	}
	return &cowslipbend.Error{
		Kind: cowslipbend.KindDown, What: "the platform's table is unavailable", Remedy: "ask again with the same id", After: cowslipbend.Second,
	}
}
