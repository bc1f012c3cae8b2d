package worker

import (
	"net/http"

	"cowslipbend.dev"
)

// Fault is what is wrong with a worker. The zero value is a sound one.
type Fault struct {
	// Silent lets every call to the worker hang.
	Silent bool `json:"silent,omitempty"`
	// Fail makes every task fail at once and every request answer with 500.
	Fail bool `json:"fail,omitempty"`
	// Slow is how many times longer everything takes; 0 and 1 change nothing.
	Slow float64 `json:"slow,omitempty"`
	// Lag is the age of measurements; 0 keeps that of the options.
	Lag cowslipbend.Span `json:"lag,omitempty"`
}

// SetFault replaces the fault.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.Silent && !f.Silent {
		close(w.heard)
	}
	if !w.fault.Silent && f.Silent {
		w.heard = make(chan struct{})
	}
	w.fault = f
	if f.Lag > 0 {
		w.opts.Lag = f.Lag
	}
}

// hold blocks a call to a silent worker until it is heard again or the caller
// has gone.
func (w *Worker) hold(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		silent, heard := w.fault.Silent, w.heard
		w.mu.Unlock()
		if silent {
			select {
			case <-heard:
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(rw, r)
	})
}
