package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
)

// isStale reports whether the agent wrote the report before it knew this owner. The report
// may have been held for any time, and there are no later ones by which to tell.
func (p *Planner) isStale(r *cowslipbend.HostReport) bool {
	return r.Epoch != nil && *r.Epoch < p.epoch
}

// ApplyReport processes the report of an agent. The time now is on the clock of
// this process.
func (p *Planner) ApplyReport(r *cowslipbend.HostReport, now cowslipbend.Time) {
	if p.isStale(r) {
		return
	}
	a := p.reportingAgent(r, now)
	if a == nil {
		return
	}
	if r.BriefFor != "" {
		if h := p.hosts[r.BriefFor]; h != nil && a.runnerLife == r.BriefFor {
			p.applyResults(h, r, now)
		}
		return
	}
	newer := r.Number > a.lastReportNumber
	a.lastReportNumber = max(a.lastReportNumber, r.Number)
	if r.Host == nil {
		if h := p.hosts[r.LostLife]; newer && h != nil {
			p.loseHost(h, r, now)
		}
		return
	}
	if newer && (a.runnerLife != r.Host.Life || p.hosts[r.Host.Life] == nil) {
		p.carryRuns(a, r)
		p.replaceHost(a, r, now)
	}
	h := p.hosts[r.Host.Life]
	if h == nil || a.runnerLife != r.Host.Life {
		return
	}
	p.applyResults(h, r, now)
	if newer {
		p.updateHost(h, r, now)
	}
}

// updateHost updates the host from its newest report.
func (p *Planner) updateHost(h *host, r *cowslipbend.HostReport, now cowslipbend.Time) {
	h.excuseSilence(now)
	h.url, h.spec, h.reported, h.lost, h.lastReportAt = r.URL, *r.Host, true, false, now
	h.fenced = r.Fence == p.epoch
	h.coldUntil = now.Add(r.Host.ColdRemaining)
	p.applyLists(h, r, now)
	if now.Sub(h.observedAt) >= observeInterval {
		h.observedAt = now
		p.estimator.Observe(h.estimatorSample(now.Add(-r.ListAge)))
		h.forgetHeadroom()
	}
}

// ApplyAnswer processes the report in the answer of an agent to a call that was sent at
// the time.
func (p *Planner) ApplyAnswer(r *cowslipbend.HostReport, sentAt, now cowslipbend.Time) {
	if a := p.agents[r.URL]; a != nil && a.life != r.Agent && sentAt > a.foundAt {
		p.addAgent(r, now)
	}
	p.ApplyReport(r, now)
}

// reportingAgent returns the agent that sent the report, or nil if another incarnation of
// it is known. Either of the two may be the later one, as reports may be held for any time;
// the answer to a call shows which one it is.
func (p *Planner) reportingAgent(r *cowslipbend.HostReport, now cowslipbend.Time) *agent {
	a := p.agents[r.URL]
	switch {
	case a == nil || a.life == "":
		return p.addAgent(r, now)
	case a.life != r.Agent:
		a.doubted = true
		return nil
	}
	a.heardAt = now
	return a
}

// askInterval is the time between two calls that ask an agent which incarnation it is.
const askInterval = 500 * cowslipbend.Millisecond

// askAgents appends the calls to agents of which another incarnation has reported.
func (p *Planner) askAgents(list []AgentOrders) []AgentOrders {
	for _, a := range p.agents {
		if a.doubted && p.now >= a.askAgainAt {
			a.doubted, a.askAgainAt = false, p.now.Add(askInterval)
			list = append(list, AgentOrders{URL: a.url, Orders: cowslipbend.HostOrders{Epoch: p.epoch}})
		}
	}
	return list
}

// observeInterval is the time between two observations of the tail latencies of
// a host, which are measured over the last half second.
const observeInterval = 450 * cowslipbend.Millisecond

// estimatorSample returns the filling and serving runs of the host as the
// estimator takes them.
func (h *host) estimatorSample(at cowslipbend.Time) estimator.Sample {
	s := estimator.Sample{Host: string(h.life), At: at}
	used := map[string]float64{}
	for ref, pl := range h.runs {
		switch {
		case pl.def == nil || !pl.confirmed:
		case pl.def.Fills:
			used[pl.def.Image] += h.cpuShare(cowslipbend.Millicores(pl.tailOrCPU))
		case pl.def.TailTarget > 0 && pl.percent == 100:
			s.Serving = append(s.Serving, estimator.Serving{
				Image: pl.def.Image, Group: string(ref.Task.Job), Tail: float64(pl.tailOrCPU), Target: float64(pl.def.TailTarget),
			})
		}
	}
	s.Filling = estimator.Fillings(used)
	return s
}

