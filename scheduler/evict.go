package scheduler

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/queuer"
)

// intent is an eviction that is ordered until the worker reports its end. It
// releases no reservation.
type intent struct {
	task    cowslipbend.TaskID
	attempt cowslipbend.Attempt
	worker  cowslipbend.WorkerID
	size    cowslipbend.Resources
	// room is the task for which it makes room, empty for a drained worker.
	room cowslipbend.TaskID
}

// evicting holds the intents of an owner and bounds their rate.
type evicting struct {
	opts    Options
	intents map[cowslipbend.TaskID]intent
	pool    budget
	jobs    map[cowslipbend.JobID]*budget
	weight  float64
}

// budget is a count of evictions that refills with time.
type budget struct {
	left float64
	last cowslipbend.Time
}

// has refills the budget and reports whether n evictions are within it.
func (b *budget) has(n int, now cowslipbend.Time, each cowslipbend.Span, burst int) bool {
	b.left = min(float64(burst), b.left+float64(now.Sub(b.last))/float64(each))
	b.last = now
	return b.left >= float64(n)
}

func newEvicting(opts Options) *evicting {
	return &evicting{
		opts: opts, intents: map[cowslipbend.TaskID]intent{}, weight: 1,
		pool: budget{left: float64(opts.Burst)}, jobs: map[cowslipbend.JobID]*budget{},
	}
}

// weigh takes the weight of evictions from the pool's declaration.
func (v *evicting) weigh(w cowslipbend.Weights) {
	v.weight = 1
	if w != (cowslipbend.Weights{}) {
		v.weight = w.Evict
	}
}

// release drops the evictions that were to make room for the task.
func (v *evicting) release(room cowslipbend.TaskID) {
	for id, i := range v.intents {
		if i.room == room {
			delete(v.intents, id)
		}
	}
}

// coming sums what the intents will free on the worker.
func (v *evicting) coming(worker cowslipbend.WorkerID) cowslipbend.Resources {
	var sum cowslipbend.Resources
	for _, i := range v.intents {
		if i.worker == worker {
			sum = sum.Plus(i.size)
		}
	}
	return sum
}

// allowed reports whether a task of the job may be evicted now.
func (v *evicting) allowed(job cowslipbend.JobID, now cowslipbend.Time) bool {
	b, ok := v.jobs[job]
	return !ok || b.has(1, now, v.opts.Evict, v.opts.Burst)
}

// spend counts the eviction of a task of the job.
func (v *evicting) spend(job cowslipbend.JobID, now cowslipbend.Time) {
	b, ok := v.jobs[job]
	if !ok {
		b = &budget{left: float64(v.opts.Burst), last: now}
		v.jobs[job] = b
	}
	b.left--
	v.pool.left--
}

// triesPerPass bounds the searches for victims in one decision.
const triesPerPass = 16

// plan is a way to make room on a worker.
type plan struct {
	host    *cowslipbend.Host
	victims []*journaler.Task
	cost    float64
}

