package planner

import (
	"sort"

	"cowslipbend.dev"
)

// Parcel is the orders for one agent.
type Parcel struct {
	URL    string
	Orders cowslipbend.HostOrders
}

// Decide places what can run, stops what must not, and returns the orders.
// They may be sent once the flows of Dirty are committed. Now is this process'
// clock, shared the store's and wall the time of day.
func (p *Planner) Decide(now, shared, wall cowslipbend.Time) []Parcel {
	p.Tell(shared)
	p.Lapse(now)
	var ready []*flow
	for _, f := range p.live {
		if f.def.Rounds > 0 && f.due(wall) {
			p.mark(f)
		}
		if f.hasWork() {
			f.noteStuck(now)
			ready = append(ready, f)
		}
	}
	p.order(ready, shared)
	hosts := p.byService(now)
	p.evacuate(hosts, now)
	p.move(hosts, now)
	for _, f := range ready {
		list := hosts[p.policy(f).Service]
		p.placeFlow(f, list, leastFor(f, list, now), now)
	}
	p.sweep(now)
	p.introduce()
	for _, h := range p.hosts {
		h.decided = h.ends
	}
	return p.parcels()
}

// Committed notes that the last decision is stored: the ends that it counted
// in may be acknowledged, and its orders go out now.
func (p *Planner) Committed(now cowslipbend.Time) {
	for _, h := range p.hosts {
		h.acked = h.decided
		for _, pl := range h.runs {
			if pl.sent == 0 {
				pl.sent = now
			}
		}
	}
}

func (f *flow) hasWork() bool {
	for _, r := range f.rounds {
		for i := range r.steps {
			if r.steps[i].ready && r.steps[i].waiting > 0 {
				return true
			}
		}
	}
	return false
}

// byService groups the hosts that take new runs.
func (p *Planner) byService(now cowslipbend.Time) map[cowslipbend.ServiceID][]*host {
	hosts := map[cowslipbend.ServiceID][]*host{}
	for _, h := range p.hosts {
		if h.usable(now) {
			hosts[h.spec.Service] = append(hosts[h.spec.Service], h)
		}
	}
	for _, list := range hosts {
		sort.Slice(list, func(i, j int) bool { return list[i].life < list[j].life })
	}
	return hosts
}

// sweep orders the stop of runs that must not go on, and of starts that were
// not confirmed in time.
func (p *Planner) sweep(now cowslipbend.Time) {
	for _, h := range p.hosts {
		if !h.known {
			continue
		}
		for ref, pl := range h.runs {
			if p.unwanted(ref, pl, now) && now.Sub(pl.stopped) >= stopTime {
				pl.stopped = now
				o := p.orders(h)
				o.Stops = append(o.Stops, ref)
			}
		}
	}
}

// unwanted reports whether a run must be stopped.
func (p *Planner) unwanted(ref cowslipbend.RunRef, pl *place, now cowslipbend.Time) bool {
	f := p.flows[ref.Task.Job]
	if f == nil || f.final != "" {
		return true
	}
	if pl.moving {
		return true
	}
	t := f.task(ref.Task)
	if t == nil || t.run != ref.Run || t.phase != phasePlaced {
		return true
	}
	return !pl.confirmed && !pl.inherited && pl.sent > 0 && now.Sub(pl.sent) > startTime
}

func (p *Planner) orders(h *host) *cowslipbend.HostOrders {
	o := p.outbox[h]
	if o == nil {
		o = &cowslipbend.HostOrders{Epoch: p.epoch, Life: h.life}
		p.outbox[h] = o
	}
	return o
}

// introduce tells agents that have restarted what their runs are.
func (p *Planner) introduce() {
	for _, a := range p.agents {
		h := p.hosts[a.host]
		if a.told || h == nil || !h.known {
			continue
		}
		a.told = true
		for ref, pl := range h.runs {
			if pl.def != nil && (pl.def.Fills || pl.def.TailTarget > 0) {
				o := p.orders(h)
				o.KnownRuns = append(o.KnownRuns, describe(ref, pl.def))
			}
		}
	}
}

func (p *Planner) parcels() []Parcel {
	var list []Parcel
	for h, o := range p.outbox {
		list = append(list, Parcel{URL: h.url, Orders: *o})
		delete(p.outbox, h)
	}
	return list
}

// start places one task.
func (p *Planner) start(f *flow, r *round, s *step, index int, h *host, run cowslipbend.Attempt, ticket string, now cowslipbend.Time) {
	t := &s.tasks[index]
	t.phase, t.run, t.host, t.since = phasePlaced, run, h.life, now
	s.waiting--
	ref := cowslipbend.RunRef{Task: f.def.Ref(r.number, s.index, index), Run: run}
	h.add(ref, s.def)
	o := p.orders(h)
	order := describe(ref, s.def)
	order.Spec, order.Checkpoint, order.Ticket = f.def.Spec, t.saved, ticket
	o.Starts = append(o.Starts, order)
	p.mark(f)
}

// describe tells an agent what it needs to know of a run to pace it.
func describe(ref cowslipbend.RunRef, def *cowslipbend.Step) cowslipbend.RunStart {
	return cowslipbend.RunStart{RunRef: ref, Image: def.Image, Fills: def.Fills, TailTarget: def.TailTarget, CPU: def.Size.CPU}
}
