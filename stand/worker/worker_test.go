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

const far = cowslipbend.Time(1) << 40

// model is a worker of 10 cores and 10 GB on a clock that tests move.
type model struct {
	*Worker
	clock *timer.Manual
	judge *judge.Judge
}

func newModel(t *testing.T) *model {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(cowslipbend.Second)
	j := judge.New()
	opts := Options{
		ID: "w1", Size: cowslipbend.Resources{CPU: 10 * cowslipbend.Core, Mem: 10 * cowslipbend.GB},
		Lag: cowslipbend.Second, Slots: 2, Conns: 4, Slowdown: pairs,
	}
	w := New(opts, clock, j, &keeper.Objects{}, hclog.NewNullLogger())
	return &model{Worker: w, clock: clock, judge: j}
}

// pairs lets loud tasks slow others down.
func pairs(victim, other cowslipbend.Class) float64 {
	if other == "loud" && victim != "loud" {
		return 1
	}
	return 0
}

// begin starts a batch task that truly uses the cores and ends after the
// seconds.
func (m *model) begin(t *testing.T, id cowslipbend.TaskID, class cowslipbend.Class, cores, seconds int64) {
	t.Helper()
	cpu := cowslipbend.Core * cowslipbend.Millicores(cores)
	work := Work{CPU: cpu, Mem: cowslipbend.GB, Total: cowslipbend.CPUTime(cores * seconds * 1000)}
	assert.NilError(t, m.Start(context.Background(), cowslipbend.Start{
		Task: id, Attempt: 1, Class: class, Size: cowslipbend.Resources{CPU: cpu, Mem: cowslipbend.GB}, Work: work.String(), Until: far,
	}))
}

// pass lets time go by in steps of the model.
func (m *model) pass(s cowslipbend.Span) {
	for ; s > 0; s -= step {
		m.clock.Advance(min(step, s))
		m.Step()
	}
}

func (m *model) status(t *testing.T, id cowslipbend.TaskID) cowslipbend.TaskStatus {
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

func assertPhase(t *testing.T, m *model, id cowslipbend.TaskID, want cowslipbend.Phase) {
	t.Helper()
	assert.Equal(t, m.status(t, id).Phase, want)
}

func TestProgress(t *testing.T) {
	t.Run("alone a task takes its length and the start", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 2, 1)
		m.pass(cowslipbend.Second)
		assertPhase(t, m, "a/0", cowslipbend.Running)
		m.pass(startup + step)
		assertPhase(t, m, "a/0", cowslipbend.Finished)
	})
	t.Run("beside a loud one it takes longer", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 2, 1)
		m.begin(t, "b/0", "loud", 5, 10)
		m.pass(cowslipbend.Second + startup + step)
		assertPhase(t, m, "a/0", cowslipbend.Running)
		m.pass(2 * cowslipbend.Second)
		assertPhase(t, m, "a/0", cowslipbend.Finished)
	})
	t.Run("throttling the loud one helps the other and holds itself", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 2, 1)
		m.begin(t, "b/0", "loud", 5, 10)
		assert.NilError(t, m.Throttle(context.Background(), "b/0", 0))
		m.pass(cowslipbend.Second + startup + step)
		assertPhase(t, m, "a/0", cowslipbend.Finished)
		assert.Equal(t, m.status(t, "b/0").CPU, cowslipbend.CPUTime(0))
	})
	t.Run("processors that are over-used slow everything", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 10, 1)
		m.begin(t, "b/0", "calm", 10, 1)
		m.pass(2 * cowslipbend.Second)
		assertPhase(t, m, "a/0", cowslipbend.Running)
	})
}

func TestLease(t *testing.T) {
	lease := func(m *model, until cowslipbend.Time) {
		assert.NilError(t, m.Lease(context.Background(), map[cowslipbend.TaskID]cowslipbend.Time{"a/0": until}))
	}
	t.Run("work ends with the lease, also if the step comes late", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 1, 10)
		lease(m, m.clock.Now().Add(startup+cowslipbend.Second))
		m.clock.Advance(5 * cowslipbend.Second)
		m.Step()
		assert.Equal(t, m.status(t, "a/0").CPU, cowslipbend.CPUTime(1000))
	})
	t.Run("a renewal lets it go on", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 1, 2)
		lease(m, m.clock.Now().Add(startup+cowslipbend.Second))
		m.pass(5 * cowslipbend.Second)
		assertPhase(t, m, "a/0", cowslipbend.Running)
		lease(m, far)
		m.pass(cowslipbend.Second + 2*step)
		assertPhase(t, m, "a/0", cowslipbend.Finished)
		assert.Equal(t, m.judge.Events().Verdict(), judge.Verdict{})
	})
}

