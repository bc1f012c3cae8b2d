package placer

import (
	"hash/fnv"

	"cowslipbend.dev"
)

// Guarded places by learned sizes and learned interference.
type Guarded struct {
	weights      cowslipbend.Weights
	usage        usageModel
	interference interferenceModel
	// serviceClasses are the classes of the services that were measured.
	// coefficients caches the coefficients of interference; Learn clears it.
	serviceClasses map[cowslipbend.Class]bool
	coefficients   map[classPair]float64
}

// classPair is the class of a service and the class of a task beside it.
type classPair struct{ service, neighbour cowslipbend.Class }

// NewGuarded returns a policy without measurements. Zero weights mean 1 each.
func NewGuarded(weights cowslipbend.Weights) *Guarded {
	if weights == (cowslipbend.Weights{}) {
		weights = cowslipbend.Weights{Tail: 1, Batch: 1, Evict: 1}
	}
	return &Guarded{
		weights: weights, usage: newUsageModel(), interference: newInterferenceModel(),
		serviceClasses: map[cowslipbend.Class]bool{}, coefficients: map[classPair]float64{},
	}
}

// Name returns the name of the policy.
func (g *Guarded) Name() string { return "guarded" }

// Reserve returns the declared size, corrected by the measured use of the class
// or job.
func (g *Guarded) Reserve(ask cowslipbend.Ask, size cowslipbend.Resources) cowslipbend.Resources {
	return g.usage.reserve(&ask, size)
}

// Learn takes a measurement.
func (g *Guarded) Learn(s cowslipbend.Sample) {
	g.usage.learn(&s)
	if s.Service == "" {
		return
	}
	g.serviceClasses[s.Class] = true
	if s.Tail > 0 {
		g.interference.learn(&s)
		clear(g.coefficients)
	}
}

func (g *Guarded) coefficient(service, neighbour cowslipbend.Class) float64 {
	key := classPair{service, neighbour}
	c, ok := g.coefficients[key]
	if !ok {
		c = g.interference.coefficient(service, neighbour)
		g.coefficients[key] = c
	}
	return c
}

// maxScoredHosts bounds the hosts that are scored for one batch task.
const maxScoredHosts = 64

// Place returns the index of the host with the lowest score. In a large pool it
// scores only some of the hosts with room for a batch task, starting at a host
// that the task's id selects.
func (g *Guarded) Place(hosts []*cowslipbend.Host, ask cowslipbend.Ask) int {
	if len(hosts) == 0 {
		return -1
	}
	scorer := g.newScorer(hosts, &ask)
	start := 0
	if ask.Service == "" && len(hosts) > maxScoredHosts {
		start = int(hash(ask.Task) % uint32(len(hosts)))
	}
	isolation := scorer.isolation(hosts, start)
	best, lowest, scored := -1, 0.0, 0
	for n := range hosts {
		i := (start + n) % len(hosts)
		if !g.fits(hosts[i], &ask) || isolation.excludes(hosts[i]) {
			continue
		}
		if score := scorer.score(hosts[i]); best < 0 || score < lowest {
			best, lowest = i, score
		}
		if scored++; scored >= maxScoredHosts && ask.Service == "" {
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

// fits reports whether the host may take the task. Batch also needs room for
// what the host's tasks use beyond their reservations.
func (g *Guarded) fits(h *cowslipbend.Host, ask *cowslipbend.Ask) bool {
	if !fits(h, ask) {
		return false
	}
	return ask.Service != "" || ask.Size.Fits(h.Room(ask).Minus(h.Excess))
}
