package scheduler

import (
	"fmt"
	"hash/crc32"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// workerSize is the size of a usual test worker.
func workerSize() cowslipbend.Resources {
	return cowslipbend.Resources{CPU: 16 * cowslipbend.Core, Mem: 60 * cowslipbend.GB}
}

func smallFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := newFleet(t, n, workerSize(), testPolicy(t, "guarded"), Defaults())
	f.step()
	return f
}

func (f *fleet) phases(id string) map[cowslipbend.Phase]int {
	m := map[cowslipbend.Phase]int{}
	for _, t := range f.engine.index.tasks(f.engine.state, cowslipbend.JobID(id)) {
		m[t.Phase]++
	}
	return m
}

func (f *fleet) condition(id cowslipbend.WorkerID) journaler.Condition {
	return f.engine.state.Workers[id].Condition
}

// second is the steps in one second.
const second = int(cowslipbend.Second / stepLength)

// finishAfter ends attempts well after so many steps.
func finishAfter(steps int) func(*fakeWorker, *cowslipbend.TaskStatus) bool {
	age := map[Ref]int{}
	return func(_ *fakeWorker, s *cowslipbend.TaskStatus) bool {
		r := Ref{s.Task, s.Attempt}
		if age[r]++; s.Service != "" || age[r] < steps {
			return false
		}
		return finish(s)
	}
}

// TestFaultyWorker asserts that a worker that fails everything is put into
// quarantine, costs few attempts from then on, and comes back by a probe.
func TestFaultyWorker(t *testing.T) {
	f := smallFleet(t, 11)
	faulty := true
	well := finishAfter(2 * second)
	f.ends = func(w *fakeWorker, s *cowslipbend.TaskStatus) bool {
		if faulty && w.spec.ID == "w003" {
			return fail(s)
		}
		return well(w, s)
	}
	feed := func(seconds int) {
		for i := range seconds {
			f.submit(job(fmt.Sprint("job-", f.now, "-", i), 20, 2*cowslipbend.Core))
			f.steps(second)
		}
	}
	feed(5)
	assert.Equal(t, f.condition("w003"), journaler.Quarantined)
	failed, assigned := f.kinds[cowslipbend.RecFailed], f.kinds[cowslipbend.RecAssigned]
	feed(60)
	failed, assigned = f.kinds[cowslipbend.RecFailed]-failed, f.kinds[cowslipbend.RecAssigned]-assigned
	assert.Assert(t, 100*failed <= 2*assigned, "%d of %d attempts were lost", failed, assigned)
	faulty = false
	feed(70)
	assert.Equal(t, f.condition("w003"), journaler.Fit)
	f.steps(120 * second)
	assert.Equal(t, f.kinds[cowslipbend.RecParked], 0)
	assert.Equal(t, f.engine.index.queue.Len(), 0)
}

// TestFaultyJob asserts that a job that fails everywhere is parked after
// distinct workers with growing pauses, and that no worker is blamed for it.
func TestFaultyJob(t *testing.T) {
	f := smallFleet(t, 5)
	well := finishAfter(second)
	f.ends = func(w *fakeWorker, s *cowslipbend.TaskStatus) bool {
		if s.Class == "broken" {
			return fail(s)
		}
		return well(w, s)
	}
	bad := job("bad", 6, cowslipbend.Core)
	bad.Class = "broken"
	f.submit(bad)
	f.steps(12 * second)
	for _, w := range f.workers {
		assert.Equal(t, f.condition(w.spec.ID), journaler.Fit)
	}
	for i := range 8 {
		f.submit(job(fmt.Sprint("good-", i), 4, cowslipbend.Core))
		f.steps(second)
	}
	assert.Equal(t, f.phases("bad")[cowslipbend.Parked], 6)
	for _, task := range f.engine.index.tasks(f.engine.state, "bad") {
		assert.Equal(t, distinct(task.Failed), f.engine.opts.Park)
		assert.Equal(t, task.Reason, "failed on 3 workers")
	}
	for _, w := range f.workers {
		assert.Equal(t, f.condition(w.spec.ID), journaler.Fit)
	}
}

// TestBackoff asserts that pauses double up to the bound.
func TestBackoff(t *testing.T) {
	o := Defaults()
	for failures, want := range []cowslipbend.Span{0, o.Retry, 2 * o.Retry, 4 * o.Retry} {
		assert.Equal(t, o.backoff(failures), want)
	}
	assert.Equal(t, o.backoff(1000), o.MaxRetry)
}

