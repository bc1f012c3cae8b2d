package scheduler

import (
	"fmt"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/queuer"
)

// health tells faulty workers from faulty jobs by where attempts failed. It is
// not kept over a change of owner.
type health struct {
	// faults lists the jobs of the failures of each worker since its last
	// success.
	faults map[cowslipbend.WorkerID][]cowslipbend.JobID
	// failed lists the workers on which tasks of a job failed, good the jobs
	// that succeeded somewhere.
	failed map[cowslipbend.JobID][]cowslipbend.WorkerID
	good   map[cowslipbend.JobID]bool
	// caught holds the workers that this owner put into quarantine, proved
	// those that finished a task since.
	caught map[cowslipbend.WorkerID]bool
	proved map[cowslipbend.WorkerID]bool
	probes map[cowslipbend.WorkerID]probing
}

// probing is the state of the probes of one worker.
type probing struct {
	next cowslipbend.Time
	wait cowslipbend.Span
}

// Bounds of what is remembered.
const (
	maxFaults  = 32
	maxJobs    = 20000
	maxProbing = cowslipbend.Minute
)

func newHealth() *health {
	return &health{
		faults: map[cowslipbend.WorkerID][]cowslipbend.JobID{}, failed: map[cowslipbend.JobID][]cowslipbend.WorkerID{},
		good: map[cowslipbend.JobID]bool{}, caught: map[cowslipbend.WorkerID]bool{}, proved: map[cowslipbend.WorkerID]bool{},
		probes: map[cowslipbend.WorkerID]probing{},
	}
}

// note takes a record that is about to be applied.
func (h *health) note(state *journaler.State, r cowslipbend.Record) {
	switch r.Kind {
	case cowslipbend.RecFailed, cowslipbend.RecFinished:
		if t, ok := state.Tasks[r.Task]; ok && t.Worker != "" {
			h.ended(t, state.Workers[t.Worker], r.Kind == cowslipbend.RecFinished)
		}
	case cowslipbend.RecRestored, cowslipbend.RecSilent:
		h.clear(r.WorkerID)
	}
}

func (h *health) ended(t *journaler.Task, w *journaler.Worker, finished bool) {
	if finished {
		if len(h.good) >= maxJobs {
			clear(h.good)
		}
		h.good[t.Job] = true
		delete(h.faults, t.Worker)
		h.proved[t.Worker] = w.Condition == journaler.Quarantined
		return
	}
	if len(h.failed) >= maxJobs {
		clear(h.failed)
	}
	if !contains(h.failed[t.Job], t.Worker) {
		h.failed[t.Job] = append(h.failed[t.Job], t.Worker)
	}
	if len(h.faults[t.Worker]) < maxFaults {
		h.faults[t.Worker] = append(h.faults[t.Worker], t.Job)
	}
}

func (h *health) clear(id cowslipbend.WorkerID) {
	delete(h.faults, id)
	delete(h.caught, id)
	delete(h.proved, id)
	delete(h.probes, id)
}

// evidence counts the failures that speak against the worker: of jobs that
// failed nowhere else or that succeeded somewhere.
func (h *health) evidence(id cowslipbend.WorkerID) int {
	n := 0
	for _, job := range h.faults[id] {
		if h.good[job] || len(h.failed[job]) < 2 {
			n++
		}
	}
	return n
}

// quarantine returns the records that put workers into quarantine or restore
// them. At most half of the workers are in quarantine.
func (e *Engine) quarantine(wall cowslipbend.Time) []cowslipbend.Record {
	out := 0
	for _, w := range e.state.Workers {
		if w.Condition == journaler.Quarantined {
			out++
		}
	}
	var recs []cowslipbend.Record
	for _, host := range e.index.hosts {
		id := host.Spec.ID
		n := e.health.evidence(id)
		switch e.state.Workers[id].Condition {
		case journaler.Fit:
			if n < e.opts.Faults || 2*(out+1) > len(e.index.hosts) {
				continue
			}
			out++
			e.health.caught[id] = true
			recs = append(recs, cowslipbend.Record{
				Kind: cowslipbend.RecQuarantine, WorkerID: id, Reason: fmt.Sprintf("failed %d tasks that fail nowhere else", n), At: wall,
			})
		case journaler.Quarantined:
			if e.health.proved[id] || e.health.caught[id] && n < e.opts.Faults {
				recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecRestored, WorkerID: id, At: wall})
			}
		}
	}
	return recs
}

// suspects returns the workers in quarantine that are due for a probe.
func (e *Engine) suspects(now cowslipbend.Time) []*cowslipbend.Host {
	var list []*cowslipbend.Host
	for _, h := range e.index.hosts {
		id := h.Spec.ID
		w := e.state.Workers[id]
		if w.Condition != journaler.Quarantined || w.Drained || !present(e.seen[id], now, e.opts.Suspect) {
			continue
		}
		p, known := e.health.probes[id]
		if !known {
			p = probing{next: now.Add(e.opts.Probe), wait: e.opts.Probe}
			e.health.probes[id] = p
		}
		if p.next <= now {
			list = append(list, h)
		}
	}
	return list
}

// probe gives a task that has not failed to a worker that is due for a probe,
// and reports whether it did.
func (a *assigning) probe(t *journaler.Task, job *cowslipbend.Job, ask cowslipbend.Ask) bool {
	if len(a.suspects) == 0 || queuer.TierOf(job) != queuer.Normal || len(t.Failed) > 0 || len(a.health.failed[job.ID]) > 0 {
		return false
	}
	for i, h := range a.suspects {
		if !ask.Size.Fits(h.Room(&ask)) {
			continue
		}
		p := a.health.probes[h.Spec.ID]
		p.wait = min(2*p.wait, maxProbing)
		p.next = a.now.Add(p.wait)
		a.health.probes[h.Spec.ID] = p
		a.suspects = append(a.suspects[:i], a.suspects[i+1:]...)
		a.put(h, t, job, ask.Size)
		return true
	}
	return false
}
