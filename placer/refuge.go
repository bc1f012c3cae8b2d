package placer

import (
	"math"

	"cowslipbend.dev"
)

// refuge keeps a part of the replicas of services free of harmful batch, so
// that callers have fast ones to go to. Harmful batch waits for the other
// workers; urgent work does not wait.
type refuge struct {
	*scoring
	// spare is how many clean workers harmful batch may still take.
	spare int
	on    bool
}

// Terms of a refuge.
const (
	refugePart = 0.4 // of the workers with services, if only the tail counts
	refugeMin  = 4   // workers with services from which there is one
)

// refuge counts the clean workers among those that are looked at for the
// task.
func (s *scoring) refuge(hosts []*cowslipbend.Host, start int) refuge {
	r := refuge{scoring: s}
	if s.ask.Service != "" || s.ask.Urgency == cowslipbend.Urgent || !s.harmful() {
		return r
	}
	clean, all := 0, 0
	for n := range min(len(hosts), maxScored) {
		h := hosts[(start+n)%len(hosts)]
		if len(h.Services) == 0 || !h.Usable {
			continue
		}
		all++
		if s.clean(h, 0) {
			clean++
		}
	}
	if all < refugeMin {
		return r
	}
	part := refugePart * s.weights.Tail / max(s.weights.Tail+s.weights.Batch, math.SmallestNonzeroFloat64)
	r.spare, r.on = clean-int(math.Ceil(part*float64(all))), true
	return r
}

// harmful reports whether the task alone makes some service slow.
func (s *scoring) harmful() bool {
	for c := range s.services {
		if s.harm(c, s.ask.Class)*cores(s.ask.Size.CPU) >= tolerance {
			return true
		}
	}
	return false
}

// clean reports whether the services of the host stay within the tolerance
// beside so many more cores of the asking class.
func (s *scoring) clean(h *cowslipbend.Host, more float64) bool {
	for _, l := range h.Mix {
		if s.services[l.Class] && s.strain(h, l.Class)+s.harm(l.Class, s.ask.Class)*more >= tolerance {
			return false
		}
	}
	return true
}

// bars reports whether the host is kept clean of the task.
func (r *refuge) bars(h *cowslipbend.Host) bool {
	return r.on && r.spare <= 0 && len(h.Services) > 0 && r.clean(h, 0) && !r.clean(h, cores(r.ask.Size.CPU))
}
