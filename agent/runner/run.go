// Package runner assembles an agent from its parts and runs it. The program
// agent, the tests and "stand try" all call Run.
package runner

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/executor"
	"cowslipbend.dev/forwarder"
	"cowslipbend.dev/heartbeater"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/recoverer"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/publisher"
	"cowslipbend.dev/registrar"
	"cowslipbend.dev/tasker"
	"cowslipbend.dev/throttler"
	"cowslipbend.dev/timer"
)

const (
	workerTimeout        = 2 * cowslipbend.Second
	heartbeatTimeout     = 2 * cowslipbend.Second
	endpointTimeout      = 5 * cowslipbend.Second // without an announcement of an endpoint
	watchTimeout         = cowslipbend.Second     // for watches to end after the drain timeout
	idleConnsPerEndpoint = 64
)

// Agent is a running agent.
type Agent struct {
	settings     Settings
	clock        cowslipbend.Clock
	log          hclog.Logger
	incarnation  cowslipbend.Incarnation
	gate         *admitter.Gate
	tasks        *tasker.Tasker
	workerClient *executor.Client
	config       *publisher.Holder
	forwarder    *forwarder.Forwarder
	heartbeater  *heartbeater.Heartbeater
	metrics      *prometheus.Registry
	panics       *recoverer.Metric
	guard        *throttler.Guard
	entryServer  *server.Server
	localServer  *server.Server
	killed       chan struct{}
}

// Run runs an agent until the context ends, then drains it.
func Run(ctx context.Context, s Settings, clock cowslipbend.Clock, log hclog.Logger) error {
	a, err := New(s, clock, log)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

// New returns an agent with open listeners. It reports all faults of the settings
// at once.
func New(s Settings, clock cowslipbend.Clock, log hclog.Logger) (*Agent, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	a := &Agent{settings: s, clock: clock, log: log, incarnation: cowslipbend.Incarnation(cowslipbend.DrawID()), killed: make(chan struct{})}
	guardOpts := throttler.Defaults()
	guardOpts.Mode = s.Guard
	a.guard = throttler.New(guardOpts)
	gateOpts := admitter.Defaults()
	a.gate = admitter.New(a.incarnation, clock, gateOpts)
	a.workerClient = executor.New(s.Worker, workerTimeout)
	a.tasks = tasker.New(a.workerClient, clock)
	a.config = publisher.NewHolder(s.Secret, log)
	a.forwarder = forwarder.New(a.gate, idleConnsPerEndpoint, gateOpts.MaxAnswerSize)
	a.metrics = newMetrics(a)
	a.panics = recoverer.NewMetric(a.metrics)
	bounds := bounder.NewGroup(clock, log.Named("bounder"))
	a.metrics.MustRegister(bounds)
	bound := func(name string) *bounder.Bounder {
		return bounds.Add(bounder.Limits{Name: name, Conns: s.MaxConns, Bodies: s.MaxBodies})
	}
	var err error
	if a.entryServer, err = server.Open(server.Address{Addr: s.Listen, Handler: recoverer.Handler("request", log, a.panics, a.handler()), Bounds: bound("entry"), Wrap: s.Wrap}); err != nil {
		return nil, err
	}
	if a.localServer, err = server.Open(server.Address{Addr: s.Local, Handler: recoverer.Handler("local", log, a.panics, a.localHandler()), Bounds: bound("local")}); err != nil {
		a.entryServer.Close()
		return nil, err
	}
	self := heartbeater.Identity{Worker: s.ID, Life: a.incarnation, Pool: s.Pool, Domain: s.Domain, Rack: s.Rack, URL: a.entryServer.URL()}
	heartbeatOpts := heartbeater.Options{Interval: s.HeartbeatInterval, Timeout: heartbeatTimeout, Secret: s.Secret}
	a.heartbeater = heartbeater.New(self, a.gate, a.tasks, a.config, clock, heartbeatOpts, log, s.Entries)
	return a, nil
}

// URL returns the agent's base URL.
func (a *Agent) URL() string { return a.entryServer.URL() }

// LocalURL returns the base URL for the endpoints of this host.
func (a *Agent) LocalURL() string { return a.localServer.URL() }

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(forwarder.PathPrefix, server.Guard(a.settings.Secret, a.forwarder))
	agentServer := control.NewAgentServer(&service{agent: a})
	mux.Handle(agentServer.PathPrefix(), server.Guard(a.settings.Secret, agentServer))
	configServer := control.NewConfigServer(a.config)
	mux.Handle(configServer.PathPrefix(), server.Guard(a.settings.Secret, configServer))
	server.HandleOps(mux, a.metrics, a.ready)
	return mux
}

