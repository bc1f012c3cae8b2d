package blamer

import (
	"sort"

	"cowslipbend.dev"
)

// Thresholds of the evidence.
const (
	// hot is the tail, as a share of its target, from which something is to
	// blame; swings of a task's own load stay below the target.
	hot = 1.2
	// calm is the tail below which what fills beside it is not to blame.
	calm = 0.85
	// suspectShare is the part of a host's processors from which a filling
	// image is suspected, in thousandths. Harmful pairs show at a few per cent.
	suspectShare = 4
	// provenShare is the part at which a harmful image would have shown, in
	// thousandths.
	provenShare = 70
	// guilty is the blame from which a pair is harmful: one moment with a
	// single suspect, or several with shared ones.
	guilty = 0.9
	// proven is how many calm moments make a pair harmless.
	proven = 2
	// maxPairs bounds what is kept.
	maxPairs = 4096
)

// Serving is a serving task at one moment.
type Serving struct {
	Image string
	// Ratio is its tail latency as a share of the target.
	Ratio float64
}

// Filling is what the tasks of one image use on a host.
type Filling struct {
	Image string
	Used  cowslipbend.Millicores
}

// Scene is one host at one moment.
type Scene struct {
	Size    cowslipbend.Millicores
	Serving []Serving
	Filling []Filling
}

type key struct{ serving, filling string }

type pair struct {
	blame float64
	calm  int
}

// Blamer keeps the evidence. It is not safe for concurrent use.
type Blamer struct {
	pairs   map[key]*pair
	version int64
}

// New returns a blamer without evidence.
func New() *Blamer { return &Blamer{pairs: map[key]*pair{}} }

// Version changes whenever a level does.
func (b *Blamer) Version() int64 { return b.version }

// Level returns what is known of a pair.
func (b *Blamer) Level(serving, filling string) cowslipbend.PairLevel {
	if p := b.pairs[key{serving, filling}]; p != nil {
		return p.level()
	}
	return cowslipbend.PairUnknown
}

func (p *pair) level() cowslipbend.PairLevel {
	switch {
	case p.blame >= guilty:
		return cowslipbend.PairHarmful
	case p.calm >= proven:
		return cowslipbend.PairHarmless
	}
	return cowslipbend.PairUnknown
}

// Pairs lists all pairs with a known level.
func (b *Blamer) Pairs() []cowslipbend.Pair {
	var list []cowslipbend.Pair
	for k, p := range b.pairs {
		if l := p.level(); l != cowslipbend.PairUnknown {
			list = append(list, cowslipbend.Pair{Serving: k.serving, Filling: k.filling, Level: l})
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

// Observe takes one host's moment.
func (b *Blamer) Observe(s Scene) {
	worst := map[string]float64{}
	for _, t := range s.Serving {
		worst[t.Image] = max(worst[t.Image], t.Ratio)
	}
	for image, ratio := range worst {
		switch {
		case ratio >= hot:
			b.accuse(image, s)
		case ratio <= calm:
			b.clear(image, s)
		}
	}
}

// accuse shares the blame among the suspects, unless one is known already.
func (b *Blamer) accuse(serving string, s Scene) {
	var suspects []string
	for _, f := range s.Filling {
		if f.Used*1000 < s.Size*suspectShare {
			continue
		}
		switch b.Level(serving, f.Image) {
		case cowslipbend.PairHarmful:
			return
		case cowslipbend.PairUnknown:
			suspects = append(suspects, f.Image)
		case cowslipbend.PairHarmless:
		}
	}
	for _, f := range suspects {
		b.change(key{serving, f}, func(p *pair) {
			p.blame += 1 / float64(len(suspects))
			p.calm = 0
		})
	}
}

// clear notes that what fills beside a calm task does not disturb it.
func (b *Blamer) clear(serving string, s Scene) {
	for _, f := range s.Filling {
		if f.Used*1000 >= s.Size*provenShare {
			b.change(key{serving, f.Image}, func(p *pair) {
				p.calm++
				p.blame /= 2
			})
		}
	}
}

func (b *Blamer) change(k key, f func(*pair)) {
	p := b.pairs[k]
	if p == nil {
		if len(b.pairs) >= maxPairs {
			return
		}
		p = &pair{}
		b.pairs[k] = p
	}
	before := p.level()
	f(p)
	if p.level() != before {
		b.version++
	}
}
