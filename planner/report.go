package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
)

// Report takes what an agent tells. The moment is on this process' clock.
func (p *Planner) Report(r *cowslipbend.HostReport, now cowslipbend.Time) {
	a := p.agent(r)
	if a == nil {
		return
	}
	newer := r.Number > a.number
	a.number = max(a.number, r.Number)
	if r.Host == nil {
		if h := p.hosts[r.LostLife]; newer && h != nil {
			p.lose(h)
		}
		return
	}
	if newer && (a.host != r.Host.Life || p.hosts[r.Host.Life] == nil) {
		p.replace(a, r.Host.Life)
	}
	h := p.hosts[r.Host.Life]
	if h == nil || a.host != r.Host.Life {
		return
	}
	for _, res := range r.Results {
		p.result(h, res, now)
	}
	if newer {
		h.url, h.spec, h.known, h.seen = r.URL, *r.Host, true, now
		h.fenced = r.Fence == p.epoch
		p.lists(h, r, now)
		if now.Sub(h.observed) >= observeEvery {
			h.observed = now
			p.blame.Observe(h.scene())
		}
	}
}

// agent returns the agent of a report, or nil if a later life of it has
// reported already.
func (p *Planner) agent(r *cowslipbend.HostReport) *agent {
	old := p.agents[r.URL]
	switch {
	case old != nil && old.life == r.Agent:
		return old
	case old != nil && old.retired[r.Agent]:
		return nil
	}
	a := &agent{url: r.URL, life: r.Agent, retired: map[cowslipbend.Incarnation]bool{}}
	if old != nil {
		a.host, a.retired = old.host, old.retired
		a.retired[old.life] = true
	}
	p.joined = p.joined || old == nil
	p.agents[r.URL] = a
	return a
}

// observeEvery is the time between two looks at a host's tails, which are
// figures of the last half second.
const observeEvery = 450 * cowslipbend.Millisecond

// scene returns what fills and serves on the host.
func (h *host) scene() estimator.Sample {
	s := estimator.Sample{Host: string(h.life)}
	used := map[string]float64{}
	for ref, pl := range h.runs {
		switch {
		case pl.def == nil || !pl.confirmed:
		case pl.def.Fills:
			used[pl.def.Image] += h.share(cowslipbend.Millicores(pl.tail))
		case pl.def.TailTarget > 0 && pl.percent == 100:
			s.Serving = append(s.Serving, estimator.Serving{
				Image: pl.def.Image, Group: string(ref.Task.Job), Tail: float64(pl.tail), Target: float64(pl.def.TailTarget),
			})
		}
	}
	s.Filling = estimator.Fillings(used)
	return s
}

// share returns the part of the host's processors.
func (h *host) share(cpu cowslipbend.Millicores) float64 {
	return float64(cpu) / float64(max(h.spec.Size.CPU, 1))
}

// replace notes that the agent's runner has a new life: nothing of the old one
// runs any more.
func (p *Planner) replace(a *agent, life cowslipbend.Incarnation) {
	if old := p.hosts[a.host]; old != nil {
		p.lose(old)
	}
	a.host, a.told, p.joined = life, false, true
	if p.hosts[life] == nil {
		p.hosts[life] = newHost(life)
	}
}

// lose ends all runs of a host that has gone.
func (p *Planner) lose(h *host) {
	for ref := range h.runs {
		h.drop(ref)
		p.end(ref, cowslipbend.EndLapsed, "")
	}
	delete(p.hosts, h.life)
	p.blame.ForgetHost(string(h.life))
}

// lists compares what a host tells with what is known of it.
func (p *Planner) lists(h *host, r *cowslipbend.HostReport, now cowslipbend.Time) {
	there := make(map[cowslipbend.RunRef]bool, len(r.Running)+len(r.Ends))
	for i := range r.Running {
		s := &r.Running[i]
		there[s.RunRef] = true
		p.running(h, s, r.ListAge <= freshTime, now)
	}
	for i := range r.Ends {
		e := &r.Ends[i]
		there[e.RunRef] = true
		if e.Number <= h.ends {
			continue
		}
		h.ends = e.Number
		p.blames(h, e, now)
		h.drop(e.RunRef)
		p.end(e.RunRef, e.Kind, e.Checkpoint)
	}
	for ref, pl := range h.runs {
		if !there[ref] {
			p.missing(h, ref, pl, now)
		}
	}
}

