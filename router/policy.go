package router

import (
	"math/rand/v2"

	"cowslipbend.dev"
)

// Policy returns the routing policy with the name; the empty name stands for
// the adaptive one. An unknown name gives KindInvalid.
func Policy(name string) (cowslipbend.Routing, error) {
	switch name {
	case "", "adaptive":
		return adaptive{}, nil
	case "leastinflight":
		return leastInflight{}, nil
	case "random":
		return random{}, nil
	}
	return nil, cowslipbend.Invalid("--routing", name+" is not a routing policy", "use adaptive, leastinflight or random")
}

// random picks any candidate that the request has not tried.
type random struct{}

// Name implements cowslipbend.Routing.
func (random) Name() string { return "random" }

// Pick implements cowslipbend.Routing.
func (random) Pick(n int, at func(int) cowslipbend.Candidate, rnd *rand.Rand) int {
	return firstMatch(n, rnd, func(i int) bool { return !at(i).Excluded })
}

// leastInflight picks the candidate with the fewest requests in flight.
type leastInflight struct{}

// Name implements cowslipbend.Routing.
func (leastInflight) Name() string { return "leastinflight" }

// Pick compares all candidates.
func (leastInflight) Pick(n int, at func(int) cowslipbend.Candidate, rnd *rand.Rand) int {
	best, lowest := -1, 0
	start := randomIndex(n, rnd)
	for k := range n {
		i := (start + k) % n
		c := at(i)
		if c.Excluded {
			continue
		}
		if best < 0 || c.Inflight < lowest {
			best, lowest = i, c.Inflight
		}
	}
	return best
}

// adaptive picks the candidate with the lowest cost of a random sample.
type adaptive struct{}

// Parameters of the adaptive policy.
const (
	maxCandidates      = 16   // size of the sample; all candidates if there are no more
	defaultFarMicros   = 3000 // round trip to another domain, until one was measured
	minLatencyMicros   = 500  // lower bound of the latency, and its value until one was measured
	fullCostFactor     = 4    // for a candidate without a free slot
	costDoublingErrors = 100  // failures per mille that double the cost
)

// Name implements cowslipbend.Routing.
func (adaptive) Name() string { return "adaptive" }

// Pick returns the candidate of the sample with the lowest cost, or the first
// one that is due for a probe. If none is usable, it returns any candidate that
// the request has not tried, even if it is ejected.
func (adaptive) Pick(n int, at func(int) cowslipbend.Candidate, rnd *rand.Rand) int {
	best, lowest := -1, int64(0)
	start := randomIndex(n, rnd)
	for k := range min(maxCandidates, n) {
		i := (start + k) % n
		if n > maxCandidates {
			i = randomIndex(n, rnd)
		}
		c := at(i)
		if c.Excluded || c.Ejected {
			continue
		}
		if c.Probe {
			return i
		}
		if cost := cost(c); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best >= 0 {
		return best
	}
	return firstMatch(n, rnd, func(i int) bool { return !at(i).Excluded })
}

// cost estimates the latency of a request in microseconds from the measured
// latency, the load and the failures. The measured latency includes the network
// round trip, so that a candidate in another domain is chosen only if it is
// faster in spite of it.
func cost(c cowslipbend.Candidate) int64 {
	micros := max(c.LatencyMicros, minLatencyMicros)
	if c.LatencyMicros == 0 && !c.SameDomain {
		micros += defaultFarMicros
	}
	total := micros + int64(c.Inflight+1)*micros/int64(max(c.Slots, 1))
	if c.Inflight >= c.Slots {
		total *= fullCostFactor
	}
	return total + total*int64(c.ErrorPermille)/costDoublingErrors
}

func randomIndex(n int, rnd *rand.Rand) int {
	if n == 0 {
		return 0
	}
	if rnd == nil {
		return rand.IntN(n)
	}
	return rnd.IntN(n)
}

// firstMatch returns the first matching index from a random one on, wrapping
// around, or -1.
func firstMatch(n int, rnd *rand.Rand, matches func(int) bool) int {
	start := randomIndex(n, rnd)
	for k := range n {
		if i := (start + k) % n; matches(i) {
			return i
		}
	}
	return -1
}
