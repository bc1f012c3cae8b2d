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
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/stand/hostrunner"
	"cowslipbend.dev/stand/launcher"
	"cowslipbend.dev/stand/metastore"
)

// Ports of a run, as offsets from its base port.
const (
	portInternal = iota
	portFront
	portReady
	portControl
	portRunnerProxy
	portRunnerTarget // runner, behind its proxy on portRunnerProxy
	portStore
	portStoreProxy // each process's proxy to the store
)

// Loopback networks of a run. Each machine has an address in the network of its kind, and
// its process is reached at one in the network after it, through a proxy.
const (
	netStore = iota
	netEntries
	netAgents
	netEntryStore
	netAgentStore
	netEntryProxies
	netAgentProxies
)

// Timing of the stand-ins.
const (
	// evacuationBound is the time after the store's answer to the operator's request
	// from which nothing may start in a domain that is out of service.
	evacuationBound    = 5 * cowslipbend.Second
	heartbeatInterval  = 1100 * cowslipbend.Millisecond // between heartbeats of a runner
	foreignInterval    = 100 * time.Millisecond         // between heartbeats of other writers
	leaseCheckInterval = 20 * cowslipbend.Millisecond   // between checks for lapsed leases
)

const (
	// narrowRate is the bandwidth between the store and every second entry in bytes per
	// second, 2 Mbit/s.
	narrowRate = 2_000_000 / 8
	// rulesChanges is how often the rules change during a run. Each change adds
	// addedQueues, until the rules need three seconds over narrowRate.
	rulesChanges = 3
	addedQueues  = 1400
)

// A slow runner takes slowdown times as long for its tasks, for minSlowTime at least:
// progress is compared over some of the reports, which come twice a second.
const (
	slowdown    = 10
	minSlowTime = 2 * time.Second
)

// domains are the failure domains, over which entries and agents are spread.
var domains = []string{"z0", "z1", "z2"}

// domainOf returns the failure domain of an entry or agent.
func domainOf(n int) string { return domains[n%len(domains)] }

// taskDurations are the run times of tasks. Successive incarnations of a runner
// use them in turn, so that some tasks end before a lost owner is replaced and
// others are still running then.
var taskDurations = []cowslipbend.Span{
	200 * cowslipbend.Millisecond, 600 * cowslipbend.Millisecond, 1500 * cowslipbend.Millisecond, 4 * cowslipbend.Second,
}

// restartDurations are the run times where only runners restart. The longer ones outlast all
// leases.
var restartDurations = []cowslipbend.Span{300 * cowslipbend.Millisecond, 12 * cowslipbend.Second, 12 * cowslipbend.Second}

// leaseLimits are the longest leases of the runners, which the runs have in turn. An owner
// grants leases of 6 s at most.
var leaseLimits = []cowslipbend.Span{6 * cowslipbend.Second, 10 * cowslipbend.Second}

// member is a process with its proxies. The lock is held while a fault acts on
// it.
type member struct {
	mu         sync.Mutex
	proc       *launcher.Process
	storeProxy *proxy
	// inbound is the proxy before its internal address, at the advertised one.
	inbound *proxy
	// front is the address at which an entry serves callers; empty for an agent.
	front string
	// host runs the runner of an agent; nil for an entry.
	host *host
}

// fleet holds the stand-ins of the platform and the processes that use them.
type fleet struct {
	opts    Options
	store   *metastore.Store
	pool    *hostrunner.Pool
	entries []*member
	agents  []*member
	// machines counts those with agents that have ever been.
	machines int
	servers  []*server.Server
	group    errgroup.Group
	// activeFaults counts the faults that are in effect.
	activeFaults sync.WaitGroup
}

func (f *fleet) address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, f.opts.BasePort+port)
}

// netMachines is the number of machines of one kind in a loopback network, and netKinds how many
// networks later those beyond it are.
const netMachines, netKinds = 250, 8

// ip returns a loopback address of its own for each machine.
func (f *fleet) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+f.opts.Seed%100, kind+n/netMachines*netKinds, n%netMachines+1)
}

// serve runs a handler until the server is closed.
func (f *fleet) serve(addr string, h http.Handler) (*server.Server, error) {
	s, err := server.Listen(addr, h)
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, s)
	f.group.Go(s.Run)
	return s, nil
}

