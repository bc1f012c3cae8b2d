package intaker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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
	"cowslipbend.dev/shedder"
	"cowslipbend.dev/timer"
)

// fakeOwners knows no owner. The entry's contact with the store can be cut.
type fakeOwners struct {
	storeUnreachable bool
	peers            []string
	ownerURL         string
	contactAge       cowslipbend.Span
	backlog          *shedder.Summary
	backlogAge       cowslipbend.Span
}

func (*fakeOwners) Conductor() *conductor.Conductor     { return nil }
func (o *fakeOwners) OwnerURL() string                  { return o.ownerURL }
func (o *fakeOwners) StoreContactAge() cowslipbend.Span { return o.contactAge }
func (o *fakeOwners) Backlog() (*shedder.Summary, cowslipbend.Span) {
	return o.backlog, o.backlogAge
}
func (o *fakeOwners) StoreUnreachable() (bool, []string) { return o.storeUnreachable, o.peers }

type testEntry struct {
	*intaker.Intaker
	table  *keeper.Table
	faults *keeper.Faults
	owners *fakeOwners
	url    string
	// handler serves the calls of other entries.
	handler http.Handler
}

func newTestEntry(t *testing.T, table *keeper.Table) *testEntry {
	t.Helper()
	faults, owners := keeper.NewFaults(1, timer.Host{}), &fakeOwners{}
	e := newEntryOn(t, faults.Table(table), table, owners)
	e.table, e.faults, e.owners = table, faults, owners
	return e
}

// newEntryOn returns an entry that runs until the end of the test.
func newEntryOn(t *testing.T, table cowslipbend.Table, feed cowslipbend.Feed, owners intaker.Owners) *testEntry {
	t.Helper()
	e := &testEntry{}
	rules := func() *cowslipbend.Rules { return &cowslipbend.Rules{} }
	e.Intaker = intaker.New(table, feed, owners, caller.New(nil), rules, func() error { return nil }, timer.Host{}, hclog.NewNullLogger(), nil)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return e.Run(ctx) })
	mux := http.NewServeMux()
	e.Serve(mux)
	srv := httptest.NewServer(mux)
	e.url, e.handler = srv.URL, mux
	t.Cleanup(func() {
		srv.Close()
		cancel()
		assert.NilError(t, g.Wait())
	})
	return e
}

func flow(id string) *cowslipbend.Flow {
	return &cowslipbend.Flow{ID: cowslipbend.JobID(id), Queue: "q", Steps: []cowslipbend.Step{{Count: 1, Size: cowslipbend.Resources{CPU: 100}}}}
}

