package scheduler

import (
	"fmt"
	"hash/crc32"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// workerSize is the size of a typical test worker.
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
	for _, t := range f.engine.index.jobTasks(f.engine.state, cowslipbend.JobID(id)) {
		m[t.Phase]++
	}
	return m
}

func (f *fleet) condition(id cowslipbend.WorkerID) journaler.Condition {
	return f.engine.state.Workers[id].Condition
}

// stepsPerSecond is the number of steps in a second.
const stepsPerSecond = int(cowslipbend.Second / stepLength)

// finishAfter returns an endAttempt that finishes batch attempts after the
// given number of steps.
func finishAfter(steps int) func(*fakeWorker, *cowslipbend.TaskStatus) bool {
	stepsRun := map[Ref]int{}
	return func(_ *fakeWorker, s *cowslipbend.TaskStatus) bool {
		r := Ref{s.Task, s.Attempt}
		if stepsRun[r]++; s.Service != "" || stepsRun[r] < steps {
			return false
		}
		return markFinished(s)
	}
}

// TestFaultyWorker asserts that a worker on which every attempt fails is
// quarantined, causes few failed attempts from then on, and is restored by a
// successful probe.
func TestFaultyWorker(t *testing.T) {
	f := smallFleet(t, 11)
	faulty := true
	finishes := finishAfter(2 * stepsPerSecond)
	f.endAttempt = func(w *fakeWorker, s *cowslipbend.TaskStatus) bool {
		if faulty && w.spec.ID == "w003" {
			return markFailed(s)
		}
		return finishes(w, s)
	}
	feed := func(seconds int) {
		for i := range seconds {
			f.submit(job(fmt.Sprint("job-", f.now, "-", i), 20, 2*cowslipbend.Core))
			f.steps(stepsPerSecond)
		}
	}
	feed(5)
	assert.Equal(t, f.condition("w003"), journaler.Quarantined)
	failed, assigned := f.recordCounts[cowslipbend.RecFailed], f.recordCounts[cowslipbend.RecAssigned]
	feed(60)
	failed, assigned = f.recordCounts[cowslipbend.RecFailed]-failed, f.recordCounts[cowslipbend.RecAssigned]-assigned
	assert.Assert(t, 100*failed <= 2*assigned, "%d of %d attempts failed", failed, assigned)
	faulty = false
	feed(70)
	assert.Equal(t, f.condition("w003"), journaler.Fit)
	f.steps(120 * stepsPerSecond)
	assert.Equal(t, f.recordCounts[cowslipbend.RecParked], 0)
	assert.Equal(t, f.engine.index.queue.Len(), 0)
}

// TestFaultyJob asserts that the tasks of a job that fails everywhere are
// parked after failing on distinct workers, with growing back-off, and that the
// failures are attributed to no worker.
func TestFaultyJob(t *testing.T) {
	f := smallFleet(t, 5)
	finishes := finishAfter(stepsPerSecond)
	f.endAttempt = func(w *fakeWorker, s *cowslipbend.TaskStatus) bool {
		if s.Class == "broken" {
			return markFailed(s)
		}
		return finishes(w, s)
	}
	bad := job("bad", 6, cowslipbend.Core)
	bad.Class = "broken"
	f.submit(bad)
	f.steps(12 * stepsPerSecond)
	for _, w := range f.workers {
		assert.Equal(t, f.condition(w.spec.ID), journaler.Fit)
	}
	for i := range 8 {
		f.submit(job(fmt.Sprint("good-", i), 4, cowslipbend.Core))
		f.steps(stepsPerSecond)
	}
	assert.Equal(t, f.phases("bad")[cowslipbend.Parked], 6)
	for _, task := range f.engine.index.jobTasks(f.engine.state, "bad") {
		assert.Equal(t, countDistinct(task.FailedWorkers), f.engine.opts.MaxFailedWorkers)
		assert.Equal(t, task.Reason, "failed on 3 workers")
	}
	for _, w := range f.workers {
		assert.Equal(t, f.condition(w.spec.ID), journaler.Fit)
	}
}

