package planner

import (
	"cowslipbend.dev"
)

// LossEvent tells that a host was lost, with all its runs.
type LossEvent struct {
	cowslipbend.HostLoss
	// URL is that of the agent, or empty if it has not reported to this owner.
	URL string
	// Runs counts the runs that had not ended.
	Runs int
}

// TakeLossEvents returns the losses since its last call.
func (p *Planner) TakeLossEvents() []LossEvent { return p.losses.take() }

// MissingEvent tells that runs of a host have ended as its lists lack them.
type MissingEvent struct {
	Host cowslipbend.Incarnation
	URL  string
	Runs int
	// Inherited counts those of them that an earlier owner had ordered.
	Inherited int
	// Listed counts the running and ended runs in the lists.
	Listed int
}

// TakeMissingEvents returns the events since its last call.
func (p *Planner) TakeMissingEvents() []MissingEvent { return p.missing.take() }

func (p *Planner) addLossEvent(h *host, loss *cowslipbend.HostLoss) {
	p.losses.add(LossEvent{HostLoss: *loss, URL: h.url, Runs: len(h.runs)})
}

// loseHost removes a host of which the report shows that it runs nothing any more.
func (p *Planner) loseHost(h *host, r *cowslipbend.HostReport, now cowslipbend.Time) {
	if h.lost && r.Host == nil {
		return // The agent reports the loss until it finds the next incarnation.
	}
	loss := r.Loss
	if loss == nil || loss.Life != h.life {
		loss = &cowslipbend.HostLoss{Life: h.life, Cause: cowslipbend.LossReplaced}
	}
	if h.spec.Draining {
		loss = &cowslipbend.HostLoss{Life: h.life, Cause: cowslipbend.LossLeft}
	}
	var lost []crashedRun
	if !h.lost {
		p.addLossEvent(h, loss)
		if loss.Cause == cowslipbend.LossCrashed && !p.hasRecorded(h) {
			lost = p.recordCrash(h, loss, now)
			if a := p.agents[r.URL]; a != nil {
				a.flaps.recordCrash(now)
			}
		}
	}
	if r.Host == nil {
		p.keepUnanswered(h, loss, now)
	} else {
		if r.Host.Runner == h.spec.Runner { // A runner refuses calls for one of another id.
			p.bindUnanswered(h)
		}
		p.removeHost(h)
	}
	for _, c := range lost {
		if c.flow.finalState == "" {
			p.finish(c.flow, cowslipbend.FlowFailed)
		}
	}
}

// keepUnanswered removes a host while no later incarnation of its runner is known, except for the
// runs whose start that may carry out. They keep their place until it is reported, and refuses
// them, or until none can any more.
func (p *Planner) keepUnanswered(h *host, loss *cowslipbend.HostLoss, now cowslipbend.Time) {
	unanswered := make(map[cowslipbend.RunRef]bool, len(loss.Unanswered))
	for _, ref := range loss.Unanswered {
		unanswered[ref] = true
	}
	for ref := range h.runs {
		if !unanswered[ref] {
			p.lapseRun(h, ref)
		}
	}
	if len(h.runs) == 0 {
		p.removeHost(h)
		return
	}
	h.lost, h.reported, h.grant, h.leaseEnd = true, false, grant{}, now.Add(cowslipbend.LateCallTimeout)
}
