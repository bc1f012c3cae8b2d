package shedder

import (
	"sync"

	"cowslipbend.dev"
)

// Limits of the remembered refusals.
const (
	// attemptTimeout is the time after which a caller that was refused is not
	// expected back.
	attemptTimeout = cowslipbend.Minute
	// maxAttempts bounds the number of remembered flows.
	maxAttempts = 8192
)

// Attempts remembers which flows this entry has refused. It is safe for concurrent
// use. The zero value remembers none.
type Attempts struct {
	mu    sync.Mutex
	flows map[cowslipbend.JobID]attempt
}

// attempt is the number of refusals of a flow and the time of the last one.
type attempt struct {
	count int
	at    cowslipbend.Time
}

// Count returns how often the flow has been refused lately.
func (a *Attempts) Count(id cowslipbend.JobID, now cowslipbend.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := a.flows[id]; last.count > 0 && now.Sub(last.at) < attemptTimeout {
		return last.count
	}
	return 0
}

// Add records a refusal of the flow.
func (a *Attempts) Add(id cowslipbend.JobID, now cowslipbend.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows == nil {
		a.flows = map[cowslipbend.JobID]attempt{}
	}
	count := 0
	if last := a.flows[id]; now.Sub(last.at) < attemptTimeout {
		count = last.count
	}
	if len(a.flows) >= maxAttempts {
		a.forget(now)
	}
	a.flows[id] = attempt{count + 1, now}
}

// forget removes the flows whose callers are not expected back, or all of them if there
// are none: to count too few refusals only makes the next decision stricter.
func (a *Attempts) forget(now cowslipbend.Time) {
	for id, last := range a.flows {
		if now.Sub(last.at) >= attemptTimeout {
			delete(a.flows, id)
		}
	}
	if len(a.flows) >= maxAttempts {
		clear(a.flows)
	}
}

// Remove forgets a flow that was accepted.
func (a *Attempts) Remove(id cowslipbend.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.flows, id)
}
