package router

import (
	"math/rand/v2"

	"cowslipbend.dev"
)

// Policy returns the routing policy with the name, or KindInvalid.
func Policy(name string) (cowslipbend.Routing, error) {
	switch name {
	case "", "adaptive":
		return adaptive{}, nil
	case "leastinflight":
		return leastInflight{}, nil
	case "random":
		return random{}, nil
	}
	return nil, cowslipbend.Invalid("--routing", name+" is no policy", "use adaptive, leastinflight or random")
}

// random picks any candidate that was not tried.
type random struct{}

// Name returns the policy's name.
func (random) Name() string { return "random" }

// Pick returns a random candidate.
func (random) Pick(n int, at func(int) cowslipbend.Candidate, rnd *rand.Rand) int {
	return first(n, rnd, func(i int) bool { return !at(i).Tried })
}

// leastInflight picks the candidate with the fewest requests in flight.
type leastInflight struct{}

// Name returns the policy's name.
func (leastInflight) Name() string { return "leastinflight" }

// Pick looks at all candidates.
func (leastInflight) Pick(n int, at func(int) cowslipbend.Candidate, rnd *rand.Rand) int {
	best, least := -1, 0
	start := offset(n, rnd)
	for k := range n {
		i := (start + k) % n
		c := at(i)
		if c.Tried {
			continue
		}
		if best < 0 || c.Inflight < least {
			best, least = i, c.Inflight
		}
	}
	return best
}

// adaptive picks the cheapest of some random candidates.
type adaptive struct{}

// Parameters of the adaptive policy.
const (
	choices    = 16   // candidates that are compared; up to this count, all
	farMicros  = 3000 // to another domain and back, assumed until measured
	baseMicros = 500  // time of an answer, assumed until measured
	fullFactor = 4    // cost of a candidate without a free slot
	errorScale = 100  // per mille of failures that double the cost
)

// Name returns the policy's name.
func (adaptive) Name() string { return "adaptive" }

// Pick draws candidates and returns the cheapest. One that is due for a probe
// goes first.
func (adaptive) Pick(n int, at func(int) cowslipbend.Candidate, rnd *rand.Rand) int {
	best, least := -1, int64(0)
	start := offset(n, rnd)
	for k := range min(choices, n) {
		i := (start + k) % n
		if n > choices {
			i = offset(n, rnd)
		}
		c := at(i)
		if c.Tried || c.Ejected {
			continue
		}
		if c.Probe {
			return i
		}
		if cost := cost(c); best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best >= 0 {
		return best
	}
	return first(n, rnd, func(i int) bool { return !at(i).Tried })
}

// cost estimates the time of an answer in microseconds. The measured time
// holds the way to another domain, so a far candidate is chosen when it is
// cheaper than the near ones. Failures count as slowness.
func cost(c cowslipbend.Candidate) int64 {
	micros := max(c.Latency, baseMicros)
	if c.Latency == 0 && !c.Near {
		micros += farMicros
	}
	total := micros + int64(c.Inflight+1)*micros/int64(max(c.Slots, 1))
	if c.Inflight >= c.Slots {
		total *= fullFactor
	}
	return total + total*int64(c.Errors)/errorScale
}

func offset(n int, rnd *rand.Rand) int {
	if n == 0 {
		return 0
	}
	if rnd == nil {
		return rand.IntN(n)
	}
	return rnd.IntN(n)
}

// first returns the first index from a random offset that will do, or -1.
func first(n int, rnd *rand.Rand, ok func(int) bool) int {
	start := offset(n, rnd)
	for k := range n {
		if i := (start + k) % n; ok(i) {
			return i
		}
	}
	return -1
}