// cpuShare returns the processors as a share of those of the host.
func (h *host) cpuShare(cpu cowslipbend.Millicores) float64 {
	return float64(cpu) / float64(max(h.spec.Size.CPU, 1))
}

// replaceHost sets a new incarnation of the runner of an agent. All runs of the
// old one have ended.
func (p *Planner) replaceHost(a *agent, r *cowslipbend.HostReport, now cowslipbend.Time) {
	life := r.Host.Life
	if old := p.hosts[a.runnerLife]; old != nil && old.life != life {
		p.loseHost(old, r, now)
	}
	a.runnerLife, a.knowsRuns = life, false
	p.dirtyAgents[a.url] = true
	h := p.hosts[life]
	if h == nil {
		h = newHost(life)
		p.hosts[life] = h
	}
	if a.flaps.isFlapping(now) {
		p.banFlapping(h, now)
	}
	// Calls that were meant for an earlier incarnation may have reached this one before it was
	// reported, with deadlines that lie far ahead on its clock.
	h.leaseEnd = max(h.leaseEnd, now.Add(withDrift(max(p.opts.MaxLease, p.opts.MaxRunnerLease))))
}

// withDrift returns the longest time that a lease takes on the clock of a runner.
func withDrift(lease cowslipbend.Span) cowslipbend.Span {
	return lease + lease/driftDivisor + leaseSlack
}

// removeHost removes a host and ends all its runs.
func (p *Planner) removeHost(h *host) {
	for ref := range h.runs {
		p.lapseRun(h, ref)
	}
	delete(p.hosts, h.life)
	p.estimator.ForgetHost(string(h.life))
	p.forgetHostAdvice(h.life)
	p.forgetGrade(h)
}

// lapseRun ends a run of which nothing is left on the host.
func (p *Planner) lapseRun(h *host, ref cowslipbend.RunRef) {
	h.removeRun(ref)
	p.endRun(ref, cowslipbend.EndLapsed, "")
}

// applyLists updates the host from the lists of running and ended runs in a
// report.
func (p *Planner) applyLists(h *host, r *cowslipbend.HostReport, now cowslipbend.Time) {
	listed := make(map[cowslipbend.RunRef]bool, len(r.Running)+len(r.Ends))
	for i := range r.Running {
		s := &r.Running[i]
		listed[s.RunRef] = true
		p.applyRunning(h, s, r.ListAge <= maxListAge, now.Add(-r.ListAge), now)
	}
	p.recordProgress(h, r, now)
	ends := sortedEnds(r.Ends)
	for i := range ends {
		e := &ends[i]
		listed[e.RunRef] = true
		if e.Number <= h.appliedThrough {
			continue
		}
		h.appliedThrough = e.Number
		p.updateHealth(h, e, now)
		p.trackEnd(e, h.runs[e.RunRef], now.Add(-r.ListAge))
		p.recordLength(h, e, now.Add(-r.ListAge))
		h.removeRun(e.RunRef)
		p.endRun(e.RunRef, e.Kind, e.Checkpoint)
	}
	missing := MissingEvent{Host: h.life, URL: h.url, Listed: len(listed)}
	for ref, pl := range h.runs {
		switch {
		case listed[ref]:
		case r.MoreEnds:
			pl.missingSince = 0 // It may have ended, and the list does not tell how.
		case p.endMissing(h, ref, pl, now):
			missing.Runs++
			if pl.inherited {
				missing.Inherited++
			}
		}
	}
	if missing.Runs > 0 {
		p.missing.add(missing)
	}
}

