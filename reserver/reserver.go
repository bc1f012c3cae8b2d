package reserver

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// Options bound the reservations. The zero value reserves nothing.
type Options struct {
	// MaxDemands is the largest number of steps that have reservations at a time.
	MaxDemands int
	// MaxShare is the largest share of the hosts that is reserved. One host may
	// be reserved at any rate.
	MaxShare float64
	// LargeFactor is how many times the smallest competing task a task must
	// measure to have hosts reserved. Tasks of similar sizes need no reservation:
	// whatever one of them leaves, the next can use.
	LargeFactor float64
	// MaxAhead is the longest time between a decision and the time for which a
	// host is reserved.
	MaxAhead cowslipbend.Span
	// MaxHold is the longest time for which a step holds reservations without
	// using one.
	MaxHold cowslipbend.Span
}

// Defaults returns the usual options. Callers give up a flow of 5 s of work after
// some 30 s, so that neither limit exceeds a third of it.
func Defaults() Options {
	return Options{MaxDemands: 4, MaxShare: 0.125, LargeFactor: 2, MaxAhead: 10 * cowslipbend.Second, MaxHold: 10 * cowslipbend.Second}
}

const (
	// stickiness is how much earlier another host must be ready to replace a
	// reserved one, so that the gap on the reserved one can grow.
	stickiness = 400 * cowslipbend.Millisecond
	// startDelay is added to the length of a backfilled task for the commit and
	// the order of its start.
	startDelay = 100 * cowslipbend.Millisecond
	// minPause is the shortest time without reservations for a step whose
	// reservations were given up.
	minPause = cowslipbend.Second
)

// Key names a step of a round of a flow.
type Key struct {
	Job   cowslipbend.JobID
	Round int
	Step  int
}

// End is the expected end of a run.
type End struct {
	At cowslipbend.Time
	// Size is what the run reserves, CPU the processors that it uses.
	Size cowslipbend.Resources
	CPU  cowslipbend.Millicores
	// Image is the image of a filling run, and empty for any other.
	Image string
}

// Serving is a group of serving runs of one image on a host.
type Serving struct {
	Image string
	// Headroom is the load that they can take from further filling runs.
	Headroom float64
}

// Host is a host that takes new runs, now or from AvailableAt on.
type Host struct {
	ID          cowslipbend.Incarnation
	Rack        cowslipbend.Rack
	Labels      []string
	AvailableAt cowslipbend.Time
	// Size is all that the host has, Free what is not reserved by runs, and Idle
	// the processors that its runs leave unused.
	Size    cowslipbend.Resources
	Free    cowslipbend.Resources
	Idle    cowslipbend.Millicores
	Serving []Serving
	// Ends are the expected ends of its runs in any order. Runs that do not end by
	// themselves are not among them.
	Ends []End
	// order holds the indexes of Ends in the order of time. sorted is set once it
	// does.
	order  []int32
	sorted bool
}

// Demand is a step with tasks that wait and could not be placed.
type Demand struct {
	Key      Key
	Priority int
	// Count is the number of waiting tasks. A Gang needs room for all at once.
	Count int
	Gang  bool
	// Size is what a task reserves, CPU the processors that it uses, Length its
	// expected length at full speed, or zero for a lasting task.
	Size   cowslipbend.Resources
	CPU    cowslipbend.Millicores
	Length cowslipbend.Span
	// MinRate is the lowest share of its full speed at which a filling task is
	// placed, and zero for other tasks. Image is its image.
	MinRate float64
	Image   string
	// Label, if not empty, must be among the labels of the host. Compact tasks
	// share a rack; Rack, if not empty, is the one that their step already uses.
	Label   string
	Compact bool
	Rack    cowslipbend.Rack
	// MaxPerHost limits the tasks of the step on one host; zero means no limit.
	// OnHost counts the tasks that each host has.
	MaxPerHost int
	OnHost     map[cowslipbend.Incarnation]int
}

// Rival is the smallest task of a priority that waits or runs.
type Rival struct {
	Priority int
	Size     cowslipbend.Resources
}

// IsLarge reports whether a task of the size and priority competes with much
// smaller ones, where largest is the largest amount that any host has.
func (o *Options) IsLarge(size cowslipbend.Resources, priority int, rivals []Rival, largest cowslipbend.Resources) bool {
	share := size.Share(largest)
	return slices.ContainsFunc(rivals, func(v Rival) bool { return v.Priority >= priority && v.Size.Share(largest)*o.LargeFactor <= share })
}

// Input is what a pass decides by.
type Input struct {
	Now cowslipbend.Time
	// Hosts are sorted by ID.
	Hosts []Host
	// Demands are in the order in which they are to be placed.
	Demands []Demand
	Rivals  []Rival
	// Largest is the largest amount of each resource that any host has.
	Largest cowslipbend.Resources
	// Interference returns the load that a filling image adds to a serving one if
	// it uses all processors of the host.
	Interference func(serving, filling string) float64
}