func TestMeasurement(t *testing.T) {
	t.Run("a young task has none", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 2, 10)
		m.pass(cowslipbend.Second / 2)
		assert.Equal(t, m.status(t, "a/0").Measured, cowslipbend.Time(0))
	})
	t.Run("it is as old as the lag", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 2, 10)
		m.pass(3 * cowslipbend.Second)
		assert.NilError(t, m.Throttle(context.Background(), "a/0", 0))
		m.pass(cowslipbend.Second / 2)
		s := m.status(t, "a/0")
		assert.Equal(t, s.Usage.CPU, 2*cowslipbend.Core)
		assert.Assert(t, m.clock.Now().Sub(s.Measured) >= cowslipbend.Second)
		m.pass(cowslipbend.Second)
		assert.Equal(t, m.status(t, "a/0").Usage.CPU, cowslipbend.Millicores(0))
	})
}

func TestCapacity(t *testing.T) {
	t.Run("true memory above the worker's is counted once and a task killed", func(t *testing.T) {
		m := newModel(t)
		work := Work{CPU: cowslipbend.Core, Mem: 8 * cowslipbend.GB, Total: 2000}
		for _, id := range []cowslipbend.TaskID{"a/0", "b/0"} {
			assert.NilError(t, m.Start(context.Background(), cowslipbend.Start{
				Task: id, Attempt: 1, Size: cowslipbend.Resources{CPU: cowslipbend.Core, Mem: cowslipbend.GB}, Work: work.String(), Until: far,
			}))
		}
		m.pass(cowslipbend.Second + startup)
		assert.Equal(t, m.judge.Events().Verdict(), judge.Verdict{Over: 1})
		assert.Assert(t, m.status(t, "a/0").Failed != m.status(t, "b/0").Failed)
	})
	t.Run("reservations above the worker are counted", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 6, 1)
		m.begin(t, "b/0", "calm", 6, 1)
		assert.Equal(t, m.judge.Events().Verdict(), judge.Verdict{Over: 1})
	})
}

func TestEvict(t *testing.T) {
	t.Run("the next attempt goes on from the checkpoint", func(t *testing.T) {
		m := newModel(t)
		m.begin(t, "a/0", "calm", 1, 10)
		m.pass(startup + cowslipbend.Second)
		assert.NilError(t, m.Evict(context.Background(), "a/0", 1))
		s := m.status(t, "a/0")
		assert.Equal(t, s.Phase, cowslipbend.Queued)
		assert.NilError(t, m.Start(context.Background(), cowslipbend.Start{Task: "a/0", Attempt: 2, From: s.Checkpoint, Until: far}))
		assert.Equal(t, m.status(t, "a/0").CPU, cowslipbend.CPUTime(1000))
		assert.Equal(t, m.judge.Events().Verdict(), judge.Verdict{})
	})
	t.Run("a checkpoint that cannot be written leaves it running", func(t *testing.T) {
		m := newModel(t)
		m.objects = &failing{}
		m.begin(t, "a/0", "calm", 1, 10)
		assert.ErrorContains(t, m.Evict(context.Background(), "a/0", 1), "out")
		assertPhase(t, m, "a/0", cowslipbend.Running)
	})
}

// failing is an object store that is out.
type failing struct{ keeper.Objects }

func (*failing) Put(context.Context, string, []byte) error {
	return cowslipbend.Fail(cowslipbend.KindDown, "store is out", "wait")
}

func TestFault(t *testing.T) {
	t.Run("a failing worker fails what it starts", func(t *testing.T) {
		m := newModel(t)
		m.SetFault(Fault{Fail: true})
		m.begin(t, "a/0", "calm", 1, 10)
		m.pass(startup + step)
		assert.Assert(t, m.status(t, "a/0").Failed)
	})
	t.Run("a slow worker takes longer", func(t *testing.T) {
		m := newModel(t)
		m.SetFault(Fault{Slow: 4})
		m.begin(t, "a/0", "calm", 1, 10)
		m.pass(startup + cowslipbend.Second)
		assert.Assert(t, m.status(t, "a/0").CPU <= 250)
	})
}
