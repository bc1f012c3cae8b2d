package planner

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/predictor"
	"cowslipbend.dev/sequencer"
	"cowslipbend.dev/shedder"
)

// Backlog sums up what waits after the last decision, for the admission of flows. It
// mentions only services and queues with waiting flows that have a bound.
func (p *Planner) Backlog() shedder.Summary {
	var s shedder.Summary
	waiting := p.waitingWork()
	p.appendQueues(&s, waiting)
	for i := range waiting {
		w := &waiting[i]
		pool := p.backlogPool(&s, w.service)
		if pool == nil {
			continue
		}
		if !slices.ContainsFunc(s.Queues, func(q shedder.Queue) bool { return q.ID == w.flow.def.Queue }) {
			w.queue = ""
		}
		w.addTo(pool)
	}
	return s
}

// waitingFlow is the work of a flow that waits and could run, in core seconds, by
// whether it fills.
type waitingFlow struct {
	*orderedFlow
	service        cowslipbend.ServiceID
	queue          cowslipbend.QueueID
	work, fillWork float64
	large          bool
}

// waitingWork returns the flows of the last order that still wait. Lasting flows are
// left out, as room never comes by their end.
func (p *Planner) waitingWork() []waitingFlow {
	var list []waitingFlow
	for i := range p.order {
		o := &p.order[i]
		if o.flow.finalState != "" || o.flow.def.HasLastingStep() || o.item.Class == sequencer.Useless {
			continue
		}
		w := waitingFlow{orderedFlow: o, service: p.policy(o.flow).Service, queue: o.flow.def.Queue, large: o.item.Work > p.sequencer.MeanWork(o.flow.def.Queue)}
		for _, r := range o.flow.rounds {
			for j := range r.steps {
				s := &r.steps[j]
				if !s.ready || s.waitingCount == 0 {
					continue
				}
				work := float64(s.waitingCount) * coreSeconds(s.def, p.expectedLength(o.flow, s))
				if s.def.Fills {
					w.fillWork += work
				} else {
					w.work += work
				}
			}
		}
		if w.work+w.fillWork > 0 {
			list = append(list, w)
		}
	}
	return list
}

// appendQueues adds the queues with the most waiting work of flows that have a bound,
// and what is known of their lengths.
func (p *Planner) appendQueues(s *shedder.Summary, waiting []waitingFlow) {
	work, classes := map[cowslipbend.QueueID]float64{}, map[cowslipbend.QueueID]map[predictor.Class]bool{}
	for i := range waiting {
		f := waiting[i].flow
		policy := p.policy(f)
		if _, usefulUntil := p.deadlines(f, &policy); usefulUntil == 0 {
			continue
		}
		id := f.def.Queue
		work[id] += waiting[i].work + waiting[i].fillWork
		if classes[id] == nil {
			classes[id] = map[predictor.Class]bool{}
		}
		for j := range f.def.Steps {
			classes[id][f.lengthClass(&f.def.Steps[j])] = true
		}
	}
	for id := range work {
		s.Queues = append(s.Queues, shedder.Queue{ID: id, MeanWork: p.sequencer.MeanWork(id)})
	}
	slices.SortFunc(s.Queues, func(a, b shedder.Queue) int {
		return cmp.Or(cmp.Compare(work[b.ID], work[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	s.Queues = s.Queues[:min(len(s.Queues), shedder.MaxQueues)]
	for i := range s.Queues {
		for key := range classes[s.Queues[i].ID] {
			if row, known := p.predictor.ClassLength(key); known && len(s.Lengths) < shedder.MaxLengths {
				s.Lengths = append(s.Lengths, row)
			}
		}
	}
}

// backlogPool returns the sums of the hosts of a service, or nil if none of the
// queues in the summary uses it.
func (p *Planner) backlogPool(s *shedder.Summary, service cowslipbend.ServiceID) *shedder.Pool {
	for i := range s.Pools {
		if s.Pools[i].Service == service {
			return &s.Pools[i]
		}
	}
	if len(s.Queues) == 0 || len(s.Pools) >= shedder.MaxQueues {
		return nil
	}
	pool := shedder.Pool{Service: service}
	for _, h := range p.hosts {
		if !h.reported || h.spec.Draining || h.spec.Service != service {
			continue
		}
		pool.Capacity += h.spec.Size.CPU - h.servingCPU
		pool.Free += max(h.free().CPU, 0)
		pool.FillingCapacity += h.spec.Size.CPU - h.servingCPU*servingUsePercent/100
		pool.Idle += max(h.idleCPU(), 0)
	}
	s.Pools = append(s.Pools, pool)
	return &s.Pools[len(s.Pools)-1]
}

// addTo adds the waiting work of a flow to the levels of its pool.
func (w *waitingFlow) addTo(pool *shedder.Pool) {
	for _, part := range []struct {
		work  float64
		fills bool
	}{{w.work, false}, {w.fillWork, true}} {
		if part.work == 0 {
			continue
		}
		i := slices.IndexFunc(pool.Levels, func(l shedder.Level) bool {
			return l.Priority == w.item.Priority && l.Queue == w.queue && l.Fills == part.fills
		})
		if i < 0 {
			i = len(pool.Levels)
			pool.Levels = append(pool.Levels, shedder.Level{Priority: w.item.Priority, Queue: w.queue, Fills: part.fills})
		}
		pool.Levels[i].Add(part.work, w.item.Density(), w.item.Class == sequencer.Timely, w.large)
	}
}
