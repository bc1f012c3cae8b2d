package scheduler

import (
	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// hold is room that is kept free on a worker for a queued task.
type hold struct {
	worker cowslipbend.WorkerID
	size   cowslipbend.Resources
	// urgent marks holds for which other tasks are evicted.
	urgent bool
}

// workersPerHold limits holds for large tasks to about one per so many workers.
const workersPerHold = 8

// pruneHolds drops holds whose task is no longer queued or whose worker is
// not usable, and the eviction orders that belong to them.
func (e *Engine) pruneHolds() {
	for id, held := range e.holds {
		t, known := e.state.Tasks[id]
		h := e.index.byID[held.worker]
		if known && t.Phase == cowslipbend.Queued && h.Usable {
			continue
		}
		delete(e.holds, id)
		h.Held = h.Held.Minus(held.size)
		e.evictor.cancelFor(id)
	}
}

// countAgedHolds counts the holds for tasks that have waited long.
func (e *Engine) countAgedHolds() int {
	n := 0
	for _, held := range e.holds {
		if !held.urgent {
			n++
		}
	}
	return n
}

// holdRoom keeps room for a task that has waited long, on the worker with the
// smallest shortfall, so that smaller tasks do not take each part as it becomes
// free.
func (e *Engine) holdRoom(t *journaler.Task, ask cowslipbend.Ask) {
	if e.countAgedHolds() > len(e.index.hosts)/workersPerHold {
		return
	}
	var best *cowslipbend.Host
	bestShortfall := 0.0
	for _, h := range e.index.hosts {
		if !h.Usable || contains(t.FailedWorkers, h.Spec.ID) || h.Held != (cowslipbend.Resources{}) || !ask.Size.Fits(h.Spec.Size.Minus(h.ServiceReserved)) {
			continue
		}
		if shortfall := ask.Size.Minus(h.Room(&ask)).Share(h.Spec.Size); best == nil || shortfall < bestShortfall {
			best, bestShortfall = h, shortfall
		}
	}
	if best != nil {
		e.addHold(t.ID, best, hold{worker: best.Spec.ID, size: ask.Size})
	}
}

func (e *Engine) addHold(id cowslipbend.TaskID, h *cowslipbend.Host, held hold) {
	e.holds[id] = held
	h.Held = h.Held.Plus(held.size)
}
