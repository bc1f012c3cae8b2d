package planner

import (
	"sort"

	"cowslipbend.dev"
)

// rank orders a flow among those that wait. Lower goes first.
type rank struct {
	priority int
	hopeless bool
	work     float64
	at       cowslipbend.Time
}

func (a rank) less(b rank) bool {
	switch {
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.hopeless != b.hopeless:
		return b.hopeless
	case a.work != b.work:
		return a.work < b.work
	}
	return a.at < b.at
}

// order sorts the flows that wait.
func (p *Planner) order(ready []*flow, shared cowslipbend.Time) {
	ranks := make(map[*flow]rank, len(ready))
	for _, f := range ready {
		ranks[f] = p.rank(f, shared)
	}
	sort.SliceStable(ready, func(i, j int) bool {
		a, b := ranks[ready[i]], ranks[ready[j]]
		if a.less(b) || b.less(a) {
			return a.less(b)
		}
		return ready[i].def.ID < ready[j].def.ID
	})
}

func (p *Planner) rank(f *flow, shared cowslipbend.Time) rank {
	policy := p.policy(f)
	work, chain := f.remaining()
	aim := f.def.AcceptedAt.Add(cowslipbend.Span(policy.LatencyFactor*float64(f.chain)) + policy.LatencyAllowance)
	return rank{
		priority: policy.Priority, hopeless: !f.lasting() && shared.Add(chain) > aim,
		work: work, at: f.def.AcceptedAt,
	}
}

func (f *flow) lasting() bool {
	for i := range f.def.Steps {
		if f.def.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// remaining returns the estimated processor time that is left, in core
// seconds, and the longest chain of estimates that is left.
func (f *flow) remaining() (work float64, chain cowslipbend.Span) {
	for _, r := range f.rounds {
		ends := make([]cowslipbend.Span, len(r.steps))
		for i := range r.steps {
			s := &r.steps[i]
			left := len(s.tasks) - s.done
			if left == 0 {
				continue
			}
			var begin cowslipbend.Span
			for _, a := range s.def.DependsOn {
				begin = max(begin, ends[a])
			}
			ends[i] = begin + s.def.Length
			chain = max(chain, ends[i])
			work += float64(left) * float64(s.def.Size.CPU) / float64(cowslipbend.Core) * float64(s.def.Length) / float64(cowslipbend.Second)
		}
	}
	return work, chain
}
