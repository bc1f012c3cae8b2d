package placer

import "cowslipbend.dev"

// Weights of the parts of a score. A score of 1 is one replica of a service
// that becomes slow.
const (
	// tolerance is the slow-down at which a replica counts as half slow.
	tolerance = 0.1
	// harmless is the part of the tolerance below which a task harms nobody.
	harmless = 0.3
	// gradient keeps slow replicas from becoming slower without need.
	gradient = 0.02
	// loadWeight prefers idle hosts for services, packWeight full ones for
	// batch, and skewWeight those whose free parts stay in proportion.
	loadWeight = 0.1
	packWeight = 0.05
	skewWeight = 0.05
	// roomWeight keeps the room beside slow replicas for harmful work.
	roomWeight = 0.3
	// Weights of another replica of the service in the same place.
	sameHost   = 10.0
	sameRack   = 1.0
	sameDomain = 0.5
)

// scoring scores hosts for one task.
type scoring struct {
	*Guarded
	ask     *cowslipbend.Ask
	racks   map[cowslipbend.Rack]int
	domains map[cowslipbend.Domain]int
}

func (g *Guarded) scoring(hosts []*cowslipbend.Host, ask *cowslipbend.Ask) *scoring {
	s := &scoring{Guarded: g, ask: ask}
	if ask.Service == "" {
		return s
	}
	s.racks, s.domains = map[cowslipbend.Rack]int{}, map[cowslipbend.Domain]int{}
	for _, h := range hosts {
		if n := h.Services[ask.Service]; n > 0 {
			s.racks[h.Spec.Rack] += n
			s.domains[h.Spec.Domain] += n
		}
	}
	return s
}

// score is the cost of the task on the host; the lowest is best.
func (s *scoring) score(h *cowslipbend.Host) float64 {
	if s.ask.Service != "" {
		return s.spread(h) + s.weights.Tail*s.slowed(h) + loadWeight*h.Reserved.Share(h.Spec.Size)
	}
	return s.weights.Tail*s.slow(h) + s.weights.Batch*s.shape(h)
}

// spread is the cost of replicas that fail together.
func (s *scoring) spread(h *cowslipbend.Host) float64 {
	return sameHost*float64(h.Services[s.ask.Service]) +
		sameRack*float64(s.racks[h.Spec.Rack]) + sameDomain*float64(s.domains[h.Spec.Domain])
}

// slow is how much a batch task slows the services of the host. A replica
// that is slow already hardly gets worse, as callers are led elsewhere; so
// harmful work gathers on few hosts and harmless work spreads.
func (s *scoring) slow(h *cowslipbend.Host) float64 {
	sum := 0.0
	for _, l := range h.Mix {
		if !s.services[l.Class] {
			continue
		}
		before := s.strain(h, l.Class)
		more := s.harm(l.Class, s.ask.Class) * cores(s.ask.Size.CPU)
		sum += float64(l.Tasks) * (slowness(before+more) - slowness(before))
		if more < harmless*tolerance {
			sum += float64(l.Tasks) * roomWeight * slowness(before)
		}
	}
	return sum
}

// slowed is how slow a new replica would be on the host.
func (s *scoring) slowed(h *cowslipbend.Host) float64 { return slowness(s.strain(h, s.ask.Class)) }

// strain is the predicted slow-down of a service's class on the host.
func (s *scoring) strain(h *cowslipbend.Host, service cowslipbend.Class) float64 {
	sum := 0.0
	for _, l := range h.Mix {
		if l.Class != service {
			sum += s.harm(service, l.Class) * cores(l.CPU)
		}
	}
	return sum
}

// slowness turns a slow-down into the share of replicas that are slow.
func slowness(r float64) float64 {
	return r*r/(r*r+tolerance*tolerance) + gradient*r
}

// shape is the cost of what the task leaves free: little that is in
// proportion is best.
func (s *scoring) shape(h *cowslipbend.Host) float64 {
	left := h.Free().Minus(s.ask.Size)
	cpu := share(float64(left.CPU), float64(h.Spec.Size.CPU))
	mem := share(float64(left.Mem), float64(h.Spec.Size.Mem))
	skew := cpu - mem
	cost := packWeight*min(cpu, mem) + skewWeight*skew*skew
	if s.ask.Size.Accel == 0 && h.Spec.Size.Accel > 0 {
		cost += packWeight * share(float64(left.Accel), float64(h.Spec.Size.Accel))
	}
	return cost
}

func share(n, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return n / of
}
