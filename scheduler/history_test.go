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

// deed is what a worker did with an attempt, or what the journal says of it:
// an attempt that a lost worker finished or evicted counts only once the
// journal has it.
type deed struct {
	task    cowslipbend.TaskID
	kind    string // run and halt by a worker, save and finish by the journal
	place   cowslipbend.WorkerID
	attempt cowslipbend.Attempt
	check   string // the checkpoint that run resumes from or save leaves
}

// place is the state of one task in the model.
type place struct {
	at       cowslipbend.WorkerID
	home     cowslipbend.WorkerID
	attempt  cowslipbend.Attempt
	check    string
	finished bool
}

// attempts allows a task to run in one place at a time, each attempt to start
// once and from the checkpoint that the last one left, and one end.
var attempts = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTask := map[cowslipbend.TaskID][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(deed).task
			byTask[id] = append(byTask[id], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byTask))
		for _, part := range byTask {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return place{} },
	Step: func(state, input, _ any) (bool, any) {
		s, d := state.(place), input.(deed)
		switch d.kind {
		case "run":
			thaws := d.attempt == s.attempt && d.place == s.home
			starts := d.attempt > s.attempt && d.check == s.check
			ok := s.at == "" && !s.finished && (thaws || starts)
			s.at, s.home, s.attempt = d.place, d.place, d.attempt
			return ok, s
		case "halt":
			ok := s.at == d.place
			s.at = ""
			return ok, s
		case "save":
			ok := d.attempt == s.attempt
			s.check = d.check
			return ok, s
		}
		ok := !s.finished && d.attempt == s.attempt
		s.finished = true
		return ok, s
	},
}

// chronicle is the history of all workers.
type chronicle struct{ ops []porcupine.Operation }

func (c *chronicle) add(d deed) {
	now := int64(2 * len(c.ops))
	c.ops = append(c.ops, porcupine.Operation{Input: d, Call: now, Return: now + 1})
}

// work is one attempt on a worker of the rig.
type work struct {
	start  cowslipbend.Start
	done   cowslipbend.Span
	runs   bool
	status cowslipbend.TaskStatus
}

// length is the run time of each task.
const length = 4 * cowslipbend.Second

// metal is a worker. A checkpoint's name holds the progress.
type metal struct {
	id    cowslipbend.WorkerID
	clock *timer.Manual
	log   *chronicle
	tasks map[cowslipbend.TaskID]*work
}

func (m *metal) Start(_ context.Context, s cowslipbend.Start) error {
	if w, ok := m.tasks[s.Task]; ok && w.start.Attempt >= s.Attempt {
		return nil
	}
	w := &work{start: s, status: cowslipbend.TaskStatus{Phase: cowslipbend.Running}}
	if s.From != "" {
		if _, err := fmt.Sscanf(s.From, "at-%d", &w.done); err != nil {
			return err
		}
	}
	m.tasks[s.Task] = w
	m.move(w, 0)
	return nil
}

// move advances an attempt, which runs while its lease lasts.
func (m *metal) move(w *work, by cowslipbend.Span) {
	if w.status.Phase != cowslipbend.Running {
		return
	}
	if runs := w.start.Until > m.clock.Now(); runs != w.runs {
		w.runs = runs
		m.tell(w, map[bool]string{true: "run", false: "halt"}[runs], w.start.From)
	}
	if !w.runs {
		return
	}
	if w.done += by; w.done >= length {
		m.halt(w, cowslipbend.TaskStatus{Phase: cowslipbend.Finished})
	}
}

func (m *metal) tell(w *work, kind, check string) {
	m.log.add(deed{task: w.start.Task, kind: kind, place: m.id, attempt: w.start.Attempt, check: check})
}

func (m *metal) halt(w *work, s cowslipbend.TaskStatus) {
	if w.runs {
		m.tell(w, "halt", "")
	}
	w.runs, w.status = false, s
}

func (m *metal) running(id cowslipbend.TaskID, attempt cowslipbend.Attempt) *work {
	if w, ok := m.tasks[id]; ok && w.start.Attempt == attempt && w.status.Phase == cowslipbend.Running {
		return w
	}
	return nil
}

func (m *metal) Lease(_ context.Context, until map[cowslipbend.TaskID]cowslipbend.Time) error {
	for id, end := range until {
		if w, ok := m.tasks[id]; ok {
			w.start.Until = end
			m.move(w, 0)
		}
	}
	return nil
}

func (m *metal) Throttle(context.Context, cowslipbend.TaskID, int) error { return nil }

