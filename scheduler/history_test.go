package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/tasker"
	"cowslipbend.dev/timer"
)

// attemptEvent is an action of a worker on an attempt, or an entry of the
// journal about it: the end of an attempt on a silent worker counts only once
// it is in the journal.
type attemptEvent struct {
	task       cowslipbend.TaskID
	kind       string // run and halt by a worker, save and finish by the journal
	worker     cowslipbend.WorkerID
	attempt    cowslipbend.Attempt
	checkpoint string // the checkpoint that run resumes from or save leaves
}

// taskState is the model's state of one task.
type taskState struct {
	runningOn  cowslipbend.WorkerID
	lastWorker cowslipbend.WorkerID
	attempt    cowslipbend.Attempt
	checkpoint string
	finished   bool
}

// attemptModel allows a task to run on one worker at a time, each attempt to
// start once and from the last saved checkpoint, and the task to finish once.
var attemptModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTask := map[cowslipbend.TaskID][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(attemptEvent).task
			byTask[id] = append(byTask[id], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byTask))
		for _, part := range byTask {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return taskState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, event := state.(taskState), input.(attemptEvent)
		switch event.kind {
		case "run":
			resumes := event.attempt == s.attempt && event.worker == s.lastWorker
			starts := event.attempt > s.attempt && event.checkpoint == s.checkpoint
			ok := s.runningOn == "" && !s.finished && (resumes || starts)
			s.runningOn, s.lastWorker, s.attempt = event.worker, event.worker, event.attempt
			return ok, s
		case "halt":
			ok := s.runningOn == event.worker
			s.runningOn = ""
			return ok, s
		case "save":
			ok := event.attempt == s.attempt
			s.checkpoint = event.checkpoint
			return ok, s
		}
		ok := !s.finished && event.attempt == s.attempt
		s.finished = true
		return ok, s
	},
}

// eventLog is the history of all workers.
type eventLog struct{ ops []porcupine.Operation }

func (c *eventLog) add(event attemptEvent) {
	now := int64(2 * len(c.ops))
	c.ops = append(c.ops, porcupine.Operation{Input: event, Call: now, Return: now + 1})
}

// fakeAttempt is an attempt on a fakeMachine.
type fakeAttempt struct {
	start    cowslipbend.Start
	progress cowslipbend.Span
	running  bool
	status   cowslipbend.TaskStatus
}

// taskDuration is the run time of each task.
const taskDuration = 4 * cowslipbend.Second

// fakeMachine runs attempts for a worker. The name of a checkpoint contains the
// progress.
type fakeMachine struct {
	id       cowslipbend.WorkerID
	clock    *timer.Manual
	events   *eventLog
	attempts map[cowslipbend.TaskID]*fakeAttempt
}

func (m *fakeMachine) Start(_ context.Context, s cowslipbend.Start) error {
	if w, ok := m.attempts[s.Task]; ok && w.start.Attempt >= s.Attempt {
		return nil
	}
	w := &fakeAttempt{start: s, status: cowslipbend.TaskStatus{Phase: cowslipbend.Running}}
	if s.From != "" {
		if _, err := fmt.Sscanf(s.From, "at-%d", &w.progress); err != nil {
			return err
		}
	}
	m.attempts[s.Task] = w
	m.advance(w, 0)
	return nil
}

// advance adds progress to an attempt, which runs only while it has a lease.
func (m *fakeMachine) advance(w *fakeAttempt, by cowslipbend.Span) {
	if w.status.Phase != cowslipbend.Running {
		return
	}
	if running := w.start.Until > m.clock.Now(); running != w.running {
		w.running = running
		m.record(w, map[bool]string{true: "run", false: "halt"}[running], w.start.From)
	}
	if !w.running {
		return
	}
	if w.progress += by; w.progress >= taskDuration {
		m.halt(w, cowslipbend.TaskStatus{Phase: cowslipbend.Finished})
	}
}

