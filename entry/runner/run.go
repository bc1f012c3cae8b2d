// Package runner assembles the components of an entry into a process on the
// stand-ins for the platform. The program entry, the tests and "stand try" use
// it.
package runner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/cordoner"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/recoverer"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/limiter"
	"cowslipbend.dev/publisher"
	"cowslipbend.dev/receiver"
	"cowslipbend.dev/reporter"
	"cowslipbend.dev/router"
	"cowslipbend.dev/scheduler"
	"cowslipbend.dev/storer"
	"cowslipbend.dev/timer"
	"cowslipbend.dev/tracker"
)

// Intervals and timeouts of an entry.
const (
	storeTimeout       = 2 * cowslipbend.Second
	syncInterval       = cowslipbend.Second / 2
	syncTimeout        = cowslipbend.Second
	configPollInterval = cowslipbend.Second
	memberPollInterval = 5 * cowslipbend.Second
	peerTimeout        = 2 * cowslipbend.Second
	agentTimeout       = 3 * cowslipbend.Second
	closeTimeout       = 2 * cowslipbend.Second
	handOverTimeout    = 2 * cowslipbend.Second
	warmUpTimeout      = 4 * cowslipbend.Second // for agents to find a new entry
	trimInterval       = cowslipbend.Minute
)

// Entry is a running entry.
type Entry struct {
	settings      Settings
	clock         cowslipbend.Clock
	log           hclog.Logger
	life          cowslipbend.Incarnation
	store         *storer.Client
	tracker       *tracker.Tracker
	config        *publisher.Holder
	configStore   publisher.Store
	domains       *cordoner.Cordoner
	limits        *limiter.Limiter
	router        *router.Router
	claims        *router.TableClaims
	receiver      *receiver.Receiver
	owners        *scheduler.Owners
	witnesses     *leaser.Witnesses
	administrator *administrator.Administrator
	recorder      *reporter.Recorder
	metrics       *metrics
	server        *server.Server
	http          *http.Client
	leaving       atomic.Bool
	mu            sync.Mutex
	// refusedDials counts consecutive calls that were refused a connection, by
	// the incarnation of the called entry.
	refusedDials map[cowslipbend.Incarnation]int
	// liveWitnesses are the other live entries as of the last sync.
	liveWitnesses []journaler.EntryRef
	startedAt     cowslipbend.Time
	joined        atomic.Bool
	killed        chan struct{}
}

