package pacer

// Sample is what one serving run reported: its tail latency and the target,
// in milliseconds.
type Sample struct {
	Tail   int64
	Target int64
}

// Bounds of the controller, as shares of the target in per cent. Tails follow
// a change of the pace after about half a second, so the pace falls well
// before the target is reached.
const (
	high     = 80
	tooHigh  = 100
	low      = 60
	full     = 100 // per cent of its processors that a run may use
	raise    = 8   // per cent added at a time
	fallMild = 75  // per cent of the pace that is kept above high
	fallHard = 35  // per cent of the pace that is kept above tooHigh
	least    = 5   // per cent below which filling work stands still
)

// Pacer holds the pace of one host's filling runs.
type Pacer struct{ pace int }

// New returns a pacer that lets filling runs work in full.
func New() *Pacer { return &Pacer{pace: full} }

// Pace returns the share in per cent.
func (p *Pacer) Pace() int { return p.pace }

// Observe takes the samples of one moment and returns the new pace.
func (p *Pacer) Observe(samples []Sample) int {
	worst := int64(0)
	for _, s := range samples {
		if s.Target > 0 {
			worst = max(worst, s.Tail*100/s.Target)
		}
	}
	switch {
	case worst >= tooHigh:
		p.pace = p.pace * fallHard / 100
	case worst >= high:
		p.pace = p.pace * fallMild / 100
	case worst < low:
		p.pace = min(p.pace+raise, full)
	}
	if p.pace < least && worst >= high {
		p.pace = 0
	}
	return p.pace
}
