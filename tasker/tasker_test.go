package tasker_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/tasker"
	"cowslipbend.dev/timer"
)

// fakeMachine is a worker that records its calls.
type fakeMachine struct {
	size       cowslipbend.Resources
	tasks      map[cowslipbend.TaskID]cowslipbend.TaskStatus
	leaseUntil map[cowslipbend.TaskID]cowslipbend.Time
	starts     int
	// dropNextReply makes the next start fail as if its reply were lost;
	// takesEffect says whether the start is carried out all the same.
	dropNextReply, takesEffect bool
}

func newMachine() *fakeMachine {
	return &fakeMachine{
		size:       cowslipbend.Resources{CPU: 4 * cowslipbend.Core, Mem: 4 * cowslipbend.GB},
		tasks:      map[cowslipbend.TaskID]cowslipbend.TaskStatus{},
		leaseUntil: map[cowslipbend.TaskID]cowslipbend.Time{},
	}
}

func (m *fakeMachine) Start(_ context.Context, s cowslipbend.Start) error {
	m.starts++
	replyLost := m.dropNextReply
	m.dropNextReply = false
	if !replyLost || m.takesEffect {
		m.tasks[s.Task] = cowslipbend.TaskStatus{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Phase: cowslipbend.Running}
		m.leaseUntil[s.Task] = s.Until
	}
	if replyLost {
		return cowslipbend.Fail(cowslipbend.KindDown, "no answer", "ask again")
	}
	return nil
}

func (m *fakeMachine) Lease(_ context.Context, until map[cowslipbend.TaskID]cowslipbend.Time) error {
	for id, end := range until {
		m.leaseUntil[id] = end
	}
	return nil
}

func (m *fakeMachine) Throttle(context.Context, cowslipbend.TaskID, int) error { return nil }

func (m *fakeMachine) end(task cowslipbend.TaskID, attempt cowslipbend.Attempt, s cowslipbend.TaskStatus) error {
	if current, ok := m.tasks[task]; ok && current.Attempt == attempt && current.Phase == cowslipbend.Running {
		s.Task, s.Attempt, s.Size = task, attempt, current.Size
		m.tasks[task] = s
	}
	return nil
}

func (m *fakeMachine) Evict(_ context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return m.end(task, attempt, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Checkpoint: "c-" + string(task)})
}

func (m *fakeMachine) Stop(_ context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return m.end(task, attempt, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "stopped"})
}

func (m *fakeMachine) Forget(_ context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if current, ok := m.tasks[task]; ok && current.Attempt == attempt {
		delete(m.tasks, task)
	}
	return nil
}

func (m *fakeMachine) Status(context.Context) (cowslipbend.MachineStatus, error) {
	s := cowslipbend.MachineStatus{Size: m.size}
	for _, t := range m.tasks {
		s.Tasks = append(s.Tasks, t)
	}
	return s, nil
}

// host is a tasker with its worker, which has been polled once.
type host struct {
	*tasker.Tasker
	m     *fakeMachine
	clock *timer.Manual
}

// renewLease renews the lease of the running tasks.
func (h host) renewLease(epoch cowslipbend.Epoch, sentAt cowslipbend.Time) error {
	return h.RenewLease(epoch, sentAt, leaseLength, h.View().Usage)
}

const leaseLength = 6 * cowslipbend.Second

