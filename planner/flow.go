package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/isolator"
)

// phase is the state of a task.
type phase int8

const (
	phaseWaiting phase = iota
	phasePlaced
	phaseDone
)

// task is one task of a round.
type task struct {
	phase phase
	// run is the number of its newest run. failures counts the runs that have
	// failed.
	run      cowslipbend.Attempt
	failures int
	// host is the incarnation on which the task is placed, if any. placedAt is
	// when it was last placed, on the clock of this process.
	host       cowslipbend.Incarnation
	placedAt   cowslipbend.Time
	checkpoint string
	// other is the earlier one of two runs. If the newest run has ended before it,
	// the host is empty and the task remains placed.
	other otherRun
	// moved is set once a run was stopped as it stood out.
	moved bool
	// crashes is what is known of the hosts that crashed under its runs.
	crashes isolator.Record
	// failedOn is the host on which the last run of a lasting task failed before it had
	// worked; the task is tried on another one first.
	failedOn cowslipbend.Incarnation
	// late is a start of it that may still be carried out.
	late lateStart
}

// requeue returns the task to the waiting ones. An empty checkpoint keeps the
// last one.
func (t *task) requeue(checkpoint string) {
	t.phase, t.host, t.other = phaseWaiting, "", otherRun{}
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
}

// step is a step of one round.
type step struct {
	def   *cowslipbend.Step
	index int
	tasks []task
	// ready is set once all steps that it depends on are done.
	ready        bool
	waitingCount int
	doneCount    int
	// lengths holds the lengths of its runs that were done, the newest last.
	lengths []cowslipbend.Span
}

// round is one execution of the steps of a flow.
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

// updateCounts updates the counts and ready flags of the steps, and reports
// whether all steps are done.
func (r *round) updateCounts() bool {
	allDone := true
	for i := range r.steps {
		s := &r.steps[i]
		s.waitingCount, s.doneCount = 0, 0
		for j := range s.tasks {
			switch s.tasks[j].phase {
			case phaseWaiting:
				s.waitingCount++
			case phaseDone:
				s.doneCount++
			case phasePlaced:
			}
		}
		s.ready = true
		for _, dep := range s.def.DependsOn {
			s.ready = s.ready && r.steps[dep].doneCount == len(r.steps[dep].tasks)
		}
		allDone = allDone && s.doneCount == len(s.tasks)
	}
	return allDone
}

// flow is a job with its progress.
type flow struct {
	def    *cowslipbend.Flow
	rounds map[int]*round
	// roundsCompleted counts the complete rounds. nextRound is the number of
	// the first round that has not been opened.
	roundsCompleted int
	nextRound       int
	// begun is set once a task of the flow has started.
	begun bool
	// failedHosts holds the hosts on which a task of the flow has failed.
	failedHosts map[cowslipbend.Incarnation]bool
	// finalState is empty until the flow has ended. endedAt is on the clock of
	// the store.
	finalState cowslipbend.FlowState
	endedAt    cowslipbend.Time
	// detail is that of its last row, empty before the first one that lacks something.
	detail RowDetail
	// lengths holds what is known of the lengths of the steps; see lengthOf.
	lengths []stepLength
	order   flowOrder
	// delayedSince is since when waiting tasks were not placed by any decision,
	// zero if one was; position is the place in the order of the last decision.
	// delayReportedAt is when Delays last returned the flow.
	delayedSince    cowslipbend.Time
	delayReportedAt cowslipbend.Time
	position        int
	// unplacedSince is since when tasks have waited without any task of the
	// flow placed; zero if one is.
	unplacedSince cowslipbend.Time
}

// hasPlacedTask reports whether any task is on a host.
func (f *flow) hasPlacedTask() bool {
	for _, r := range f.rounds {
		for i := range r.steps {
			if s := &r.steps[i]; s.waitingCount+s.doneCount < len(s.tasks) {
				return true
			}
		}
	}
	return false
}

// updateUnplaced updates unplacedSince of a flow with ready tasks.
func (f *flow) updateUnplaced(now cowslipbend.Time) {
	switch {
	case f.hasPlacedTask():
		f.unplacedSince = 0
	case f.unplacedSince == 0:
		f.unplacedSince = now
	}
}

func newFlow(def *cowslipbend.Flow) *flow {
	f := &flow{def: def, rounds: map[int]*round{}}
	if def.Rounds == 0 {
		f.openRound(0)
	}
	return f
}

func (f *flow) openRound(number int) {
	r := newRound(f.def, number)
	r.updateCounts()
	f.rounds[number] = r
	f.nextRound = max(f.nextRound, number+1)
}

// maxOpenTasks bounds the tasks of the open rounds of a flow, as a row holds them
// all. A round that is due while so many are open is opened later.
const maxOpenTasks = 4000

// mayOpenRound reports whether the tasks of one more round are within the bound.
// One round may always be open.
func (f *flow) mayOpenRound() bool {
	tasks := 0
	for i := range f.def.Steps {
		tasks += f.def.Steps[i].Count
	}
	return len(f.rounds) == 0 || (len(f.rounds)+1)*tasks <= maxOpenTasks
}

// openDueRounds opens the rounds that are due at the wall time, and reports
// whether there were any.
func (f *flow) openDueRounds(wallNow cowslipbend.Time) bool {
	opened := false
	for f.nextRound < f.def.Rounds && f.mayOpenRound() && wallNow >= f.def.FirstDueAt+cowslipbend.Time(f.nextRound)*cowslipbend.Time(f.def.RoundInterval) {
		f.openRound(f.nextRound)
		opened = true
	}
	return opened
}

func (f *flow) state() cowslipbend.FlowState {
	return callerState(f.finalState, f.begun)
}

// callerState returns the state of a flow as callers see it. The final state is
// empty if the flow has not ended.
func callerState(finalState cowslipbend.FlowState, begun bool) cowslipbend.FlowState {
	switch {
	case finalState != "":
		return finalState
	case begun:
		return cowslipbend.FlowRunning
	}
	return cowslipbend.FlowQueued
}

// step returns the step of a task, which must exist.
func (f *flow) step(ref cowslipbend.TaskRef) *step { return &f.rounds[ref.Round].steps[ref.Step] }

// task returns a task, or nil if the flow has no such task.
func (f *flow) task(ref cowslipbend.TaskRef) *task {
	r := f.rounds[ref.Round]
	if r == nil || ref.Step < 0 || ref.Step >= len(r.steps) || ref.Index < 0 || ref.Index >= len(r.steps[ref.Step].tasks) {
		return nil
	}
	return &r.steps[ref.Step].tasks[ref.Index]
}

// updateCounts updates the counts of all open rounds.
func (f *flow) updateCounts() {
	for _, r := range f.rounds {
		r.updateCounts()
	}
}

// closeCompleteRounds counts the complete rounds, and removes them if the flow
// has due times for its rounds.
func (f *flow) closeCompleteRounds() {
	for n, r := range f.rounds {
		if r.updateCounts() {
			f.roundsCompleted++
			if f.def.Rounds > 0 {
				delete(f.rounds, n)
			}
		}
	}
}

// isComplete reports whether all rounds are complete.
func (f *flow) isComplete() bool { return f.roundsCompleted >= max(f.def.Rounds, 1) }