func (m *fakeMachine) record(w *fakeAttempt, kind, checkpoint string) {
	m.events.add(attemptEvent{task: w.start.Task, kind: kind, worker: m.id, attempt: w.start.Attempt, checkpoint: checkpoint})
}

func (m *fakeMachine) halt(w *fakeAttempt, s cowslipbend.TaskStatus) {
	if w.running {
		m.record(w, "halt", "")
	}
	w.running, w.status = false, s
}

func (m *fakeMachine) runningAttempt(id cowslipbend.TaskID, attempt cowslipbend.Attempt) *fakeAttempt {
	if w, ok := m.attempts[id]; ok && w.start.Attempt == attempt && w.status.Phase == cowslipbend.Running {
		return w
	}
	return nil
}

func (m *fakeMachine) Lease(_ context.Context, until map[cowslipbend.TaskID]cowslipbend.Time) error {
	for id, end := range until {
		if w, ok := m.attempts[id]; ok {
			w.start.Until = end
			m.advance(w, 0)
		}
	}
	return nil
}

func (m *fakeMachine) Throttle(context.Context, cowslipbend.TaskID, int) error { return nil }

func (m *fakeMachine) Evict(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if w := m.runningAttempt(id, attempt); w != nil {
		checkpoint := fmt.Sprintf("at-%d-%s-%d", w.progress, m.id, attempt)
		m.halt(w, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Checkpoint: checkpoint})
	}
	return nil
}

func (m *fakeMachine) Stop(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if w := m.runningAttempt(id, attempt); w != nil {
		m.halt(w, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "stopped"})
	}
	return nil
}

func (m *fakeMachine) Forget(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if w, ok := m.attempts[id]; ok && w.start.Attempt == attempt && w.status.Phase != cowslipbend.Running {
		delete(m.attempts, id)
	}
	return nil
}

func (m *fakeMachine) Status(context.Context) (cowslipbend.MachineStatus, error) {
	s := cowslipbend.MachineStatus{Size: simTaskSize.Times(4)}
	for _, w := range m.attempts {
		st := w.status
		st.Task, st.Attempt, st.Class, st.Size = w.start.Task, w.start.Attempt, w.start.Class, w.start.Size
		s.Tasks = append(s.Tasks, st)
	}
	return s, nil
}

// simPool is the pool of a simulation, simTaskSize the size of each task in it.
const simPool = cowslipbend.PoolID("rig")

var simTaskSize = cowslipbend.Resources{CPU: cowslipbend.Core, Mem: cowslipbend.GB}

// fakeMembers is the view that one entry of a simulation has of the other.
type fakeMembers struct {
	other journaler.EntryRef
	holds map[cowslipbend.Incarnation]*leaser.Witnesses
}

func (c fakeMembers) LiveEntries() []cowslipbend.EntryID { return nil }
func (c fakeMembers) Joined() bool                       { return true }
func (c fakeMembers) Witnesses() []journaler.EntryRef    { return []journaler.EntryRef{c.other} }

func (c fakeMembers) Hold(_ context.Context, w journaler.EntryRef, p cowslipbend.PoolID, e cowslipbend.Epoch) bool {
	return c.holds[w.Life].Hold(p, e)
}

func (c fakeMembers) Release(_ context.Context, w journaler.EntryRef, p cowslipbend.PoolID, e cowslipbend.Epoch) bool {
	c.holds[w.Life].Release(p, e)
	return true
}

// simConfig declares the pool of a simulation.
type simConfig struct{}

func (simConfig) Set() (cowslipbend.Revision, *cowslipbend.Set) { return 1, simSet }

var simSet = &cowslipbend.Set{Pools: []cowslipbend.Pool{{Name: simPool, Policy: "firstfit"}}}

// orderMessage is a set of orders in transit.
type orderMessage struct {
	epoch       cowslipbend.Epoch
	host        *simHost
	incarnation int
	orders      *Orders
}

type simHost struct {
	*tasker.Tasker
	machine     *fakeMachine
	spec        cowslipbend.WorkerSpec
	incarnation int
}