// Task is a task that may be placed on a reserved host.
type Task struct {
	Key      Key
	Priority int
	Size     cowslipbend.Resources
	CPU      cowslipbend.Millicores
	// Length is the expected length of the task, or zero for a lasting one.
	Length  cowslipbend.Span
	Fills   bool
	Serving bool
}

// Reservation keeps room on a host for tasks of a step.
type Reservation struct {
	Key      Key
	Host     cowslipbend.Incarnation
	Priority int
	// Count is the number of tasks that the room is for.
	Count int
	// At is when the room is expected to be free, MadeAt when the reservation
	// was made, EndedAt when it was used or lost; zero before.
	At      cowslipbend.Time
	MadeAt  cowslipbend.Time
	EndedAt cowslipbend.Time
	// fillUntil is by when other tasks must end: the earliest At so far. If it moved
	// with At, tasks that take longer than expected would be followed by others for
	// ever.
	fillUntil cowslipbend.Time
	// spare and spareIdle are the resources and idle processors that will be left
	// beside the reservation at that time; fills is set for filling tasks, and
	// besideServing if serving runs on the host limit them.
	spare         cowslipbend.Resources
	spareIdle     cowslipbend.Millicores
	fills         bool
	besideServing bool
	// cpu is what its tasks use. used is set once all of them were placed.
	cpu  cowslipbend.Millicores
	used bool
}

// Permits reports whether the task may be placed on the host despite the
// reservation.
func (r *Reservation) Permits(t *Task, now cowslipbend.Time) bool {
	return r.used || t.Key == r.Key || t.Serving || t.Priority < r.Priority || r.endsBefore(t, now) || r.fitsBeside(t)
}

func (r *Reservation) endsBefore(t *Task, now cowslipbend.Time) bool {
	return t.Length > 0 && now.Add(t.Length+startDelay) <= r.fillUntil
}

func (r *Reservation) fitsBeside(t *Task) bool {
	if !t.Size.Fits(r.spare) {
		return false
	}
	return !r.fills || (t.CPU <= r.spareIdle && (!t.Fills || !r.besideServing))
}

// RecordStart records that the task was placed on the host.
func (r *Reservation) RecordStart(t *Task, now cowslipbend.Time) {
	switch {
	case t.Key == r.Key:
		r.Count--
		if r.Count <= 0 {
			r.used, r.EndedAt = true, now
		}
	case !r.endsBefore(t, now):
		r.spare, r.spareIdle = r.spare.Minus(t.Size), r.spareIdle-t.CPU
	}
}

// EventKind is what happened to a reservation.
type EventKind string

// The kinds of events.
const (
	Made EventKind = "made"
	Used EventKind = "used"
	Lost EventKind = "lost"
)

// LossReason is why a reservation was given up unused.
type LossReason string

// The reasons.
const (
	// LostHost means that the host left, drains or gets no runs for another
	// reason.
	LostHost LossReason = "host"
	// LostRoom means that the room is not expected in time any more, as runs take
	// longer or serving tasks took it.
	LostRoom LossReason = "room"
	// LostSwitch means that another host is ready earlier.
	LostSwitch LossReason = "switch"
	// LostDemand means that the tasks do not wait any more.
	LostDemand LossReason = "demand"
	// LostOrder means that other steps take precedence.
	LostOrder LossReason = "order"
	// LostWorth means that more processor time would be idle than the tasks need.
	LostWorth LossReason = "worth"
	// LostExpired means that the step has used none of its reservations for
	// MaxHold.
	LostExpired LossReason = "expired"
)

// Event is a change of a reservation.
type Event struct {
	Kind        EventKind
	Reason      LossReason
	Reservation Reservation
}

// account is what the reservations of a step have cost.
type account struct {
	// heldSince is when the step had its first reservation since it last used
	// one; zero if it holds none. idle is the processor time that was left idle
	// since.
	heldSince cowslipbend.Time
	idle      cowslipbend.CPUTime
	// pausedUntil is until when the step gets no reservations.
	pausedUntil cowslipbend.Time
}

// Reserver holds the reservations on the hosts of one service. It is not safe for
// concurrent use. A new one builds them from its first input.
type Reserver struct {
	opts         Options
	reservations []*Reservation
	accounts     map[Key]*account
	lastPassAt   cowslipbend.Time
}

// New returns a reserver without reservations.
func New(opts Options) *Reserver { return &Reserver{opts: opts, accounts: map[Key]*account{}} }

// Reservations returns the reservations in force.
func (r *Reserver) Reservations() []*Reservation { return r.reservations }

