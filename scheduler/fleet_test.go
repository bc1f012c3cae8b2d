package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/placer"
)

const testPool cowslipbend.PoolID = "ledger"

// fleet is an engine with workers that do as they are told at once. Time moves
// by step only.
type fleet struct {
	t       assert.TestingT
	engine  *Engine
	now     cowslipbend.Time
	workers []*fakeWorker
	// ends decides, in each step, what becomes of a running attempt.
	ends func(w *fakeWorker, s *cowslipbend.TaskStatus) bool
	// counts of what was recorded.
	kinds map[cowslipbend.RecordKind]int
	begun map[cowslipbend.TaskID]cowslipbend.Time
}

// fakeWorker holds attempts and the reports that were not yet taken.
type fakeWorker struct {
	spec    cowslipbend.WorkerSpec
	silent  bool
	leaving bool
	tasks   map[cowslipbend.TaskID]*cowslipbend.TaskStatus
	reports []cowslipbend.TaskStatus
}

// list returns the attempts in the order of their tasks.
func (w *fakeWorker) list() []*cowslipbend.TaskStatus {
	list := slices.Collect(maps.Values(w.tasks))
	slices.SortFunc(list, func(a, b *cowslipbend.TaskStatus) int { return strings.Compare(string(a.Task), string(b.Task)) })
	return list
}

func newFleet(t assert.TestingT, n int, size cowslipbend.Resources, policy cowslipbend.Placement, opts Options) *fleet {
	f := &fleet{
		t: t, engine: NewEngine(testPool, journaler.NewState(), policy, opts, 0),
		kinds: map[cowslipbend.RecordKind]int{}, begun: map[cowslipbend.TaskID]cowslipbend.Time{},
		ends: func(*fakeWorker, *cowslipbend.TaskStatus) bool { return false },
	}
	for i := range n {
		f.workers = append(f.workers, &fakeWorker{
			spec: cowslipbend.WorkerSpec{
				ID: cowslipbend.WorkerID(fmt.Sprintf("w%03d", i)), Pool: testPool,
				Domain: cowslipbend.Domain(fmt.Sprint("d", i%3)), Rack: cowslipbend.Rack(fmt.Sprint("r", i/3)), Size: size,
			},
			tasks: map[cowslipbend.TaskID]*cowslipbend.TaskStatus{},
		})
	}
	return f
}

func testPolicy(t testing.TB, name string) cowslipbend.Placement {
	t.Helper()
	p, err := placer.New(name, cowslipbend.Weights{})
	assert.NilError(t, err)
	return p
}

func (f *fleet) apply(recs []cowslipbend.Record) {
	for _, r := range recs {
		f.kinds[r.Kind]++
		if r.Kind == cowslipbend.RecAssigned && f.begun[r.Task] == 0 {
			f.begun[r.Task] = f.now
		}
	}
	assert.NilError(f.t, f.engine.Apply(recs))
}

func (f *fleet) submit(j cowslipbend.Job) {
	recs, err := f.engine.Submit(j, f.now)
	assert.NilError(f.t, err)
	f.apply(recs)
}

// job returns a job of the test's pool.
func job(id string, tasks int, cpu cowslipbend.Millicores) cowslipbend.Job {
	return cowslipbend.Job{
		ID: cowslipbend.JobID(id), Pool: testPool, Team: "closers", Class: "netting", Tasks: tasks,
		Size: cowslipbend.Resources{CPU: cpu, Mem: cowslipbend.GB},
	}
}

// stepLength is the model time of one step.
const stepLength = 500 * cowslipbend.Millisecond

// step moves time, ends attempts, sends heartbeats, decides and carries the
// orders out.
func (f *fleet) step() {
	f.now = f.now.Add(stepLength)
	for _, w := range f.workers {
		for _, s := range w.list() {
			if f.ends(w, s) {
				delete(w.tasks, s.Task)
				w.reports = append(w.reports, *s)
			}
		}
		if !w.silent {
			f.beat(w)
		}
	}
	f.apply(f.engine.Decide(f.now, f.now))
	orders := f.engine.Orders(f.now, 1)
	for _, w := range f.workers {
		if o := orders[w.spec.ID]; o != nil {
			w.take(o)
		}
	}
	f.check()
}

func (f *fleet) steps(n int) {
	for range n {
		f.step()
	}
}

