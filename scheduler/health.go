package scheduler

import (
	"fmt"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/queuer"
)

// health distinguishes faulty workers from faulty jobs by where attempts
// failed. It is not persisted: a new owner starts without it.
type health struct {
	// workerFailures lists, for each worker, the jobs of the attempts that failed
	// there since its last success.
	workerFailures map[cowslipbend.WorkerID][]cowslipbend.JobID
	// failedOn lists the workers on which tasks of a job failed; succeeded lists
	// the jobs that had a task finish on some worker.
	failedOn  map[cowslipbend.JobID][]cowslipbend.WorkerID
	succeeded map[cowslipbend.JobID]bool
	// quarantinedHere lists the workers that this owner put into quarantine;
	// passedProbe those that have finished a task while in quarantine.
	quarantinedHere map[cowslipbend.WorkerID]bool
	passedProbe     map[cowslipbend.WorkerID]bool
	probes          map[cowslipbend.WorkerID]probeState
}

// probeState schedules the probes of one worker.
type probeState struct {
	nextAt   cowslipbend.Time
	interval cowslipbend.Span
}

// Bounds of the retained failures and of the probe interval.
const (
	maxWorkerFailures = 32
	maxTrackedJobs    = 20000
	maxProbeInterval  = cowslipbend.Minute
)

func newHealth() *health {
	return &health{
		workerFailures: map[cowslipbend.WorkerID][]cowslipbend.JobID{}, failedOn: map[cowslipbend.JobID][]cowslipbend.WorkerID{},
		succeeded: map[cowslipbend.JobID]bool{}, quarantinedHere: map[cowslipbend.WorkerID]bool{}, passedProbe: map[cowslipbend.WorkerID]bool{},
		probes: map[cowslipbend.WorkerID]probeState{},
	}
}

// observe updates the health from a record that is about to be applied.
func (h *health) observe(state *journaler.State, r cowslipbend.Record) {
	switch r.Kind {
	case cowslipbend.RecFailed, cowslipbend.RecFinished:
		if t, ok := state.Tasks[r.Task]; ok && t.Worker != "" {
			h.observeEnd(t, state.Workers[t.Worker], r.Kind == cowslipbend.RecFinished)
		}
	case cowslipbend.RecRestored, cowslipbend.RecSilent:
		h.clear(r.WorkerID)
	}
}

func (h *health) observeEnd(t *journaler.Task, w *journaler.Worker, finished bool) {
	if finished {
		if len(h.succeeded) >= maxTrackedJobs {
			clear(h.succeeded)
		}
		h.succeeded[t.Job] = true
		delete(h.workerFailures, t.Worker)
		h.passedProbe[t.Worker] = w.Condition == journaler.Quarantined
		return
	}
	if len(h.failedOn) >= maxTrackedJobs {
		clear(h.failedOn)
	}
	if !contains(h.failedOn[t.Job], t.Worker) {
		h.failedOn[t.Job] = append(h.failedOn[t.Job], t.Worker)
	}
	if len(h.workerFailures[t.Worker]) < maxWorkerFailures {
		h.workerFailures[t.Worker] = append(h.workerFailures[t.Worker], t.Job)
	}
}

func (h *health) clear(id cowslipbend.WorkerID) {
	delete(h.workerFailures, id)
	delete(h.quarantinedHere, id)
	delete(h.passedProbe, id)
	delete(h.probes, id)
}

// workerFaults counts the failures that are attributed to the worker: those of
// jobs that failed on at most one worker or that succeeded on some worker.
func (h *health) workerFaults(id cowslipbend.WorkerID) int {
	n := 0
	for _, job := range h.workerFailures[id] {
		if h.succeeded[job] || len(h.failedOn[job]) < 2 {
			n++
		}
	}
	return n
}

// quarantine returns the records that put workers into quarantine or restore
// them. It quarantines at most half of the workers.
func (e *Engine) quarantine(wall cowslipbend.Time) []cowslipbend.Record {
	quarantined := 0
	for _, w := range e.state.Workers {
		if w.Condition == journaler.Quarantined {
			quarantined++
		}
	}
	var recs []cowslipbend.Record
	for _, host := range e.index.hosts {
		id := host.Spec.ID
		faults := e.health.workerFaults(id)
		switch e.state.Workers[id].Condition {
		case journaler.Fit:
			if faults < e.opts.QuarantineFailures || 2*(quarantined+1) > len(e.index.hosts) {
				continue
			}
			quarantined++
			e.health.quarantinedHere[id] = true
			recs = append(recs, cowslipbend.Record{
				Kind: cowslipbend.RecQuarantine, WorkerID: id, Reason: fmt.Sprintf("failed %d tasks that fail nowhere else", faults), At: wall,
			})
		case journaler.Quarantined:
			if e.health.passedProbe[id] || e.health.quarantinedHere[id] && faults < e.opts.QuarantineFailures {
				recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecRestored, WorkerID: id, At: wall})
			}
		}
	}
	return recs
}

// dueForProbe returns the quarantined workers that are due for a probe.
func (e *Engine) dueForProbe(now cowslipbend.Time) []*cowslipbend.Host {
	var list []*cowslipbend.Host
	for _, h := range e.index.hosts {
		id := h.Spec.ID
		w := e.state.Workers[id]
		if w.Condition != journaler.Quarantined || w.Drained || !isPresent(e.contacts[id], now, e.opts.HeartbeatTimeout) {
			continue
		}
		p, known := e.health.probes[id]
		if !known {
			p = probeState{nextAt: now.Add(e.opts.ProbeInterval), interval: e.opts.ProbeInterval}
			e.health.probes[id] = p
		}
		if p.nextAt <= now {
			list = append(list, h)
		}
	}
	return list
}

// tryProbe assigns a task without failures to a worker that is due for a
// probe, and reports whether it did.
func (a *assignmentPass) tryProbe(t *journaler.Task, job *cowslipbend.Job, ask cowslipbend.Ask) bool {
	if len(a.probeHosts) == 0 || queuer.TierOf(job) != queuer.Normal || len(t.FailedWorkers) > 0 || len(a.health.failedOn[job.ID]) > 0 {
		return false
	}
	for i, h := range a.probeHosts {
		if !ask.Size.Fits(h.Room(&ask)) {
			continue
		}
		p := a.health.probes[h.Spec.ID]
		p.interval = min(2*p.interval, maxProbeInterval)
		p.nextAt = a.now.Add(p.interval)
		a.health.probes[h.Spec.ID] = p
		a.probeHosts = append(a.probeHosts[:i], a.probeHosts[i+1:]...)
		a.assignTo(h, t, job, ask.Size)
		return true
	}
	return false
}