// evictFor chooses the cheapest victims that make room for an urgent task,
// holds the room for it, and reports whether it did.
func (a *assigning) evictFor(t *journaler.Task, ask cowslipbend.Ask) bool {
	if a.fresh++; a.fresh > triesPerPass || !a.evicting.pool.has(1, a.now, a.opts.Evict, a.opts.Burst) {
		return false
	}
	var best *plan
	for _, h := range a.index.hosts {
		if !h.Usable || contains(t.Failed, h.Spec.ID) {
			continue
		}
		if p := a.planOn(h, ask); p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	if best == nil || !a.evicting.pool.has(len(best.victims), a.now, a.opts.Evict, a.opts.Burst) {
		return false
	}
	a.keep(t.ID, best.host, hold{worker: best.host.Spec.ID, size: ask.Size, urgent: true})
	for _, v := range best.victims {
		a.evict(v, t.ID)
		a.evicting.spend(v.Job, a.now)
	}
	return true
}

// planOn returns the cheapest victims on the host, or nil if none suffice.
func (a *assigning) planOn(h *cowslipbend.Host, ask cowslipbend.Ask) *plan {
	lack := ask.Size.Minus(h.Room(&ask)).Minus(a.evicting.coming(h.Spec.ID))
	var list []*journaler.Task
	for _, t := range a.index.on[h.Spec.ID] {
		if a.victim(t) {
			list = append(list, t)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if ci, cj := a.cost(list[i], lack), a.cost(list[j], lack); ci != cj {
			return ci < cj
		}
		return list[i].ID < list[j].ID
	})
	p := &plan{host: h}
	for _, t := range list {
		if covered(lack) {
			break
		}
		p.victims = append(p.victims, t)
		p.cost += a.cost(t, lack)
		lack = lack.Minus(t.Size)
	}
	if !covered(lack) {
		return nil
	}
	return p
}

func covered(lack cowslipbend.Resources) bool { return lack.Fits(cowslipbend.Resources{}) }

// victim reports whether the task may be evicted for urgent work.
func (a *assigning) victim(t *journaler.Task) bool {
	job := a.state.Jobs[t.Job]
	_, chosen := a.evicting.intents[t.ID]
	return !chosen && job.Batch() && job.Urgency != cowslipbend.Urgent && t.Phase == cowslipbend.Running &&
		!t.Cancelling() && t.Evictions < a.opts.Often && a.evicting.allowed(t.Job, a.now)
}

// Costs of a victim, in evictions.
const (
	costNormal = 2.0
	costAgain  = 4.0
)

// cost is what evicting the task would cost: least for spare work, more for
// what was evicted before, and more for what frees more than is lacking.
func (a *assigning) cost(t *journaler.Task, lack cowslipbend.Resources) float64 {
	c := 1.0
	if queuer.TierOf(a.state.Jobs[t.Job]) == queuer.Normal {
		c += costNormal
	}
	c += costAgain * float64(t.Evictions)
	c *= max(a.evicting.weight, 1)
	if h := a.index.byID[t.Worker]; h != nil {
		c += max(0, t.Size.Minus(lack).Share(h.Spec.Size))
	}
	return c
}

func (e *Engine) evict(t *journaler.Task, room cowslipbend.TaskID) {
	e.evicting.intents[t.ID] = intent{task: t.ID, attempt: t.Attempt, worker: t.Worker, size: t.Size, room: room}
}

// drainPace is how many evictions from one drained worker are under way at
// once.
const drainPace = 2

// empty evicts batch from workers that are drained or leave.
func (e *Engine) empty(now cowslipbend.Time) {
	for _, h := range e.index.hosts {
		if !e.goes(h.Spec.ID) || !heardLately(e.seen[h.Spec.ID], now, e.opts.Suspect) {
			continue
		}
		e.emptyOne(h.Spec.ID)
	}
}

func (e *Engine) emptyOne(worker cowslipbend.WorkerID) {
	var list []*journaler.Task
	under := 0
	for _, t := range e.index.on[worker] {
		if _, chosen := e.evicting.intents[t.ID]; chosen {
			under++
			continue
		}
		if e.state.Jobs[t.Job].Batch() && t.Phase == cowslipbend.Running && !t.Cancelling() {
			list = append(list, t)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	for _, t := range list {
		if under >= drainPace {
			return
		}
		under++
		e.evict(t, "")
	}
}

// goes reports whether the worker is to be emptied.
func (e *Engine) goes(id cowslipbend.WorkerID) bool {
	w, s := e.state.Workers[id], e.seen[id]
	return w != nil && (w.Drained || s != nil && s.leaving)
}

func heardLately(s *seen, now cowslipbend.Time, suspect cowslipbend.Span) bool {
	return s != nil && s.heard && now.Sub(s.at) <= suspect
}
