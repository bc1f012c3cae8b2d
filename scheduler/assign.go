package scheduler

import (
	"fmt"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/queuer"
)

// assignmentPass is one pass over the queue within a decision.
type assignmentPass struct {
	*Engine
	now, wall cowslipbend.Time
	recs      []cowslipbend.Record
	starts    int
	// undoReservations reverts the pass's changes to the hosts; applying the
	// records makes them again.
	undoReservations []func()
	// unplaceable lists the sizes that no host accepted in this pass.
	unplaceable map[refusalKey][]cowslipbend.Resources
	cancelled   map[cowslipbend.JobID]bool
	// victimSearches counts the searches for eviction victims in this pass.
	victimSearches int
	// probeHosts are the quarantined workers that are due for a probe.
	probeHosts []*cowslipbend.Host
}

// refusalKey groups tasks that a policy may treat alike: a refusal under one
// key says nothing about tasks under another. An empty class stands for all
// classes of the tier.
type refusalKey struct {
	tier  queuer.Tier
	class cowslipbend.Class
}

func refusalKeyOf(job *cowslipbend.Job) refusalKey { return refusalKey{queuer.TierOf(job), job.Class} }

// assign places queued tasks in queue order. It skips tasks of jobs that the
// earlier records of the same decision cancel.
func (e *Engine) assign(now, wall cowslipbend.Time, earlier []cowslipbend.Record) []cowslipbend.Record {
	a := &assignmentPass{Engine: e, now: now, wall: wall, unplaceable: map[refusalKey][]cowslipbend.Resources{}, cancelled: map[cowslipbend.JobID]bool{}}
	for i := range earlier {
		for _, id := range earlier[i].Jobs {
			a.cancelled[id] = true
		}
	}
	e.pruneHolds()
	a.probeHosts = e.dueForProbe(now)
	e.index.queue.Serve(wall, e.index.total, a.tryPlace)
	for _, undo := range a.undoReservations {
		undo()
	}
	return a.recs
}

// tryPlace tries to place one task and tells the queue how to proceed.
func (a *assignmentPass) tryPlace(job *cowslipbend.Job, item queuer.Item, quota queuer.Quota) (cowslipbend.Resources, queuer.Verdict) {
	none := cowslipbend.Resources{}
	if a.starts >= a.opts.MaxStarts {
		return none, queuer.Stopped
	}
	if a.cancelled[job.ID] {
		return none, queuer.Blocked
	}
	t := a.state.Tasks[item.Task]
	ask := a.ask(t, job)
	if reason := a.parkReason(t, job, ask.Size); reason != "" {
		a.recs = append(a.recs, cowslipbend.Record{Kind: cowslipbend.RecParked, Task: t.ID, Reason: reason, At: a.wall})
		return none, queuer.Skipped
	}
	if job.Batch() && job.Urgency == cowslipbend.Urgent {
		a.maxUrgent = maxResources(a.maxUrgent, ask.Size)
	}
	if !quota.Allows(ask.Size) {
		return none, queuer.Blocked
	}
	if a.tryProbe(t, job, ask) {
		return ask.Size, queuer.Placed
	}
	if len(t.FailedWorkers) == 0 && ask.Holder == "" && a.knownUnplaceable(job, ask.Size) {
		return none, a.handleUnplaced(t, job, ask)
	}
	i := a.policy.Place(a.index.hosts, ask)
	if i < 0 {
		if len(t.FailedWorkers) == 0 && ask.Holder == "" {
			k := refusalKeyOf(job)
			if !a.hasRoom(&ask) {
				k.class = ""
			}
			a.unplaceable[k] = append(a.unplaceable[k], ask.Size)
		}
		return none, a.handleUnplaced(t, job, ask)
	}
	a.assignTo(a.index.hosts[i], t, job, ask.Size)
	return ask.Size, queuer.Placed
}

// maxResources returns the larger value of each resource.
func maxResources(a, b cowslipbend.Resources) cowslipbend.Resources {
	return cowslipbend.Resources{CPU: max(a.CPU, b.CPU), Mem: max(a.Mem, b.Mem), Accel: max(a.Accel, b.Accel)}
}

// ask returns the task's placement request.
func (a *assignmentPass) ask(t *journaler.Task, job *cowslipbend.Job) cowslipbend.Ask {
	ask := cowslipbend.Ask{
		Task: t.ID, Class: job.Class, Team: job.Team, Urgency: job.Urgency, Service: job.Service, Size: job.Size, Avoid: t.FailedWorkers,
	}
	if size := a.policy.Reserve(ask, job.Size); a.fitsAnyWorker(size) {
		ask.Size = size
	}
	if held, ok := a.holds[t.ID]; ok {
		ask.Holder, ask.Held = held.worker, held.size
	}
	return ask
}

