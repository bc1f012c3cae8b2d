package planner

import (
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/speculator"
)

// Limits of moves of runs that stand out.
const (
	// maxMovedRuns is the number of runs of a task, failed ones not counted, from
	// which the last one stays where it is: the task itself may take longer than
	// the others of its step.
	maxMovedRuns = 3
	// maxOutlierMoves limits the moves of one check, so that moved tasks don't all
	// wait for the same room.
	maxOutlierMoves = 2
)

// mayMove reports whether a run of the task may be stopped as it stands out. Run
// numbers are stored, so that the bound holds across owners.
func (t *task) mayMove(now cowslipbend.Time) bool {
	return int(t.run)-t.failures < maxMovedRuns && !t.isBound(now)
}

// moveOutliers stops runs that stand out and may have no copy, if their tasks are
// likely to end earlier on another host that has room. A run without a checkpoint
// starts from nothing there. If no host has room, the task may start again on the
// same one, unless that may be the cause: slow runs hold processors that waiting
// tasks need.
func (p *Planner) moveOutliers(found *speculation, hosts []*host, now cowslipbend.Time) {
	p.sortOutliers(found.moving)
	moves := 0
	for i := range found.moving {
		o := &found.moving[i]
		if moves >= maxOutlierMoves {
			return
		}
		saved := o.run.progress.savedPercent
		if !o.typical.MoveGains(o.seen, saved, 1) {
			continue
		}
		allowed, _ := p.advisedHosts(o.flow, keyOf(o.ref.Task), hosts, now)
		h := p.otherHost(o, allowed)
		if h == nil && slices.Contains(allowed, o.host) && o.host.grade.isSound() {
			h = o.host // Its place is free again once the run has been stopped.
		}
		if h == nil || !o.typical.MoveGains(o.seen, saved, h.grade.speed()) {
			continue
		}
		p.startMove(o.run)
		o.step.tasks[o.index].moved = true
		moves++
		p.addCopyEvent(CopyEvent{
			Task: o.ref.Task, Run: o.ref.Run, Outcome: CopyMoved, Host: h.life, OtherHost: o.host.life, Percent: o.seen.Percent, Typical: o.typical.Length,
		})
	}
}

// recordMoved records that a task that had been moved is done, if its last run did
// not stand out again.
func (p *Planner) recordMoved(f *flow, t *task, pl *placement) {
	if t.moved && !pl.standsOut {
		p.recordOf(f).Add(true, p.now)
	}
}

// slowedMoveGains reports whether a filling run that is slowed would end earlier on
// the other host.
func (p *Planner) slowedMoveGains(ref cowslipbend.RunRef, pl *placement, other *host) bool {
	f := p.flows[ref.Task.Job]
	if f == nil || f.task(ref.Task) == nil {
		return false
	}
	rate := float64(pl.tailOrCPU) / float64(max(pl.def.Size.CPU, 1))
	return speculator.SlowedMoveGains(pl.percent, pl.progress.savedPercent, rate, other.grade.speed())
}
