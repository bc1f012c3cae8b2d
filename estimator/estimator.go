package estimator

import (
	"math"
	"sort"

	"cowslipbend.dev"
)

// Terms of the estimate. Loads are shares of a serving task's time.
const (
	// priorPress is the press of an unknown image that uses all of a host, and
	// priorVar its variance: most press weakly, some more than ten times that.
	priorPress = 0.8
	priorVar   = 2.0
	// ownLoad is the mean of a serving task's own load, and ownVar the variance
	// among tasks and moments: it swings by half.
	ownLoad = 0.42
	ownVar  = 0.03
	// driftVar is what the swing adds to the variance of a known own load from
	// one moment to the next, half a second later.
	driftVar = 0.006
	// noiseVar is the variance of a load that is told by a tail in whole
	// milliseconds.
	noiseVar = 0.006
	// forget is added to a variance by each sample, so that presses may
	// change.
	forget = 0.0005
	// leastShare is the part of a host below which an image tells nothing: the
	// swings of the serving task's own load would be blamed on it.
	leastShare = 0.02
	// maxPress bounds an estimate; a twelfth of a host then takes all of a
	// serving task's time.
	maxPress = 12
	// maxLoad is where a tail no longer tells the load.
	maxLoad = 0.96
	// baseShare is the part of the least tail seen that is the base: a tail is
	// hardly ever seen without any load.
	baseShare = 0.85
	// targetShare is the base's part of the target until a tail is seen.
	targetShare = 0.25
	// maxPairs bounds what is kept.
	maxPairs = 4096
)

// Serving is a serving task at one moment; times are in milliseconds.
type Serving struct {
	Image string
	// Group names the tasks whose own loads swing alike.
	Group  string
	Tail   float64
	Target float64
}

// Filling is what the tasks of one image use of a host, as a share.
type Filling struct {
	Image string
	Share float64
}

// Fillings lists the shares by image, in the order of images.
func Fillings(used map[string]float64) []Filling {
	list := make([]Filling, 0, len(used))
	for image, share := range used {
		list = append(list, Filling{Image: image, Share: share})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Image < list[j].Image })
	return list
}

// Scene is one host at one moment.
type Scene struct {
	Host    string
	Serving []Serving
	Filling []Filling
}

type key struct{ serving, filling string }

// term is an estimate: of a load by all of a host's processors, or of a
// group's own load.
type term struct{ load, variance float64 }

// group names the tasks of an image whose own loads swing alike.
type group struct{ image, name string }

// Estimator keeps the estimates. It is not safe for concurrent use.
type Estimator struct {
	pairs map[key]term
	// bases holds the least tail seen of each serving image.
	bases map[string]float64
	// owns holds the own loads of the groups at the last moment of each host.
	owns    map[string]map[group]term
	version int64
}

// New returns an estimator without evidence.
func New() *Estimator {
	return &Estimator{pairs: map[key]term{}, bases: map[string]float64{}, owns: map[string]map[group]term{}}
}

// Version changes whenever an estimate does.
func (b *Estimator) Version() int64 { return b.version }

// Press returns by how much the filling image would load the serving one if it
// used all of their host.
func (b *Estimator) Press(serving, filling string) float64 { return b.term(key{serving, filling}).load }

// Caution returns a press that is seldom exceeded: the estimate and so many of
// its standard deviations.
func (b *Estimator) Caution(serving, filling string, deviations float64) float64 {
	t := b.term(key{serving, filling})
	return t.load + deviations*math.Sqrt(t.variance)
}

func (b *Estimator) term(k key) term {
	if t, ok := b.pairs[k]; ok {
		return t
	}
	return term{load: priorPress, variance: priorVar}
}

// Load returns the share of its time that a tail of the serving image shows to
// be taken.
func (b *Estimator) Load(s Serving) float64 {
	base := b.base(s.Image, s.Target) * baseShare
	if s.Tail <= base {
		return 0
	}
	return min(1-base/s.Tail, maxLoad)
}

// base returns the least tail of the image that was seen; before, it is taken
// from the target.
func (b *Estimator) base(image string, target float64) float64 {
	if base, ok := b.bases[image]; ok {
		return base
	}
	return target * targetShare
}

