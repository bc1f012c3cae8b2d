package scheduler

import (
	"fmt"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/queuer"
)

// assigning is one pass over the queue.
type assigning struct {
	*Engine
	now, wall cowslipbend.Time
	recs      []cowslipbend.Record
	starts    int
	// taken undoes the reservations of the pass, which the records make anew.
	taken []func()
	// full lists sizes that no host took in this pass.
	full      map[kind][]cowslipbend.Resources
	cancelled map[cowslipbend.JobID]bool
	// fresh counts the searches for victims in this pass.
	fresh int
	// suspects are the workers in quarantine that are due for a probe.
	suspects []*cowslipbend.Host
}

// kind is what a policy may treat alike: that a policy refused a task tells
// nothing of one of another kind. Without a class it stands for all classes.
type kind struct {
	tier  queuer.Tier
	class cowslipbend.Class
}

func kindOf(job *cowslipbend.Job) kind { return kind{queuer.TierOf(job), job.Class} }

// assign places queued tasks in the order of the queue, but for those that the
// earlier records of the same decision cancel.
func (e *Engine) assign(now, wall cowslipbend.Time, earlier []cowslipbend.Record) []cowslipbend.Record {
	a := &assigning{Engine: e, now: now, wall: wall, full: map[kind][]cowslipbend.Resources{}, cancelled: map[cowslipbend.JobID]bool{}}
	for i := range earlier {
		for _, id := range earlier[i].Jobs {
			a.cancelled[id] = true
		}
	}
	e.prune()
	a.suspects = e.suspects(now)
	e.index.queue.Serve(wall, e.index.total, a.offer)
	for _, undo := range a.taken {
		undo()
	}
	return a.recs
}

// offer tries to place one task.
func (a *assigning) offer(job *cowslipbend.Job, item queuer.Item, quota queuer.Quota) (cowslipbend.Resources, queuer.Verdict) {
	none := cowslipbend.Resources{}
	if a.starts >= a.opts.Starts {
		return none, queuer.Stopped
	}
	if a.cancelled[job.ID] {
		return none, queuer.Blocked
	}
	t := a.state.Tasks[item.Task]
	ask := a.ask(t, job)
	if reason := a.hopeless(t, job, ask.Size); reason != "" {
		a.recs = append(a.recs, cowslipbend.Record{Kind: cowslipbend.RecParked, Task: t.ID, Reason: reason, At: a.wall})
		return none, queuer.Passed
	}
	if job.Batch() && job.Urgency == cowslipbend.Urgent {
		a.urgent = larger(a.urgent, ask.Size)
	}
	if !quota.Allows(ask.Size) {
		return none, queuer.Blocked
	}
	if a.probe(t, job, ask) {
		return ask.Size, queuer.Placed
	}
	if len(t.Failed) == 0 && ask.Holder == "" && a.isFull(job, ask.Size) {
		return none, a.blocked(t, job, ask)
	}
	i := a.policy.Place(a.index.hosts, ask)
	if i < 0 {
		if len(t.Failed) == 0 && ask.Holder == "" {
			k := kindOf(job)
			if !a.room(&ask) {
				k.class = ""
			}
			a.full[k] = append(a.full[k], ask.Size)
		}
		return none, a.blocked(t, job, ask)
	}
	a.put(a.index.hosts[i], t, job, ask.Size)
	return ask.Size, queuer.Placed
}

// larger returns the larger of each part.
func larger(a, b cowslipbend.Resources) cowslipbend.Resources {
	return cowslipbend.Resources{CPU: max(a.CPU, b.CPU), Mem: max(a.Mem, b.Mem), Accel: max(a.Accel, b.Accel)}
}

