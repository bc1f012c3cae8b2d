package cowslipbend

import "math/rand/v2"

// Candidate describes one agent's endpoints of a service to a routing policy.
type Candidate struct {
	Slots int
	// Inflight is the larger of two numbers of requests in flight at the agent:
	// those of this entry, and those that the agent last reported.
	Inflight int
	// LatencyMicros is the smoothed response time seen by this entry, in
	// microseconds.
	LatencyMicros int64
	// ErrorPermille is the smoothed error rate, per mille.
	ErrorPermille int
	// SameDomain is set if the agent is in the entry's failure domain.
	SameDomain bool
	// Excluded is set if this request has already failed at the agent, or if the
	// agent is shutting down.
	Excluded bool
	// Ejected is set while the agent gets no requests, because of failures.
	// Probe is set when one request should test whether it has recovered.
	Ejected bool
	Probe   bool
}

// Routing is a routing policy.
type Routing interface {
	// Name returns the name that selects the policy in the settings.
	Name() string
	// Pick returns the index of the chosen one of n candidates, or -1 if none
	// is acceptable.
	Pick(n int, at func(i int) Candidate, rnd *rand.Rand) int
}
