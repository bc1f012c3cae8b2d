package cowslipbend

import "math/rand/v2"

// Candidate is what a routing policy sees of one agent's endpoints of a
// service.
type Candidate struct {
	Slots int
	// Inflight is the larger of what this entry has in flight there and what
	// the agent last told.
	Inflight int
	// Latency is the smoothed time of an answer as seen here, in microseconds.
	Latency int64
	// Errors is the smoothed share of failures, per mille.
	Errors int
	// Near is set for the entry's own failure domain.
	Near bool
	// Tried is set if this request has already failed there, or if the agent
	// is leaving.
	Tried bool
	// Ejected is set while nothing is sent there, Probe when one request
	// should be, to see whether it has recovered.
	Ejected bool
	Probe   bool
}

// Routing chooses among candidates.
type Routing interface {
	// Name is the name by which settings choose the policy.
	Name() string
	// Pick returns the index of the chosen one of n candidates, or -1 if none
	// will do.
	Pick(n int, at func(i int) Candidate, rnd *rand.Rand) int
}
