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
func (o *tableBreaker) record(now cowslipbend.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindDown, cowslipbend.KindUnknown:
		o.consecutiveFailures++
		o.nextProbeAt = now.Add(breakerProbeInterval)
	default:
		o.consecutiveFailures = 0
	}
}

// check returns KindDown while the breaker is open, except for one attempt in
// each probe interval.
func (o *tableBreaker) check(now cowslipbend.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.consecutiveFailures < breakerThreshold {
		return nil
	}
	if now >= o.nextProbeAt {
		o.nextProbeAt = now.Add(breakerProbeInterval)
		return nil
	}
	return &cowslipbend.Error{
		Kind: cowslipbend.KindDown, What: "the platform's table is unavailable", Remedy: "ask again with the same id", After: cowslipbend.Second,
	}
}
