package reserver

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// slot is room for one task on a host from a time on.
type slot struct {
	host *Host
	at   cowslipbend.Time
	// rank is the time by which slots are compared: hosts that are reserved for
	// the step already are preferred.
	rank cowslipbend.Time
}

// room is what a host has left.
type room struct {
	size     cowslipbend.Resources
	idle     cowslipbend.Millicores
	headroom []float64
}

func (p *pass) roomNow(h *Host) room {
	p.headroom = p.headroom[:0]
	for i := range h.Serving {
		p.headroom = append(p.headroom, h.Serving[i].Headroom)
	}
	return room{size: h.Free, idle: h.Idle, headroom: p.headroom}
}

// sortedEnds returns the indexes of the ends of the host in the order of time.
func (h *Host) sortedEnds() []int32 {
	if !h.sorted {
		h.sorted = true
		h.order = make([]int32, len(h.Ends))
		for i := range h.order {
			h.order[i] = int32(i)
		}
		slices.SortFunc(h.order, func(a, b int32) int { return cmp.Compare(h.Ends[a].At, h.Ends[b].At) })
	}
	return h.order
}

// roomAt returns the resources and idle processors that the host is expected to
// have at the time.
func (h *Host) roomAt(at cowslipbend.Time) room {
	r := room{size: h.Free, idle: h.Idle}
	for i := range h.Ends {
		if e := &h.Ends[i]; e.At <= at {
			r.size, r.idle = r.size.Plus(e.Size), r.idle+e.CPU
		}
	}
	return r
}

// heldIdleTime returns the processor time that is expected to stay idle from now
// to the time if at most the given processors are held.
func (h *Host) heldIdleTime(held cowslipbend.Millicores, now, at cowslipbend.Time) cowslipbend.CPUTime {
	idle, since := h.Idle, now
	var sum cowslipbend.CPUTime
	for _, i := range h.sortedEnds() {
		e := &h.Ends[i]
		if e.At >= at {
			break
		}
		sum += idleTime(min(idle, held), e.At.Sub(since))
		idle, since = idle+e.CPU, max(since, e.At)
	}
	return sum + idleTime(min(idle, held), at.Sub(since))
}

// load returns the load that the filling image adds to the serving one with the
// processors.
func (p *pass) load(h *Host, serving, filling string, cpu cowslipbend.Millicores) float64 {
	key := [2]string{serving, filling}
	interference, ok := p.interference[key]
	if !ok {
		interference = p.in.Interference(serving, filling)
		p.interference[key] = interference
	}
	return interference * float64(cpu) / float64(max(h.Size.CPU, 1))
}

// adjust adds the processors of a filling run to the headroom, or takes them if
// the sign is -1.
func (p *pass) adjust(h *Host, r *room, image string, cpu cowslipbend.Millicores, sign float64) {
	for i := range r.headroom {
		r.headroom[i] += sign * p.load(h, h.Serving[i].Image, image, cpu)
	}
}

// fits reports whether a task of the step fits in the room.
func (p *pass) fits(d *Demand, h *Host, r *room) bool {
	if !d.Size.Fits(r.size) {
		return false
	}
	if d.MinRate == 0 {
		return true
	}
	if float64(r.idle) < d.MinRate*float64(d.CPU) {
		return false
	}
	for i := range r.headroom {
		if load := p.load(h, h.Serving[i].Image, d.Image, d.CPU); load > 0 && r.headroom[i] < d.MinRate*load {
			return false
		}
	}
	return true
}

// eligible reports whether the host may run tasks of the step at all, and how
// many.
func (p *pass) eligible(h *Host, d *Demand) (int, bool) {
	count := d.Count
	if d.MaxPerHost > 0 {
		count = min(count, d.MaxPerHost-d.OnHost[h.ID])
	}
	allowed := (d.Label == "" || slices.Contains(h.Labels, d.Label)) && (d.Rack == "" || h.Rack == d.Rack) && d.whole().Fits(h.Size)
	return count, allowed && count > 0
}

