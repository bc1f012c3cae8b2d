package worker

import (
	"net/http"

	"cowslipbend.dev"
)

// Fault is a set of injected faults of a worker. The zero value injects none.
type Fault struct {
	// Unresponsive makes every call to the worker hang, except those to /fault.
	Unresponsive bool `json:"silent,omitempty"`
	// FailAll makes every batch task fail at its first progress, and endpoints
	// answer every request that takes a slot with status 500.
	FailAll bool `json:"fail,omitempty"`
	// SlowdownFactor multiplies the run time of tasks and requests if above 1.
	SlowdownFactor float64 `json:"slow,omitempty"`
	// Lag replaces Options.Lag if above 0. It stays in force when the fault is
	// cleared.
	Lag cowslipbend.Span `json:"lag,omitempty"`
}

// SetFault replaces the injected faults.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.Unresponsive && !f.Unresponsive {
		close(w.unblocked)
	}
	if !w.fault.Unresponsive && f.Unresponsive {
		w.unblocked = make(chan struct{})
	}
	w.fault = f
	if f.Lag > 0 {
		w.opts.Lag = f.Lag
	}
}

// blockWhileUnresponsive delays calls to an unresponsive worker until it
// responds again. Calls that the caller cancels meanwhile are dropped.
func (w *Worker) blockWhileUnresponsive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		unresponsive, unblocked := w.fault.Unresponsive, w.unblocked
		w.mu.Unlock()
		if unresponsive {
			select {
			case <-unblocked:
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(rw, r)
	})
}
