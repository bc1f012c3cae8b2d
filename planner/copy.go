package planner

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/speculator"
)

// otherRun is the earlier one of two runs of a task. Its number is zero if there is
// none.
type otherRun struct {
	run      cowslipbend.Attempt
	host     cowslipbend.Incarnation
	placedAt cowslipbend.Time
}

// Limits of copies.
const (
	// copyCheckInterval is the time between two checks for runs that need a copy.
	// Hosts list progress twice a second.
	copyCheckInterval = 100 * cowslipbend.Millisecond
	// maxExtraRuns is the number of runs of a task, failed ones not counted, from
	// which it gets no further copy. Run numbers are stored, so that the bound
	// holds across owners.
	maxExtraRuns = 4
)

// copies is the state of speculative execution that is not stored.
type copies struct {
	checkedAt cowslipbend.Time
	events    eventLog[CopyEvent]
	// records tells by queue whether new runs were faster.
	records map[cowslipbend.QueueID]*speculator.Record
}

// recordOf returns the record of the queue of a flow.
func (p *Planner) recordOf(f *flow) *speculator.Record {
	r := p.copies.records[f.def.Queue]
	if r == nil {
		if p.copies.records == nil {
			p.copies.records = map[cowslipbend.QueueID]*speculator.Record{}
		}
		r = &speculator.Record{}
		p.copies.records[f.def.Queue] = r
	}
	return r
}

// CopyOutcome is what became of a copy.
type CopyOutcome string

// The outcomes of copies.
const (
	// CopyStarted means that the copy has been placed.
	CopyStarted CopyOutcome = "started"
	// CopyWon means that the copy was done first, CopyLost that the run was that
	// it should overtake.
	CopyWon  CopyOutcome = "won"
	CopyLost CopyOutcome = "lost"
	// CopyEnded means that the copy ended without being done, CopyAlone that the
	// other run did, so that the copy is the only run.
	CopyEnded CopyOutcome = "ended"
	CopyAlone CopyOutcome = "alone"
	// CopyMoved means that no copy is allowed and the run is to move instead.
	CopyMoved CopyOutcome = "moved"
)

// CopyOutcomes lists all outcomes.
var CopyOutcomes = []CopyOutcome{CopyStarted, CopyWon, CopyLost, CopyEnded, CopyAlone, CopyMoved}

// CopyEvent tells that a copy has been placed, or what became of it.
type CopyEvent struct {
	Task    cowslipbend.TaskRef
	Run     cowslipbend.Attempt
	Outcome CopyOutcome
	// Host runs the copy, and OtherHost the run that it should overtake.
	Host, OtherHost cowslipbend.Incarnation
	// Percent is the progress of the run that it should overtake when the copy was
	// placed, and Typical what runs of the step take.
	Percent int
	Typical cowslipbend.Span
}

// TakeCopyEvents returns the events since its last call.
func (p *Planner) TakeCopyEvents() []CopyEvent { return p.copies.events.take() }

func (p *Planner) addCopyEvent(e CopyEvent) { p.copies.events.add(e) }

// holds reports whether the task has a place for the run: it is the newest run and
// has not ended, or the other run.
func (t *task) holds(run cowslipbend.Attempt) bool {
	return run > 0 && ((run == t.run && t.host != "") || run == t.other.run)
}

// hasTwoRuns reports whether two runs of the task have not ended.
func (t *task) hasTwoRuns() bool { return t.other.run > 0 && t.host != "" }

// currentRun returns the number and the host of a run of the task that has not
// ended; the newest one if there are two.
func (t *task) currentRun() (cowslipbend.Attempt, cowslipbend.Incarnation) {
	if t.host == "" {
		return t.other.run, t.other.host
	}
	return t.run, t.host
}

// placedAtOf returns when a run of the task was placed.
func (t *task) placedAtOf(run cowslipbend.Attempt) cowslipbend.Time {
	if run == t.other.run {
		return t.other.placedAt
	}
	return t.placedAt
}

// dropRun removes one of two runs of a task that has ended without being done, and
// reports whether the other one continues.
func (p *Planner) dropRun(t *task, ref cowslipbend.RunRef) bool {
	if t.other.run == 0 {
		return false
	}
	event := CopyEvent{Task: ref.Task, Run: t.run, Host: t.host, OtherHost: t.other.host}
	if ref.Run == t.run {
		event.Outcome = CopyEnded
		t.host = ""
	} else {
		event.Outcome = CopyAlone
		t.other = otherRun{}
	}
	if event.Host != "" {
		p.addCopyEvent(event)
	}
	return t.host != "" || t.other.run != 0
}

