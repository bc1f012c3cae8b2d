package worker

import (
	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
)

// load is what the model derives from all tasks of the worker at a moment.
type load struct {
	demand cowslipbend.Millicores
	used   map[cowslipbend.Class]float64 // cores
	share  float64                       // part of its demand that each task gets
	crowd  float64                       // slow-down by busy processors alone
}

// Bounds of the model of processors.
const (
	crowdedAt = 0.8 // busy part from which everything slows down
	crowding  = 2.0 // slow-down per whole worker above that
	bending   = 2.0 // weight of the square of the pressure
)

// measure returns the load at the moment.
func (w *Worker) measure(now cowslipbend.Time) load {
	l := load{used: map[cowslipbend.Class]float64{}, share: 1, crowd: 1}
	for _, t := range w.tasks {
		l.demand += t.demand(now)
	}
	busy := float64(l.demand) / float64(w.opts.Size.CPU)
	if busy > 1 {
		l.share = 1 / busy
	}
	if busy > crowdedAt {
		l.crowd += (busy - crowdedAt) * crowding
	}
	for _, t := range w.tasks {
		l.used[t.start.Class] += float64(t.demand(now)) / float64(cowslipbend.Core) * l.share
	}
	return l
}

// slow returns how many times longer work of the class takes beside the load,
// of which own cores are its own task's.
func (w *Worker) slow(l load, class cowslipbend.Class, own float64) float64 {
	pressure := 0.0
	for other, cores := range l.used {
		if other == class {
			cores = max(cores-own, 0)
		}
		pressure += w.opts.Slowdown(class, other) * cores * float64(cowslipbend.Core) / float64(w.opts.Size.CPU)
	}
	factor := (1 + pressure + bending*pressure*pressure) * l.crowd
	if w.fault.Slow > 1 {
		factor *= w.fault.Slow
	}
	return factor
}

// Step moves the model to the present.
func (w *Worker) Step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	l := w.measure(now)
	for _, t := range w.tasks {
		w.move(t, l, now)
		w.look(t, l, now)
	}
	w.last = now
	w.weigh()
}

// look takes a measurement of the task.
func (w *Worker) look(t *task, l load, now cowslipbend.Time) {
	if t.ended || !t.history.due(now) {
		return
	}
	s := snapshot{at: now, usage: cowslipbend.Resources{
		CPU: cowslipbend.Millicores(float64(t.demand(now)) * l.share), Mem: t.memory(), Accel: t.start.Size.Accel,
	}}
	if t.endpoint != nil {
		s.tail, s.served = t.endpoint.tail()
	}
	t.history.add(s, w.opts.Lag)
}

// move advances one batch task up to the present or the end of its lease,
// whichever comes first.
func (w *Worker) move(t *task, l load, now cowslipbend.Time) {
	if t.ended || t.service() {
		return
	}
	end := min(now, t.start.Until)
	if !t.frozen && !t.saving {
		w.progress(t, l, max(w.last, t.began.Add(startup)), end)
	}
	if t.ended {
		return
	}
	frozen := t.start.Until <= now
	if frozen == t.frozen {
		return
	}
	t.frozen = frozen
	e := w.event(judge.Began, t)
	if frozen {
		e.Kind = judge.Ended
		e.At = judge.MomentOf(max(t.start.Until, t.began))
	}
	w.judge.Note(e)
}

// progress lets the task run from one moment to another.
func (w *Worker) progress(t *task, l load, from, to cowslipbend.Time) {
	if to <= from {
		return
	}
	own := float64(t.demand(to)) / float64(cowslipbend.Core) * l.share
	gain := cowslipbend.CPUTime(own * float64(to.Sub(from)) / w.slow(l, t.start.Class, own))
	gain = min(gain, t.work.Total-t.done)
	t.done += gain
	w.useful += gain
	switch {
	case t.work.Fail || w.fault.Fail:
		w.end(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Failed: true, Reason: "task failed"})
	case t.done >= t.work.Total:
		e := w.event(judge.Finished, t)
		e.CPU = t.work.Total
		w.judge.Note(e)
		w.finished += t.work.Total
		w.end(t, cowslipbend.TaskStatus{Phase: cowslipbend.Finished})
	}
}

// weigh counts each time that the tasks begin to hold more memory or
// accelerators than there are, or have more reserved, and kills the task that
// is furthest above its reservation when memory runs out.
func (w *Worker) weigh() {
	var held, reserved cowslipbend.Resources
	var worst *task
	for _, t := range w.tasks {
		if t.ended {
			continue
		}
		held = held.Plus(cowslipbend.Resources{Mem: t.memory(), Accel: t.start.Size.Accel})
		reserved = reserved.Plus(t.start.Size)
		if !t.service() && (worst == nil || excess(t) > excess(worst)) {
			worst = t
		}
	}
	over := !held.Fits(w.opts.Size) || !reserved.Fits(w.opts.Size)
	if over && !w.over {
		w.judge.Note(judge.Event{Kind: judge.Over, Worker: w.opts.ID, Reason: overReason(held.Fits(w.opts.Size))})
	}
	w.over = over
	if held.Mem > w.opts.Size.Mem && worst != nil {
		w.end(worst, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Failed: true, Reason: "worker ran out of memory"})
	}
}

func overReason(heldFits bool) string {
	if heldFits {
		return "reserved"
	}
	return "held"
}

// excess is how much memory a task holds above its reservation.
func excess(t *task) cowslipbend.Bytes { return t.memory() - t.start.Size.Mem }