// ask returns what the task asks of a host.
func (a *assigning) ask(t *journaler.Task, job *cowslipbend.Job) cowslipbend.Ask {
	ask := cowslipbend.Ask{
		Task: t.ID, Class: job.Class, Team: job.Team, Urgency: job.Urgency, Service: job.Service, Size: job.Size, Avoid: t.Failed,
	}
	if size := a.policy.Reserve(ask, job.Size); a.holdsEver(size) {
		ask.Size = size
	}
	if d, ok := a.holds[t.ID]; ok {
		ask.Holder, ask.Held = d.worker, d.size
	}
	return ask
}

// holdsEver reports whether some worker of the pool can ever hold the size.
func (e *Engine) holdsEver(size cowslipbend.Resources) bool {
	for _, h := range e.index.hosts {
		if size.Fits(h.Spec.Size) {
			return true
		}
	}
	return false
}

// holdsBeside reports whether some worker can hold the size once its batch has
// ended.
func (e *Engine) holdsBeside(size cowslipbend.Resources) bool {
	for _, h := range e.index.hosts {
		if size.Fits(h.Spec.Size.Minus(h.Fixed)) {
			return true
		}
	}
	return false
}

// isFull reports whether no host took as much or less of the kind in this
// pass, or had room for it.
func (a *assigning) isFull(job *cowslipbend.Job, size cowslipbend.Resources) bool {
	k := kindOf(job)
	return within(a.full[k], size) || within(a.full[kind{tier: k.tier}], size)
}

func within(full []cowslipbend.Resources, size cowslipbend.Resources) bool {
	for _, s := range full {
		if s.Fits(size) {
			return true
		}
	}
	return false
}

// room reports whether a host that takes tasks has room, whatever a policy
// holds against it.
func (a *assigning) room(ask *cowslipbend.Ask) bool {
	for _, h := range a.index.hosts {
		if h.Usable && ask.Size.Fits(h.Room(ask)) {
			return true
		}
	}
	return false
}

// put records the assignment and takes the room for the rest of the pass.
func (a *assigning) put(h *cowslipbend.Host, t *journaler.Task, job *cowslipbend.Job, size cowslipbend.Resources) {
	take(h, job, size, 1)
	a.taken = append(a.taken, func() { take(h, job, size, -1) })
	a.starts++
	a.recs = append(a.recs, cowslipbend.Record{
		Kind: cowslipbend.RecAssigned, Task: t.ID, Attempt: t.Attempt + 1, WorkerID: h.Spec.ID, Size: size, At: a.wall,
	})
}

// hopeless returns why the task is to be set aside, or nothing.
func (a *assigning) hopeless(t *journaler.Task, job *cowslipbend.Job, size cowslipbend.Resources) string {
	if n := distinct(t.Failed); n > 0 && n >= min(a.opts.Park, len(a.index.hosts)) {
		return fmt.Sprintf("failed on %d workers", n)
	}
	if len(a.index.hosts) == 0 {
		return "" // Nothing is known yet of what the pool can hold.
	}
	waited := a.wall.Sub(t.Since)
	if waited > a.opts.Unfit && !a.holdsEver(job.Size) {
		return "no worker of the pool can hold it"
	}
	if waited > a.opts.Beside && job.Batch() && !a.holdsBeside(size) {
		return "no worker of the pool can hold it beside its services"
	}
	return ""
}

// blocked notes that a task found no room: services and urgent work may have
// others evicted, and room is held for what has waited long.
func (a *assigning) blocked(t *journaler.Task, job *cowslipbend.Job, ask cowslipbend.Ask) queuer.Verdict {
	if _, held := a.holds[t.ID]; held {
		return queuer.Passed
	}
	first := !job.Batch() || job.Urgency == cowslipbend.Urgent
	if first && a.wall.Sub(t.Since) >= a.opts.Grace {
		if a.evictFor(t, ask) {
			return queuer.Passed
		}
	}
	if job.Batch() && a.wall.Sub(t.Since) > a.opts.Aged {
		a.hold(t, ask)
	}
	return queuer.Blocked
}

func distinct(workers []cowslipbend.WorkerID) int {
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
