package planner

import (
	"slices"

	"cowslipbend.dev"
)

// minFillingRate is the share of its full speed that a filling task must be
// expected to reach. A slower one waits: it would only hold memory and slow or
// disturb other tasks.
const minFillingRate = 0.9

// Limits of waiting beside free processors, after which a flow gets one filling
// task or gang placed at any expected rate.
const (
	// maxUnplaced is how long a flow with waiting tasks may have no task
	// placed. It is half of the three seconds after which callers regard a flow
	// as forgotten, as a start takes time too.
	maxUnplaced = 1500 * cowslipbend.Millisecond
	// busyShare is the share of reserved processors from which waiting is
	// attributed to load. Callers attribute it to load from half. They do not
	// count filling tasks, which yield to all others.
	busyShare = 0.6
)

// placementLimits bounds the placement of a flow.
type placementLimits struct {
	// minRate is the lowest expected rate at which filling tasks are placed.
	minRate float64
	// onlyOne is set if at most one task, or one gang, may be placed.
	onlyOne bool
}

// isOverdue reports whether the flow has had no task placed for too long while
// processors are free.
func (f *flow) isOverdue(hosts []*host, now cowslipbend.Time) bool {
	return f.unplacedSince > 0 && now.Sub(f.unplacedSince) >= maxUnplaced && reservedShare(hosts) < busyShare
}

// reservedShare returns the share of the processors of the hosts that is
// reserved.
func reservedShare(hosts []*host) float64 {
	var reservedCPU, totalCPU cowslipbend.Millicores
	for _, h := range hosts {
		reservedCPU += min(h.reserved.CPU, h.spec.Size.CPU)
		totalCPU += h.spec.Size.CPU
	}
	return float64(reservedCPU) / float64(max(totalCPU, 1))
}

// placeReady places the waiting tasks of the ready steps of a flow, and reports
// whether it has placed any. A flow that is overdue gets one task even if it will
// be slow.
func (p *Planner) placeReady(f *flow, hosts []*host, now cowslipbend.Time) bool {
	if p.placeFlow(f, hosts, placementLimits{minRate: minFillingRate}, now) {
		return true
	}
	return f.isOverdue(hosts, now) && p.placeFlow(f, hosts, placementLimits{onlyOne: true}, now)
}

// placeFlow places waiting tasks of the ready steps of a flow within the limits,
// and reports whether it has placed any.
func (p *Planner) placeFlow(f *flow, hosts []*host, limits placementLimits, now cowslipbend.Time) bool {
	placed := false
	for _, r := range f.rounds {
		for i := range r.steps {
			s := &r.steps[i]
			waiting := s.waitingCount
			switch {
			case !s.ready || waiting == 0:
			case s.def.Gang:
				p.placeGang(f, r, s, hosts, limits.minRate, now)
			default:
				p.placeStep(f, r, s, hosts, limits, now)
			}
			placed = placed || s.waitingCount < waiting
			if placed && limits.onlyOne {
				return true
			}
		}
	}
	return placed
}

func (p *Planner) placeStep(f *flow, r *round, s *step, hosts []*host, limits placementLimits, now cowslipbend.Time) {
	rack, key := s.rack(p), stepKey{f.def.ID, r.number, s.index}
	hosts, tickets := p.advisedHosts(f, key, p.withBanned(f, s.def, key, hosts, now), now)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase != phaseWaiting {
			continue
		}
		h := p.chooseTaskHost(f, t, t.hostsFor(hosts, now), s.def, key, rack, limits.minRate)
		if h == nil && (t.crashes.Suspect || t.isBound(now)) {
			continue // Other tasks of the step may have more hosts.
		}
		if h == nil {
			return
		}
		if s.def.Compact && rack == "" {
			rack = h.spec.Rack
		}
		p.startTask(f, r, s, i, h, t.run+1, tickets[h.life], now)
		if limits.onlyOne {
			return
		}
	}
}

// chooseTaskHost returns the host for a task that is placed by itself, or nil.
func (p *Planner) chooseTaskHost(f *flow, t *task, hosts []*host, def *cowslipbend.Step, key stepKey, rack cowslipbend.Rack, minRate float64) *host {
	if t.crashes.Suspect {
		return p.chooseTrialHost(f, hosts, def, key, rack, minRate)
	}
	if t.failedOn != "" {
		others := slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return h.life == t.failedOn })
		if h := p.chooseHost(others, def, key, rack, minRate); h != nil {
			return h
		}
	}
	return p.chooseHost(hosts, def, key, rack, minRate)
}