// Run runs an entry until the context ends, then drains it.
func Run(ctx context.Context, s Settings, clock cowslipbend.Clock, log hclog.Logger) error {
	e, err := New(s, clock, log)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// New creates an entry and opens its listener. It reports all faults of the
// settings at once.
func New(s Settings, clock cowslipbend.Clock, log hclog.Logger) (*Entry, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	e := &Entry{
		witnesses: leaser.NewWitnesses(), refusedDials: map[cowslipbend.Incarnation]int{},
		settings: s, clock: clock, log: log, life: cowslipbend.Incarnation(cowslipbend.DrawID()),
		store: storer.New(s.Store, storeTimeout), tracker: tracker.New(clock, s.Domain),
		config: publisher.NewHolder(s.Secret, log), limits: limiter.New(clock), http: dialer.Pooled(s.Secret),
		killed: make(chan struct{}), startedAt: clock.Now(),
	}
	e.domains = cordoner.New(administrator.DomainSource(), clock.Now(), log.Named("cordoner"))
	e.configStore = publisher.Store{Table: e.store, Objects: e.store.Objects()}
	policy, err := router.Policy(s.Routing)
	if err != nil {
		return nil, err
	}
	opts := router.Defaults()
	opts.Secret = s.Secret
	opts.RetryPercent = s.RetryPercent
	opts.DomainOut = e.domains.Has
	e.claims = router.NewClaims(e.store, clock)
	e.router = router.New(e.tracker, policy, e.claims, opts, clock, log)
	e.recorder = reporter.NewRecorder(s.ID, e.life, e.store, clock, log)
	e.config.OnChange(func(_ cowslipbend.Revision, set *cowslipbend.Set) { e.recorder.SetServices(set) })
	e.config.OnChange(func(_ cowslipbend.Revision, set *cowslipbend.Set) { e.limits.Declare(set.Limits) })
	handler := &deferredHandler{}
	bounds := bounder.NewGroup(clock, log.Named("bounder"))
	limits := bounder.Limits{Name: "entry", Conns: s.MaxConns, Bodies: s.MaxBodies}
	if e.server, err = server.Open(server.Address{Addr: s.Listen, Handler: handler, Bounds: bounds.Add(limits), Wrap: s.Wrap}); err != nil {
		return nil, err
	}
	e.buildWithURL()
	e.metrics = newMetrics(e)
	e.metrics.registry.MustRegister(bounds)
	handler.Handler = recoverer.Handler("request", log, e.metrics.panics, e.handler())
	e.owners.Guard = func(part string, f func() error) error { return recoverer.Call(part, log, e.metrics.panics, f) }
	return e, nil
}

// deferredHandler is a handler that is set after the listener has been opened,
// because the components behind it need the listener's address.
type deferredHandler struct{ http.Handler }

// buildWithURL creates the components that need the entry's URL.
func (e *Entry) buildWithURL() {
	self := journaler.EntryRef{ID: e.settings.ID, URL: e.URL(), Life: e.life}
	store := journaler.Store{Table: e.store, Objects: e.store.Objects()}
	terms := leaser.Defaults()
	terms.Length, terms.Cap = e.settings.LeaseLength, e.settings.LeaseCap
	e.owners = scheduler.NewOwners(self, store, e, &orderSender{entry: e}, e.config, terms, e.clock, e.log)
	e.owners.SetDomains(&domainView{e.domains, e.clock})
	e.administrator = administrator.New(e.self(), e.tracker, e.config, e.configStore, e.owners, e.domains, e.recorder, e.clock, e.settings.Secret, e.log)
}

func (e *Entry) self() tracker.Peer {
	return tracker.Peer{
		ID: e.settings.ID, URL: e.URL(), Domain: e.settings.Domain, Life: e.life,
		Leaving: e.leaving.Load(), Revision: e.config.Revision(),
	}
}

// URL returns the entry's base URL.
func (e *Entry) URL() string { return e.server.URL() }

func (e *Entry) handler() http.Handler {
	ec := echo.New()
	ec.HideBanner = true
	e.receiver = receiver.New(e.router, e.limits, e.config, e.countRequest, e.log)
	e.receiver.Register(ec)
	e.administrator.Register(ec)
	mux := http.NewServeMux()
	mux.Handle("/", ec)
	rpc := control.NewEntryServer(&entryService{entry: e})
	mux.Handle(rpc.PathPrefix(), server.Guard(e.settings.Secret, rpc))
	conf := control.NewConfigServer(e.config)
	mux.Handle(conf.PathPrefix(), server.Guard(e.settings.Secret, conf))
	server.HandleOps(mux, e.metrics.registry, e.ready)
	return mux
}

// ready returns the reason why the load balancer must not send callers to this
// entry, or nil if it may. A new entry is not ready until it knows the replicas
// of each declared service or warmUpTimeout has passed: before that it would
// refuse requests that other entries can serve.
func (e *Entry) ready() error {
	if e.leaving.Load() {
		return cowslipbend.Fail(cowslipbend.KindLeaving, "entry is shutting down", "send callers to another entry")
	}
	if e.config.Revision() == 0 {
		return cowslipbend.Fail(cowslipbend.KindDown, "no configuration is in force", "publish one, or wait for the store")
	}
	if e.clock.Now().Sub(e.startedAt) < warmUpTimeout && !e.hasAllReplicas() {
		return cowslipbend.Fail(cowslipbend.KindDown, "heartbeats of some declared replicas have not arrived yet", "wait a few seconds")
	}
	return nil
}

// hasAllReplicas reports whether each declared service has at least as many
// targets as replicas.
func (e *Entry) hasAllReplicas() bool {
	_, set := e.config.Set()
	for i := range set.Services {
		s := &set.Services[i]
		if len(e.tracker.Targets(s.Name)) < s.Replicas {
			return false
		}
	}
	return true
}

// LiveEntries returns the ids of the live entries, this one included unless
// it is leaving.
func (e *Entry) LiveEntries() []cowslipbend.EntryID {
	var ids []cowslipbend.EntryID
	if !e.leaving.Load() {
		ids = append(ids, e.settings.ID)
	}
	for _, p := range e.tracker.Live(peerTimeout) {
		ids = append(ids, p.ID)
	}
	return ids
}

// Run serves until the context ends, then drains the entry.
func (e *Entry) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, workCtx := errgroup.WithContext(workCtx)
	g.Go(e.server.Run)
	g.Go(func() error { return e.config.Run(workCtx) })
	g.Go(func() error { return e.owners.Run(workCtx) })
	g.Go(func() error { return timer.Every(workCtx, e.clock, syncInterval, e.guarded("sync", e.syncPeers)) })
	g.Go(func() error {
		return timer.Every(workCtx, e.clock, configPollInterval, e.guarded("config", e.refreshConfig))
	})
	g.Go(func() error {
		return timer.Every(workCtx, e.clock, domainPollInterval, e.guarded("domains", e.readDomains))
	})
	g.Go(func() error { return e.maintainMembership(workCtx) })
	g.Go(func() error { return e.claims.Run(workCtx) })
	g.Go(func() error { return timer.Every(workCtx, e.clock, trimInterval, e.guarded("claims", e.trimClaims)) })
	g.Go(func() error { return e.recorder.Run(workCtx) })
	g.Go(func() error {
		select {
		case <-workCtx.Done():
		case <-e.killed:
			stop()
			return nil
		case <-ctx.Done():
			e.drain(workCtx)
		}
		e.shutdown()
		stop()
		return nil
	})
	e.log.Info("entry started", "entry", e.settings.ID, "life", e.life, "url", e.URL())
	return g.Wait()
}