func (a *Agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	registrar.Register(mux, a.gate)
	return mux
}

func (a *Agent) ready() error {
	if a.gate.Leaving() {
		return cowslipbend.Fail(cowslipbend.KindLeaving, "agent is shutting down", "wait for its replacement")
	}
	return nil
}

// Run serves until the context ends. Then it refuses new requests, notifies the
// entries, waits up to the drain timeout for the requests in flight, and stops.
func (a *Agent) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, workCtx := errgroup.WithContext(workCtx)
	g.Go(a.entryServer.Run)
	g.Go(a.localServer.Run)
	g.Go(func() error { return a.heartbeater.Run(workCtx) })
	g.Go(func() error { return a.config.Run(workCtx) })
	g.Go(func() error { return timer.Every(workCtx, a.clock, a.settings.PollInterval, a.guardedPoll) })
	g.Go(func() error {
		select {
		case <-workCtx.Done():
		case <-a.killed:
			stop()
			return nil
		case <-ctx.Done():
			a.drain(workCtx)
		}
		stop()
		a.close()
		return nil
	})
	a.log.Info("agent started", "worker", a.settings.ID, "life", a.incarnation, "url", a.URL())
	return g.Wait()
}

// guardedPoll polls the worker. A panic is logged and counted, and the next poll takes
// the state of the worker anew.
func (a *Agent) guardedPoll(ctx context.Context) error {
	_ = recoverer.Call("poll", a.log, a.panics, func() error { // The error is that of a panic, which is logged.
		a.poll(ctx)
		return nil
	})
	return nil
}

func (a *Agent) poll(ctx context.Context) {
	a.gate.ExpireEndpoints(endpointTimeout)
	if err := a.tasks.Poll(ctx); err != nil {
		a.log.Debug("poll of worker failed", "error", err)
		return
	}
	if a.tasks.HasNewReports() {
		a.heartbeater.NotifyOwner()
	}
	a.runGuard(ctx)
}

// drain marks the agent as leaving, sends heartbeats at once so that the entries
// know, and waits for the requests in flight.
func (a *Agent) drain(ctx context.Context) {
	idle := a.gate.Leave()
	a.heartbeater.Broadcast(ctx)
	if a.await(idle, a.settings.DrainTimeout) {
		return
	}
	a.forwarder.EndWatches()
	if !a.await(idle, watchTimeout) {
		a.log.Warn("requests still in flight after the drain timeout; closing their connections")
	}
}

// await waits for the channel to be closed and reports whether that happened
// within the timeout.
func (a *Agent) await(done <-chan struct{}, timeout cowslipbend.Span) bool {
	select {
	case <-done:
		return true
	case <-a.clock.After(timeout):
		return false
	}
}

func (a *Agent) close() {
	ctx, cancel := context.WithTimeout(context.Background(), workerTimeout.Duration())
	defer cancel()
	a.entryServer.Shutdown(ctx)
	a.localServer.Shutdown(ctx)
	a.forwarder.Close()
	a.workerClient.Close()
}

// Kill stops the agent at once, as a crash would, without draining. It must be
// called at most once. For tests.
func (a *Agent) Kill() {
	close(a.killed)
	a.entryServer.Close()
	a.localServer.Close()
}
