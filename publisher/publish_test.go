package publisher_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/publisher"
	"cowslipbend.dev/timer"
)

// testStore is a store with injectable faults.
type testStore struct {
	publisher.Store
	faults *keeper.Faults
}

func newTestStore() testStore {
	f := keeper.NewFaults(1, &timer.Manual{})
	return testStore{publisher.Store{Table: f.Table(&keeper.Table{}), Objects: f.Objects(&keeper.Objects{})}, f}
}

func set(team string) *cowslipbend.Set {
	return &cowslipbend.Set{Teams: []cowslipbend.Team{{Name: cowslipbend.TeamID(team)}}}
}

func assertHeadRevision(t *testing.T, b testStore, want cowslipbend.Revision) {
	t.Helper()
	head, _, err := b.ReadHead(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, head.Revision, want)
}

func TestCallbackOrder(t *testing.T) {
	// The callback for the first revision takes long, while a second one arrives.
	const overlap = 20 * time.Millisecond
	h := publisher.NewHolder("", hclog.NewNullLogger())
	var g errgroup.Group
	secondInstalled := make(chan struct{})
	var order []cowslipbend.Revision
	var mu sync.Mutex
	h.OnChange(func(rev cowslipbend.Revision, _ *cowslipbend.Set) {
		if rev == 1 {
			g.Go(func() error {
				defer close(secondInstalled)
				return h.Install(2, []byte("{}"))
			})
			select {
			case <-secondInstalled:
			case <-time.After(overlap):
			}
		}
		mu.Lock()
		defer mu.Unlock()
		order = append(order, rev)
	})
	assert.NilError(t, h.Install(1, []byte("{}")))
	assert.NilError(t, g.Wait())
	assert.DeepEqual(t, order, []cowslipbend.Revision{1, 2})
}

func TestPublish(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []keeper.Fault // for the write of the set's object, then of the head
		kind   cowslipbend.Kind
		rev    cowslipbend.Revision
	}{
		{"without a fault", nil, "", 1},
		{"object write refused", []keeper.Fault{keeper.Refuse}, cowslipbend.KindDown, 0},
		{"head commit refused", []keeper.Fault{keeper.Pass, keeper.Refuse}, cowslipbend.KindDown, 0},
		{"response to the head commit lost", []keeper.Fault{keeper.Pass, keeper.LoseReply}, "", 1},
		{"request of the head commit lost", []keeper.Fault{keeper.Pass, keeper.LoseRequest}, cowslipbend.KindUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestStore()
			b.faults.ScriptFaults(c.script...)
			_, _, err := b.Publish(t.Context(), 0, set("a"))
			assert.Equal(t, cowslipbend.KindOf(err), c.kind, "%v", err)
			assertHeadRevision(t, b, c.rev)
		})
	}
	t.Run("an old base conflicts and changes nothing", func(t *testing.T) {
		b := newTestStore()
		_, _, err := b.Publish(t.Context(), 0, set("a"))
		assert.NilError(t, err)
		_, _, err = b.Publish(t.Context(), 0, set("b"))
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindConflict)
		assert.ErrorContains(t, err, "revision 1 is in force")
		assertHeadRevision(t, b, 1)
	})
}

func TestRevisionNeverDecreases(t *testing.T) {
	raw := func(team string) []byte { return fmt.Appendf(nil, `{"teams":[{"name":%q}]}`, team) }
	h := publisher.NewHolder("", hclog.NewNullLogger())
	assert.NilError(t, h.Install(2, raw("two")))
	assert.NilError(t, h.Install(1, raw("one")))
	assert.NilError(t, h.Install(2, raw("other")))
	rev, s := h.Set()
	assert.Equal(t, rev, cowslipbend.Revision(2))
	assert.Equal(t, s.Teams[0].Name, cowslipbend.TeamID("two"))
	assert.Equal(t, cowslipbend.KindOf(h.Install(3, []byte("{"))), cowslipbend.KindInvalid)
	assert.Equal(t, h.Revision(), cowslipbend.Revision(2))
}

// request is the input of an operation in a history: a publish on a base
// revision, or a read of the revision in force in one process.
type request struct {
	publish bool
	base    cowslipbend.Revision
	process int
}

// response is the output of an operation: the revision, or a conflict.
type response struct {
	rev      cowslipbend.Revision
	conflict bool
}

