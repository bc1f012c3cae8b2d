// Package runner joins the parts of an agent into a process. The program
// agent, the tests and "stand try" call Run alike.
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
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/publisher"
	"cowslipbend.dev/registrar"
	"cowslipbend.dev/tasker"
	"cowslipbend.dev/throttler"
	"cowslipbend.dev/timer"
)

// Times of an agent.
const (
	workerTimeout = 2 * cowslipbend.Second
	beatTimeout   = 2 * cowslipbend.Second
	silence       = 5 * cowslipbend.Second // of an endpoint before it is dropped
	watchTimeout  = cowslipbend.Second     // for watches to end after the drain time
	endpointConns = 64
)

// Agent is a running agent.
type Agent struct {
	settings Settings
	clock    cowslipbend.Clock
	log      hclog.Logger
	life     cowslipbend.Incarnation
	gate     *admitter.Gate
	tasks    *tasker.Tasker
	machine  *executor.Client
	config   *publisher.Holder
	forward  *forwarder.Forwarder
	beats    *heartbeater.Heartbeater
	metrics  *prometheus.Registry
	guard    *throttler.Guard
	main     *server.Server
	local    *server.Server
	killed   chan struct{}
}

// Run runs an agent until the context ends, then drains it.
func Run(ctx context.Context, s Settings, clock cowslipbend.Clock, log hclog.Logger) error {
	a, err := New(s, clock, log)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

// New opens the listeners of an agent. All faults of the settings are
// reported at once.
func New(s Settings, clock cowslipbend.Clock, log hclog.Logger) (*Agent, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	a := &Agent{settings: s, clock: clock, log: log, life: cowslipbend.Incarnation(cowslipbend.DrawID()), killed: make(chan struct{})}
	guard := throttler.Defaults()
	guard.Mode = s.Guard
	a.guard = throttler.New(guard)
	opts := admitter.Defaults()
	a.gate = admitter.New(a.life, clock, opts)
	a.machine = executor.New(s.Worker, workerTimeout)
	a.tasks = tasker.New(a.machine, clock)
	a.config = publisher.NewHolder(s.Secret, log)
	a.forward = forwarder.New(a.gate, endpointConns, opts.MaxAnswerSize)
	a.metrics = newMetrics(a)
	var err error
	if a.main, err = server.ListenWrapped(s.Listen, s.Wrap, a.handler()); err != nil {
		return nil, err
	}
	if a.local, err = server.Listen(s.Local, a.localHandler()); err != nil {
		a.main.Close()
		return nil, err
	}
	self := heartbeater.Identity{Worker: s.ID, Life: a.life, Pool: s.Pool, Domain: s.Domain, Rack: s.Rack, URL: a.main.URL()}
	beatOpts := heartbeater.Options{Interval: s.Beat, Timeout: beatTimeout, Secret: s.Secret}
	a.beats = heartbeater.New(self, a.gate, a.tasks, a.config, clock, beatOpts, log, s.Entries)
	return a, nil
}

// URL returns the agent's base URL.
func (a *Agent) URL() string { return a.main.URL() }

// LocalURL returns the base URL for endpoints of this host.
func (a *Agent) LocalURL() string { return a.local.URL() }

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(forwarder.Prefix, server.Guard(a.settings.Secret, a.forward))
	rpc := control.NewAgentServer(&calls{agent: a})
	mux.Handle(rpc.PathPrefix(), server.Guard(a.settings.Secret, rpc))
	conf := control.NewConfigServer(a.config)
	mux.Handle(conf.PathPrefix(), server.Guard(a.settings.Secret, conf))
	server.Ops(mux, a.metrics, a.ready)
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

// Run serves until the context ends, then refuses new work, tells the
// entries, lets the requests in flight finish, and stops.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(a.main.Run)
	g.Go(a.local.Run)
	g.Go(func() error { return a.beats.Run(work) })
	g.Go(func() error { return a.config.Run(work) })
	g.Go(func() error { return timer.Every(work, a.clock, a.settings.Poll, a.poll) })
	g.Go(func() error {
		select {
		case <-work.Done():
		case <-a.killed:
			stop()
			return nil
		case <-ctx.Done():
			a.drain(work)
		}
		stop()
		a.close()
		return nil
	})
	a.log.Info("agent started", "worker", a.settings.ID, "life", a.life, "url", a.URL())
	return g.Wait()
}

func (a *Agent) poll(ctx context.Context) error {
	a.gate.Sweep(silence)
	if err := a.tasks.Poll(ctx); err != nil {
		a.log.Debug("worker does not answer", "error", err)
		return nil
	}
	if a.tasks.HasNewReports() {
		a.beats.NotifyOwner()
	}
	a.protect(ctx)
	return nil
}

// drain marks the agent as leaving, pushes that to the entries at once, and
// waits for the requests in flight.
func (a *Agent) drain(ctx context.Context) {
	idle := a.gate.Leave()
	a.beats.Broadcast(ctx)
	if a.await(idle, a.settings.Drain) {
		return
	}
	a.forward.EndWatches()
	if !a.await(idle, watchTimeout) {
		a.log.Warn("requests were still in flight at the end of the drain time")
	}
}

// await waits for the channel and reports whether it was closed in time.
func (a *Agent) await(idle <-chan struct{}, s cowslipbend.Span) bool {
	select {
	case <-idle:
		return true
	case <-a.clock.After(s):
		return false
	}
}

func (a *Agent) close() {
	ctx, cancel := context.WithTimeout(context.Background(), workerTimeout.Duration())
	defer cancel()
	a.main.Shutdown(ctx)
	a.local.Shutdown(ctx)
	a.forward.Close()
	a.machine.Close()
}

// Kill stops the agent at once, as a crash would: nothing is drained. It must
// be called once. For tests.
func (a *Agent) Kill() {
	close(a.killed)
	a.main.Close()
	a.local.Close()
}
