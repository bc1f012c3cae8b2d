package publisher_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/publisher"
	"cowslipbend.dev/timer"
)

// bench is a store with faults.
type bench struct {
	publisher.Store
	faults *keeper.Faults
}

func newBench() bench {
	f := keeper.NewFaults(1, &timer.Manual{})
	return bench{publisher.Store{Table: f.Table(&keeper.Table{}), Objects: f.Objects(&keeper.Objects{})}, f}
}

func set(team string) *cowslipbend.Set {
	return &cowslipbend.Set{Teams: []cowslipbend.Team{{Name: cowslipbend.TeamID(team)}}}
}

func assertHead(t *testing.T, b bench, want cowslipbend.Revision) {
	t.Helper()
	head, _, err := b.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, head.Revision, want)
}

func TestPublish(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []keeper.Fault // of the set's object, then of the head
		kind   cowslipbend.Kind
		rev    cowslipbend.Revision
	}{
		{"without a fault", nil, "", 1},
		{"object refused", []keeper.Fault{keeper.Refuse}, cowslipbend.KindDown, 0},
		{"head refused", []keeper.Fault{keeper.Pass, keeper.Refuse}, cowslipbend.KindDown, 0},
		{"answer about the head lost", []keeper.Fault{keeper.Pass, keeper.LoseAnswer}, "", 1},
		{"request about the head lost", []keeper.Fault{keeper.Pass, keeper.LoseRequest}, cowslipbend.KindUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench()
			b.faults.Next(c.script...)
			_, _, err := b.Publish(t.Context(), 0, set("a"))
			assert.Equal(t, cowslipbend.KindOf(err), c.kind, "%v", err)
			assertHead(t, b, c.rev)
		})
	}
	t.Run("an old base conflicts and changes nothing", func(t *testing.T) {
		b := newBench()
		_, _, err := b.Publish(t.Context(), 0, set("a"))
		assert.NilError(t, err)
		_, _, err = b.Publish(t.Context(), 0, set("b"))
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindConflict)
		assert.ErrorContains(t, err, "revision 1 is in force")
		assertHead(t, b, 1)
	})
}

func TestHolderNeverGoesBack(t *testing.T) {
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

// call is one call of a history: a publish on a base, or a look at what is in
// force in one process.
type call struct {
	publish bool
	base    cowslipbend.Revision
	process int
}

// answer is what it returned: the revision, or that it conflicted.
type answer struct {
	rev      cowslipbend.Revision
	conflict bool
}

// processes is the count of processes in a history.
const processes = 3

// inForce is the state of the model: the newest revision and what each
// process has in force.
type inForce struct {
	newest cowslipbend.Revision
	have   [processes]cowslipbend.Revision
}

// model allows a publish only on the newest revision, and processes only to
// move forward, never ahead of the newest.
var model = porcupine.Model{
	Init: func() any { return inForce{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(inForce), input.(call), output.(answer)
		if !in.publish {
			ok := out.rev >= s.have[in.process] && out.rev <= s.newest
			s.have[in.process] = out.rev
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

// record runs operators that race and processes that follow, and returns
// their history.
func record(t *testing.T, b bench) []porcupine.Operation {
	t.Helper()
	const operators, rounds = 3, 10
	var clock atomic.Int64
	stamp := func() int64 { return clock.Add(1) }
	histories := make([][]porcupine.Operation, operators+processes)
	var g errgroup.Group
	for i := range operators {
		g.Go(func() error {
			for range rounds {
				head, _, err := b.Read(t.Context())
				if err != nil {
					return err
				}
				op := porcupine.Operation{ClientId: i, Input: call{publish: true, base: head.Revision}, Call: stamp()}
				rev, _, err := b.Publish(t.Context(), head.Revision, set(fmt.Sprintf("t%d", i)))
				if k := cowslipbend.KindOf(err); k != "" && k != cowslipbend.KindConflict {
					return err
				}
				op.Return, op.Output = stamp(), answer{rev: rev, conflict: err != nil}
				histories[i] = append(histories[i], op)
			}
			return nil
		})
	}
	for i := range processes {
		h := publisher.NewHolder("", hclog.NewNullLogger())
		g.Go(func() error {
			for range rounds {
				op := porcupine.Operation{ClientId: operators + i, Input: call{process: i}, Call: stamp()}
				head, _, err := b.Read(t.Context())
				if err != nil {
					return err
				}
				if head.Revision > 0 {
					raw, err := b.Load(t.Context(), head)
					if err == nil {
						err = h.Install(head.Revision, raw)
					}
					if err != nil {
						return err
					}
				}
				op.Return, op.Output = stamp(), answer{rev: h.Revision()}
				histories[operators+i] = append(histories[operators+i], op)
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
		assert.Assert(t, porcupine.CheckOperations(model, record(t, newBench())))
	})
	t.Run("operators race and answers are lost", func(t *testing.T) {
		b := newBench()
		b.faults.Lose(0.3)
		assert.Assert(t, porcupine.CheckOperations(model, record(t, lostHeads(b))))
	})
	t.Run("a bad history is refused", func(t *testing.T) {
		for name, bad := range map[string][]porcupine.Operation{
			"a process goes back": {
				{Input: call{publish: true}, Call: 0, Output: answer{rev: 1}, Return: 1},
				{Input: call{process: 0}, Call: 2, Output: answer{rev: 1}, Return: 3},
				{Input: call{process: 0}, Call: 4, Output: answer{rev: 0}, Return: 5},
			},
			"two operators replace the same revision": {
				{Input: call{publish: true}, Call: 0, Output: answer{rev: 1}, Return: 1},
				{Input: call{publish: true}, Call: 2, Output: answer{rev: 1}, Return: 3},
			},
			"a process has what was never published": {
				{Input: call{process: 0}, Call: 0, Output: answer{rev: 1}, Return: 1},
			},
		} {
			assert.Assert(t, !porcupine.CheckOperations(model, bad), name)
		}
	})
}

// lostHeads loses answers about the table only, as a lost answer about an
// object ends a publish.
func lostHeads(b bench) bench {
	b.Objects = &keeper.Objects{}
	return b
}