// processCount is the number of processes in a history.
const processCount = 3

// modelState is the newest revision and the revision in force in each process.
type modelState struct {
	newest    cowslipbend.Revision
	installed [processCount]cowslipbend.Revision
}

// model allows a publish only on the newest revision. The revision of a
// process may only increase and never exceeds the newest.
var model = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(modelState), input.(request), output.(response)
		if !in.publish {
			ok := out.rev >= s.installed[in.process] && out.rev <= s.newest
			s.installed[in.process] = out.rev
			return ok, s
		}
		if out.conflict {
			return in.base != s.newest, s
		}
		ok := in.base == s.newest && out.rev == s.newest+1
		s.newest = out.rev
		return ok, s
	},
}

// recordHistory runs operators that publish concurrently and processes that
// install what is published, and returns the history of their operations.
func recordHistory(t *testing.T, b testStore) []porcupine.Operation {
	t.Helper()
	const operatorCount, rounds = 3, 10
	var clock atomic.Int64
	stamp := func() int64 { return clock.Add(1) }
	histories := make([][]porcupine.Operation, operatorCount+processCount)
	var g errgroup.Group
	for i := range operatorCount {
		g.Go(func() error {
			for range rounds {
				head, _, err := b.ReadHead(t.Context())
				if err != nil {
					return err
				}
				op := porcupine.Operation{ClientId: i, Input: request{publish: true, base: head.Revision}, Call: stamp()}
				rev, _, err := b.Publish(t.Context(), head.Revision, set(fmt.Sprintf("t%d", i)))
				if k := cowslipbend.KindOf(err); k != "" && k != cowslipbend.KindConflict {
					return err
				}
				op.Return, op.Output = stamp(), response{rev: rev, conflict: err != nil}
				histories[i] = append(histories[i], op)
			}
			return nil
		})
	}
	for i := range processCount {
		h := publisher.NewHolder("", hclog.NewNullLogger())
		g.Go(func() error {
			for range rounds {
				op := porcupine.Operation{ClientId: operatorCount + i, Input: request{process: i}, Call: stamp()}
				head, _, err := b.ReadHead(t.Context())
				if err != nil {
					return err
				}
				if head.Revision > 0 {
					raw, err := b.LoadSet(t.Context(), head)
					if err == nil {
						err = h.Install(head.Revision, raw)
					}
					if err != nil {
						return err
					}
				}
				op.Return, op.Output = stamp(), response{rev: h.Revision()}
				histories[operatorCount+i] = append(histories[operatorCount+i], op)
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	var all []porcupine.Operation
	for _, h := range histories {
		all = append(all, h...)
	}
	return all
}

func TestHistories(t *testing.T) {
	t.Run("operators race", func(t *testing.T) {
		assert.Assert(t, porcupine.CheckOperations(model, recordHistory(t, newTestStore())))
	})
	t.Run("operators race and responses are lost", func(t *testing.T) {
		b := newTestStore()
		b.faults.SetLossRate(0.3)
		assert.Assert(t, porcupine.CheckOperations(model, recordHistory(t, withTableFaultsOnly(b))))
	})
	t.Run("the model rejects invalid histories", func(t *testing.T) {
		for name, bad := range map[string][]porcupine.Operation{
			"the revision of a process decreases": {
				{Input: request{publish: true}, Call: 0, Output: response{rev: 1}, Return: 1},
				{Input: request{process: 0}, Call: 2, Output: response{rev: 1}, Return: 3},
				{Input: request{process: 0}, Call: 4, Output: response{rev: 0}, Return: 5},
			},
			"two operators replace the same revision": {
				{Input: request{publish: true}, Call: 0, Output: response{rev: 1}, Return: 1},
				{Input: request{publish: true}, Call: 2, Output: response{rev: 1}, Return: 3},
			},
			"a process has a revision that was never published": {
				{Input: request{process: 0}, Call: 0, Output: response{rev: 1}, Return: 1},
			},
		} {
			assert.Assert(t, !porcupine.CheckOperations(model, bad), name)
		}
	})
}

// withTableFaultsOnly injects faults into the table only, as a lost response
// of the object store ends a publish.
func withTableFaultsOnly(b testStore) testStore {
	b.Objects = &keeper.Objects{}
	return b
}