// applyRunning updates a run that the host lists as running. Lists that are not
// fresh do not show whether it stalls.
func (p *Planner) applyRunning(h *host, s *cowslipbend.RunState, fresh bool, listedAt, now cowslipbend.Time) {
	f := p.flows[s.Task.Job]
	var t *task
	if f != nil {
		t = f.task(s.Task)
	}
	pl := h.runs[s.RunRef]
	if pl == nil {
		def := p.withheldStep(s.Task)
		if t != nil {
			def = f.step(s.Task).def
		}
		pl = h.addRun(s.RunRef, def)
	}
	if stalled := pl.updateProgress(s.Percent, now); stalled && fresh && !pl.moving {
		p.handleStall(h, s.RunRef, pl, now)
	}
	pl.missingSince, pl.percent, pl.tailOrCPU = 0, s.Percent, s.TailOrCPU
	h.updateDemand(pl, cowslipbend.Millicores(s.TailOrCPU))
	pl.updateSlow(now)
	h.recordWork(f, pl, now)
	if t == nil {
		return
	}
	p.takeBack(f, t, h, s.RunRef, pl, now)
	if pl.hasWorked(now) {
		t.failedOn = ""
	}
	if !pl.confirmed || pl.confirmedAt == 0 {
		p.confirmStart(s.RunRef, pl, now)
	}
	p.checkSurvival(h, f, t, s.RunRef, pl, listedAt, now)
	p.trackProgress(f, s, pl, listedAt)
	if t.phase == phasePlaced && s.Checkpoint != "" && p.isAhead(t, s) {
		if s.Checkpoint != t.checkpoint {
			pl.savedAt = now
		}
		t.checkpoint = s.Checkpoint
	}
}

// takeBack places the task on a host that lists a run of it if it waits: the run was given up, and
// its start was carried out later.
func (p *Planner) takeBack(f *flow, t *task, h *host, ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) {
	if t.phase != phaseWaiting || ref.Run > t.run || pl.def == nil || pl.def.Gang {
		return
	}
	t.phase = phasePlaced
	if ref.Run == t.run {
		t.host, t.placedAt = h.life, now
	} else {
		t.other = otherRun{run: ref.Run, host: h.life, placedAt: now}
	}
	if t.crashes.Suspect {
		h.beginTrial(f.def.ID, pl)
	}
	f.updateCounts()
	p.markDirty(f)
}

// confirmStart records that a run has started.
func (p *Planner) confirmStart(ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) {
	if pl.confirmed = true; pl.confirmedAt == 0 {
		pl.confirmedAt = now
	}
	if f := p.flows[ref.Task.Job]; f != nil && !f.begun {
		f.begun = true
		p.markDirty(f)
	}
}

// endMissing ends a run that the complete lists of the host lack if it has been missing
// for too long, or if it is inherited and the runner refuses the earlier owners. It
// reports whether it has.
func (p *Planner) endMissing(h *host, ref cowslipbend.RunRef, pl *placement, now cowslipbend.Time) bool {
	if pl.confirmed && pl.missingSince == 0 {
		pl.missingSince = now
	}
	fenced := pl.inherited && h.fenced
	timedOut := pl.confirmed && now.Sub(pl.missingSince) > missingTimeout
	if !fenced && !timedOut {
		return false
	}
	p.lapseRun(h, ref)
	return true
}

func (p *Planner) applyResults(h *host, r *cowslipbend.HostReport, now cowslipbend.Time) {
	for _, res := range r.Results {
		p.applyResult(h, res, now)
	}
}

// applyResult applies the result of an order.
func (p *Planner) applyResult(h *host, res cowslipbend.RunResult, now cowslipbend.Time) {
	pl := h.runs[res.RunRef]
	if pl == nil {
		return
	}
	switch res.Kind {
	case cowslipbend.Started:
		p.confirmStart(res.RunRef, pl, now)
		p.trackStart(res.RunRef, pl, now)
		p.beginProgress(res.RunRef, pl, now)
	case cowslipbend.Refused:
		h.backoffUntil = now.Add(placementBackoff)
		fallthrough
	case cowslipbend.Absent:
		p.lapseRun(h, res.RunRef)
	}
}

