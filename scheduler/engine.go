package scheduler

import (
	"fmt"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// Options are the timeouts and limits of an engine.
type Options struct {
	// HeartbeatTimeout is the time without a heartbeat after which a worker gets
	// no new tasks.
	HeartbeatTimeout cowslipbend.Span
	// MissingTimeout is how long a worker's heartbeats may omit a running attempt
	// before it counts as ended.
	MissingTimeout cowslipbend.Span
	// ResendInterval is the time after which an order without effect is sent again.
	ResendInterval cowslipbend.Span
	// MaxFailedWorkers is the number of distinct workers on which a task may fail
	// before it is parked.
	MaxFailedWorkers int
	// MaxStarts is the maximum number of assignments in one decision.
	MaxStarts int
	// RetryBackoff is the back-off after a task's first failure; it doubles with
	// each further failure up to MaxRetryBackoff.
	RetryBackoff    cowslipbend.Span
	MaxRetryBackoff cowslipbend.Span
	// UnfitTimeout is how long a task waits for a worker whose size it fits before
	// it is parked, BesideServicesTimeout for one that it fits next to the services
	// there.
	UnfitTimeout          cowslipbend.Span
	BesideServicesTimeout cowslipbend.Span
	// HoldAfter is the queueing time after which room is held for a batch task.
	HoldAfter cowslipbend.Span
	// PromoteSpareAfter is the queueing time after which spare work counts as
	// normal.
	PromoteSpareAfter cowslipbend.Span
	// QuarantineFailures is the number of failures attributed to a worker, without
	// a success in between, that puts it into quarantine.
	QuarantineFailures int
	// ProbeInterval is the time to the first probe of a worker in quarantine; the
	// interval doubles with each probe.
	ProbeInterval cowslipbend.Span
	// EvictAfter is how long a service or an urgent task waits for free room
	// before other tasks are evicted for it.
	EvictAfter cowslipbend.Span
	// EvictInterval is the mean time between evictions that the owner orders, per
	// pool and per job, and EvictBurst how many it may order at once.
	EvictInterval cowslipbend.Span
	EvictBurst    int
	// MaxEvictions is the number of evictions after which a task is exempt from
	// further ones for other tasks.
	MaxEvictions int
}

// Defaults returns the default options.
func Defaults() Options {
	return Options{
		HeartbeatTimeout: 3 * cowslipbend.Second, MissingTimeout: 2 * cowslipbend.Second, ResendInterval: cowslipbend.Second, MaxFailedWorkers: 3, MaxStarts: 200,
		RetryBackoff: cowslipbend.Second, MaxRetryBackoff: cowslipbend.Minute, UnfitTimeout: 10 * cowslipbend.Second, BesideServicesTimeout: 30 * cowslipbend.Second,
		HoldAfter: 10 * cowslipbend.Second, PromoteSpareAfter: 10 * cowslipbend.Minute,
		QuarantineFailures: 3, ProbeInterval: 5 * cowslipbend.Second,
		EvictAfter: cowslipbend.Second, EvictInterval: cowslipbend.Second, EvictBurst: 16, MaxEvictions: 2,
	}
}

// workerContact is what the engine knows of a worker from its heartbeats.
type workerContact struct {
	lastContact cowslipbend.Time
	leaving     bool
	// hasHeartbeat is set once this owner has processed a heartbeat of the worker;
	// until then lastContact is Engine.priorLeasesEnd.
	hasHeartbeat bool
	// leaseEnd is when the last lease granted to the worker ends.
	leaseEnd cowslipbend.Time
	// orphans lists the attempts that run on the worker but are not in the
	// journal.
	orphans []Ref
	// orderedAt is when an order about an attempt was last sent.
	orderedAt map[Ref]cowslipbend.Time
	// missingSince is the time of the first heartbeat in a row that omitted a
	// running attempt.
	missingSince map[Ref]cowslipbend.Time
	mixes        mixHistory
}

func newWorkerContact(lastContact, leaseEnd cowslipbend.Time) *workerContact {
	return &workerContact{lastContact: lastContact, leaseEnd: leaseEnd, orderedAt: map[Ref]cowslipbend.Time{}}
}

// Engine makes the decisions for one pool. It is not safe for concurrent use,
// reads no clock, and changes its journal state only by Apply.
type Engine struct {
	pool     cowslipbend.PoolID
	opts     Options
	policy   cowslipbend.Placement
	state    *journaler.State
	contacts map[cowslipbend.WorkerID]*workerContact
	index    *index
	// priorLeasesEnd is when every lease of earlier owners has ended.
	priorLeasesEnd cowslipbend.Time
	set            *cowslipbend.Set
	// jobsToSubmit lists the declared jobs that may have to be submitted.
	jobsToSubmit    []*cowslipbend.Job
	headroomPercent int
	// maxUrgent is the largest amount of each resource that an urgent task has
	// asked for.
	maxUrgent cowslipbend.Resources
	health    *health
	evictor   *evictor
	holds     map[cowslipbend.TaskID]hold
	// domains tells which failure domains are out of service; it may be nil.
	domains Domains
}

// NewEngine returns an engine over a replayed state. Leases of earlier owners
// count as held until priorLeasesEnd.
func NewEngine(pool cowslipbend.PoolID, state *journaler.State, policy cowslipbend.Placement, opts Options, priorLeasesEnd cowslipbend.Time) *Engine {
	e := &Engine{
		pool: pool, opts: opts, policy: policy, state: state, priorLeasesEnd: priorLeasesEnd,
		contacts: map[cowslipbend.WorkerID]*workerContact{}, set: &cowslipbend.Set{}, index: newIndex(state, opts),
		health: newHealth(), evictor: newEvictor(opts), holds: map[cowslipbend.TaskID]hold{},
	}
	for id := range state.Workers {
		e.contacts[id] = newWorkerContact(priorLeasesEnd, priorLeasesEnd)
	}
	return e
}

// Apply applies committed records to the state and the index.
func (e *Engine) Apply(records []cowslipbend.Record) error {
	for _, r := range records {
		e.health.observe(e.state, r)
		changed := e.index.affectedTasks(e.state, r)
		for _, t := range changed {
			e.forgetOrders(t)
			e.index.removeTask(e.state, t)
		}
		err := e.state.Apply(r)
		if r.Kind == cowslipbend.RecSubmitted && err == nil {
			changed = e.index.jobTasks(e.state, r.Job.ID)
		}
		for _, t := range changed {
			e.index.addTask(e.state, t)
		}
		if err != nil {
			return err
		}
		e.index.applyJoined(e.state, r)
	}
	return nil
}

// forgetOrders drops the order times and the eviction order of a task that is
// about to change.
func (e *Engine) forgetOrders(t *journaler.Task) {
	if s, ok := e.contacts[t.Worker]; ok {
		delete(s.orderedAt, Ref{t.ID, t.Attempt})
	}
	delete(e.evictor.orders, t.ID)
}

// LimitPriorLeases records that every lease of earlier owners has ended by the
// given time. It never raises the time that is known already.
func (e *Engine) LimitPriorLeases(end cowslipbend.Time) {
	for _, s := range e.contacts {
		if s.leaseEnd == e.priorLeasesEnd {
			s.leaseEnd = min(s.leaseEnd, end)
		}
		if s.lastContact == e.priorLeasesEnd {
			s.lastContact = min(s.lastContact, end)
		}
	}
	e.priorLeasesEnd = min(e.priorLeasesEnd, end)
}

// State returns the journal state. It must not be changed.
func (e *Engine) State() *journaler.State { return e.state }

// Declare sets the declarations in force.
func (e *Engine) Declare(set *cowslipbend.Set) {
	if e.set == set {
		return
	}
	e.set = set
	e.index.queue.Declare(set.Teams)
	e.headroomPercent = 0
	e.jobsToSubmit = nil
	for i := range set.Jobs {
		if set.Jobs[i].Pool == e.pool {
			e.jobsToSubmit = append(e.jobsToSubmit, &set.Jobs[i])
		}
	}
	for i := range set.Pools {
		if set.Pools[i].Name == e.pool {
			e.headroomPercent = set.Pools[i].Spare
			e.evictor.setWeight(set.Pools[i].Weights)
		}
	}
}

// Submit returns the record of a new job, nothing for a repeat of the same
// content, or an error: KindConflict for other content under the same id,
// KindInvalid for a job that no worker can ever hold.
func (e *Engine) Submit(job cowslipbend.Job, wall cowslipbend.Time) ([]cowslipbend.Record, error) {
	if err := job.Check(); err != nil {
		return nil, err
	}
	if known, same := e.state.FindSubmission(&job); known {
		if same {
			return nil, nil
		}
		return nil, cowslipbend.Fail(cowslipbend.KindConflict, "job "+string(job.ID)+" exists with other content", "choose a new id")
	}
	if err := e.checkFits(job); err != nil {
		return nil, err
	}
	return []cowslipbend.Record{{Kind: cowslipbend.RecSubmitted, Job: &job, At: wall}}, nil
}

func (e *Engine) checkFits(job cowslipbend.Job) error {
	var example cowslipbend.Resources
	for _, w := range e.state.Workers {
		if job.Size.Fits(w.Spec.Size) {
			return nil
		}
		example = w.Spec.Size
	}
	if len(e.state.Workers) == 0 {
		return nil
	}
	return cowslipbend.Invalid("job.size", fmt.Sprintf("no worker of the pool can hold it; one has %d millicores and %d bytes", example.CPU, example.Mem), "ask for less")
}

// Cancel returns the record that cancels a set of jobs, or KindMissing with all
// ids that are unknown.
func (e *Engine) Cancel(ids []cowslipbend.JobID, wall cowslipbend.Time) ([]cowslipbend.Record, error) {
	var l cowslipbend.Errors
	var open []cowslipbend.JobID
	for _, id := range ids {
		if _, known := e.state.Jobs[id]; !known {
			l.Add(cowslipbend.Fail(cowslipbend.KindMissing, "no job "+string(id), "look at cowslip jobs"))
			continue
		}
		if e.isOpen(id) {
			open = append(open, id)
		}
	}
	if len(l) == 1 {
		return nil, l[0]
	}
	if len(l) > 0 || len(open) == 0 {
		return nil, l.Err()
	}
	return []cowslipbend.Record{{Kind: cowslipbend.RecCancelled, Jobs: open, At: wall}}, nil
}

// isOpen reports whether the job has a task that a cancellation would change.
func (e *Engine) isOpen(id cowslipbend.JobID) bool {
	for _, t := range e.index.jobTasks(e.state, id) {
		if !t.Phase.Ended() && !t.Cancelling() {
			return true
		}
	}
	return false
}

// Heartbeat is a worker's heartbeat.
type Heartbeat struct {
	Worker  cowslipbend.WorkerSpec
	Leaving bool
	// Reports lists the ended attempts that are not acknowledged yet, Running
	// those that run, with their measurements.
	Reports []cowslipbend.TaskStatus
	Running []cowslipbend.TaskStatus
	// SentAt is when the heartbeat was sent, on the worker's clock.
	SentAt cowslipbend.Time
	// LeaseEnd is when the worker's lease, with the one that the reply grants, has
	// ended at the latest.
	LeaseEnd cowslipbend.Time
}

// HandleHeartbeat processes a heartbeat and returns the records that follow
// from it.
func (e *Engine) HandleHeartbeat(b Heartbeat, now, wall cowslipbend.Time) []cowslipbend.Record {
	s, ok := e.contacts[b.Worker.ID]
	if !ok {
		s = newWorkerContact(now, 0)
		e.contacts[b.Worker.ID] = s
	}
	s.lastContact, s.leaving, s.hasHeartbeat = now, b.Leaving, true
	s.leaseEnd = max(s.leaseEnd, b.LeaseEnd)
	w, known := e.state.Workers[b.Worker.ID]
	if b.Worker.Size == (cowslipbend.Resources{}) {
		// The agent has started but has not read its worker's size yet. An empty size
		// must not replace the worker's, or tasks would be parked as too large that
		// only have to wait.
		if !known {
			return nil
		}
		b.Worker.Size = w.Spec.Size
	}
	var recs []cowslipbend.Record
	if !known || w.Condition == journaler.Silent || w.Spec != b.Worker {
		spec := b.Worker
		recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecJoined, Worker: &spec, At: wall})
	}
	for _, r := range b.Running {
		if t := e.currentTask(b.Worker.ID, r); t != nil && t.Phase == cowslipbend.Assigned {
			recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecStarted, Task: r.Task, Attempt: r.Attempt, At: wall})
		}
	}
	e.observeRunning(s, &b, now)
	for _, r := range b.Reports {
		if e.currentTask(b.Worker.ID, r) != nil {
			recs = append(recs, endRecord(r, wall))
		}
	}
	return append(recs, e.missingAttempts(s, &b, now, wall)...)
}

