package try

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	agent "cowslipbend.dev/agent/runner"
	entry "cowslipbend.dev/entry/runner"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/stand/faulter"
	"cowslipbend.dev/stand/firm"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/platform"
	"cowslipbend.dev/stand/worker"
	"cowslipbend.dev/storer"
	"cowslipbend.dev/timer"
)

const entryCount = 3

// Settings of the components.
const (
	measurementLag = cowslipbend.Second
	endpointSlots  = 8
	endpointConns  = 64
	loopback       = "127.0.0.1:0"
	objectsTimeout = 2 * cowslipbend.Second
	entryDelay     = cowslipbend.Second / 2
	entryDrain     = 10 * cowslipbend.Second
	agentDrain     = 10 * cowslipbend.Second
	bindAttempts   = 50
	bindRetryDelay = 20 * time.Millisecond
)

// System is the whole system with a simulated platform and simulated workers in
// one process. Its components communicate over TCP on loopback. Its methods may
// be called concurrently.
type System struct {
	opts  Options
	firm  firm.Firm
	log   hclog.Logger
	group *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
	// infraCtx is cancelled after the entries and agents have stopped. It ends the
	// servers of the platform and the workers, which they need to stop.
	infraCtx  context.Context
	stopInfra context.CancelFunc
	judge     *judge.Judge
	platform  *platform.Platform
	storeURL  string // URL of the platform for workers

	mu            sync.Mutex
	entries       []*component
	agents        []*component
	workers       []*component
	allModels     []*worker.Worker // including those that were killed
	currentModels []*worker.Worker // the last started of each worker
	agentAddrs    []string
	workerAddrs   []string
}

