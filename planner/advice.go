package planner

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// Limits of the requests to the advisor.
const (
	// firstAdviceHosts limits the hosts in the first request about a step. It is
	// enough to place a step of the usual width; each further host delays the answer.
	firstAdviceHosts = 30
	// maxAdviceHosts limits the hosts in later requests. The advisor accepts no more.
	maxAdviceHosts = 100
	// maxPendingAdvice limits the requests that wait for an answer. The advisor answers
	// one at a time, and further ones would only wait there.
	maxPendingAdvice = 8
	// adviceSlack is subtracted from the validity of tickets for the delay of
	// an order.
	adviceSlack = 500 * cowslipbend.Millisecond
	// adviceRetryInterval is the time until a step is asked about again after a
	// failed request, or an answer that is not valid for any time.
	adviceRetryInterval = 500 * cowslipbend.Millisecond
)

// stepAdvice holds the answers of the advisor about a step.
type stepAdvice struct {
	// hosts holds the newest answer about each host.
	hosts map[cowslipbend.Incarnation]hostAdvice
	// asked holds the hosts in the request that waits for its answer; nil without one.
	asked []cowslipbend.Incarnation
	// askedAt is the time of the last request, retryAt the earliest time of the next
	// one.
	askedAt, retryAt cowslipbend.Time
}

// hostAdvice is an answer of the advisor about a step on a host.
type hostAdvice struct {
	// ticket is empty if the host may not run the step.
	ticket     string
	validUntil cowslipbend.Time
}

// AdviceRequest asks the advisor which of the runners may run a step.
type AdviceRequest struct {
	Job     cowslipbend.JobID
	Round   int
	Step    int
	Runners []string
	// Further counts the hosts with room that are left for later requests.
	Further int
}

// waitingStep is a step with waiting tasks that needs advice.
type waitingStep struct {
	key    stepKey
	flow   *flow
	def    *cowslipbend.Step
	advice *stepAdvice
}

// AdviceRequests returns the requests whose answers are needed to place waiting
// steps, and marks them as pending. The steps that were asked about longest ago come
// first.
func (p *Planner) AdviceRequests(now cowslipbend.Time) []AdviceRequest {
	steps, pending := p.stepsToAdvise(now)
	if len(steps) == 0 {
		return nil
	}
	slices.SortFunc(steps, func(a, b waitingStep) int {
		return cmp.Or(cmp.Compare(a.advice.askedAt, b.advice.askedAt), cmp.Compare(a.flow.def.AcceptedAt, b.flow.def.AcceptedAt), cmp.Compare(a.key.job, b.key.job),
			cmp.Compare(a.key.round, b.key.round), cmp.Compare(a.key.step, b.key.step))
	})
	var list []AdviceRequest
	hosts := p.usableHosts(now)
	for _, s := range steps {
		if pending+len(list) >= maxPendingAdvice {
			break
		}
		open := s.openHosts(p, p.withBanned(s.flow, s.def, s.key, hosts[p.policy(s.flow).Service], now), now)
		// Hosts that might not run the step are asked about again only while the advisor
		// has nothing else to do.
		if len(open) == 0 || (pending+len(list) > 0 && s.advice.rank(open[0].life) == rankDenied) {
			continue
		}
		list = append(list, s.request(open, now))
	}
	return list
}

// stepsToAdvise returns the steps with waiting tasks about which the advisor may be
// asked now, and the number of pending requests.
func (p *Planner) stepsToAdvise(now cowslipbend.Time) (steps []waitingStep, pending int) {
	for _, a := range p.advice {
		if a.asked != nil {
			pending++
		}
	}
	for _, f := range p.liveFlows {
		if !p.policy(f).NeedsAdvice {
			continue
		}
		for _, r := range f.rounds {
			for i := range r.steps {
				s := &r.steps[i]
				if !s.ready || s.waitingCount == 0 {
					continue
				}
				key := stepKey{f.def.ID, r.number, s.index}
				a := p.advice[key]
				if a == nil {
					a = &stepAdvice{hosts: map[cowslipbend.Incarnation]hostAdvice{}}
					p.advice[key] = a
				}
				if a.asked == nil && now >= a.retryAt {
					steps = append(steps, waitingStep{key, f, s.def, a})
				}
			}
		}
	}
	return steps, pending
}

