package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/evacuator"
)

// evacuationInterval is the time between two decisions about the runs in domains
// that are out of service, which the reports change twice a second.
const evacuationInterval = 250 * cowslipbend.Millisecond

// evacuation holds what becomes of the runs in domains that are out of service.
type evacuation struct {
	evacuator evacuator.Evacuator
	decidedAt cowslipbend.Time
	// outSince holds since when this owner knows that a domain is out.
	outSince map[cowslipbend.Domain]cowslipbend.Time
	// inFlight holds the tasks that left and are not known to be at work again.
	inFlight map[cowslipbend.TaskRef]bool
	// report is that of the last decision. Its moves add up until it is taken.
	report EvacuationReport
}

// EvacuationReport tells what becomes of the runs in domains that are out of
// service.
type EvacuationReport struct {
	// Out is the number of domains that are out of service and have hosts.
	Out int
	// Runs is the number of runs there by domain, Stays by the reason to stay.
	Runs  map[cowslipbend.Domain]int
	Stays map[evacuator.Reason]int
	// Moves holds the runs that were ordered to leave since the last report.
	Moves []evacuator.Move
}

// TakeEvacuationReport returns the report of the last decision, with the moves
// since the last call.
func (p *Planner) TakeEvacuationReport() EvacuationReport {
	r := p.evacuation.report
	p.evacuation.report.Moves = nil
	return r
}

// leaveDomains has runs leave the domains that are out of service, if that gains
// more than it costs. The hosts are those that take new runs.
func (p *Planner) leaveDomains(hosts map[cowslipbend.ServiceID][]*host, now cowslipbend.Time) {
	e := &p.evacuation
	p.trackOut(now)
	if len(e.outSince) == 0 && len(e.inFlight) == 0 {
		e.report = EvacuationReport{Moves: e.report.Moves}
		return
	}
	if now.Sub(e.decidedAt) < evacuationInterval {
		return
	}
	e.decidedAt = now
	p.trackInFlight()
	e.report.Out, e.report.Runs = len(e.outSince), map[cowslipbend.Domain]int{}
	runs := p.runsInDomainsOut(hosts, now)
	d := e.evacuator.Decide(runs, len(e.inFlight), now)
	e.report.Stays = d.Stays
	if d.Move == nil {
		return
	}
	e.report.Moves = append(e.report.Moves, *d.Move)
	if e.inFlight == nil {
		e.inFlight = map[cowslipbend.TaskRef]bool{}
	}
	e.inFlight[d.Move.Ref.Task] = true
	if pl := p.placementOf(d.Move.Ref.Task); pl != nil {
		p.startMove(pl)
	}
}

// trackOut updates since when the domains are out of service.
func (p *Planner) trackOut(now cowslipbend.Time) {
	e, out := &p.evacuation, p.domains.out
	for domain := range e.outSince {
		if !out.Has(domain) {
			delete(e.outSince, domain)
		}
	}
	for _, domain := range out.Domains {
		if e.outSince == nil {
			e.outSince = map[cowslipbend.Domain]cowslipbend.Time{}
		}
		if _, ok := e.outSince[domain]; !ok {
			e.outSince[domain] = now
		}
	}
}

// trackInFlight drops the tasks in flight that are at work again or never will be.
func (p *Planner) trackInFlight() {
	for ref := range p.evacuation.inFlight {
		f := p.flows[ref.Job]
		if f == nil || f.finalState != "" {
			delete(p.evacuation.inFlight, ref)
			continue
		}
		t := f.task(ref)
		if t == nil || t.phase == phaseDone || p.isAtWork(f.step(ref), ref) {
			delete(p.evacuation.inFlight, ref)
		}
	}
}

// placementOf returns the current run of a task, or nil if there is none.
func (p *Planner) placementOf(ref cowslipbend.TaskRef) *placement {
	f := p.flows[ref.Job]
	if f == nil {
		return nil
	}
	t := f.task(ref)
	if t == nil || t.phase != phasePlaced {
		return nil
	}
	h := p.hosts[t.host]
	if h == nil {
		return nil
	}
	return h.runs[cowslipbend.RunRef{Task: ref, Run: t.run}]
}