// Holds reports whether the step has a reservation.
func (r *Reserver) Holds(key Key) bool {
	return slices.ContainsFunc(r.reservations, func(v *Reservation) bool { return v.Key == key })
}

// Plan renews the reservations and returns what has changed.
func (r *Reserver) Plan(in *Input) []Event {
	if len(r.reservations) == 0 && len(in.Demands) == 0 {
		clear(r.accounts)
		return nil
	}
	p := newPass(r, in)
	p.charge()
	steps := 0
	for _, d := range p.largeDemands() {
		if steps < r.opts.MaxDemands && p.quota > 0 && p.reserve(d) {
			steps++
		}
	}
	events := p.events()
	r.reservations, r.lastPassAt = p.made, in.Now
	r.dropAccounts(in)
	return events
}

// dropAccounts forgets the steps that do not wait any more.
func (r *Reserver) dropAccounts(in *Input) {
	waiting := make(map[Key]bool, len(in.Demands))
	for i := range in.Demands {
		waiting[in.Demands[i].Key] = true
	}
	for key, a := range r.accounts {
		if !waiting[key] {
			delete(r.accounts, key)
		} else if !r.Holds(key) {
			a.heldSince = 0
		}
	}
}

// pass is one call of Plan.
type pass struct {
	*Reserver
	in    *Input
	hosts map[cowslipbend.Incarnation]*Host
	// taken holds the hosts that are reserved in this pass; quota is how many
	// more may be.
	taken map[cowslipbend.Incarnation]bool
	quota int
	made  []*Reservation
	// reasons holds why steps have got no reservations.
	reasons map[Key]LossReason
	// interference caches Input.Interference.
	interference map[[2]string]float64
	// headroom and slots are reused by the searches for slots.
	headroom []float64
	slots    []slot
}

func newPass(r *Reserver, in *Input) *pass {
	p := &pass{
		Reserver: r, in: in, hosts: make(map[cowslipbend.Incarnation]*Host, len(in.Hosts)), taken: map[cowslipbend.Incarnation]bool{},
		quota: max(int(r.opts.MaxShare*float64(len(in.Hosts))), 1), reasons: map[Key]LossReason{}, interference: map[[2]string]float64{},
	}
	for i := range in.Hosts {
		h := &in.Hosts[i]
		p.hosts[h.ID] = h
	}
	return p
}

// charge adds the processor time that was left idle on reserved hosts since the
// last pass to the accounts of the steps, and clears those of steps that have
// used a reservation.
func (p *pass) charge() {
	for _, v := range p.reservations {
		a, h := p.accounts[v.Key], p.hosts[v.Host]
		switch {
		case a == nil:
		case v.used:
			a.heldSince, a.idle = p.in.Now, 0
		case h != nil:
			a.idle += idleTime(min(h.Idle, v.cpu*cowslipbend.Millicores(v.Count)), p.in.Now.Sub(p.lastPassAt))
		}
	}
}

// idleTime returns the processor time of idle processors.
func idleTime(idle cowslipbend.Millicores, span cowslipbend.Span) cowslipbend.CPUTime {
	return cowslipbend.CPUTime(max(idle, 0)) * cowslipbend.CPUTime(max(span, 0)) / cowslipbend.CPUTime(cowslipbend.Core)
}

// largeDemands returns the steps for which hosts may be reserved: by priority,
// those that have reservations first, then the largest.
func (p *pass) largeDemands() []*Demand {
	type candidate struct {
		demand *Demand
		held   bool
		share  float64
	}
	var list []candidate
	for i := range p.in.Demands {
		d := &p.in.Demands[i]
		c := candidate{demand: d, held: p.Holds(d.Key), share: d.whole().Share(p.in.Largest)}
		if d.Count > 0 && (c.held || p.opts.IsLarge(d.whole(), d.Priority, p.in.Rivals, p.in.Largest)) {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.demand.Priority, b.demand.Priority), compareBool(b.held, a.held), cmp.Compare(b.share, a.share))
	})
	demands := make([]*Demand, 0, len(list))
	for _, c := range list {
		demands = append(demands, c.demand)
	}
	return demands
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// whole returns what a task takes, also of what it doesn't reserve.
func (d *Demand) whole() cowslipbend.Resources {
	size := d.Size
	size.CPU = max(size.CPU, d.CPU)
	return size
}

