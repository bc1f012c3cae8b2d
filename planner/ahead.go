package planner

import (
	"maps"
	"slices"
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/reserver"
)

// Limits of the look-ahead placement.
const (
	// aheadInterval is the time between two passes. Reports change the expected
	// ends twice a second.
	aheadInterval = 100 * cowslipbend.Millisecond
	// minAheadDelay is how long no task of a flow must have been placed for hosts
	// to be reserved for it: shorter waits end by themselves as runs end.
	minAheadDelay = 500 * cowslipbend.Millisecond
	// maxAheadDemands is how many of the first steps that wait are considered.
	maxAheadDemands = 8
	// rivalRetention is how long a placed task counts as one that competes.
	rivalRetention = 5 * cowslipbend.Second
	// maxAheadEvents is how many changes are kept for ReservationEvents.
	maxAheadEvents = 1024
)

// ahead is the state of the look-ahead placement. A new owner starts without any.
type ahead struct {
	// reservers has an entry for each service on which a large flow has waited.
	reservers  map[cowslipbend.ServiceID]*reserver.Reserver
	lastPassAt cowslipbend.Time
	// rivals holds the smallest task lately placed, by service and priority.
	rivals map[rivalKey]rival
	events []reserver.Event
}

type rivalKey struct {
	service  cowslipbend.ServiceID
	priority int
}

type rival struct {
	size cowslipbend.Resources
	at   cowslipbend.Time
}

// ReservationEvents returns and forgets the changes of reservations since the
// last call.
func (p *Planner) ReservationEvents() []reserver.Event {
	events := p.ahead.events
	p.ahead.events = nil
	return events
}

// ReservedHosts returns the hosts that are reserved.
func (p *Planner) ReservedHosts() []cowslipbend.Incarnation {
	var list []cowslipbend.Incarnation
	for _, r := range p.ahead.reservers {
		for _, v := range r.Reservations() {
			list = append(list, v.Host)
		}
	}
	slices.Sort(list)
	return list
}

// reserveAhead renews the reservations for the flows that wait, in order, after
// their tasks were placed.
func (p *Planner) reserveAhead(ready []*flow, now cowslipbend.Time) {
	if p.opts.Reserver.MaxDemands == 0 || now.Sub(p.ahead.lastPassAt) < aheadInterval {
		return
	}
	p.ahead.lastPassAt = now
	demands := p.aheadDemands(ready, now)
	for service, d := range demands {
		if len(d.list) == 0 {
			delete(demands, service)
			continue
		}
		if p.ahead.reservers == nil {
			p.ahead.reservers = map[cowslipbend.ServiceID]*reserver.Reserver{}
		}
		if p.ahead.reservers[service] == nil {
			p.ahead.reservers[service] = reserver.New(p.opts.Reserver)
		}
	}
	for service, r := range p.ahead.reservers {
		for _, v := range r.Reservations() {
			if h := p.hosts[v.Host]; h != nil {
				h.reservation = nil
			}
		}
		in := reserver.Input{Now: now, Interference: p.interferenceBound}
		if d := demands[service]; d != nil {
			in.Demands, in.Rivals, in.Largest, in.Hosts = d.list, d.rivals, d.largest, p.aheadHosts(service, now)
		}
		events := append(p.ahead.events, r.Plan(&in)...)
		p.ahead.events = events[max(len(events)-maxAheadEvents, 0):]
		for _, v := range r.Reservations() {
			p.hosts[v.Host].reservation = v
		}
		if len(in.Demands) == 0 {
			delete(p.ahead.reservers, service)
		}
	}
}

func (p *Planner) interferenceBound(serving, filling string) float64 {
	return p.estimator.InterferenceBound(serving, filling, cautionDeviations)
}

// serviceDemands are the steps of one service for which hosts may be reserved, and
// what it takes to tell which of them are large.
type serviceDemands struct {
	list    []reserver.Demand
	rivals  []reserver.Rival
	largest cowslipbend.Resources
}