// TestBackoff asserts that the back-off doubles up to its maximum.
func TestBackoff(t *testing.T) {
	o := Defaults()
	for failures, want := range []cowslipbend.Span{0, o.RetryBackoff, 2 * o.RetryBackoff, 4 * o.RetryBackoff} {
		assert.Equal(t, o.backoff(failures), want)
	}
	assert.Equal(t, o.backoff(1000), o.MaxRetryBackoff)
}

// TestUrgent asserts that urgent tasks start in time in a full pool, that the
// room held for them goes to no other task, and that no task is evicted more
// than MaxEvictions times.
func TestUrgent(t *testing.T) {
	f := smallFleet(t, 4)
	f.submit(job("long", 200, 2*cowslipbend.Core))
	f.steps(5 * stepsPerSecond)
	submittedAt := map[cowslipbend.TaskID]cowslipbend.Time{}
	for i := range 8 {
		j := job(fmt.Sprint("close-", i), 1, 4*cowslipbend.Core)
		j.Urgency = cowslipbend.Urgent
		submittedAt[cowslipbend.MakeTaskID(j.ID, 0)] = f.now
		f.submit(j)
		f.steps(3 * stepsPerSecond)
	}
	for id, submitted := range submittedAt {
		assigned, ok := f.assignedAt[id]
		assert.Assert(t, ok, "%s was not assigned", id)
		assert.Assert(t, assigned.Sub(submitted) <= 3300*cowslipbend.Millisecond, "%s waited %v", id, assigned.Sub(submitted))
	}
	for _, task := range f.engine.index.jobTasks(f.engine.state, "long") {
		assert.Assert(t, task.Evictions <= f.engine.opts.MaxEvictions)
		assert.Assert(t, task.Evictions == 0 || task.Checkpoint == "checkpoint")
	}
}

// TestHeadroom asserts that the headroom of a pool holds whole urgent tasks
// even if its share of one worker is smaller than such a task, so that they
// start at once and nothing is evicted.
func TestHeadroom(t *testing.T) {
	f := smallFleet(t, 10)
	f.endAttempt = func(_ *fakeWorker, s *cowslipbend.TaskStatus) bool { return s.Class == "close" && markFinished(s) }
	f.engine.Declare(testSet())
	urgent := func(i int) cowslipbend.TaskID {
		j := job(fmt.Sprint("close-", i), 1, 2*cowslipbend.Core)
		j.Urgency, j.Class, j.Team = cowslipbend.Urgent, "close", "auditors"
		f.submit(j)
		return cowslipbend.MakeTaskID(j.ID, 0)
	}
	urgent(0)
	f.steps(stepsPerSecond)
	long := job("long", 200, cowslipbend.Core)
	long.Team = "agents"
	f.submit(long)
	f.steps(3 * stepsPerSecond)
	for i := range 10 {
		submitted, id := f.now, urgent(i+1)
		f.steps(2)
		assert.Equal(t, f.assignedAt[id].Sub(submitted), stepLength)
	}
	assert.Equal(t, f.recordCounts[cowslipbend.RecEvicted], 0)
	free := f.engine.index.total.CPU
	for _, h := range f.engine.index.hosts {
		free -= h.Reserved.CPU
	}
	assert.Assert(t, free*percent <= f.engine.index.total.CPU*10, "%d millicores are free", free)
}

// TestEvictionReleasesNothing asserts that an eviction order leaves the
// reservation until the worker reports the attempt's end.
func TestEvictionReleasesNothing(t *testing.T) {
	f := smallFleet(t, 1)
	f.submit(job("long", 8, 2*cowslipbend.Core))
	f.steps(stepsPerSecond)
	f.workers[0].silent = true // executes no orders and reports nothing
	j := job("close", 1, 4*cowslipbend.Core)
	j.Urgency = cowslipbend.Urgent
	f.submit(j)
	f.steps(1 + stepsPerSecond)
	assert.Assert(t, len(f.engine.evictor.orders) > 0)
	assert.Equal(t, f.engine.index.byID["w000"].Reserved.CPU, 16*cowslipbend.Core)
	assert.Equal(t, f.phases("close")[cowslipbend.Queued], 1)
}

