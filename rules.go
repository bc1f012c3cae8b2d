package cowslipbend

import (
	"context"
	"strings"
)

// Queue is a route by which callers hand flows in.
type Queue struct {
	ID     QueueID
	Host   string
	Prefix string
	Policy FlowPolicy
}

// HostPool says how the hosts of a service behave.
type HostPool struct {
	Service ServiceID
	// Guards is set if the runners refuse what does not fit.
	Guards bool
	// Spare pools are switched off.
	Spare bool
}

// FrontLimits bound what callers may send.
type FrontLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout Span
	IdleTimeout   Span
}

// Rules are the operator's configuration of queues and pools.
type Rules struct {
	Version int64
	Queues  []Queue
	Pools   []HostPool
	Limits  FrontLimits
}

// Match returns the queue with the longest prefix for the host and path, or
// nil, and the rest of the path.
func (r *Rules) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range r.Queues {
		q := &r.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
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
	for i := range r.Queues {
		if r.Queues[i].ID == id {
			return &r.Queues[i]
		}
	}
	return nil
}

// Desk serves the callers of flows.
type Desk interface {
	// Rules returns the rules in force, or nil.
	Rules() *Rules
	// Submit stores a flow. KindDown and KindBusy mean that it was not stored
	// and never runs.
	Submit(ctx context.Context, f *Flow) error
	// State returns a flow's state, or KindMissing.
	State(ctx context.Context, q *Queue, id JobID) (FlowState, error)
	// Cancel has a flow cancelled, or returns KindMissing.
	Cancel(ctx context.Context, q *Queue, id JobID) error
	// Waiting counts the accepted flows of a queue that have not begun.
	Waiting(ctx context.Context, q *Queue) (int, error)
	// Ready returns why callers should go elsewhere, or nil.
	Ready() error
}