// aheadDemands returns, by service, the first large steps in order that wait: those
// of flows without a task placed for some time, and those with a reservation. Steps
// whose hosts an advisor has to allow are not among them, as its tickets hold only
// for a short time.
func (p *Planner) aheadDemands(ready []*flow, now cowslipbend.Time) map[cowslipbend.ServiceID]*serviceDemands {
	var demands map[cowslipbend.ServiceID]*serviceDemands
	for _, f := range ready {
		policy := p.policy(f)
		r := p.ahead.reservers[policy.Service]
		delayed := f.delayedSince > 0 && now.Sub(f.delayedSince) >= minAheadDelay
		if policy.NeedsAdvice || (!delayed && r == nil) {
			continue
		}
		d := demands[policy.Service]
		if d == nil {
			if demands == nil {
				demands = map[cowslipbend.ServiceID]*serviceDemands{}
			}
			d = &serviceDemands{rivals: p.rivals(policy.Service, ready, now), largest: p.largestHost(policy.Service)}
			demands[policy.Service] = d
		}
		p.addDemands(d, f, policy, delayed, r)
	}
	return demands
}

// addDemands adds the large steps of a flow that wait.
func (p *Planner) addDemands(d *serviceDemands, f *flow, policy cowslipbend.FlowPolicy, delayed bool, r *reserver.Reserver) {
	for _, number := range slices.Sorted(maps.Keys(f.rounds)) {
		steps := f.rounds[number].steps
		for i := range steps {
			s := &steps[i]
			if !s.ready || s.waitingCount == 0 {
				continue
			}
			key := reserver.Key{Job: f.def.ID, Round: number, Step: i}
			held := r != nil && r.Holds(key)
			large := delayed && len(d.list) < maxAheadDemands && p.opts.Reserver.IsLarge(s.def.Size, policy.Priority, d.rivals, d.largest)
			if held || large {
				d.list = append(d.list, p.aheadDemand(f, s, key, policy))
			}
		}
	}
}

// largestHost returns the largest amount of each resource that a host of the
// service has.
func (p *Planner) largestHost(service cowslipbend.ServiceID) cowslipbend.Resources {
	var largest cowslipbend.Resources
	for _, h := range p.hosts {
		if size := h.spec.Size; h.spec.Service == service {
			largest = cowslipbend.Resources{CPU: max(largest.CPU, size.CPU), Mem: max(largest.Mem, size.Mem), Accel: max(largest.Accel, size.Accel)}
		}
	}
	return largest
}

func (p *Planner) aheadDemand(f *flow, s *step, key reserver.Key, policy cowslipbend.FlowPolicy) reserver.Demand {
	d := reserver.Demand{
		Key: key, Priority: policy.Priority, Count: s.waitingCount, Gang: s.def.Gang, Size: s.def.Reserved(), CPU: s.def.Size.CPU, Image: s.def.Image,
		Label: s.def.Label, Compact: s.def.Compact, Rack: s.rack(p), MaxPerHost: s.def.MaxPerHost,
	}
	if s.def.Fills {
		d.MinRate = minFillingRate
	}
	if !s.def.Lasting {
		d.Length = p.expectedLength(f, s)
	}
	if d.MaxPerHost > 0 {
		d.OnHost = map[cowslipbend.Incarnation]int{}
		for life, h := range p.hosts {
			if n := h.stepRuns[stepKey{key.Job, key.Round, key.Step}]; n > 0 {
				d.OnHost[life] = n
			}
		}
	}
	return d
}

// rivals returns the smallest task of each priority that waits or was placed
// lately.
func (p *Planner) rivals(service cowslipbend.ServiceID, ready []*flow, now cowslipbend.Time) []reserver.Rival {
	for _, f := range ready {
		if policy := p.policy(f); policy.Service == service {
			for _, r := range f.rounds {
				for i := range r.steps {
					if s := &r.steps[i]; s.ready && s.waitingCount > 0 {
						p.recordRival(policy, s.def, now)
					}
				}
			}
		}
	}
	var list []reserver.Rival
	for key, v := range p.ahead.rivals {
		if now.Sub(v.at) > rivalRetention {
			delete(p.ahead.rivals, key)
		} else if key.service == service {
			list = append(list, reserver.Rival{Priority: key.priority, Size: v.size})
		}
	}
	return list
}

