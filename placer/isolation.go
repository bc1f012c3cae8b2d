package placer

import (
	"math"

	"cowslipbend.dev"
)

// isolation keeps some of the hosts with service replicas free of harmful batch,
// so that callers have fast replicas to use. Harmful batch waits for room on the
// other hosts; urgent work may use all of them.
type isolation struct {
	*hostScorer
	// cleanBudget is the number of clean hosts beyond those to keep clean.
	cleanBudget int
	enabled     bool
}

const (
	// isolatedShare is the part of the hosts with services that is kept clean if
	// the pool's weights count only the tail latency.
	isolatedShare = 0.4
	// minServiceHosts is the number of hosts with services below which none is
	// kept clean.
	minServiceHosts = 4
)

// isolation counts the clean hosts among the first hosts from start on, and
// decides how many of them harmful batch may take. It is disabled for services,
// urgent work and harmless tasks.
func (s *hostScorer) isolation(hosts []*cowslipbend.Host, start int) isolation {
	r := isolation{hostScorer: s}
	if s.ask.Service != "" || s.ask.Urgency == cowslipbend.Urgent || !s.isHarmful() {
		return r
	}
	cleanHosts, serviceHosts := 0, 0
	for n := range min(len(hosts), maxScoredHosts) {
		h := hosts[(start+n)%len(hosts)]
		if len(h.Services) == 0 || !h.Usable {
			continue
		}
		serviceHosts++
		if s.isClean(h, 0) {
			cleanHosts++
		}
	}
	if serviceHosts < minServiceHosts {
		return r
	}
	share := isolatedShare * s.weights.Tail / max(s.weights.Tail+s.weights.Batch, math.SmallestNonzeroFloat64)
	r.cleanBudget, r.enabled = cleanHosts-int(math.Ceil(share*float64(serviceHosts))), true
	return r
}

// isHarmful reports whether the task alone slows some service by the tolerance.
func (s *hostScorer) isHarmful() bool {
	for c := range s.serviceClasses {
		if s.coefficient(c, s.ask.Class)*cores(s.ask.Size.CPU) >= slowdownTolerance {
			return true
		}
	}
	return false
}

// isClean reports whether the services of the host stay within the tolerance if
// the task's class uses so many more cores there.
func (s *hostScorer) isClean(h *cowslipbend.Host, addedCores float64) bool {
	for _, l := range h.Mix {
		if s.serviceClasses[l.Class] && s.slowdown(h, l.Class)+s.coefficient(l.Class, s.ask.Class)*addedCores >= slowdownTolerance {
			return false
		}
	}
	return true
}

// excludes reports whether the host is clean, would not be with the task, and
// has to stay clean.
func (r *isolation) excludes(h *cowslipbend.Host) bool {
	return r.enabled && r.cleanBudget <= 0 && len(h.Services) > 0 && r.isClean(h, 0) && !r.isClean(h, cores(r.ask.Size.CPU))
}
