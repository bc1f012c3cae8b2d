package planner

import (
	"sort"

	"cowslipbend.dev"
)

// Terms of advice.
const (
	// adviceHosts is how many hosts one question names: enough to place a step
	// of usual width, as each one named makes the answer later.
	adviceHosts = 30
	// adviceSlack is kept back from the time for which tickets are valid, for
	// the way of an order.
	adviceSlack = 500 * cowslipbend.Millisecond
	// adviceRetry is the pause after a question without a useful answer.
	adviceRetry = 500 * cowslipbend.Millisecond
)

// advice is what is known of one step of an advised queue.
type advice struct {
	tickets map[string]string
	until   cowslipbend.Time
	// asked is set while a question is open, again is when to ask anew.
	asked bool
	again cowslipbend.Time
}

// Question asks which of the runners may run a step.
type Question struct {
	Job     cowslipbend.JobID
	Round   int
	Step    int
	Runners []string
}

// Questions returns what has to be asked of the advisor before waiting steps
// can be placed.
func (p *Planner) Questions(now cowslipbend.Time) []Question {
	var list []Question
	hosts := p.byService(now)
	for _, f := range p.live {
		if !p.policy(f).NeedsAdvice {
			continue
		}
		for _, r := range f.rounds {
			for i := range r.steps {
				if s := &r.steps[i]; s.ready && s.waiting > 0 {
					list = p.question(list, f, r, s, hosts[p.policy(f).Service], now)
				}
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Job < list[j].Job })
	return list
}

func (p *Planner) question(list []Question, f *flow, r *round, s *step, hosts []*host, now cowslipbend.Time) []Question {
	key := stepKey{f.def.ID, r.number, s.index}
	a := p.advice[key]
	if a == nil {
		a = &advice{}
		p.advice[key] = a
	}
	if a.asked || now < a.again || (len(a.tickets) > 0 && now < a.until) {
		return list
	}
	q := Question{Job: f.def.ID, Round: r.number, Step: s.index}
	for _, h := range hosts {
		if len(q.Runners) < adviceHosts && h.fits(s.def, key) {
			q.Runners = append(q.Runners, h.spec.Runner)
		}
	}
	if len(q.Runners) == 0 {
		return list
	}
	a.asked = true
	return append(list, q)
}

// Advise takes the answer to a question, or its failure.
func (p *Planner) Advise(q Question, answer cowslipbend.Advice, err error, now cowslipbend.Time) {
	a := p.advice[stepKey{q.Job, q.Round, q.Step}]
	if a == nil {
		return
	}
	a.asked, a.again = false, now.Add(adviceRetry)
	if err == nil {
		a.tickets, a.until = answer.Tickets, now.Add(answer.ValidFor-adviceSlack)
	}
}

// advised returns the hosts that may run a step, and their tickets. Steps of
// other queues may run anywhere.
func (p *Planner) advised(f *flow, key stepKey, hosts []*host, now cowslipbend.Time) ([]*host, map[string]string) {
	if !p.policy(f).NeedsAdvice {
		return hosts, nil
	}
	a := p.advice[key]
	if a == nil || now >= a.until {
		return nil, nil
	}
	var good []*host
	for _, h := range hosts {
		if a.tickets[h.spec.Runner] != "" {
			good = append(good, h)
		}
	}
	return good, a.tickets
}

// forgetAdvice drops what is known of a flow that has ended.
func (p *Planner) forgetAdvice(id cowslipbend.JobID) {
	for key := range p.advice {
		if key.job == id {
			delete(p.advice, key)
		}
	}
}
