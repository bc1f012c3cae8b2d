// Package joiner joins the parts of an agent on the users' platform into a
// process. Package runner does the same for an agent on the stand-ins.
package joiner

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/supervisor"
)

// closeTime is for calls in flight when the agent stops.
const closeTime = 500 * cowslipbend.Millisecond

// Agent is an agent on the platform.
type Agent struct {
	settings   platform.Settings
	log        hclog.Logger
	store      *platform.Store
	caller     *caller.Caller
	runner     *platform.Runner
	supervisor *supervisor.Supervisor
	// servers begins with the one for the owner's orders.
	servers []*server.Server
}

// New opens the listeners of an agent.
func New(s platform.Settings, clock cowslipbend.Clock, log hclog.Logger) (*Agent, error) {
	a := &Agent{settings: s, log: log, store: platform.NewStore(s.Store, clock), caller: caller.New(), runner: platform.NewRunner(s.Runner)}
	reg := prometheus.NewRegistry()
	settings := supervisor.Settings{
		Metrics: instrumenter.New(reg), URL: "http://" + s.InternalAddress(), Life: cowslipbend.Incarnation(cowslipbend.DrawID()), MaxLease: s.Bounds.MaxLease,
	}
	for _, ip := range s.Seeds {
		settings.Entries = append(settings.Entries, s.PeerURL(ip))
	}
	a.supervisor = supervisor.New(settings, a.runner, a.caller, a.owner, clock, log.Named("warden"))
	mux, ops := http.NewServeMux(), http.NewServeMux()
	server.Ops(ops, reg, func() error { return nil })
	a.supervisor.Serve(mux)
	var err error
	a.servers, err = server.ListenAll(
		server.Address{Addr: s.InternalAddress(), Handler: mux},
		server.Address{Addr: s.Control, Handler: platform.ControlHandler(a.supervisor)},
		server.Address{Addr: s.MetricsAddress(), Handler: ops},
	)
	return a, err
}

// owner reads from the store who owns the flows; it is asked when no entry
// answers.
func (a *Agent) owner(ctx context.Context) string {
	row, err := a.store.Get(ctx, conductor.OwnerKey)
	if err != nil || row.Version == 0 {
		return ""
	}
	var h conductor.Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		a.log.Warn("owner's row is damaged", "error", err)
	}
	return h.URL
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	for _, s := range a.servers {
		g.Go(s.Run)
	}
	g.Go(func() error { return a.supervisor.Run(work) })
	g.Go(func() error {
		select {
		case <-work.Done():
		case <-ctx.Done():
		}
		closing, cancel := context.WithTimeout(context.Background(), closeTime.Duration())
		defer cancel()
		// Orders in flight are answered before the rest stops.
		a.servers[0].Shutdown(closing)
		stop()
		for _, s := range a.servers[1:] {
			s.Shutdown(closing)
		}
		a.runner.Close()
		a.caller.Close()
		a.store.Close()
		return nil
	})
	a.log.Info("agent started", "agent", a.settings.Node, "domain", a.settings.Domain, "url", "http://"+a.settings.InternalAddress())
	err := g.Wait()
	a.log.Info("agent stopped", "error", err)
	return err
}
