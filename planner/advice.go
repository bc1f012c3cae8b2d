package planner

import (
	"sort"

	"cowslipbend.dev"
)

// Limits of the requests to the advisor.
const (
	// maxAdviceHosts limits the hosts in one request. It is enough to place a
	// step of the usual width; each further host delays the answer.
	maxAdviceHosts = 30
	// adviceSlack is subtracted from the validity of tickets for the delay of
	// an order.
	adviceSlack = 500 * cowslipbend.Millisecond
	// adviceRetryInterval is the time until a step is asked about again after a
	// failure or an answer without valid tickets.
	adviceRetryInterval = 500 * cowslipbend.Millisecond
)

// stepAdvice is the newest answer of the advisor about a step.
type stepAdvice struct {
	tickets    map[string]string
	validUntil cowslipbend.Time
	// pending is set while a request waits for its answer. retryAt is the
	// earliest time of the next request.
	pending bool
	retryAt cowslipbend.Time
}

// AdviceRequest asks the advisor which of the runners may run a step.
type AdviceRequest struct {
	Job     cowslipbend.JobID
	Round   int
	Step    int
	Runners []string
}

// AdviceRequests returns the requests whose answers are needed to place waiting
// steps, and marks them as pending.
func (p *Planner) AdviceRequests(now cowslipbend.Time) []AdviceRequest {
	var list []AdviceRequest
	hosts := p.usableHosts(now)
	for _, f := range p.liveFlows {
		if !p.policy(f).NeedsAdvice {
			continue
		}
		for _, r := range f.rounds {
			for i := range r.steps {
				if s := &r.steps[i]; s.ready && s.waitingCount > 0 {
					list = p.appendAdviceRequest(list, f, r, s, hosts[p.policy(f).Service], now)
				}
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Job < list[j].Job })
	return list
}

func (p *Planner) appendAdviceRequest(list []AdviceRequest, f *flow, r *round, s *step, hosts []*host, now cowslipbend.Time) []AdviceRequest {
	key := stepKey{f.def.ID, r.number, s.index}
	a := p.advice[key]
	if a == nil {
		a = &stepAdvice{}
		p.advice[key] = a
	}
	if a.pending || now < a.retryAt || (len(a.tickets) > 0 && now < a.validUntil) {
		return list
	}
	q := AdviceRequest{Job: f.def.ID, Round: r.number, Step: s.index}
	for _, h := range hosts {
		if len(q.Runners) < maxAdviceHosts && h.fits(s.def, key) {
			q.Runners = append(q.Runners, h.spec.Runner)
		}
	}
	if len(q.Runners) == 0 {
		return list
	}
	a.pending = true
	return append(list, q)
}

// ApplyAdvice records the answer to a request, or its failure.
func (p *Planner) ApplyAdvice(q AdviceRequest, answer cowslipbend.Advice, err error, now cowslipbend.Time) {
	a := p.advice[stepKey{q.Job, q.Round, q.Step}]
	if a == nil {
		return
	}
	a.pending, a.retryAt = false, now.Add(adviceRetryInterval)
	if err == nil {
		a.tickets, a.validUntil = answer.Tickets, now.Add(answer.ValidFor-adviceSlack)
	}
}

// advisedHosts returns the hosts that may run a step, and their tickets by
// runner. Steps of queues that need no advice may run on all hosts.
func (p *Planner) advisedHosts(f *flow, key stepKey, hosts []*host, now cowslipbend.Time) ([]*host, map[string]string) {
	if !p.policy(f).NeedsAdvice {
		return hosts, nil
	}
	a := p.advice[key]
	if a == nil || now >= a.validUntil {
		return nil, nil
	}
	var allowed []*host
	for _, h := range hosts {
		if a.tickets[h.spec.Runner] != "" {
			allowed = append(allowed, h)
		}
	}
	return allowed, a.tickets
}

// forgetAdvice removes the answers about the steps of a flow.
func (p *Planner) forgetAdvice(id cowslipbend.JobID) {
	for key := range p.advice {
		if key.job == id {
			delete(p.advice, key)
		}
	}
}