// simulation runs two entries and several workers with their agents, with
// messages that are lost, repeated or delayed, in one goroutine driven by a
// seed.
type simulation struct {
	t       *testing.T
	rnd     *rand.Rand
	clock   *timer.Manual
	faults  *keeper.Faults
	store   journaler.Store
	events  eventLog
	entries [2]*Owners
	// owners lists the owners that have not learnt that their epoch is over; only
	// the last one has the current epoch.
	owners   []*Owner
	hosts    []*simHost
	messages []orderMessage
	// lastRow is the key of the last journal row added to the history.
	lastRow string
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	r := &simulation{t: t, rnd: rand.New(rand.NewPCG(seed, 0)), clock: &timer.Manual{}}
	r.clock.Advance(cowslipbend.Minute)
	r.faults = keeper.NewFaults(seed, r.clock)
	r.store = journaler.Store{Table: r.faults.Table(&keeper.Table{}), Objects: &keeper.Objects{}}
	holds := map[cowslipbend.Incarnation]*leaser.Witnesses{"0": leaser.NewWitnesses(), "1": leaser.NewWitnesses()}
	witness := func(i int) journaler.EntryRef {
		return journaler.EntryRef{ID: cowslipbend.EntryID(fmt.Sprint("e", i)), Life: cowslipbend.Incarnation(fmt.Sprint(i))}
	}
	for i := range r.entries {
		r.entries[i] = NewOwners(witness(i), r.store, fakeMembers{witness(1 - i), holds}, nil, simConfig{}, leaser.Defaults(), r.clock, hclog.NewNullLogger())
	}
	for i := range 3 {
		m := &fakeMachine{id: cowslipbend.WorkerID(fmt.Sprint("w", i)), clock: r.clock, events: &r.events, attempts: map[cowslipbend.TaskID]*fakeAttempt{}}
		h := &simHost{machine: m, spec: cowslipbend.WorkerSpec{ID: m.id, Pool: simPool, Domain: "d", Rack: "r", Size: simTaskSize.Times(4)}}
		h.Tasker = tasker.New(m, r.clock)
		r.hosts = append(r.hosts, h)
	}
	return r
}

func (r *simulation) noError(err error) {
	r.t.Helper()
	assert.NilError(r.t, err)
}

// takeOver makes an entry the owner of the pool without notifying the previous
// owner.
func (r *simulation) takeOver(i int) {
	head, version, err := r.store.ReadHead(r.t.Context(), simPool)
	r.noError(err)
	owner, _, err := r.entries[i].acquire(r.t.Context(), &simSet.Pools[0], head, version)
	r.noError(err)
	r.owners = append(r.owners, owner)
}

func (r *simulation) submit(o *Owner, id string, tasks int) {
	job := cowslipbend.Job{ID: cowslipbend.JobID(id), Pool: simPool, Team: "t", Class: "c", Tasks: tasks, Size: simTaskSize}
	o.events.Offer(event{submit: &job, reply: make(chan error, 1)})
}

// recordJournal adds the new rows of the journal to the history.
func (r *simulation) recordJournal() {
	rows, err := r.store.Table.Scan(r.t.Context(), "log/", r.lastRow, 1000)
	r.noError(err)
	for _, row := range rows {
		var recs []cowslipbend.Record
		r.noError(json.Unmarshal(row.Value, &recs))
		for _, rec := range recs {
			switch {
			case rec.Kind == cowslipbend.RecEvicted && rec.Checkpoint != "":
				r.events.add(attemptEvent{task: rec.Task, kind: "save", attempt: rec.Attempt, checkpoint: rec.Checkpoint})
			case rec.Kind == cowslipbend.RecFinished:
				r.events.add(attemptEvent{task: rec.Task, kind: "finish", attempt: rec.Attempt})
			}
		}
		r.lastRow = row.Key
	}
}