// unknownRack is the rack of a step whose hosts have not reported to this owner yet.
// No host has it, so that the other tasks wait.
const unknownRack cowslipbend.Rack = "\x00"

// rack returns the rack that compact tasks of the step must share, or "" if any
// will do.
func (s *step) rack(p *Planner) cowslipbend.Rack { return s.rackWithout(p, -1) }

// rackWithout returns the rack that a compact task of the step must share with the
// others.
func (s *step) rackWithout(p *Planner, index int) cowslipbend.Rack {
	if !s.def.Compact {
		return ""
	}
	rack := cowslipbend.Rack("")
	for i := range s.tasks {
		if i == index {
			continue
		}
		_, life := s.tasks[i].currentRun()
		switch h := p.hosts[life]; {
		case h == nil:
		case h.reported:
			return h.spec.Rack
		default:
			rack = unknownRack
		}
	}
	return rack
}

// placeGang places all tasks of a gang at once, or none.
func (p *Planner) placeGang(f *flow, r *round, s *step, hosts []*host, minRate float64, now cowslipbend.Time) {
	if s.waitingCount != len(s.tasks) {
		return
	}
	var run cowslipbend.Attempt
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
	}
	key := stepKey{f.def.ID, r.number, s.index}
	hosts, tickets := p.advisedHosts(f, key, p.withBanned(f, s.def, key, hosts, now), now)
	chosen, rack := p.chooseGang(f, r, s, hosts, run+1, minRate)
	for len(chosen) < len(s.tasks) {
		if rack == "" {
			return
		}
		// The rack of the best host lacks room for all; another one may have it.
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return h.spec.Rack == rack })
		chosen, rack = p.chooseGang(f, r, s, hosts, run+1, minRate)
	}
	checkpoint := s.newestCheckpoint()
	for i, h := range chosen {
		s.tasks[i].checkpoint = checkpoint
		p.startTask(f, r, s, i, h, run+1, tickets[h.life], now)
	}
}

// chooseGang returns the hosts for the tasks of a gang, fewer if there is no room for
// all, and the rack that it has tried if the gang is compact.
func (p *Planner) chooseGang(f *flow, r *round, s *step, hosts []*host, run cowslipbend.Attempt, minRate float64) (chosen []*host, rack cowslipbend.Rack) {
	key := stepKey{f.def.ID, r.number, s.index}
	defer func() {
		for i, h := range chosen {
			h.removeRun(cowslipbend.RunRef{Task: f.def.Ref(r.number, s.index, i), Run: run})
			h.countStart(-1)
		}
	}()
	for i := range s.tasks {
		h := p.chooseHost(hosts, s.def, key, rack, minRate)
		if h == nil {
			return chosen, rack
		}
		if s.def.Compact {
			rack = h.spec.Rack
		}
		h.addRun(cowslipbend.RunRef{Task: f.def.Ref(r.number, s.index, i), Run: run}, s.def)
		h.countStart(1)
		chosen = append(chosen, h)
	}
	return chosen, rack
}

// newestCheckpoint returns the checkpoint from which a gang resumes, the last
// by name. A checkpoint of any member will do.
func (s *step) newestCheckpoint() string {
	newest := ""
	for i := range s.tasks {
		newest = max(newest, s.tasks[i].checkpoint)
	}
	return newest
}

