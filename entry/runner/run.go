// Package runner joins the parts of an entry into a process. The program
// entry, the tests and "stand try" call Run alike.
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
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/dialer"
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

// Times of an entry.
const (
	storeTimeout = 2 * cowslipbend.Second
	syncPeriod   = cowslipbend.Second / 2
	syncTimeout  = cowslipbend.Second
	configPeriod = cowslipbend.Second
	memberPeriod = 5 * cowslipbend.Second
	peerSilence  = 2 * cowslipbend.Second
	agentSilence = 3 * cowslipbend.Second
	closeTimeout = 2 * cowslipbend.Second
	handTimeout  = 2 * cowslipbend.Second
	warmTime     = 4 * cowslipbend.Second // in which agents find a new entry
	trimPeriod   = cowslipbend.Minute
)

// Entry is a running entry.
type Entry struct {
	settings      Settings
	clock         cowslipbend.Clock
	log           hclog.Logger
	life          cowslipbend.Incarnation
	store         *storer.Client
	track         *tracker.Tracker
	config        *publisher.Holder
	configs       publisher.Store
	limits        *limiter.Limiter
	router        *router.Router
	claims        *router.TableClaims
	receiver      *receiver.Receiver
	owners        *scheduler.Owners
	vows          *leaser.Witnesses
	administrator *administrator.Administrator
	burn          *reporter.Recorder
	metrics       *metrics
	main          *server.Server
	http          *http.Client
	leaving       atomic.Bool
	mu            sync.Mutex
	// refusals counts, by life, the calls in a row that found nobody listening.
	refusals map[cowslipbend.Incarnation]int
	// live are the other entries that lived at the last look.
	live   []journaler.Witness
	began  cowslipbend.Time
	joined atomic.Bool
	killed chan struct{}
}

