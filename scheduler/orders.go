package scheduler

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// Orders are what one agent is told, after the records behind them are
// committed.
type Orders struct {
	// Token is the moment of the worker's clock at which the last heartbeat
	// was sent that was taken before these orders were given.
	Token  cowslipbend.Time
	Starts []cowslipbend.Start
	Evicts []Ref
	Stops  []Ref
}

// Ref names an attempt.
type Ref struct {
	Task    cowslipbend.TaskID
	Attempt cowslipbend.Attempt
}

// Empty reports whether there is nothing to tell.
func (o *Orders) Empty() bool { return len(o.Starts)+len(o.Evicts)+len(o.Stops) == 0 }

// Orders returns what each worker is to be told now. It repeats an order
// until a heartbeat shows its effect.
func (e *Engine) Orders(now cowslipbend.Time, epoch cowslipbend.Epoch) map[cowslipbend.WorkerID]*Orders {
	out := map[cowslipbend.WorkerID]*Orders{}
	at := func(id cowslipbend.WorkerID) *Orders {
		if out[id] == nil {
			out[id] = &Orders{}
		}
		return out[id]
	}
	for _, t := range e.index.pending {
		s := e.seen[t.Worker]
		if s == nil || !s.due(Ref{t.ID, t.Attempt}, now, e.opts.Resend) {
			continue
		}
		o := at(t.Worker)
		if t.Cancelling() {
			o.Stops = append(o.Stops, Ref{t.ID, t.Attempt})
			continue
		}
		o.Starts = append(o.Starts, e.start(t, epoch))
	}
	for _, i := range e.evicting.intents {
		if s := e.seen[i.worker]; s != nil && s.due(Ref{i.task, i.attempt}, now, e.opts.Resend) {
			at(i.worker).Evicts = append(at(i.worker).Evicts, Ref{i.task, i.attempt})
		}
	}
	e.stopStrays(now, at)
	for _, o := range out {
		o.sort()
	}
	return out
}

// sort makes the orders the same on each run.
func (o *Orders) sort() {
	sort.Slice(o.Starts, func(i, j int) bool { return o.Starts[i].Task < o.Starts[j].Task })
	for _, list := range [][]Ref{o.Evicts, o.Stops} {
		sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	}
}

// due reports whether an order about the attempt may be sent now, and notes it.
func (s *seen) due(r Ref, now cowslipbend.Time, resend cowslipbend.Span) bool {
	if last, ok := s.sent[r]; ok && now.Sub(last) < resend {
		return false
	}
	s.sent[r] = now
	return true
}

// stopStrays stops attempts that run where the journal does not have them.
func (e *Engine) stopStrays(now cowslipbend.Time, at func(cowslipbend.WorkerID) *Orders) {
	for worker, s := range e.seen {
		if len(s.strays) == 0 {
			continue
		}
		for _, r := range s.strays {
			if t, known := e.state.Tasks[r.Task]; known && t.Worker == worker && t.Attempt == r.Attempt {
				continue
			}
			if s.due(r, now, e.opts.Resend) {
				at(worker).Stops = append(at(worker).Stops, r)
			}
		}
	}
}

func (e *Engine) start(t *journaler.Task, epoch cowslipbend.Epoch) cowslipbend.Start {
	job := e.state.Jobs[t.Job]
	return cowslipbend.Start{
		Task: t.ID, Attempt: t.Attempt, Epoch: epoch, Class: job.Class, Team: job.Team, Size: t.Size,
		Service: job.Service, Work: job.Work, From: t.Checkpoint,
	}
}