// newFleet starts the stand-ins and all processes. On an error it returns what
// it has started.
func newFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{opts: o, store: metastore.New(), pool: hostrunner.NewPool()}
	f.pool.ExpectSteps(stepTasks...)
	if err := f.publishRules(ctx, 0, baseRoute); err != nil {
		return f, err
	}
	if o.Replacements {
		f.store.SetMaxRow(replacedRow)
	}
	if _, err := f.serve(f.address(f.ip(netStore, 0), portStore), f.store.Handler()); err != nil {
		return f, err
	}
	for i := range o.Entries {
		if err := f.startEntry(i); err != nil {
			return f, err
		}
	}
	for i := range o.Agents {
		if err := f.startAgent(ctx, i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// publishRules publishes operator rules with a route for each prefix, after a number of
// changes that added other queues.
func (f *fleet) publishRules(ctx context.Context, changes int, prefixes ...string) error {
	for i := range changes * addedQueues {
		prefixes = append(prefixes, fmt.Sprintf("/other%05d/", i))
	}
	var routes []string
	for i, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"q%d","host":"jobs.example","path_prefix":"%s","service":"ledger","target_latency_ms":250,"max_attempts":5,"stretch":1.5}`, i, prefix))
	}
	value := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"ledger","rejects_overload":true}],"limits":{"max_body_bytes":65536}}`, changes+1, strings.Join(routes, ","))
	_, err := f.store.Table().Commit(ctx, cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: "op/config", Value: []byte(value)}}})
	return err
}

// maxLease returns the longest lease of the runners.
func (f *fleet) maxLease() cowslipbend.Span { return leaseLimits[f.opts.Seed%len(leaseLimits)] }

// durations returns the run times of tasks.
func (f *fleet) durations() []cowslipbend.Span {
	if f.opts.Restarts {
		return restartDurations
	}
	return taskDurations
}

// settings returns the settings that all processes share.
func (f *fleet) settings(name, ip, domain, storeAddr string) []string {
	var seeds []string
	for i := range min(f.opts.Entries, 3) {
		seeds = append(seeds, f.address(f.ip(netEntryProxies, i), portControl))
	}
	s := launcher.Settings{
		Node: name, IP: ip, Domain: domain, Port: f.opts.BasePort, Seeds: seeds, Store: storeAddr, MemoryMB: 152, MaxLease: f.maxLease(),
	}
	if f.opts.Replacements {
		s.MaxRow = replacedRow
	}
	shared := s.Lines()
	if f.opts.hasAllFaults() {
		shared = append(shared, "bounds.evacuate_ms="+strconv.FormatInt(int64(evacuationBound), 10))
	}
	return shared
}

// startMember starts a process of the network behind a proxy to the store with a bandwidth,
// and a proxy before its internal address.
func (f *fleet) startMember(name, bin string, network, n, rate int, extra ...string) (*member, error) {
	ip, storeAddr := f.ip(network, n), f.address(f.ip(network+netEntryStore-netEntries, n), portStoreProxy)
	store, err := newProxy(storeAddr, f.address(f.ip(netStore, 0), portStore), rate)
	if err != nil {
		return nil, err
	}
	m, advertised := &member{storeProxy: store}, f.address(f.ip(network+netEntryProxies-netEntries, n), portInternal)
	if m.inbound, err = newProxy(advertised, f.address(ip, portInternal), 0); err != nil {
		store.close()
		return nil, err
	}
	m.proc, err = launcher.New(name, filepath.Join(f.opts.Bin, bin), f.opts.Dir, advertised, append(f.settings(name, ip, domainOf(n), storeAddr), extra...))
	if err != nil {
		return m, err
	}
	return m, m.proc.Start()
}

func (f *fleet) startEntry(n int) error {
	ip := f.ip(netEntries, n)
	front := f.address(ip, portFront)
	m, err := f.startMember(fmt.Sprintf("entry%d", n), "entry", netEntries, n, n%2*narrowRate,
		"listen.front="+front, "listen.readiness="+f.address(ip, portReady), "listen.control="+f.address(ip, portControl))
	if m != nil {
		m.front = front
		f.entries = append(f.entries, m)
	}
	return err
}

func (f *fleet) startAgent(ctx context.Context, n int) error {
	f.machines = max(f.machines, n+1)
	ip := f.ip(netAgents, n)
	h := &host{control: f.address(ip, portControl), pool: f.pool, number: n, durations: f.durations(), maxLease: f.maxLease()}
	ctx, h.end = context.WithCancel(ctx)
	h.startRunner()
	targetAddr, proxyAddr := f.address(ip, portRunnerTarget), f.address(ip, portRunnerProxy)
	var err error
	if h.server, err = f.serve(targetAddr, h); err != nil {
		return err
	}
	if h.runnerProxy, err = newProxy(proxyAddr, targetAddr, 0); err != nil {
		return err
	}
	m, err := f.startMember(fmt.Sprintf("agent%d", n), "agent", netAgents, n, 0, "listen.control="+h.control, "app="+proxyAddr)
	if m != nil {
		m.host = h
		f.agents = append(f.agents, m)
	}
	if err != nil {
		return err
	}
	f.group.Go(func() error { return h.beat(ctx) })
	f.group.Go(func() error { return h.endDueRuns(ctx) })
	return nil
}

