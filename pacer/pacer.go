package pacer

import (
	"cmp"
	"maps"
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
)

// Parameters of the controller.
const (
	// tailSetpoint is the tail latency that the controller aims at, as a share
	// of the target. The rest allows for variations of the load during the half
	// second that it takes to measure a tail and to change a pace.
	tailSetpoint = 0.97
	// headroomSmoothing is the weight of a new sample in the headroom of a
	// serving image when the headroom grows.
	headroomSmoothing = 0.6
	// After pauseAfterSamples successive samples with a tail over its target,
	// the images that interfere with it are paused, and after
	// pauseAllAfterSamples all filling runs are, whatever the model says.
	// Samples are half a second apart, and a task must not be over its target
	// for four seconds.
	pauseAfterSamples    = 4
	pauseAllAfterSamples = 6
	// minPausedInterference is the interference coefficient above which an
	// image counts as interfering and is paused.
	minPausedInterference = 0.15
	// fullPace is the pace of a run that is not slowed, in per cent.
	fullPace = 100
	// minPaceChange is the smallest change of a pace, in per cent, for which
	// the runner is called. Changes to 0 and to fullPace are always made.
	minPaceChange = 8
)

// Run is a filling run.
type Run struct {
	Ref   cowslipbend.RunRef
	Image string
	// RequestedShare is the share of the host's processors that the run
	// requests, UsedShare the share that it uses.
	RequestedShare float64
	UsedShare      float64
	// Pace is the pace in force, in per cent.
	Pace int
}

// Pacer controls the paces of the filling runs of one host. It is not safe for
// concurrent use.
type Pacer struct {
	model *estimator.Estimator
	// samplesOverTarget counts, for each serving image, the successive samples
	// with a tail over its target.
	samplesOverTarget map[string]int
	// headroom is the load that each serving image can take from filling runs
	// until its tail reaches the setpoint.
	headroom map[string]float64
}

// New returns a pacer that uses the model and updates it.
func New(model *estimator.Estimator) *Pacer {
	return &Pacer{model: model, headroom: map[string]float64{}, samplesOverTarget: map[string]int{}}
}

// Decide updates the model from a sample and returns the new paces of the runs
// whose pace changes. Runs with the least interference get headroom first, so
// that as little filling work as possible is slowed for a given reduction of
// load.
func (p *Pacer) Decide(now cowslipbend.Time, serving []estimator.Serving, runs []Run) map[cowslipbend.RunRef]int {
	p.model.Observe(estimator.Sample{At: now, Serving: serving, Filling: fillings(runs)})
	p.countOverTarget(serving)
	return p.paceChanges(p.updateHeadroom(serving, runs), runs)
}

// Admit returns the new pace of a run that has just started, from the headroom
// of the last sample, or false if the run keeps its pace. Without it the run
// could interfere at full pace until the next sample.
func (p *Pacer) Admit(ref cowslipbend.RunRef, runs []Run) (pace int, changed bool) {
	pace, changed = p.paceChanges(maps.Clone(p.headroom), runs)[ref]
	return pace, changed
}

// paceChanges distributes the headroom among the runs and returns the paces
// that change. It uses up the headroom passed to it.
func (p *Pacer) paceChanges(headroom map[string]float64, runs []Run) map[cowslipbend.RunRef]int {
	ordered := slices.Clone(runs)
	slices.SortStableFunc(ordered, func(a, b Run) int {
		return cmp.Compare(p.totalInterference(a.Image, headroom), p.totalInterference(b.Image, headroom))
	})
	changes := map[cowslipbend.RunRef]int{}
	for _, r := range ordered {
		pace := p.allocate(r, headroom)
		if pace != r.Pace && (pace == 0 || pace == fullPace || abs(pace-r.Pace) >= minPaceChange) {
			changes[r.Ref] = pace
		}
	}
	return changes
}

// countOverTarget updates samplesOverTarget.
func (p *Pacer) countOverTarget(serving []estimator.Serving) {
	overTarget := map[string]bool{}
	for _, s := range serving {
		if s.Target > 0 {
			overTarget[s.Image] = overTarget[s.Image] || s.Tail > s.Target
		}
	}
	for image := range p.samplesOverTarget {
		if !overTarget[image] {
			delete(p.samplesOverTarget, image)
		}
	}
	for image, over := range overTarget {
		if over {
			p.samplesOverTarget[image]++
		}
	}
}

func fillings(runs []Run) []estimator.Filling {
	shares := map[string]float64{}
	for _, r := range runs {
		shares[r.Image] += r.UsedShare
	}
	return estimator.Fillings(shares)
}

// updateHeadroom updates the headroom from a sample and returns a copy of it.
// The task with the least headroom determines that of its image.
func (p *Pacer) updateHeadroom(serving []estimator.Serving, runs []Run) map[string]float64 {
	headroom := map[string]float64{}
	for _, s := range serving {
		if s.Target <= 0 {
			continue
		}
		load := p.model.Load(s)
		for _, r := range runs {
			load -= p.model.Interference(s.Image, r.Image) * r.UsedShare
		}
		load = max(load, 0)
		taskHeadroom := p.model.TargetLoad(s.Image, s.Target, tailSetpoint) - load
		if lowest, ok := headroom[s.Image]; !ok || taskHeadroom < lowest {
			headroom[s.Image] = taskHeadroom
		}
	}
	for image := range p.headroom {
		if _, ok := headroom[image]; !ok {
			delete(p.headroom, image)
		}
	}
	for image, current := range headroom {
		if previous, ok := p.headroom[image]; ok && current > previous {
			current = previous + headroomSmoothing*(current-previous)
		}
		p.headroom[image], headroom[image] = current, current
	}
	return headroom
}

// totalInterference returns the sum of the interference coefficients between a
// filling image and the serving images of the host.
func (p *Pacer) totalInterference(filling string, headroom map[string]float64) float64 {
	sum := 0.0
	for image := range headroom {
		sum += p.model.Interference(image, filling)
	}
	return sum
}

// allocate returns the highest pace at which the run fits into the headroom,
// and deducts its load from the headroom.
func (p *Pacer) allocate(r Run, headroom map[string]float64) int {
	share := 1.0
	for image, available := range headroom {
		if samples := p.samplesOverTarget[image]; samples >= pauseAllAfterSamples || samples >= pauseAfterSamples && p.model.Interference(image, r.Image) > minPausedInterference {
			return 0
		}
		if load := p.model.Interference(image, r.Image) * r.RequestedShare; load > 0 {
			share = min(share, max(available, 0)/load)
		}
	}
	pace := int(share * fullPace)
	for image := range headroom {
		headroom[image] -= p.model.Interference(image, r.Image) * r.RequestedShare * float64(pace) / fullPace
	}
	return pace
}

func abs(n int) int { return max(n, -n) }
