package planner

import (
	"slices"

	"cowslipbend.dev"
)

// leastRate is the rate at which a filling task must be expected to work. One
// that would work more slowly waits: it would only hold memory, and slow
// others or disturb what serves.
const leastRate = 0.9

// Terms of work that waits although there are processors: it starts however
// slowly it must go.
const (
	// patience is how long nothing of a flow may be placed then: half of the
	// three seconds after which callers count it as forgotten, as its start
	// takes time too.
	patience = 1500 * cowslipbend.Millisecond
	// busyShare is the share of the processors that are taken from which on
	// waiting is due to the load; callers draw the line at half.
	busyShare = 0.6
)

// leastFor returns the rate at which filling work of the flow must be expected
// to go, none if the flow has waited long beside processors that are free.
func leastFor(f *flow, hosts []*host, now cowslipbend.Time) float64 {
	if f.stuck > 0 && now.Sub(f.stuck) >= patience && taken(hosts) < busyShare {
		return 0
	}
	return leastRate
}

// taken returns the share of the hosts' processors that is reserved or wanted.
func taken(hosts []*host) float64 {
	var used, size cowslipbend.Millicores
	for _, h := range hosts {
		used += min(h.used.CPU+h.filled, h.spec.Size.CPU)
		size += h.spec.Size.CPU
	}
	return float64(used) / float64(max(size, 1))
}

// placeFlow places the waiting tasks of a flow's ready steps, filling ones where
// they are expected to go at the least rate.
func (p *Planner) placeFlow(f *flow, hosts []*host, least float64, now cowslipbend.Time) {
	for _, r := range f.rounds {
		for i := range r.steps {
			s := &r.steps[i]
			switch {
			case !s.ready || s.waiting == 0:
			case s.def.Gang:
				p.placeGang(f, r, s, hosts, least, now)
			default:
				p.placeStep(f, r, s, hosts, least, now)
			}
		}
	}
}

func (p *Planner) placeStep(f *flow, r *round, s *step, hosts []*host, least float64, now cowslipbend.Time) {
	rack, key := s.rack(p), stepKey{f.def.ID, r.number, s.index}
	hosts, tickets := p.advised(f, key, hosts, now)
	for i := range s.tasks {
		if s.tasks[i].phase != phaseWaiting {
			continue
		}
		h := p.choose(hosts, s.def, key, rack, least)
		if h == nil {
			return
		}
		if s.def.Compact && rack == "" {
			rack = h.spec.Rack
		}
		p.start(f, r, s, i, h, s.tasks[i].run+1, tickets[h.spec.Runner], now)
	}
}

// rack returns the rack that the step's tasks must share, if it is fixed.
func (s *step) rack(p *Planner) cowslipbend.Rack {
	if !s.def.Compact {
		return ""
	}
	for i := range s.tasks {
		if h := p.hosts[s.tasks[i].host]; h != nil {
			return h.spec.Rack
		}
	}
	return ""
}

// placeGang places all tasks of a gang at once, or none.
func (p *Planner) placeGang(f *flow, r *round, s *step, hosts []*host, least float64, now cowslipbend.Time) {
	if s.waiting != len(s.tasks) {
		return
	}
	var run cowslipbend.Attempt
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
	}
	key := stepKey{f.def.ID, r.number, s.index}
	hosts, tickets := p.advised(f, key, hosts, now)
	chosen, rack := make([]*host, 0, len(s.tasks)), cowslipbend.Rack("")
	undo := func() {
		for i, h := range chosen {
			h.drop(cowslipbend.RunRef{Task: f.def.Ref(r.number, s.index, i), Run: run + 1})
		}
	}
	for i := range s.tasks {
		h := p.choose(hosts, s.def, key, rack, least)
		if h == nil {
			undo()
			return
		}
		if s.def.Compact {
			rack = h.spec.Rack
		}
		h.add(cowslipbend.RunRef{Task: f.def.Ref(r.number, s.index, i), Run: run + 1}, s.def)
		chosen = append(chosen, h)
	}
	undo()
	saved := s.newest()
	for i, h := range chosen {
		s.tasks[i].saved = saved
		p.start(f, r, s, i, h, run+1, tickets[h.spec.Runner], now)
	}
}

