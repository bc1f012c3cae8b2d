package pacer

import (
	"cmp"
	"maps"
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
)

// Terms of the controller.
const (
	// aim is the tail that is aimed at, as a share of the target. The rest is
	// for swings within the half second that a tail and a change of pace take.
	aim = 0.97
	// smooth is the weight of a new sample in the estimate of a serving task's
	// own load.
	smooth = 0.6
	// patience is how many moments in a row a tail may be over its target until
	// what presses on it stands still, and lastPatience until all that fills
	// does, whatever the model says. Moments are half a second apart, and a
	// task must not be over for four seconds.
	patience     = 4
	lastPatience = 6
	// pressing is the press from which an image counts as the cause.
	pressing = 0.15
	// full is the pace of a run that is not slowed, in per cent.
	full = 100
	// step is the least change of a pace that is worth a call, in per cent.
	step = 8
)

// Run is a filling run.
type Run struct {
	Ref   cowslipbend.RunRef
	Image string
	// Share is the part of the host's processors that it wants, Used the part
	// that it uses.
	Share float64
	Used  float64
	// Pace is in force.
	Pace int
}

// Pacer holds what is known of one host's serving images.
type Pacer struct {
	model *estimator.Estimator
	// over counts the moments in a row at which an image's tail was over its
	// target.
	over map[string]int
	// own is the load of each serving image without what fills beside it.
	own map[string]float64
}

// New returns a pacer that uses the model.
func New(model *estimator.Estimator) *Pacer {
	return &Pacer{model: model, own: map[string]float64{}, over: map[string]int{}}
}

// Decide takes one moment and returns the runs whose pace changes. Runs that
// press least on what serves beside them go first, so that little is held
// back for a given relief.
func (p *Pacer) Decide(serving []estimator.Serving, runs []Run) map[cowslipbend.RunRef]int {
	p.model.Observe(estimator.Sample{Serving: serving, Filling: fillings(runs)})
	p.count(serving)
	return p.changes(p.left(serving, runs), runs)
}

// Admit returns the pace of a run that begins beside the others, by what was
// last seen: until the next moment it would press in full.
func (p *Pacer) Admit(ref cowslipbend.RunRef, runs []Run) (pace int, changes bool) {
	pace, changes = p.changes(maps.Clone(p.own), runs)[ref]
	return pace, changes
}

// changes returns the paces that change if the runs share what is left.
func (p *Pacer) changes(left map[string]float64, runs []Run) map[cowslipbend.RunRef]int {
	order := slices.Clone(runs)
	slices.SortStableFunc(order, func(a, b Run) int { return cmp.Compare(p.pressure(a.Image, left), p.pressure(b.Image, left)) })
	changes := map[cowslipbend.RunRef]int{}
	for _, r := range order {
		pace := p.allow(r, left)
		if pace != r.Pace && (pace == 0 || pace == full || abs(pace-r.Pace) >= step) {
			changes[r.Ref] = pace
		}
	}
	return changes
}

// count counts for how long tails have been over their targets.
func (p *Pacer) count(serving []estimator.Serving) {
	over := map[string]bool{}
	for _, s := range serving {
		if s.Target > 0 {
			over[s.Image] = over[s.Image] || s.Tail > s.Target
		}
	}
	for image := range p.over {
		if !over[image] {
			delete(p.over, image)
		}
	}
	for image, is := range over {
		if is {
			p.over[image]++
		}
	}
}

func fillings(runs []Run) []estimator.Filling {
	used := map[string]float64{}
	for _, r := range runs {
		used[r.Image] += r.Used
	}
	return estimator.Fillings(used)
}

// left returns how much load each serving image can still take from what
// fills beside it, by its worst task.
func (p *Pacer) left(serving []estimator.Serving, runs []Run) map[string]float64 {
	left := map[string]float64{}
	for _, s := range serving {
		if s.Target <= 0 {
			continue
		}
		load := p.model.Load(s)
		for _, r := range runs {
			load -= p.model.Interference(s.Image, r.Image) * r.Used
		}
		load = max(load, 0)
		room := p.model.TargetLoad(s.Image, s.Target, aim) - load
		if old, ok := left[s.Image]; !ok || room < old {
			left[s.Image] = room
		}
	}
	for image := range p.own {
		if _, ok := left[image]; !ok {
			delete(p.own, image)
		}
	}
	for image, room := range left {
		if old, ok := p.own[image]; ok && room > old {
			room = old + smooth*(room-old)
		}
		p.own[image], left[image] = room, room
	}
	return left
}

// pressure is what an image does to the serving images of the host together.
func (p *Pacer) pressure(filling string, left map[string]float64) float64 {
	sum := 0.0
	for image := range left {
		sum += p.model.Interference(image, filling)
	}
	return sum
}

// allow returns the pace at which the run fits into what is left, and takes
// that.
func (p *Pacer) allow(r Run, left map[string]float64) int {
	part := 1.0
	for image, room := range left {
		if over := p.over[image]; over >= lastPatience || over >= patience && p.model.Interference(image, r.Image) > pressing {
			return 0
		}
		if press := p.model.Interference(image, r.Image) * r.Share; press > 0 {
			part = min(part, max(room, 0)/press)
		}
	}
	pace := int(part * full)
	for image := range left {
		left[image] -= p.model.Interference(image, r.Image) * r.Share * float64(pace) / full
	}
	return pace
}

func abs(n int) int { return max(n, -n) }
