package planner

import (
	"cowslipbend.dev"
)

// Terms of a host's health. They answer the load of runners that fail all that
// they start, and so draw ever more of it, and of runners on which tasks stand
// still while their heartbeats go on.
const (
	// badStreak is how many runs in a row must fail, of two flows or more, for
	// a host to get none for a while. A share of sound work fails too.
	badStreak = 3
	// banTime is that while; it doubles with each further failure up to
	// maxBan.
	banTime = 2 * cowslipbend.Second
	maxBan  = 16 * cowslipbend.Second
	// stallTime is how long a run must not get on to count as standing still:
	// three looks, in which a task of two seconds gets on by half.
	stallTime = 1500 * cowslipbend.Millisecond
	// freshTime is the age up to which lists tell whether runs get on.
	freshTime = 1200 * cowslipbend.Millisecond
	// stallBan is how long a host gets no runs after one stood still.
	stallBan = 2 * cowslipbend.Second
)

// health is what a host's runs have shown.
type health struct {
	// streak counts failures in a row, flow is that of the first of them, and
	// several is set once another flow has failed too.
	streak  int
	flow    cowslipbend.JobID
	several bool
	ban     cowslipbend.Span
	until   cowslipbend.Time
}

// banned reports whether the host gets no runs.
func (h *health) banned(now cowslipbend.Time) bool { return now < h.until }

// ended learns from the end of a run that was not ordered to end.
func (h *health) ended(ref cowslipbend.RunRef, how cowslipbend.EndKind, now cowslipbend.Time) {
	switch how {
	case cowslipbend.EndDone:
		*h = health{}
	case cowslipbend.EndFailed:
		if h.streak++; h.streak == 1 {
			h.flow = ref.Task.Job
		}
		h.several = h.several || ref.Task.Job != h.flow
		if h.streak >= badStreak && h.several {
			h.ban = min(max(2*h.ban, banTime), maxBan)
			h.until = now.Add(h.ban)
		}
	case cowslipbend.EndStopped, cowslipbend.EndLapsed, cowslipbend.EndBroken, cowslipbend.EndAlone:
	}
}

// blames learns from an end. A flow that fails on several hosts fails by its
// own fault.
func (p *Planner) blames(h *host, e *cowslipbend.RunEnd, now cowslipbend.Time) {
	f := p.flows[e.Task.Job]
	if f == nil {
		return
	}
	if e.Kind == cowslipbend.EndFailed {
		if f.failed == nil {
			f.failed = map[cowslipbend.Incarnation]bool{}
		}
		f.failed[h.life] = true
		if len(f.failed) > 1 {
			return
		}
	}
	h.health.ended(e.RunRef, e.Kind, now)
}

// advance notes how far a run has got, and reports whether it stands still.
func (pl *place) advance(percent int, now cowslipbend.Time) bool {
	if percent != pl.percent || pl.moved == 0 {
		pl.moved = now
	}
	if pl.def == nil || pl.def.Fills || pl.def.Lasting || pl.def.Gang {
		return false // Paced runs and members that wait stand still for good reasons.
	}
	return now.Sub(pl.moved) >= stallTime
}

// stalled moves a run that stands still, and gives its host no more for a
// while.
func (p *Planner) stalled(h *host, pl *place, now cowslipbend.Time) {
	h.health.until = max(h.health.until, now.Add(stallBan))
	if pl.def.SavesCheckpoints || pl.percent <= stallPercent {
		pl.moving = true
	}
}

// stallPercent is the progress up to which a run that saves nothing is begun
// again elsewhere.
const stallPercent = 70