// settleCopy records which of two runs was done first. The next decision stops the
// other one.
func (p *Planner) settleCopy(t *task, ref cowslipbend.RunRef) {
	if t.phase != phasePlaced || t.other.run == 0 {
		return
	}
	event := CopyEvent{Task: ref.Task, Run: t.run, Host: t.host, OtherHost: t.other.host, Outcome: CopyLost}
	if ref.Run == t.run {
		event.Outcome = CopyWon
	}
	if event.Host != "" {
		p.addCopyEvent(event)
		if f := p.flows[ref.Task.Job]; f != nil {
			p.recordOf(f).Add(event.Outcome == CopyWon, p.now)
		}
	}
	if ref.Run == t.other.run {
		t.host = t.other.host // Compact tasks stay in the rack of the run that was done.
	}
	t.other = otherRun{}
	p.stopsDue = true
}

// isAhead reports whether the checkpoint of a listed run is to be kept: of two
// runs, the one with more progress counts.
func (p *Planner) isAhead(t *task, s *cowslipbend.RunState) bool {
	if !t.holds(s.Run) || !t.hasTwoRuns() {
		return t.holds(s.Run)
	}
	rival := cowslipbend.RunRef{Task: s.Task, Run: t.run}
	life := t.host
	if s.Run == t.run {
		rival.Run, life = t.other.run, t.other.host
	}
	if h := p.hosts[life]; h != nil && h.runs[rival] != nil {
		return s.Percent >= h.runs[rival].percent
	}
	return true
}

// onlyRun returns the run of a task that has exactly one, or nil.
func (p *Planner) onlyRun(f *flow, r *round, s *step, index int) *placement {
	t := &s.tasks[index]
	if t.phase != phasePlaced || t.hasTwoRuns() {
		return nil
	}
	run, life := t.currentRun()
	h := p.hosts[life]
	if h == nil {
		return nil
	}
	return h.runs[cowslipbend.RunRef{Task: f.def.Ref(r.number, s.index, index), Run: run}]
}

// allowsCopies reports whether tasks of the step may get copies. The progress of
// paced filling tasks tells too little, and the members of a gang run together.
func (s *step) allowsCopies() bool {
	return s.def.AllowsCopies && !s.def.Gang && !s.def.Lasting && !s.def.Fills
}

// mayCopy reports whether the task may have a further run: one more failure must
// not end its flow, its runs are bounded, and it is not tried apart from others.
func (t *task) mayCopy(maxAttempts int) bool {
	return !t.crashes.Suspect && (maxAttempts == 0 || t.failures+1 < maxAttempts) && int(t.run)-t.failures < maxExtraRuns
}

// outlier is a run that stands out from its step.
type outlier struct {
	ref     cowslipbend.RunRef
	host    *host
	run     *placement
	flow    *flow
	round   *round
	step    *step
	index   int
	typical speculator.Typical
	seen    speculator.Progress
}

// speculation sums up the runs of a service.
type speculation struct {
	// observed counts the runs that were compared with their step, standingOut
	// those that stand out. copying and moving hold those of them that may get a
	// copy, or may move.
	observed, standingOut int
	copying, moving       []outlier
	// copiesCPU is the processors that copies have reserved.
	copiesCPU cowslipbend.Millicores
}

// handleOutliers places copies of runs that stand out, in the room that the
// waiting tasks have left. Where no copy is allowed the run moves, if that is a
// gain.
func (p *Planner) handleOutliers(hosts map[cowslipbend.ServiceID][]*host, now cowslipbend.Time) {
	if now.Sub(p.copies.checkedAt) < copyCheckInterval {
		return
	}
	p.copies.checkedAt = now
	services := map[cowslipbend.ServiceID]*speculation{}
	for _, f := range p.liveFlows {
		service := p.policy(f).Service
		if services[service] == nil {
			services[service] = &speculation{}
		}
		for _, r := range f.rounds {
			for i := range r.steps {
				if s := &r.steps[i]; !s.def.Gang && !s.def.Lasting && s.waitingCount+s.doneCount < len(s.tasks) {
					p.findOutliers(services[service], f, r, s, now)
				}
			}
		}
	}
	for service, found := range services {
		if speculator.IsLoad(found.standingOut, found.observed) {
			continue
		}
		p.copyOutliers(found, hosts[service], now)
		p.moveOutliers(found, hosts[service], now)
	}
}

