package planner

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/isolator"
)

const (
	// trialShare is the part of the hosts of a service on which suspected tasks may
	// be tried at a time; one host may always be used.
	trialShare = 0.25
	// trialQuiet is how long no run of another flow must have been started on a host
	// before a trial, so that their ages differ, and trialHold for how long the host is
	// kept free of such starts until then.
	trialQuiet = 120 * cowslipbend.Millisecond
	trialHold  = 400 * cowslipbend.Millisecond
	// otherCausesRetention is how long a crash that no task can have caused has
	// tasks given up more carefully.
	otherCausesRetention = 30 * cowslipbend.Second
)

// TrialOutcome is what became of the suspicion that a task crashes hosts.
type TrialOutcome string

// The outcomes.
const (
	// TrialDue means that a host crashed under a young run of the task, which is now
	// tried apart from other flows.
	TrialDue TrialOutcome = "suspected"
	// TrialPassed means that a run has worked for longer than those before it.
	TrialPassed TrialOutcome = "cleared"
	// TrialFailed means that the task is given up and its flow has failed.
	TrialFailed TrialOutcome = "given up"
)

// TrialEvent tells that a task is suspected to crash hosts, or what became of it.
type TrialEvent struct {
	Task    cowslipbend.TaskRef
	Run     cowslipbend.Attempt
	Outcome TrialOutcome
	// Host is the one that crashed or, if the task is cleared, the one that runs it.
	Host cowslipbend.Incarnation
	// Record is what was known of the task before it was cleared.
	Record isolator.Record
	// OtherCauses is set while hosts also crash for other causes.
	OtherCauses bool
}

// trials is the state of trials that is not stored.
type trials struct {
	events eventLog[TrialEvent]
	// otherCauseAt is when a crash was last found to have another cause than a task;
	// zero if none was.
	otherCauseAt cowslipbend.Time
}

// TakeTrialEvents returns the events since its last call.
func (p *Planner) TakeTrialEvents() []TrialEvent { return p.trials.events.take() }

// hasOtherCauses reports whether hosts have lately crashed for other causes than a
// task.
func (p *Planner) hasOtherCauses(now cowslipbend.Time) bool {
	return p.trials.otherCauseAt > 0 && now.Sub(p.trials.otherCauseAt) < otherCausesRetention
}

// crashedRun is a run on a host that has crashed.
type crashedRun struct {
	ref  cowslipbend.RunRef
	age  cowslipbend.Span
	flow *flow
	task *task
}

// addCrashedRun appends a run of the age, unless its task or flow has ended or does without it.
func (p *Planner) addCrashedRun(runs []crashedRun, ref cowslipbend.RunRef, age cowslipbend.Span) []crashedRun {
	f := p.flows[ref.Task.Job]
	if f == nil || f.finalState != "" {
		return runs
	}
	if t := f.task(ref.Task); t != nil && t.phase == phasePlaced && t.holds(ref.Run) {
		runs = append(runs, crashedRun{ref, age, f, t})
	}
	return runs
}

// isolatorRuns returns the runs as the isolator takes them.
func isolatorRuns(crashed []crashedRun) []isolator.Run {
	runs := make([]isolator.Run, len(crashed))
	for i, c := range crashed {
		runs[i] = isolator.Run{Flow: c.ref.Task.Job, Age: c.age, Record: &c.task.crashes}
	}
	return runs
}

// recordCrash updates what is known of the tasks with runs on a host that has
// crashed, and returns those that are to be given up.
func (p *Planner) recordCrash(h *host, loss *cowslipbend.HostLoss, now cowslipbend.Time) []crashedRun {
	var crashed []crashedRun
	for i := range loss.Young {
		if l := &loss.Young[i]; h.runs[l.RunRef] != nil {
			crashed = p.addCrashedRun(crashed, l.RunRef, l.Age)
		}
	}
	tried := slices.ContainsFunc(crashed, func(c crashedRun) bool { return c.task.crashes.Suspect })
	found := isolator.Attribute(isolatorRuns(crashed))
	if !tried { // The crash of a trial says nothing of the other runs on that host.
		older := p.olderRuns(h, loss, now)
		crashed = append(crashed, older...)
		found = isolator.AttributeOlder(isolatorRuns(older)) || found
	}
	if !found && len(h.runs) > 0 {
		p.trials.otherCauseAt = now
	}
	otherCauses := p.hasOtherCauses(now)
	var lost []crashedRun
	for _, c := range crashed {
		c.task.crashes.Life = h.life
		p.markDirty(c.flow)
		e := TrialEvent{Task: c.ref.Task, Run: c.ref.Run, Outcome: TrialDue, Host: h.life, Record: c.task.crashes, OtherCauses: otherCauses}
		switch {
		case c.task.crashes.IsLost(otherCauses):
			e.Outcome = TrialFailed
			lost = append(lost, c)
		case !c.task.crashes.Suspect:
			continue
		}
		p.trials.events.add(e)
	}
	return lost
}

// hasRecorded reports whether an earlier owner has recorded the crash of the host.
func (p *Planner) hasRecorded(h *host) bool {
	for ref := range h.runs {
		if f := p.flows[ref.Task.Job]; f != nil {
			if t := f.task(ref.Task); t != nil && t.crashes.Life == h.life {
				return true
			}
		}
	}
	return false
}

// maxCrashAge is the greatest age at which a run is counted as one under which its host has
// crashed.
const maxCrashAge = 30 * cowslipbend.Second

