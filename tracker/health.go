package tracker

import (
	"sync"

	"cowslipbend.dev"
)

// Parameters of the health of a target.
const (
	smoothing          = 16      // divisor of the moving averages
	perMille           = 1000    // the whole in counts of thousandths
	minFailureMicros   = 100_000 // lower bound of the latency that a failure counts as
	decayHalfLife      = 5 * cowslipbend.Second
	minEjectErrors     = 500 // failures per mille that allow an ejection
	minEjectSamples    = 5   // measurements before the first ejection
	ejectOutlierFactor = 2   // times the mean failures per mille of the service's targets
	firstEjection      = cowslipbend.Second
	maxEjection        = 30 * cowslipbend.Second
	maxHalvings        = 20
)

// health estimates the latency and the failure rate of a target. Failures count
// as slow answers, so that a target that fails fast does not attract requests.
// The estimates decay with time, so that a target that was avoided is tried
// again.
type health struct {
	mu           sync.Mutex
	measuredAt   cowslipbend.Time // of the last measurement
	latency      int64            // microseconds
	errors       int64            // per mille
	samples      int
	ejected      bool
	probing      bool             // a probe is in flight
	probeAt      cowslipbend.Time // when the next probe is due, while ejected
	ejectionSpan cowslipbend.Span // time until a probe; doubles with each that fails
}

// record updates the estimates with one answer and reports whether the target
// fails often enough to be ejected. While the target is ejected, a probe that
// succeeds ends the ejection and one that fails doubles its length.
func (h *health) record(now cowslipbend.Time, micros int64, failed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	h.measuredAt = now
	failures := int64(0)
	if failed {
		failures = perMille
		micros = max(micros, minFailureMicros)
	}
	if h.samples == 0 {
		h.latency = micros
	}
	h.samples++
	h.latency += (micros - h.latency) / smoothing
	h.errors += (failures - h.errors) / smoothing
	if h.ejected {
		h.recordProbe(now, micros, failed)
		return false
	}
	return failed && h.samples >= minEjectSamples && h.errors >= minEjectErrors
}

// recordProbe updates an ejection with the answer to a probe. It ignores
// answers to requests that were sent before the ejection.
func (h *health) recordProbe(now cowslipbend.Time, micros int64, failed bool) {
	if !h.probing {
		return
	}
	h.probing = false
	if failed {
		h.ejectionSpan = min(2*h.ejectionSpan, maxEjection)
		h.probeAt = now.Add(h.ejectionSpan)
		return
	}
	h.ejected = false
	h.samples = 0
	h.errors = 0
	h.latency = micros
}

// decay halves the failure rate and the latency once for each half-life without
// measurements.
func (h *health) decay(now cowslipbend.Time) {
	halvings := int64(now.Sub(h.measuredAt) / decayHalfLife)
	if halvings <= 0 {
		return
	}
	shift := min(halvings, maxHalvings)
	h.errors >>= shift
	h.latency >>= shift
}

// setEstimates sets the candidate's fields that follow from the estimates and
// the ejection, as of now.
func (h *health) setEstimates(now cowslipbend.Time, c *cowslipbend.Candidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	shift := min(max(int64(now.Sub(h.measuredAt)/decayHalfLife), 0), maxHalvings)
	c.LatencyMicros, c.ErrorPermille = h.latency>>shift, int(h.errors>>shift)
	c.Ejected, c.Probe = h.ejected && now < h.probeAt, h.ejected && now >= h.probeAt
}

// eject starts an ejection of the shortest length.
func (h *health) eject(now cowslipbend.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ejected, h.probing = true, false
	h.ejectionSpan = firstEjection
	h.probeAt = now.Add(h.ejectionSpan)
}

// startProbe makes the request that is about to be sent to the target its probe
// if one is due. The next probe is due after the length of the ejection.
func (h *health) startProbe(now cowslipbend.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ejected && now >= h.probeAt {
		h.probing = true
		h.probeAt = now.Add(h.ejectionSpan)
	}
}

// ejectOutlier ejects the target if at least half of the service's targets remain,
// and if it fails at least ejectOutlierFactor times as often as their mean.
func (t *Tracker) ejectOutlier(target *Target) {
	list := t.Targets(target.Service)
	now := t.clock.Now()
	ejected, errorSum := 0, 0
	for _, other := range list {
		c := other.Candidate(now, false)
		errorSum += c.ErrorPermille
		if c.Ejected || c.Probe {
			ejected++
		}
	}
	errors := target.Candidate(now, false).ErrorPermille
	if 2*(ejected+1) > len(list) || errors*len(list) < ejectOutlierFactor*errorSum {
		return
	}
	target.health.eject(now)
}
