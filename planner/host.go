package planner

import (
	"cowslipbend.dev"
)

// stepKey names a step of a round.
type stepKey struct {
	job   cowslipbend.JobID
	round int
	step  int
}

func keyOf(t cowslipbend.TaskRef) stepKey { return stepKey{t.Job, t.Round, t.Step} }

// place is what a run takes on its host.
type place struct {
	def *cowslipbend.Step
	// sent is when its order was let out, zero before.
	sent cowslipbend.Time
	// confirmed is set once the host has said that the run is there.
	confirmed bool
	// stopped is when it was last ordered to stop, missed since when the
	// host's lists lack it.
	stopped cowslipbend.Time
	missed  cowslipbend.Time
	// inherited runs were ordered by an earlier owner.
	inherited bool
	// percent and tail are as the host last told.
	percent int
	tail    int64
	// slow is since when a filling run has got little of its processors, and
	// moving is set once it is stopped to run elsewhere.
	slow   cowslipbend.Time
	moving bool
	// moved is when it last got on.
	moved cowslipbend.Time
	// wants is what a filling run is taken to want of its host's processors:
	// what it declares, until it has been seen at work looks times.
	wants cowslipbend.Millicores
	peak  cowslipbend.Millicores
	looks int
}

// served is what serves on a host with one image.
type served struct {
	count  int
	target cowslipbend.Span
}

// host is one life of a runner.
type host struct {
	life cowslipbend.Incarnation
	url  string
	spec cowslipbend.HostSpec
	// known is set once its agent has reported in this epoch, fenced once the
	// runner refuses earlier owners.
	known  bool
	fenced bool
	seen   cowslipbend.Time
	// granted is when its last lease has lapsed for certain.
	granted cowslipbend.Time
	// ends is the number of the last end that was taken in.
	ends int64
	// decided is the last end that a decision has counted in, acked the last
	// one that is committed.
	decided int64
	acked   int64
	runs    map[cowslipbend.RunRef]*place
	used    cowslipbend.Resources
	// filled sums the processors that filling runs would like to use.
	filled cowslipbend.Millicores
	// serving counts the runs with a latency target, and served sums the
	// processors that they reserve.
	serving int
	served  cowslipbend.Millicores
	steps   map[stepKey]int
	// full is until when it is passed over.
	full   cowslipbend.Time
	health health
	// observed is when its tails were last looked at.
	observed cowslipbend.Time
	// images holds the serving runs by image, fills the processors that
	// filling runs want by image.
	images map[string]served
	fills  map[string]cowslipbend.Millicores
}

func newHost(life cowslipbend.Incarnation) *host {
	return &host{
		life: life, runs: map[cowslipbend.RunRef]*place{}, steps: map[stepKey]int{}, images: map[string]served{},
		fills: map[string]cowslipbend.Millicores{},
	}
}

// add takes room for a run.
func (h *host) add(ref cowslipbend.RunRef, def *cowslipbend.Step) *place {
	if pl := h.runs[ref]; pl != nil {
		return pl
	}
	pl := &place{def: def}
	if def != nil && def.Fills {
		pl.wants = def.Size.CPU
	}
	h.runs[ref] = pl
	h.change(ref, def, 1)
	h.fill(def, pl.wants)
	return pl
}

// drop gives the room of a run back.
func (h *host) drop(ref cowslipbend.RunRef) {
	if pl := h.runs[ref]; pl != nil {
		delete(h.runs, ref)
		h.change(ref, pl.def, -1)
		h.fill(pl.def, -pl.wants)
	}
}

// fill counts what filling runs want.
func (h *host) fill(def *cowslipbend.Step, by cowslipbend.Millicores) {
	if by == 0 {
		return
	}
	h.filled += by
	if h.fills[def.Image] += by; h.fills[def.Image] == 0 {
		delete(h.fills, def.Image)
	}
}

// Terms of what a filling run wants. Many declare more than they ever use.
const (
	// enoughLooks is how often a run must have been seen at work: its first
	// figure covers part of its start.
	enoughLooks = 2
	// leastWanted is the least share of its declaration, in per cent; a paced
	// run uses less than it wants.
	leastWanted = 60
)

// measure takes what a filling run uses.
func (h *host) measure(pl *place, used cowslipbend.Millicores) {
	if pl.wants == 0 || used <= 0 {
		return
	}
	pl.looks++
	pl.peak = max(pl.peak, used)
	if pl.looks < enoughLooks {
		return
	}
	declared := pl.def.Size.CPU
	wants := min(max(pl.peak, declared*leastWanted/100), declared)
	h.fill(pl.def, wants-pl.wants)
	pl.wants = wants
}

func (h *host) change(ref cowslipbend.RunRef, def *cowslipbend.Step, by int64) {
	if def == nil {
		return
	}
	h.used = h.used.Plus(def.Reserved().Times(by))
	if def.TailTarget > 0 {
		h.serving += int(by)
		h.served += def.Size.CPU * cowslipbend.Millicores(by)
	}
	if def.TailTarget > 0 {
		s := h.images[def.Image]
		s.count, s.target = s.count+int(by), def.TailTarget
		if h.images[def.Image] = s; s.count == 0 {
			delete(h.images, def.Image)
		}
	}
	key := keyOf(ref.Task)
	if h.steps[key] += int(by); h.steps[key] == 0 {
		delete(h.steps, key)
	}
}

// usable reports whether new runs may be placed on the host.
func (h *host) usable(now cowslipbend.Time) bool {
	return h.known && h.fenced && !h.spec.Draining && now.Sub(h.seen) < quiet && now >= h.full && !h.health.banned(now) && h.granted > now
}

// free returns the room that is left.
func (h *host) free() cowslipbend.Resources { return h.spec.Size.Minus(h.used) }

// servedShare is the part of their reservation that serving runs are taken to
// use, in per cent: they are sized for their peaks.
const servedShare = 50

// idle returns the processors that the runs are taken to leave unused.
func (h *host) idle() cowslipbend.Millicores {
	return h.spec.Size.CPU - h.used.CPU + h.served*(100-servedShare)/100 - h.filled
}
