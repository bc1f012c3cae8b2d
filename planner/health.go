package planner

import (
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
	// stallTimeout is the time without progress after which a run counts as
	// stalled: three reports, in which a task of two seconds advances by half.
	stallTimeout = 1500 * cowslipbend.Millisecond
	// maxListAge is the age up to which the lists of a report show whether runs
	// make progress.
	maxListAge = 1200 * cowslipbend.Millisecond
	// stallBan is the length of the ban of a host after a stalled run.
	stallBan = 2 * cowslipbend.Second
)

// health tracks the outcomes of the runs of a host.
type health struct {
	// failures counts consecutive failures. firstFailedFlow is the flow of the
	// first of them, and severalFlows is set once another flow has failed too.
	// banSpan is the length of the last ban for failures.
	failures        int
	firstFailedFlow cowslipbend.JobID
	severalFlows    bool
	banSpan         cowslipbend.Span
	bannedUntil     cowslipbend.Time
}

// banned reports whether the host gets no new runs.
func (h *health) banned(now cowslipbend.Time) bool { return now < h.bannedUntil }

// recordEnd updates the health from the end of a run. Ends that say nothing
// about the host change nothing.
func (h *health) recordEnd(ref cowslipbend.RunRef, kind cowslipbend.EndKind, now cowslipbend.Time) {
	switch kind {
	case cowslipbend.EndDone:
		*h = health{}
	case cowslipbend.EndFailed:
		if h.failures++; h.failures == 1 {
			h.firstFailedFlow = ref.Task.Job
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
// of a flow that has failed on several hosts are attributed to the flow.
func (p *Planner) updateHealth(h *host, e *cowslipbend.RunEnd, now cowslipbend.Time) {
	f := p.flows[e.Task.Job]
	if f == nil {
		return
	}
	if e.Kind == cowslipbend.EndFailed {
		if f.failedHosts == nil {
			f.failedHosts = map[cowslipbend.Incarnation]bool{}
		}
		f.failedHosts[h.life] = true
		if len(f.failedHosts) > 1 {
			return
		}
	}
	h.health.recordEnd(e.RunRef, e.Kind, now)
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
func (p *Planner) handleStall(h *host, pl *placement, now cowslipbend.Time) {
	h.health.bannedUntil = max(h.health.bannedUntil, now.Add(stallBan))
	if pl.def.SavesCheckpoints || pl.percent <= maxStalledPercent {
		p.startMove(pl)
	}
}

// maxStalledPercent is the progress up to which a stalled run without
// checkpoints is restarted on another host.
const maxStalledPercent = 70
