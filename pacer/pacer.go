package pacer

import "cowslipbend.dev"

// control is how the pace of one level follows the tail of a serving image.
type control struct {
	// high and low are shares of the target in per cent: above high the pace
	// falls, below low it rises.
	high, low int64
	// keep is the part of the pace that a fall leaves, in per cent.
	keep int
	// raise is added by a rise, up to most; both in per cent.
	raise, most int
}

// controls by level. A pair that is not known is tested in full, and stopped
// as soon as the target is reached; a harmful one gets what the tail leaves.
var controls = map[cowslipbend.PairLevel]control{
	cowslipbend.PairHarmless: {high: 105, low: 90, keep: 60, raise: 20, most: full},
	cowslipbend.PairUnknown:  {high: 95, low: 75, keep: 10, raise: 30, most: full},
	cowslipbend.PairHarmful:  {high: 70, low: 55, keep: 0, raise: 4, most: 20},
}

// full is the pace of a run that is not slowed, in per cent.
const full = 100

// Sample is what one serving run reported.
type Sample struct {
	Image string
	// Tail and Target are in milliseconds.
	Tail   int64
	Target int64
}

// Levels tells what is known of a pair of a serving and a filling image.
type Levels func(serving, filling string) cowslipbend.PairLevel

// Pacer holds the paces of one host's filling runs.
type Pacer struct {
	paces map[string]map[cowslipbend.PairLevel]int
}

// New returns a pacer that lets filling runs work in full, but for harmful
// ones.
func New() *Pacer { return &Pacer{paces: map[string]map[cowslipbend.PairLevel]int{}} }

// Observe takes the samples of one moment.
func (p *Pacer) Observe(samples []Sample) {
	worst := map[string]int64{}
	for _, s := range samples {
		if s.Target > 0 {
			worst[s.Image] = max(worst[s.Image], s.Tail*full/s.Target)
		}
	}
	for image := range p.paces {
		if _, ok := worst[image]; !ok {
			delete(p.paces, image)
		}
	}
	for image, ratio := range worst {
		if p.paces[image] == nil {
			p.paces[image] = map[cowslipbend.PairLevel]int{cowslipbend.PairHarmless: full, cowslipbend.PairUnknown: full}
		}
		for level, c := range controls {
			switch pace := p.paces[image][level]; {
			case ratio >= c.high:
				p.paces[image][level] = pace * c.keep / full
			case ratio < c.low:
				p.paces[image][level] = min(pace+c.raise, c.most)
			}
		}
	}
}

// Pace returns the share in per cent at which runs of a filling image may
// work: the least that any serving image of the host allows.
func (p *Pacer) Pace(filling string, levels Levels) int {
	pace := full
	for image, paces := range p.paces {
		pace = min(pace, paces[levels(image, filling)])
	}
	return pace
}
