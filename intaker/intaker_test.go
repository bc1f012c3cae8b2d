package intaker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/intaker"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/timer"
)

// owners is an entry without an owner, which may be cut off.
type owners struct {
	cut   bool
	peers []string
}

func (*owners) Conductor() *conductor.Conductor      { return nil }
func (*owners) OwnerURL() string                     { return "" }
func (o *owners) StoreUnreachable() (bool, []string) { return o.cut, o.peers }

type desk struct {
	*intaker.Intaker
	table  *keeper.Table
	faults *keeper.Faults
	owners *owners
	url    string
}

func newDesk(t *testing.T, table *keeper.Table) *desk {
	t.Helper()
	d := &desk{table: table, faults: keeper.NewFaults(1, timer.Host{}), owners: &owners{}}
	rules := func() *cowslipbend.Rules { return &cowslipbend.Rules{} }
	d.Intaker = intaker.New(d.faults.Table(table), table, d.owners, caller.New(), rules, func() error { return nil }, timer.Host{}, hclog.NewNullLogger(), nil)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return d.Run(ctx) })
	mux := http.NewServeMux()
	d.Serve(mux)
	srv := httptest.NewServer(mux)
	d.url = srv.URL
	t.Cleanup(func() {
		srv.Close()
		cancel()
		assert.NilError(t, g.Wait())
	})
	return d
}

func flow(id string) *cowslipbend.Flow {
	return &cowslipbend.Flow{ID: cowslipbend.JobID(id), Queue: "q", Steps: []cowslipbend.Step{{Count: 1, Size: cowslipbend.Resources{CPU: 100}}}}
}

// within gives a caller's time.
func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func assertKind(t *testing.T, err error, want cowslipbend.Kind) {
	t.Helper()
	assert.Equal(t, cowslipbend.KindOf(err), want, "%v", err)
}

func assertStored(t *testing.T, table *keeper.Table, id string, want bool) {
	t.Helper()
	row, err := table.Get(t.Context(), conductor.WorkKey(cowslipbend.JobID(id)))
	assert.NilError(t, err)
	assert.Equal(t, row.Version != 0, want)
}

const patience = 5 * time.Second

func TestSubmit(t *testing.T) {
	t.Run("many at once are stored in groups, each once", func(t *testing.T) {
		d := newDesk(t, &keeper.Table{})
		var g errgroup.Group
		for i := range 60 {
			g.Go(func() error { return d.Submit(within(t, patience), flow(fmt.Sprintf("f%d", i/2))) })
		}
		assert.NilError(t, g.Wait())
		for i := range 30 {
			assertStored(t, d.table, fmt.Sprintf("f%d", i), true)
		}
	})
	t.Run("the first content of an id stays", func(t *testing.T) {
		d := newDesk(t, &keeper.Table{})
		first := flow("f")
		first.Spec = "first"
		assert.NilError(t, d.Submit(within(t, patience), first))
		assert.NilError(t, d.Submit(within(t, patience), flow("f")))
		row, err := d.table.Get(t.Context(), conductor.WorkKey("f"))
		assert.NilError(t, err)
		var have cowslipbend.Flow
		assert.NilError(t, json.Unmarshal(row.Value, &have))
		assert.Equal(t, have.Spec, "first")
	})
	t.Run("a lost answer is asked for again", func(t *testing.T) {
		d := newDesk(t, &keeper.Table{})
		d.faults.Next(keeper.LoseAnswer, keeper.LoseRequest)
		assert.NilError(t, d.Submit(within(t, patience), flow("f")))
		assertStored(t, d.table, "f", true)
	})
	t.Run("what the store refuses is refused, with when to return", func(t *testing.T) {
		d := newDesk(t, &keeper.Table{})
		d.faults.Down(true)
		err := d.Submit(within(t, 300*time.Millisecond), flow("f"))
		assertKind(t, err, cowslipbend.KindDown)
		assert.Assert(t, cowslipbend.AsError(err).After > 0)
		d.faults.Down(false)
		assertStored(t, d.table, "f", false)
	})
	t.Run("what may have been stored is never refused", func(t *testing.T) {
		d := newDesk(t, &keeper.Table{})
		d.faults.Next(keeper.LoseAnswer)
		d.faults.Lose(1)
		err := d.Submit(within(t, 300*time.Millisecond), flow("f"))
		assert.Assert(t, err == nil || cowslipbend.KindOf(err) == cowslipbend.KindUnknown, "%v", err)
	})
}

func TestCut(t *testing.T) {
	t.Run("another entry stores the flow", func(t *testing.T) {
		table := &keeper.Table{}
		cut, other := newDesk(t, table), newDesk(t, table)
		cut.faults.Down(true)
		cut.owners.cut, cut.owners.peers = true, []string{"http://127.0.0.1:1", other.url}
		assert.NilError(t, cut.Submit(within(t, patience), flow("f")))
		assertStored(t, table, "f", true)
	})
	t.Run("without any it is refused at once", func(t *testing.T) {
		table := &keeper.Table{}
		cut, other := newDesk(t, table), newDesk(t, table)
		other.owners.cut, cut.owners.cut, cut.owners.peers = true, true, []string{other.url, "http://127.0.0.1:1"}
		assertKind(t, cut.Submit(within(t, patience), flow("f")), cowslipbend.KindDown)
		assertStored(t, table, "f", false)
	})
}

func TestStates(t *testing.T) {
	d := newDesk(t, &keeper.Table{})
	q := &cowslipbend.Queue{ID: "q"}
	assert.NilError(t, d.Submit(within(t, patience), flow("f")))
	t.Run("an accepted flow is queued", func(t *testing.T) {
		state, err := d.State(within(t, patience), q, "f")
		assert.NilError(t, err)
		assert.Equal(t, state, cowslipbend.FlowQueued)
	})
	t.Run("an unknown one is missing", func(t *testing.T) {
		_, err := d.State(within(t, patience), q, "none")
		assertKind(t, err, cowslipbend.KindMissing)
		assertKind(t, d.Cancel(within(t, patience), q, "none"), cowslipbend.KindMissing)
	})
	t.Run("a flow is cancelled once, whatever answers are lost", func(t *testing.T) {
		d.faults.Next(keeper.LoseRequest, keeper.LoseAnswer)
		assert.NilError(t, d.Cancel(within(t, patience), q, "f"))
		row, err := d.table.Get(t.Context(), conductor.CancelKey("f"))
		assert.NilError(t, err)
		assert.Assert(t, row.Version != 0)
	})
	t.Run("counts are not made up without an owner", func(t *testing.T) {
		_, err := d.Waiting(within(t, patience), q)
		assertKind(t, err, cowslipbend.KindDown)
	})
}