// findOutliers adds the runs of a step to the sums.
func (p *Planner) findOutliers(found *speculation, f *flow, r *round, s *step, now cowslipbend.Time) {
	typical, maxAttempts := p.typicalRun(f, r, s, now), p.policy(f).MaxAttempts
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase == phasePlaced && t.hasTwoRuns() {
			found.copiesCPU += s.def.Reserved().CPU
			continue
		}
		pl := p.onlyRun(f, r, s, i)
		if pl == nil || pl.moving {
			continue
		}
		seen := pl.observedProgress(now)
		if typical.Observable(seen) {
			found.observed++
		}
		if !typical.IsOutlier(seen) {
			continue
		}
		found.standingOut++
		if t.moved && !pl.standsOut {
			p.recordOf(f).Add(false, now)
		}
		pl.standsOut = true
		if !p.recordOf(f).Allows(now) {
			continue
		}
		number, life := t.currentRun()
		ref := cowslipbend.RunRef{Task: f.def.Ref(r.number, s.index, i), Run: number}
		o := outlier{ref: ref, host: p.hosts[life], run: pl, flow: f, round: r, step: s, index: i, typical: typical, seen: seen}
		switch {
		case s.allowsCopies() && t.mayCopy(maxAttempts):
			found.copying = append(found.copying, o)
		case t.mayMove(now):
			found.moving = append(found.moving, o)
		}
	}
}

// sortOutliers sorts runs by priority and name.
func (p *Planner) sortOutliers(list []outlier) {
	sort.Slice(list, func(i, j int) bool {
		a, b := &list[i], &list[j]
		if pa, pb := p.policy(a.flow).Priority, p.policy(b.flow).Priority; pa != pb {
			return pa < pb
		}
		return a.ref.Task.String() < b.ref.Task.String()
	})
}

// copyOutliers places copies within the budget.
func (p *Planner) copyOutliers(found *speculation, hosts []*host, now cowslipbend.Time) {
	if len(found.copying) == 0 {
		return
	}
	budget := speculator.Budget{Copies: found.copiesCPU}
	for _, h := range hosts {
		budget.InUse += h.reserved.CPU
	}
	p.sortOutliers(found.copying)
	for i := range found.copying {
		o := &found.copying[i]
		cpu := o.step.def.Reserved().CPU
		switch {
		case budget.Allows(cpu) && p.copyOutlier(o, hosts, now):
			budget.Copies += cpu
		case o.step.tasks[o.index].mayMove(now) && p.otherHost(o, hosts) == nil:
			found.moving = append(found.moving, *o)
		}
	}
}

// otherHost returns the best host for the task of a run without that on which it
// runs, or nil.
func (p *Planner) otherHost(o *outlier, hosts []*host) *host {
	others := make([]*host, 0, len(hosts))
	for _, h := range hosts {
		if h != o.host {
			others = append(others, h)
		}
	}
	return p.chooseHost(others, o.step.def, keyOf(o.ref.Task), o.step.rack(p), minFillingRate)
}

// copyOutlier places a copy of a run on another host if it is likely to end first,
// and reports whether it did.
func (p *Planner) copyOutlier(o *outlier, hosts []*host, now cowslipbend.Time) bool {
	allowed, tickets := p.advisedHosts(o.flow, keyOf(o.ref.Task), hosts, now)
	h := p.otherHost(o, allowed)
	if h == nil || !o.typical.CopyEndsFirst(o.seen, h.grade.speed()) {
		return false
	}
	t := &o.step.tasks[o.index]
	t.other = otherRun{run: o.ref.Run, host: o.host.life, placedAt: t.placedAtOf(o.ref.Run)}
	o.step.waitingCount++ // startTask counts the task as one that waited.
	p.startTask(o.flow, o.round, o.step, o.index, h, t.run+1, tickets[h.life], now)
	p.addCopyEvent(CopyEvent{
		Task: o.ref.Task, Run: t.run, Outcome: CopyStarted, Host: h.life, OtherHost: o.host.life, Percent: o.seen.Percent, Typical: o.typical.Length,
	})
	return true
}

// RowRun is the earlier one of two runs of a task in its stored progress. Builds
// without copies ignore it: they stop the run, since a later one is recorded.
type RowRun struct {
	Run  cowslipbend.Attempt     `json:"n"`
	Host cowslipbend.Incarnation `json:"h"`
}

// row returns the stored form, nil if there is no such run.
func (o *otherRun) row() *RowRun {
	if o.run == 0 {
		return nil
	}
	return &RowRun{Run: o.run, Host: o.host}
}

// restoreRuns adds the runs of a task that an earlier owner placed. An other run
// that is not earlier than the newest one is ignored.
func (p *Planner) restoreRuns(f *flow, t *task, ref cowslipbend.TaskRef, rt *RowTask, now cowslipbend.Time) {
	if o := rt.Other; o != nil && o.Host != "" && o.Run > 0 && o.Run < rt.Run {
		t.phase, t.other = phasePlaced, otherRun{run: o.Run, host: o.Host, placedAt: now}
		p.addInherited(f, cowslipbend.RunRef{Task: ref, Run: o.Run}, o.Host, now)
	}
	if rt.Host != "" {
		t.phase, t.placedAt = phasePlaced, now
		p.addInherited(f, cowslipbend.RunRef{Task: ref, Run: rt.Run}, rt.Host, now)
	}
}
