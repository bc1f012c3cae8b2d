package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/speculator"
)

// runProgress is the progress of a run between two lists of its host, by the
// times of those lists. Reports that arrive late therefore change nothing.
type runProgress struct {
	// baseAt is when the run had basePercent: its start, or the first list that
	// shows it if it resumed from a checkpoint or an earlier owner ordered it.
	// It is zero if neither is known.
	baseAt      cowslipbend.Time
	basePercent int
	// listedAt is the time of the last list and percent the progress in it. Before
	// the first list they are those of the base.
	listedAt cowslipbend.Time
	percent  int
	// worked is the time since baseAt. For a filling run it is the time in which
	// it would have used as much at its declared processors.
	worked cowslipbend.Span
	// firstAt is the time of the first list with progress; zero before it.
	// firstPercent and firstWorked are the values of percent and worked then.
	firstAt      cowslipbend.Time
	firstPercent int
	firstWorked  cowslipbend.Span
	// checkpoint is the last one listed and savedPercent the progress at the first
	// list that had it.
	checkpoint   string
	savedPercent int
}

// beginProgress sets the base of a run whose start has been confirmed. Runs that
// resume begin with unknown progress.
func (p *Planner) beginProgress(ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) {
	f := p.flows[ref.Task.Job]
	if f == nil || pl.inherited || pl.progress.baseAt > 0 {
		return
	}
	if t := f.task(ref.Task); t != nil && t.checkpoint == "" {
		pl.progress = runProgress{baseAt: now, listedAt: now}
	}
}

// update updates the progress from a list. The first list of a run without base
// counts from its first per cent on: agents list runs that have just been started
// without progress.
func (g *runProgress) update(s *cowslipbend.RunState, def *cowslipbend.Step, listedAt cowslipbend.Time) {
	switch {
	case g.baseAt > 0 && listedAt <= g.listedAt:
		// The list is not newer.
	case g.baseAt == 0 && s.Percent <= 0:
		// The run may not have begun to work.
	case g.baseAt == 0 || s.Percent < g.percent:
		// A run that resumes begins with what its checkpoint has saved.
		*g = runProgress{baseAt: listedAt, basePercent: s.Percent, listedAt: listedAt, percent: s.Percent, savedPercent: s.Percent}
	default:
		span := listedAt.Sub(g.listedAt)
		if def.Fills && def.Size.CPU > 0 {
			used := min(max(cowslipbend.Millicores(s.TailOrCPU), 0), def.Size.CPU)
			span = span * cowslipbend.Span(used) / cowslipbend.Span(def.Size.CPU)
		}
		g.worked += span
		g.listedAt, g.percent = listedAt, s.Percent
	}
	if s.Checkpoint != "" && s.Checkpoint != g.checkpoint {
		g.checkpoint, g.savedPercent = s.Checkpoint, s.Percent
	}
	if g.firstAt == 0 && g.percent > 0 {
		g.firstAt, g.firstPercent, g.firstWorked = g.listedAt, g.percent, g.worked
	}
}

// recordProgress records the progress of the runs in the lists of a report.
func (p *Planner) recordProgress(h *host, r *cowslipbend.HostReport, now cowslipbend.Time) {
	for i := range r.Running {
		s := &r.Running[i]
		if pl := h.runs[s.RunRef]; pl != nil && pl.def != nil && !pl.def.Lasting && !pl.def.Gang {
			pl.progress.update(s, pl.def, now.Add(-r.ListAge))
			p.observeSpeed(h, s.RunRef, pl)
		}
	}
}

// maxLengths is the number of lengths of ended runs that a step keeps, the newest
// ones.
const maxLengths = 31

// recordLength records the length of a run that has ended its task. It is called
// before the run is removed from its host.
func (p *Planner) recordLength(h *host, e *cowslipbend.RunEnd, listedAt cowslipbend.Time) {
	pl, f := h.runs[e.RunRef], p.flows[e.Task.Job]
	if e.Kind != cowslipbend.EndDone || pl == nil || f == nil || pl.def == nil || pl.def.Lasting || pl.def.Gang || f.task(e.Task) == nil {
		return
	}
	p.observeEnd(h, e.RunRef, pl, listedAt)
	p.recordMoved(f, f.task(e.Task), pl)
	g := pl.progress
	if g.baseAt == 0 || g.basePercent >= maxBasePercent {
		return
	}
	worked := g.worked
	if !pl.def.Fills {
		worked = listedAt.Sub(g.baseAt)
	} else if g.percent > g.basePercent {
		worked = worked * cowslipbend.Span(100-g.basePercent) / cowslipbend.Span(g.percent-g.basePercent)
	}
	if worked <= 0 {
		return
	}
	s := f.step(e.Task)
	if len(s.lengths) >= maxLengths {
		s.lengths = s.lengths[1:]
	}
	s.lengths = append(s.lengths, worked*100/cowslipbend.Span(100-g.basePercent))
}

// maxBasePercent is the progress at the first list from which a run gives no
// length, as too little of it was observed.
const maxBasePercent = 50

// observedProgress returns what is known of a run as package speculator takes it.
func (pl *placement) observedProgress(now cowslipbend.Time) speculator.Progress {
	g := &pl.progress
	q := speculator.Progress{Observed: g.worked, Advanced: g.percent - g.basePercent, Percent: g.percent, Sampled: pl.def != nil && pl.def.Fills}
	switch {
	case g.listedAt > 0:
		q.Age = now.Sub(g.listedAt)
	case pl.orderedAt > 0:
		q.Age = now.Sub(pl.orderedAt)
	}
	return q
}

// typicalRun returns what a run of the step takes, by its ended runs and those
// that are observed.
func (p *Planner) typicalRun(f *flow, r *round, s *step, now cowslipbend.Time) speculator.Typical {
	lengths := make([]cowslipbend.Span, len(s.lengths), len(s.lengths)+len(s.tasks)-s.doneCount)
	copy(lengths, s.lengths)
	for i := range s.tasks {
		if pl := p.onlyRun(f, r, s, i); pl != nil {
			if length, ok := pl.observedProgress(now).Length(); ok {
				lengths = append(lengths, length)
			}
		}
	}
	return speculator.TypicalOf(lengths, p.expectedLength(f, s))
}