func (m *metal) Evict(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if w := m.running(id, attempt); w != nil {
		check := fmt.Sprintf("at-%d-%s-%d", w.done, m.id, attempt)
		m.halt(w, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Checkpoint: check})
	}
	return nil
}

func (m *metal) Stop(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if w := m.running(id, attempt); w != nil {
		m.halt(w, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "stopped"})
	}
	return nil
}

func (m *metal) Forget(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if w, ok := m.tasks[id]; ok && w.start.Attempt == attempt && w.status.Phase != cowslipbend.Running {
		delete(m.tasks, id)
	}
	return nil
}

func (m *metal) Status(context.Context) (cowslipbend.MachineStatus, error) {
	s := cowslipbend.MachineStatus{Size: rigSize.Times(4)}
	for _, w := range m.tasks {
		st := w.status
		st.Task, st.Attempt, st.Class, st.Size = w.start.Task, w.start.Attempt, w.start.Class, w.start.Size
		s.Tasks = append(s.Tasks, st)
	}
	return s, nil
}

// rigPool and rigSize are the pool and the size of each task of a rig.
const rigPool = cowslipbend.PoolID("rig")

var rigSize = cowslipbend.Resources{CPU: cowslipbend.Core, Mem: cowslipbend.GB}

// circle is how one entry of a rig sees the other.
type circle struct {
	other journaler.Witness
	vows  map[cowslipbend.Incarnation]*leaser.Witnesses
}

func (c circle) LiveEntries() []cowslipbend.EntryID { return nil }
func (c circle) Joined() bool                       { return true }
func (c circle) Witnesses() []journaler.Witness     { return []journaler.Witness{c.other} }

func (c circle) Hold(_ context.Context, w journaler.Witness, p cowslipbend.PoolID, e cowslipbend.Epoch) bool {
	return c.vows[w.Life].Hold(p, e)
}

func (c circle) Release(_ context.Context, w journaler.Witness, p cowslipbend.PoolID, e cowslipbend.Epoch) bool {
	c.vows[w.Life].Release(p, e)
	return true
}

// rigConfig declares the pool.
type rigConfig struct{}

func (rigConfig) Set() (cowslipbend.Revision, *cowslipbend.Set) { return 1, rigSet }

var rigSet = &cowslipbend.Set{Pools: []cowslipbend.Pool{{Name: rigPool, Policy: "firstfit"}}}

// letter is an order on its way.
type letter struct {
	epoch  cowslipbend.Epoch
	host   *rigHost
	life   int
	orders *Orders
}

type rigHost struct {
	*tasker.Tasker
	metal *metal
	spec  cowslipbend.WorkerSpec
	life  int
}

// rig is two entries, some workers with their agents, and messages that are
// lost, repeated and late, driven in one thread by a seed.
type rig struct {
	t       *testing.T
	rnd     *rand.Rand
	clock   *timer.Manual
	faults  *keeper.Faults
	store   journaler.Store
	log     chronicle
	entries [2]*Owners
	// owners are all that still think they own the pool; the last one does.
	owners  []*Owner
	hosts   []*rigHost
	letters []letter
	// row is the key of the last journal row in the history.
	row string
}

func newRig(t *testing.T, seed uint64) *rig {
	r := &rig{t: t, rnd: rand.New(rand.NewPCG(seed, 0)), clock: &timer.Manual{}}
	r.clock.Advance(cowslipbend.Minute)
	r.faults = keeper.NewFaults(seed, r.clock)
	r.store = journaler.Store{Table: r.faults.Table(&keeper.Table{}), Objects: &keeper.Objects{}}
	vows := map[cowslipbend.Incarnation]*leaser.Witnesses{"0": leaser.NewWitnesses(), "1": leaser.NewWitnesses()}
	witness := func(i int) journaler.Witness {
		return journaler.Witness{ID: cowslipbend.EntryID(fmt.Sprint("e", i)), Life: cowslipbend.Incarnation(fmt.Sprint(i))}
	}
	for i := range r.entries {
		r.entries[i] = NewOwners(witness(i), r.store, circle{witness(1 - i), vows}, nil, rigConfig{}, leaser.Defaults(), r.clock, hclog.NewNullLogger())
	}
	for i := range 3 {
		m := &metal{id: cowslipbend.WorkerID(fmt.Sprint("w", i)), clock: r.clock, log: &r.log, tasks: map[cowslipbend.TaskID]*work{}}
		h := &rigHost{metal: m, spec: cowslipbend.WorkerSpec{ID: m.id, Pool: rigPool, Domain: "d", Rack: "r", Size: rigSize.Times(4)}}
		h.Tasker = tasker.New(m, r.clock)
		r.hosts = append(r.hosts, h)
	}
	return r
}

