package scheduler_test

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/scheduler"
	"cowslipbend.dev/timer"
)

const pool = cowslipbend.PoolID("p")

// members is a view of the entries that a test sets.
type members struct {
	live      []cowslipbend.EntryID
	absent    bool
	witnesses []journaler.Witness
	// vows are the witnesses that can be reached.
	vows map[cowslipbend.Incarnation]*leaser.Witnesses
}

func (m *members) LiveEntries() []cowslipbend.EntryID { return m.live }
func (m *members) Joined() bool                       { return !m.absent }

func (m *members) Witnesses() []journaler.Witness { return m.witnesses }

func (m *members) Hold(_ context.Context, w journaler.Witness, p cowslipbend.PoolID, e cowslipbend.Epoch) bool {
	vows, reached := m.vows[w.Life]
	return reached && vows.Hold(p, e)
}

func (m *members) Release(_ context.Context, w journaler.Witness, p cowslipbend.PoolID, e cowslipbend.Epoch) bool {
	vows, reached := m.vows[w.Life]
	if reached {
		vows.Release(p, e)
	}
	return reached
}

// idle sends no orders.
type idle struct{}

func (idle) Send(context.Context, cowslipbend.WorkerID, cowslipbend.PoolID, cowslipbend.Epoch, *scheduler.Orders) ([]scheduler.Refusal, error) {
	return nil, nil
}

// declared is a configuration with one pool.
type declared struct{}

func (declared) Set() (cowslipbend.Revision, *cowslipbend.Set) {
	return 1, &cowslipbend.Set{Pools: []cowslipbend.Pool{{Name: pool}}}
}

// node is the owners of one entry.
type node struct {
	*scheduler.Owners
	members *members
}

func newNode(store journaler.Store, clock cowslipbend.Clock, id cowslipbend.EntryID) node {
	m := &members{live: []cowslipbend.EntryID{id}}
	self := journaler.Witness{ID: id, URL: "http://" + string(id), Life: cowslipbend.Incarnation("life-" + id)}
	return node{scheduler.NewOwners(self, store, m, idle{}, declared{}, leaser.Defaults(), clock, hclog.NewNullLogger()), m}
}

func newStore() journaler.Store {
	return journaler.Store{Table: &keeper.Table{}, Objects: &keeper.Objects{}}
}

func assertOwns(t *testing.T, n node, epoch cowslipbend.Epoch) *scheduler.Owner {
	t.Helper()
	o := n.Owner(pool)
	assert.Assert(t, o != nil, "no owner")
	assert.Equal(t, o.Epoch(), epoch)
	return o
}

func TestOwners(t *testing.T) {
	t.Run("an entry that has not joined takes nothing", func(t *testing.T) {
		a := newNode(newStore(), &timer.Manual{}, "a")
		a.members.absent = true
		a.Look(t.Context())
		assert.Assert(t, a.Owner(pool) == nil)
	})
	t.Run("a pool of an entry that was restarted is taken by the preferred one", func(t *testing.T) {
		store, clock := newStore(), &timer.Manual{}
		a, b := newNode(store, clock, "a"), newNode(store, clock, "b")
		a.Look(t.Context())
		assertOwns(t, a, 1)
		// Another life of entry a lives, and b is alone in its own eyes.
		b.members.witnesses = []journaler.Witness{{ID: "a", URL: "http://a", Life: "another"}}
		b.Look(t.Context())
		assertOwns(t, b, 2)
	})
	t.Run("a pool whose owner lives is left alone", func(t *testing.T) {
		store, clock := newStore(), &timer.Manual{}
		a, b := newNode(store, clock, "a"), newNode(store, clock, "b")
		a.Look(t.Context())
		b.members.witnesses = []journaler.Witness{{ID: "a", URL: "http://a", Life: "life-a"}}
		b.Look(t.Context())
		assert.Assert(t, b.Owner(pool) == nil)
	})
	t.Run("a pool that is left is taken at once", func(t *testing.T) {
		store, clock := newStore(), &timer.Manual{}
		a, b := newNode(store, clock, "a"), newNode(store, clock, "b")
		a.Look(t.Context())
		old := assertOwns(t, a, 1)
		b.members.witnesses = []journaler.Witness{{ID: "a", URL: "http://a", Life: "life-a"}}
		a.Leave(t.Context())
		<-old.Done()
		a.Look(t.Context())
		assert.Assert(t, a.Owner(pool) == nil)
		b.Look(t.Context())
		assertOwns(t, b, 2)
	})
	t.Run("an idle owner learns that its epoch is over", func(t *testing.T) {
		store, clock := newStore(), &timer.Manual{}
		a, b := newNode(store, clock, "a"), newNode(store, clock, "b")
		a.Look(t.Context())
		old := assertOwns(t, a, 1)
		b.Look(t.Context())
		assertOwns(t, b, 2)
		a.Look(t.Context())
		<-old.Done()
		lease, _ := old.Beat(scheduler.Beat{Worker: cowslipbend.WorkerSpec{ID: "w"}})
		assert.Equal(t, lease, cowslipbend.Span(0))
		assert.Equal(t, a.Head(pool).Epoch, cowslipbend.Epoch(2))
	})
}