// currentTask returns the task if the status belongs to its current attempt
// and the worker runs it, or nil.
func (e *Engine) currentTask(worker cowslipbend.WorkerID, s cowslipbend.TaskStatus) *journaler.Task {
	t, ok := e.state.Tasks[s.Task]
	if !ok || t.Worker == "" || t.Worker != worker || t.Attempt != s.Attempt {
		return nil
	}
	return t
}

// endRecord returns the record for the report of an ended attempt.
func endRecord(s cowslipbend.TaskStatus, wall cowslipbend.Time) cowslipbend.Record {
	r := cowslipbend.Record{Task: s.Task, Attempt: s.Attempt, Checkpoint: s.Checkpoint, Reason: s.Reason, CPU: s.CPU, At: wall}
	switch {
	case s.Phase == cowslipbend.Finished && !s.Failed:
		r.Kind = cowslipbend.RecFinished
	case s.Failed:
		r.Kind = cowslipbend.RecFailed
	default:
		r.Kind = cowslipbend.RecEvicted
	}
	return r
}

// HandleRefusal returns the record of an attempt that an agent has definitely
// refused to start.
func (e *Engine) HandleRefusal(worker cowslipbend.WorkerID, task cowslipbend.TaskID, attempt cowslipbend.Attempt, reason string, wall cowslipbend.Time) []cowslipbend.Record {
	if e.currentTask(worker, cowslipbend.TaskStatus{Task: task, Attempt: attempt}) == nil {
		return nil
	}
	return []cowslipbend.Record{{Kind: cowslipbend.RecEvicted, Task: task, Attempt: attempt, Reason: reason, At: wall}}
}

