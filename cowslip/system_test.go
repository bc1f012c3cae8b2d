package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	agent "cowslipbend.dev/agent/runner"
	entry "cowslipbend.dev/entry/runner"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/platform"
	"cowslipbend.dev/stand/worker"
	"cowslipbend.dev/storer"
	"cowslipbend.dev/timer"
)

const (
	loopback = "127.0.0.1:0"
	hosts    = 2 // entries, and workers
	lag      = cowslipbend.Second / 10
	wait     = 2 * cowslipbend.Second
)

// system is a small system on loopback with a store that can be taken out.
type system struct {
	platform *platform.Platform
	mode     atomic.Value // of the store
	store    string
	entries  []string
	judge    *judge.Judge
	group    *errgroup.Group
}

// startSystem starts a system that stops with the test.
func startSystem(t testing.TB) *system {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	s := &system{platform: platform.New(1), judge: judge.New(), group: g}
	s.mode.Store(up)
	s.store = s.serve(ctx, t, s.gate(s.platform.Handler())).URL()
	for i := range hosts {
		s.entry(ctx, t, i)
	}
	for i := range hosts {
		s.worker(ctx, t, i)
	}
	t.Cleanup(func() {
		stop()
		assert.Check(t, g.Wait())
	})
	return s
}

// Modes of the store.
const (
	up   = "up"
	down = "down" // refuses everything
	mute = "mute" // commits take effect and their answers are lost
	cut  = "cut"  // as mute for the next publishing, and down after that
)

// gate plays the mode of the store.
func (s *system) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		mode := s.mode.Load()
		commit := r.Method == http.MethodPost
		publish := commit && bytes.Contains(body, []byte(`"config/head"`))
		switch {
		case mode == down:
			server.WriteError(w, cowslipbend.Fail(cowslipbend.KindDown, "store is out", "wait"))
		case mode == mute && commit, mode == cut && publish:
			next.ServeHTTP(httptest.NewRecorder(), r)
			s.mode.CompareAndSwap(cut, down)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (s *system) serve(ctx context.Context, t testing.TB, h http.Handler) *server.Server {
	t.Helper()
	srv, err := server.Listen(loopback, h)
	assert.NilError(t, err)
	s.run(ctx, srv)
	return srv
}

// run runs a server until the context ends.
func (s *system) run(ctx context.Context, srv *server.Server) {
	s.group.Go(srv.Run)
	s.group.Go(func() error {
		<-ctx.Done()
		srv.Close()
		return nil
	})
}

func (s *system) entry(ctx context.Context, t testing.TB, i int) {
	t.Helper()
	set := entry.Defaults()
	set.ID = cowslipbend.EntryID(fmt.Sprintf("e%d", i+1))
	set.Domain = domain(i)
	set.Listen, set.Store = loopback, s.store
	set.Delay, set.Drain = 0, cowslipbend.Second
	e, err := entry.New(set, timer.Host{}, hclog.NewNullLogger())
	assert.NilError(t, err)
	s.entries = append(s.entries, e.URL())
	s.group.Go(func() error { return e.Run(ctx) })
}

// worker starts a worker and its agent, each of which needs the address of the
// other: both listeners are open before either runs.
func (s *system) worker(ctx context.Context, t testing.TB, i int) {
	t.Helper()
	id := cowslipbend.WorkerID(fmt.Sprintf("w%d", i+1))
	handler := &lateHandler{}
	srv, err := server.Listen(loopback, handler)
	assert.NilError(t, err)
	set := agent.Defaults()
	set.ID, set.Pool, set.Domain, set.Rack = id, "ledger", domain(i), "r1"
	set.Listen, set.Local, set.Worker, set.Entries = loopback, loopback, srv.URL(), s.entries
	set.HeartbeatInterval, set.DrainTimeout = cowslipbend.Second/5, cowslipbend.Second
	a, err := agent.New(set, timer.Host{}, hclog.NewNullLogger())
	assert.NilError(t, err)
	opts := worker.Options{
		ID: id, Size: cowslipbend.Resources{CPU: 4 * cowslipbend.Core, Mem: 8 * cowslipbend.GB},
		Agent: a.LocalURL(), Lag: lag, Slots: 8, Conns: 64,
	}
	w := worker.New(opts, timer.Host{}, s.judge, storer.New(s.store, wait).Objects(), hclog.NewNullLogger())
	handler.Handler = w.Handler()
	s.run(ctx, srv)
	s.group.Go(func() error { return w.Run(ctx) })
	s.group.Go(func() error { return a.Run(ctx) })
}

// lateHandler is set before its server runs.
type lateHandler struct{ http.Handler }

func domain(i int) cowslipbend.Domain { return cowslipbend.Domain(fmt.Sprintf("d%d", i+1)) }