func (r *rig) check(err error) {
	r.t.Helper()
	assert.NilError(r.t, err)
}

// take lets an entry take the pool; whoever owned it is not told.
func (r *rig) take(i int) {
	head, version, err := r.store.ReadHead(r.t.Context(), rigPool)
	r.check(err)
	owner, _, err := r.entries[i].acquire(r.t.Context(), &rigSet.Pools[0], head, version)
	r.check(err)
	r.owners = append(r.owners, owner)
}

func (r *rig) submit(o *Owner, id string, tasks int) {
	job := cowslipbend.Job{ID: cowslipbend.JobID(id), Pool: rigPool, Team: "t", Class: "c", Tasks: tasks, Size: rigSize}
	o.events.Offer(event{submit: &job, reply: make(chan error, 1)})
}

// note adds what the journal has said since to the history.
func (r *rig) note() {
	rows, err := r.store.Table.Scan(r.t.Context(), "log/", r.row, 1000)
	r.check(err)
	for _, row := range rows {
		var recs []cowslipbend.Record
		r.check(json.Unmarshal(row.Value, &recs))
		for _, rec := range recs {
			switch {
			case rec.Kind == cowslipbend.RecEvicted && rec.Checkpoint != "":
				r.log.add(deed{task: rec.Task, kind: "save", attempt: rec.Attempt, check: rec.Checkpoint})
			case rec.Kind == cowslipbend.RecFinished:
				r.log.add(deed{task: rec.Task, kind: "finish", attempt: rec.Attempt})
			}
		}
		r.row = row.Key
	}
}

// round has an owner decide; one whose epoch is over learns of it.
func (r *rig) round(o *Owner) {
	if _, err := o.round(r.t.Context(), o.events.Drain(maxBatch)); err != nil {
		assert.Equal(r.t, cowslipbend.KindOf(err), cowslipbend.KindConflict, "%v", err)
		r.lose(o)
		return
	}
	r.note()
	for _, p := range o.outbox.Drain(outboxRing) {
		h := r.hosts[slices.IndexFunc(r.hosts, func(h *rigHost) bool { return h.spec.ID == p.worker })]
		r.letters = append(r.letters, letter{o.epoch, h, h.life, p.orders})
	}
}

func (r *rig) lose(o *Owner) {
	o.End()
	r.owners = slices.DeleteFunc(r.owners, func(x *Owner) bool { return x == o })
}

// confirm reads the head for an owner.
func (r *rig) confirm(o *Owner) {
	began := r.clock.Now()
	head, _, err := r.store.ReadHead(r.t.Context(), rigPool)
	r.check(err)
	if head.Epoch != o.epoch {
		r.lose(o)
		return
	}
	o.leases.Confirm(began)
}

// beat sends a heartbeat to an owner; its reply may come late or not at all.
func (r *rig) beat(h *rigHost, o *Owner, lost bool) {
	sent := r.clock.Now()
	view := h.View()
	spec := h.spec
	spec.Size = view.Size // Nothing until the agent has asked its worker.
	lease, acks := o.Beat(Beat{Worker: spec, Reports: view.Reports, Running: view.Usage, Sent: sent})
	if lost {
		return
	}
	if r.rnd.IntN(4) == 0 {
		r.pass(cowslipbend.Span(r.rnd.IntN(3000)))
	}
	if h.Grant(o.epoch, sent, lease, view.Usage) != nil {
		return
	}
	for _, a := range acks {
		h.Acknowledge(r.t.Context(), a.Task, a.Attempt)
	}
}

// deliver hands an order over, if the agent takes it.
func (r *rig) deliver(l letter) {
	if l.life != l.host.life || l.host.Order(l.epoch, l.orders.Token) != nil {
		return
	}
	ctx := r.t.Context()
	var list []Refusal
	for _, s := range l.orders.Starts {
		s.Epoch = l.epoch
		err := l.host.Start(ctx, s, l.orders.Token)
		if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindLate {
			list = append(list, Refusal{Ref{s.Task, s.Attempt}, err.Error()})
		}
	}
	for _, ref := range l.orders.Evicts {
		r.check(l.host.Evict(ctx, ref.Task, ref.Attempt))
	}
	for _, ref := range l.orders.Stops {
		r.check(l.host.Stop(ctx, ref.Task, ref.Attempt))
	}
	for _, o := range r.owners {
		if o.epoch == l.epoch && len(list) > 0 {
			o.events.Offer(event{refused: &refused{l.host.spec.ID, list}})
		}
	}
}