// TestUrgent asserts that urgent work starts in time on a full pool, that the
// room it waits for goes to no one else, and that no task is evicted again and
// again.
func TestUrgent(t *testing.T) {
	f := smallFleet(t, 4)
	f.submit(job("long", 200, 2*cowslipbend.Core))
	f.steps(5 * second)
	urgent := map[cowslipbend.TaskID]cowslipbend.Time{}
	for i := range 8 {
		j := job(fmt.Sprint("close-", i), 1, 4*cowslipbend.Core)
		j.Urgency = cowslipbend.Urgent
		urgent[cowslipbend.MakeTaskID(j.ID, 0)] = f.now
		f.submit(j)
		f.steps(3 * second)
	}
	for id, at := range urgent {
		begun, ok := f.begun[id]
		assert.Assert(t, ok, "%s has not begun", id)
		assert.Assert(t, begun.Sub(at) <= 3300*cowslipbend.Millisecond, "%s waited %v", id, begun.Sub(at))
	}
	for _, task := range f.engine.index.tasks(f.engine.state, "long") {
		assert.Assert(t, task.Evictions <= f.engine.opts.Often)
		assert.Assert(t, task.Evictions == 0 || task.Checkpoint == "checkpoint")
	}
}

// TestHeadroom asserts that the headroom of a pool holds whole urgent tasks,
// though its part of one worker is less than one, so that they start at once
// and nothing is evicted.
func TestHeadroom(t *testing.T) {
	f := smallFleet(t, 10)
	f.ends = func(_ *fakeWorker, s *cowslipbend.TaskStatus) bool { return s.Class == "close" && finish(s) }
	f.engine.Declare(testSet())
	urgent := func(i int) cowslipbend.TaskID {
		j := job(fmt.Sprint("close-", i), 1, 2*cowslipbend.Core)
		j.Urgency, j.Class, j.Team = cowslipbend.Urgent, "close", "auditors"
		f.submit(j)
		return cowslipbend.MakeTaskID(j.ID, 0)
	}
	urgent(0)
	f.steps(second)
	long := job("long", 200, cowslipbend.Core)
	long.Team = "agents"
	f.submit(long)
	f.steps(3 * second)
	for i := range 10 {
		at, id := f.now, urgent(i+1)
		f.steps(2)
		assert.Equal(t, f.begun[id].Sub(at), stepLength)
	}
	assert.Equal(t, f.kinds[cowslipbend.RecEvicted], 0)
	free := f.engine.index.total.CPU
	for _, h := range f.engine.index.hosts {
		free -= h.Reserved.CPU
	}
	assert.Assert(t, free*percent <= f.engine.index.total.CPU*10, "%d millicores are free", free)
}

// TestEvictionReleasesNothing asserts that the intention to evict leaves the
// reservation until the worker reports.
func TestEvictionReleasesNothing(t *testing.T) {
	f := smallFleet(t, 1)
	f.submit(job("long", 8, 2*cowslipbend.Core))
	f.steps(second)
	f.workers[0].silent = true // takes no orders and reports nothing
	j := job("close", 1, 4*cowslipbend.Core)
	j.Urgency = cowslipbend.Urgent
	f.submit(j)
	f.steps(1 + second)
	assert.Assert(t, len(f.engine.evicting.intents) > 0)
	assert.Equal(t, f.engine.index.byID["w000"].Reserved.CPU, 16*cowslipbend.Core)
	assert.Equal(t, f.phases("close")[cowslipbend.Queued], 1)
}

// TestLargeTask asserts that a stream of small tasks does not starve a large
// one.
func TestLargeTask(t *testing.T) {
	f := smallFleet(t, 4)
	age := map[Ref]int{}
	f.ends = func(_ *fakeWorker, s *cowslipbend.TaskStatus) bool {
		r := Ref{s.Task, s.Attempt}
		age[r]++
		return age[r] >= 3*second+int(crc32.ChecksumIEEE([]byte(s.Task))%uint32(6*second)) && finish(s)
	}
	feed := func(n int) {
		for i := range n {
			f.submit(job(fmt.Sprint("small-", f.now, "-", i), 12, 2*cowslipbend.Core))
			f.step()
		}
	}
	feed(10)
	large := job("large", 1, 14*cowslipbend.Core)
	large.Team = "auditors"
	f.submit(large)
	feed(30 * second)
	assert.Equal(t, f.phases("large")[cowslipbend.Finished], 1)
}

