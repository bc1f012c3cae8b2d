package scheduler

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/queuer"
)

// evictionOrder is an eviction that is ordered until the worker reports the
// attempt's end. It releases no reservation.
type evictionOrder struct {
	task    cowslipbend.TaskID
	attempt cowslipbend.Attempt
	worker  cowslipbend.WorkerID
	size    cowslipbend.Resources
	// forTask is the task that needs the room, empty for a drained worker.
	forTask cowslipbend.TaskID
}

// evictor holds the eviction orders of an owner and limits their rate.
type evictor struct {
	opts       Options
	orders     map[cowslipbend.TaskID]evictionOrder
	poolBudget budget
	jobBudgets map[cowslipbend.JobID]*budget
	weight     float64
}

// budget is a token bucket of evictions.
type budget struct {
	tokens     float64
	refilledAt cowslipbend.Time
}

// allows refills the bucket and reports whether it covers n evictions.
func (b *budget) allows(n int, now cowslipbend.Time, interval cowslipbend.Span, burst int) bool {
	b.tokens = min(float64(burst), b.tokens+float64(now.Sub(b.refilledAt))/float64(interval))
	b.refilledAt = now
	return b.tokens >= float64(n)
}

func newEvictor(opts Options) *evictor {
	return &evictor{
		opts: opts, orders: map[cowslipbend.TaskID]evictionOrder{}, weight: 1,
		poolBudget: budget{tokens: float64(opts.EvictBurst)}, jobBudgets: map[cowslipbend.JobID]*budget{},
	}
}

// setWeight takes the eviction weight from the pool's declaration.
func (v *evictor) setWeight(w cowslipbend.Weights) {
	v.weight = 1
	if w != (cowslipbend.Weights{}) {
		v.weight = w.Evict
	}
}

// cancelFor drops the eviction orders that were to make room for the task.
func (v *evictor) cancelFor(task cowslipbend.TaskID) {
	for id, order := range v.orders {
		if order.forTask == task {
			delete(v.orders, id)
		}
	}
}

// pendingRoom returns the resources that the eviction orders will free on the
// worker.
func (v *evictor) pendingRoom(worker cowslipbend.WorkerID) cowslipbend.Resources {
	var sum cowslipbend.Resources
	for _, order := range v.orders {
		if order.worker == worker {
			sum = sum.Plus(order.size)
		}
	}
	return sum
}

// jobAllows reports whether the job's budget covers another eviction.
func (v *evictor) jobAllows(job cowslipbend.JobID, now cowslipbend.Time) bool {
	b, ok := v.jobBudgets[job]
	return !ok || b.allows(1, now, v.opts.EvictInterval, v.opts.EvictBurst)
}

// spend charges the eviction of one task to its job and the pool.
func (v *evictor) spend(job cowslipbend.JobID, now cowslipbend.Time) {
	b, ok := v.jobBudgets[job]
	if !ok {
		b = &budget{tokens: float64(v.opts.EvictBurst), refilledAt: now}
		v.jobBudgets[job] = b
	}
	b.tokens--
	v.poolBudget.tokens--
}

// maxVictimSearches bounds the searches for victims in one decision.
const maxVictimSearches = 16

// evictionPlan lists the victims that make room on a host, and their cost.
type evictionPlan struct {
	host    *cowslipbend.Host
	victims []*journaler.Task
	cost    float64
}

