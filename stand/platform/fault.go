package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/timer"
)

// Fault describes how the platform fails. The zero value means no fault.
type Fault struct {
	// Down refuses every request without effect. Every second request hangs
	// before it is refused.
	Down bool `json:"down,omitempty"`
	// Delay is how long each request waits before it takes effect.
	Delay cowslipbend.Span `json:"delay,omitempty"`
	// LostAnswerPercent is the percentage of writes that take effect but get no
	// answer.
	LostAnswerPercent int `json:"lose,omitempty"`
}

const (
	hangDuration = 3 * cowslipbend.Second
	percent      = 100
)

// faults injects a Fault into the requests to a platform. With the same seed,
// the same writes of a sequence lose their answers.
type faults struct {
	clock cowslipbend.Clock

	mu    sync.Mutex
	fault Fault
	rnd   *rand.Rand
	calls int
}

func newFaults(seed uint64) *faults {
	return &faults{clock: timer.Host{}, rnd: rand.New(rand.NewPCG(seed, 3))}
}

func (f *faults) setFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// draw returns the current fault, whether the answer to this request is lost,
// and whether the request hangs if the platform is down.
func (f *faults) draw(isWrite bool) (fault Fault, loseAnswer, hangs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if isWrite && f.fault.LostAnswerPercent > 0 {
		loseAnswer = f.rnd.IntN(percent) < f.fault.LostAnswerPercent
	}
	return f.fault, loseAnswer, f.calls%2 == 0
}

// inject returns a handler that calls next subject to the current fault.
func (f *faults) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault, loseAnswer, hangs := f.draw(r.Method != http.MethodGet)
		if fault.Down {
			if hangs {
				timer.Sleep(r.Context(), f.clock, hangDuration)
			}
			server.WriteError(w, cowslipbend.Fail(cowslipbend.KindDown, "the platform's store is down", "try again later"))
			return
		}
		if fault.Delay > 0 && !timer.Sleep(r.Context(), f.clock, fault.Delay) {
			return
		}
		if loseAnswer {
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is a response writer that discards the answer.
type discardWriter struct{ header http.Header }

// Header returns headers that are not sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards the data.
func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status.
func (d discardWriter) WriteHeader(int) {}