// openHosts returns the hosts that have room for the step and of which it is not known
// whether they may run it, the most suitable ones first.
func (s *waitingStep) openHosts(p *Planner, hosts []*host, now cowslipbend.Time) []*host {
	var open []*host
	scores := map[*host]int64{}
	for _, h := range hosts {
		if now >= s.advice.hosts[h.life].validUntil && h.fits(s.def, s.key) {
			open = append(open, h)
			scores[h] = p.score(h, s.def, 1)
		}
	}
	slices.SortStableFunc(open, func(a, b *host) int {
		return cmp.Or(cmp.Compare(s.advice.rank(a.life), s.advice.rank(b.life)), cmp.Compare(scores[b], scores[a]))
	})
	return open
}

// request returns a request about the first of the hosts, and marks it as pending.
func (s *waitingStep) request(open []*host, now cowslipbend.Time) AdviceRequest {
	limit := firstAdviceHosts
	if len(s.advice.hosts) > 0 {
		limit = maxAdviceHosts
	}
	q := AdviceRequest{Job: s.key.job, Round: s.key.round, Step: s.key.step}
	for _, h := range open[:min(len(open), limit)] {
		q.Runners = append(q.Runners, h.spec.Runner)
		s.advice.asked = append(s.advice.asked, h.life)
	}
	q.Further = len(open) - len(q.Runners)
	s.advice.askedAt = now
	return q
}

// The order of hosts without a valid answer, by the last answer.
const (
	rankAllowed = iota
	rankUnknown
	rankDenied
)

func (a *stepAdvice) rank(life cowslipbend.Incarnation) int {
	switch last, known := a.hosts[life]; {
	case !known:
		return rankUnknown
	case last.ticket == "":
		return rankDenied
	}
	return rankAllowed
}

// ApplyAdvice records the answer to a request, or its failure.
func (p *Planner) ApplyAdvice(q AdviceRequest, answer cowslipbend.Advice, err error, now cowslipbend.Time) {
	a := p.advice[stepKey{q.Job, q.Round, q.Step}]
	if a == nil {
		return
	}
	asked := a.asked
	a.asked = nil
	validFor := max(answer.ValidFor-adviceSlack, answer.ValidFor/2)
	if err != nil || validFor <= 0 {
		a.retryAt = now.Add(adviceRetryInterval)
	}
	if err != nil {
		return
	}
	for i, life := range asked[:min(len(asked), len(q.Runners))] {
		a.hosts[life] = hostAdvice{ticket: answer.Tickets[q.Runners[i]], validUntil: now.Add(validFor)}
	}
}

// advisedHosts returns the hosts that may run a step, and their tickets by
// incarnation. Steps of queues that need no advice may run on all hosts.
func (p *Planner) advisedHosts(f *flow, key stepKey, hosts []*host, now cowslipbend.Time) ([]*host, map[cowslipbend.Incarnation]string) {
	if !p.policy(f).NeedsAdvice {
		return hosts, nil
	}
	a := p.advice[key]
	if a == nil {
		return nil, nil
	}
	var allowed []*host
	tickets := map[cowslipbend.Incarnation]string{}
	for _, h := range hosts {
		if last := a.hosts[h.life]; last.ticket != "" && now < last.validUntil {
			allowed = append(allowed, h)
			tickets[h.life] = last.ticket
		}
	}
	return allowed, tickets
}

// forgetAdvice removes the answers about the steps of a flow.
func (p *Planner) forgetAdvice(id cowslipbend.JobID) {
	for key := range p.advice {
		if key.job == id {
			delete(p.advice, key)
		}
	}
}

// forgetHostAdvice removes the answers about a host.
func (p *Planner) forgetHostAdvice(life cowslipbend.Incarnation) {
	for _, a := range p.advice {
		delete(a.hosts, life)
	}
}
