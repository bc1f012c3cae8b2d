package planner

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// Limits of the health of a host. They guard against runners that fail all runs
// fast and so attract ever more of them, and against runners whose tasks make
// no progress while their heartbeats continue.
const (
	// minFailureStreak is the number of consecutive failed runs, of at least
	// two flows, after which a host is banned. It exceeds one as some tasks
	// fail on sound hosts too.
	minFailureStreak = 3
	// firstBan is the length of the first ban. It doubles with each further
	// failure up to maxBan.
	firstBan = 2 * cowslipbend.Second
	maxBan   = 16 * cowslipbend.Second
	// failureMemory is the time after which a failure no longer counts as one before the
	// next.
	failureMemory = cowslipbend.Minute
	// soundWorkSpan is how long a lasting run has to work to show that its host does not
	// fail all runs. Such runs do not end as done.
	soundWorkSpan = 2 * cowslipbend.Second
	// stallTimeout is the time without progress after which a run counts as
	// stalled: three reports, in which a task of two seconds advances by half.
	stallTimeout = 1500 * cowslipbend.Millisecond
	// maxListAge is the age up to which the lists of a report show whether runs
	// make progress.
	maxListAge = 1200 * cowslipbend.Millisecond
	// stallBan is the length of the ban of a host after a stalled run.
	stallBan = 2 * cowslipbend.Second
)

// BanEvent tells that a host gets no new runs for some time.
type BanEvent struct {
	Host cowslipbend.Incarnation
	For  cowslipbend.Span
	// Failures counts the consecutive failed runs; zero if a run was stalled, or if Flapping
	// is set as the runner goes down and up by turns.
	Failures int
	Flapping bool
	// Flow is that of the last such run.
	Flow cowslipbend.JobID
}

// TakeBanEvents returns the events since its last call.
func (p *Planner) TakeBanEvents() []BanEvent { return p.bans.take() }

// health tracks the outcomes of the runs of a host.
type health struct {
	// failures counts consecutive failures. firstFailedFlow is the flow of the
	// first of them, and severalFlows is set once another flow has failed too.
	// banSpan is the length of the last ban for failures.
	failures        int
	firstFailedFlow cowslipbend.JobID
	severalFlows    bool
	// firstFailedAt and lastFailedAt are the times of the first and last of them.
	firstFailedAt, lastFailedAt cowslipbend.Time
	banSpan                     cowslipbend.Span
	bannedUntil                 cowslipbend.Time
	// restUntil is until when a banned host gets no further runs, if it gets any.
	restUntil cowslipbend.Time
}

// banned reports whether the host gets no new runs unless other hosts are lacking.
func (h *health) banned(now cowslipbend.Time) bool { return now < h.bannedUntil }

// recordEnd updates the health from the end of a run. Ends that say nothing
// about the host change nothing.
func (h *health) recordEnd(ref cowslipbend.RunRef, kind cowslipbend.EndKind, now cowslipbend.Time) {
	switch kind {
	case cowslipbend.EndDone:
		*h = health{}
	case cowslipbend.EndFailed:
		if h.failures > 0 && now.Sub(h.lastFailedAt) > failureMemory {
			*h = health{bannedUntil: h.bannedUntil}
		}
		h.lastFailedAt = now
		if h.failures++; h.failures == 1 {
			h.firstFailedFlow, h.firstFailedAt = ref.Task.Job, now
		}
		h.severalFlows = h.severalFlows || ref.Task.Job != h.firstFailedFlow
		if h.failures >= minFailureStreak && h.severalFlows {
			h.banSpan = min(max(2*h.banSpan, firstBan), maxBan)
			h.bannedUntil = now.Add(h.banSpan)
		}
	case cowslipbend.EndStopped, cowslipbend.EndLapsed, cowslipbend.EndBroken, cowslipbend.EndAlone:
	}
}

// updateHealth updates the health of the host from the end of a run. Failures
// of a flow that has failed on several hosts are attributed to the flow, and those of
// a lasting run that has worked to the run.
func (p *Planner) updateHealth(h *host, e *cowslipbend.RunEnd, now cowslipbend.Time) {
	f := p.flows[e.Task.Job]
	if f == nil {
		return
	}
	switch e.Kind {
	case cowslipbend.EndDone:
		f.failedHosts = nil
	case cowslipbend.EndFailed:
		pl := h.runs[e.RunRef]
		if pl != nil && pl.hasWorked(now) {
			return
		}
		if t := f.task(e.Task); t != nil && pl != nil && pl.def != nil && pl.def.Lasting {
			t.failedOn = h.life
		}
		if f.failedHosts == nil {
			f.failedHosts = map[cowslipbend.Incarnation]bool{}
		}
		if f.failedHosts[h.life] = true; len(f.failedHosts) > 1 {
			return
		}
	case cowslipbend.EndStopped, cowslipbend.EndLapsed, cowslipbend.EndBroken, cowslipbend.EndAlone:
	}
	bannedUntil := h.health.bannedUntil
	if h.health.recordEnd(e.RunRef, e.Kind, now); h.health.bannedUntil > bannedUntil {
		p.bans.add(BanEvent{Host: h.life, For: h.health.banSpan, Failures: h.health.failures, Flow: e.Task.Job})
	}
}