func newHost(t *testing.T) host {
	t.Helper()
	h := host{m: newMachine(), clock: &timer.Manual{}}
	h.clock.Advance(cowslipbend.Second)
	h.Tasker = tasker.New(h.m, h.clock)
	assert.NilError(t, h.Poll(t.Context()))
	assert.NilError(t, h.renewLease(1, h.clock.Now()))
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
	t.Run("a repeated order is accepted and starts nothing", func(t *testing.T) {
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
	t.Run("an order from before the lease lapsed starts nothing", func(t *testing.T) {
		h := newHost(t)
		orderedAt := h.clock.Now()
		h.clock.Advance(leaseLength)
		assertKind(t, h.Start(t.Context(), start("j/0", 1), orderedAt), cowslipbend.KindLate)
		assert.NilError(t, h.renewLease(1, h.clock.Now()))
		assertKind(t, h.Start(t.Context(), start("j/0", 1), orderedAt), cowslipbend.KindLate)
		assert.Equal(t, h.m.starts, 0)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
	})
	t.Run("an attempt that does not fit is refused", func(t *testing.T) {
		h := newHost(t)
		s := start("j/0", 1)
		s.Size = h.m.size
		assert.NilError(t, h.Start(t.Context(), s, h.clock.Now()))
		assertKind(t, h.Start(t.Context(), start("j/1", 1), h.clock.Now()), cowslipbend.KindBusy)
	})
}

func reports(h host) []cowslipbend.TaskStatus { return h.View().Reports }

func TestWorker(t *testing.T) {
	t.Run("a start without a reply is repeated", func(t *testing.T) {
		for _, takesEffect := range []bool{false, true} {
			h := newHost(t)
			h.m.dropNextReply, h.m.takesEffect = true, takesEffect
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
	t.Run("a restarted agent accepts orders only once it knows the running tasks", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		next := tasker.New(h.m, h.clock)
		assertKind(t, next.AcceptOrder(1, h.clock.Now()), cowslipbend.KindDown)
		assert.NilError(t, next.Poll(t.Context()))
		assert.NilError(t, next.AcceptOrder(1, h.clock.Now()))
		assert.NilError(t, next.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		assert.Equal(t, h.m.starts, 1)
	})
}

func TestLease(t *testing.T) {
	t.Run("the lease counts from the sending of the heartbeat", func(t *testing.T) {
		h := newHost(t)
		sentAt := h.clock.Now()
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		assert.NilError(t, h.Poll(t.Context()))
		h.clock.Advance(2 * cowslipbend.Second)
		assert.NilError(t, h.renewLease(1, sentAt))
		assert.NilError(t, h.Poll(t.Context()))
		assert.Equal(t, h.m.leaseUntil["j/0"], sentAt.Add(leaseLength))
	})
	t.Run("renewal after a lapse unfreezes the same attempt", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		h.clock.Advance(2 * leaseLength)
		assert.NilError(t, h.Poll(t.Context()))
		assert.Assert(t, h.m.leaseUntil["j/0"] < h.clock.Now(), "the task is not frozen")
		assert.NilError(t, h.renewLease(1, h.clock.Now()))
		assert.NilError(t, h.Poll(t.Context()))
		assert.Assert(t, h.m.leaseUntil["j/0"] > h.clock.Now(), "the task stays frozen")
	})
	t.Run("renewal leaves out tasks that the heartbeat did not name", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()))
		end := h.m.leaseUntil["j/0"]
		h.clock.Advance(cowslipbend.Second)
		assert.NilError(t, h.RenewLease(1, h.clock.Now(), leaseLength, nil))
		assert.NilError(t, h.Poll(t.Context()))
		assert.Equal(t, h.m.leaseUntil["j/0"], end)
	})
	t.Run("an owner whose epoch has ended can neither renew the lease nor give orders", func(t *testing.T) {
		h := newHost(t)
		assert.NilError(t, h.AcceptOrder(2, h.clock.Now()))
		assertKind(t, h.renewLease(1, h.clock.Now()), cowslipbend.KindStale)
		assertKind(t, h.AcceptOrder(1, h.clock.Now()), cowslipbend.KindStale)
		assertKind(t, h.Start(t.Context(), start("j/0", 1), h.clock.Now()), cowslipbend.KindStale)
	})
}

func TestRefusalsAreForgottenSafely(t *testing.T) {
	h := newHost(t)
	orderedAt := h.clock.Now()
	large := start("j/0", 1)
	large.Size = h.m.size.Times(2)
	assertKind(t, h.Start(t.Context(), large, orderedAt), cowslipbend.KindBusy)
	h.clock.Advance(3 * tasker.MaxOrderAge)
	assert.NilError(t, h.Poll(t.Context()))
	// A duplicate of the refused order arrives after the record was dropped.
	assertKind(t, h.AcceptOrder(1, orderedAt), cowslipbend.KindStale)
	assert.NilError(t, h.AcceptOrder(1, h.clock.Now()))
}

// TestStopBeforeStart asserts that an attempt that is stopped or evicted before
// its order to start arrives is reported as ended and never starts later.
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
			assert.NilError(t, h.Start(t.Context(), late, h.clock.Now()), "a repeated order for a reported attempt")
			h.Acknowledge(t.Context(), "a/0", 1)
			assertKind(t, h.Start(t.Context(), late, h.clock.Now()), cowslipbend.KindStale)
			assert.Equal(t, h.m.starts, 0)
			assert.NilError(t, stop(h, "a/0"), "a repeated order")
			assert.Equal(t, len(reports(h)), 0)
		})
		t.Run(name+" of an attempt that a restarted agent does not know yet", func(t *testing.T) {
			h := newHost(t)
			assert.NilError(t, h.Start(t.Context(), start("a/0", 1), h.clock.Now()))
			h.Tasker = tasker.New(h.m, h.clock)
			assert.NilError(t, stop(h, "a/0"))
			assert.Equal(t, len(reports(h)), 0, "reported as ended before the worker has ended it")
			assert.Equal(t, h.m.tasks["a/0"].Phase, cowslipbend.Queued)
		})
	}
}
