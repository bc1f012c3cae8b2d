package planner

import (
	"slices"
	"sort"

	"cowslipbend.dev"
)

// AgentOrders are the orders to one agent.
type AgentOrders struct {
	URL string
	// Domain is the failure domain of the host.
	Domain cowslipbend.Domain
	// CommittedAt is when the commit of the decision began.
	CommittedAt cowslipbend.Time
	Orders      cowslipbend.HostOrders
}

// Decide places waiting tasks, stops runs that must not continue, and returns
// the orders. These may be sent once the progress of DirtyFlows is committed.
// The times are on the clock of this process, on that of the store, and the
// wall time.
func (p *Planner) Decide(now, storeNow, wallNow cowslipbend.Time) []AgentOrders {
	p.now = now
	p.SetStoreTime(storeNow)
	p.ExpireLeases(now)
	p.forgetAgents(now)
	p.assessHosts(now)
	var ready []*flow
	for _, f := range p.liveFlows {
		if f.def.Rounds > 0 && f.openDueRounds(wallNow) {
			p.markDirty(f)
		}
		if f.hasReadyTasks() {
			f.updateUnplaced(now)
			ready = append(ready, f)
		}
	}
	p.sortByRank(ready, storeNow)
	p.limitColdStarts(now)
	p.releaseHolds(now)
	hosts := p.usableHosts(now)
	p.evacuate(hosts, now)
	p.leaveDomains(hosts, now)
	p.moveSlow(hosts, now)
	for i, f := range ready {
		f.trackDelay(p.placeReady(f, hosts[p.policy(f).Service], now), i, now)
	}
	p.reserveAhead(ready, now)
	p.handleOutliers(hosts, now)
	p.orderStops(now)
	p.describeRuns()
	for _, h := range p.hosts {
		h.decidedThrough = h.appliedThrough
	}
	return p.askAgents(p.takeOutbox())
}

// MarkCommitted records that the last decision is committed: the ends that it
// includes may be acknowledged, and its starts count as ordered now.
func (p *Planner) MarkCommitted(now cowslipbend.Time) {
	for _, h := range p.hosts {
		h.ackedThrough = h.decidedThrough
	}
	for _, pl := range p.uncommitted {
		pl.orderedAt = now
	}
	p.uncommitted = p.uncommitted[:0]
}

// hasReadyTasks reports whether any task of a ready step waits.
func (f *flow) hasReadyTasks() bool {
	for _, r := range f.rounds {
		for i := range r.steps {
			if r.steps[i].ready && r.steps[i].waitingCount > 0 {
				return true
			}
		}
	}
	return false
}

// usableHosts returns the hosts that take new runs by service, sorted by
// incarnation. It updates the banned hosts.
func (p *Planner) usableHosts(now cowslipbend.Time) map[cowslipbend.ServiceID][]*host {
	hosts, banned := map[cowslipbend.ServiceID][]*host{}, map[cowslipbend.ServiceID][]*host{}
	for _, h := range p.hosts {
		switch service := h.spec.Service; {
		case !h.reachable(now) || !p.domains.accept(h.spec.Domain):
		case h.health.banned(now):
			banned[service] = append(banned[service], h)
		default:
			hosts[service] = append(hosts[service], h)
		}
	}
	for service, list := range banned {
		admitted, others := admitBanned(list, len(hosts[service]), now)
		hosts[service] = append(hosts[service], admitted...)
		banned[service] = others
	}
	p.banned = banned
	for _, list := range hosts {
		sort.Slice(list, func(i, j int) bool { return list[i].life < list[j].life })
	}
	return hosts
}

// stopCheckInterval is the time between two checks of all runs, unless one is due
// at once.
const stopCheckInterval = 100 * cowslipbend.Millisecond

// orderStops orders stops of runs that must not continue, and of runs whose
// start was not confirmed in time.
func (p *Planner) orderStops(now cowslipbend.Time) {
	if !p.stopsDue && now.Sub(p.stopsCheckedAt) < stopCheckInterval {
		return
	}
	p.stopsDue, p.stopsCheckedAt = false, now
	for _, h := range p.hosts {
		if !h.reported {
			continue
		}
		for ref, pl := range h.runs {
			if p.mustStop(ref, pl, now) && now.Sub(pl.stopOrderedAt) >= stopResendInterval {
				pl.stopOrderedAt = now
				o := p.ordersFor(h)
				o.Stops = append(o.Stops, ref)
			}
		}
	}
}

