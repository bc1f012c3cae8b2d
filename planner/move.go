package planner

import (
	"cowslipbend.dev"
)

// Limits of moving filling runs. They handle filling images that turn out to
// disturb the serving runs on their host: such a run is slowed until it hardly
// works, while other hosts serve nothing that it disturbs.
const (
	// slowPercent is the share of its declared processors below which a filling
	// run is slow, slowTimeout how long it must have been slow to be moved. The
	// pacer follows the tail latencies within half a second.
	slowPercent = 30
	slowTimeout = 900 * cowslipbend.Millisecond
	// minCostReduction is by how much the interference cost on the other host
	// must be lower.
	minCostReduction = 3000
	// maxMovedPercent is the progress up to which a run without checkpoints may
	// be moved, which loses its progress.
	maxMovedPercent = 15
	// maxMoves limits the moves of one decision.
	maxMoves = 4
)

// updateSlow updates slowSince of a filling run.
func (pl *placement) updateSlow(now cowslipbend.Time) {
	switch {
	case pl.def == nil || !pl.def.Fills || pl.def.Size.CPU == 0:
	case pl.tailOrCPU*100 >= int64(pl.def.Size.CPU)*slowPercent:
		pl.slowSince = 0
	case pl.slowSince == 0:
		pl.slowSince = now
	}
}

// moveSlow stops slow filling runs for which another host is much better. Their
// tasks wait again, with their checkpoint, once the host lists the end.
func (p *Planner) moveSlow(hosts map[cowslipbend.ServiceID][]*host, now cowslipbend.Time) {
	moves := 0
	for _, list := range hosts {
		for _, h := range list {
			for ref, pl := range h.runs {
				if moves >= maxMoves {
					return
				}
				if pl.slowSince == 0 || pl.moving || now.Sub(pl.slowSince) < slowTimeout || (!pl.def.SavesCheckpoints && pl.percent > maxMovedPercent) {
					continue
				}
				if p.hasBetterHost(list, h, ref, pl) {
					p.startMove(pl)
					moves++
				}
			}
		}
	}
}

// startMove has the run stopped. Its task is placed again once the run has ended.
func (p *Planner) startMove(pl *placement) { pl.moving, p.stopsDue = true, true }

// hasBetterHost reports whether another host has a much lower interference cost
// for a run, and the run would end earlier there.
func (p *Planner) hasBetterHost(hosts []*host, current *host, ref cowslipbend.RunRef, pl *placement) bool {
	f := p.flows[ref.Task.Job]
	if f == nil || f.task(ref.Task) == nil || p.isBound(ref.Task, p.now) {
		return false
	}
	best := p.chooseHost(hosts, pl.def, keyOf(ref.Task), f.step(ref.Task).rackWithout(p, ref.Task.Index), minFillingRate)
	return best != nil && best != current && p.interferenceCost(best, pl.def)+minCostReduction < p.interferenceCost(current, pl.def) &&
		p.slowedMoveGains(ref, pl, best)
}

// evacuate stops runs on draining hosts if another host can take them: lasting
// ones as far as their step may miss tasks, others if they are not expected to end before the host leaves.
func (p *Planner) evacuate(hosts map[cowslipbend.ServiceID][]*host, now cowslipbend.Time) {
	moves := 0
	for _, h := range p.hosts {
		if !h.reported || !h.spec.Draining {
			continue
		}
		for ref, pl := range h.runs {
			if moves >= maxMoves {
				return
			}
			if pl.def == nil || pl.def.Gang || pl.moving || !pl.confirmed || p.endsInTime(h, ref, pl, now) || !p.mayMiss(ref, pl) || p.isBound(ref.Task, now) {
				continue
			}
			rack := cowslipbend.Rack("")
			if pl.def.Lasting { // The others end, or leave with their hosts.
				rack = p.flows[ref.Task.Job].step(ref.Task).rackWithout(p, ref.Task.Index)
			}
			if p.chooseHost(hosts[h.spec.Service], pl.def, keyOf(ref.Task), rack, minFillingRate) != nil {
				p.startMove(pl)
				moves++
			}
		}
	}
}

// endsInTime reports whether a run is expected to end before its host leaves. A run of
// a flow or a round that is no longer there is stopped anyway.
func (p *Planner) endsInTime(h *host, ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) bool {
	f := p.flows[ref.Task.Job]
	if f == nil || f.task(ref.Task) == nil {
		return true
	}
	end := p.expectedEndOn(h, ref, pl, now)
	return end > 0 && end.Sub(now) <= h.spec.DrainRemaining
}
