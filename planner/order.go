package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/sequencer"
)

// flowOrder is what the order keeps of a flow.
type flowOrder struct {
	// admitted is set once the size of the flow has been told to the sequencer, and
	// recorded once its outcome has been.
	admitted, recorded bool
	// work is the expected work of the whole flow when it was admitted.
	work float64
}

// orderedFlow is a flow with its place in the order.
type orderedFlow struct {
	flow *flow
	item sequencer.Item
}

// sortByRank sorts the flows by the order of package sequencer.
func (p *Planner) sortByRank(ready []*flow, storeNow cowslipbend.Time) {
	items := make([]sequencer.Item, len(ready))
	for i, f := range ready {
		items[i] = p.sequenceItem(f, storeNow)
		items[i].Index = i
	}
	p.sequencer.Sort(items, p.accountUse())
	p.order = p.order[:0]
	sorted := make([]*flow, len(ready))
	for i := range items {
		sorted[i] = ready[items[i].Index]
		p.order = append(p.order, orderedFlow{sorted[i], items[i]})
	}
	copy(ready, sorted)
}

// isBounded reports whether flows of the policy have a latency target.
func isBounded(policy *cowslipbend.FlowPolicy) bool {
	return policy.LatencyFactor > 0 || policy.LatencyAllowance > 0
}

// deadlines returns until when the flow should end, and until when it is useful, on
// the clock of the store. The latter is zero if it has no such bound, and both are if
// the flow has no target: rounds and lasting flows are not bounded by their
// acceptance.
func (p *Planner) deadlines(f *flow, policy *cowslipbend.FlowPolicy) (targetAt, usefulUntil cowslipbend.Time) {
	if !isBounded(policy) || f.def.Rounds > 0 || f.def.HasLastingStep() {
		return 0, 0
	}
	target := cowslipbend.Span(policy.LatencyFactor*float64(p.expectedChain(f))) + policy.LatencyAllowance
	targetAt = f.def.AcceptedAt.Add(target)
	if policy.UsefulFactor > 0 {
		usefulUntil = f.def.AcceptedAt.Add(cowslipbend.Span(max(policy.UsefulFactor, 1) * float64(target)))
	}
	return targetAt, usefulUntil
}

func (p *Planner) sequenceItem(f *flow, storeNow cowslipbend.Time) sequencer.Item {
	policy := p.policy(f)
	work, least, likely := p.remaining(f)
	targetAt, usefulUntil := p.deadlines(f, &policy)
	it := sequencer.Item{
		ID: f.def.ID, Queue: f.def.Queue, Account: string(f.def.Queue), Priority: policy.Priority,
		Bounded: targetAt > 0, RemainingWork: work, AcceptedAt: f.def.AcceptedAt,
	}
	switch {
	case f.def.HasLastingStep() || (it.Bounded && storeNow.Add(likely) <= targetAt):
		it.Class = sequencer.Timely
	case usefulUntil > 0 && storeNow.Add(least) > usefulUntil:
		it.Class = sequencer.Useless
	default:
		it.Class = sequencer.Late
	}
	if f.delayedSince > 0 {
		it.Unplaced = p.now.Sub(f.delayedSince)
	}
	if it.Bounded {
		p.admitOrder(f)
		it.Work = f.order.work
		if storeNow.Add(least) > targetAt {
			p.recordOutcome(f, false)
		}
	}
	return it
}

// admitOrder tells the sequencer the size of a flow once.
func (p *Planner) admitOrder(f *flow) {
	if f.order.admitted {
		return
	}
	f.order.admitted = true
	for i := range f.def.Steps {
		f.order.work += float64(f.def.Steps[i].Count) * coreSeconds(&f.def.Steps[i], p.expectedStepLength(f, i))
	}
	p.sequencer.Admit(f.def.Queue, f.order.work, p.storeNow)
}

