package blamer

import (
	"sort"

	"cowslipbend.dev"
)

// Terms of the estimate. Loads are shares of a serving task's time.
const (
	// priorPress is the press of an unknown image that uses all of a host, and
	// priorVar its variance: most press weakly, some more than ten times that.
	priorPress = 0.8
	priorVar   = 2.0
	// ownLoad is the mean of a serving task's own load.
	ownLoad = 0.42
	// noiseVar is the variance of that load, which swings by half, and of a
	// tail that is told in whole milliseconds.
	noiseVar = 0.03
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
	Image  string
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
	Serving []Serving
	Filling []Filling
}

type key struct{ serving, filling string }

type term struct{ press, variance float64 }

// Blamer keeps the estimates. It is not safe for concurrent use.
type Blamer struct {
	pairs map[key]term
	// bases holds the least tail seen of each serving image.
	bases   map[string]float64
	version int64
}

// New returns a blamer without evidence.
func New() *Blamer { return &Blamer{pairs: map[key]term{}, bases: map[string]float64{}} }

// Version changes whenever an estimate does.
func (b *Blamer) Version() int64 { return b.version }

// Press returns by how much the filling image would load the serving one if it
// used all of their host.
func (b *Blamer) Press(serving, filling string) float64 { return b.term(key{serving, filling}).press }

func (b *Blamer) term(k key) term {
	if t, ok := b.pairs[k]; ok {
		return t
	}
	return term{press: priorPress, variance: priorVar}
}

// Load returns the share of its time that a tail of the serving image shows to
// be taken.
func (b *Blamer) Load(s Serving) float64 {
	base := b.base(s.Image, s.Target) * baseShare
	if s.Tail <= base {
		return 0
	}
	return min(1-base/s.Tail, maxLoad)
}

// base returns the least tail of the image that was seen; before, it is taken
// from the target.
func (b *Blamer) base(image string, target float64) float64 {
	if base, ok := b.bases[image]; ok {
		return base
	}
	return target * targetShare
}

// Goal returns the load at which the serving image's tail is the share of its
// target.
func (b *Blamer) Goal(image string, target, share float64) float64 {
	return b.Load(Serving{Image: image, Tail: target * share, Target: target})
}

// Observe takes one host's moment.
func (b *Blamer) Observe(s Scene) {
	for _, t := range s.Serving {
		if t.Tail <= 0 || t.Target <= 0 {
			continue
		}
		b.bases[t.Image] = min(b.base(t.Image, t.Target), t.Tail)
	}
	for image, load := range b.meanLoads(s) {
		b.learn(image, load, s.Filling)
	}
}

// meanLoads returns the mean load of the tasks of each serving image: what
// presses on them is the same for all, and their own loads partly cancel out.
func (b *Blamer) meanLoads(s Scene) map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, t := range s.Serving {
		if t.Tail > 0 && t.Target > 0 {
			sums[t.Image] += b.Load(t)
			counts[t.Image]++
		}
	}
	for image := range sums {
		sums[image] /= counts[image]
	}
	return sums
}

func (b *Blamer) learn(serving string, load float64, filling []Filling) {
	expected, variance := ownLoad, noiseVar
	for _, f := range filling {
		t := b.term(key{serving, f.Image})
		expected += t.press * f.Share
		variance += t.variance * f.Share * f.Share
	}
	if load >= maxLoad && expected >= maxLoad {
		return // The tail tells no more than what is expected.
	}
	for _, f := range filling {
		k := key{serving, f.Image}
		t, known := b.pairs[k]
		if !known {
			if len(b.pairs) >= maxPairs {
				continue
			}
			t = b.term(k)
		}
		if f.Share < leastShare {
			continue
		}
		gain := t.variance * f.Share / variance
		t.press = min(max(t.press+gain*(load-expected), 0), maxPress)
		t.variance = t.variance*(1-gain*f.Share) + forget
		b.pairs[k] = t
	}
	if len(filling) > 0 {
		b.version++
	}
}

// Pairs lists the estimates about serving images that the function wants.
func (b *Blamer) Pairs(wanted func(serving string) bool) []cowslipbend.Pair {
	var list []cowslipbend.Pair
	for k, t := range b.pairs {
		if wanted(k.serving) {
			list = append(list, cowslipbend.Pair{Serving: k.serving, Filling: k.filling, Press: t.press, Variance: t.variance})
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

// Adopt replaces estimates by those of another blamer that has seen more.
func (b *Blamer) Adopt(pairs []cowslipbend.Pair) {
	for _, p := range pairs {
		b.pairs[key{p.Serving, p.Filling}] = term{press: p.Press, variance: p.Variance}
	}
}
