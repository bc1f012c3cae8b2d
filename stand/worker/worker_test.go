package worker

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/timer"
)

const distantFuture = cowslipbend.Time(1) << 40

// testWorker is a worker of 10 cores and 10 GB on a manual clock.
type testWorker struct {
	*Worker
	clock *timer.Manual
	judge *judge.Judge
}

func newTestWorker(t *testing.T) *testWorker {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(cowslipbend.Second)
	j := judge.New()
	opts := Options{
		ID: "w1", Size: cowslipbend.Resources{CPU: 10 * cowslipbend.Core, Mem: 10 * cowslipbend.GB},
		Lag: cowslipbend.Second, Slots: 2, Conns: 4, Slowdown: loudSlowdown,
	}
	w := New(opts, clock, j, &keeper.Objects{}, hclog.NewNullLogger())
	return &testWorker{Worker: w, clock: clock, judge: j}
}

// loudSlowdown makes tasks of class loud interfere with all other classes.
func loudSlowdown(victim, other cowslipbend.Class) float64 {
	if other == "loud" && victim != "loud" {
		return 1
	}
	return 0
}

// startBatch starts a batch task that uses the cores it declares and finishes
// after the seconds if nothing slows it down.
func (m *testWorker) startBatch(t *testing.T, id cowslipbend.TaskID, class cowslipbend.Class, cores, seconds int64) {
	t.Helper()
	cpu := cowslipbend.Core * cowslipbend.Millicores(cores)
	work := Work{CPU: cpu, Mem: cowslipbend.GB, TotalCPU: cowslipbend.CPUTime(cores * seconds * 1000)}
	assert.NilError(t, m.Start(context.Background(), cowslipbend.Start{
		Task: id, Attempt: 1, Class: class, Size: cowslipbend.Resources{CPU: cpu, Mem: cowslipbend.GB}, Work: work.String(), Until: distantFuture,
	}))
}

// advance advances the clock in steps of the model.
func (m *testWorker) advance(s cowslipbend.Span) {
	for ; s > 0; s -= stepInterval {
		m.clock.Advance(min(stepInterval, s))
		m.Step()
	}
}

func (m *testWorker) status(t *testing.T, id cowslipbend.TaskID) cowslipbend.TaskStatus {
	t.Helper()
	all, err := m.Status(context.Background())
	assert.NilError(t, err)
	for _, s := range all.Tasks {
		if s.Task == id {
			return s
		}
	}
	t.Fatalf("worker does not know %s", id)
	return cowslipbend.TaskStatus{}
}

func assertPhase(t *testing.T, m *testWorker, id cowslipbend.TaskID, want cowslipbend.Phase) {
	t.Helper()
	assert.Equal(t, m.status(t, id).Phase, want)
}

func TestProgress(t *testing.T) {
	t.Run("a task alone takes its length and the start-up delay", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 2, 1)
		m.advance(cowslipbend.Second)
		assertPhase(t, m, "a/0", cowslipbend.Running)
		m.advance(startupDelay + stepInterval)
		assertPhase(t, m, "a/0", cowslipbend.Finished)
	})
	t.Run("a task beside an interfering one takes longer", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 2, 1)
		m.startBatch(t, "b/0", "loud", 5, 10)
		m.advance(cowslipbend.Second + startupDelay + stepInterval)
		assertPhase(t, m, "a/0", cowslipbend.Running)
		m.advance(2 * cowslipbend.Second)
		assertPhase(t, m, "a/0", cowslipbend.Finished)
	})
	t.Run("throttling the interfering task to zero stops it and its interference", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 2, 1)
		m.startBatch(t, "b/0", "loud", 5, 10)
		assert.NilError(t, m.Throttle(context.Background(), "b/0", 0))
		m.advance(cowslipbend.Second + startupDelay + stepInterval)
		assertPhase(t, m, "a/0", cowslipbend.Finished)
		assert.Equal(t, m.status(t, "b/0").CPU, cowslipbend.CPUTime(0))
	})
	t.Run("demand above the worker's processors slows all tasks", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 10, 1)
		m.startBatch(t, "b/0", "calm", 10, 1)
		m.advance(2 * cowslipbend.Second)
		assertPhase(t, m, "a/0", cowslipbend.Running)
	})
}

func TestLease(t *testing.T) {
	setLease := func(m *testWorker, until cowslipbend.Time) {
		assert.NilError(t, m.Lease(context.Background(), map[cowslipbend.TaskID]cowslipbend.Time{"a/0": until}))
	}
	t.Run("a task stops at the end of its lease even if the model's step is late", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 1, 10)
		setLease(m, m.clock.Now().Add(startupDelay+cowslipbend.Second))
		m.clock.Advance(5 * cowslipbend.Second)
		m.Step()
		assert.Equal(t, m.status(t, "a/0").CPU, cowslipbend.CPUTime(1000))
	})
	t.Run("a task continues after its lease is renewed", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 1, 2)
		setLease(m, m.clock.Now().Add(startupDelay+cowslipbend.Second))
		m.advance(5 * cowslipbend.Second)
		assertPhase(t, m, "a/0", cowslipbend.Running)
		setLease(m, distantFuture)
		m.advance(cowslipbend.Second + 2*stepInterval)
		assertPhase(t, m, "a/0", cowslipbend.Finished)
		assert.Equal(t, m.judge.History().Verdict(), judge.Verdict{})
	})
}