// reserve makes the reservations of a step, unless they cost more than they are
// worth, and reports whether it has made any.
func (p *pass) reserve(d *Demand) bool {
	a := p.accounts[d.Key]
	if a == nil {
		a = &account{}
		p.accounts[d.Key] = a
	}
	if p.in.Now < a.pausedUntil {
		return false
	}
	if a.heldSince > 0 && p.in.Now.Sub(a.heldSince) >= p.opts.MaxHold {
		p.pause(a, d, LostExpired)
		return false
	}
	chosen := p.chooseSlots(d, p.quota)
	if len(chosen) == 0 {
		return false
	}
	made, idle := p.reservationsOf(d, chosen)
	if worth := d.worth(p.opts.MaxAhead) * cowslipbend.CPUTime(len(chosen)); a.idle+idle > worth {
		if a.idle > 0 {
			p.pause(a, d, LostWorth)
		}
		return false
	}
	if a.heldSince == 0 {
		a.heldSince = p.in.Now
	}
	p.made = append(p.made, made...)
	for _, v := range made {
		p.taken[v.Host] = true
		p.quota--
	}
	return true
}

// pause gives up the reservations of a step. It gets none for as long as it held
// them or its task lasts, so that what a wrong estimate costs is bounded.
func (p *pass) pause(a *account, d *Demand, reason LossReason) {
	p.reasons[d.Key] = reason
	pause := max(d.Length, minPause)
	if a.heldSince > 0 {
		pause = max(pause, p.in.Now.Sub(a.heldSince))
	}
	a.pausedUntil = p.in.Now.Add(pause)
	a.heldSince, a.idle = 0, 0
}

// worth returns the processor time that a task needs. Lasting tasks count with
// the span.
func (d *Demand) worth(lasting cowslipbend.Span) cowslipbend.CPUTime {
	length := d.Length
	if length == 0 {
		length = lasting
	}
	return idleTime(d.CPU, length)
}

// reservationsOf returns the reservations for the chosen slots, and the processor
// time that is expected to stay idle until they are used.
func (p *pass) reservationsOf(d *Demand, chosen []slot) ([]*Reservation, cowslipbend.CPUTime) {
	var made []*Reservation
	var latest cowslipbend.Time
	for _, s := range chosen {
		latest = max(latest, s.at)
		i := slices.IndexFunc(made, func(v *Reservation) bool { return v.Host == s.host.ID })
		if i < 0 {
			i = len(made)
			made = append(made, &Reservation{Key: d.Key, Host: s.host.ID, Priority: d.Priority, MadeAt: p.in.Now, fills: d.MinRate > 0, cpu: d.CPU})
		}
		made[i].At, made[i].Count = s.at, made[i].Count+1
	}
	var idle cowslipbend.CPUTime
	for _, v := range made {
		if d.Gang {
			v.At = latest
		}
		h := p.hosts[v.Host]
		idle += h.heldIdleTime(d.CPU*cowslipbend.Millicores(v.Count), p.in.Now, v.At)
		v.fillUntil = v.At
		if old := p.find(v); old != nil {
			v.MadeAt, v.fillUntil = old.MadeAt, min(old.fillUntil, v.At)
		}
		// Tasks beside the reservation that end after fillUntil take up the room beside
		// it: otherwise each of them would make room for the next.
		free := h.roomAt(max(v.fillUntil, p.in.Now))
		v.spare = free.size.Minus(d.Size.Times(int64(v.Count)))
		v.spareIdle = free.idle - d.CPU*cowslipbend.Millicores(v.Count)
		v.besideServing = v.fills && len(h.Serving) > 0
	}
	return made, idle
}

// find returns the reservation in force of the same step on the same host.
func (p *pass) find(v *Reservation) *Reservation {
	for _, old := range p.reservations {
		if old.Key == v.Key && old.Host == v.Host && !old.used {
			return old
		}
	}
	return nil
}

// events returns how the reservations of this pass differ from those in force.
func (p *pass) events() []Event {
	var list []Event
	for _, old := range p.reservations {
		switch {
		case old.used:
			list = append(list, Event{Kind: Used, Reservation: *old})
		case !slices.ContainsFunc(p.made, func(v *Reservation) bool { return v.Key == old.Key && v.Host == old.Host }):
			old.EndedAt = p.in.Now
			list = append(list, Event{Kind: Lost, Reason: p.lossReason(old), Reservation: *old})
		}
	}
	for _, v := range p.made {
		if p.find(v) == nil {
			list = append(list, Event{Kind: Made, Reservation: *v})
		}
	}
	return list
}

// lossReason returns why a reservation is not in force any more.
func (p *pass) lossReason(old *Reservation) LossReason {
	i := slices.IndexFunc(p.in.Demands, func(d Demand) bool { return d.Key == old.Key })
	switch {
	case i < 0:
		return LostDemand
	case p.hosts[old.Host] == nil:
		return LostHost
	case p.reasons[old.Key] != "":
		return p.reasons[old.Key]
	case p.taken[old.Host]:
		return LostOrder
	case len(p.appendSlots(nil, p.hosts[old.Host], &p.in.Demands[i], 1, 0)) == 0:
		return LostRoom
	case slices.ContainsFunc(p.made, func(v *Reservation) bool { return v.Key == old.Key }):
		return LostSwitch
	}
	return LostOrder
}