// olderRuns returns the runs on a host that has crashed which are not young, if they are not
// too old to be the cause.
func (p *Planner) olderRuns(h *host, loss *cowslipbend.HostLoss, now cowslipbend.Time) []crashedRun {
	var older []crashedRun
	young := map[cowslipbend.RunRef]bool{}
	for i := range loss.Young {
		young[loss.Young[i].RunRef] = true
	}
	for ref, pl := range h.runs {
		if age := now.Sub(pl.confirmedAt); !young[ref] && pl.confirmedAt > 0 && age <= maxCrashAge {
			older = p.addCrashedRun(older, ref, age)
		}
	}
	return older
}

// checkSurvival clears a task once a run of it has worked for long enough.
func (p *Planner) checkSurvival(h *host, f *flow, t *task, ref cowslipbend.RunRef, pl *placement, listedAt, now cowslipbend.Time) {
	if t.crashes == (isolator.Record{}) || !t.holds(ref.Run) || pl.confirmedAt == 0 || listedAt.Sub(pl.confirmedAt) < t.crashes.Trial() {
		return
	}
	if t.crashes.Blamed > 0 {
		p.trials.otherCauseAt = now
	}
	if t.crashes.Suspect {
		p.trials.events.add(TrialEvent{Task: ref.Task, Run: ref.Run, Outcome: TrialPassed, Host: h.life, Record: t.crashes, OtherCauses: p.hasOtherCauses(now)})
	}
	t.crashes = isolator.Record{}
	h.endTrial(pl)
	p.markDirty(f)
}

// hostTrial is which flow a host is closed to others for, as it tries tasks that may
// crash it.
type hostTrial struct {
	flow cowslipbend.JobID
	// runs counts the runs that are tried. heldUntil is until when the host is kept
	// free for the first one; zero if it is not.
	runs      int
	heldUntil cowslipbend.Time
	// lastFlow is the flow of the newest start, at lastStartAt, and otherStartAt when a
	// run of another flow was last started.
	lastFlow                  cowslipbend.JobID
	lastStartAt, otherStartAt cowslipbend.Time
}

// isClosedTo reports whether the host tries a task of another flow, or is held for it.
func (t *hostTrial) isClosedTo(id cowslipbend.JobID) bool {
	return (t.runs > 0 || t.heldUntil > 0) && t.flow != id
}

// recordStart records that a run of the flow is started.
func (t *hostTrial) recordStart(id cowslipbend.JobID, now cowslipbend.Time) {
	if id != t.lastFlow {
		t.lastFlow, t.otherStartAt = id, t.lastStartAt
	}
	t.lastStartAt = now
}

// isQuiet reports whether no run of another flow has been started for trialQuiet.
func (t *hostTrial) isQuiet(id cowslipbend.JobID, now cowslipbend.Time) bool {
	at := t.lastStartAt
	if id == t.lastFlow {
		at = t.otherStartAt
	}
	return at == 0 || now.Sub(at) >= trialQuiet
}

// hold keeps the host free for a trial.
func (t *hostTrial) hold(id cowslipbend.JobID, now cowslipbend.Time) {
	t.flow, t.heldUntil = id, now.Add(trialHold)
}

// releaseHolds ends the holds that have lasted for long enough.
func (p *Planner) releaseHolds(now cowslipbend.Time) {
	for _, h := range p.hosts {
		if h.trial.heldUntil <= now {
			h.trial.heldUntil = 0
		}
	}
}

// beginTrial has the host take no runs of other flows until the run has ended or its
// task is cleared.
func (h *host) beginTrial(id cowslipbend.JobID, pl *placement) {
	if pl.tried || (h.trial.runs > 0 && h.trial.flow != id) {
		return
	}
	pl.tried, h.trial.flow, h.trial.heldUntil = true, id, 0
	h.trial.runs++
}

func (h *host) endTrial(pl *placement) {
	if pl.tried {
		pl.tried = false
		h.trial.runs--
	}
}

// chooseTrialHost returns the host on which to try a suspected task, or nil. One that
// tries tasks of the flow already comes first, then those with the fewest runs to lose.
// A host on which other flows have just started runs is held first.
func (p *Planner) chooseTrialHost(f *flow, hosts []*host, def *cowslipbend.Step, key stepKey, rack cowslipbend.Rack, minRate float64) *host {
	share := trialShare
	if minRate == 0 {
		share = 1 // The flow has waited too long beside free processors.
	}
	for _, h := range p.trialHosts(f.def.ID, hosts, share) {
		if p.chooseHost([]*host{h}, def, key, rack, minRate) == nil {
			continue
		}
		if h.trial.runs == 0 && !h.trial.isQuiet(f.def.ID, p.now) {
			if h.trial.heldUntil == 0 {
				h.trial.hold(f.def.ID, p.now)
			}
			return nil
		}
		return h
	}
	return nil
}

// trialHosts returns the hosts that may try tasks of the flow, the best first. At most
// the share of them tries tasks.
func (p *Planner) trialHosts(id cowslipbend.JobID, hosts []*host, share float64) []*host {
	var own, others []*host
	closed := 0
	for _, h := range hosts {
		switch {
		case h.trial.isClosedTo(id):
			closed++
		case h.trial.runs > 0 || h.trial.heldUntil > 0:
			own = append(own, h)
		default:
			others = append(others, h)
		}
	}
	if closed+len(own) >= max(int(share*float64(len(hosts))), 1) {
		return own
	}
	slices.SortStableFunc(others, func(a, b *host) int { return cmp.Compare(len(a.runs), len(b.runs)) })
	return append(own, others...)
}
