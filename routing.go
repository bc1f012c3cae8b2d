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

// Ask is a task that wants a worker.
type Ask struct {
	Task    TaskID
	Class   Class
	Team    TeamID
	Urgency Urgency
	Service ServiceID
	// Size is what to reserve.
	Size Resources
	// Avoid lists workers on which the task failed.
	Avoid []WorkerID
}

// Host is a worker as a placement policy sees it.
type Host struct {
	Spec WorkerSpec
	// Reserved is the sum of the reservations.
	Reserved Resources
	// Usable is false for workers that are silent, leaving or in quarantine.
	Usable bool
	// Classes counts the tasks by class.
	Classes map[Class]int
	// Services counts the replicas by service.
	Services map[ServiceID]int
}

// Free returns what is not reserved.
func (h *Host) Free() Resources { return h.Spec.Size.Minus(h.Reserved) }

// Sample is one lagged measurement, joined with what ran beside the task when
// it was measured.
type Sample struct {
	Task     TaskID
	Class    Class
	Service  ServiceID
	Declared Resources
	Usage    Resources
	// Tail is the 99th percentile of a service's answers in microseconds.
	Tail   int64
	Served int64
	Beside []Class
	At     Time
}

// Placement chooses workers for tasks and learns from measurements. It is a
// function of what it was told; it neither reads clocks nor draws randomness.
type Placement interface {
	// Name is the name by which declarations choose the policy.
	Name() string
	// Reserve returns what to reserve for a task of the class that declares
	// the size.
	Reserve(class Class, declared Resources) Resources
	// Place returns the index of the chosen host, or -1 if none has room.
	Place(hosts []*Host, ask Ask) int
	// Learn takes a measurement.
	Learn(s Sample)
}