// Goal returns the load at which the serving image's tail is the share of its
// target.
func (b *Estimator) Goal(image string, target, share float64) float64 {
	return b.Load(Serving{Image: image, Tail: target * share, Target: target})
}

// Observe takes one host's moment. Moments of a host are half a second apart.
func (b *Estimator) Observe(s Scene) {
	for _, t := range s.Serving {
		if t.Tail > 0 && t.Target > 0 {
			b.bases[t.Image] = min(b.base(t.Image, t.Target), t.Tail)
		}
	}
	old, own := b.owns[s.Host], map[group]term{}
	for g, load := range b.meanLoads(s) {
		t, known := old[g]
		if !known {
			t = term{ownLoad, ownVar}
		}
		own[g] = b.learn(g.image, load, t, s.Filling)
	}
	b.owns[s.Host] = own
}

// Own returns the largest own load of the image's groups on a host.
func (b *Estimator) Own(host, image string) float64 {
	own, known := 0.0, false
	for g, t := range b.owns[host] {
		if g.image == image {
			own, known = max(own, t.load), true
		}
	}
	if !known {
		return ownLoad
	}
	return own
}

// Forget drops what is known of a host's moments.
func (b *Estimator) Forget(host string) { delete(b.owns, host) }

// meanLoads returns the mean load of the tasks of each group: what presses on
// them is the same for all.
func (b *Estimator) meanLoads(s Scene) map[group]float64 {
	sums, counts := map[group]float64{}, map[group]float64{}
	for _, t := range s.Serving {
		if t.Tail > 0 && t.Target > 0 {
			g := group{t.Image, t.Group}
			sums[g] += b.Load(t)
			counts[g]++
		}
	}
	for g := range sums {
		sums[g] /= counts[g]
	}
	return sums
}

// learn splits what a load differs from the expected one among the presses of
// what fills and the group's own load, which it returns.
func (b *Estimator) learn(serving string, load float64, own term, filling []Filling) term {
	own.load += (ownLoad - own.load) * driftVar / (2 * ownVar) // A swing returns to its mean.
	own.variance = min(own.variance+driftVar, ownVar)
	expected, variance := own.load, own.variance+noiseVar
	for _, f := range filling {
		t := b.term(key{serving, f.Image})
		expected += t.load * f.Share
		variance += t.variance * f.Share * f.Share
	}
	if load >= maxLoad && expected >= maxLoad {
		return own // The tail tells no more than what is expected.
	}
	surprise := load - expected
	for _, f := range filling {
		k := key{serving, f.Image}
		t, known := b.pairs[k]
		if !known && len(b.pairs) >= maxPairs || f.Share < leastShare {
			continue
		}
		if !known {
			t = b.term(k)
		}
		gain := t.variance * f.Share / variance
		t.load = min(max(t.load+gain*surprise, 0), maxPress)
		t.variance = t.variance*(1-gain*f.Share) + forget
		b.pairs[k] = t
	}
	if len(filling) > 0 {
		b.version++
	}
	gain := own.variance / variance
	own.load = min(max(own.load+gain*surprise, 0), maxLoad)
	own.variance *= 1 - gain
	return own
}

// Pairs lists the estimates about serving images that the function wants.
func (b *Estimator) Pairs(wanted func(serving string) bool) []cowslipbend.ImagePair {
	var list []cowslipbend.ImagePair
	for k, t := range b.pairs {
		if wanted(k.serving) {
			list = append(list, cowslipbend.ImagePair{Serving: k.serving, Filling: k.filling, Interference: t.load, Variance: t.variance})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Serving != list[j].Serving {
			return list[i].Serving < list[j].Serving
		}
		return list[i].Filling < list[j].Filling
	})
	return list
}

// Adopt replaces estimates by those of another estimator that has seen more.
func (b *Estimator) Adopt(pairs []cowslipbend.ImagePair) {
	for _, p := range pairs {
		b.pairs[key{p.Serving, p.Filling}] = term{load: p.Interference, variance: p.Variance}
	}
}
