package tracker

import (
	"sort"
	"sync"
	"sync/atomic"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
)

// Agent is the state of one incarnation of an agent.
type Agent struct {
	// These do not change during an incarnation.
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
	// LastHeartbeat is the time of the last heartbeat.
	LastHeartbeat cowslipbend.Time
	// sentAt is when that was sent, on the worker's clock; retiredLives holds earlier
	// incarnations of the agent.
	sentAt       int64
	retiredLives []cowslipbend.Incarnation

	token atomic.Int64
}

// copy returns a copy that does not change with later heartbeats. The caller
// must hold the tracker's lock.
func (a *Agent) copy() *Agent {
	c := &Agent{
		Worker: a.Worker, Life: a.Life, Pool: a.Pool, Domain: a.Domain, Rack: a.Rack, URL: a.URL,
		Size: a.Size, Leaving: a.Leaving, Revision: a.Revision, LastHeartbeat: a.LastHeartbeat,
	}
	c.token.Store(a.token.Load())
	return c
}

// Token returns the newest time token received from the agent.
func (a *Agent) Token() cowslipbend.Time { return cowslipbend.Time(a.token.Load()) }

// UpdateToken stores the token if it is newer than the one that is known.
func (a *Agent) UpdateToken(token cowslipbend.Time) {
	for {
		old := a.token.Load()
		if int64(token) <= old || a.token.CompareAndSwap(old, int64(token)) {
			return
		}
	}
}

// Tracker holds the agents, the targets and the other entries. It is safe for
// concurrent use.
type Tracker struct {
	clock  cowslipbend.Clock
	domain cowslipbend.Domain

	mu      sync.Mutex
	agents  map[cowslipbend.WorkerID]*Agent
	targets map[cowslipbend.WorkerID]map[cowslipbend.ServiceID]*Target
	peers   map[cowslipbend.EntryID]Peer

	routes atomic.Pointer[map[cowslipbend.ServiceID][]*Target]
}

// New returns an empty tracker for an entry in the domain.
func New(clock cowslipbend.Clock, domain cowslipbend.Domain) *Tracker {
	t := &Tracker{
		clock: clock, domain: domain, agents: map[cowslipbend.WorkerID]*Agent{},
		targets: map[cowslipbend.WorkerID]map[cowslipbend.ServiceID]*Target{}, peers: map[cowslipbend.EntryID]Peer{},
	}
	t.routes.Store(&map[cowslipbend.ServiceID][]*Target{})
	return t
}

// RecordHeartbeat updates the agent and its targets with a heartbeat. The
// request must have been validated. It returns false, and does nothing, for one that
// was sent before the newest one of the worker.
func (t *Tracker) RecordHeartbeat(r *control.BeatRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := cowslipbend.WorkerID(r.GetWorker())
	a, ok := t.agents[id]
	if ok && t.isOutdated(a, r) {
		return false
	}
	if !ok || a.Life != cowslipbend.Incarnation(r.GetLife()) {
		var retired []cowslipbend.Incarnation
		if ok {
			retired = a.retire()
		}
		a = &Agent{
			retiredLives: retired,

			Worker: id, Life: cowslipbend.Incarnation(r.GetLife()), URL: r.GetUrl(), Pool: cowslipbend.PoolID(r.GetPool()),
			Domain: cowslipbend.Domain(r.GetDomain()), Rack: cowslipbend.Rack(r.GetRack()),
		}
		t.agents[id] = a
	}
	a.Size = r.GetSize().Resources()
	wasLeaving := a.Leaving
	a.Leaving = r.GetLeaving()
	a.Revision = cowslipbend.Revision(r.GetRevision())
	a.LastHeartbeat, a.sentAt = t.clock.Now(), r.GetSent()
	a.UpdateToken(cowslipbend.Time(r.GetToken()))
	if t.updateTargets(a, r.GetEndpoints()) || wasLeaving != a.Leaving {
		t.publishRoutes()
	}
	return true
}

// updateTargets updates the targets of an agent with the sums of its endpoints,
// and reports whether the lists of targets for routing have changed.
func (t *Tracker) updateTargets(a *Agent, eps []*control.Endpoint) bool {
	sums := sumByService(eps)
	changed := false
	targets := t.targets[a.Worker]
	for service, target := range targets {
		if _, ok := sums[service]; !ok || target.Agent != a {
			delete(targets, service)
			changed = true
		}
	}
	if targets == nil && len(sums) > 0 {
		targets = map[cowslipbend.ServiceID]*Target{}
		t.targets[a.Worker] = targets
	}
	for service, s := range sums {
		target, ok := targets[service]
		if !ok {
			target = &Target{Agent: a, Service: service, SameDomain: a.Domain == t.domain, tracker: t}
			targets[service] = target
		}
		changed = changed || !ok || target.Leaving() != s.Leaving
		target.Observe(s)
	}
	return changed
}

// sumByService returns the sum of the endpoints of each service. A service is
// leaving if all its endpoints are.
func sumByService(eps []*control.Endpoint) map[cowslipbend.ServiceID]State {
	sums := make(map[cowslipbend.ServiceID]State, 1)
	for _, ep := range eps {
		service := cowslipbend.ServiceID(ep.GetService())
		s, ok := sums[service]
		s.Slots += int64(ep.GetSlots())
		s.UsedSlots += int64(ep.GetInflight())
		s.Conns += int64(ep.GetConns())
		s.OpenConns += int64(ep.GetOpen())
		s.Leaving = (!ok || s.Leaving) && ep.GetLeaving()
		sums[service] = s
	}
	return sums
}

// publishRoutes rebuilds the lists of targets that routing reads without a
// lock. The caller must hold the tracker's lock.
func (t *Tracker) publishRoutes() {
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

// Targets returns the targets of a service that are not leaving, in the order
// of their workers. The caller must not change the list.
func (t *Tracker) Targets(service cowslipbend.ServiceID) []*Target {
	return (*t.routes.Load())[service]
}

// Agents returns a copy of all agents, in the order of their workers.
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

// Agent returns a copy of the newest incarnation of the agent of a worker, or
// nil.
func (t *Tracker) Agent(id cowslipbend.WorkerID) *Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.agents[id]
	if !ok {
		return nil
	}
	return a.copy()
}

// ExpireTargets stops routing to agents whose last heartbeat is older than the
// timeout.
func (t *Tracker) ExpireTargets(timeout cowslipbend.Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	changed := false
	for worker := range t.targets {
		if a := t.agents[worker]; now.Sub(a.LastHeartbeat) > timeout {
			delete(t.targets, worker)
			changed = true
		}
	}
	if changed {
		t.publishRoutes()
	}
}