// contextFor returns a context with a caller's timeout.
func contextFor(t *testing.T, d time.Duration) context.Context {
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

const waitTimeout = 5 * time.Second

func TestSubmit(t *testing.T) {
	t.Run("concurrent submissions are stored in groups, each flow once", func(t *testing.T) {
		e := newTestEntry(t, &keeper.Table{})
		var g errgroup.Group
		for i := range 60 {
			g.Go(func() error { return e.Submit(contextFor(t, waitTimeout), flow(fmt.Sprintf("f%d", i/2))) })
		}
		assert.NilError(t, g.Wait())
		for i := range 30 {
			assertStored(t, e.table, fmt.Sprintf("f%d", i), true)
		}
	})
	t.Run("a second flow of the same id does not replace the first", func(t *testing.T) {
		e := newTestEntry(t, &keeper.Table{})
		first := flow("f")
		first.Spec = "first"
		assert.NilError(t, e.Submit(contextFor(t, waitTimeout), first))
		assert.NilError(t, e.Submit(contextFor(t, waitTimeout), flow("f")))
		row, err := e.table.Get(t.Context(), conductor.WorkKey("f"))
		assert.NilError(t, err)
		var stored cowslipbend.Flow
		assert.NilError(t, json.Unmarshal(row.Value, &stored))
		assert.Equal(t, stored.Spec, "first")
	})
	t.Run("a write whose answer is lost is retried", func(t *testing.T) {
		e := newTestEntry(t, &keeper.Table{})
		e.faults.ScriptFaults(keeper.LoseReply, keeper.LoseRequest)
		assert.NilError(t, e.Submit(contextFor(t, waitTimeout), flow("f")))
		assertStored(t, e.table, "f", true)
	})
	t.Run("a flow that the store refuses is refused with a retry delay", func(t *testing.T) {
		e := newTestEntry(t, &keeper.Table{})
		e.faults.SetDown(true)
		err := e.Submit(contextFor(t, 300*time.Millisecond), flow("f"))
		assertKind(t, err, cowslipbend.KindDown)
		assert.Assert(t, cowslipbend.AsError(err).After > 0)
		e.faults.SetDown(false)
		assertStored(t, e.table, "f", false)
	})
	t.Run("a flow that may have been stored is never refused", func(t *testing.T) {
		e := newTestEntry(t, &keeper.Table{})
		e.faults.ScriptFaults(keeper.LoseReply)
		e.faults.SetLossRate(1)
		err := e.Submit(contextFor(t, 300*time.Millisecond), flow("f"))
		assert.Assert(t, err == nil || cowslipbend.KindOf(err) == cowslipbend.KindUnknown, "%v", err)
	})
}

func TestCut(t *testing.T) {
	t.Run("another entry stores the flow", func(t *testing.T) {
		table := &keeper.Table{}
		cutOff, other := newTestEntry(t, table), newTestEntry(t, table)
		cutOff.faults.SetDown(true)
		cutOff.owners.storeUnreachable, cutOff.owners.peers = true, []string{"http://127.0.0.1:1", other.url}
		assert.NilError(t, cutOff.Submit(contextFor(t, waitTimeout), flow("f")))
		assertStored(t, table, "f", true)
	})
	t.Run("a flow is refused at once while no entry reaches the store", func(t *testing.T) {
		table := &keeper.Table{}
		cutOff, other := newTestEntry(t, table), newTestEntry(t, table)
		other.owners.storeUnreachable, cutOff.owners.storeUnreachable, cutOff.owners.peers = true, true, []string{other.url, "http://127.0.0.1:1"}
		assertKind(t, cutOff.Submit(contextFor(t, waitTimeout), flow("f")), cowslipbend.KindDown)
		assertStored(t, table, "f", false)
	})
}

// TestTurnedAway plays a store that refuses some entries and serves others.
func TestTurnedAway(t *testing.T) {
	t.Run("the owner stores a flow that the store refuses to take from this entry", func(t *testing.T) {
		table := &keeper.Table{}
		refused, owner := newTestEntry(t, table), newTestEntry(t, table)
		refused.faults.SetDown(true)
		refused.owners.ownerURL = owner.url
		assert.NilError(t, refused.Submit(contextFor(t, waitTimeout), flow("f")))
		assertStored(t, table, "f", true)
	})
	t.Run("a flow is refused if neither this entry nor the owner can store it", func(t *testing.T) {
		table := &keeper.Table{}
		refused, owner := newTestEntry(t, table), newTestEntry(t, table)
		refused.faults.SetDown(true)
		owner.faults.SetDown(true)
		refused.owners.ownerURL = owner.url
		assertKind(t, refused.Submit(contextFor(t, time.Second), flow("f")), cowslipbend.KindDown)
		assertStored(t, table, "f", false)
	})
	t.Run("a flow is refused at its deadline if the owner is slow to refuse it too", func(t *testing.T) {
		table := &keeper.Table{}
		refused, owner := newTestEntry(t, table), newTestEntry(t, table)
		refused.faults.SetDown(true)
		owner.faults.SetDown(true)
		slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			owner.handler.ServeHTTP(w, r)
		}))
		t.Cleanup(slow.Close)
		refused.owners.ownerURL = slow.URL
		// An attempt takes 200 ms with the pause after it: the fifth would begin 50 ms
		// before the deadline.
		assertKind(t, refused.Submit(contextFor(t, 850*time.Millisecond), flow("f")), cowslipbend.KindDown)
		assertStored(t, table, "f", false)
	})
	t.Run("few of many entries are asked, the owner among them", func(t *testing.T) {
		asked := make([]atomic.Int64, 20)
		t.Cleanup(func() { // Once the entry has stopped, so that all calls are counted.
			sum := int64(0)
			for n := range asked {
				sum += asked[n].Load()
			}
			assert.Assert(t, sum <= 2, "%d entries besides the owner were asked", sum)
		})
		table := &keeper.Table{}
		cutOff, owner := newTestEntry(t, table), newTestEntry(t, table)
		for n := range asked {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				asked[n].Add(1)
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(srv.Close)
			cutOff.owners.peers = append(cutOff.owners.peers, srv.URL)
		}
		cutOff.owners.storeUnreachable, cutOff.owners.ownerURL = true, owner.url
		cutOff.owners.peers = append(cutOff.owners.peers, owner.url)
		assert.NilError(t, cutOff.Submit(contextFor(t, waitTimeout), flow("f")))
		assertStored(t, table, "f", true)
	})
	t.Run("the longer the outage, the later a refused caller is told to return", func(t *testing.T) {
		e := newTestEntry(t, &keeper.Table{})
		e.owners.storeUnreachable = true
		for _, c := range []struct{ outage, after cowslipbend.Span }{{1500, 1000}, {2500, 2000}, {4500, 3000}, {60_000, 4000}} {
			e.owners.contactAge = c.outage
			err := e.Submit(contextFor(t, waitTimeout), flow("f"))
			assertKind(t, err, cowslipbend.KindDown)
			assert.Equal(t, cowslipbend.AsError(err).After, c.after)
		}
	})
}

