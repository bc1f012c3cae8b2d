package planner

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// carryRuns moves the runs that a new incarnation of a runner lists from the earlier
// one. A start that was on its way when the runner restarted reaches the new
// incarnation, which has the same address and id; its run must not count as ended with
// the earlier one. If the list of ends is not complete, that holds for all starts that
// were not confirmed.
func (p *Planner) carryRuns(a *agent, r *cowslipbend.HostReport) {
	old := p.hosts[a.runnerLife]
	if old == nil || old.life == r.Host.Life {
		return
	}
	for i := range r.Running {
		p.carryRun(old, r.Running[i].RunRef, r.Host.Life)
	}
	for i := range r.Ends {
		p.carryRun(old, r.Ends[i].RunRef, r.Host.Life)
	}
	if r.MoreEnds {
		for ref, pl := range old.runs {
			if !pl.confirmed {
				p.carryRun(old, ref, r.Host.Life)
			}
		}
	}
	if h := p.hosts[r.Host.Life]; h != nil {
		// The agent renews the leases of these runs until the one that it has ends.
		h.leaseEnd = max(h.leaseEnd, old.leaseEnd)
	}
}

func (p *Planner) carryRun(old *host, ref cowslipbend.RunRef, life cowslipbend.Incarnation) {
	pl := old.runs[ref]
	if pl == nil {
		return
	}
	if p.hosts[life] == nil {
		p.hosts[life] = newHost(life)
	}
	tried := pl.tried
	old.removeRun(ref)
	carried := p.hosts[life].addRun(ref, pl.def)
	carried.orderedAt, carried.confirmed, carried.inherited, carried.moving = pl.orderedAt, pl.confirmed, pl.inherited, pl.moving
	if tried {
		p.hosts[life].beginTrial(ref.Task.Job, carried)
	}
	f := p.flows[ref.Task.Job]
	if f == nil {
		return
	}
	if t := f.task(ref.Task); t != nil && t.phase == phasePlaced && t.holds(ref.Run) {
		if ref.Run == t.other.run {
			t.other.host = life
		} else {
			t.host = life
		}
		p.markDirty(f)
	}
}

// sortedEnds returns the ends in the order of their numbers. An end is skipped once one
// of a higher number has been applied.
func sortedEnds(ends []cowslipbend.RunEnd) []cowslipbend.RunEnd {
	byNumber := func(a, b cowslipbend.RunEnd) int { return cmp.Compare(a.Number, b.Number) }
	if slices.IsSortedFunc(ends, byNumber) {
		return ends
	}
	return slices.SortedFunc(slices.Values(ends), byNumber)
}