// mustStop reports whether a run must be stopped: its flow is unknown or has
// ended, it is to be moved, it is not a current run of its task, or its start
// was not confirmed within startTimeout.
func (p *Planner) mustStop(ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) bool {
	f := p.flows[ref.Task.Job]
	if f == nil || f.finalState != "" {
		return f != nil || !p.mayRunWithheld(ref.Task.Job)
	}
	if pl.moving {
		return true
	}
	t := f.task(ref.Task)
	if t == nil || !t.holds(ref.Run) || t.phase != phasePlaced {
		return true
	}
	return !pl.confirmed && !pl.inherited && pl.orderedAt > 0 && now.Sub(pl.orderedAt) > startTimeout
}

// ordersFor returns the orders to a host in the outbox.
func (p *Planner) ordersFor(h *host) *cowslipbend.HostOrders {
	o := p.outbox[h]
	if o == nil {
		o = &cowslipbend.HostOrders{Epoch: p.epoch, Life: h.life, Brief: h.fenced}
		p.outbox[h] = o
	}
	return o
}

// describeRuns sends agents that have restarted, or whose runner has, a
// description of the filling and serving runs, by which they set the pace.
func (p *Planner) describeRuns() {
	for _, a := range p.agents {
		h := p.hosts[a.runnerLife]
		if a.knowsRuns || h == nil || !h.reported {
			continue
		}
		a.knowsRuns = true
		for ref, pl := range h.runs {
			if pl.def != nil && (pl.def.Fills || pl.def.TailTarget > 0) {
				o := p.ordersFor(h)
				o.KnownRuns = append(o.KnownRuns, newRunStart(ref, pl.def))
			}
		}
	}
}

// takeOutbox returns the orders in the outbox and empties it.
func (p *Planner) takeOutbox() []AgentOrders {
	var list []AgentOrders
	for h, o := range p.outbox {
		list = append(list, AgentOrders{URL: h.url, Domain: h.spec.Domain, Orders: *o})
		delete(p.outbox, h)
	}
	return list
}

// SealStarts sets from when on the starts of orders are void. It is called just before they
// are sent. They are void before the owner may give up the host, whose lease ends
// MaxLease or more after the reply to the report that they name, and once they count as
// unconfirmed, as their stop may have overtaken them. It removes those whose runs were given
// up since the decision, and reports whether any may be sent.
func (p *Planner) SealStarts(o *cowslipbend.HostOrders, now cowslipbend.Time) bool {
	h := p.hosts[o.Life]
	if h == nil || h.grant.report == 0 {
		return false
	}
	o.Agent, o.Report = p.agents[h.url].life, h.grant.report
	o.Valid = min(p.opts.MaxLease, now.Sub(h.grant.at)+startTimeout)
	o.Starts = slices.DeleteFunc(o.Starts, func(s cowslipbend.RunStart) bool { return h.runs[s.RunRef] == nil })
	return len(o.Starts) > 0
}

// startTask places one task and orders its start.
func (p *Planner) startTask(f *flow, r *round, s *step, index int, h *host, run cowslipbend.Attempt, ticket string, now cowslipbend.Time) {
	t := &s.tasks[index]
	t.phase, t.run, t.host, t.placedAt = phasePlaced, run, h.life, now
	s.waitingCount--
	h.countStart(1)
	if h.health.banned(now) {
		h.health.restUntil = now.Add(bannedStartInterval)
	}
	h.trial.recordStart(f.def.ID, now)
	ref := cowslipbend.RunRef{Task: f.def.Ref(r.number, s.index, index), Run: run}
	p.recordAheadStart(f, s, keyOf(ref.Task), h, now)
	pl := h.addRun(ref, s.def)
	if t.crashes.Suspect {
		h.beginTrial(f.def.ID, pl)
	}
	p.uncommitted = append(p.uncommitted, pl)
	p.recordGiven(f, s)
	h.grade.recordStart(now)
	o := p.ordersFor(h)
	order := newRunStart(ref, s.def)
	order.Spec, order.Checkpoint, order.Ticket = f.def.Spec, t.checkpoint, ticket
	o.Starts = append(o.Starts, order)
	p.markDirty(f)
}

// newRunStart returns the description of a run that an agent needs to set the
// pace.
func newRunStart(ref cowslipbend.RunRef, def *cowslipbend.Step) cowslipbend.RunStart {
	return cowslipbend.RunStart{RunRef: ref, Image: def.Image, Fills: def.Fills, TailTarget: def.TailTarget, CPU: def.Size.CPU}
}
