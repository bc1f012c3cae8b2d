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
	unloadedTail = 4.0  // milliseconds
	target       = 18.0 // milliseconds
	samples      = 240

	sampleInterval = 500 // milliseconds
)

// host simulates serving images whose load varies within seconds and filling
// runs that interfere with them.
type host struct {
	rnd          *rand.Rand
	serving      []string
	interference map[string]map[string]float64
	runs         []pacer.Run
}

// baseLoad returns the load of a serving image without filling runs.
func (h *host) baseLoad(image, sample int) float64 {
	return 0.42 + 0.2*math.Sin(float64(sample)/float64(4+image)+float64(image))
}

// load returns the load of a serving image at the paces in force.
func (h *host) load(image, sample int) float64 {
	load := h.baseLoad(image, sample)
	for _, r := range h.runs {
		load += h.interference[h.serving[image]][r.Image] * r.RequestedShare * float64(r.Pace) / 100
	}
	return load
}

// optimalShare returns the share of the processors that the filling runs could
// use with all tails at the target. It knows the coefficients and loads, and
// slows the runs with the most interference first.
func (h *host) optimalShare(sample int) float64 {
	const targetLoad = 1 - unloadedTail/target
	headroom := make([]float64, len(h.serving))
	for image := range headroom {
		headroom[image] = max(targetLoad-h.baseLoad(image, sample), 0)
	}
	ordered := slices.Clone(h.runs)
	totalInterference := func(r pacer.Run) float64 { return h.interference["web"][r.Image] + h.interference["cache"][r.Image] }
	slices.SortStableFunc(ordered, func(a, b pacer.Run) int { return cmp.Compare(totalInterference(a), totalInterference(b)) })
	used := 0.0
	for _, r := range ordered {
		share := 1.0
		for image, name := range h.serving {
			share = min(share, headroom[image]/(h.interference[name][r.Image]*r.RequestedShare))
		}
		for image, name := range h.serving {
			headroom[image] -= h.interference[name][r.Image] * r.RequestedShare * share
		}
		used += share * r.RequestedShare
	}
	return used
}

// simulate runs the controller. It returns the sum over all samples of the
// shares that the filling runs used, that of the optimal shares, and the
// largest number of successive samples with a tail over the target.
func (h *host) simulate(p *pacer.Pacer) (used, optimal float64, longestOverTarget int) {
	samplesOverTarget := make([]int, len(h.serving))
	for sample := range samples {
		var serving []estimator.Serving
		for i := range h.runs {
			h.runs[i].UsedShare = h.runs[i].RequestedShare * float64(h.runs[i].Pace) / 100
			used += h.runs[i].UsedShare
		}
		optimal += h.optimalShare(sample)
		for i, name := range h.serving {
			tail := math.Round(unloadedTail / (1 - min(h.load(i, sample), 0.98)) * (1 + 0.05*h.rnd.NormFloat64()))
			if samplesOverTarget[i]++; tail <= target {
				samplesOverTarget[i] = 0
			}
			longestOverTarget = max(longestOverTarget, samplesOverTarget[i])
			serving = append(serving, estimator.Serving{Image: name, Tail: tail, Target: target})
		}
		for ref, pace := range p.Decide(cowslipbend.Time(sample)*sampleInterval, serving, h.runs) {
			for i := range h.runs {
				if h.runs[i].Ref == ref {
					h.runs[i].Pace = pace
				}
			}
		}
	}
	return used, optimal, longestOverTarget
}

func run(index int, image string) pacer.Run {
	return pacer.Run{Ref: cowslipbend.RunRef{Task: cowslipbend.TaskRef{Job: "f", Index: index}, Run: 1}, Image: image, RequestedShare: 0.11, Pace: 100}
}

// TestLoad simulates hosts with strong and weak interference for two minutes
// each.
func TestLoad(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			h := &host{rnd: rnd, serving: []string{"web", "cache"}, interference: map[string]map[string]float64{"web": {}, "cache": {}}}
			for i := range 7 {
				image := fmt.Sprintf("image%d", i)
				h.runs = append(h.runs, run(i, image))
				for _, name := range h.serving {
					h.interference[name][image] = 0.1 + 0.3*rnd.Float64()
				}
			}
			h.interference["web"]["image0"] = 3
			used, optimal, longestOverTarget := h.simulate(pacer.New(estimator.New()))
			assert.Assert(t, longestOverTarget < 8, "over the target for %d samples of half a second", longestOverTarget)
			assert.Assert(t, used >= 0.85*optimal, "used %.1f of %.1f", used, optimal)
		})
	}
}

func TestDecide(t *testing.T) {
	t.Run("without serving tasks all runs have full pace", func(t *testing.T) {
		r := run(0, "x")
		r.Pace = 40
		assert.DeepEqual(t, pacer.New(estimator.New()).Decide(0, nil, []pacer.Run{r}), map[cowslipbend.RunRef]int{r.Ref: 100})
	})
	t.Run("runs with the least interference get headroom first", func(t *testing.T) {
		model := estimator.New()
		model.UpdatePairs([]cowslipbend.ImagePair{
			{Serving: "web", Filling: "light", Interference: 0.1, Variance: 0.01}, {Serving: "web", Filling: "heavy", Interference: 5, Variance: 0.01},
		})
		heavy, light := run(0, "heavy"), run(1, "light")
		changes := pacer.New(model).Decide(0, []estimator.Serving{{Image: "web", Tail: 12, Target: target}}, []pacer.Run{heavy, light})
		assert.Assert(t, changes[heavy.Ref] < 50, "%v", changes)
		_, changed := changes[light.Ref]
		assert.Assert(t, !changed, "%v", changes)
	})
	t.Run("filling runs are paused while a tail stays over its target", func(t *testing.T) {
		model := estimator.New()
		p := pacer.New(model)
		r := run(0, "light")
		for sample := range 7 {
			// The model is certain that the image does not interfere.
			model.UpdatePairs([]cowslipbend.ImagePair{{Serving: "web", Filling: "light", Interference: 0, Variance: 0}})
			changes := p.Decide(0, []estimator.Serving{{Image: "web", Tail: target + 1, Target: target}}, []pacer.Run{r})
			pace, changed := changes[r.Ref]
			assert.Equal(t, changed, sample >= 5, "sample %d: %v", sample, changes)
			assert.Equal(t, pace, 0)
		}
		changes := p.Decide(0, []estimator.Serving{{Image: "web", Tail: target / 2, Target: target}}, []pacer.Run{{Ref: r.Ref, Image: r.Image, RequestedShare: r.RequestedShare}})
		assert.Equal(t, changes[r.Ref], 100)
	})
}