// TestLargeTask asserts that a stream of small tasks does not starve a large
// one.
func TestLargeTask(t *testing.T) {
	f := smallFleet(t, 4)
	stepsRun := map[Ref]int{}
	f.endAttempt = func(_ *fakeWorker, s *cowslipbend.TaskStatus) bool {
		r := Ref{s.Task, s.Attempt}
		stepsRun[r]++
		return stepsRun[r] >= 3*stepsPerSecond+int(crc32.ChecksumIEEE([]byte(s.Task))%uint32(6*stepsPerSecond)) && markFinished(s)
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
	feed(30 * stepsPerSecond)
	assert.Equal(t, f.phases("large")[cowslipbend.Finished], 1)
}

// TestShares asserts that a team with queued work keeps at least 90% of its
// weighted share of a full pool.
func TestShares(t *testing.T) {
	f := smallFleet(t, 10)
	f.endAttempt = finishAfter(2 * stepsPerSecond)
	f.engine.Declare(&cowslipbend.Set{Teams: []cowslipbend.Team{{Name: "closers", Share: 3}, {Name: "auditors"}}})
	for i, team := range []cowslipbend.TeamID{"closers", "auditors"} {
		j := job(fmt.Sprint("much-", i), 3000, cowslipbend.Core)
		j.Team = team
		f.submit(j)
	}
	f.steps(4 * stepsPerSecond)
	for range 20 * stepsPerSecond {
		f.step()
		total := f.engine.index.total.CPU
		assert.Assert(t, f.engine.index.queue.Reserved("closers").CPU*100 >= total*75*90/100)
		assert.Assert(t, f.engine.index.queue.Reserved("auditors").CPU*100 >= total*25*90/100)
	}
}

// TestCancelManyJobs asserts that cancelling many jobs at once takes one
// record, that an unknown id refuses the whole request, and that running tasks
// keep their reservations until their worker reports.
func TestCancelManyJobs(t *testing.T) {
	f := smallFleet(t, 2)
	var ids []cowslipbend.JobID
	for i := range 50 {
		j := job(fmt.Sprint("job-", i), 2, cowslipbend.Core)
		ids = append(ids, j.ID)
		f.submit(j)
	}
	f.steps(stepsPerSecond)
	_, err := f.engine.Cancel(append([]cowslipbend.JobID{"none"}, ids...), f.now)
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindMissing)
	recs, err := f.engine.Cancel(ids, f.now)
	assert.NilError(t, err)
	assert.Equal(t, len(recs), 1)
	before := f.engine.index.byID["w000"].Reserved
	f.apply(recs)
	assert.Equal(t, f.engine.index.byID["w000"].Reserved, before)
	f.steps(4 * stepsPerSecond)
	assert.Equal(t, f.engine.index.byID["w000"].Reserved, cowslipbend.Resources{})
	for _, id := range ids {
		assert.Equal(t, f.phases(string(id))[cowslipbend.Cancelled], 2)
	}
	recs, err = f.engine.Cancel(ids, f.now)
	assert.NilError(t, err)
	assert.Equal(t, len(recs), 0)
}

// TestTooLargeJob asserts that a job too large for every worker is refused, or
// parked with the reason if it was submitted before the workers joined.
func TestTooLargeJob(t *testing.T) {
	huge := job("huge", 1, 64*cowslipbend.Core)
	t.Run("submitted after the workers joined", func(t *testing.T) {
		_, err := smallFleet(t, 2).engine.Submit(huge, 0)
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
	})
	t.Run("submitted before the workers joined", func(t *testing.T) {
		f := newFleet(t, 2, workerSize(), testPolicy(t, "guarded"), Defaults())
		f.submit(huge)
		f.steps(12 * stepsPerSecond)
		assert.Equal(t, f.phases("huge")[cowslipbend.Parked], 1)
		assert.Equal(t, f.engine.state.Tasks["huge/0"].Reason, "no worker of the pool can hold it")
	})
}