// TestShares asserts that a team with queued work keeps at least 90% of its
// weighted share of a full pool.
func TestShares(t *testing.T) {
	f := smallFleet(t, 10)
	f.ends = finishAfter(2 * second)
	f.engine.Declare(&cowslipbend.Set{Teams: []cowslipbend.Team{{Name: "closers", Share: 3}, {Name: "auditors"}}})
	for i, team := range []cowslipbend.TeamID{"closers", "auditors"} {
		j := job(fmt.Sprint("much-", i), 3000, cowslipbend.Core)
		j.Team = team
		f.submit(j)
	}
	f.steps(4 * second)
	for range 20 * second {
		f.step()
		total := f.engine.index.total.CPU
		assert.Assert(t, f.engine.index.queue.Used("closers").CPU*100 >= total*75*90/100)
		assert.Assert(t, f.engine.index.queue.Used("auditors").CPU*100 >= total*25*90/100)
	}
}

// TestWave asserts that a wave of cancellations is one record, that all of it
// is refused for an unknown name, and that what runs keeps its reservation
// until its worker reports.
func TestWave(t *testing.T) {
	f := smallFleet(t, 2)
	var ids []cowslipbend.JobID
	for i := range 50 {
		j := job(fmt.Sprint("job-", i), 2, cowslipbend.Core)
		ids = append(ids, j.ID)
		f.submit(j)
	}
	f.steps(second)
	_, err := f.engine.Cancel(append([]cowslipbend.JobID{"none"}, ids...), f.now)
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindMissing)
	recs, err := f.engine.Cancel(ids, f.now)
	assert.NilError(t, err)
	assert.Equal(t, len(recs), 1)
	before := f.engine.index.byID["w000"].Reserved
	f.apply(recs)
	assert.Equal(t, f.engine.index.byID["w000"].Reserved, before)
	f.steps(4 * second)
	assert.Equal(t, f.engine.index.byID["w000"].Reserved, cowslipbend.Resources{})
	for _, id := range ids {
		assert.Equal(t, f.phases(string(id))[cowslipbend.Cancelled], 2)
	}
	recs, err = f.engine.Cancel(ids, f.now)
	assert.NilError(t, err)
	assert.Equal(t, len(recs), 0)
}

// TestUnfit asserts that a job that no worker can ever hold is refused, or
// parked with the reason if it came before the workers.
func TestUnfit(t *testing.T) {
	huge := job("huge", 1, 64*cowslipbend.Core)
	t.Run("refused", func(t *testing.T) {
		_, err := smallFleet(t, 2).engine.Submit(huge, 0)
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
	})
	t.Run("parked", func(t *testing.T) {
		f := newFleet(t, 2, workerSize(), testPolicy(t, "guarded"), Defaults())
		f.submit(huge)
		f.steps(12 * second)
		assert.Equal(t, f.phases("huge")[cowslipbend.Parked], 1)
		assert.Equal(t, f.engine.state.Tasks["huge/0"].Reason, "no worker of the pool can hold it")
	})
}

// TestBesideServices asserts that a task that leaves no headroom beside the
// services still runs, and that one that never fits beside them is parked.
func TestBesideServices(t *testing.T) {
	f := smallFleet(t, 3)
	f.ends = finishAfter(second)
	set := testSet()
	set.Services[0].Size.CPU = 6 * cowslipbend.Core
	f.engine.Declare(set)
	f.steps(2 * second)
	f.submit(job("fits", 1, 10*cowslipbend.Core))
	f.submit(job("never", 1, 11*cowslipbend.Core))
	f.steps(32 * second)
	assert.Equal(t, f.phases("fits")[cowslipbend.Finished], 1)
	assert.Equal(t, f.phases("never")[cowslipbend.Parked], 1)
	assert.Equal(t, f.engine.state.Tasks["never/0"].Reason, "no worker of the pool can hold it beside its services")
}

// TestDrain asserts that a drained worker is emptied with checkpoints, that no
// service falls below its replicas meanwhile, and that this outlives the owner.
func TestDrain(t *testing.T) {
	f := smallFleet(t, 4)
	set := testSet()
	set.Services[0].Replicas = 4
	f.engine.Declare(set)
	f.steps(2 * second)
	f.submit(job("long", 12, 2*cowslipbend.Core))
	f.steps(3 * second)
	recs, err := f.engine.Drain("w001", f.now)
	assert.NilError(t, err)
	f.apply(recs)
	runs := func() int {
		n := 0
		for _, task := range f.engine.index.replicas["settle"] {
			if task.Phase == cowslipbend.Running {
				n++
			}
		}
		return n
	}
	for range 20 * second {
		f.step()
		assert.Assert(t, runs() >= 4, "only %d replicas run", runs())
	}
	assert.Equal(t, len(f.worker("w001").tasks), 0)
	assert.Equal(t, f.engine.index.byID["w001"].Reserved, cowslipbend.Resources{})
	next := NewEngine(testPool, f.engine.state, testPolicy(t, "guarded"), Defaults(), f.now)
	assert.Assert(t, next.goes("w001"))
	recs, err = f.engine.Undrain("w001", f.now)
	assert.NilError(t, err)
	f.apply(recs)
	f.submit(job("more", 40, 2*cowslipbend.Core))
	f.steps(2 * second)
	assert.Assert(t, len(f.worker("w001").tasks) > 0)
	_, err = f.engine.Drain("none", f.now)
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindMissing)
}

