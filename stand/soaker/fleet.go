package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/stand/hostrunner"
	"cowslipbend.dev/stand/metastore"
	"cowslipbend.dev/timer"
)

// Ports of a run, from its base on.
const (
	portInternal = iota
	portFront
	portReady
	portControl
	portRunner
	portBehind // of a runner, behind its proxy
	portStore
	portTop // one for each process: its way to the store
)

// Times of the stand-ins.
const (
	beatTime = 200 * cowslipbend.Millisecond // between two heartbeats
	tickTime = 20 * cowslipbend.Millisecond  // between two looks at leases
)

// taskTimes are how long tasks work on the lives of runners in turn: some end
// before a lost owner is replaced, others go on after it.
var taskTimes = []cowslipbend.Span{
	200 * cowslipbend.Millisecond, 600 * cowslipbend.Millisecond, 1500 * cowslipbend.Millisecond, 4 * cowslipbend.Second,
}

// member is a process with its proxies.
type member struct {
	mu    sync.Mutex
	proc  *process
	store *proxy
	// front is the address for callers, of an entry.
	front string
	// host is the runner beside an agent.
	host *host
}

// host is a place for runners: one life follows another.
type host struct {
	proxy   *proxy
	control string
	life    atomic.Int64
	runner  atomic.Pointer[hostrunner.Runner]
	pool    *hostrunner.Pool
	number  int
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.runner.Load().Handler().ServeHTTP(w, r)
}

// renew replaces the runner by a new life; all that it ran has ended.
func (h *host) renew() {
	if old := h.runner.Load(); old != nil {
		old.Crash()
	}
	life := h.life.Add(1)
	work := taskTimes[(h.number+int(life))%len(taskTimes)]
	h.runner.Store(hostrunner.New(h.pool, fmt.Sprintf("i-%d-%d", h.number, life), work))
}

// fleet is the platform and the processes on it.
type fleet struct {
	opts    Options
	store   *metastore.Store
	pool    *hostrunner.Pool
	entries []*member
	agents  []*member
	servers []*server.Server
	group   errgroup.Group
	// faults counts the faults that are on.
	faults sync.WaitGroup
}

func (f *fleet) address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, f.opts.Base+port)
}

// ip returns the loopback address of a machine; no two share one.
func (f *fleet) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+f.opts.Seed%100, kind, n+1)
}

// serve runs a handler until the fleet ends.
func (f *fleet) serve(addr string, h http.Handler) error {
	s, err := server.Listen(addr, h)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	f.group.Go(s.Run)
	return nil
}

// newFleet starts the platform and all processes.
func newFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{opts: o, store: metastore.New(), pool: hostrunner.NewPool()}
	f.pool.Expect(widths...)
	if err := f.config(ctx, 1, routeFirst); err != nil {
		return f, err
	}
	if err := f.serve(f.address(f.ip(0, 0), portStore), f.store.Handler()); err != nil {
		return f, err
	}
	for i := range o.Entries {
		if err := f.entry(i); err != nil {
			return f, err
		}
	}
	for i := range o.Agents {
		if err := f.agent(ctx, i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// config publishes the operator's rules with these routes.
func (f *fleet) config(ctx context.Context, version int, prefixes ...string) error {
	var routes []string
	for i, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"q%d","host":"jobs.example","path_prefix":"%s","service":"ledger","target_latency_ms":250,"max_attempts":5,"stretch":1.5}`, i, prefix))
	}
	value := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"ledger","rejects_overload":true}],"limits":{"max_body_bytes":65536}}`, version, strings.Join(routes, ","))
	_, err := f.store.Table().Commit(ctx, cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: "op/config", Value: []byte(value)}}})
	return err
}

// settings returns what all processes are told.
func (f *fleet) settings(name, ip, store string) []string {
	var seeds []string
	for i := range min(f.opts.Entries, 3) {
		seeds = append(seeds, f.address(f.ip(1, i), portControl))
	}
	return []string{
		"node=" + name, "ip=" + ip, "zone=z", "internal_ports=" + strconv.Itoa(f.opts.Base) + "," + strconv.Itoa(f.opts.Base),
		"seeds=" + strings.Join(seeds, ","), "platform.address=" + store, "limits.memory_mb=152", "limits.cpu_share=0.4", "limits.link_mbps=1000",
		"bounds.hold_max_ms=6000", "bounds.stop_grace_ms=400", "bounds.status_s=120", "bounds.grace_s=6",
	}
}

func (f *fleet) member(name, bin, ip string, kind, n int, more ...string) (*member, error) {
	way := f.address(f.ip(kind+2, n), portTop)
	store, err := newProxy(way, f.address(f.ip(0, 0), portStore))
	if err != nil {
		return nil, err
	}
	m := &member{store: store}
	m.proc, err = newProcess(name, filepath.Join(f.opts.Bin, bin), f.opts.Dir, append(f.settings(name, ip, way), more...))
	if err != nil {
		return m, err
	}
	return m, m.proc.start()
}