// close kills the processes and stops the stand-ins.
func (f *fleet) close() error {
	for _, m := range append(append([]*member(nil), f.entries...), f.agents...) {
		m.proc.SignalAndWait(syscall.SIGKILL)
		m.storeProxy.close()
		m.inbound.close()
		if m.host != nil {
			m.host.end()
			m.host.runnerProxy.close()
		}
	}
	for _, s := range f.servers {
		s.Close()
	}
	return f.group.Wait()
}

// startRandomFault starts a random fault of a random process and returns its
// description, or an empty string if that process has a fault already. Faults
// of one process do not overlap, those of different processes do.
func (f *fleet) startRandomFault(ctx context.Context, rnd *rand.Rand) string {
	m, role := f.agents[rnd.IntN(len(f.agents))], "agent"
	if rnd.IntN(2) == 0 {
		m, role = f.entries[rnd.IntN(len(f.entries))], "entry"
	}
	span := time.Duration(200+rnd.IntN(3300)) * time.Millisecond
	kind, p := rnd.IntN(faultKinds), randomPartition(rnd)
	if !m.mu.TryLock() {
		return ""
	}
	if kind >= firstHoldKind {
		return fmt.Sprintf("%s %s %s", role, m.proc.Name, f.startHold(ctx, m, kind, p))
	}
	return fmt.Sprintf("%s %s %s for %s", role, m.proc.Name, f.startFault(ctx, m, kind, span), span)
}

// restart ends a process with the signal and starts it again after the span.
func (f *fleet) restart(ctx context.Context, m *member, s syscall.Signal, span time.Duration) {
	m.proc.SignalAndWait(s)
	sleep(ctx, span)
	f.startAgain(m)
}

func (f *fleet) startAgain(m *member) {
	if err := m.proc.Start(); err != nil {
		f.opts.Log.Error("process failed to restart; it stays down for the rest of the run", "process", m.proc.Name, "error", err)
	}
}

// sleep returns after the span, or earlier if the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// startFault starts a fault of the locked member and returns its name. The
// fault is reverted after the span, and the member is then unlocked.
func (f *fleet) startFault(ctx context.Context, m *member, kind int, span time.Duration) string {
	withProxyMode := func(p *proxy, to mode) func() {
		return func() {
			p.setMode(to)
			sleep(ctx, span)
			p.setMode(modeForward)
		}
	}
	var name string
	var run func()
	runnerProxy := m.storeProxy
	if m.host != nil {
		runnerProxy = m.host.runnerProxy
	}
	switch kind {
	case 0, 1:
		name, run = "killed", func() { f.restart(ctx, m, syscall.SIGKILL, span) }
	case 2:
		name, run = "terminated", func() { f.restart(ctx, m, syscall.SIGTERM, span) }
	case 3, 4:
		name, run = "paused", func() {
			m.proc.SetPaused(true)
			sleep(ctx, span)
			m.proc.SetPaused(false)
		}
	case 5:
		name, run = "cut off from the store", withProxyMode(m.storeProxy, modeReset)
	case 6:
		name, run = "without the store's answers", withProxyMode(m.storeProxy, modeDropAnswers)
	case 7:
		name, run = "silent towards the store", withProxyMode(m.storeProxy, modeDropAll)
	case 8:
		name, run = "slow towards the store", withProxyMode(m.storeProxy, modeDelay)
	case 9:
		name, run = "without its runner's answers", withProxyMode(runnerProxy, modeDropAnswers)
	case 10:
		name, run = "cut off from its runner", withProxyMode(runnerProxy, modeReset)
	default:
		name, run = m.hostFault(ctx, kind, span)
	}
	f.runFault(m, run)
	return name
}

// runFault runs a fault of the locked member and unlocks it after that.
func (f *fleet) runFault(m *member, run func()) {
	f.activeFaults.Add(1)
	f.group.Go(func() error {
		defer f.activeFaults.Done()
		defer m.mu.Unlock()
		defer m.host.disturb(0)()
		run()
		return nil
	})
}

// hostFault returns the name of a fault on the host of an agent, and what carries it out
// and reverts it. It does nothing at an entry.
func (m *member) hostFault(ctx context.Context, kind int, span time.Duration) (name string, run func()) {
	switch kind {
	case 11:
		name, run = "with a new runner", func() { m.host.replaceRunner() }
	case 12:
		name, run = "with a slow runner", func() {
			m.host.setSlowdown(slowdown)
			sleep(ctx, minSlowTime+span)
			m.host.setSlowdown(1)
		}
	case 13:
		name, run = "with heartbeats of another writer", func() { m.host.sendForeignHeartbeats(ctx, span) }
	}
	if m.host == nil {
		run = func() {}
	}
	return name, run
}