// runRound runs a round of an owner. An owner whose epoch is over gets
// KindConflict and is dropped.
func (r *simulation) runRound(o *Owner) {
	if _, err := o.round(r.t.Context(), o.events.Drain(maxBatchEvents)); err != nil {
		assert.Equal(r.t, cowslipbend.KindOf(err), cowslipbend.KindConflict, "%v", err)
		r.dropOwner(o)
		return
	}
	r.recordJournal()
	for _, p := range o.outbox.Drain(outboxCapacity) {
		h := r.hosts[slices.IndexFunc(r.hosts, func(h *simHost) bool { return h.spec.ID == p.worker })]
		r.messages = append(r.messages, orderMessage{o.epoch, h, h.incarnation, p.orders})
	}
}

func (r *simulation) dropOwner(o *Owner) {
	o.End()
	r.owners = slices.DeleteFunc(r.owners, func(x *Owner) bool { return x == o })
}

// confirmEpoch reads the head and confirms the owner's leases, or drops the
// owner if its epoch is over.
func (r *simulation) confirmEpoch(o *Owner) {
	requestedAt := r.clock.Now()
	head, _, err := r.store.ReadHead(r.t.Context(), simPool)
	r.noError(err)
	if head.Epoch != o.epoch {
		r.dropOwner(o)
		return
	}
	o.leases.Confirm(requestedAt)
}

// sendHeartbeat sends a heartbeat to an owner. The reply may be delayed or lost.
func (r *simulation) sendHeartbeat(h *simHost, o *Owner, replyLost bool) {
	sentAt := r.clock.Now()
	view := h.View()
	spec := h.spec
	spec.Size = view.Size // Zero until the agent has read its worker.
	lease, acks := o.HandleHeartbeat(Heartbeat{Worker: spec, Reports: view.Reports, Running: view.Usage, SentAt: sentAt})
	if replyLost {
		return
	}
	if r.rnd.IntN(4) == 0 {
		r.advance(cowslipbend.Span(r.rnd.IntN(3000)))
	}
	if h.RenewLease(o.epoch, sentAt, lease, view.Usage) != nil {
		return
	}
	for _, a := range acks {
		h.Acknowledge(r.t.Context(), a.Task, a.Attempt)
	}
}

// deliverOrder delivers orders, unless the agent has restarted or rejects them.
func (r *simulation) deliverOrder(m orderMessage) {
	if m.incarnation != m.host.incarnation || m.host.AcceptOrder(m.epoch, m.orders.HeartbeatSentAt) != nil {
		return
	}
	ctx := r.t.Context()
	var refused []Refusal
	for _, s := range m.orders.Starts {
		s.Epoch = m.epoch
		err := m.host.Start(ctx, s, m.orders.HeartbeatSentAt)
		if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindLate {
			refused = append(refused, Refusal{Ref{s.Task, s.Attempt}, err.Error()})
		}
	}
	for _, ref := range m.orders.Evicts {
		r.noError(m.host.Evict(ctx, ref.Task, ref.Attempt))
	}
	for _, ref := range m.orders.Stops {
		r.noError(m.host.Stop(ctx, ref.Task, ref.Attempt))
	}
	for _, o := range r.owners {
		if o.epoch == m.epoch && len(refused) > 0 {
			o.events.Offer(event{refusals: &refusals{m.host.spec.ID, refused}})
		}
	}
}

// advance advances the clock and the attempts on all workers.
func (r *simulation) advance(span cowslipbend.Span) {
	for span > 0 {
		step := min(span, 100)
		span -= step
		r.clock.Advance(step)
		for _, h := range r.hosts {
			for _, id := range sortedTaskIDs(h.machine.attempts) {
				h.machine.advance(h.machine.attempts[id], step)
			}
		}
	}
}