// guarded returns a periodic function that calls another one. A panic of that is
// logged and counted, and it is called again when it is due.
func (e *Entry) guarded(part string, f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		var err error
		_ = recoverer.Call(part, e.log, e.metrics.panics, func() error { // The error is that of a panic, which is logged.
			err = f(ctx)
			return nil
		})
		return err
	}
}

// drain fails the readiness check, hands the pools over, tells the other
// entries, and keeps serving until the load balancer has noticed.
func (e *Entry) drain(ctx context.Context) {
	e.leaving.Store(true)
	e.handOverPools(ctx)
	_ = e.syncPeers(ctx)
	timer.Sleep(ctx, e.clock, e.settings.BalancerDelay)
}

// handOverPools gives up the ownership of all pools, for at most
// handOverTimeout. Pools that are not released in the store by then are taken
// over as after a crash.
func (e *Entry) handOverPools(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout.Duration())
	defer cancel()
	e.owners.Leave(ctx)
}

// shutdown waits for requests in flight, for at most the drain time, and closes
// the server and all connections.
func (e *Entry) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), (e.settings.DrainTimeout + closeTimeout).Duration())
	defer cancel()
	watchTimer := time.AfterFunc(e.settings.DrainTimeout.Duration(), e.receiver.EndWatches)
	defer watchTimer.Stop()
	e.server.Shutdown(ctx)
	e.router.Close()
	e.administrator.Close()
	e.http.CloseIdleConnections()
	e.store.Close()
}

// Kill stops the entry like a crash, without draining or handing over its
// pools, for tests. It must be called at most once.
func (e *Entry) Kill() {
	close(e.killed)
	e.server.Close()
}

// refreshConfig reads the head of the configuration from the store and installs
// the set if its revision is newer.
func (e *Entry) refreshConfig(ctx context.Context) error {
	head, _, err := e.configStore.ReadHead(ctx)
	if err != nil || head.Revision <= e.config.Revision() {
		return nil //nolint:nilerr // While the store is unavailable, peers supply newer sets.
	}
	raw, err := e.configStore.LoadSet(ctx, head)
	if err == nil {
		err = e.config.Install(head.Revision, raw)
	}
	if err != nil {
		e.log.Warn("cannot load configuration, keeping the current one", "revision", head.Revision, "error", err)
	}
	return nil
}
