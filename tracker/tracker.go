package tracker

import (
	"sort"
	"sync"
	"sync/atomic"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
)

// Agent is what is known of one life of an agent.
type Agent struct {
	// These stay the same for one life.
	Worker cowslipbend.WorkerID
	Life   cowslipbend.Incarnation
	Pool   cowslipbend.PoolID
	Domain cowslipbend.Domain
	Rack   cowslipbend.Rack
	URL    string
	// These change with each heartbeat, under the tracker's lock.
	Size     cowslipbend.Resources
	Leaving  bool
	Revision cowslipbend.Revision
	// Seen is when the last heartbeat came.
	Seen cowslipbend.Time

	token atomic.Int64
}

// copy returns what is known now. The caller holds the tracker's lock.
func (a *Agent) copy() *Agent {
	c := &Agent{
		Worker: a.Worker, Life: a.Life, Pool: a.Pool, Domain: a.Domain, Rack: a.Rack, URL: a.URL,
		Size: a.Size, Leaving: a.Leaving, Revision: a.Revision, Seen: a.Seen,
	}
	c.token.Store(a.token.Load())
	return c
}

// Token returns the newest time token of the agent.
func (a *Agent) Token() cowslipbend.Time { return cowslipbend.Time(a.token.Load()) }

// Refresh takes a token that came with an answer.
func (a *Agent) Refresh(token cowslipbend.Time) {
	for {
		old := a.token.Load()
		if int64(token) <= old || a.token.CompareAndSwap(old, int64(token)) {
			return
		}
	}
}

// Tracker holds the agents. It is safe for concurrent use.
type Tracker struct {
	clock  cowslipbend.Clock
	domain cowslipbend.Domain

	mu      sync.Mutex
	agents  map[cowslipbend.WorkerID]*Agent
	targets map[cowslipbend.WorkerID]map[cowslipbend.ServiceID]*Target
	peers   map[cowslipbend.EntryID]Peer

	routes atomic.Pointer[map[cowslipbend.ServiceID][]*Target]
}

// New returns an empty tracker of an entry in the domain.
func New(clock cowslipbend.Clock, domain cowslipbend.Domain) *Tracker {
	t := &Tracker{
		clock: clock, domain: domain, agents: map[cowslipbend.WorkerID]*Agent{},
		targets: map[cowslipbend.WorkerID]map[cowslipbend.ServiceID]*Target{}, peers: map[cowslipbend.EntryID]Peer{},
	}
	t.routes.Store(&map[cowslipbend.ServiceID][]*Target{})
	return t
}

// Beat takes a heartbeat. The request must have been checked.
func (t *Tracker) Beat(r *control.BeatRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := cowslipbend.WorkerID(r.GetWorker())
	a, ok := t.agents[id]
	if !ok || a.Life != cowslipbend.Incarnation(r.GetLife()) {
		a = &Agent{
			Worker: id, Life: cowslipbend.Incarnation(r.GetLife()), URL: r.GetUrl(), Pool: cowslipbend.PoolID(r.GetPool()),
			Domain: cowslipbend.Domain(r.GetDomain()), Rack: cowslipbend.Rack(r.GetRack()),
		}
		t.agents[id] = a
	}
	a.Size = r.GetSize().Resources()
	left := a.Leaving
	a.Leaving = r.GetLeaving()
	a.Revision = cowslipbend.Revision(r.GetRevision())
	a.Seen = t.clock.Now()
	a.Refresh(cowslipbend.Time(r.GetToken()))
	if t.endpoints(a, r.GetEndpoints()) || left != a.Leaving {
		t.publish()
	}
}

// endpoints sums the endpoints of an agent into its targets, and reports
// whether the lists for routing have changed.
func (t *Tracker) endpoints(a *Agent, eps []*control.Endpoint) bool {
	sums := sum(eps)
	changed := false
	old := t.targets[a.Worker]
	for service, target := range old {
		if _, still := sums[service]; !still || target.Agent != a {
			delete(old, service)
			changed = true
		}
	}
	if old == nil && len(sums) > 0 {
		old = map[cowslipbend.ServiceID]*Target{}
		t.targets[a.Worker] = old
	}
	for service, s := range sums {
		target, ok := old[service]
		if !ok {
			target = &Target{Agent: a, Service: service, Near: a.Domain == t.domain, tracker: t}
			old[service] = target
		}
		changed = changed || !ok || target.Leaving() != s.Leaving
		target.Observe(s)
	}
	return changed
}

// sum adds up the endpoints of each service.
func sum(eps []*control.Endpoint) map[cowslipbend.ServiceID]State {
	sums := make(map[cowslipbend.ServiceID]State, 1)
	for _, ep := range eps {
		service := cowslipbend.ServiceID(ep.GetService())
		s, known := sums[service]
		s.Slots += int64(ep.GetSlots())
		s.Inflight += int64(ep.GetInflight())
		s.Conns += int64(ep.GetConns())
		s.Open += int64(ep.GetOpen())
		s.Leaving = (!known || s.Leaving) && ep.GetLeaving()
		sums[service] = s
	}
	return sums
}

// publish rebuilds the lists that routing reads without a lock.
func (t *Tracker) publish() {
	routes := map[cowslipbend.ServiceID][]*Target{}
	for _, services := range t.targets {
		for service, target := range services {
			if !target.Agent.Leaving && !target.Leaving() {
				routes[service] = append(routes[service], target)
			}
		}
	}
	for _, list := range routes {
		sort.Slice(list, func(i, j int) bool { return list[i].Agent.Worker < list[j].Agent.Worker })
	}
	t.routes.Store(&routes)
}

// Targets returns the agents that serve a service, in the order of their
// workers. The list must not be changed.
func (t *Tracker) Targets(service cowslipbend.ServiceID) []*Target {
	return (*t.routes.Load())[service]
}

// Agents returns all agents in the order of their workers.
func (t *Tracker) Agents() []*Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Agent, 0, len(t.agents))
	for _, a := range t.agents {
		list = append(list, a.copy())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Worker < list[j].Worker })
	return list
}

// Agent returns the newest life of the agent of a worker, or nil.
func (t *Tracker) Agent(id cowslipbend.WorkerID) *Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.agents[id]
	if !ok {
		return nil
	}
	return a.copy()
}

// Sweep stops routing to agents that have been silent for the span.
func (t *Tracker) Sweep(silence cowslipbend.Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	changed := false
	for worker := range t.targets {
		if a := t.agents[worker]; now.Sub(a.Seen) > silence {
			delete(t.targets, worker)
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}
