package scheduler

import (
	"cowslipbend.dev"
)

// Domains tells which failure domains the operator has taken out of service.
// Nothing is assigned to workers there, and replicas there are replaced. Batch
// tasks that run there go on.
type Domains interface {
	// Out reports whether a domain is out of service.
	Out(domain cowslipbend.Domain) bool
	// Known reports whether this is known well enough to assign tasks by it.
	Known() bool
}

// SetDomains sets which failure domains are out of service for the pools that are
// taken over from now on. It must be called before Run.
func (o *Owners) SetDomains(d Domains) { o.domains = d }

// SetDomains sets which failure domains are out of service.
func (e *Engine) SetDomains(d Domains) { e.domains = d }

// takesTasks reports whether tasks may be assigned to workers of a domain.
func (e *Engine) takesTasks(domain cowslipbend.Domain) bool {
	return e.domains == nil || (e.domains.Known() && !e.domains.Out(domain))
}

// isReplaced reports whether replicas on a worker are replaced by others.
func (e *Engine) isReplaced(worker cowslipbend.WorkerID) bool {
	if e.isDraining(worker) {
		return true
	}
	h := e.index.byID[worker]
	return h != nil && e.domains != nil && e.domains.Out(h.Spec.Domain)
}

// Withdrawn returns the orders with evictions in place of the starts, for a
// worker whose domain is out of service. An agent that has not begun an attempt
// then never begins it and reports it as ended, so that the task is assigned
// again; one that has begun it by an earlier order ends it.
func (o *Orders) Withdrawn() *Orders {
	w := *o
	w.Starts, w.Evicts = nil, append([]Ref(nil), o.Evicts...)
	for i := range o.Starts {
		w.Evicts = append(w.Evicts, Ref{o.Starts[i].Task, o.Starts[i].Attempt})
	}
	return &w
}