// pass lets time pass on all workers.
func (r *rig) pass(s cowslipbend.Span) {
	for s > 0 {
		by := min(s, 100)
		s -= by
		r.clock.Advance(by)
		for _, h := range r.hosts {
			for _, id := range sorted(h.metal.tasks) {
				h.metal.move(h.metal.tasks[id], by)
			}
		}
	}
}

func sorted(tasks map[cowslipbend.TaskID]*work) []cowslipbend.TaskID {
	var ids []cowslipbend.TaskID
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// step does one thing at random.
func (r *rig) step() {
	h, o := r.hosts[r.rnd.IntN(len(r.hosts))], r.owners[r.rnd.IntN(len(r.owners))]
	switch n := r.rnd.IntN(100); {
	case n < 20:
		r.pass(cowslipbend.Span(r.rnd.IntN(800)))
	case n < 45:
		r.beat(h, o, r.rnd.IntN(5) == 0)
	case n < 60:
		r.check(h.Poll(r.t.Context()))
	case n < 75:
		r.round(o)
	case n < 80:
		r.confirm(o)
	case n < 84:
		o.hold(r.t.Context())
	case n < 94 && len(r.letters) > 0:
		i := r.rnd.IntN(len(r.letters))
		l := r.letters[i]
		if r.rnd.IntN(4) > 0 {
			r.letters = slices.Delete(r.letters, i, i+1)
		}
		r.deliver(l)
	case n < 95:
		r.take(r.rnd.IntN(2))
	case n < 96:
		h.life++
		h.Tasker = tasker.New(h.metal, r.clock)
	case n < 97:
		r.faults.Next(keeper.LoseAnswer)
	case n < 98:
		r.pass(8 * cowslipbend.Second) // all of them stand still
	default:
		if ids := sorted(h.metal.tasks); len(ids) > 0 {
			w := h.metal.tasks[ids[r.rnd.IntN(len(ids))]]
			r.check(h.Evict(r.t.Context(), w.start.Task, w.start.Attempt))
		}
	}
}

// settle lets everything work until all tasks have finished.
func (r *rig) settle() int {
	r.letters = nil
	o := r.owners[len(r.owners)-1]
	open := 0
	for range 400 {
		r.confirm(o)
		for _, h := range r.hosts {
			r.check(h.Poll(r.t.Context()))
			r.beat(h, o, false)
		}
		r.round(o)
		for _, l := range r.letters {
			r.deliver(l)
		}
		r.letters = nil
		r.pass(500)
		open = 0
		for _, t := range o.engine.State().Tasks {
			if t.Phase != cowslipbend.Finished {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	return open
}

func TestAttemptHistories(t *testing.T) {
	const seeds, steps = 30, 1500
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newRig(t, seed)
			r.take(0)
			for i := range 6 {
				r.submit(r.owners[0], fmt.Sprint("job", i), 3)
			}
			r.round(r.owners[0])
			for range steps {
				r.step()
				if len(r.owners) == 0 {
					r.take(r.rnd.IntN(2))
				}
			}
			open := r.settle()
			assert.Assert(t, porcupine.CheckOperations(attempts, r.log.ops))
			assert.Equal(t, open, 0, "tasks are left")
		})
	}
}

func TestBadAttemptHistories(t *testing.T) {
	run := func(place cowslipbend.WorkerID, attempt cowslipbend.Attempt, from string) deed {
		return deed{task: "t", kind: "run", place: place, attempt: attempt, check: from}
	}
	for name, deeds := range map[string][]deed{
		"in two places":           {run("a", 1, ""), run("b", 2, "")},
		"resumed twice":           {run("a", 1, ""), {task: "t", kind: "halt", place: "a"}, run("b", 2, ""), {task: "t", kind: "halt", place: "b"}, run("c", 2, "")},
		"from a wrong checkpoint": {run("a", 1, ""), {task: "t", kind: "halt", place: "a"}, {task: "t", kind: "save", attempt: 1, check: "x"}, run("b", 2, "")},
		"again after its end":     {run("a", 1, ""), {task: "t", kind: "halt", place: "a"}, {task: "t", kind: "finish", attempt: 1}, run("b", 2, "")},
	} {
		t.Run(name, func(t *testing.T) {
			var c chronicle
			for _, d := range deeds {
				c.add(d)
			}
			assert.Assert(t, !porcupine.CheckOperations(attempts, c.ops))
		})
	}
}