// Decide returns the records of the decisions that are due: silent and faulty
// workers, replicas of services, declared jobs, parked tasks and assignments.
// The caller commits and applies them. Decide also selects evictions, which
// Orders returns.
func (e *Engine) Decide(now, wall cowslipbend.Time) []cowslipbend.Record {
	recs := e.silentWorkers(now, wall)
	recs = append(recs, e.quarantine(wall)...)
	recs = append(recs, e.reconcileServices(wall)...)
	recs = append(recs, e.submitDeclared(wall)...)
	e.refreshHosts(now)
	recs = append(recs, e.assign(now, wall, recs)...)
	e.evictFromDraining(now)
	return recs
}

// submitDeclared returns the records of declared jobs that the journal does
// not have. A known id is never run again, even if its declaration changes.
func (e *Engine) submitDeclared(wall cowslipbend.Time) []cowslipbend.Record {
	var recs []cowslipbend.Record
	for _, job := range e.jobsToSubmit {
		if _, known := e.state.Jobs[job.ID]; !known {
			recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecSubmitted, Job: job, At: wall})
		}
	}
	e.jobsToSubmit = nil
	return recs
}

// silentWorkers returns the records of workers whose heartbeats have stopped
// and whose leases have ended.
func (e *Engine) silentWorkers(now, wall cowslipbend.Time) []cowslipbend.Record {
	var recs []cowslipbend.Record
	for _, h := range e.index.hosts {
		id := h.Spec.ID
		w, s := e.state.Workers[id], e.contacts[id]
		if w.Condition == journaler.Silent || s == nil {
			continue
		}
		if now.Sub(s.lastContact) > e.opts.HeartbeatTimeout && now > s.leaseEnd && now > e.priorLeasesEnd {
			recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecSilent, WorkerID: id, At: wall})
		}
	}
	return recs
}