func (f *fleet) beat(w *fakeWorker) {
	b := Beat{Worker: w.spec, Leaving: w.leaving, Reports: w.reports, Lapse: f.now.Add(2 * cowslipbend.Second)}
	w.reports = nil
	for _, s := range w.list() {
		b.Running = append(b.Running, *s)
	}
	f.apply(f.engine.Beat(b, f.now, f.now))
}

func (f *fleet) worker(id cowslipbend.WorkerID) *fakeWorker {
	for _, w := range f.workers {
		if w.spec.ID == id {
			return w
		}
	}
	return nil
}

// take carries orders out.
func (w *fakeWorker) take(o *Orders) {
	if w.silent {
		return
	}
	for _, s := range o.Starts {
		if have, runs := w.tasks[s.Task]; !runs || have.Attempt < s.Attempt {
			w.tasks[s.Task] = &cowslipbend.TaskStatus{Task: s.Task, Attempt: s.Attempt, Class: s.Class, Service: s.Service, Size: s.Size, Phase: cowslipbend.Running, Percent: 100}
		}
	}
	for _, r := range o.Evicts {
		w.end(r, "checkpoint")
	}
	for _, r := range o.Stops {
		w.end(r, "")
	}
}

func (w *fakeWorker) end(r Ref, checkpoint string) {
	s, runs := w.tasks[r.Task]
	if !runs || s.Attempt != r.Attempt {
		return
	}
	delete(w.tasks, r.Task)
	s.Phase, s.Checkpoint = cowslipbend.Queued, checkpoint
	w.reports = append(w.reports, *s)
}

// finish ends an attempt well, fail ends it in failure.
func finish(s *cowslipbend.TaskStatus) bool {
	s.Phase = cowslipbend.Finished
	return true
}

func fail(s *cowslipbend.TaskStatus) bool {
	s.Phase, s.Failed = cowslipbend.Queued, true
	return true
}

// check asserts what must hold after every decision.
func (f *fleet) check() {
	e := f.engine
	assertIndex(f.t, e)
	for _, h := range e.index.hosts {
		if !h.Reserved.Fits(h.Spec.Size) {
			assert.Assert(f.t, false, "worker %s holds %v of %v", h.Spec.ID, h.Reserved, h.Spec.Size)
		}
	}
	for i := range e.set.Teams {
		t := &e.set.Teams[i]
		if t.Quota != (cowslipbend.Resources{}) {
			assert.Assert(f.t, e.index.queue.Used(t.Name).Fits(t.Quota))
		}
	}
}

// assertIndex asserts that the index is the one that the state gives.
func assertIndex(t assert.TestingT, e *Engine) {
	fresh := newIndex(e.state, e.opts)
	assert.Equal(t, len(fresh.hosts), len(e.index.hosts))
	for i, want := range fresh.hosts {
		got := e.index.hosts[i]
		assert.Equal(t, got.Spec, want.Spec)
		assert.Equal(t, got.Reserved, want.Reserved)
		assert.Equal(t, got.Fixed, want.Fixed)
		assert.Assert(t, maps.Equal(got.Services, want.Services))
		assert.Assert(t, maps.Equal(loads(got), loads(want)))
		assertTasks(t, e.index.on[want.Spec.ID], fresh.on[want.Spec.ID])
	}
	assertTasks(t, e.index.pending, fresh.pending)
	for name, list := range fresh.replicas {
		assertTasks(t, e.index.replicas[name], list)
	}
	assert.Equal(t, e.index.total, fresh.total)
	assert.Equal(t, e.index.queue.Len(), fresh.queue.Len())
	for id, j := range e.state.Jobs {
		assert.Equal(t, e.index.queue.Waiting(id), fresh.queue.Waiting(id))
		assert.Equal(t, e.index.queue.Used(j.Team), fresh.queue.Used(j.Team))
	}
}

func loads(h *cowslipbend.Host) map[cowslipbend.Class]cowslipbend.Load {
	m := map[cowslipbend.Class]cowslipbend.Load{}
	for _, l := range h.Mix {
		m[l.Class] = l
	}
	return m
}

func assertTasks(t assert.TestingT, got, want map[cowslipbend.TaskID]*journaler.Task) {
	assert.Equal(t, len(got), len(want))
	for id, task := range want {
		assert.Assert(t, got[id] == task)
	}
}