// Reply returns the reply to a report: the lease, and the number up to which
// the ends of runs are committed.
func (p *Planner) Reply(r *cowslipbend.HostReport, now cowslipbend.Time) cowslipbend.ReportReply {
	reply := cowslipbend.ReportReply{Epoch: p.epoch, Process: p.processOf(r)}
	if r.Host == nil || p.isStale(r) {
		return reply
	}
	reply.Life = r.Host.Life
	if h := p.hosts[r.Host.Life]; h != nil && h.reported {
		reply.LeaseGrant, reply.AckedThrough = p.opts.MaxLease, h.ackedThrough
		reply.Pairs = p.changedPairs(r, h)
		reply.PairsVersion = p.estimator.Version()
		h.leaseEnd = max(h.leaseEnd, now.Add(withDrift(p.opts.MaxLease)))
		if p.agentOf(r) != nil && r.Number > h.grant.report {
			h.grant = grant{report: r.Number, at: now}
		}
	}
	return reply
}

// processOf returns the number of the agent that sent the report, or zero if it is not known
// to be the latest one at its address.
func (p *Planner) processOf(r *cowslipbend.HostReport) *int64 {
	number := int64(0)
	if a := p.agentOf(r); a != nil {
		number = a.process
	}
	return &number
}

// agentOf returns the agent that sent the report, or nil if it is not known to be the latest one
// at its address.
func (p *Planner) agentOf(r *cowslipbend.HostReport) *agent {
	if a := p.agents[r.URL]; a != nil && a.life == r.Agent {
		return a
	}
	return nil
}

// changedPairs returns the estimates for the serving images of the host that the
// reporting agent lacks: for images that are new on its host all of them, and for
// others those that have changed since the version that it has.
func (p *Planner) changedPairs(r *cowslipbend.HostReport, h *host) []cowslipbend.ImagePair {
	a := p.agentOf(r)
	if a == nil {
		return nil
	}
	known := r.PairsVersion
	if r.PairsEpoch != p.epoch {
		known = 0
	}
	for image := range a.pairsSentAt {
		if h.servingCountOf(image) == 0 {
			delete(a.pairsSentAt, image)
		}
	}
	var list []cowslipbend.ImagePair
	for i := range h.servingImages {
		image, since := h.servingImages[i].image, known
		switch sentAt, sent := a.pairsSentAt[image]; {
		case !sent:
			if a.pairsSentAt == nil {
				a.pairsSentAt = map[string]int64{}
			}
			// A later report that has this version confirms that the reply arrived.
			a.pairsSentAt[image] = p.estimator.AdvanceVersion()
			since = 0
		case known < sentAt:
			since = 0
		}
		list = append(list, p.estimator.PairsSince(image, since)...)
	}
	return list
}

// ExpireLeases ends the runs of hosts whose lease has certainly ended.
func (p *Planner) ExpireLeases(now cowslipbend.Time) {
	for _, h := range p.hosts {
		if h.leaseEnd <= now && (len(h.runs) > 0 || now.Sub(h.lastReportAt) > p.opts.MaxPriorLease) && now.Sub(h.lastReportAt) > reportTimeout {
			if !h.lost {
				p.addLossEvent(h, &cowslipbend.HostLoss{Life: h.life, Cause: cowslipbend.LossLapsed})
			}
			p.removeHost(h)
		}
	}
}

// RevertUnsent reverts orders of which nothing was sent.
func (p *Planner) RevertUnsent(o *cowslipbend.HostOrders, now cowslipbend.Time) {
	h := p.hosts[o.Life]
	if h == nil {
		return
	}
	h.backoffUntil = now.Add(placementBackoff)
	for i := range o.Starts {
		p.applyResult(h, cowslipbend.RunResult{RunRef: o.Starts[i].RunRef, Kind: cowslipbend.Absent}, now)
	}
	for _, ref := range o.Stops {
		if pl := h.runs[ref]; pl != nil {
			pl.stopOrderedAt = now
		}
	}
}

// Pairs returns all estimates for pairs of images.
func (p *Planner) Pairs() []cowslipbend.ImagePair {
	return p.estimator.Pairs(func(string) bool { return true })
}

// RestoreInterference adds the estimates for pairs of images that earlier owners have
// learned, as encoded by TakeInterference, and returns their number.
func (p *Planner) RestoreInterference(data []byte) (int, error) {
	return p.estimator.RestoreRow(data)
}

// TakeInterference returns the encoded estimates for pairs of images, or nil if none
// has changed since its last call.
func (p *Planner) TakeInterference() ([]byte, error) {
	if p.estimator.Version() == p.interferenceTaken {
		return nil, nil
	}
	p.interferenceTaken = p.estimator.Version()
	return p.estimator.EncodeRow(p.opts.MaxRow)
}