// chooseHost returns the best host for a task of the step, or nil. A filling
// task must be expected to run at minRate or more. Without a minRate, reservations
// don't count, as the flow has waited too long.
func (p *Planner) chooseHost(hosts []*host, def *cowslipbend.Step, key stepKey, rack cowslipbend.Rack, minRate float64) *host {
	var best *host
	var bestScore int64
	for _, h := range hosts {
		if !h.fits(def, key) || (rack != "" && h.spec.Rack != rack) {
			continue
		}
		rate := 1.0
		if def.Fills {
			rate = p.expectedRate(h, def, minRate)
		}
		if rate < minRate || (minRate > 0 && h.reservation != nil && p.heldBack(h, key)) {
			continue
		}
		if score := p.score(h, def, rate); best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// fits reports whether the host may run a task of the step and has enough free
// resources.
func (h *host) fits(def *cowslipbend.Step, key stepKey) bool { return h.misfit(def, key) == "" }

// misfit returns why the host may not run a task of the step or lacks resources,
// or an empty reason.
func (h *host) misfit(def *cowslipbend.Step, key stepKey) DelayReason {
	switch {
	case def.Label != "" && !slices.Contains(h.spec.Labels, def.Label):
		return DelayLabel
	case def.MaxPerHost > 0 && h.stepRuns[key] >= def.MaxPerHost:
		return DelaySpread
	case h.grade.refuses(def):
		return DelaySlow
	case h.trial.isClosedTo(key.job):
		return DelayTrial
	case !def.Reserved().Fits(h.free()):
		return DelayRoom
	case !h.takesStart():
		return DelayCold
	}
	return ""
}

// Weights of the score of a host, in thousandths of a core.
const (
	// dataRackWeight outweighs any difference of idle processors: a task far
	// from its data takes half as long again, or more.
	dataRackWeight = 1 << 20
	// interferenceWeight is the cost of a serving task that loses all of its
	// time. Avoiding interference takes precedence over idle processors.
	interferenceWeight = 100_000
	// rateWeight is for a filling task that is expected to run at full speed.
	rateWeight = 1 << 18
	// sameImageWeight gathers serving tasks of one image, so that filling
	// images that disturb them find hosts without any.
	sameImageWeight = 1 << 14
)

// score rates how well the host suits a task of the step that would run there
// at the rate.
func (p *Planner) score(h *host, def *cowslipbend.Step, rate float64) int64 {
	score := int64(h.idleCPU()) + h.grade.score(def)
	if h.cold != nil {
		score -= coldPenalty
	}
	if def.DataRack != "" && slices.Contains(h.spec.Labels, string(def.DataRack)) {
		score += dataRackWeight
	}
	switch {
	case def.Fills:
		score += int64(rate*rateWeight) - p.interferenceCost(h, def)
	case def.TailTarget > 0 && h.servingCountOf(def.Image) > 0:
		score += sameImageWeight
	}
	return score
}

// interferenceCost returns the cost of the interference that a filling task
// would cause to the serving tasks of the host, in the unit of the score.
func (p *Planner) interferenceCost(h *host, def *cowslipbend.Step) int64 {
	sum := 0.0
	for i := range h.servingImages {
		serving := &h.servingImages[i]
		sum += float64(serving.count) * p.estimator.Interference(serving.image, def.Image) * h.cpuShare(def.Size.CPU)
	}
	return int64(sum * interferenceWeight)
}

// Parameters of the expected rate of a filling task.
const (
	// goalShare is the tail latency aimed at, as a share of its target. The
	// rest is left to the pacer.
	goalShare = 0.75
	// cautionDeviations is how many standard deviations are added to an
	// estimated interference, so that few tasks of unknown images are placed at
	// a time.
	cautionDeviations = 0.5
	// maxHeadroomAge is how long a headroom is used although estimates may have
	// changed by observations of other hosts.
	maxHeadroomAge = 200 * cowslipbend.Millisecond
)

// expectedRate returns the share of its full speed, from 0 to 1, at which a
// filling task is expected to run beside the runs of the host. Below minRate it
// may return any lower share than minRate.
func (p *Planner) expectedRate(h *host, def *cowslipbend.Step, minRate float64) float64 {
	rate := 1.0
	if def.Size.CPU > 0 {
		rate = min(rate, float64(h.idleCPU())/float64(def.Size.CPU))
	}
	for i := 0; i < len(h.servingImages) && rate >= minRate; i++ {
		serving := &h.servingImages[i]
		if interference := p.estimator.InterferenceBound(serving.image, def.Image, cautionDeviations) * h.cpuShare(def.Size.CPU); interference > 0 {
			rate = min(rate, p.headroomOf(h, serving)/interference)
		}
	}
	return max(rate, 0)
}

// headroomOf returns the load that the serving runs of an image can take from
// further filling runs on their host.
func (p *Planner) headroomOf(h *host, serving *servingImage) float64 {
	if serving.headroomAt > 0 && p.now.Sub(serving.headroomAt) <= maxHeadroomAge {
		return serving.headroom
	}
	headroom := p.estimator.TargetLoad(serving.image, float64(serving.tailTarget), goalShare) - p.estimator.BaseLoad(string(h.life), serving.image, p.now)
	for filling, cpu := range h.imageDemands {
		headroom -= p.estimator.InterferenceBound(serving.image, filling, cautionDeviations) * h.cpuShare(cpu)
	}
	serving.headroom, serving.headroomAt = headroom, p.now
	return headroom
}