// isAtWork reports whether a task has a run that works and goes on. A lasting one
// works at full speed. A run on a host that has gone silent may have stopped.
func (p *Planner) isAtWork(s *step, ref cowslipbend.TaskRef) bool {
	pl := p.placementOf(ref)
	return pl != nil && p.now.Sub(p.hosts[p.flows[ref.Job].task(ref).host].lastReportAt) < reportTimeout && pl.confirmed && !pl.moving && pl.missingSince == 0 && (!s.def.Lasting || pl.percent == 100)
}

// missingTasks returns how many tasks of a lasting step are not at work, whatever
// the cause.
func (p *Planner) missingTasks(f *flow, key stepKey) int {
	s := &f.rounds[key.round].steps[key.step]
	missing := 0
	for i := range s.tasks {
		if !p.isAtWork(s, f.def.Ref(key.round, key.step, i)) {
			missing++
		}
	}
	return missing
}

// mayMiss reports whether a run may be stopped although its task is then not at
// work. It limits lasting steps that name how many of their tasks may be missing;
// other steps are not limited.
func (p *Planner) mayMiss(ref cowslipbend.RunRef, pl *placement) bool {
	if !pl.def.Lasting || pl.def.MaxMissing == 0 {
		return true
	}
	f := p.flows[ref.Task.Job]
	return f == nil || f.task(ref.Task) == nil || p.missingTasks(f, keyOf(ref.Task)) < pl.def.MaxMissing
}

// runsInDomainsOut returns the runs on the hosts of domains that are out of
// service. Those on hosts that drain leave with their host.
func (p *Planner) runsInDomainsOut(hosts map[cowslipbend.ServiceID][]*host, now cowslipbend.Time) []evacuator.Run {
	var runs []evacuator.Run
	missing, rooms := map[stepKey]int{}, map[stepKey]int{}
	for _, h := range p.hosts {
		since, out := p.evacuation.outSince[h.spec.Domain]
		if !out || !h.reported {
			continue
		}
		p.evacuation.report.Runs[h.spec.Domain] += len(h.runs)
		for ref, pl := range h.runs {
			f := p.flows[ref.Task.Job]
			if pl.def == nil || f == nil || h.spec.Draining {
				continue
			}
			t, key := f.task(ref.Task), keyOf(ref.Task)
			if t == nil || t.run != ref.Run || t.isBound(now) {
				continue
			}
			r := evacuator.Run{
				Ref: ref, OutFor: now.Sub(since), Confirmed: pl.confirmed, Moving: pl.moving, Gang: pl.def.Gang,
				Lasting: pl.def.Lasting, MaxMissing: pl.def.MaxMissing, SavesCheckpoints: pl.def.SavesCheckpoints,
				Unsaved: now.Sub(max(t.placedAt, pl.savedAt)),
			}
			if pl.def.Lasting {
				if _, known := missing[key]; !known {
					missing[key] = p.missingTasks(f, key)
				}
				r.Missing = missing[key]
			} else {
				r.Remaining = p.expectedEnd(f, ref, pl, now).Sub(now)
			}
			r.Room = func() int {
				n, known := rooms[key]
				if !known {
					n = p.countRoom(hosts[h.spec.Service], f, pl.def, key, now)
					rooms[key] = n
				}
				return n
			}
			runs = append(runs, r)
		}
	}
	return runs
}

// countRoom returns how many hosts could take a task of the step now. Hosts that
// are cold do not count, as a task would move from a host at full speed to a slow
// one.
func (p *Planner) countRoom(hosts []*host, f *flow, def *cowslipbend.Step, key stepKey, now cowslipbend.Time) int {
	rack := f.rounds[key.round].steps[key.step].rack(p)
	allowed, _ := p.advisedHosts(f, key, hosts, now)
	count := 0
	for _, h := range allowed {
		if h.coldUntil > now || !h.fits(def, key) || (rack != "" && h.spec.Rack != rack) || (def.Fills && p.expectedRate(h, def, minFillingRate) < minFillingRate) {
			continue
		}
		count++
	}
	return count
}