// recordRival records that a task of the step waits or was placed.
func (p *Planner) recordRival(policy cowslipbend.FlowPolicy, def *cowslipbend.Step, now cowslipbend.Time) {
	if def.TailTarget > 0 {
		return // Reservations give way to serving tasks.
	}
	key := rivalKey{policy.Service, policy.Priority}
	old, known := p.ahead.rivals[key]
	if known && now.Sub(old.at) <= rivalRetention && def.Size.Share(old.size) > 1 {
		return
	}
	if p.ahead.rivals == nil {
		p.ahead.rivals = map[rivalKey]rival{}
	}
	p.ahead.rivals[key] = rival{def.Size, now}
}

// aheadHosts returns the hosts of the service that take new runs, those that have
// just refused one included, sorted by incarnation.
func (p *Planner) aheadHosts(service cowslipbend.ServiceID, now cowslipbend.Time) []reserver.Host {
	var list []reserver.Host
	for _, h := range p.hosts {
		if h.spec.Service == service && h.usable(max(now, h.backoffUntil)) && p.domains.accept(h.spec.Domain) {
			list = append(list, p.aheadHost(h, now))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (p *Planner) aheadHost(h *host, now cowslipbend.Time) reserver.Host {
	out := reserver.Host{
		ID: h.life, Rack: h.spec.Rack, Labels: h.spec.Labels, AvailableAt: h.backoffUntil, Size: h.spec.Size, Free: h.free(), Idle: h.idleCPU(),
		Serving: make([]reserver.Serving, 0, len(h.servingImages)), Ends: make([]reserver.End, 0, len(h.runs)),
	}
	for i := range h.servingImages {
		s := &h.servingImages[i]
		out.Serving = append(out.Serving, reserver.Serving{Image: s.image, Headroom: p.headroomOf(h, s)})
	}
	for ref, pl := range h.runs {
		if at := p.aheadEnd(ref, pl, now); at > 0 {
			end := reserver.End{At: at, Size: pl.def.Reserved(), CPU: pl.def.Size.CPU}
			switch {
			case pl.def.Fills:
				end.CPU, end.Image = pl.demand, pl.def.Image
			case pl.def.TailTarget > 0:
				end.CPU = pl.def.Size.CPU * servingUsePercent / 100
			}
			out.Ends = append(out.Ends, end)
		}
	}
	return out
}

// aheadEnd returns when a run is expected to end, by itself or by an order to
// stop, or zero.
func (p *Planner) aheadEnd(ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) cowslipbend.Time {
	f := p.flows[ref.Task.Job]
	switch {
	case pl.def == nil || f == nil:
		return 0
	case pl.moving || f.finalState != "":
		return now.Add(placementBackoff)
	}
	return p.expectedEnd(f, ref, pl, now)
}

// aheadTask returns a task of the step as reservations see it.
func (p *Planner) aheadTask(f *flow, s *step, key stepKey) reserver.Task {
	t := reserver.Task{
		Key: reserver.Key{Job: key.job, Round: key.round, Step: key.step}, Priority: p.policy(f).Priority, Size: s.def.Reserved(), CPU: s.def.Size.CPU,
		Fills: s.def.Fills, Serving: s.def.TailTarget > 0,
	}
	if !s.def.Lasting {
		t.Length = p.expectedLength(f, s)
	}
	return t
}

// heldBack reports whether the reservation on the host keeps tasks of the step
// from it.
func (p *Planner) heldBack(h *host, key stepKey) bool {
	f := p.flows[key.job]
	return f != nil && f.rounds[key.round] != nil && p.heldBackFlow(h, f, key)
}

// heldBackFlow is heldBack for a flow that need not be known.
func (p *Planner) heldBackFlow(h *host, f *flow, key stepKey) bool {
	t := p.aheadTask(f, &f.rounds[key.round].steps[key.step], key)
	return !h.reservation.Permits(&t, p.now)
}

// recordAheadStart records that a task of the step was placed on the host.
func (p *Planner) recordAheadStart(f *flow, s *step, key stepKey, h *host, now cowslipbend.Time) {
	if p.opts.Reserver.MaxDemands == 0 {
		return
	}
	p.recordRival(p.policy(f), s.def, now)
	if h.reservation != nil {
		t := p.aheadTask(f, s, key)
		h.reservation.RecordStart(&t, now)
	}
}
