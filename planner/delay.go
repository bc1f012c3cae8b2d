package planner

import (
	"sort"

	"cowslipbend.dev"
)

// Limits of the reported delays.
const (
	// minDelay is how long a flow must have had no task placed to be reported,
	// delayInterval the time between two reports of the same flow.
	minDelay      = 2 * cowslipbend.Second
	delayInterval = 5 * cowslipbend.Second
	// maxDelays is the largest number of reports at a time.
	maxDelays = 8
)

// DelayReason is why a host cannot take a task.
type DelayReason string

// The reasons in the order in which they are checked.
const (
	// DelayNoHost means that no host of the service takes new runs.
	DelayNoHost DelayReason = "no usable host"
	// DelayLabel means that the host lacks the required label.
	DelayLabel DelayReason = "label"
	// DelaySpread means that the host has as many tasks of the step as it may.
	DelaySpread DelayReason = "spread"
	// DelaySlow means that the host is set aside as slow.
	DelaySlow DelayReason = "slow"
	// DelayTrial means that the host runs a task of another flow that may have
	// crashed a host.
	DelayTrial DelayReason = "trial"
	// DelayRoom means that the reservation does not fit.
	DelayRoom DelayReason = "room"
	// DelayCold means that the host is slow after a start and takes few tasks.
	DelayCold DelayReason = "cold"
	// DelayBound means that another runner may still carry out a start of the task.
	DelayBound DelayReason = "bound"
	// DelayRack means that the other tasks of the step are in another rack.
	DelayRack DelayReason = "rack"
	// DelayAdvice means that there is no valid advice for the host.
	DelayAdvice DelayReason = "advice"
	// DelayProcessors and DelayInterference mean that a filling task would be too
	// slow there, as too few processors are idle or serving tasks would suffer.
	DelayProcessors   DelayReason = "processors"
	DelayInterference DelayReason = "interference"
	// DelayReserved means that the host is reserved for a larger task.
	DelayReserved DelayReason = "reserved"
	// DelayOrder means that the host could take the task, but others went first.
	DelayOrder DelayReason = "order"
)

// Delay tells why a flow that could run has had no task placed for some time.
type Delay struct {
	Flow  cowslipbend.JobID
	Round int
	Step  int
	// Waiting is the number of tasks of the step that wait, For how long no task
	// of the flow has been placed.
	Waiting int
	For     cowslipbend.Span
	// Position is the place of the flow among the Ready ones, from 1.
	Position int
	Ready    int
	// Reason is the one of most hosts, Hosts the number of hosts by reason.
	Reason DelayReason
	Hosts  map[DelayReason]int
	// BestRate is the highest expected rate of a filling task on any host, and
	// ReservedShare the share of all processors that is reserved.
	BestRate      float64
	ReservedShare float64
}

// trackDelay records whether the decision has placed a task of the flow, whose
// position in the order is given.
func (f *flow) trackDelay(placed bool, position int, now cowslipbend.Time) {
	f.position = position
	switch {
	case placed:
		f.delayedSince = 0
	case f.delayedSince == 0:
		f.delayedSince = now
	}
}

// Delays returns the longest delays of which none was reported lately.
func (p *Planner) Delays(now cowslipbend.Time) []Delay {
	var flows []*flow
	ready := 0
	for _, f := range p.liveFlows {
		if !f.hasReadyTasks() {
			f.delayedSince = 0
			continue
		}
		ready++
		if f.delayedSince > 0 && now.Sub(f.delayedSince) >= minDelay && (f.delayReportedAt == 0 || now.Sub(f.delayReportedAt) >= delayInterval) {
			flows = append(flows, f)
		}
	}
	if len(flows) == 0 {
		return nil
	}
	sort.Slice(flows, func(i, j int) bool {
		a, b := flows[i], flows[j]
		if a.delayedSince != b.delayedSince {
			return a.delayedSince < b.delayedSince
		}
		return a.def.ID < b.def.ID
	})
	hosts := p.usableHosts(now)
	var list []Delay
	for _, f := range flows[:min(len(flows), maxDelays)] {
		f.delayReportedAt = now
		d := p.delayOf(f, hosts[p.policy(f).Service], now)
		d.Ready = ready
		list = append(list, d)
	}
	return list
}

// delayOf returns the delay of a flow by its first step with waiting tasks.
func (p *Planner) delayOf(f *flow, hosts []*host, now cowslipbend.Time) Delay {
	d := Delay{Flow: f.def.ID, For: now.Sub(f.delayedSince), Position: f.position + 1, Hosts: map[DelayReason]int{}, Reason: DelayNoHost, ReservedShare: reservedShare(hosts)}
	r, s := f.firstReady()
	if s == nil {
		return d
	}
	d.Round, d.Step, d.Waiting = r.number, s.index, s.waitingCount
	key := stepKey{f.def.ID, r.number, s.index}
	needsAdvice, rack := p.policy(f).NeedsAdvice, s.rack(p)
	_, tickets := p.advisedHosts(f, key, hosts, now)
	for _, h := range hosts {
		reason := h.misfit(s.def, key)
		switch {
		case reason != "":
		case !s.mayRunOn(h, now):
			reason = DelayBound
		case rack != "" && h.spec.Rack != rack:
			reason = DelayRack
		case needsAdvice && tickets[h.life] == "":
			reason = DelayAdvice
		case s.def.Fills:
			rate := p.expectedRate(h, s.def, 0)
			d.BestRate = max(d.BestRate, rate)
			reason = rateReason(h, s.def, rate)
		default:
			reason = DelayOrder
		}
		if reason == DelayOrder && h.reservation != nil && p.heldBack(h, key) {
			reason = DelayReserved
		}
		d.Hosts[reason]++
		if d.Hosts[reason] > d.Hosts[d.Reason] {
			d.Reason = reason
		}
	}
	return d
}

// rateReason returns why a filling task with the expected rate waits.
func rateReason(h *host, def *cowslipbend.Step, rate float64) DelayReason {
	switch {
	case rate >= minFillingRate:
		return DelayOrder
	case float64(h.idleCPU()) < minFillingRate*float64(def.Size.CPU):
		return DelayProcessors
	}
	return DelayInterference
}

// firstReady returns the first ready step with waiting tasks, by round.
func (f *flow) firstReady() (*round, *step) {
	var first *round
	var found *step
	for _, r := range f.rounds {
		if first != nil && first.number < r.number {
			continue
		}
		for i := range r.steps {
			if s := &r.steps[i]; s.ready && s.waitingCount > 0 {
				first, found = r, s
				break
			}
		}
	}
	return first, found
}
