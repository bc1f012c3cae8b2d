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
	loopback       = "127.0.0.1:0"
	hostCount      = 2 // entries, and workers
	measurementLag = cowslipbend.Second / 10
	storeTimeout   = 2 * cowslipbend.Second
)

// system is a small system on loopback addresses. Faults can be injected into
// its store.
type system struct {
	platform  *platform.Platform
	storeMode atomic.Value // a string: storeUp, ...
	storeURL  string
	entryURLs []string
	judge     *judge.Judge
	group     *errgroup.Group
}

// startSystem starts a system and stops it at the end of the test.
func startSystem(t testing.TB) *system {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	s := &system{platform: platform.New(1), judge: judge.New(), group: g}
	s.storeMode.Store(storeUp)
	s.storeURL = s.serve(ctx, t, s.withStoreMode(s.platform.Handler())).URL()
	for i := range hostCount {
		s.startEntry(ctx, t, i)
	}
	for i := range hostCount {
		s.startWorker(ctx, t, i)
	}
	t.Cleanup(func() {
		stop()
		assert.Check(t, g.Wait())
	})
	return s
}

// Fault modes of the store.
const (
	storeUp   = "up"
	storeDown = "down" // refuses all requests
	storeMute = "mute" // commits take effect but their answers are lost
	storeCut  = "cut"  // like mute for the next published set, then down
)

// withStoreMode wraps the store's handler with the current fault mode.
func (s *system) withStoreMode(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		mode := s.storeMode.Load()
		commit := r.Method == http.MethodPost
		publish := commit && bytes.Contains(body, []byte(`"config/head"`))
		switch {
		case mode == storeDown:
			server.WriteError(w, cowslipbend.Fail(cowslipbend.KindDown, "store refuses all requests", "wait"))
		case mode == storeMute && commit, mode == storeCut && publish:
			next.ServeHTTP(httptest.NewRecorder(), r)
			s.storeMode.CompareAndSwap(storeCut, storeDown)
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
	s.runServer(ctx, srv)
	return srv
}

// runServer serves until the context ends.
func (s *system) runServer(ctx context.Context, srv *server.Server) {
	s.group.Go(srv.Run)
	s.group.Go(func() error {
		<-ctx.Done()
		srv.Close()
		return nil
	})
}

func (s *system) startEntry(ctx context.Context, t testing.TB, i int) {
	t.Helper()
	settings := entry.Defaults()
	settings.ID = cowslipbend.EntryID(fmt.Sprintf("e%d", i+1))
	settings.Domain = domain(i)
	settings.Listen, settings.Store = loopback, s.storeURL
	settings.BalancerDelay, settings.DrainTimeout = 0, cowslipbend.Second
	e, err := entry.New(settings, timer.Host{}, hclog.NewNullLogger())
	assert.NilError(t, err)
	s.entryURLs = append(s.entryURLs, e.URL())
	s.group.Go(func() error { return e.Run(ctx) })
}

// startWorker starts a worker and its agent. Each needs the address of the
// other, so both listeners are opened before either runs.
func (s *system) startWorker(ctx context.Context, t testing.TB, i int) {
	t.Helper()
	id := cowslipbend.WorkerID(fmt.Sprintf("w%d", i+1))
	handler := &deferredHandler{}
	srv, err := server.Listen(loopback, handler)
	assert.NilError(t, err)
	settings := agent.Defaults()
	settings.ID, settings.Pool, settings.Domain, settings.Rack = id, "ledger", domain(i), "r1"
	settings.Listen, settings.Local, settings.Worker, settings.Entries = loopback, loopback, srv.URL(), s.entryURLs
	settings.HeartbeatInterval, settings.DrainTimeout = cowslipbend.Second/5, cowslipbend.Second
	a, err := agent.New(settings, timer.Host{}, hclog.NewNullLogger())
	assert.NilError(t, err)
	opts := worker.Options{
		ID: id, Size: cowslipbend.Resources{CPU: 4 * cowslipbend.Core, Mem: 8 * cowslipbend.GB},
		Agent: a.LocalURL(), Lag: measurementLag, Slots: 8, Conns: 64,
	}
	w := worker.New(opts, timer.Host{}, s.judge, storer.New(s.storeURL, storeTimeout).Objects(), hclog.NewNullLogger())
	handler.Handler = w.Handler()
	s.runServer(ctx, srv)
	s.group.Go(func() error { return w.Run(ctx) })
	s.group.Go(func() error { return a.Run(ctx) })
}

// deferredHandler is a handler that is set between opening its listener and
// running its server.
type deferredHandler struct{ http.Handler }

func domain(i int) cowslipbend.Domain { return cowslipbend.Domain(fmt.Sprintf("d%d", i+1)) }