// TestBesideServices asserts that a task that leaves no headroom next to the
// services still runs, and that one that never fits next to them is parked.
func TestBesideServices(t *testing.T) {
	f := smallFleet(t, 3)
	f.endAttempt = finishAfter(stepsPerSecond)
	set := testSet()
	set.Services[0].Size.CPU = 6 * cowslipbend.Core
	f.engine.Declare(set)
	f.steps(2 * stepsPerSecond)
	f.submit(job("fits", 1, 10*cowslipbend.Core))
	f.submit(job("never", 1, 11*cowslipbend.Core))
	f.steps(32 * stepsPerSecond)
	assert.Equal(t, f.phases("fits")[cowslipbend.Finished], 1)
	assert.Equal(t, f.phases("never")[cowslipbend.Parked], 1)
	assert.Equal(t, f.engine.state.Tasks["never/0"].Reason, "no worker of the pool can hold it beside its services")
}

// TestDrain asserts that a drained worker is emptied with checkpoints, that no
// service runs fewer than its declared replicas meanwhile, and that the drain
// outlives a change of owner.
func TestDrain(t *testing.T) {
	f := smallFleet(t, 4)
	set := testSet()
	set.Services[0].Replicas = 4
	f.engine.Declare(set)
	f.steps(2 * stepsPerSecond)
	f.submit(job("long", 12, 2*cowslipbend.Core))
	f.steps(3 * stepsPerSecond)
	recs, err := f.engine.Drain("w001", f.now)
	assert.NilError(t, err)
	f.apply(recs)
	runningReplicas := func() int {
		n := 0
		for _, task := range f.engine.index.replicas["settle"] {
			if task.Phase == cowslipbend.Running {
				n++
			}
		}
		return n
	}
	for range 20 * stepsPerSecond {
		f.step()
		assert.Assert(t, runningReplicas() >= 4, "only %d replicas run", runningReplicas())
	}
	assert.Equal(t, len(f.worker("w001").tasks), 0)
	assert.Equal(t, f.engine.index.byID["w001"].Reserved, cowslipbend.Resources{})
	next := NewEngine(testPool, f.engine.state, testPolicy(t, "guarded"), Defaults(), f.now)
	assert.Assert(t, next.isDraining("w001"))
	recs, err = f.engine.Undrain("w001", f.now)
	assert.NilError(t, err)
	f.apply(recs)
	f.submit(job("more", 40, 2*cowslipbend.Core))
	f.steps(2 * stepsPerSecond)
	assert.Assert(t, len(f.worker("w001").tasks) > 0)
	_, err = f.engine.Drain("none", f.now)
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindMissing)
}

// TestLeaving asserts that a worker whose agent is leaving gets no new tasks.
func TestLeaving(t *testing.T) {
	f := smallFleet(t, 2)
	f.workers[0].leaving = true
	f.step()
	f.submit(job("many", 30, cowslipbend.Core))
	f.steps(2 * stepsPerSecond)
	assert.Equal(t, len(f.workers[0].tasks), 0)
	assert.Assert(t, len(f.workers[1].tasks) > 0)
}

// TestOrphanedAttempt asserts that an attempt still running on a worker that
// returns after being marked silent counts against the worker's room until it
// is stopped, and that the order to stop it is sent besides the one to start
// the task's next attempt.
func TestOrphanedAttempt(t *testing.T) {
	f := smallFleet(t, 1)
	f.submit(job("job", 1, 2*cowslipbend.Core))
	f.steps(stepsPerSecond)
	w := f.workers[0]
	w.silent = true
	f.steps(8 * stepsPerSecond)
	assert.Equal(t, f.condition("w000"), journaler.Silent)
	f.now = f.now.Add(stepLength)
	f.sendHeartbeat(w)
	assert.Equal(t, f.engine.index.byID["w000"].OrphanUsage.CPU, 2*cowslipbend.Core)
	f.apply(f.engine.Decide(f.now, f.now))
	o := f.engine.Orders(f.now, 1)["w000"]
	assert.DeepEqual(t, o.Stops, []Ref{{"job/0", 1}})
	assert.Equal(t, len(o.Starts), 1)
}