// TestIsolated plays an entry that reaches neither the store nor any other entry.
func TestIsolated(t *testing.T) {
	var calls atomic.Int64
	silent := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		select {
		case <-silent:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(srv.Close)
	table := &keeper.Table{}
	isolated, other := newTestEntry(t, table), newTestEntry(t, table)
	isolated.owners.storeUnreachable, isolated.owners.peers = true, []string{srv.URL}
	assertKind(t, isolated.Submit(contextFor(t, waitTimeout), flow("first")), cowslipbend.KindUnknown)
	assert.Equal(t, calls.Load(), int64(1))
	t.Run("flows are refused without a call", func(t *testing.T) {
		assertKind(t, isolated.Submit(contextFor(t, waitTimeout), flow("second")), cowslipbend.KindDown)
		assert.Equal(t, calls.Load(), int64(1))
	})
	t.Run("an entry that answers again is found", func(t *testing.T) {
		close(silent)
		isolated.owners.peers = []string{other.url}
		ctx := contextFor(t, waitTimeout)
		for isolated.Submit(ctx, flow("third")) != nil && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		assertStored(t, table, "third", true)
	})
}

func TestStates(t *testing.T) {
	e := newTestEntry(t, &keeper.Table{})
	q := &cowslipbend.Queue{ID: "q"}
	assert.NilError(t, e.Submit(contextFor(t, waitTimeout), flow("f")))
	t.Run("an accepted flow is queued", func(t *testing.T) {
		state, err := e.State(contextFor(t, waitTimeout), q, "f")
		assert.NilError(t, err)
		assert.Equal(t, state, cowslipbend.FlowQueued)
	})
	t.Run("an unknown flow is missing", func(t *testing.T) {
		_, err := e.State(contextFor(t, waitTimeout), q, "none")
		assertKind(t, err, cowslipbend.KindMissing)
		assertKind(t, e.Cancel(contextFor(t, waitTimeout), q, "none"), cowslipbend.KindMissing)
	})
	t.Run("a cancellation is stored although requests and answers are lost", func(t *testing.T) {
		e.faults.ScriptFaults(keeper.LoseRequest, keeper.LoseReply)
		assert.NilError(t, e.Cancel(contextFor(t, waitTimeout), q, "f"))
		row, err := e.table.Get(t.Context(), conductor.CancelKey("f"))
		assert.NilError(t, err)
		assert.Assert(t, row.Version != 0)
	})
	t.Run("the number of waiting flows is unavailable without an owner", func(t *testing.T) {
		_, err := e.Waiting(contextFor(t, waitTimeout), q)
		assertKind(t, err, cowslipbend.KindDown)
	})
}
