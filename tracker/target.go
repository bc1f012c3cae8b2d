package tracker

import (
	"sync/atomic"

	"cowslipbend.dev"
)

// State is the state of an agent's endpoints of a service, as the agent reports
// it.
type State struct {
	Slots     int64
	UsedSlots int64
	Conns     int64
	OpenConns int64
	Leaving   bool
}

// Target stands for all endpoints of one service at one agent, among which
// routing does not distinguish. Its methods are safe for concurrent use.
type Target struct {
	Agent   *Agent
	Service cowslipbend.ServiceID
	// SameDomain is set if the agent is in the entry's failure domain.
	SameDomain bool

	tracker       *Tracker
	slots         atomic.Int64
	conns         atomic.Int64
	requests      atomic.Int64 // in flight from this entry, without watches
	watches       atomic.Int64 // in flight from this entry
	otherRequests atomic.Int64 // slots in use by other entries, as of the last state
	otherConns    atomic.Int64 // connections in use by other entries, as of the last state
	leaving       atomic.Bool
	health        health
}

// Observe updates the target with a state that the agent reported. Slots and
// connections in use beyond those of this entry are attributed to other
// entries.
func (t *Target) Observe(s State) {
	requests := t.requests.Load()
	t.slots.Store(s.Slots)
	t.conns.Store(s.Conns)
	t.otherRequests.Store(max(s.UsedSlots-requests, 0))
	t.otherConns.Store(max(s.OpenConns-requests-t.watches.Load(), 0))
	t.leaving.Store(s.Leaving)
}

// Leaving reports whether the target accepts no new requests, according to the
// agent's last state.
func (t *Target) Leaving() bool { return t.leaving.Load() }

// Begin counts a request that is sent to the target. If the target is ejected
// and a probe is due, the request becomes the probe.
func (t *Target) Begin(watch bool) {
	if watch {
		t.watches.Add(1)
		return
	}
	t.requests.Add(1)
	t.health.startProbe(t.tracker.clock.Now())
}

// Result is the result of a request.
type Result struct {
	Watch  bool
	Micros int64 // microseconds to the answer
	Failed bool
	// Unmeasured excludes the request from the health estimates, for example
	// because its caller disconnected.
	Unmeasured bool
}

// End ends a request that Begin has counted. It updates the health estimates
// and ejects the target if it fails too often.
func (t *Target) End(r Result) {
	if r.Watch {
		t.watches.Add(-1)
		return
	}
	t.requests.Add(-1)
	if r.Unmeasured {
		return
	}
	if t.health.record(t.tracker.clock.Now(), r.Micros, r.Failed) {
		t.tracker.ejectOutlier(t)
	}
}

// Candidate returns the target's state for a routing policy. For a watch, Slots
// and Inflight count connections instead of slots.
func (t *Target) Candidate(now cowslipbend.Time, watch bool) cowslipbend.Candidate {
	c := cowslipbend.Candidate{
		Slots: int(t.slots.Load()), Inflight: int(t.requests.Load() + t.otherRequests.Load()),
		SameDomain: t.SameDomain, Excluded: t.leaving.Load(),
	}
	if watch {
		c.Slots = int(t.conns.Load())
		c.Inflight = int(t.requests.Load() + t.watches.Load() + t.otherConns.Load())
	}
	t.health.setEstimates(now, &c)
	return c
}
