package planner

import (
	"cowslipbend.dev"
)

// phase is where a task stands.
type phase int8

const (
	phaseWaiting phase = iota
	phasePlaced
	phaseDone
)

// task is one task of a round.
type task struct {
	phase phase
	// run is the number of its newest run, fails how many runs have failed.
	run   cowslipbend.Attempt
	fails int
	// host is where it is placed, since when, and on this host's clock.
	host  cowslipbend.Incarnation
	since cowslipbend.Time
	saved string
}

// wait makes the task wait for its next run.
func (t *task) wait(saved string) {
	t.phase, t.host = phaseWaiting, ""
	if saved != "" {
		t.saved = saved
	}
}

// step is a step of one round.
type step struct {
	def   *cowslipbend.Step
	index int
	tasks []task
	// ready is set once all steps before it are done.
	ready   bool
	waiting int
	done    int
}

// round is one execution of a flow's steps.
type round struct {
	number int
	steps  []step
}

func newRound(def *cowslipbend.Flow, number int) *round {
	r := &round{number: number, steps: make([]step, len(def.Steps))}
	for i := range def.Steps {
		r.steps[i] = step{def: &def.Steps[i], index: i, tasks: make([]task, def.Steps[i].Count)}
	}
	return r
}

// count brings the counters of the steps up to date and reports whether all
// are done.
func (r *round) count() bool {
	all := true
	for i := range r.steps {
		s := &r.steps[i]
		s.waiting, s.done = 0, 0
		for j := range s.tasks {
			switch s.tasks[j].phase {
			case phaseWaiting:
				s.waiting++
			case phaseDone:
				s.done++
			case phasePlaced:
			}
		}
		s.ready = true
		for _, a := range s.def.DependsOn {
			s.ready = s.ready && r.steps[a].done == len(r.steps[a].tasks)
		}
		all = all && s.done == len(s.tasks)
	}
	return all
}

// flow is a job with its progress.
type flow struct {
	def    *cowslipbend.Flow
	rounds map[int]*round
	// passed counts the rounds that are complete, next is the first round
	// that has not come due.
	passed int
	next   int
	begun  bool
	// failed lists the hosts on which a task of the flow has failed.
	failed map[cowslipbend.Incarnation]bool
	// final is set when the flow has ended, at a moment of the store's clock.
	final cowslipbend.FlowState
	ended cowslipbend.Time
	// chain is the longest chain of estimates.
	chain cowslipbend.Span
	// stuck is since when work waits and nothing of the flow is placed.
	stuck cowslipbend.Time
}

// placed reports whether any task is on a host.
func (f *flow) placed() bool {
	for _, r := range f.rounds {
		for i := range r.steps {
			if s := &r.steps[i]; s.waiting+s.done < len(s.tasks) {
				return true
			}
		}
	}
	return false
}

// noteStuck notes since when nothing of a flow with ready work is placed.
func (f *flow) noteStuck(now cowslipbend.Time) {
	switch {
	case f.placed():
		f.stuck = 0
	case f.stuck == 0:
		f.stuck = now
	}
}

func newFlow(def *cowslipbend.Flow) *flow {
	f := &flow{def: def, rounds: map[int]*round{}, chain: chainOf(def)}
	if def.Rounds == 0 {
		f.open(0)
	}
	return f
}

// open begins a round.
func (f *flow) open(number int) {
	r := newRound(f.def, number)
	r.count()
	f.rounds[number] = r
	f.next = max(f.next, number+1)
}

// due opens the rounds that have come due at the wall time.
func (f *flow) due(wall cowslipbend.Time) bool {
	opened := false
	for f.next < f.def.Rounds && wall >= f.def.FirstDueAt+cowslipbend.Time(f.next)*cowslipbend.Time(f.def.RoundInterval) {
		f.open(f.next)
		opened = true
	}
	return opened
}

// chainOf returns the longest chain of estimated run times.
func chainOf(def *cowslipbend.Flow) cowslipbend.Span {
	ends := make([]cowslipbend.Span, len(def.Steps))
	var longest cowslipbend.Span
	for i := range def.Steps {
		var begin cowslipbend.Span
		for _, a := range def.Steps[i].DependsOn {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + def.Steps[i].Length
		longest = max(longest, ends[i])
	}
	return longest
}

func (f *flow) state() cowslipbend.FlowState {
	return shown(f.final, f.begun)
}

// shown returns the state that callers are told of a flow that may have ended
// and may have begun.
func shown(final cowslipbend.FlowState, begun bool) cowslipbend.FlowState {
	switch {
	case final != "":
		return final
	case begun:
		return cowslipbend.FlowRunning
	}
	return cowslipbend.FlowQueued
}

// step returns the step of a task that exists.
func (f *flow) step(ref cowslipbend.TaskRef) *step { return &f.rounds[ref.Round].steps[ref.Step] }

// task returns a task, or nil if there is none such.
func (f *flow) task(ref cowslipbend.TaskRef) *task {
	r := f.rounds[ref.Round]
	if r == nil || ref.Step >= len(r.steps) || ref.Index >= len(r.steps[ref.Step].tasks) {
		return nil
	}
	return &r.steps[ref.Step].tasks[ref.Index]
}

// recount brings the counters up to date.
func (f *flow) recount() {
	for _, r := range f.rounds {
		r.count()
	}
}

// advance drops rounds that are complete.
func (f *flow) advance() {
	for n, r := range f.rounds {
		if r.count() {
			f.passed++
			if f.def.Rounds > 0 {
				delete(f.rounds, n)
			}
		}
	}
}

// complete reports whether all rounds are complete.
func (f *flow) complete() bool { return f.passed >= max(f.def.Rounds, 1) }
