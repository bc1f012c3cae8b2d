package cowslipbend

import (
	"context"
	"strings"
	"sync"
)

// Queue is a queue of flows. Callers submit flows to it by requests for the host
// with a path that begins with the prefix.
type Queue struct {
	ID     QueueID
	Host   string
	Prefix string
	Policy FlowPolicy
}

// HostPool holds the properties of the hosts of a service.
type HostPool struct {
	Service ServiceID
	// RejectsOverload is set if the runners refuse starts that exceed the host.
	RejectsOverload bool
	// SwitchedOff is set for a spare pool whose hosts are switched off.
	SwitchedOff bool
	// ColdPerSecond is how many starts a second a host can take while it is slow
	// after a start; zero means that they are not limited.
	ColdPerSecond float64
}

// FrontLimits are the limits on requests of callers.
type FrontLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout Span
	IdleTimeout   Span
}

// Rules are the operator's configuration of queues and pools. They must not be
// changed once they are in use, or copied.
type Rules struct {
	Version int64
	Queues  []Queue
	Pools   []HostPool
	Limits  FrontLimits

	indexing sync.Once
	byID     map[QueueID]*Queue
	byHost   map[string][]*Queue
}

// index fills byID and byHost.
func (r *Rules) index() {
	r.byID, r.byHost = make(map[QueueID]*Queue, len(r.Queues)), map[string][]*Queue{}
	for i := range r.Queues {
		q := &r.Queues[i]
		if r.byID[q.ID] == nil {
			r.byID[q.ID] = q
		}
		host := strings.ToLower(q.Host)
		r.byHost[host] = append(r.byHost[host], q)
	}
}

// Match returns the queue with the longest prefix for the host and path, or
// nil, and the rest of the path after the prefix.
func (r *Rules) Match(host, path string) (*Queue, string) {
	r.indexing.Do(r.index)
	var best *Queue
	for _, q := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue with the id, or nil.
func (r *Rules) Queue(id QueueID) *Queue {
	r.indexing.Do(r.index)
	return r.byID[id]
}

// FlowService serves the callers that submit flows.
type FlowService interface {
	// Rules returns the rules in force, or nil.
	Rules() *Rules
	// Submit stores a flow. KindDown and KindBusy mean that the flow was not
	// stored and never runs.
	Submit(ctx context.Context, f *Flow) error
	// State returns the state of a flow, or KindMissing.
	State(ctx context.Context, q *Queue, id JobID) (FlowState, error)
	// Cancel requests the cancellation of a flow, or returns KindMissing.
	Cancel(ctx context.Context, q *Queue, id JobID) error
	// Waiting returns the number of accepted flows of a queue that have not
	// started.
	Waiting(ctx context.Context, q *Queue) (int, error)
	// Ready returns nil if this entry accepts flows, else the reason for which
	// callers should use another.
	Ready() error
}