// appendSlots appends up to limit slots of a host in the order of time, which rank
// earlier by the bonus. A host that does not get enough room by its ends within
// MaxAhead has none.
func (p *pass) appendSlots(list []slot, h *Host, d *Demand, limit int, bonus cowslipbend.Span) []slot {
	count, ok := p.eligible(h, d)
	if !ok {
		return list
	}
	full := len(list) + min(count, limit)
	now := max(p.in.Now, h.AvailableAt)
	horizon := p.in.Now.Add(p.opts.MaxAhead)
	r, at, order := p.roomNow(h), now, h.sortedEnds()
	for i := 0; ; i++ {
		for p.fits(d, h, &r) {
			list = append(list, slot{host: h, at: at, rank: at.Add(-bonus)})
			if len(list) == full {
				return list
			}
			r.size, r.idle = r.size.Minus(d.Size), r.idle-d.CPU
			if d.MinRate > 0 {
				p.adjust(h, &r, d.Image, d.CPU, -1)
			}
		}
		if i == len(order) || h.Ends[order[i]].At > horizon {
			return list
		}
		e := &h.Ends[order[i]]
		at = max(at, e.At)
		r.size, r.idle = r.size.Plus(e.Size), r.idle+e.CPU
		if e.Image != "" {
			p.adjust(h, &r, e.Image, e.CPU, 1)
		}
	}
}

// chooseSlots returns the earliest slots for the tasks of the step, on at most the
// given number of hosts. A gang gets all slots or none, other steps one on each
// host; compact steps get them in one rack.
func (p *pass) chooseSlots(d *Demand, hosts int) []slot {
	var best []slot
	for _, list := range p.slotsByRack(d) {
		chosen := earliest(list, d.Count, hosts)
		switch {
		case len(chosen) == 0 || (d.Gang && len(chosen) < d.Count):
		case best == nil || precedes(chosen, best):
			best = chosen
		}
	}
	return best
}

// slotsByRack returns the slots for the tasks of the step on hosts that are not
// taken, for compact steps by rack.
func (p *pass) slotsByRack(d *Demand) map[cowslipbend.Rack][]slot {
	limit := 1
	if d.Gang {
		limit = d.Count
	}
	held := map[cowslipbend.Incarnation]bool{}
	for _, v := range p.reservations {
		if v.Key == d.Key && !v.used {
			held[v.Host] = true
		}
	}
	byRack := map[cowslipbend.Rack][]slot{}
	if !d.Compact {
		byRack[""] = p.slots[:0]
	}
	for i := range p.in.Hosts {
		h := &p.in.Hosts[i]
		if p.taken[h.ID] {
			continue
		}
		rack, bonus := cowslipbend.Rack(""), cowslipbend.Span(0)
		if d.Compact {
			rack = h.Rack
		}
		if held[h.ID] {
			bonus = stickiness
		}
		list := byRack[rack]
		byRack[rack] = p.dropCostly(d, p.appendSlots(list, h, d, limit, bonus), len(list))
	}
	if !d.Compact {
		p.slots = byRack[""]
	}
	return byRack
}

// dropCostly drops the slot of a single task, the one after the first n, if it
// leaves more processor time idle than the task needs. A gang is weighed as a whole.
func (p *pass) dropCostly(d *Demand, list []slot, n int) []slot {
	if !d.Gang && len(list) > n && list[n].host.heldIdleTime(d.CPU, p.in.Now, list[n].at) > d.worth(p.opts.MaxAhead) {
		return list[:n]
	}
	return list
}

// earliest returns the first slots by time, at most count, on at most the given
// number of hosts.
func earliest(list []slot, count, hosts int) []slot {
	slices.SortFunc(list, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host.ID, b.host.ID))
	})
	used := map[*Host]bool{}
	var chosen []slot
	for _, s := range list {
		if len(chosen) == count {
			break
		}
		if !used[s.host] && len(used) == hosts {
			continue
		}
		used[s.host] = true
		chosen = append(chosen, s)
	}
	return chosen
}

// precedes reports whether the slots a are better than b: more of them, or the
// last is ready earlier. Ties go by the host.
func precedes(a, b []slot) bool {
	x, y := a[len(a)-1], b[len(b)-1]
	return cmp.Or(cmp.Compare(len(b), len(a)), cmp.Compare(x.rank, y.rank), cmp.Compare(x.host.ID, y.host.ID)) < 0
}
