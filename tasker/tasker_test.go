package tasker_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/tasker"
	"cowslipbend.dev/timer"
)

// machine is a worker that keeps what it was told.
type machine struct {
	size   cowslipbend.Resources
	tasks  map[cowslipbend.TaskID]cowslipbend.TaskStatus
	until  map[cowslipbend.TaskID]cowslipbend.Time
	starts int
	// lose makes the next start fail as if its answer were lost; took says
	// whether it had its effect.
	lose, took bool
}

func newMachine() *machine {
	return &machine{
		size:  cowslipbend.Resources{CPU: 4 * cowslipbend.Core, Mem: 4 * cowslipbend.GB},
		tasks: map[cowslipbend.TaskID]cowslipbend.TaskStatus{},
		until: map[cowslipbend.TaskID]cowslipbend.Time{},
	}
}

func (m *machine) Start(_ context.Context, s cowslipbend.Start) error {
	m.starts++
	lost := m.lose
	m.lose = false
	if !lost || m.took {
		m.tasks[s.Task] = cowslipbend.TaskStatus{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Phase: cowslipbend.Running}
		m.until[s.Task] = s.Until
	}
	if lost {
		return cowslipbend.Fail(cowslipbend.KindDown, "no answer", "ask again")
	}
	return nil
}

func (m *machine) Lease(_ context.Context, until map[cowslipbend.TaskID]cowslipbend.Time) error {
	for id, end := range until {
		m.until[id] = end
	}
	return nil
}

func (m *machine) Throttle(context.Context, cowslipbend.TaskID, int) error { return nil }

func (m *machine) end(task cowslipbend.TaskID, attempt cowslipbend.Attempt, s cowslipbend.TaskStatus) error {
	if have, ok := m.tasks[task]; ok && have.Attempt == attempt && have.Phase == cowslipbend.Running {
		s.Task, s.Attempt, s.Size = task, attempt, have.Size
		m.tasks[task] = s
	}
	return nil
}

func (m *machine) Evict(_ context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return m.end(task, attempt, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Checkpoint: "c-" + string(task)})
}

func (m *machine) Stop(_ context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return m.end(task, attempt, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "stopped"})
}

func (m *machine) Forget(_ context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if have, ok := m.tasks[task]; ok && have.Attempt == attempt {
		delete(m.tasks, task)
	}
	return nil
}

func (m *machine) Status(context.Context) (cowslipbend.MachineStatus, error) {
	s := cowslipbend.MachineStatus{Size: m.size}
	for _, t := range m.tasks {
		s.Tasks = append(s.Tasks, t)
	}
	return s, nil
}

// host is a tasker with its worker, which it has asked once.
type host struct {
	*tasker.Tasker
	m     *machine
	clock *timer.Manual
}

// grant renews the lease of what the worker runs.
func (h host) grant(epoch cowslipbend.Epoch, sent cowslipbend.Time) error {
	return h.Grant(epoch, sent, lease, h.View().Usage)
}

const lease = 6 * cowslipbend.Second

func newHost(t *testing.T) host {
	t.Helper()
	h := host{m: newMachine(), clock: &timer.Manual{}}
	h.clock.Advance(cowslipbend.Second)
	h.Tasker = tasker.New(h.m, h.clock)
	assert.NilError(t, h.Poll(t.Context()))
	assert.NilError(t, h.grant(1, h.clock.Now()))
	return h
}

func start(task cowslipbend.TaskID, attempt cowslipbend.Attempt) cowslipbend.Start {
	return cowslipbend.Start{
		Task: task, Attempt: attempt, Epoch: 1, Class: "c",
		Size: cowslipbend.Resources{CPU: cowslipbend.Core, Mem: cowslipbend.GB},
	}
}

func assertKind(t *testing.T, err error, want cowslipbend.Kind) {
	t.Helper()
	assert.Equal(t, cowslipbend.KindOf(err), want, "%v", err)
}

func TestStart(t *testing.T) {
	t.Run("a repeated order is accepted and starts nothing more", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		assert.Equal(t, h.m.starts, 1)
		assert.NilError(t, h.m.Stop(t.Context(), "j/0", 1))
		assert.NilError(t, h.Poll(t.Context()))
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		assert.Equal(t, h.m.starts, 1)
	})
	t.Run("an older attempt is refused", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 2), h.clock.Now()))
		assertKind(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()), cowslipbend.KindStale)
	})
	t.Run("a refusal is final", func(t *testing.T) {
		h := newHost(t)
		large := start("j/0", 1)
		large.Size = h.m.size
		assert.NilError(t, h.Start(t.Context(), start("j/1", 1), h.clock.Now()))
		assertKind(t, h.Start(t.Context(), large, h.clock.Now()), cowslipbend.KindBusy)
		assert.NilError(t, h.Stop(t.Context(), "j/1", 1))
		assert.NilError(t, h.Poll(t.Context()))
		assertKind(t, h.Start(t.Context(), large, h.clock.Now()), cowslipbend.KindStale)
		assert.Equal(t, h.m.starts, 1)
	})
	t.Run("an order from before a lapse starts nothing", func(t *testing.T) {
		h := newHost(t)
		given := h.clock.Now()
		h.clock.Advance(lease)
		assertKind(t, h.Start(t.Context(), start("j/0", 1), given), cowslipbend.KindLate)
		assert.NilError(t, h.grant(1, h.clock.Now()))
		assertKind(t, h.Start(t.Context(), start("j/0", 1), given), cowslipbend.KindLate)
		assert.Equal(t, h.m.starts, 0)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
	})
	t.Run("what does not fit is refused", func(t *testing.T) {
		h := newHost(t)
		s := start("j/0", 1)
		s.Size = h.m.size
		assert.NilError(t, h.Start(t.Context(), s, h.clock.Now()))
		assertKind(t, h.Start(t.Context(), start("j/1", 1), h.clock.Now()), cowslipbend.KindBusy)
	})
}

