package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipbend.dev"
)

// Tally is what the callers saw. Watchers are counted apart, and repeats of a
// posting in no percentile.
type Tally struct {
	Calls   int64 `json:"calls"`
	Ran     int64 `json:"ran"`
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Failed counts requests that the endpoint itself answered with an error.
	Failed int64 `json:"failed"`
	// Late counts timed answers that took longer than the objective.
	Late int64 `json:"late"`
	// Resent counts requests sent again as their connection broke.
	Resent int64 `json:"resent"`
	// Watches counts watchers, Cut those whose stream broke.
	Watches int64 `json:"watches"`
	Cut     int64 `json:"cut"`
	// Percentiles are in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// Why counts refusals and unknowns by the kind of their error.
	Why map[cowslipbend.Kind]int64 `json:"why,omitempty"`
}

// Bounds of the histogram, in microseconds.
const (
	histMax    = 60_000_000
	histDigits = 3
)

// counter adds up answers. It is safe for concurrent use.
type counter struct {
	objective                            cowslipbend.Span
	calls, ran, refused, unknown, failed atomic.Int64
	late, resent, watches, cut           atomic.Int64

	mu   sync.Mutex
	hist *hdrhistogram.Histogram
	why  map[cowslipbend.Kind]int64
}

func newCounter(objective cowslipbend.Span) *counter {
	return &counter{objective: objective, hist: hdrhistogram.New(1, histMax, histDigits), why: map[cowslipbend.Kind]int64{}}
}

// add counts an answer to a check or a posting.
func (t *counter) add(a answer, took time.Duration, timed bool) {
	t.calls.Add(1)
	if !t.outcome(a) {
		return
	}
	if a.failed {
		t.failed.Add(1)
	}
	if timed {
		t.record(took)
	}
}

// outcome counts by outcome and reports whether the request ran.
func (t *counter) outcome(a answer) bool {
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
	t.why[a.kind]++
	return false
}

// watched counts the end of a watcher.
func (t *counter) watched(a answer) {
	t.watches.Add(1)
	switch a.outcome {
	case cowslipbend.Uncertain:
		t.cut.Add(1)
	case cowslipbend.Ran, cowslipbend.NotRun:
	}
}

func (t *counter) record(took time.Duration) {
	if took > t.objective.Duration() {
		t.late.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.hist.RecordValue(min(took.Microseconds(), histMax))
}

// microsPerMilli converts the histogram's unit.
const microsPerMilli = 1000

func (t *counter) sum() Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(q float64) float64 { return float64(t.hist.ValueAtQuantile(q)) / microsPerMilli }
	why := map[cowslipbend.Kind]int64{}
	for k, n := range t.why {
		why[k] = n
	}
	return Tally{
		Calls: t.calls.Load(), Ran: t.ran.Load(), Refused: t.refused.Load(), Unknown: t.unknown.Load(),
		Failed: t.failed.Load(), Late: t.late.Load(), Resent: t.resent.Load(), Watches: t.watches.Load(), Cut: t.cut.Load(),
		P50: at(50), P99: at(99), P999: at(99.9), Why: why,
	}
}
