// Package recoverer keeps a process alive when a part of it panics. It logs the
// panic with its stack and counts it. The part itself decides whether its state is
// still sound, and ends if it is not.
package recoverer

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
)

// Counter counts panics by the part of the program in which they occur.
type Counter interface {
	RecordPanic(part string)
}

// Metric is a Counter that is registered as a metric.
type Metric struct{ panics *prometheus.CounterVec }

// NewMetric registers the metric of a process.
func NewMetric(reg prometheus.Registerer) *Metric {
	m := &Metric{prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cowslip_panics_total", Help: "Unexpected errors (panics) that ended a call or a part of the process, but not the process.",
	}, []string{"part"})}
	reg.MustRegister(m.panics)
	return m
}

// RecordPanic counts a panic.
func (m *Metric) RecordPanic(part string) { m.panics.WithLabelValues(part).Inc() }

// Catch ends a panic. It must be deferred itself, and the function returns as usual
// then. Unless fail is nil, it is called with the error of the panic.
func Catch(part string, log hclog.Logger, c Counter, fail func(error)) {
	v := recover()
	if v == nil {
		return
	}
	c.RecordPanic(part)
	log.Error("part of the process panicked", "part", part, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	if fail != nil {
		fail(cowslipbend.Fail(cowslipbend.KindBroken, part+" panicked: "+fmt.Sprint(v), "report this with the stack in the log"))
	}
}

// Call calls the function and returns its error, or KindBroken if it panics.
func Call(part string, log hclog.Logger, c Counter, f func() error) (err error) {
	defer Catch(part, log, c, func(fault error) { err = fault })
	return f()
}

// Guard returns a function that calls another one and ends its panics, for a
// spawner.Group.
func Guard(part string, log hclog.Logger, c Counter) func(func()) {
	return func(f func()) {
		defer Catch(part, log, c, nil)
		f()
	}
}

// Handler returns a handler that passes calls on to another one. A call that panics
// ends without a reply, as it may have taken effect.
func Handler(part string, log hclog.Logger, c Counter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := Call(part, log, c, func() error { return serve(next, w, r) })
		if err != nil {
			panic(http.ErrAbortHandler) // This makes net/http close the connection.
		}
	})
}

// errAborted is the error of a call that its handler has aborted.
var errAborted = errors.New("handler aborted the call")

// serve serves a call. A panic by which a handler aborts a call on purpose is
// returned as errAborted.
func serve(next http.Handler, w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		if v := recover(); v == http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way.
			err = errAborted
		} else if v != nil {
			panic(v)
		}
	}()
	next.ServeHTTP(w, r)
	return nil
}