// TestDeclaredJob asserts that a declared job runs once even if it is declared
// again.
func TestDeclaredJob(t *testing.T) {
	f := smallFleet(t, 1)
	f.endAttempt = finishAfter(stepsPerSecond)
	for range 3 {
		f.engine.Declare(&cowslipbend.Set{Jobs: []cowslipbend.Job{job("nightly", 2, cowslipbend.Core)}})
		f.steps(4 * stepsPerSecond)
		assert.Equal(t, f.phases("nightly")[cowslipbend.Finished], 2)
	}
	assert.Equal(t, f.recordCounts[cowslipbend.RecSubmitted], 1)
}

// TestWithoutWorkers asserts that tasks wait for workers to join instead of
// being parked as too large for any worker.
func TestWithoutWorkers(t *testing.T) {
	t.Run("tasks wait until a worker joins", func(t *testing.T) {
		f := smallFleet(t, 1)
		workers := f.workers
		f = newFleet(t, 0, workerSize(), testPolicy(t, "guarded"), Defaults())
		f.endAttempt = finishAfter(stepsPerSecond)
		f.submit(job("waits", 1, cowslipbend.Core))
		f.steps(120 * stepsPerSecond)
		assert.Equal(t, f.phases("waits")[cowslipbend.Queued], 1)
		f.workers = workers
		f.steps(5 * stepsPerSecond)
		assert.Equal(t, f.phases("waits")[cowslipbend.Finished], 1)
	})
	t.Run("a heartbeat without a size leaves the size of the worker", func(t *testing.T) {
		f := smallFleet(t, 2)
		unsized := Heartbeat{Worker: f.workers[0].spec}
		unsized.Worker.Size = cowslipbend.Resources{}
		f.apply(f.engine.HandleHeartbeat(unsized, f.now, f.now))
		assert.Equal(t, f.engine.state.Workers[unsized.Worker.ID].Spec.Size, workerSize())
		unsized.Worker.ID = "unknown"
		f.apply(f.engine.HandleHeartbeat(unsized, f.now, f.now))
		assert.Assert(t, f.engine.state.Workers["unknown"] == nil)
	})
}

// TestMissingAttempts asserts that attempts lost with a replaced machine run
// again even if the worker was never silent for long, and that all others keep
// running.
func TestMissingAttempts(t *testing.T) {
	f := smallFleet(t, 2)
	f.endAttempt = finishAfter(20 * stepsPerSecond)
	f.submit(job("long", 4, 4*cowslipbend.Core))
	f.steps(2 * stepsPerSecond)
	assert.Equal(t, f.phases("long")[cowslipbend.Running], 4)
	lostCount := len(f.workers[0].tasks)
	f.workers[0].tasks = map[cowslipbend.TaskID]*cowslipbend.TaskStatus{}
	f.steps(4 * stepsPerSecond)
	restarted := 0
	for _, task := range f.engine.index.jobTasks(f.engine.state, "long") {
		if task.Attempt == 2 {
			restarted++
		}
	}
	assert.Assert(t, lostCount > 0)
	assert.Equal(t, restarted, lostCount)
	f.steps(25 * stepsPerSecond)
	assert.Equal(t, f.phases("long")[cowslipbend.Finished], 4)
}

// TestTaskThatCrashesWorkersIsParked asserts that a task under which worker after worker
// loses all its tasks is not started without end.
func TestTaskThatCrashesWorkersIsParked(t *testing.T) {
	const maxCrashes = 5
	f := smallFleet(t, 8)
	f.submit(job("bad", 1, cowslipbend.Core))
	bad := f.engine.index.jobTasks(f.engine.state, "bad")[0].ID
	crashes := 0
	for range 60 * stepsPerSecond {
		f.step()
		for _, w := range f.workers {
			if w.tasks[bad] != nil {
				clear(w.tasks)
				crashes++
			}
		}
	}
	assert.Assert(t, crashes <= maxCrashes, "%d crashes", crashes)
	assert.Equal(t, f.phases("bad")[cowslipbend.Parked], 1)
}
