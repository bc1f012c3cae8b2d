package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/predictor"
)

// lengthCacheSpan is how long an expected length is used although other flows of the
// class may have taught more.
const lengthCacheSpan = 200 * cowslipbend.Millisecond

// stepLength is what is known of the length of the tasks of a step, in all rounds.
type stepLength struct {
	samples predictor.Samples
	// expected is the expected length as of expectedAt; zero if it is not known.
	expected   cowslipbend.Span
	expectedAt cowslipbend.Time
}

// lengthOf returns what is known of the length of a step.
func (f *flow) lengthOf(index int) *stepLength {
	if f.lengths == nil {
		f.lengths = make([]stepLength, len(f.def.Steps))
	}
	return &f.lengths[index]
}

func (f *flow) lengthClass(def *cowslipbend.Step) predictor.Class {
	return predictor.ClassOf(f.def.Queue, def.Image)
}

// RestoreLengths adds the lengths that earlier owners have learned, as encoded by
// TakeLengths, and returns the number of their classes.
func (p *Planner) RestoreLengths(data []byte) (int, error) {
	return p.predictor.RestoreRow(data, p.storeNow)
}

// TakeLengths returns the encoded lengths that were learned, or nil if nothing was
// learned since its last call.
func (p *Planner) TakeLengths() ([]byte, error) {
	if !p.lengthsLearned {
		return nil, nil
	}
	p.lengthsLearned = false
	return p.predictor.EncodeRow(p.opts.MaxRow)
}

// expectedLength returns the expected run time of a task of the step at full
// speed.
func (p *Planner) expectedLength(f *flow, s *step) cowslipbend.Span {
	return p.expectedStepLength(f, s.index)
}

func (p *Planner) expectedStepLength(f *flow, index int) cowslipbend.Span {
	def := &f.def.Steps[index]
	if def.Lasting {
		return def.Length
	}
	l := f.lengthOf(index)
	if l.expectedAt == 0 || p.now.Sub(l.expectedAt) >= lengthCacheSpan {
		l.expected, l.expectedAt = p.predictor.Expect(f.lengthClass(def), def.Length, &l.samples, p.storeNow), p.now
	}
	return l.expected
}

// expectedEnd returns when a run is expected to end, or zero if it does not end by
// itself or is of an unknown flow.
func (p *Planner) expectedEnd(f *flow, ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) cowslipbend.Time {
	if f == nil || pl.def == nil || pl.def.Lasting || ref.Task.Step >= len(f.def.Steps) {
		return 0
	}
	return pl.track.ExpectEnd(p.expectedStepLength(f, ref.Task.Step), now)
}

// maxStartDelay is the time between a start and its confirmation up to which the
// latter tells when the run began.
const maxStartDelay = 400 * cowslipbend.Millisecond

// trackStart records the start of a run that its host has confirmed. Runs from a
// checkpoint are followed from the first list of their host, as their progress at the
// start is not known, and so are those whose confirmation was late.
func (p *Planner) trackStart(ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) {
	f := p.flows[ref.Task.Job]
	if f == nil || pl.orderedAt == 0 || now.Sub(pl.orderedAt) > maxStartDelay {
		return
	}
	if t := f.task(ref.Task); t != nil && t.checkpoint == "" {
		pl.track.Start(now)
		pl.expectedLength = p.expectedStepLength(f, ref.Task.Step)
	}
}

// trackProgress learns the length of a run that its host lists as running.
func (p *Planner) trackProgress(f *flow, s *cowslipbend.RunState, pl *placement, listedAt cowslipbend.Time) {
	if pl.def == nil || pl.def.Lasting || f.finalState != "" {
		return
	}
	pl.track.Observe(s.Percent, cowslipbend.Millicores(s.TailOrCPU), listedAt)
	if !pl.def.Gang { // Members that wait for the others make no progress.
		p.learnLength(f, s.Task, pl)
	}
}

// trackEnd learns the length of a run that has ended.
func (p *Planner) trackEnd(e *cowslipbend.RunEnd, pl *placement, now cowslipbend.Time) {
	f := p.flows[e.Task.Job]
	if f == nil || f.finalState != "" || pl == nil || pl.def == nil || pl.def.Lasting || e.Kind != cowslipbend.EndDone {
		return
	}
	pl.track.End(now)
	if length := p.learnLength(f, e.Task, pl); length > 0 {
		p.predictor.Learn(f.lengthClass(pl.def), pl.def.Length, length, 1/float64(pl.def.Count), p.storeNow)
		p.lengthsLearned = true
		p.learned.addLength(length, pl.def.Length, pl.expectedLength)
	}
}

// learnLength adds the length of a run to the samples of its step. It returns zero
// if the run does not tell its length.
func (p *Planner) learnLength(f *flow, ref cowslipbend.TaskRef, pl *placement) cowslipbend.Span {
	length := pl.track.Length(pl.demand)
	if length <= 0 || ref.Step >= len(f.def.Steps) {
		return 0
	}
	l := f.lengthOf(ref.Step)
	l.samples.Set(ref.Index, length)
	l.expectedAt = 0
	return length
}
