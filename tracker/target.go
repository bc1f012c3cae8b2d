package tracker

import (
	"sync/atomic"

	"cowslipbend.dev"
)

// State is what an agent told about a service.
type State struct {
	Slots    int64
	Inflight int64
	Conns    int64
	Open     int64
	Leaving  bool
}

// Target is one agent's endpoints of one service, as routing sees them. Its
// counters are safe for concurrent use.
type Target struct {
	Agent   *Agent
	Service cowslipbend.ServiceID
	Near    bool

	tracker *Tracker
	slots   atomic.Int64
	conns   atomic.Int64
	plain   atomic.Int64 // sent from here and not ended, without watches
	watches atomic.Int64 // watches sent from here and not ended
	others  atomic.Int64 // slots taken by other entries when the agent last told
	open    atomic.Int64 // connections taken by others then
	leaving atomic.Bool
	health  health
}

// Observe takes a state that the agent told. What it counts beyond the
// requests of this entry belongs to others.
func (t *Target) Observe(s State) {
	plain := t.plain.Load()
	t.slots.Store(s.Slots)
	t.conns.Store(s.Conns)
	t.others.Store(max(s.Inflight-plain, 0))
	t.open.Store(max(s.Open-plain-t.watches.Load(), 0))
	t.leaving.Store(s.Leaving)
}

// Leaving reports whether the agent told that it takes no new requests.
func (t *Target) Leaving() bool { return t.leaving.Load() }

// Begin counts a request that is sent there. If the target is ejected and a
// probe is due, the request is that probe.
func (t *Target) Begin(watch bool) {
	if watch {
		t.watches.Add(1)
		return
	}
	t.plain.Add(1)
	t.health.probe(t.tracker.clock.Now())
}

// Result is how a request ended.
type Result struct {
	Watch  bool
	Micros int64 // microseconds to the answer
	Failed bool
	// Void leaves the measurement out, as for a caller that went away.
	Void bool
}

// End counts the end of a request that Begin has counted.
func (t *Target) End(r Result) {
	if r.Watch {
		t.watches.Add(-1)
		return
	}
	t.plain.Add(-1)
	if r.Void {
		return
	}
	if t.health.measure(t.tracker.clock.Now(), r.Micros, r.Failed) {
		t.tracker.eject(t)
	}
}

// Candidate returns what a routing policy sees at the moment. For a watch the
// connections stand in for the slots.
func (t *Target) Candidate(now cowslipbend.Time, watch bool) cowslipbend.Candidate {
	c := cowslipbend.Candidate{
		Slots: int(t.slots.Load()), Inflight: int(t.plain.Load() + t.others.Load()),
		Near: t.Near, Tried: t.leaving.Load(),
	}
	if watch {
		c.Slots = int(t.conns.Load())
		c.Inflight = int(t.plain.Load() + t.watches.Load() + t.open.Load())
	}
	t.health.fill(now, &c)
	return c
}