// fitsAnyWorker reports whether the size fits the whole of some worker in the
// pool.
func (e *Engine) fitsAnyWorker(size cowslipbend.Resources) bool {
	for _, h := range e.index.hosts {
		if size.Fits(h.Spec.Size) {
			return true
		}
	}
	return false
}

// fitsBesideServices reports whether the size fits some worker next to its
// services, assuming that its batch tasks have ended.
func (e *Engine) fitsBesideServices(size cowslipbend.Resources) bool {
	for _, h := range e.index.hosts {
		if size.Fits(h.Spec.Size.Minus(h.ServiceReserved)) {
			return true
		}
	}
	return false
}

// knownUnplaceable reports whether this pass has already failed to place a
// task of the same key that is no larger than size.
func (a *assignmentPass) knownUnplaceable(job *cowslipbend.Job, size cowslipbend.Resources) bool {
	k := refusalKeyOf(job)
	return anyFits(a.unplaceable[k], size) || anyFits(a.unplaceable[refusalKey{tier: k.tier}], size)
}

func anyFits(refused []cowslipbend.Resources, size cowslipbend.Resources) bool {
	for _, s := range refused {
		if s.Fits(size) {
			return true
		}
	}
	return false
}

// hasRoom reports whether a usable host has room for the task, regardless of
// the policy.
func (a *assignmentPass) hasRoom(ask *cowslipbend.Ask) bool {
	for _, h := range a.index.hosts {
		if h.Usable && ask.Size.Fits(h.Room(ask)) {
			return true
		}
	}
	return false
}

// assignTo records the assignment and reserves the room for the rest of the
// pass.
func (a *assignmentPass) assignTo(h *cowslipbend.Host, t *journaler.Task, job *cowslipbend.Job, size cowslipbend.Resources) {
	changeHost(h, job, size, 1)
	a.undoReservations = append(a.undoReservations, func() { changeHost(h, job, size, -1) })
	a.starts++
	a.recs = append(a.recs, cowslipbend.Record{
		Kind: cowslipbend.RecAssigned, Task: t.ID, Attempt: t.Attempt + 1, WorkerID: h.Spec.ID, Size: size, At: a.wall,
	})
}

// parkReason returns why the task must be parked, or an empty string.
func (a *assignmentPass) parkReason(t *journaler.Task, job *cowslipbend.Job, size cowslipbend.Resources) string {
	if n := countDistinct(t.FailedWorkers); n > 0 && n >= min(a.opts.MaxFailedWorkers, len(a.index.hosts)) {
		return fmt.Sprintf("failed on %d workers", n)
	}
	if len(a.index.hosts) == 0 {
		return "" // No worker has joined yet, so the sizes are not known.
	}
	waited := a.wall.Sub(t.PhaseSince)
	if waited > a.opts.UnfitTimeout && !a.fitsAnyWorker(job.Size) {
		return "no worker of the pool can hold it"
	}
	if waited > a.opts.BesideServicesTimeout && job.Batch() && !a.fitsBesideServices(size) {
		return "no worker of the pool can hold it beside its services"
	}
	return ""
}

// handleUnplaced deals with a task that no host accepted. Services and urgent
// tasks may have other tasks evicted; batch tasks that have waited longer than
// HoldAfter get room held for them.
func (a *assignmentPass) handleUnplaced(t *journaler.Task, job *cowslipbend.Job, ask cowslipbend.Ask) queuer.Verdict {
	if _, held := a.holds[t.ID]; held {
		return queuer.Skipped
	}
	mayEvict := !job.Batch() || job.Urgency == cowslipbend.Urgent
	if mayEvict && a.wall.Sub(t.PhaseSince) >= a.opts.EvictAfter {
		if a.evictFor(t, ask) {
			return queuer.Skipped
		}
	}
	if job.Batch() && a.wall.Sub(t.PhaseSince) > a.opts.HoldAfter {
		a.holdRoom(t, ask)
	}
	return queuer.Blocked
}

func countDistinct(workers []cowslipbend.WorkerID) int {
	n := 0
	for i, w := range workers {
		if !contains(workers[:i], w) {
			n++
		}
	}
	return n
}

func contains(list []cowslipbend.WorkerID, w cowslipbend.WorkerID) bool {
	for _, x := range list {
		if x == w {
			return true
		}
	}
	return false
}
