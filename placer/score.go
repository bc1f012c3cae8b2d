package placer

import "cowslipbend.dev"

// Weights of the parts of a score. A score of 1 is the cost of one service
// replica that becomes slow.
const (
	// slowdownTolerance is the slow-down, as a part of the tail latency, that
	// costs half as much as a slow replica.
	slowdownTolerance = 0.1
	// harmlessShare is the part of the tolerance below which the slow-down by a
	// task counts as harmless.
	harmlessShare = 0.3
	// slowdownGradient adds a small cost for slowing a slow replica further, so
	// that this does not happen without need.
	slowdownGradient = 0.02
	// loadWeight prefers idle hosts for services. For batch, packWeight prefers
	// full hosts, and skewWeight those with the same part of processors and
	// memory free.
	loadWeight = 0.1
	packWeight = 0.05
	skewWeight = 0.05
	// slowRoomWeight makes harmless batch avoid slow replicas, so that the room
	// beside them is left to harmful batch.
	slowRoomWeight = 0.3
	// Costs of each other replica of the service on the same host, rack and
	// failure domain.
	sameHostCost   = 10.0
	sameRackCost   = 1.0
	sameDomainCost = 0.5
)

// hostScorer scores hosts for one task. For a replica of a service, racks and
// domains count the service's replicas by rack and by failure domain.
type hostScorer struct {
	*Guarded
	ask     *cowslipbend.Ask
	racks   map[cowslipbend.Rack]int
	domains map[cowslipbend.Domain]int
}

func (g *Guarded) newScorer(hosts []*cowslipbend.Host, ask *cowslipbend.Ask) *hostScorer {
	s := &hostScorer{Guarded: g, ask: ask}
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
func (s *hostScorer) score(h *cowslipbend.Host) float64 {
	if s.ask.Service != "" {
		return s.spreadCost(h) + s.weights.Tail*s.replicaCost(h) + loadWeight*h.Reserved.Share(h.Spec.Size)
	}
	return s.weights.Tail*s.interferenceCost(h) + s.weights.Batch*s.fragmentationCost(h)
}

// spreadCost is the cost of replicas that can fail together.
func (s *hostScorer) spreadCost(h *cowslipbend.Host) float64 {
	return sameHostCost*float64(h.Services[s.ask.Service]) +
		sameRackCost*float64(s.racks[h.Spec.Rack]) + sameDomainCost*float64(s.domains[h.Spec.Domain])
}

// interferenceCost is the cost of slowing the services of the host by a batch
// task. A replica that is slow already costs little more, as its callers are
// routed elsewhere; so harmful batch gathers on few hosts and harmless batch
// spreads.
func (s *hostScorer) interferenceCost(h *cowslipbend.Host) float64 {
	sum := 0.0
	for _, l := range h.Mix {
		if !s.serviceClasses[l.Class] {
			continue
		}
		before := s.slowdown(h, l.Class)
		added := s.coefficient(l.Class, s.ask.Class) * cores(s.ask.Size.CPU)
		sum += float64(l.Tasks) * (slowdownCost(before+added) - slowdownCost(before))
		if added < harmlessShare*slowdownTolerance {
			sum += float64(l.Tasks) * slowRoomWeight * slowdownCost(before)
		}
	}
	return sum
}

// replicaCost is the cost of the slow-down of a new replica on the host.
func (s *hostScorer) replicaCost(h *cowslipbend.Host) float64 {
	return slowdownCost(s.slowdown(h, s.ask.Class))
}

// slowdown predicts the slow-down of a service's class on the host.
func (s *hostScorer) slowdown(h *cowslipbend.Host, service cowslipbend.Class) float64 {
	sum := 0.0
	for _, l := range h.Mix {
		if l.Class != service {
			sum += s.coefficient(service, l.Class) * cores(l.CPU)
		}
	}
	return sum
}

// slowdownCost maps a slow-down to a cost that rises steeply about the tolerance
// and is about 1 for a slow replica.
func slowdownCost(slowdown float64) float64 {
	return slowdown*slowdown/(slowdown*slowdown+slowdownTolerance*slowdownTolerance) + slowdownGradient*slowdown
}

// fragmentationCost is the cost of what the task leaves free on the host. It is
// lowest if little is left and processors and memory in the same proportion. A
// task without accelerators also pays for those left free.
func (s *hostScorer) fragmentationCost(h *cowslipbend.Host) float64 {
	free := h.Free().Minus(s.ask.Size)
	cpu := share(float64(free.CPU), float64(h.Spec.Size.CPU))
	mem := share(float64(free.Mem), float64(h.Spec.Size.Mem))
	skew := cpu - mem
	cost := packWeight*min(cpu, mem) + skewWeight*skew*skew
	if s.ask.Size.Accel == 0 && h.Spec.Size.Accel > 0 {
		cost += packWeight * share(float64(free.Accel), float64(h.Spec.Size.Accel))
	}
	return cost
}

func share(n, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return n / of
}