// newest returns the checkpoint that a gang resumes from; any member's will
// do.
func (s *step) newest() string {
	saved := ""
	for i := range s.tasks {
		saved = max(saved, s.tasks[i].saved)
	}
	return saved
}

// choose returns the best host for a task of the step, or nil. Filling work must
// be expected to go at the least rate.
func (p *Planner) choose(hosts []*host, def *cowslipbend.Step, key stepKey, rack cowslipbend.Rack, least float64) *host {
	var best *host
	var bestScore int64
	for _, h := range hosts {
		if !h.fits(def, key) || (rack != "" && h.spec.Rack != rack) {
			continue
		}
		rate := 1.0
		if def.Fills {
			rate = p.rate(h, def)
		}
		if rate < least {
			continue
		}
		if score := p.score(h, def, rate); best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// fits reports whether the host may run a task of the step and has room.
func (h *host) fits(def *cowslipbend.Step, key stepKey) bool {
	if def.Label != "" && !slices.Contains(h.spec.Labels, def.Label) {
		return false
	}
	if def.MaxPerHost > 0 && h.steps[key] >= def.MaxPerHost {
		return false
	}
	return def.Reserved().Fits(h.free())
}

// Weights of a host's score, in thousandths of a core.
const (
	// nearWeight outweighs any difference of idle processors: a task far from
	// its data takes half as long again, or more.
	nearWeight = 1 << 20
	// pressWeight is for a serving task that loses all of its time: filling
	// work avoids what it disturbs before it looks for idle processors.
	pressWeight = 100_000
	// rateWeight is for a filling task that works in full.
	rateWeight = 1 << 18
	// alikeWeight gathers serving tasks of one image, so that what disturbs
	// them finds hosts without any.
	alikeWeight = 1 << 14
)

// score tells how well the host suits a task of the step, which would work
// there at the rate.
func (p *Planner) score(h *host, def *cowslipbend.Step, rate float64) int64 {
	score := int64(h.idle())
	if def.DataRack != "" && slices.Contains(h.spec.Labels, string(def.DataRack)) {
		score += nearWeight
	}
	switch {
	case def.Fills:
		score += int64(rate*rateWeight) - p.pressure(h, def)
	case def.TailTarget > 0 && h.images[def.Image].count > 0:
		score += alikeWeight
	}
	return score
}

// pressure weighs what a filling task would do to the serving tasks of the
// host.
func (p *Planner) pressure(h *host, def *cowslipbend.Step) int64 {
	sum := 0.0
	for image, s := range h.images {
		sum += float64(s.count) * p.blame.Interference(image, def.Image) * h.share(def.Size.CPU)
	}
	return int64(sum * pressWeight)
}

// Terms of the rate at which a filling task is expected to work.
const (
	// aimShare is the tail that is aimed at, as a share of its target; the
	// pacer has the rest.
	aimShare = 0.75
	// caution is by how many standard deviations a press is taken for higher
	// than estimated, so that what is unknown comes in small doses.
	caution = 0.5
)

// rate returns the share at which a filling task would work beside what fills
// and serves on the host already, from 0 to 1.
func (p *Planner) rate(h *host, def *cowslipbend.Step) float64 {
	rate := 1.0
	if def.Size.CPU > 0 {
		rate = min(rate, float64(h.idle())/float64(def.Size.CPU))
	}
	for image, s := range h.images {
		press := p.blame.InterferenceBound(image, def.Image, caution) * h.share(def.Size.CPU)
		if press <= 0 {
			continue
		}
		room := p.blame.TargetLoad(image, float64(s.target), aimShare) - p.blame.BaseLoad(string(h.life), image)
		for fill, cpu := range h.fills {
			room -= p.blame.InterferenceBound(image, fill, caution) * h.share(cpu)
		}
		rate = min(rate, room/press)
	}
	return max(rate, 0)
}
