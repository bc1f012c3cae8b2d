package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipbend.dev"
)

// Tally holds the results of all requests of the callers. Watchers are counted
// separately, and repeats of a post in no percentile.
type Tally struct {
	Calls   int64 `json:"calls"`
	Ran     int64 `json:"ran"`
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Failed counts requests that the endpoint answered with an error status.
	Failed int64 `json:"failed"`
	// Late counts timed answers that took longer than the objective.
	Late int64 `json:"late"`
	// Resent counts requests sent again after their connection broke.
	Resent int64 `json:"resent"`
	// Watches counts ended watchers, and Cut those with an uncertain outcome.
	Watches int64 `json:"watches"`
	Cut     int64 `json:"cut"`
	// P50, P99 and P999 are percentiles of the latency in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// ErrorKinds counts refusals and unknown outcomes by the kind of their error.
	ErrorKinds map[cowslipbend.Kind]int64 `json:"why,omitempty"`
}

// Range and precision of the latency histogram.
const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// counter collects the numbers of a Tally. It is safe for concurrent use.
type counter struct {
	objective                            cowslipbend.Span
	calls, ran, refused, unknown, failed atomic.Int64
	late, resent, watches, cut           atomic.Int64

	mu         sync.Mutex
	latencies  *hdrhistogram.Histogram
	errorKinds map[cowslipbend.Kind]int64 // number of refusals and unknown outcomes
}

func newCounter(objective cowslipbend.Span) *counter {
	return &counter{objective: objective, latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits), errorKinds: map[cowslipbend.Kind]int64{}}
}

// addAnswer counts an answer to a check or a post, and records its latency if
// timed is set.
func (t *counter) addAnswer(a answer, took time.Duration, timed bool) {
	t.calls.Add(1)
	if !t.countOutcome(a) {
		return
	}
	if a.endpointFailed {
		t.failed.Add(1)
	}
	if timed {
		t.recordLatency(took)
	}
}

// countOutcome counts the outcome and reports whether the request ran.
func (t *counter) countOutcome(a answer) bool {
	switch a.outcome {
	case cowslipbend.Ran:
		t.ran.Add(1)
		return true
	case cowslipbend.NotRun:
		t.refused.Add(1)
	case cowslipbend.Uncertain:
		t.unknown.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.errorKinds[a.errorKind]++
	return false
}

// addWatch counts an ended watcher.
func (t *counter) addWatch(a answer) {
	t.watches.Add(1)
	switch a.outcome {
	case cowslipbend.Uncertain:
		t.cut.Add(1)
	case cowslipbend.Ran, cowslipbend.NotRun:
	}
}

func (t *counter) recordLatency(took time.Duration) {
	if took > t.objective.Duration() {
		t.late.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latencies.RecordValue(min(took.Microseconds(), maxLatencyMicros))
}

const microsPerMilli = 1000

func (t *counter) tally() Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	percentileMillis := func(q float64) float64 { return float64(t.latencies.ValueAtQuantile(q)) / microsPerMilli }
	errorKinds := map[cowslipbend.Kind]int64{}
	for k, n := range t.errorKinds {
		errorKinds[k] = n
	}
	return Tally{
		Calls: t.calls.Load(), Ran: t.ran.Load(), Refused: t.refused.Load(), Unknown: t.unknown.Load(),
		Failed: t.failed.Load(), Late: t.late.Load(), Resent: t.resent.Load(), Watches: t.watches.Load(), Cut: t.cut.Load(),
		P50: percentileMillis(50), P99: percentileMillis(99), P999: percentileMillis(99.9), ErrorKinds: errorKinds,
	}
}
