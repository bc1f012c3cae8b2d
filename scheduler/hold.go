package scheduler

import (
	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// hold is room that is kept on a worker for a task that waits for it.
type hold struct {
	worker cowslipbend.WorkerID
	size   cowslipbend.Resources
	// urgent is set if others are evicted for it.
	urgent bool
}

// hostsPerHold is the count of workers of which one may be held for a large
// task.
const hostsPerHold = 8

// prune drops holds of tasks that no longer wait and on workers that take no
// tasks, and the evictions chosen for them.
func (e *Engine) prune() {
	for id, d := range e.holds {
		t, known := e.state.Tasks[id]
		h := e.index.byID[d.worker]
		if known && t.Phase == cowslipbend.Queued && h.Usable {
			continue
		}
		delete(e.holds, id)
		h.Held = h.Held.Minus(d.size)
		e.evicting.release(id)
	}
}

// patient counts the holds for large tasks.
func (e *Engine) patient() int {
	n := 0
	for _, d := range e.holds {
		if !d.urgent {
			n++
		}
	}
	return n
}

// hold keeps room for a task that has waited long, on the worker that lacks
// least of it, so that smaller tasks do not take each part that falls free.
func (e *Engine) hold(t *journaler.Task, ask cowslipbend.Ask) {
	if e.patient() > len(e.index.hosts)/hostsPerHold {
		return
	}
	var best *cowslipbend.Host
	least := 0.0
	for _, h := range e.index.hosts {
		if !h.Usable || contains(t.Failed, h.Spec.ID) || h.Held != (cowslipbend.Resources{}) || !ask.Size.Fits(h.Spec.Size.Minus(h.Fixed)) {
			continue
		}
		if lack := ask.Size.Minus(h.Room(&ask)).Share(h.Spec.Size); best == nil || lack < least {
			best, least = h, lack
		}
	}
	if best != nil {
		e.keep(t.ID, best, hold{worker: best.Spec.ID, size: ask.Size})
	}
}

func (e *Engine) keep(id cowslipbend.TaskID, h *cowslipbend.Host, d hold) {
	e.holds[id] = d
	h.Held = h.Held.Plus(d.size)
}