// evictFor orders the cheapest evictions that make room for the task, holds
// the room for it, and reports whether it did.
func (a *assignmentPass) evictFor(t *journaler.Task, ask cowslipbend.Ask) bool {
	if a.victimSearches++; a.victimSearches > maxVictimSearches || !a.evictor.poolBudget.allows(1, a.now, a.opts.EvictInterval, a.opts.EvictBurst) {
		return false
	}
	var best *evictionPlan
	for _, h := range a.index.hosts {
		if !h.Usable || contains(t.FailedWorkers, h.Spec.ID) {
			continue
		}
		if p := a.planEvictions(h, ask); p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	if best == nil || !a.evictor.poolBudget.allows(len(best.victims), a.now, a.opts.EvictInterval, a.opts.EvictBurst) {
		return false
	}
	a.addHold(t.ID, best.host, hold{worker: best.host.Spec.ID, size: ask.Size, urgent: true})
	for _, v := range best.victims {
		a.orderEviction(v, t.ID)
		a.evictor.spend(v.Job, a.now)
	}
	return true
}

// planEvictions returns the cheapest victims on the host, or nil if even all
// of them free too little.
func (a *assignmentPass) planEvictions(h *cowslipbend.Host, ask cowslipbend.Ask) *evictionPlan {
	shortfall := ask.Size.Minus(h.Room(&ask)).Minus(a.evictor.pendingRoom(h.Spec.ID))
	var candidates []*journaler.Task
	for _, t := range a.index.tasksByWorker[h.Spec.ID] {
		if a.isEvictable(t) {
			candidates = append(candidates, t)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if ci, cj := a.cost(candidates[i], shortfall), a.cost(candidates[j], shortfall); ci != cj {
			return ci < cj
		}
		return candidates[i].ID < candidates[j].ID
	})
	p := &evictionPlan{host: h}
	for _, t := range candidates {
		if covered(shortfall) {
			break
		}
		p.victims = append(p.victims, t)
		p.cost += a.cost(t, shortfall)
		shortfall = shortfall.Minus(t.Size)
	}
	if !covered(shortfall) {
		return nil
	}
	return p
}

func covered(shortfall cowslipbend.Resources) bool { return shortfall.Fits(cowslipbend.Resources{}) }

// isEvictable reports whether the task may be evicted for a service or an
// urgent task.
func (a *assignmentPass) isEvictable(t *journaler.Task) bool {
	job := a.state.Jobs[t.Job]
	_, ordered := a.evictor.orders[t.ID]
	return !ordered && job.Batch() && job.Urgency != cowslipbend.Urgent && t.Phase == cowslipbend.Running &&
		!t.Cancelling() && t.Evictions < a.opts.MaxEvictions && a.evictor.jobAllows(t.Job, a.now)
}

// Costs added to the base cost of 1 for an eviction.
const (
	normalCost = 2.0
	repeatCost = 4.0
)

// cost returns the cost of evicting the task: least for spare work, higher for
// each earlier eviction of the task and for resources freed beyond the
// shortfall.
func (a *assignmentPass) cost(t *journaler.Task, shortfall cowslipbend.Resources) float64 {
	c := 1.0
	if queuer.TierOf(a.state.Jobs[t.Job]) == queuer.Normal {
		c += normalCost
	}
	c += repeatCost * float64(t.Evictions)
	c *= max(a.evictor.weight, 1)
	if h := a.index.byID[t.Worker]; h != nil {
		c += max(0, t.Size.Minus(shortfall).Share(h.Spec.Size))
	}
	return c
}

func (e *Engine) orderEviction(t *journaler.Task, forTask cowslipbend.TaskID) {
	e.evictor.orders[t.ID] = evictionOrder{task: t.ID, attempt: t.Attempt, worker: t.Worker, size: t.Size, forTask: forTask}
}

// maxDrainEvictions is the number of concurrent evictions from one drained
// worker.
const maxDrainEvictions = 2

// evictFromDraining orders the eviction of batch tasks from workers that are
// drained or leaving.
func (e *Engine) evictFromDraining(now cowslipbend.Time) {
	for _, h := range e.index.hosts {
		if !e.isDraining(h.Spec.ID) || !hasRecentHeartbeat(e.contacts[h.Spec.ID], now, e.opts.HeartbeatTimeout) {
			continue
		}
		e.evictFromWorker(h.Spec.ID)
	}
}

func (e *Engine) evictFromWorker(worker cowslipbend.WorkerID) {
	var candidates []*journaler.Task
	inProgress := 0
	for _, t := range e.index.tasksByWorker[worker] {
		if _, ordered := e.evictor.orders[t.ID]; ordered {
			inProgress++
			continue
		}
		if e.state.Jobs[t.Job].Batch() && t.Phase == cowslipbend.Running && !t.Cancelling() {
			candidates = append(candidates, t)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	for _, t := range candidates {
		if inProgress >= maxDrainEvictions {
			return
		}
		inProgress++
		e.orderEviction(t, "")
	}
}

// isDraining reports whether the worker is drained or leaving.
func (e *Engine) isDraining(id cowslipbend.WorkerID) bool {
	w, s := e.state.Workers[id], e.contacts[id]
	return w != nil && (w.Drained || s != nil && s.leaving)
}

func hasRecentHeartbeat(s *workerContact, now cowslipbend.Time, timeout cowslipbend.Span) bool {
	return s != nil && s.hasHeartbeat && now.Sub(s.lastContact) <= timeout
}