func (f *fleet) entry(n int) error {
	ip := f.ip(1, n)
	front := f.address(ip, portFront)
	m, err := f.member(fmt.Sprintf("entry%d", n), "entry", ip, 1, n,
		"listen.front="+front, "listen.readiness="+f.address(ip, portReady), "listen.control="+f.address(ip, portControl))
	if m != nil {
		m.front = front
		f.entries = append(f.entries, m)
	}
	return err
}

func (f *fleet) agent(ctx context.Context, n int) error {
	ip := f.ip(2, n)
	h := &host{control: f.address(ip, portControl), pool: f.pool, number: n}
	h.renew()
	behind, app := f.address(ip, portBehind), f.address(ip, portRunner)
	if err := f.serve(behind, h); err != nil {
		return err
	}
	var err error
	if h.proxy, err = newProxy(app, behind); err != nil {
		return err
	}
	m, err := f.member(fmt.Sprintf("agent%d", n), "agent", ip, 2, n, "listen.control="+h.control, "app="+app)
	if m != nil {
		m.host = h
		f.agents = append(f.agents, m)
	}
	if err != nil {
		return err
	}
	f.group.Go(func() error {
		return timer.Every(ctx, timer.Host{}, beatTime, func(context.Context) error {
			_ = h.runner.Load().Beat(h.control, "ledger", false) // The agent may be down.
			return nil
		})
	})
	f.group.Go(func() error {
		return timer.Every(ctx, timer.Host{}, tickTime, func(context.Context) error {
			h.runner.Load().Tick()
			return nil
		})
	})
	return nil
}

// close ends all that the fleet started; the context must have ended.
func (f *fleet) close() error {
	for _, m := range append(append([]*member(nil), f.entries...), f.agents...) {
		m.proc.end(syscall.SIGKILL)
		m.store.close()
		if m.host != nil {
			m.host.proxy.close()
		}
	}
	for _, s := range f.servers {
		s.Close()
	}
	return f.group.Wait()
}

// fault does something for the span and takes it back. It holds the member, so
// that two faults of one process do not cross; faults of different ones do.
func (f *fleet) fault(ctx context.Context, rnd *rand.Rand) string {
	m, role := f.agents[rnd.IntN(len(f.agents))], "agent"
	if rnd.IntN(2) == 0 {
		m, role = f.entries[rnd.IntN(len(f.entries))], "entry"
	}
	span := time.Duration(200+rnd.IntN(3300)) * time.Millisecond
	do := rnd.IntN(12)
	if !m.mu.TryLock() {
		return ""
	}
	name := f.apply(ctx, m, do, span)
	return fmt.Sprintf("%s %s %s for %s", role, m.proc.name, name, span)
}

// restart ends a process and starts it again after the span.
func (f *fleet) restart(ctx context.Context, m *member, s syscall.Signal, span time.Duration) {
	m.proc.end(s)
	wait(ctx, span)
	if err := m.proc.start(); err != nil {
		f.opts.Log.Error("process does not start again", "process", m.proc.name, "error", err)
	}
}

// wait waits for the span or the end of the context.
func wait(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// apply starts a fault that ends by itself and unlocks the member.
func (f *fleet) apply(ctx context.Context, m *member, do int, span time.Duration) string {
	through := func(p *proxy, to mode) func() {
		return func() {
			p.set(to)
			wait(ctx, span)
			p.set(pass)
		}
	}
	name, run := "", func() {}
	runner := m.store
	if m.host != nil {
		runner = m.host.proxy
	}
	switch do {
	case 0, 1:
		name, run = "killed", func() { f.restart(ctx, m, syscall.SIGKILL, span) }
	case 2:
		name, run = "terminated", func() { f.restart(ctx, m, syscall.SIGTERM, span) }
	case 3, 4:
		name, run = "paused", func() {
			m.proc.pause(true)
			wait(ctx, span)
			m.proc.pause(false)
		}
	case 5:
		name, run = "cut off from the store", through(m.store, cut)
	case 6:
		name, run = "without the store's answers", through(m.store, deaf)
	case 7:
		name, run = "silent towards the store", through(m.store, silent)
	case 8:
		name, run = "slow towards the store", through(m.store, slow)
	case 9:
		name, run = "without its runner's answers", through(runner, deaf)
	case 10:
		name, run = "cut off from its runner", through(runner, cut)
	case 11:
		name, run = "with a new runner", func() {
			if m.host != nil {
				m.host.renew()
			}
		}
	}
	f.faults.Add(1)
	f.group.Go(func() error {
		defer f.faults.Done()
		defer m.mu.Unlock()
		run()
		return nil
	})
	return name
}
