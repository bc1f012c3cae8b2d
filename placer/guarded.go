package placer

import (
	"hash/fnv"

	"cowslipbend.dev"
)

// Guarded places by learned sizes and learned interference.
type Guarded struct {
	weights cowslipbend.Weights
	sizes   sizes
	pairs   pairs
	// services are the classes that were seen to be services, harms what each
	// class does to each of them, by service; both are dropped by Learn.
	services map[cowslipbend.Class]bool
	harms    map[pair]float64
}

// pair is a class of service and a class beside it.
type pair struct{ service, other cowslipbend.Class }

// NewGuarded returns a policy that has learned nothing yet.
func NewGuarded(weights cowslipbend.Weights) *Guarded {
	if weights == (cowslipbend.Weights{}) {
		weights = cowslipbend.Weights{Tail: 1, Batch: 1, Evict: 1}
	}
	return &Guarded{
		weights: weights, sizes: newSizes(), pairs: newPairs(),
		services: map[cowslipbend.Class]bool{}, harms: map[pair]float64{},
	}
}

// Name returns the policy's name.
func (g *Guarded) Name() string { return "guarded" }

// Reserve returns the declared size as measurements correct it.
func (g *Guarded) Reserve(ask cowslipbend.Ask, size cowslipbend.Resources) cowslipbend.Resources {
	return g.sizes.reserve(&ask, size)
}

// Learn takes a measurement.
func (g *Guarded) Learn(s cowslipbend.Sample) {
	g.sizes.learn(&s)
	if s.Service == "" {
		return
	}
	g.services[s.Class] = true
	if s.Tail > 0 {
		g.pairs.learn(&s)
		clear(g.harms)
	}
}

func (g *Guarded) harm(service, other cowslipbend.Class) float64 {
	key := pair{service, other}
	h, ok := g.harms[key]
	if !ok {
		h = g.pairs.harm(service, other)
		g.harms[key] = h
	}
	return h
}

// maxScored bounds the hosts whose score is computed for one task.
const maxScored = 64

// Place returns the host with the lowest score. In a large pool it scores a
// part of the hosts with room, another part for each task.
func (g *Guarded) Place(hosts []*cowslipbend.Host, ask cowslipbend.Ask) int {
	if len(hosts) == 0 {
		return -1
	}
	s := g.scoring(hosts, &ask)
	start := 0
	if ask.Service == "" && len(hosts) > maxScored {
		start = int(hash(ask.Task) % uint32(len(hosts)))
	}
	refuge := s.refuge(hosts, start)
	best, least, scored := -1, 0.0, 0
	for n := range hosts {
		i := (start + n) % len(hosts)
		if !g.fits(hosts[i], &ask) || refuge.bars(hosts[i]) {
			continue
		}
		if score := s.score(hosts[i]); best < 0 || score < least {
			best, least = i, score
		}
		if scored++; scored >= maxScored && ask.Service == "" {
			break
		}
	}
	return best
}

func hash(t cowslipbend.TaskID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t))
	return h.Sum32()
}

// fits also keeps clear of hosts on which tasks use more than they reserved.
func (g *Guarded) fits(h *cowslipbend.Host, ask *cowslipbend.Ask) bool {
	if !fits(h, ask) {
		return false
	}
	return ask.Service != "" || ask.Size.Fits(h.Room(ask).Minus(h.Excess))
}
