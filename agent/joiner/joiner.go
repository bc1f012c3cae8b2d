// Package joiner assembles the agent that runs on the users' platform. Package
// runner assembles the agent that runs on the stand-ins for that platform.
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
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/recoverer"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/supervisor"
)

// shutdownTimeout bounds the time for calls in flight when the agent stops.
const shutdownTimeout = 500 * cowslipbend.Millisecond

// domainMargin is the part of the platform's time for taking a failure domain out
// of service that is left for the owner to learn of it and for the start itself.
const domainMargin = 500 * cowslipbend.Millisecond

// Agent is an agent on the users' platform.
type Agent struct {
	settings   platform.Settings
	log        hclog.Logger
	store      *platform.Store
	caller     *caller.Caller
	runner     *platform.Runner
	supervisor *supervisor.Supervisor
	// servers starts with the server that receives the owner's orders.
	servers []*server.Server
}

// New returns an agent with open listeners.
func New(s platform.Settings, clock cowslipbend.Clock, log hclog.Logger) (*Agent, error) {
	reg := prometheus.NewRegistry()
	instruments := instrumenter.New(reg)
	a := &Agent{settings: s, log: log, store: platform.NewStore(s.Store, clock, instruments), caller: caller.New(instruments), runner: platform.NewRunner(s.Runner)}
	replies := dialer.NewReplies(bounder.Divide(s.Memory, s.Descriptors).Replies)
	a.store.ShareReplies(replies)
	a.caller.ShareReplies(replies)
	a.runner.ShareReplies(replies)
	supervisorSettings := supervisor.Settings{
		Metrics: instruments, URL: s.URL(), Life: cowslipbend.Incarnation(cowslipbend.DrawID()), MaxLease: s.Bounds.MaxLease,
		Grant: conductor.Grant(s.Bounds.MaxLease), StopGrace: s.Bounds.StopGrace,
	}
	if s.Bounds.Evacuation > 0 {
		supervisorSettings.MaxDomainAge = max(s.Bounds.Evacuation-domainMargin, domainMargin)
	}
	for _, ip := range s.Seeds {
		supervisorSettings.Entries = append(supervisorSettings.Entries, s.PeerURL(ip))
	}
	a.supervisor = supervisor.New(supervisorSettings, a.runner, a.caller, a.ownerURL, clock, log.Named("warden"))
	mux, opsMux := http.NewServeMux(), http.NewServeMux()
	server.HandleOps(opsMux, reg, func() error { return nil })
	a.supervisor.Serve(mux)
	guard := func(part string, h http.Handler) http.Handler { return recoverer.Handler(part, log, instruments, h) }
	bounds := bounder.NewGroup(clock, log.Named("bounder"))
	reg.MustRegister(bounds)
	shares := bounder.Divide(s.Memory, s.Descriptors)
	var err error
	a.servers, err = server.ListenAll(
		server.Address{Addr: s.InternalAddress(), Handler: guard("internal", caller.CountBytes(mux, instruments)), Bounds: bounds.Add(shares.Internal)},
		server.Address{Addr: s.Control, Handler: guard("control", platform.ControlHandler(a.supervisor)), Bounds: bounds.Add(shares.Control)},
		server.Address{Addr: s.MetricsAddress(), Handler: guard("metrics", opsMux), Bounds: bounds.Add(shares.Metrics)},
	)
	return a, err
}

// ownerURL reads the URL of the flows' owner from the store. It returns "" if the
// store cannot be read or names no owner. It is called when no entry answers.
func (a *Agent) ownerURL(ctx context.Context) string {
	row, err := a.store.Get(ctx, conductor.OwnerKey)
	if err != nil || row.Version == 0 {
		return ""
	}
	var head conductor.Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		a.log.Warn("cannot decode the store's row of the flows' owner", "error", err)
	}
	return head.URL
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, workCtx := errgroup.WithContext(workCtx)
	for _, s := range a.servers {
		g.Go(s.Run)
	}
	g.Go(func() error { return a.supervisor.Run(workCtx) })
	g.Go(func() error {
		select {
		case <-workCtx.Done():
		case <-ctx.Done():
		}
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout.Duration())
		defer cancel()
		// Orders in flight are answered before the other parts stop.
		a.servers[0].Shutdown(shutdownCtx)
		stop()
		for _, s := range a.servers[1:] {
			s.Shutdown(shutdownCtx)
		}
		a.runner.Close()
		a.caller.Close()
		a.store.Close()
		return nil
	})
	a.log.Info("agent started", "agent", a.settings.Node, "domain", a.settings.Domain, "url", a.settings.URL())
	err := g.Wait()
	a.log.Info("agent stopped", "error", err)
	return err
}
