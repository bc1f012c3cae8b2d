package planner

import (
	"cowslipbend.dev"
)

// coldPenalty is the part of the score that a cold host loses: tasks are slow
// there, so that they go to others while those have room.
const coldPenalty = 1 << 15

// coldStarts limits the starts on a host that is cold.
type coldStarts struct {
	// left is how many starts the host can take now, as of refilledAt.
	left       float64
	refilledAt cowslipbend.Time
}

// limitColdStarts sets how many starts each cold host can take in this decision.
// The first one is allowed at once, and more at the rate that the pool of the host
// names; pools without a rate are not limited.
func (p *Planner) limitColdStarts(now cowslipbend.Time) {
	for _, h := range p.hosts {
		perSecond := 0.0
		if h.coldUntil > now {
			perSecond = p.coldRate(h.spec.Service)
		}
		if perSecond <= 0 {
			h.cold = nil
			continue
		}
		if h.cold == nil {
			h.cold = &coldStarts{left: 1, refilledAt: now}
		}
		h.cold.left = min(h.cold.left+perSecond*now.Sub(h.cold.refilledAt).Duration().Seconds(), max(perSecond, 1))
		h.cold.refilledAt = now
	}
}

// coldRate returns the starts a second that a cold host of the service can take,
// or zero if there is no limit.
func (p *Planner) coldRate(service cowslipbend.ServiceID) float64 {
	if p.rules == nil {
		return 0
	}
	for i := range p.rules.Pools {
		if p.rules.Pools[i].Service == service {
			return p.rules.Pools[i].ColdPerSecond
		}
	}
	return 0
}

// takesStart reports whether the host, if it is cold, can take another start.
func (h *host) takesStart() bool { return h.cold == nil || h.cold.left >= 1 }

// countStart counts starts on the host if it is cold.
func (h *host) countStart(count float64) {
	if h.cold != nil {
		h.cold.left -= count
	}
}