// Run runs an entry until the context ends, then drains it.
func Run(ctx context.Context, s Settings, clock cowslipbend.Clock, log hclog.Logger) error {
	e, err := New(s, clock, log)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// New opens the listener of an entry. All faults of the settings are reported
// at once.
func New(s Settings, clock cowslipbend.Clock, log hclog.Logger) (*Entry, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	e := &Entry{
		vows: leaser.NewWitnesses(), refusals: map[cowslipbend.Incarnation]int{},
		settings: s, clock: clock, log: log, life: cowslipbend.Incarnation(cowslipbend.DrawID()),
		store: storer.New(s.Store, storeTimeout), track: tracker.New(clock, s.Domain),
		config: publisher.NewHolder(s.Secret, log), limits: limiter.New(clock), http: dialer.Pooled(s.Secret),
		killed: make(chan struct{}), began: clock.Now(),
	}
	e.configs = publisher.Store{Table: e.store, Objects: e.store.Objects()}
	policy, err := router.Policy(s.Routing)
	if err != nil {
		return nil, err
	}
	opts := router.Defaults()
	opts.Secret = s.Secret
	opts.RetryPercent = s.Retries
	e.claims = router.NewClaims(e.store, clock)
	e.router = router.New(e.track, policy, e.claims, opts, clock, log)
	e.burn = reporter.NewRecorder(s.ID, e.life, e.store, clock, log)
	e.config.OnChange(func(_ cowslipbend.Revision, set *cowslipbend.Set) { e.burn.SetServices(set) })
	e.config.OnChange(func(_ cowslipbend.Revision, set *cowslipbend.Set) { e.limits.Declare(set.Limits) })
	handler := &lateHandler{}
	if e.main, err = server.ListenWrapped(s.Listen, s.Wrap, handler); err != nil {
		return nil, err
	}
	e.build()
	e.metrics = newMetrics(e)
	handler.Handler = e.handler()
	return e, nil
}

// lateHandler is set once the listener's address is known.
type lateHandler struct{ http.Handler }

// build makes the parts that need the entry's address.
func (e *Entry) build() {
	self := journaler.Witness{ID: e.settings.ID, URL: e.URL(), Life: e.life}
	store := journaler.Store{Table: e.store, Objects: e.store.Objects()}
	terms := leaser.Defaults()
	terms.Length, terms.Cap = e.settings.Lease, e.settings.Cap
	e.owners = scheduler.NewOwners(self, store, e, &sender{entry: e}, e.config, terms, e.clock, e.log)
	e.administrator = administrator.New(e.peer(), e.track, e.config, e.configs, e.owners, e.burn, e.clock, e.settings.Secret, e.log)
}

func (e *Entry) peer() tracker.Peer {
	return tracker.Peer{
		ID: e.settings.ID, URL: e.URL(), Domain: e.settings.Domain, Life: e.life,
		Leaving: e.leaving.Load(), Revision: e.config.Revision(),
	}
}

// URL returns the entry's base URL.
func (e *Entry) URL() string { return e.main.URL() }

func (e *Entry) handler() http.Handler {
	ec := echo.New()
	ec.HideBanner = true
	e.receiver = receiver.New(e.router, e.limits, e.config, e.count, e.log)
	e.receiver.Register(ec)
	e.administrator.Register(ec)
	mux := http.NewServeMux()
	mux.Handle("/", ec)
	rpc := control.NewEntryServer(&calls{entry: e})
	mux.Handle(rpc.PathPrefix(), server.Guard(e.settings.Secret, rpc))
	conf := control.NewConfigServer(e.config)
	mux.Handle(conf.PathPrefix(), server.Guard(e.settings.Secret, conf))
	server.Ops(mux, e.metrics.registry, e.ready)
	return mux
}

// ready tells the balancer whether to send callers. A new entry waits until it
// has heard the agents of each declared service, or for as long as they take
// to find it: until then it would refuse what others can serve.
func (e *Entry) ready() error {
	if e.leaving.Load() {
		return cowslipbend.Fail(cowslipbend.KindLeaving, "entry is shutting down", "send callers to another entry")
	}
	if e.config.Revision() == 0 {
		return cowslipbend.Fail(cowslipbend.KindDown, "no configuration is in force", "publish one, or wait for the store")
	}
	if e.clock.Now().Sub(e.began) < warmTime && !e.served() {
		return cowslipbend.Fail(cowslipbend.KindDown, "agents have not been heard yet", "wait a few seconds")
	}
	return nil
}

// served reports whether as many agents as there are replicas were heard of
// each declared service.
func (e *Entry) served() bool {
	_, set := e.config.Set()
	for i := range set.Services {
		s := &set.Services[i]
		if len(e.track.Targets(s.Name)) < s.Replicas {
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
	for _, p := range e.track.Live(peerSilence) {
		ids = append(ids, p.ID)
	}
	return ids
}

// Run serves until the context ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(e.main.Run)
	g.Go(func() error { return e.config.Run(work) })
	g.Go(func() error { return e.owners.Run(work) })
	g.Go(func() error { return timer.Every(work, e.clock, syncPeriod, e.sync) })
	g.Go(func() error { return timer.Every(work, e.clock, configPeriod, e.refresh) })
	g.Go(func() error { return e.enrol(work) })
	g.Go(func() error { return e.claims.Run(work) })
	g.Go(func() error { return timer.Every(work, e.clock, trimPeriod, e.trim) })
	g.Go(func() error { return e.burn.Run(work) })
	g.Go(func() error {
		select {
		case <-work.Done():
		case <-e.killed:
			stop()
			return nil
		case <-ctx.Done():
			e.drain(work)
		}
		e.shutdown()
		stop()
		return nil
	})
	e.log.Info("entry runs", "entry", e.settings.ID, "life", e.life, "url", e.URL())
	return g.Wait()
}

// drain fails readiness, still serves for the balancer's delay, and tells the
// other entries.
func (e *Entry) drain(ctx context.Context) {
	e.leaving.Store(true)
	e.handOver(ctx)
	_ = e.sync(ctx)
	timer.Sleep(ctx, e.clock, e.settings.Delay)
}

// handOver gives all pools up, for at most handTimeout; those that the store
// does not let go are taken over as after a crash.
func (e *Entry) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handTimeout.Duration())
	defer cancel()
	e.owners.Leave(ctx)
}

// shutdown lets the requests in flight finish and closes what is open.
func (e *Entry) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), (e.settings.Drain + closeTimeout).Duration())
	defer cancel()
	watches := time.AfterFunc(e.settings.Drain.Duration(), e.receiver.EndWatches)
	defer watches.Stop()
	e.main.Shutdown(ctx)
	e.router.Close()
	e.administrator.Close()
	e.http.CloseIdleConnections()
	e.store.Close()
}

// Kill stops the entry at once, as a crash would: nothing is drained or handed
// over. It must be called once. For tests.
func (e *Entry) Kill() {
	close(e.killed)
	e.main.Close()
}

// refresh reads the head of the configuration and installs a newer set.
func (e *Entry) refresh(ctx context.Context) error {
	head, _, err := e.configs.ReadHead(ctx)
	if err != nil || head.Revision <= e.config.Revision() {
		return nil //nolint:nilerr // The store is out; peers bring newer sets.
	}
	raw, err := e.configs.LoadSet(ctx, head)
	if err == nil {
		err = e.config.Install(head.Revision, raw)
	}
	if err != nil {
		e.log.Warn("configuration was not loaded", "revision", head.Revision, "error", err)
	}
	return nil
}