func reports(h host) []cowslipbend.TaskStatus { return h.View().Reports }

func TestWorker(t *testing.T) {
	t.Run("a start without an answer is asked for again", func(t *testing.T) {
		for _, took := range []bool{false, true} {
			h := newHost(t)
			h.m.lose, h.m.took = true, took
			assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
			h.clock.Advance(cowslipbend.Second)
			assert.NilError(t, h.Poll(t.Context()))
			assert.NilError(t, h.Poll(t.Context()))
			assert.Equal(t, h.m.tasks["j/0"].Phase, cowslipbend.Running)
			assert.Equal(t, len(h.View().Usage), 1)
			assert.Equal(t, len(reports(h)), 0)
		}
	})
	t.Run("an attempt that the worker lost is reported", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		clear(h.m.tasks)
		h.clock.Advance(cowslipbend.Second)
		assert.NilError(t, h.Poll(t.Context()))
		assert.Equal(t, len(reports(h)), 1)
		assert.Equal(t, reports(h)[0].Phase, cowslipbend.Queued)
	})
	t.Run("a report is kept until it is acknowledged", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		assert.NilError(t, h.Evict(t.Context(), "j/0", 1))
		for range 3 {
			assert.NilError(t, h.Poll(t.Context()))
			assert.Equal(t, reports(h)[0].Checkpoint, "c-j/0")
		}
		h.Acknowledge(t.Context(), "j/0", 1)
		assert.NilError(t, h.Poll(t.Context()))
		assert.Equal(t, len(reports(h)), 0)
	})
	t.Run("a restarted agent finds what runs and takes no order before", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		next := tasker.New(h.m, h.clock)
		assertKind(t, next.Order(1, h.clock.Now()), cowslipbend.KindDown)
		assert.NilError(t, next.Poll(t.Context()))
		assert.NilError(t, next.Order(1, h.clock.Now()))
		assert.NilError(t, next.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		assert.Equal(t, h.m.starts, 1)
	})
}

func TestLease(t *testing.T) {
	t.Run("it counts from the sending of the heartbeat", func(t *testing.T) {
		h := newHost(t)
		sent := h.clock.Now()
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		assert.NilError(t, h.Poll(t.Context()))
		h.clock.Advance(2 * cowslipbend.Second)
		assert.NilError(t, h.grant(1, sent))
		assert.NilError(t, h.Poll(t.Context()))
		assert.Equal(t, h.m.until["j/0"], sent.Add(lease))
	})
	t.Run("renewal after a lapse thaws the same attempt", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		h.clock.Advance(2 * lease)
		assert.NilError(t, h.Poll(t.Context()))
		assert.Assert(t, h.m.until["j/0"] < h.clock.Now(), "it is not frozen")
		assert.NilError(t, h.grant(1, h.clock.Now()))
		assert.NilError(t, h.Poll(t.Context()))
		assert.Assert(t, h.m.until["j/0"] > h.clock.Now(), "it stays frozen")
	})
	t.Run("renewal leaves out what the heartbeat did not name", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		end := h.m.until["j/0"]
		h.clock.Advance(cowslipbend.Second)
		assert.NilError(t, h.Grant(1, h.clock.Now(), lease, nil))
		assert.NilError(t, h.Poll(t.Context()))
		assert.Equal(t, h.m.until["j/0"], end)
	})
	t.Run("an owner whose epoch is over grants and orders nothing", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Order(2, h.clock.Now()))
		assertKind(t, h.grant(1, h.clock.Now()), cowslipbend.KindStale)
		assertKind(t, h.Order(1, h.clock.Now()), cowslipbend.KindStale)
		assertKind(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()), cowslipbend.KindStale)
	})
}

func TestRefusalsAreForgottenSafely(t *testing.T) {
	h := newHost(t)
	given := h.clock.Now()
	large := start("j/0", 1)
	large.Size = h.m.size.Times(2)
	assertKind(t, h.Start(t.Context(), large, given), cowslipbend.KindBusy)
	h.clock.Advance(3 * tasker.OrderAge)
	assert.NilError(t, h.Poll(t.Context()))
	// A duplicate of the refused order comes after its memory is gone.
	assertKind(t, h.Order(1, given), cowslipbend.KindStale)
	assert.NilError(t, h.Order(1, h.clock.Now()))
}

// TestStopBeforeStart asserts that an attempt that was ordered but never taken
// is reported as ended when it is stopped or evicted, and never starts later.
func TestStopBeforeStart(t *testing.T) {
	for name, stop := range map[string]func(host, cowslipbend.TaskID) error{
		"stop":  func(h host, id cowslipbend.TaskID) error { return h.Stop(t.Context(), id, 1) },
		"evict": func(h host, id cowslipbend.TaskID) error { return h.Evict(t.Context(), id, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			assert.NilError(t, stop(h, "a/0"))
			assert.Equal(t, len(reports(h)), 1)
			r := reports(h)[0]
			assert.Equal(t, r.Attempt, cowslipbend.Attempt(1))
			assert.Equal(t, r.Phase, cowslipbend.Queued)
			late := start("a/0", 1)
			assert.NilError(t, h.Start(t.Context(), late, h.clock.Now()), "a repeat of what is reported")
			h.Acknowledge(t.Context(), "a/0", 1)
			assertKind(t, h.Start(t.Context(), late, h.clock.Now()), cowslipbend.KindStale)
			assert.Equal(t, h.m.starts, 0)
			assert.NilError(t, stop(h, "a/0"), "a repeated order")
			assert.Equal(t, len(reports(h)), 0)
		})
	}
}
