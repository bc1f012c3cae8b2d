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

// fleet is an engine with workers that execute orders at once. Time advances
// only by step.
type fleet struct {
	t       assert.TestingT
	engine  *Engine
	now     cowslipbend.Time
	workers []*fakeWorker
	// endAttempt is called for each running attempt in each step. It may set the
	// outcome in the status, and reports whether the attempt ends.
	endAttempt func(w *fakeWorker, s *cowslipbend.TaskStatus) bool
	// recordCounts counts the applied records by kind.
	recordCounts map[cowslipbend.RecordKind]int
	assignedAt   map[cowslipbend.TaskID]cowslipbend.Time
}

// fakeWorker holds running attempts and the reports of ended ones that the next
// heartbeat carries.
type fakeWorker struct {
	spec    cowslipbend.WorkerSpec
	silent  bool
	leaving bool
	tasks   map[cowslipbend.TaskID]*cowslipbend.TaskStatus
	reports []cowslipbend.TaskStatus
}

// sortedTasks returns the running attempts ordered by task.
func (w *fakeWorker) sortedTasks() []*cowslipbend.TaskStatus {
	list := slices.Collect(maps.Values(w.tasks))
	slices.SortFunc(list, func(a, b *cowslipbend.TaskStatus) int { return strings.Compare(string(a.Task), string(b.Task)) })
	return list
}

func newFleet(t assert.TestingT, n int, size cowslipbend.Resources, policy cowslipbend.Placement, opts Options) *fleet {
	f := &fleet{
		t: t, engine: NewEngine(testPool, journaler.NewState(), policy, opts, 0),
		recordCounts: map[cowslipbend.RecordKind]int{}, assignedAt: map[cowslipbend.TaskID]cowslipbend.Time{},
		endAttempt: func(*fakeWorker, *cowslipbend.TaskStatus) bool { return false },
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
		f.recordCounts[r.Kind]++
		if r.Kind == cowslipbend.RecAssigned && f.assignedAt[r.Task] == 0 {
			f.assignedAt[r.Task] = f.now
		}
	}
	assert.NilError(f.t, f.engine.Apply(recs))
}

func (f *fleet) submit(j cowslipbend.Job) {
	recs, err := f.engine.Submit(j, f.now)
	assert.NilError(f.t, err)
	f.apply(recs)
}

// job returns a job in the test pool.
func job(id string, tasks int, cpu cowslipbend.Millicores) cowslipbend.Job {
	return cowslipbend.Job{
		ID: cowslipbend.JobID(id), Pool: testPool, Team: "closers", Class: "netting", Tasks: tasks,
		Size: cowslipbend.Resources{CPU: cpu, Mem: cowslipbend.GB},
	}
}

// stepLength is the simulated time of one step.
const stepLength = 500 * cowslipbend.Millisecond

// step advances time, ends attempts, sends heartbeats, decides and executes the
// orders.
func (f *fleet) step() {
	f.now = f.now.Add(stepLength)
	for _, w := range f.workers {
		for _, s := range w.sortedTasks() {
			if f.endAttempt(w, s) {
				delete(w.tasks, s.Task)
				w.reports = append(w.reports, *s)
			}
		}
		if !w.silent {
			f.sendHeartbeat(w)
		}
	}
	f.apply(f.engine.Decide(f.now, f.now))
	orders := f.engine.Orders(f.now, 1)
	for _, w := range f.workers {
		if o := orders[w.spec.ID]; o != nil {
			w.execute(o)
		}
	}
	f.checkInvariants()
}

func (f *fleet) steps(n int) {
	for range n {
		f.step()
	}
}

func (f *fleet) sendHeartbeat(w *fakeWorker) {
	b := Heartbeat{Worker: w.spec, Leaving: w.leaving, Reports: w.reports, LeaseEnd: f.now.Add(2 * cowslipbend.Second)}
	w.reports = nil
	for _, s := range w.sortedTasks() {
		b.Running = append(b.Running, *s)
	}
	f.apply(f.engine.HandleHeartbeat(b, f.now, f.now))
}

func (f *fleet) worker(id cowslipbend.WorkerID) *fakeWorker {
	for _, w := range f.workers {
		if w.spec.ID == id {
			return w
		}
	}
	return nil
}

// execute executes orders.
func (w *fakeWorker) execute(o *Orders) {
	if w.silent {
		return
	}
	for _, s := range o.Starts {
		if current, runs := w.tasks[s.Task]; !runs || current.Attempt < s.Attempt {
			w.tasks[s.Task] = &cowslipbend.TaskStatus{Task: s.Task, Attempt: s.Attempt, Class: s.Class, Service: s.Service, Size: s.Size, Phase: cowslipbend.Running, Percent: 100}
		}
	}
	for _, r := range o.Evicts {
		w.endTask(r, "checkpoint")
	}
	for _, r := range o.Stops {
		w.endTask(r, "")
	}
}

func (w *fakeWorker) endTask(r Ref, checkpoint string) {
	s, runs := w.tasks[r.Task]
	if !runs || s.Attempt != r.Attempt {
		return
	}
	delete(w.tasks, r.Task)
	s.Phase, s.Checkpoint = cowslipbend.Queued, checkpoint
	w.reports = append(w.reports, *s)
}

// markFinished marks an attempt as finished, markFailed as failed.
func markFinished(s *cowslipbend.TaskStatus) bool {
	s.Phase = cowslipbend.Finished
	return true
}

func markFailed(s *cowslipbend.TaskStatus) bool {
	s.Phase, s.Failed = cowslipbend.Queued, true
	return true
}

// checkInvariants asserts the invariants that hold after every decision.
func (f *fleet) checkInvariants() {
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
			assert.Assert(f.t, e.index.queue.Reserved(t.Name).Fits(t.Quota))
		}
	}
}

// assertIndex asserts that the index equals one built anew from the state.
func assertIndex(t assert.TestingT, e *Engine) {
	rebuilt := newIndex(e.state, e.opts)
	assert.Equal(t, len(rebuilt.hosts), len(e.index.hosts))
	for i, want := range rebuilt.hosts {
		got := e.index.hosts[i]
		assert.Equal(t, got.Spec, want.Spec)
		assert.Equal(t, got.Reserved, want.Reserved)
		assert.Equal(t, got.ServiceReserved, want.ServiceReserved)
		assert.Assert(t, maps.Equal(got.Services, want.Services))
		assert.Assert(t, maps.Equal(loads(got), loads(want)))
		assertTasks(t, e.index.tasksByWorker[want.Spec.ID], rebuilt.tasksByWorker[want.Spec.ID])
	}
	assertTasks(t, e.index.pending, rebuilt.pending)
	for name, list := range rebuilt.replicas {
		assertTasks(t, e.index.replicas[name], list)
	}
	assert.Equal(t, e.index.total, rebuilt.total)
	assert.Equal(t, e.index.queue.Len(), rebuilt.queue.Len())
	for id, j := range e.state.Jobs {
		assert.Equal(t, e.index.queue.Waiting(id), rebuilt.queue.Waiting(id))
		assert.Equal(t, e.index.queue.Reserved(j.Team), rebuilt.queue.Reserved(j.Team))
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