func sortedTaskIDs(tasks map[cowslipbend.TaskID]*fakeAttempt) []cowslipbend.TaskID {
	var ids []cowslipbend.TaskID
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// runStep performs one random action.
func (r *simulation) runStep() {
	h, o := r.hosts[r.rnd.IntN(len(r.hosts))], r.owners[r.rnd.IntN(len(r.owners))]
	switch n := r.rnd.IntN(100); {
	case n < 20:
		r.advance(cowslipbend.Span(r.rnd.IntN(800)))
	case n < 45:
		r.sendHeartbeat(h, o, r.rnd.IntN(5) == 0)
	case n < 60:
		r.noError(h.Poll(r.t.Context()))
	case n < 75:
		r.runRound(o)
	case n < 80:
		r.confirmEpoch(o)
	case n < 84:
		o.extendLeases(r.t.Context())
	case n < 94 && len(r.messages) > 0:
		i := r.rnd.IntN(len(r.messages))
		m := r.messages[i]
		if r.rnd.IntN(4) > 0 {
			r.messages = slices.Delete(r.messages, i, i+1)
		}
		r.deliverOrder(m)
	case n < 95:
		r.takeOver(r.rnd.IntN(2))
	case n < 96:
		h.incarnation++
		h.Tasker = tasker.New(h.machine, r.clock)
	case n < 97:
		r.faults.ScriptFaults(keeper.LoseReply)
	case n < 98:
		r.advance(8 * cowslipbend.Second) // all entries and agents pause
	default:
		if ids := sortedTaskIDs(h.machine.attempts); len(ids) > 0 {
			w := h.machine.attempts[ids[r.rnd.IntN(len(ids))]]
			r.noError(h.Evict(r.t.Context(), w.start.Task, w.start.Attempt))
		}
	}
}

// finishAll runs without faults until all tasks have finished, and returns the
// number of unfinished tasks.
func (r *simulation) finishAll() int {
	r.messages = nil
	o := r.owners[len(r.owners)-1]
	unfinished := 0
	for range 400 {
		r.confirmEpoch(o)
		for _, h := range r.hosts {
			r.noError(h.Poll(r.t.Context()))
			r.sendHeartbeat(h, o, false)
		}
		r.runRound(o)
		for _, m := range r.messages {
			r.deliverOrder(m)
		}
		r.messages = nil
		r.advance(500)
		unfinished = 0
		for _, t := range o.engine.State().Tasks {
			if t.Phase != cowslipbend.Finished {
				unfinished++
			}
		}
		if unfinished == 0 {
			break
		}
	}
	return unfinished
}

func TestAttemptHistories(t *testing.T) {
	const seeds, steps = 30, 1500
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newSimulation(t, seed)
			r.takeOver(0)
			for i := range 6 {
				r.submit(r.owners[0], fmt.Sprint("job", i), 3)
			}
			r.runRound(r.owners[0])
			for range steps {
				r.runStep()
				if len(r.owners) == 0 {
					r.takeOver(r.rnd.IntN(2))
				}
			}
			unfinished := r.finishAll()
			assert.Assert(t, porcupine.CheckOperations(attemptModel, r.events.ops))
			assert.Equal(t, unfinished, 0, "unfinished tasks")
		})
	}
}

func TestBadAttemptHistories(t *testing.T) {
	run := func(worker cowslipbend.WorkerID, attempt cowslipbend.Attempt, checkpoint string) attemptEvent {
		return attemptEvent{task: "t", kind: "run", worker: worker, attempt: attempt, checkpoint: checkpoint}
	}
	for name, events := range map[string][]attemptEvent{
		"runs on two workers":                           {run("a", 1, ""), run("b", 2, "")},
		"an attempt resumes on another worker":          {run("a", 1, ""), {task: "t", kind: "halt", worker: "a"}, run("b", 2, ""), {task: "t", kind: "halt", worker: "b"}, run("c", 2, "")},
		"starts from a checkpoint that is not the last": {run("a", 1, ""), {task: "t", kind: "halt", worker: "a"}, {task: "t", kind: "save", attempt: 1, checkpoint: "x"}, run("b", 2, "")},
		"starts after it has finished":                  {run("a", 1, ""), {task: "t", kind: "halt", worker: "a"}, {task: "t", kind: "finish", attempt: 1}, run("b", 2, "")},
	} {
		t.Run(name, func(t *testing.T) {
			var log eventLog
			for _, event := range events {
				log.add(event)
			}
			assert.Assert(t, !porcupine.CheckOperations(attemptModel, log.ops))
		})
	}
}
