package pacer_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
	"cowslipbend.dev/pacer"
)

const (
	base    = 4.0  // milliseconds
	target  = 18.0 // milliseconds
	moments = 240  // of half a second
)

// host models serving images whose load swings within seconds and filling
// runs that press on them.
type host struct {
	rnd     *rand.Rand
	serving []string
	presses map[string]map[string]float64
	runs    []pacer.Run
}

// own is the load of a serving image without what fills.
func (h *host) own(image, moment int) float64 {
	return 0.42 + 0.2*math.Sin(float64(moment)/float64(4+image)+float64(image))
}

// load is what a serving image has to bear at the paces in force.
func (h *host) load(image, moment int) float64 {
	load := h.own(image, moment)
	for _, r := range h.runs {
		load += h.presses[h.serving[image]][r.Image] * r.Share * float64(r.Pace) / 100
	}
	return load
}

// oracle is what the filling runs could use beside tails at the target: it
// knows the presses and loads, and slows what presses most first.
func (h *host) oracle(moment int) float64 {
	const goal = 1 - base/target
	room := make([]float64, len(h.serving))
	for image := range room {
		room[image] = max(goal-h.own(image, moment), 0)
	}
	order := slices.Clone(h.runs)
	total := func(r pacer.Run) float64 { return h.presses["web"][r.Image] + h.presses["cache"][r.Image] }
	slices.SortStableFunc(order, func(a, b pacer.Run) int { return cmp.Compare(total(a), total(b)) })
	used := 0.0
	for _, r := range order {
		part := 1.0
		for image, name := range h.serving {
			part = min(part, room[image]/(h.presses[name][r.Image]*r.Share))
		}
		for image, name := range h.serving {
			room[image] -= h.presses[name][r.Image] * r.Share * part
		}
		used += part * r.Share
	}
	return used
}

// play runs the controller and returns what the filling runs used, what the
// oracle would have let them use, and the longest time over the target.
func (h *host) play(p *pacer.Pacer) (used, most float64, longest int) {
	over := make([]int, len(h.serving))
	for moment := range moments {
		var scene []estimator.Serving
		for i := range h.runs {
			h.runs[i].Used = h.runs[i].Share * float64(h.runs[i].Pace) / 100
			used += h.runs[i].Used
		}
		most += h.oracle(moment)
		for i, name := range h.serving {
			tail := math.Round(base / (1 - min(h.load(i, moment), 0.98)) * (1 + 0.05*h.rnd.NormFloat64()))
			if over[i]++; tail <= target {
				over[i] = 0
			}
			longest = max(longest, over[i])
			scene = append(scene, estimator.Serving{Image: name, Tail: tail, Target: target})
		}
		for ref, pace := range p.Decide(scene, h.runs) {
			for i := range h.runs {
				if h.runs[i].Ref == ref {
					h.runs[i].Pace = pace
				}
			}
		}
	}
	return used, most, longest
}

func run(index int, image string) pacer.Run {
	return pacer.Run{Ref: cowslipbend.RunRef{Task: cowslipbend.TaskRef{Job: "f", Index: index}, Run: 1}, Image: image, Share: 0.11, Pace: 100}
}

// TestLoad plays hosts with images of all kinds for two minutes each.
func TestLoad(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			h := &host{rnd: rnd, serving: []string{"web", "cache"}, presses: map[string]map[string]float64{"web": {}, "cache": {}}}
			for i := range 7 {
				image := fmt.Sprintf("image%d", i)
				h.runs = append(h.runs, run(i, image))
				for _, name := range h.serving {
					h.presses[name][image] = 0.1 + 0.3*rnd.Float64()
				}
			}
			h.presses["web"]["image0"] = 3
			used, most, longest := h.play(pacer.New(estimator.New()))
			assert.Assert(t, longest < 8, "over the target for %d moments of half a second", longest)
			assert.Assert(t, used >= 0.85*most, "used %.1f of %.1f", used, most)
		})
	}
}

func TestDecide(t *testing.T) {
	t.Run("without serving tasks all work in full", func(t *testing.T) {
		r := run(0, "x")
		r.Pace = 40
		assert.DeepEqual(t, pacer.New(estimator.New()).Decide(nil, []pacer.Run{r}), map[cowslipbend.RunRef]int{r.Ref: 100})
	})
	t.Run("what presses least goes first", func(t *testing.T) {
		model := estimator.New()
		model.UpdatePairs([]cowslipbend.ImagePair{
			{Serving: "web", Filling: "light", Interference: 0.1, Variance: 0.01}, {Serving: "web", Filling: "heavy", Interference: 5, Variance: 0.01},
		})
		heavy, light := run(0, "heavy"), run(1, "light")
		changes := pacer.New(model).Decide([]estimator.Serving{{Image: "web", Tail: 12, Target: target}}, []pacer.Run{heavy, light})
		assert.Assert(t, changes[heavy.Ref] < 50, "%v", changes)
		_, changed := changes[light.Ref]
		assert.Assert(t, !changed, "%v", changes)
	})
	t.Run("what fills beside a tail that stays over its target stands still", func(t *testing.T) {
		model := estimator.New()
		p := pacer.New(model)
		r := run(0, "light")
		for moment := range 7 {
			// The model is sure that the image does no harm.
			model.UpdatePairs([]cowslipbend.ImagePair{{Serving: "web", Filling: "light", Interference: 0, Variance: 0}})
			changes := p.Decide([]estimator.Serving{{Image: "web", Tail: target + 1, Target: target}}, []pacer.Run{r})
			pace, changed := changes[r.Ref]
			assert.Equal(t, changed, moment >= 5, "moment %d: %v", moment, changes)
			assert.Equal(t, pace, 0)
		}
		changes := p.Decide([]estimator.Serving{{Image: "web", Tail: target / 2, Target: target}}, []pacer.Run{{Ref: r.Ref, Image: r.Image, Share: r.Share}})
		assert.Equal(t, changes[r.Ref], 100)
	})
}
