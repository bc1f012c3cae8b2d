package scheduler

import (
	"fmt"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// Options are the times and bounds of an engine.
type Options struct {
	// Suspect is the silence after which nothing more is placed on a worker.
	Suspect cowslipbend.Span
	// Vanish is how long heartbeats must not name a running attempt until it
	// counts as ended.
	Vanish cowslipbend.Span
	// Resend is the time after which an unanswered order is sent again.
	Resend cowslipbend.Span
	// Park is the count of distinct workers on which a task may fail.
	Park int
	// Starts bounds the assignments of one decision.
	Starts int
	// Retry is the back-off after a task's first failure; it doubles with each
	// further one up to MaxRetry.
	Retry    cowslipbend.Span
	MaxRetry cowslipbend.Span
	// Unfit is how long a task waits for a worker that can ever hold it, Beside
	// for one that can hold it beside the services there.
	Unfit  cowslipbend.Span
	Beside cowslipbend.Span
	// Aged is the wait after which room is held for a task that does not fit.
	Aged cowslipbend.Span
	// Spare is the wait after which spare work counts as normal.
	Spare cowslipbend.Span
	// Faults is the count of failures of work that fails nowhere else, without
	// a success between them, that puts a worker into quarantine.
	Faults int
	// Probe is the time between two attempts on a worker in quarantine.
	Probe cowslipbend.Span
	// Grace is how long urgent work waits for room to fall free before others
	// are evicted for it.
	Grace cowslipbend.Span
	// Evict is the mean time between two evictions that the owner orders, and
	// Burst how many it may order at once.
	Evict cowslipbend.Span
	Burst int
	// Often is the count of evictions after which a task is no victim again.
	Often int
}

// Defaults returns the options of a usual pool.
func Defaults() Options {
	return Options{
		Suspect: 3 * cowslipbend.Second, Vanish: 2 * cowslipbend.Second, Resend: cowslipbend.Second, Park: 3, Starts: 200,
		Retry: cowslipbend.Second, MaxRetry: cowslipbend.Minute, Unfit: 10 * cowslipbend.Second, Beside: 30 * cowslipbend.Second,
		Aged: 10 * cowslipbend.Second, Spare: 10 * cowslipbend.Minute,
		Faults: 3, Probe: 5 * cowslipbend.Second,
		Grace: cowslipbend.Second, Evict: cowslipbend.Second, Burst: 16, Often: 2,
	}
}

// seen is what heartbeats tell about a worker.
type seen struct {
	at      cowslipbend.Time
	leaving bool
	// heard is set once a heartbeat has told what runs.
	heard bool
	// lapse is when the last lease granted to it ends.
	lapse cowslipbend.Time
	// strays lists attempts that run where the journal does not have them.
	strays []Ref
	// sent is when an order about an attempt was last sent.
	sent map[Ref]cowslipbend.Time
	// missing is since when heartbeats have not named a running attempt.
	missing map[Ref]cowslipbend.Time
	past    history
}

func newSeen(at, lapse cowslipbend.Time) *seen {
	return &seen{at: at, lapse: lapse, sent: map[Ref]cowslipbend.Time{}}
}

// Engine decides for one pool. It is not safe for concurrent use, reads no
// clock, and changes its journal state only by Apply.
type Engine struct {
	pool   cowslipbend.PoolID
	opts   Options
	policy cowslipbend.Placement
	state  *journaler.State
	seen   map[cowslipbend.WorkerID]*seen
	index  *index
	// safe is when every lease of earlier owners has lapsed.
	safe cowslipbend.Time
	set  *cowslipbend.Set
	// declared lists the declared jobs that are to be submitted.
	declared []*cowslipbend.Job
	headroom int // percent
	// urgent is the largest urgent task that was asked for, part by part.
	urgent   cowslipbend.Resources
	health   *health
	evicting *evicting
	holds    map[cowslipbend.TaskID]hold
}

// NewEngine returns an engine over a replayed state. Leases of earlier owners
// count until the moment safe.
func NewEngine(pool cowslipbend.PoolID, state *journaler.State, policy cowslipbend.Placement, opts Options, safe cowslipbend.Time) *Engine {
	e := &Engine{
		pool: pool, opts: opts, policy: policy, state: state, safe: safe,
		seen: map[cowslipbend.WorkerID]*seen{}, set: &cowslipbend.Set{}, index: newIndex(state, opts),
		health: newHealth(), evicting: newEvicting(opts), holds: map[cowslipbend.TaskID]hold{},
	}
	for id := range state.Workers {
		e.seen[id] = newSeen(safe, safe)
	}
	return e
}

// Apply takes records that were committed.
func (e *Engine) Apply(records []cowslipbend.Record) error {
	for _, r := range records {
		e.health.note(e.state, r)
		before := e.index.touched(e.state, r)
		for _, t := range before {
			e.forget(t)
			e.index.drop(e.state, t)
		}
		err := e.state.Apply(r)
		if r.Kind == cowslipbend.RecSubmitted && err == nil {
			before = e.index.tasks(e.state, r.Job.ID)
		}
		for _, t := range before {
			e.index.add(e.state, t)
		}
		if err != nil {
			return err
		}
		e.index.worker(e.state, r)
	}
	return nil
}

// forget drops what is remembered of a task's orders before it changes.
func (e *Engine) forget(t *journaler.Task) {
	if s, ok := e.seen[t.Worker]; ok {
		delete(s.sent, Ref{t.ID, t.Attempt})
	}
	delete(e.evicting.intents, t.ID)
}

// Settle moves the moment at which every lease of earlier owners has lapsed
// forward to an earlier one.
func (e *Engine) Settle(safe cowslipbend.Time) {
	for _, s := range e.seen {
		if s.lapse == e.safe {
			s.lapse = min(s.lapse, safe)
		}
		if s.at == e.safe {
			s.at = min(s.at, safe)
		}
	}
	e.safe = min(e.safe, safe)
}

// State returns the journal state. It must not be changed.
func (e *Engine) State() *journaler.State { return e.state }

// Declare takes the set in force.
func (e *Engine) Declare(set *cowslipbend.Set) {
	if e.set == set {
		return
	}
	e.set = set
	e.index.queue.Declare(set.Teams)
	e.headroom = 0
	e.declared = nil
	for i := range set.Jobs {
		if set.Jobs[i].Pool == e.pool {
			e.declared = append(e.declared, &set.Jobs[i])
		}
	}
	for i := range set.Pools {
		if set.Pools[i].Name == e.pool {
			e.headroom = set.Pools[i].Spare
			e.evicting.weigh(set.Pools[i].Weights)
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
	if known, same := e.state.Known(&job); known {
		if same {
			return nil, nil
		}
		return nil, cowslipbend.Fail(cowslipbend.KindConflict, "job "+string(job.ID)+" exists with other content", "choose a new id")
	}
	if err := e.holdable(job); err != nil {
		return nil, err
	}
	return []cowslipbend.Record{{Kind: cowslipbend.RecSubmitted, Job: &job, At: wall}}, nil
}

func (e *Engine) holdable(job cowslipbend.Job) error {
	var largest cowslipbend.Resources
	for _, w := range e.state.Workers {
		if job.Size.Fits(w.Spec.Size) {
			return nil
		}
		largest = w.Spec.Size
	}
	if len(e.state.Workers) == 0 {
		return nil
	}
	return cowslipbend.Invalid("job.size", fmt.Sprintf("no worker of the pool can hold it; one has %d millicores and %d bytes", largest.CPU, largest.Mem), "ask for less")
}

// Cancel returns the record that cancels a wave of jobs, or KindMissing with
// all names that are unknown.
func (e *Engine) Cancel(ids []cowslipbend.JobID, wall cowslipbend.Time) ([]cowslipbend.Record, error) {
	var l cowslipbend.Errors
	var open []cowslipbend.JobID
	for _, id := range ids {
		if _, known := e.state.Jobs[id]; !known {
			l.Add(cowslipbend.Fail(cowslipbend.KindMissing, "no job "+string(id), "look at cowslip jobs"))
			continue
		}
		if e.open(id) {
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

// open reports whether the job has a task that a cancellation would change.
func (e *Engine) open(id cowslipbend.JobID) bool {
	for _, t := range e.index.tasks(e.state, id) {
		if !t.Phase.Ended() && !t.Cancelling() {
			return true
		}
	}
	return false
}

// Beat is what a heartbeat tells the owner.
type Beat struct {
	Worker  cowslipbend.WorkerSpec
	Leaving bool
	Reports []cowslipbend.TaskStatus
	Running []cowslipbend.TaskStatus
	// Sent is the moment of the worker's clock at which it was sent.
	Sent cowslipbend.Time
	// Lapse is when the lease that its reply grants ends at the latest.
	Lapse cowslipbend.Time
}

// Beat takes a heartbeat and returns the records that follow from it.
func (e *Engine) Beat(b Beat, now, wall cowslipbend.Time) []cowslipbend.Record {
	s, ok := e.seen[b.Worker.ID]
	if !ok {
		s = newSeen(now, 0)
		e.seen[b.Worker.ID] = s
	}
	s.at, s.leaving, s.heard = now, b.Leaving, true
	s.lapse = max(s.lapse, b.Lapse)
	w, known := e.state.Workers[b.Worker.ID]
	if b.Worker.Size == (cowslipbend.Resources{}) {
		// The agent has started and has not read its worker yet. A size of
		// nothing must not become the worker's, or tasks would be parked that
		// only wait for it.
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
		if t := e.current(b.Worker.ID, r); t != nil && t.Phase == cowslipbend.Assigned {
			recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecStarted, Task: r.Task, Attempt: r.Attempt, At: wall})
		}
	}
	e.measure(s, &b, now)
	for _, r := range b.Reports {
		if e.current(b.Worker.ID, r) != nil {
			recs = append(recs, ended(r, wall))
		}
	}
	return append(recs, e.vanished(s, &b, now, wall)...)
}

// current returns the task if the status is of its current attempt there.
func (e *Engine) current(worker cowslipbend.WorkerID, s cowslipbend.TaskStatus) *journaler.Task {
	t, ok := e.state.Tasks[s.Task]
	if !ok || t.Worker == "" || t.Worker != worker || t.Attempt != s.Attempt {
		return nil
	}
	return t
}

// ended turns the report of an ended attempt into a record.
func ended(s cowslipbend.TaskStatus, wall cowslipbend.Time) cowslipbend.Record {
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

// Refused returns the record of an attempt that an agent refused for certain.
func (e *Engine) Refused(worker cowslipbend.WorkerID, task cowslipbend.TaskID, attempt cowslipbend.Attempt, reason string, wall cowslipbend.Time) []cowslipbend.Record {
	if e.current(worker, cowslipbend.TaskStatus{Task: task, Attempt: attempt}) == nil {
		return nil
	}
	return []cowslipbend.Record{{Kind: cowslipbend.RecEvicted, Task: task, Attempt: attempt, Reason: reason, At: wall}}
}

// Decide returns the records of what to do now: lost and faulty workers,
// replicas of services, parked tasks, assignments. The caller commits and
// applies them. It also chooses what is evicted; see Orders.
func (e *Engine) Decide(now, wall cowslipbend.Time) []cowslipbend.Record {
	recs := e.lost(now, wall)
	recs = append(recs, e.quarantine(wall)...)
	recs = append(recs, e.services(wall)...)
	recs = append(recs, e.submitDeclared(wall)...)
	e.refresh(now)
	recs = append(recs, e.assign(now, wall, recs)...)
	e.empty(now)
	return recs
}

// submitDeclared returns the records of declared jobs that are not known. A
// known id is never run again, whatever its declaration says now.
func (e *Engine) submitDeclared(wall cowslipbend.Time) []cowslipbend.Record {
	var recs []cowslipbend.Record
	for _, job := range e.declared {
		if _, known := e.state.Jobs[job.ID]; !known {
			recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecSubmitted, Job: job, At: wall})
		}
	}
	e.declared = nil
	return recs
}

// lost returns the workers that are silent and whose leases have lapsed.
func (e *Engine) lost(now, wall cowslipbend.Time) []cowslipbend.Record {
	var recs []cowslipbend.Record
	for _, h := range e.index.hosts {
		id := h.Spec.ID
		w, s := e.state.Workers[id], e.seen[id]
		if w.Condition == journaler.Silent || s == nil {
			continue
		}
		if now.Sub(s.at) > e.opts.Suspect && now > s.lapse && now > e.safe {
			recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecSilent, WorkerID: id, At: wall})
		}
	}
	return recs
}

// refresh brings the hosts up to date with time, settings and holds.
func (e *Engine) refresh(now cowslipbend.Time) {
	for i, h := range e.index.hosts {
		w, s := e.state.Workers[h.Spec.ID], e.seen[h.Spec.ID]
		h.Usable = w.Condition == journaler.Fit && !w.Drained && present(s, now, e.opts.Suspect)
		h.Spare = e.spare(i, h)
		h.Held = cowslipbend.Resources{}
	}
	for _, d := range e.holds {
		if h := e.index.byID[d.worker]; h != nil {
			h.Held = h.Held.Plus(d.size)
		}
	}
}

// spare returns the headroom of the i-th worker. If the declared part of one
// worker is less than an urgent task, some workers have room for a whole one
// and the others none, so that the pool keeps as much free as declared.
func (e *Engine) spare(i int, h *cowslipbend.Host) cowslipbend.Resources {
	even := part(h.Spec.Size, e.headroom)
	need := e.urgent.Share(h.Spec.Size)
	if e.headroom == 0 || e.urgent.Fits(even) || !e.urgent.Fits(h.Spec.Size) {
		return even
	}
	each := float64(e.headroom) / percent / need
	if int(float64(i+1)*each) > int(float64(i)*each) {
		return e.urgent
	}
	return cowslipbend.Resources{}
}

// present reports whether the worker is heard from and stays.
func present(s *seen, now cowslipbend.Time, suspect cowslipbend.Span) bool {
	return s != nil && s.heard && !s.leaving && now.Sub(s.at) <= suspect
}

// percent is the whole in percent.
const percent = 100

// part returns a percentage of an amount; accelerators are rounded down.
func part(r cowslipbend.Resources, n int) cowslipbend.Resources {
	return cowslipbend.Resources{
		CPU:   r.CPU * cowslipbend.Millicores(n) / percent,
		Mem:   r.Mem / percent * cowslipbend.Bytes(n),
		Accel: r.Accel * cowslipbend.Accels(n) / percent,
	}
}