// Start starts the platform, the entries, the workers and their agents.
func Start(ctx context.Context, o Options, f firm.Firm) (*System, error) {
	ctx, stop := context.WithCancel(ctx)
	infraCtx, stopInfra := context.WithCancel(context.WithoutCancel(ctx))
	g, ctx := errgroup.WithContext(ctx)
	s := &System{
		opts: o, firm: f, log: o.Log, group: g, ctx: ctx, stop: stop, infraCtx: infraCtx, stopInfra: stopInfra, judge: judge.New(), platform: platform.New(o.Seed),
		entries: make([]*component, entryCount), agents: make([]*component, f.Workers), workers: make([]*component, f.Workers),
		currentModels: make([]*worker.Worker, f.Workers), agentAddrs: make([]string, f.Workers), workerAddrs: make([]string, f.Workers),
	}
	if err := s.startAll(); err != nil {
		_ = s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) startAll() error {
	store, err := server.Listen(loopback, s.platform.Handler())
	if err != nil {
		return err
	}
	s.storeURL = store.URL()
	s.serveUntilStopped(store)
	for i := range s.entries {
		if err := s.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range s.workers {
		if err := s.reserveAddrs(i); err != nil {
			return err
		}
		if err := s.StartWorker(i); err != nil {
			return err
		}
		if err := s.StartAgent(i); err != nil {
			return err
		}
	}
	return nil
}

// URLs returns the URLs of the entries.
func (s *System) URLs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	urls := make([]string, len(s.entries))
	for i, p := range s.entries {
		urls[i] = p.url
	}
	return urls
}

// runComponent runs f as the component in the group. An error of f ends the whole
// run.
func (s *System) runComponent(p *component, f func(context.Context) error) {
	ctx, stop := context.WithCancel(s.ctx)
	p.stop = stop
	p.done = make(chan struct{})
	s.group.Go(func() error {
		defer close(p.done)
		defer stop()
		return f(ctx)
	})
}

// serveUntilStopped runs a server until the entries and agents have stopped.
func (s *System) serveUntilStopped(srv *server.Server) {
	s.group.Go(srv.Run)
	s.group.Go(func() error {
		<-s.infraCtx.Done()
		srv.Close()
		return nil
	})
}

// StartEntry starts or restarts the i-th entry. Each start has its own server of
// the platform, which is closed when the entry is killed, so that a killed entry
// cannot write any more.
func (s *System) StartEntry(i int) error {
	store, err := server.Listen(loopback, s.platform.Handler())
	if err != nil {
		return err
	}
	s.serveUntilStopped(store)
	p := &component{host: faulter.New()}
	settings := entry.Defaults()
	settings.ID = cowslipbend.EntryID(fmt.Sprintf("e%d", i+1))
	settings.Domain = s.firm.Domain(i)
	settings.Listen, settings.Store, settings.Wrap = loopback, store.URL(), p.host.Listener
	settings.BalancerDelay, settings.DrainTimeout = entryDelay, entryDrain
	s.opts.applyToEntry(&settings)
	e, err := entry.New(settings, p.host, s.log)
	if err != nil {
		return err
	}
	p.url = e.URL()
	p.kill = func() {
		store.Close()
		e.Kill()
	}
	s.runComponent(p, e.Run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[i] = p
	return nil
}

// reserveAddrs picks the loopback addresses of the i-th worker and its agent. They
// keep them over restarts, as each is configured with the other's address.
func (s *System) reserveAddrs(i int) error {
	for _, addr := range []*string{&s.agentAddrs[i], &s.workerAddrs[i]} {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return cowslipbend.Failf(cowslipbend.KindBusy, err, "free a port", "no free port on loopback for a worker or its agent")
		}
		*addr = ln.Addr().String()
		defer ln.Close()
	}
	return nil
}

// StartWorker starts or restarts the i-th worker, without tasks.
func (s *System) StartWorker(i int) error {
	objects := storer.New(s.storeURL, objectsTimeout).Objects()
	opts := worker.Options{
		ID: s.firm.Worker(i), Size: s.firm.Size, Agent: "http://" + s.agentAddrs[i], Lag: measurementLag, Slots: endpointSlots, Conns: endpointConns,
		Slowdown: firm.Slowdown, Seed: s.opts.Seed<<16 + uint64(i),
	}
	w := worker.New(opts, timer.Host{}, s.judge, objects, s.log)
	srv, err := listenWithRetry(s.workerAddrs[i], w)
	if err != nil {
		return err
	}
	p := &component{url: srv.URL()}
	s.serveUntilStopped(srv)
	s.runComponent(p, w.Run)
	p.kill = func() {
		srv.Close()
		p.stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[i] = p
	s.allModels = append(s.allModels, w)
	s.currentModels[i] = w
	return nil
}

// listenWithRetry listens on the address of a worker. It retries, as a worker that
// was just killed may still hold the address.
func listenWithRetry(addr string, w *worker.Worker) (*server.Server, error) {
	var srv *server.Server
	var err error
	for range bindAttempts {
		if srv, err = server.Listen(addr, w.Handler()); err == nil {
			return srv, nil
		}
		time.Sleep(bindRetryDelay)
	}
	return nil, err
}

// StartAgent starts or restarts the i-th agent.
func (s *System) StartAgent(i int) error {
	p := &component{host: faulter.New()}
	settings := agent.Defaults()
	settings.ID, settings.Pool, settings.Domain, settings.Rack = s.firm.Worker(i), s.firm.Pool, s.firm.Domain(i), s.firm.RackOf(i)
	settings.Listen, settings.Local, settings.Worker, settings.Entries = loopback, s.agentAddrs[i], "http://"+s.workerAddrs[i], s.URLs()
	settings.DrainTimeout, settings.Wrap = agentDrain, p.host.Listener
	s.opts.applyToAgent(&settings)
	var a *agent.Agent
	var err error
	for range bindAttempts {
		if a, err = agent.New(settings, p.host, s.log); err == nil {
			break
		}
		time.Sleep(bindRetryDelay)
	}
	if err != nil {
		return err
	}
	p.url, p.kill = a.URL(), a.Kill
	s.runComponent(p, a.Run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[i] = p
	return nil
}

// BatchCPU returns the processor time that batch tasks received on all workers and
// did not lose by failures or stops, and that of finished tasks, in CPU seconds.
func (s *System) BatchCPU() (useful, finished float64) {
	s.mu.Lock()
	models := append([]*worker.Worker(nil), s.allModels...)
	s.mu.Unlock()
	for _, w := range models {
		u, f := w.BatchCPU()
		useful += float64(u) / float64(cowslipbend.Second)
		finished += float64(f) / float64(cowslipbend.Second)
	}
	return useful, finished
}

// Stop stops the entries and agents and waits for them, and then stops the platform
// and the workers, which they need for an orderly stop.
func (s *System) Stop() error {
	s.mu.Lock()
	components := append(append([]*component(nil), s.entries...), s.agents...)
	s.mu.Unlock()
	for _, p := range components {
		if p != nil {
			p.host.Resume()
		}
	}
	s.stop()
	for _, p := range components {
		if p != nil {
			<-p.done
		}
	}
	s.stopInfra()
	return s.group.Wait()
}
