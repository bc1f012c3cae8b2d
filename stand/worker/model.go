package worker

import (
	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
)

// load is the use of the worker's processors by all its tasks at one moment.
type load struct {
	demand       cowslipbend.Millicores
	coresByClass map[cowslipbend.Class]float64 // processors that the tasks of a class get
	cpuShare     float64                       // part of its demand that each task gets
	contention   float64                       // slowdown factor by utilisation alone
}

// Parameters of the processor model. A task is slowed by contention, which
// depends on the utilisation alone, and by interference, which depends on the
// classes that run beside it.
const (
	contentionThreshold      = 0.8 // utilisation above which contention begins
	contentionSlope          = 2.0 // slowdown per unit of utilisation above the threshold
	interferenceSquareWeight = 2.0 // weight of the square of the interference
)

// currentLoad returns the load that the tasks put on the worker now.
func (w *Worker) currentLoad(now cowslipbend.Time) load {
	l := load{coresByClass: map[cowslipbend.Class]float64{}, cpuShare: 1, contention: 1}
	for _, t := range w.tasks {
		l.demand += t.demand(now)
	}
	utilisation := float64(l.demand) / float64(w.opts.Size.CPU)
	if utilisation > 1 {
		l.cpuShare = 1 / utilisation
	}
	if utilisation > contentionThreshold {
		l.contention += (utilisation - contentionThreshold) * contentionSlope
	}
	for _, t := range w.tasks {
		l.coresByClass[t.start.Class] += float64(t.demand(now)) / float64(cowslipbend.Core) * l.cpuShare
	}
	return l
}

// slowdown returns the factor by which work of the class takes longer under the
// load. The task's own cores are left out of the interference of its class.
func (w *Worker) slowdown(l load, class cowslipbend.Class, ownCores float64) float64 {
	interference := 0.0
	for other, cores := range l.coresByClass {
		if other == class {
			cores = max(cores-ownCores, 0)
		}
		interference += w.opts.Slowdown(class, other) * cores * float64(cowslipbend.Core) / float64(w.opts.Size.CPU)
	}
	factor := (1 + interference + interferenceSquareWeight*interference*interference) * l.contention
	if w.fault.SlowdownFactor > 1 {
		factor *= w.fault.SlowdownFactor
	}
	return factor
}

// Step advances all tasks to the present time.
func (w *Worker) Step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	l := w.currentLoad(now)
	for _, t := range w.tasks {
		w.advanceBatch(t, l, now)
		w.takeMeasurement(t, l, now)
	}
	w.lastStepAt = now
	w.checkCapacity()
}

// takeMeasurement adds a measurement to the task's history if one is due.
func (w *Worker) takeMeasurement(t *task, l load, now cowslipbend.Time) {
	if t.ended || !t.history.due(now) {
		return
	}
	s := measurement{takenAt: now, usage: cowslipbend.Resources{
		CPU: cowslipbend.Millicores(float64(t.demand(now)) * l.cpuShare), Mem: t.usedMemory(), Accel: t.start.Size.Accel,
	}}
	if t.endpoint != nil {
		s.tailMicros, s.answerCount = t.endpoint.tailLatency()
	}
	t.history.add(s, w.opts.Lag)
}

// advanceBatch advances a batch task to the present or the end of its lease,
// whichever comes first. It freezes a task whose lease has ended and resumes one
// whose lease was renewed, and records both.
func (w *Worker) advanceBatch(t *task, l load, now cowslipbend.Time) {
	if t.ended || t.isReplica() {
		return
	}
	end := min(now, t.start.Until)
	if !t.frozen && !t.checkpointing {
		w.runBatch(t, l, max(w.lastStepAt, t.startedAt.Add(startupDelay)), end)
	}
	if t.ended {
		return
	}
	frozen := t.start.Until <= now
	if frozen == t.frozen {
		return
	}
	t.frozen = frozen
	e := w.attemptEvent(judge.Began, t)
	if frozen {
		e.Kind = judge.Ended
		e.At = judge.MomentOf(max(t.start.Until, t.startedAt))
	}
	w.judge.Record(e)
}

// runBatch adds the progress of the task between the two moments, and ends the
// task if it has failed or finished.
func (w *Worker) runBatch(t *task, l load, from, to cowslipbend.Time) {
	if to <= from {
		return
	}
	ownCores := float64(t.demand(to)) / float64(cowslipbend.Core) * l.cpuShare
	gainedCPU := cowslipbend.CPUTime(ownCores * float64(to.Sub(from)) / w.slowdown(l, t.start.Class, ownCores))
	gainedCPU = min(gainedCPU, t.work.TotalCPU-t.doneCPU)
	t.doneCPU += gainedCPU
	w.usefulCPU += gainedCPU
	switch {
	case t.work.AlwaysFails || w.fault.FailAll:
		w.endAttempt(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Failed: true, Reason: "task failed"})
	case t.doneCPU >= t.work.TotalCPU:
		e := w.attemptEvent(judge.Finished, t)
		e.CPU = t.work.TotalCPU
		w.judge.Record(e)
		w.finishedCPU += t.work.TotalCPU
		w.endAttempt(t, cowslipbend.TaskStatus{Phase: cowslipbend.Finished})
	}
}

// checkCapacity records an event each time that the resources in use or the
// reservations begin to exceed the worker's size. When memory runs out, it kills
// the batch task that exceeds its reservation by the most.
func (w *Worker) checkCapacity() {
	var used, reserved cowslipbend.Resources
	var victim *task
	for _, t := range w.tasks {
		if t.ended {
			continue
		}
		used = used.Plus(cowslipbend.Resources{Mem: t.usedMemory(), Accel: t.start.Size.Accel})
		reserved = reserved.Plus(t.start.Size)
		if !t.isReplica() && (victim == nil || memoryExcess(t) > memoryExcess(victim)) {
			victim = t
		}
	}
	overCapacity := !used.Fits(w.opts.Size) || !reserved.Fits(w.opts.Size)
	if overCapacity && !w.overCapacity {
		w.judge.Record(judge.Event{Kind: judge.OverCapacity, Worker: w.opts.ID, Reason: overCapacityReason(used.Fits(w.opts.Size))})
	}
	w.overCapacity = overCapacity
	if used.Mem > w.opts.Size.Mem && victim != nil {
		w.endAttempt(victim, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Failed: true, Reason: "worker ran out of memory"})
	}
}

func overCapacityReason(usedFits bool) string {
	if usedFits {
		return "reserved"
	}
	return "held"
}

// memoryExcess returns how far the memory in use exceeds the reservation.
func memoryExcess(t *task) cowslipbend.Bytes { return t.usedMemory() - t.start.Size.Mem }