// running notes a run that is on the host.
func (p *Planner) running(h *host, s *cowslipbend.RunState, fresh bool, now cowslipbend.Time) {
	f := p.flows[s.Task.Job]
	var t *task
	if f != nil {
		t = f.task(s.Task)
	}
	pl := h.runs[s.RunRef]
	if pl == nil {
		var def *cowslipbend.Step
		if t != nil {
			def = f.step(s.Task).def
		}
		pl = h.add(s.RunRef, def)
	}
	if stands := pl.advance(s.Percent, now); stands && fresh && !pl.moving {
		p.stalled(h, pl, now)
	}
	pl.missed, pl.percent, pl.tail = 0, s.Percent, s.TailOrCPU
	h.measure(pl, cowslipbend.Millicores(s.TailOrCPU))
	pl.slowed(now)
	if t == nil {
		return
	}
	if !pl.confirmed {
		p.confirm(s.RunRef, pl)
	}
	if t.run == s.Run && t.phase == phasePlaced && s.Checkpoint != "" {
		t.saved = s.Checkpoint
	}
}

// confirm notes that a run has begun.
func (p *Planner) confirm(ref cowslipbend.RunRef, pl *place) {
	pl.confirmed = true
	if f := p.flows[ref.Task.Job]; f != nil && !f.begun {
		f.begun = true
		p.mark(f)
	}
}

// missing decides about a run that the host's lists lack.
func (p *Planner) missing(h *host, ref cowslipbend.RunRef, pl *place, now cowslipbend.Time) {
	if pl.confirmed && pl.missed == 0 {
		pl.missed = now
	}
	fenced := pl.inherited && h.fenced
	lost := pl.confirmed && now.Sub(pl.missed) > missTime
	if fenced || lost {
		h.drop(ref)
		p.end(ref, cowslipbend.EndLapsed, "")
	}
}

// result takes what became of an order.
func (p *Planner) result(h *host, res cowslipbend.RunResult, now cowslipbend.Time) {
	pl := h.runs[res.RunRef]
	if pl == nil {
		return
	}
	switch res.Kind {
	case cowslipbend.Started:
		p.confirm(res.RunRef, pl)
	case cowslipbend.Refused:
		h.full = now.Add(fullTime)
		fallthrough
	case cowslipbend.Absent:
		h.drop(res.RunRef)
		p.end(res.RunRef, cowslipbend.EndLapsed, "")
	}
}

// Reply returns the answer to a report: the lease, and up to which end all has
// been committed.
func (p *Planner) Reply(r *cowslipbend.HostReport, now cowslipbend.Time) cowslipbend.ReportReply {
	reply := cowslipbend.ReportReply{Epoch: p.epoch}
	if r.Host == nil {
		return reply
	}
	reply.Life = r.Host.Life
	if h := p.hosts[r.Host.Life]; h != nil && h.known {
		reply.LeaseGrant, reply.AckedThrough = p.opts.Lease, h.acked
		if r.PairsVersion != p.blame.Version() {
			reply.Pairs = p.blame.Pairs(func(serving string) bool { return h.images[serving].count > 0 })
		}
		reply.PairsVersion = p.blame.Version()
		h.granted = max(h.granted, now.Add(p.opts.Lease+p.opts.Lease/driftDivisor+leaseSlack))
	}
	return reply
}

// Lapse ends the runs of hosts whose lease has certainly lapsed.
func (p *Planner) Lapse(now cowslipbend.Time) {
	for _, h := range p.hosts {
		if h.granted <= now && (len(h.runs) > 0 || now.Sub(h.seen) > p.opts.Inherited) && now.Sub(h.seen) > quiet {
			p.lose(h)
		}
	}
}

// Unsent takes back orders of which no byte was sent.
func (p *Planner) Unsent(o *cowslipbend.HostOrders, now cowslipbend.Time) {
	h := p.hosts[o.Life]
	if h == nil {
		return
	}
	h.full = now.Add(fullTime)
	for i := range o.Starts {
		p.result(h, cowslipbend.RunResult{RunRef: o.Starts[i].RunRef, Kind: cowslipbend.Absent}, now)
	}
	for _, ref := range o.Stops {
		if pl := h.runs[ref]; pl != nil {
			pl.stopped = now
		}
	}
}

// Pairs returns all estimates about images.
func (p *Planner) Pairs() []cowslipbend.ImagePair {
	return p.blame.Pairs(func(string) bool { return true })
}