// recordOutcome tells the sequencer once whether a flow meets its target.
func (p *Planner) recordOutcome(f *flow, inTime bool) {
	if f.order.admitted && !f.order.recorded {
		f.order.recorded = true
		p.sequencer.Record(f.def.Queue, f.order.work, inTime, p.storeNow)
		p.learned.addOutcome(Outcome{p.sequencer.SizeOf(f.def.Queue, f.order.work), inTime})
	}
}

// recordGiven tells the sequencer that a task has been placed.
func (p *Planner) recordGiven(f *flow, s *step) {
	if f.order.admitted {
		p.sequencer.Give(f.def.Queue, f.order.work, coreSeconds(s.def, p.expectedLength(f, s)), p.storeNow)
	}
}

// recordDone records the outcome of a flow that is done.
func (p *Planner) recordDone(f *flow) {
	policy := p.policy(f)
	if targetAt, _ := p.deadlines(f, &policy); targetAt > 0 {
		p.recordOutcome(f, p.storeNow <= targetAt)
	}
}

// accountUse returns the processors of the placed tasks by account, which is the
// queue.
func (p *Planner) accountUse() map[string]float64 {
	use := map[string]float64{}
	for _, f := range p.liveFlows {
		for _, r := range f.rounds {
			for i := range r.steps {
				if s := &r.steps[i]; s.waitingCount+s.doneCount < len(s.tasks) {
					use[string(f.def.Queue)] += float64(len(s.tasks)-s.waitingCount-s.doneCount) * float64(s.def.Size.CPU)
				}
			}
		}
	}
	return use
}

// Parameters of the likely time of a step. A step ends with its last task, and of
// several tasks one takes longer than the others or fails.
const (
	wideStep    = 3 // tasks
	widePercent = 150
)

// remaining returns the estimated remaining processor time in core seconds, and
// the least and the likely time of the longest remaining chain of steps.
func (p *Planner) remaining(f *flow) (work float64, least, likely cowslipbend.Span) {
	for _, r := range f.rounds {
		ends, likelyEnds := make([]cowslipbend.Span, len(r.steps)), make([]cowslipbend.Span, len(r.steps))
		for i := range r.steps {
			s := &r.steps[i]
			if s.doneCount == len(s.tasks) {
				continue
			}
			for _, dep := range s.def.DependsOn {
				ends[i], likelyEnds[i] = max(ends[i], ends[dep]), max(likelyEnds[i], likelyEnds[dep])
			}
			left, length := p.remainingStep(f, s)
			ends[i] += length
			if s.waitingCount >= wideStep {
				length = length * widePercent / 100
			}
			likelyEnds[i] += length
			least, likely = max(least, ends[i]), max(likely, likelyEnds[i])
			work += left
		}
	}
	return work, least, likely
}

// remainingStep returns the remaining processor time of a step in core seconds, and
// the time that it takes at least. Placed tasks count as running since then.
func (p *Planner) remainingStep(f *flow, s *step) (work float64, length cowslipbend.Span) {
	expected := p.expectedLength(f, s)
	work = float64(s.waitingCount) * coreSeconds(s.def, expected)
	if s.waitingCount > 0 {
		length = expected
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.phase == phasePlaced {
			rest := max(expected-p.now.Sub(t.placedAt), expected/10)
			work += coreSeconds(s.def, rest)
			length = max(length, rest)
		}
	}
	return work, length
}

// coreSeconds returns the processor time of a task with the length.
func coreSeconds(def *cowslipbend.Step, length cowslipbend.Span) float64 {
	return float64(def.Size.CPU) / float64(cowslipbend.Core) * float64(length) / float64(cowslipbend.Second)
}

// expectedChain returns the expected length of the longest chain of steps.
func (p *Planner) expectedChain(f *flow) cowslipbend.Span {
	ends := make([]cowslipbend.Span, len(f.def.Steps))
	var longest cowslipbend.Span
	for i := range f.def.Steps {
		var begin cowslipbend.Span
		for _, dep := range f.def.Steps[i].DependsOn {
			begin = max(begin, ends[dep])
		}
		ends[i] = begin + p.expectedStepLength(f, i)
		longest = max(longest, ends[i])
	}
	return longest
}