// hasWorked reports whether a lasting run has worked for soundWorkSpan.
func (pl *placement) hasWorked(now cowslipbend.Time) bool {
	return pl.workingSince > 0 && now.Sub(pl.workingSince) >= soundWorkSpan
}

// recordWork updates the health of the host from the work of a lasting run of the flow,
// which may be nil. A run that began before the failures does not show that the host still
// starts runs well.
func (h *host) recordWork(f *flow, pl *placement, now cowslipbend.Time) {
	if pl.def == nil || !pl.def.Lasting || pl.percent == 0 {
		pl.workingSince = 0
		return
	}
	if pl.workingSince == 0 {
		pl.workingSince = now
	}
	if !pl.hasWorked(now) {
		return
	}
	if f != nil {
		f.failedHosts = nil
	}
	if h.health.failures > 0 && !pl.inherited && pl.confirmedAt > h.health.firstFailedAt {
		h.health = health{}
	}
}

// bannedStartInterval is the time between two decisions that place runs on a banned
// host.
const bannedStartInterval = 500 * cowslipbend.Millisecond

// admitBanned divides the banned hosts of a service into those that get new runs all the
// same and the others. At most half of the hosts of a service are left out: if more of
// them fail runs, the hosts are hardly the cause. Those with the fewest failures are
// admitted first.
func admitBanned(banned []*host, usable int, now cowslipbend.Time) (admitted, others []*host) {
	slices.SortFunc(banned, func(a, b *host) int {
		return cmp.Or(cmp.Compare(a.health.failures, b.health.failures), cmp.Compare(a.health.bannedUntil, b.health.bannedUntil), cmp.Compare(a.life, b.life))
	})
	count := max(len(banned)-(len(banned)+usable)/2, 0)
	for i, h := range banned {
		switch {
		case now < h.health.restUntil:
		case i < count:
			admitted = append(admitted, h)
		default:
			others = append(others, h)
		}
	}
	return admitted, others
}

// withBanned adds banned hosts to the usable ones if none of these may run a task of the
// step. A lasting task, which may fail any number of times, does not wait for room on
// them either.
func (p *Planner) withBanned(f *flow, def *cowslipbend.Step, key stepKey, hosts []*host, now cowslipbend.Time) []*host {
	banned := p.banned[p.policy(f).Service]
	if len(banned) == 0 {
		return hosts
	}
	allowed, _ := p.advisedHosts(f, key, hosts, now)
	for _, h := range allowed {
		if h.couldRun(def, key) && (!def.Lasting || h.fits(def, key)) {
			return hosts
		}
	}
	return slices.Concat(hosts, banned)
}

// couldRun reports whether the host could run a task of the step if nothing else ran
// there.
func (h *host) couldRun(def *cowslipbend.Step, key stepKey) bool {
	switch h.misfit(def, key) {
	case DelayLabel, DelaySpread, DelaySlow:
		return false
	}
	return def.Reserved().Fits(h.spec.Size)
}

// updateProgress records the progress of a run, and reports whether the run is
// stalled.
func (pl *placement) updateProgress(percent int, now cowslipbend.Time) bool {
	if percent != pl.percent || pl.progressedAt == 0 {
		pl.progressedAt = now
	}
	if pl.def == nil || pl.def.Fills || pl.def.Lasting || pl.def.Gang {
		return false // Paced runs and waiting gang members may rightly make no progress.
	}
	return now.Sub(pl.progressedAt) >= stallTimeout
}

// handleStall bans the host of a stalled run, and moves the run if little would
// be lost.
func (p *Planner) handleStall(h *host, ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) {
	if !h.health.banned(now) {
		p.bans.add(BanEvent{Host: h.life, For: stallBan, Flow: ref.Task.Job})
	}
	h.health.bannedUntil = max(h.health.bannedUntil, now.Add(stallBan))
	if (pl.def.SavesCheckpoints || pl.percent <= maxStalledPercent) && !p.isBound(ref.Task, now) {
		p.startMove(pl)
	}
}

// maxStalledPercent is the progress up to which a stalled run without
// checkpoints is restarted on another host.
const maxStalledPercent = 70