// refreshHosts recomputes the usability, headroom and held room of each host.
func (e *Engine) refreshHosts(now cowslipbend.Time) {
	for i, h := range e.index.hosts {
		w, s := e.state.Workers[h.Spec.ID], e.contacts[h.Spec.ID]
		h.Usable = w.Condition == journaler.Fit && !w.Drained && isPresent(s, now, e.opts.HeartbeatTimeout) && e.takesTasks(h.Spec.Domain)
		h.Spare = e.headroomOf(i, h)
		h.Held = cowslipbend.Resources{}
	}
	for _, held := range e.holds {
		if h := e.index.byID[held.worker]; h != nil {
			h.Held = h.Held.Plus(held.size)
		}
	}
}

// headroomOf returns the headroom of the i-th worker. If the declared
// percentage of a worker is smaller than the largest urgent task, some workers
// keep room for one whole such task and the others none, so that the pool's
// total headroom is the declared one.
func (e *Engine) headroomOf(i int, h *cowslipbend.Host) cowslipbend.Resources {
	even := percentOf(h.Spec.Size, e.headroomPercent)
	need := e.maxUrgent.Share(h.Spec.Size)
	if e.headroomPercent == 0 || e.maxUrgent.Fits(even) || !e.maxUrgent.Fits(h.Spec.Size) {
		return even
	}
	each := float64(e.headroomPercent) / percent / need
	if int(float64(i+1)*each) > int(float64(i)*each) {
		return e.maxUrgent
	}
	return cowslipbend.Resources{}
}

// isPresent reports whether the worker sends heartbeats and is not leaving.
func isPresent(s *workerContact, now cowslipbend.Time, timeout cowslipbend.Span) bool {
	return s != nil && s.hasHeartbeat && !s.leaving && now.Sub(s.lastContact) <= timeout
}

// percent is the number of percent in a whole.
const percent = 100

// percentOf returns n percent of the resources; accelerators are rounded down.
func percentOf(r cowslipbend.Resources, n int) cowslipbend.Resources {
	return cowslipbend.Resources{
		CPU:   r.CPU * cowslipbend.Millicores(n) / percent,
		Mem:   r.Mem / percent * cowslipbend.Bytes(n),
		Accel: r.Accel * cowslipbend.Accels(n) / percent,
	}
}
