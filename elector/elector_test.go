package elector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/elector"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/planner"
	"cowslipbend.dev/timer"
)

// store is a table that can be cut off from one entry.
type store struct {
	*keeper.Table
	mu   sync.Mutex
	down bool
	last cowslipbend.Time
}

func (s *store) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return cowslipbend.Fail(cowslipbend.KindDown, "cut off", "")
	}
	s.last = timer.Host{}.Now()
	return nil
}

func (s *store) cut(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) Get(ctx context.Context, key string) (cowslipbend.Row, error) {
	if err := s.err(); err != nil {
		return cowslipbend.Row{}, err
	}
	return s.Table.Get(ctx, key)
}

func (s *store) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.Table.Commit(ctx, txn)
}

func (s *store) Changes(ctx context.Context, table string, after int64, wait cowslipbend.Span) (cowslipbend.Changes, error) {
	if err := s.err(); err != nil {
		return cowslipbend.Changes{}, err
	}
	return s.Table.Changes(ctx, table, after, wait)
}

func (s *store) Snapshot(ctx context.Context, table string) (cowslipbend.Changes, error) {
	if err := s.err(); err != nil {
		return cowslipbend.Changes{}, err
	}
	return s.Table.Snapshot(ctx, table)
}

func (s *store) Heard() cowslipbend.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// entry is an elector that other entries can call.
type entry struct {
	*elector.Elector
	store *store
	srv   *httptest.Server
	kill  func()
}

func newEntry(t *testing.T, table *keeper.Table, id string) *entry {
	t.Helper()
	return newStrong(t, table, id, 100)
}

func newStrong(t *testing.T, table *keeper.Table, id string, strength elector.Strength) *entry {
	t.Helper()
	e := &entry{store: &store{Table: table}}
	mux := http.NewServeMux()
	caller.Handle(mux, elector.PathHealth, func(context.Context, *struct{}) (elector.Health, error) { return e.Health(), nil })
	e.srv = httptest.NewServer(mux)
	log := hclog.NewNullLogger()
	conduct := func(f *conductor.Fence) *conductor.Conductor {
		s := conductor.Settings{URL: e.srv.URL, Planner: planner.Options{Lease: cowslipbend.Second}}
		return conductor.New(s, f, e.store, e.store, caller.New(), func() *cowslipbend.Rules { return nil }, timer.Host{}, log)
	}
	self := elector.Member{ID: cowslipbend.EntryID(id), URL: e.srv.URL, Life: cowslipbend.Incarnation(cowslipbend.DrawID()), Strength: strength}
	e.Elector = elector.New(self, e.store, caller.New(), timer.Host{}, log, conduct)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return e.Run(ctx) })
	e.kill = sync.OnceFunc(func() {
		e.srv.CloseClientConnections()
		e.srv.Close()
		cancel()
		assert.NilError(t, g.Wait())
	})
	t.Cleanup(e.kill)
	return e
}

// patience bounds what a test waits for; nothing asserts a time.
const patience = 60 * time.Second

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("never: " + what)
}

// owner returns the one of two entries that conducts, and the other.
func owner(t *testing.T, a, b *entry) (conducts, other *entry) {
	t.Helper()
	until(t, "one conducts and both know", func() bool {
		return (a.Conductor() != nil) != (b.Conductor() != nil) && a.Owner() == b.Owner() && a.Owner() != ""
	})
	if a.Conductor() != nil {
		return a, b
	}
	return b, a
}

func TestElection(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*entry)
	}{
		{"an owner that has gone is replaced", func(e *entry) { e.kill() }},
		{"an owner that leaves is replaced", func(e *entry) { e.Leave() }},
		{"an owner without the store gives way to an entry with it", func(e *entry) { e.store.cut(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &keeper.Table{}
			first, second := owner(t, newEntry(t, table, "a"), newEntry(t, table, "b"))
			epoch := first.Conductor().Epoch()
			c.lose(first)
			until(t, "the other conducts", func() bool { return second.Conductor() != nil })
			assert.Equal(t, second.Conductor().Epoch(), epoch+1)
			first.store.cut(false)
			until(t, "the first steps down", func() bool { return first.Conductor() == nil })
		})
	}
	t.Run("while the store is out for all nobody takes over", func(t *testing.T) {
		table := &keeper.Table{}
		first, second := owner(t, newEntry(t, table, "a"), newEntry(t, table, "b"))
		epoch := first.Conductor().Epoch()
		first.store.cut(true)
		second.store.cut(true)
		until(t, "both know that they are cut off", func() bool {
			cut, _ := first.Cut()
			also, _ := second.Cut()
			return cut && also
		})
		assert.Assert(t, second.Conductor() == nil)
		assert.Equal(t, first.Conductor().Epoch(), epoch)
	})
}

func TestStrength(t *testing.T) {
	t.Run("the scarcer of processors and link counts", func(t *testing.T) {
		assert.Equal(t, elector.StrengthOf(800, 200*cowslipbend.Mbit), elector.Strength(200))
		assert.Equal(t, elector.StrengthOf(400, 1000*cowslipbend.Mbit), elector.Strength(400))
	})
	t.Run("an owner yields to a much stronger entry", func(t *testing.T) {
		table := &keeper.Table{}
		weak := newStrong(t, table, "a", 10)
		until(t, "the only entry conducts", func() bool { return weak.Conductor() != nil })
		strong := newStrong(t, table, "b", 200)
		until(t, "the stronger conducts", func() bool { return strong.Conductor() != nil && weak.Conductor() == nil })
		epoch := strong.Conductor().Epoch()
		strong.kill()
		until(t, "the weak one fills in", func() bool { return weak.Conductor() != nil })
		assert.Equal(t, weak.Conductor().Epoch(), epoch+1)
	})
	t.Run("an owner stays while the stronger one is out of reach of the store", func(t *testing.T) {
		table := &keeper.Table{}
		weak := newStrong(t, table, "a", 10)
		until(t, "the only entry conducts", func() bool { return weak.Conductor() != nil })
		strong := newStrong(t, table, "b", 200)
		until(t, "both are known", func() bool { return len(weak.Entries()) == 2 })
		strong.store.cut(true)
		until(t, "the store is missed", func() bool { return strong.Health().Store > 2*cowslipbend.Second })
		assert.Assert(t, weak.Conductor() != nil || strong.Conductor() != nil)
		strong.store.cut(false)
		until(t, "the stronger conducts", func() bool { return strong.Conductor() != nil && weak.Conductor() == nil })
	})
}
