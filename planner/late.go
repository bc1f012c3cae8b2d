package planner

import (
	"cowslipbend.dev"
)

// lateStart is a start that a runner left unanswered. Until the time, each later incarnation of the
// runner may carry it out before it refuses earlier calls. The runs of the one before have ended then.
type lateStart struct {
	runner string
	until  cowslipbend.Time
}

// bindUnanswered binds the tasks whose start the host has not answered to its runner: a run
// elsewhere would go on if a later incarnation carries the start out. Gangs are not bound.
func (p *Planner) bindUnanswered(h *host) {
	for ref, pl := range h.runs {
		f := p.flows[ref.Task.Job]
		if f == nil || pl.confirmed || pl.orderedAt == 0 || pl.def == nil || pl.def.Gang {
			continue
		}
		if t, until := f.task(ref.Task), pl.orderedAt.Add(cowslipbend.LateCallTimeout); t != nil && until > t.late.until {
			t.late = lateStart{h.spec.Runner, until}
		}
	}
}

// isBound reports whether the task may run on one runner only.
func (t *task) isBound(now cowslipbend.Time) bool { return now < t.late.until }

// mayRunOn reports whether the host is of the runner to which the task is bound, if it is.
func (t *task) mayRunOn(h *host, now cowslipbend.Time) bool {
	return !t.isBound(now) || h.spec.Runner == t.late.runner
}

// hostsFor returns those of the hosts on which the task may run.
func (t *task) hostsFor(hosts []*host, now cowslipbend.Time) []*host {
	if !t.isBound(now) {
		return hosts
	}
	for i, h := range hosts {
		if t.mayRunOn(h, now) {
			return hosts[i : i+1]
		}
	}
	return nil
}

// isBound reports whether the task may run on one runner only, so that there is no use in moving it.
func (p *Planner) isBound(ref cowslipbend.TaskRef, now cowslipbend.Time) bool {
	f := p.flows[ref.Job]
	if f == nil {
		return false
	}
	t := f.task(ref)
	return t != nil && t.isBound(now)
}

// mayRunOn reports whether any waiting task of the step may run on the host.
func (s *step) mayRunOn(h *host, now cowslipbend.Time) bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.phase == phaseWaiting && t.mayRunOn(h, now) {
			return true
		}
	}
	return false
}
