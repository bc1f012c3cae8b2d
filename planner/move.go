package planner

import (
	"cowslipbend.dev"
)

// Terms of moving filling runs. They answer the load of filling images that
// turn out to disturb what serves beside them: such a run is slowed until it
// hardly works, while other hosts serve nothing that it disturbs.
const (
	// slowShare is the part of its processors, in per cent, below which a
	// filling run is slow, slowTime how long it must have been so: a pace
	// follows the tails within half a second.
	slowShare = 30
	slowTime  = 900 * cowslipbend.Millisecond
	// betterWeight is how much less pressure the other host must have.
	betterWeight = 3000
	// lostPercent is the progress up to which a run that saves nothing may be
	// moved; more would be thrown away.
	lostPercent = 15
	// maxMoves bounds the moves of one decision.
	maxMoves = 4
)

// slowed notes how a filling run gets on.
func (pl *place) slowed(now cowslipbend.Time) {
	switch {
	case pl.def == nil || !pl.def.Fills || pl.def.Size.CPU == 0:
	case pl.tail*100 >= int64(pl.def.Size.CPU)*slowShare:
		pl.slow = 0
	case pl.slow == 0:
		pl.slow = now
	}
}

// move stops slow filling runs for which another host is much better. They
// wait again, with their checkpoint, once the host lists their end.
func (p *Planner) move(hosts map[cowslipbend.ServiceID][]*host, now cowslipbend.Time) {
	moves := 0
	for _, list := range hosts {
		for _, h := range list {
			for ref, pl := range h.runs {
				if moves >= maxMoves {
					return
				}
				if pl.slow == 0 || pl.moving || now.Sub(pl.slow) < slowTime || (!pl.def.SavesCheckpoints && pl.percent > lostPercent) {
					continue
				}
				if p.better(list, h, pl.def, keyOf(ref.Task)) {
					pl.moving = true
					moves++
				}
			}
		}
	}
}

// better reports whether another host suits the step much better.
func (p *Planner) better(hosts []*host, than *host, def *cowslipbend.Step, key stepKey) bool {
	best := p.choose(hosts, def, key, "", leastRate)
	return best != nil && best != than && p.pressure(best, def)+betterWeight < p.pressure(than, def)
}

// evacuate stops runs on hosts that drain, if another host has room for them:
// lasting ones at once, others if they would not end in the time that is left.
func (p *Planner) evacuate(hosts map[cowslipbend.ServiceID][]*host, now cowslipbend.Time) {
	moves := 0
	for _, h := range p.hosts {
		if !h.known || !h.spec.Draining {
			continue
		}
		for ref, pl := range h.runs {
			if moves >= maxMoves {
				return
			}
			if pl.def == nil || pl.def.Gang || pl.moving || !pl.confirmed || p.endsInTime(h, ref, pl, now) {
				continue
			}
			if p.choose(hosts[h.spec.Service], pl.def, keyOf(ref.Task), "", leastRate) != nil {
				pl.moving = true
				moves++
			}
		}
	}
}

// endsInTime reports whether a run will probably end before its host leaves.
func (p *Planner) endsInTime(h *host, ref cowslipbend.RunRef, pl *place, now cowslipbend.Time) bool {
	f := p.flows[ref.Task.Job]
	if pl.def.Lasting || f == nil {
		return false
	}
	t := f.task(ref.Task)
	if t == nil || pl.percent <= 0 {
		return pl.def.Length <= h.spec.DrainRemaining
	}
	gone := now.Sub(t.since)
	return gone*cowslipbend.Span(100-pl.percent)/cowslipbend.Span(pl.percent) <= h.spec.DrainRemaining
}