// TestLeaving asserts that a worker whose agent leaves takes nothing new.
func TestLeaving(t *testing.T) {
	f := smallFleet(t, 2)
	f.workers[0].leaving = true
	f.step()
	f.submit(job("many", 30, cowslipbend.Core))
	f.steps(2 * second)
	assert.Equal(t, len(f.workers[0].tasks), 0)
	assert.Assert(t, len(f.workers[1].tasks) > 0)
}

// TestStray asserts that a replica that comes back with a lost worker counts
// against its room until it is stopped, and that the order to stop it is not
// hidden by one to start the task's next attempt.
func TestStray(t *testing.T) {
	f := smallFleet(t, 1)
	f.submit(job("job", 1, 2*cowslipbend.Core))
	f.steps(second)
	w := f.workers[0]
	w.silent = true
	f.steps(8 * second)
	assert.Equal(t, f.condition("w000"), journaler.Silent)
	f.now = f.now.Add(stepLength)
	f.beat(w)
	assert.Equal(t, f.engine.index.byID["w000"].Strays.CPU, 2*cowslipbend.Core)
	f.apply(f.engine.Decide(f.now, f.now))
	o := f.engine.Orders(f.now, 1)["w000"]
	assert.DeepEqual(t, o.Stops, []Ref{{"job/0", 1}})
	assert.Equal(t, len(o.Starts), 1)
}

// TestDeclaredJob asserts that a declared job runs once, whatever is declared
// later.
func TestDeclaredJob(t *testing.T) {
	f := smallFleet(t, 1)
	f.ends = finishAfter(second)
	for range 3 {
		f.engine.Declare(&cowslipbend.Set{Jobs: []cowslipbend.Job{job("nightly", 2, cowslipbend.Core)}})
		f.steps(4 * second)
		assert.Equal(t, f.phases("nightly")[cowslipbend.Finished], 2)
	}
	assert.Equal(t, f.kinds[cowslipbend.RecSubmitted], 1)
}

// TestWithoutWorkers asserts that tasks wait for workers instead of being
// parked as if no worker could hold them.
func TestWithoutWorkers(t *testing.T) {
	t.Run("none has joined yet", func(t *testing.T) {
		f := smallFleet(t, 1)
		late := f.workers
		f = newFleet(t, 0, workerSize(), testPolicy(t, "guarded"), Defaults())
		f.ends = finishAfter(second)
		f.submit(job("waits", 1, cowslipbend.Core))
		f.steps(120 * second)
		assert.Equal(t, f.phases("waits")[cowslipbend.Queued], 1)
		f.workers = late
		f.steps(5 * second)
		assert.Equal(t, f.phases("waits")[cowslipbend.Finished], 1)
	})
	t.Run("agents that have not read their worker do not make it empty", func(t *testing.T) {
		f := smallFleet(t, 2)
		blind := Beat{Worker: f.workers[0].spec}
		blind.Worker.Size = cowslipbend.Resources{}
		f.apply(f.engine.Beat(blind, f.now, f.now))
		assert.Equal(t, f.engine.state.Workers[blind.Worker.ID].Spec.Size, workerSize())
		blind.Worker.ID = "unknown"
		f.apply(f.engine.Beat(blind, f.now, f.now))
		assert.Assert(t, f.engine.state.Workers["unknown"] == nil)
	})
}

// TestVanished asserts that attempts which a replaced host took along run
// again, although its worker was never silent for long, and that others stay.
func TestVanished(t *testing.T) {
	f := smallFleet(t, 2)
	f.ends = finishAfter(20 * second)
	f.submit(job("long", 4, 4*cowslipbend.Core))
	f.steps(2 * second)
	assert.Equal(t, f.phases("long")[cowslipbend.Running], 4)
	lost := len(f.workers[0].tasks)
	f.workers[0].tasks = map[cowslipbend.TaskID]*cowslipbend.TaskStatus{}
	f.steps(4 * second)
	again := 0
	for _, task := range f.engine.index.tasks(f.engine.state, "long") {
		if task.Attempt == 2 {
			again++
		}
	}
	assert.Assert(t, lost > 0)
	assert.Equal(t, again, lost)
	f.steps(25 * second)
	assert.Equal(t, f.phases("long")[cowslipbend.Finished], 4)
}
