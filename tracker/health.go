package tracker

import (
	"sync"

	"cowslipbend.dev"
)

// Parameters of the health of a target.
const (
	smoothing     = 16      // divisor of the moving averages
	perMille      = 1000    // the whole in counts of thousandths
	failureCost   = 100_000 // microseconds that a failure counts at least
	halfLife      = 5 * cowslipbend.Second
	ejectErrors   = 500 // per mille of failures
	ejectSamples  = 5   // measurements before the first ejection
	ejectOutlier  = 2   // times the mean share of failures of the service
	firstEjection = cowslipbend.Second
	lastEjection  = 30 * cowslipbend.Second
	maxHalvings   = 20
)

// health estimates the time and the failures of a target's answers. Failures
// count as slow answers, so that one that fails fast does not look quick. The
// estimates decay with time, so that a target that was given up is tried
// again.
type health struct {
	mu      sync.Mutex
	at      cowslipbend.Time // of the last measurement
	latency int64            // microseconds
	errors  int64            // per mille
	samples int
	out     bool
	probing bool             // a probe is on its way
	until   cowslipbend.Time // when the next probe is due, while out
	span    cowslipbend.Span // the length of the present ejection
}

// measure takes one answer and reports whether the target looks bad enough to
// be ejected. A good answer of a probe ends an ejection, a bad one doubles
// its length.
func (h *health) measure(now cowslipbend.Time, micros int64, failed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	h.at = now
	failures := int64(0)
	if failed {
		failures = perMille
		micros = max(micros, failureCost)
	}
	if h.samples == 0 {
		h.latency = micros
	}
	h.samples++
	h.latency += (micros - h.latency) / smoothing
	h.errors += (failures - h.errors) / smoothing
	if h.out {
		h.probed(now, micros, failed)
		return false
	}
	return failed && h.samples >= ejectSamples && h.errors >= ejectErrors
}

// probed takes the answer to a probe. Answers to requests that were sent
// before the ejection say nothing new.
func (h *health) probed(now cowslipbend.Time, micros int64, failed bool) {
	if !h.probing {
		return
	}
	h.probing = false
	if failed {
		h.span = min(2*h.span, lastEjection)
		h.until = now.Add(h.span)
		return
	}
	h.out = false
	h.samples = 0
	h.errors = 0
	h.latency = micros
}

// decay halves the failures once per half-life without measurements, and
// brings the latency down likewise.
func (h *health) decay(now cowslipbend.Time) {
	n := int64(now.Sub(h.at) / halfLife)
	if n <= 0 {
		return
	}
	shift := min(n, maxHalvings)
	h.errors >>= shift
	h.latency >>= shift
}

// fill sets the estimates at the moment.
func (h *health) fill(now cowslipbend.Time, c *cowslipbend.Candidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	shift := min(max(int64(now.Sub(h.at)/halfLife), 0), maxHalvings)
	c.Latency, c.Errors = h.latency>>shift, int(h.errors>>shift)
	c.Ejected, c.Probe = h.out && now < h.until, h.out && now >= h.until
}

// eject starts an ejection.
func (h *health) eject(now cowslipbend.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out, h.probing = true, false
	h.span = firstEjection
	h.until = now.Add(h.span)
}

// probe notes that a request goes to the target. The next probe is due once
// the span has passed again.
func (h *health) probe(now cowslipbend.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out && now >= h.until {
		h.probing = true
		h.until = now.Add(h.span)
	}
}

// eject takes a target out unless half of the service's targets are out
// already, or all of them fail alike.
func (t *Tracker) eject(bad *Target) {
	list := t.Targets(bad.Service)
	now := t.clock.Now()
	out, sum := 0, 0
	for _, other := range list {
		c := other.Candidate(now, false)
		sum += c.Errors
		if c.Ejected || c.Probe {
			out++
		}
	}
	errors := bad.Candidate(now, false).Errors
	if 2*(out+1) > len(list) || errors*len(list) < ejectOutlier*sum {
		return
	}
	bad.health.eject(now)
}
