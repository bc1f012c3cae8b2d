package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/timer"
)

// Fault is what is wrong with the platform. The zero value is a sound one.
type Fault struct {
	// Down refuses every call without effect; every other one hangs first.
	Down bool `json:"down,omitempty"`
	// Delay holds every call before it takes effect.
	Delay cowslipbend.Span `json:"delay,omitempty"`
	// Lose is the share of writes, in percent, that take effect and get no
	// answer.
	Lose int `json:"lose,omitempty"`
}

// Times and bounds of faults.
const (
	hang       = 3 * cowslipbend.Second
	percentAll = 100
)

// faults plays a Fault on the calls to a platform. The same seed loses the
// answers of the same writes.
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

func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// draw returns the fault in force, whether this call's answer is lost, and
// whether it hangs.
func (f *faults) draw(write bool) (fault Fault, lose, hangs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if write && f.fault.Lose > 0 {
		lose = f.rnd.IntN(percentAll) < f.fault.Lose
	}
	return f.fault, lose, f.calls%2 == 0
}

// wrap plays the fault before and after the handler.
func (f *faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault, lose, hangs := f.draw(r.Method != http.MethodGet)
		if fault.Down {
			if hangs {
				timer.Sleep(r.Context(), f.clock, hang)
			}
			server.WriteError(w, cowslipbend.Fail(cowslipbend.KindDown, "the platform's store is out", "try again later"))
			return
		}
		if fault.Delay > 0 && !timer.Sleep(r.Context(), f.clock, fault.Delay) {
			return
		}
		if lose {
			next.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard takes an answer that nobody gets.
type discard struct{ header http.Header }

// Header returns headers that go nowhere.
func (d discard) Header() http.Header { return d.header }

// Write drops the data.
func (d discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader drops the status.
func (d discard) WriteHeader(int) {}
