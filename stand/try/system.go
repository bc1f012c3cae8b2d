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

// entries is the count of entry hosts.
const entries = 3

// Model of the stand.
const (
	lag         = cowslipbend.Second
	slots       = 8
	conns       = 64
	loopback    = "127.0.0.1:0"
	objectsWait = 2 * cowslipbend.Second
	entryDelay  = cowslipbend.Second / 2
	entryDrain  = 10 * cowslipbend.Second
	agentDrain  = 10 * cowslipbend.Second
	bindTries   = 50
	bindPause   = 20 * time.Millisecond
)

// System is the whole system with its stand-ins in one process, over real
// TCP. Its methods may be called concurrently.
type System struct {
	opts  Options
	firm  firm.Firm
	log   hclog.Logger
	group *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
	// infra outlives the processes of the system: it ends the platform and
	// the workers' servers.
	infra    context.Context
	stopAll  context.CancelFunc
	judge    *judge.Judge
	platform *platform.Platform
	store    string // the platform's URL for workers

	mu      sync.Mutex
	entries []*part
	agents  []*part
	workers []*part
	models  []*worker.Worker // all lives
	current []*worker.Worker // the last life of each
	locals  []string
	machine []string
}

// Start starts platform, entries, workers and agents.
func Start(ctx context.Context, o Options, f firm.Firm) (*System, error) {
	ctx, stop := context.WithCancel(ctx)
	infra, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	g, ctx := errgroup.WithContext(ctx)
	s := &System{
		opts: o, firm: f, log: o.Log, group: g, ctx: ctx, stop: stop, infra: infra, stopAll: stopAll, judge: judge.New(), platform: platform.New(o.Seed),
		entries: make([]*part, entries), agents: make([]*part, f.Workers), workers: make([]*part, f.Workers),
		current: make([]*worker.Worker, f.Workers), locals: make([]string, f.Workers), machine: make([]string, f.Workers),
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
	s.store = store.URL()
	s.serve(store)
	for i := range s.entries {
		if err := s.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range s.workers {
		if err := s.reserve(i); err != nil {
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

// URLs returns those of the entries.
func (s *System) URLs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	urls := make([]string, len(s.entries))
	for i, p := range s.entries {
		urls[i] = p.url
	}
	return urls
}

// run runs a part in the group. The part's own errors end the try unless it
// was killed.
func (s *System) run(p *part, f func(context.Context) error) {
	ctx, stop := context.WithCancel(s.ctx)
	p.stop = stop
	p.done = make(chan struct{})
	s.group.Go(func() error {
		defer close(p.done)
		defer stop()
		return f(ctx)
	})
}

// serve runs a server until all else has stopped.
func (s *System) serve(srv *server.Server) {
	s.group.Go(srv.Run)
	s.group.Go(func() error {
		<-s.infra.Done()
		srv.Close()
		return nil
	})
}

// StartEntry starts the i-th entry, at first or anew. Each has its own way to
// the platform, so that a killed one cannot write any more.
func (s *System) StartEntry(i int) error {
	store, err := server.Listen(loopback, s.platform.Handler())
	if err != nil {
		return err
	}
	s.serve(store)
	p := &part{host: faulter.New()}
	set := entry.Defaults()
	set.ID = cowslipbend.EntryID(fmt.Sprintf("e%d", i+1))
	set.Domain = s.firm.Domain(i)
	set.Listen, set.Store, set.Wrap = loopback, store.URL(), p.host.Listener
	set.Delay, set.Drain = entryDelay, entryDrain
	s.opts.entry(&set)
	e, err := entry.New(set, p.host, s.log)
	if err != nil {
		return err
	}
	p.url = e.URL()
	p.kill = func() {
		store.Close()
		e.Kill()
	}
	s.run(p, e.Run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[i] = p
	return nil
}

// reserve picks the loopback addresses that a worker and its agent keep over
// all their lives, as each is told the other's.
func (s *System) reserve(i int) error {
	for _, addr := range []*string{&s.locals[i], &s.machine[i]} {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return cowslipbend.Failf(cowslipbend.KindBusy, err, "free a port", "no port on loopback")
		}
		*addr = ln.Addr().String()
		defer ln.Close()
	}
	return nil
}

// StartWorker starts the i-th worker, at first or anew and empty.
func (s *System) StartWorker(i int) error {
	objects := storer.New(s.store, objectsWait).Objects()
	opts := worker.Options{
		ID: s.firm.Worker(i), Size: s.firm.Size, Agent: "http://" + s.locals[i], Lag: lag, Slots: slots, Conns: conns,
		Slowdown: firm.Slowdown, Seed: s.opts.Seed<<16 + uint64(i),
	}
	w := worker.New(opts, timer.Host{}, s.judge, objects, s.log)
	srv, err := listen(s.machine[i], w)
	if err != nil {
		return err
	}
	p := &part{url: srv.URL()}
	s.serve(srv)
	s.run(p, w.Run)
	p.kill = func() {
		srv.Close()
		p.stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[i] = p
	s.models = append(s.models, w)
	s.current[i] = w
	return nil
}

// listen waits a little for the address, as an earlier life may just have
// left it.
func listen(addr string, w *worker.Worker) (*server.Server, error) {
	var srv *server.Server
	var err error
	for range bindTries {
		if srv, err = server.Listen(addr, w.Handler()); err == nil {
			return srv, nil
		}
		time.Sleep(bindPause)
	}
	return nil, err
}

// StartAgent starts the i-th agent, at first or anew.
func (s *System) StartAgent(i int) error {
	p := &part{host: faulter.New()}
	set := agent.Defaults()
	set.ID, set.Pool, set.Domain, set.Rack = s.firm.Worker(i), s.firm.Pool, s.firm.Domain(i), s.firm.RackOf(i)
	set.Listen, set.Local, set.Worker, set.Entries = loopback, s.locals[i], "http://"+s.machine[i], s.URLs()
	set.DrainTimeout, set.Wrap = agentDrain, p.host.Listener
	s.opts.agent(&set)
	var a *agent.Agent
	var err error
	for range bindTries {
		if a, err = agent.New(set, p.host, s.log); err == nil {
			break
		}
		time.Sleep(bindPause)
	}
	if err != nil {
		return err
	}
	p.url, p.kill = a.URL(), a.Kill
	s.run(p, a.Run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[i] = p
	return nil
}

// Progress returns the processor time that batch got on all workers and did
// not lose again, and that of finished tasks, in seconds.
func (s *System) Progress() (useful, finished float64) {
	s.mu.Lock()
	models := append([]*worker.Worker(nil), s.models...)
	s.mu.Unlock()
	for _, w := range models {
		u, f := w.Progress()
		useful += float64(u) / float64(cowslipbend.Second)
		finished += float64(f) / float64(cowslipbend.Second)
	}
	return useful, finished
}

// Stop ends all parts and waits for them: the processes of the system first,
// then what they need to stop in good order.
func (s *System) Stop() error {
	s.mu.Lock()
	parts := append(append([]*part(nil), s.entries...), s.agents...)
	s.mu.Unlock()
	for _, p := range parts {
		if p != nil {
			p.host.Resume()
		}
	}
	s.stop()
	for _, p := range parts {
		if p != nil {
			<-p.done
		}
	}
	s.stopAll()
	return s.group.Wait()
}