func TestMeasurement(t *testing.T) {
	t.Run("a task younger than the lag has none", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 2, 10)
		m.advance(cowslipbend.Second / 2)
		assert.Equal(t, m.status(t, "a/0").Measured, cowslipbend.Time(0))
	})
	t.Run("it is at least as old as the lag", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 2, 10)
		m.advance(3 * cowslipbend.Second)
		assert.NilError(t, m.Throttle(context.Background(), "a/0", 0))
		m.advance(cowslipbend.Second / 2)
		s := m.status(t, "a/0")
		assert.Equal(t, s.Usage.CPU, 2*cowslipbend.Core)
		assert.Assert(t, m.clock.Now().Sub(s.Measured) >= cowslipbend.Second)
		m.advance(cowslipbend.Second)
		assert.Equal(t, m.status(t, "a/0").Usage.CPU, cowslipbend.Millicores(0))
	})
}

func TestCapacity(t *testing.T) {
	t.Run("memory in use above the worker's is recorded once and one task is killed", func(t *testing.T) {
		m := newTestWorker(t)
		work := Work{CPU: cowslipbend.Core, Mem: 8 * cowslipbend.GB, TotalCPU: 2000}
		for _, id := range []cowslipbend.TaskID{"a/0", "b/0"} {
			assert.NilError(t, m.Start(context.Background(), cowslipbend.Start{
				Task: id, Attempt: 1, Size: cowslipbend.Resources{CPU: cowslipbend.Core, Mem: cowslipbend.GB}, Work: work.String(), Until: distantFuture,
			}))
		}
		m.advance(cowslipbend.Second + startupDelay)
		assert.Equal(t, m.judge.History().Verdict(), judge.Verdict{Over: 1})
		assert.Assert(t, m.status(t, "a/0").Failed != m.status(t, "b/0").Failed)
	})
	t.Run("reservations above the worker's size are recorded", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 6, 1)
		m.startBatch(t, "b/0", "calm", 6, 1)
		assert.Equal(t, m.judge.History().Verdict(), judge.Verdict{Over: 1})
	})
}

func TestEvict(t *testing.T) {
	t.Run("the next attempt resumes from the checkpoint", func(t *testing.T) {
		m := newTestWorker(t)
		m.startBatch(t, "a/0", "calm", 1, 10)
		m.advance(startupDelay + cowslipbend.Second)
		assert.NilError(t, m.Evict(context.Background(), "a/0", 1))
		s := m.status(t, "a/0")
		assert.Equal(t, s.Phase, cowslipbend.Queued)
		assert.NilError(t, m.Start(context.Background(), cowslipbend.Start{Task: "a/0", Attempt: 2, From: s.Checkpoint, Until: distantFuture}))
		assert.Equal(t, m.status(t, "a/0").CPU, cowslipbend.CPUTime(1000))
		assert.Equal(t, m.judge.History().Verdict(), judge.Verdict{})
	})
	t.Run("an attempt whose checkpoint cannot be written continues to run", func(t *testing.T) {
		m := newTestWorker(t)
		m.objects = &failingStore{}
		m.startBatch(t, "a/0", "calm", 1, 10)
		assert.ErrorContains(t, m.Evict(context.Background(), "a/0", 1), "unavailable")
		assertPhase(t, m, "a/0", cowslipbend.Running)
	})
}

// failingStore is an object store that rejects all writes.
type failingStore struct{ keeper.Objects }

func (*failingStore) Put(context.Context, string, []byte) error {
	return cowslipbend.Fail(cowslipbend.KindDown, "object store is unavailable", "wait")
}

func TestFault(t *testing.T) {
	t.Run("a worker with FailAll fails its tasks", func(t *testing.T) {
		m := newTestWorker(t)
		m.SetFault(Fault{FailAll: true})
		m.startBatch(t, "a/0", "calm", 1, 10)
		m.advance(startupDelay + stepInterval)
		assert.Assert(t, m.status(t, "a/0").Failed)
	})
	t.Run("a worker with a slowdown factor takes longer", func(t *testing.T) {
		m := newTestWorker(t)
		m.SetFault(Fault{SlowdownFactor: 4})
		m.startBatch(t, "a/0", "calm", 1, 10)
		m.advance(startupDelay + cowslipbend.Second)
		assert.Assert(t, m.status(t, "a/0").CPU <= 250)
	})
}
