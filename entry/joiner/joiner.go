// Package joiner assembles the components of an entry into a process on the
// users' platform. Package runner does the same on the stand-ins for the
// platform.
package joiner

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/cordoner"
	"cowslipbend.dev/elector"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/intaker"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/meter"
	"cowslipbend.dev/internal/recoverer"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/planner"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/reserver"
	"cowslipbend.dev/ruler"
	"cowslipbend.dev/timer"
)

// Lease and shutdown times of an entry.
const (
	// leaseDenominator is the part of a lease that is added to it for slow clocks.
	leaseDenominator = 10
	// maxUnconfirmed is how long an owner grants leases without confirmation
	// by the store. Together with the lease, tasks survive a store outage of
	// nine seconds. A new owner waits as long before it gives up the runs of a
	// host that it cannot reach.
	maxUnconfirmed = 4 * cowslipbend.Second
	// balancerDelay is how long the load balancer may take to notice that an
	// entry is not ready: two probes a second apart, plus a margin.
	balancerDelay = 2500 * cowslipbend.Millisecond
	// closeTimeout bounds the wait for requests in flight after balancerDelay.
	// The platform kills a process six seconds after it has asked it to stop.
	closeTimeout = 3 * cowslipbend.Second
)

// Entry is an entry process on the users' platform.
type Entry struct {
	settings platform.Settings
	clock    cowslipbend.Clock
	log      hclog.Logger
	store    *platform.Store
	caller   *caller.Caller
	ruler    *ruler.Ruler
	cordoner *cordoner.Cordoner
	elector  *elector.Elector
	intaker  *intaker.Intaker
	leaving  atomic.Bool
	servers  []*server.Server
	killed   chan struct{}
	metrics  *prometheus.Registry
	// instruments are the counters in metrics.
	instruments *instrumenter.Instrumenter
}

// New creates an entry and opens its listeners.
func New(s platform.Settings, clock cowslipbend.Clock, log hclog.Logger) (*Entry, error) {
	e := &Entry{settings: s, clock: clock, log: log, killed: make(chan struct{})}
	reg := meter.NewRegistry(func() float64 { return float64(e.ruler.Version()) })
	meter.Gauge(reg, "cowslip_config_read_age_seconds", "Time since the table with the configuration was last read to its end.",
		func() float64 { return e.ruler.ReadAge().Duration().Seconds() })
	instruments := instrumenter.New(reg)
	e.metrics, e.instruments = reg, instruments
	e.store, e.caller = platform.NewStore(s.Store, clock, instruments), caller.New(instruments)
	replies := dialer.NewReplies(bounder.Divide(s.Memory, s.Descriptors).Replies)
	e.store.ShareReplies(replies)
	e.caller.ShareReplies(replies)
	e.cordoner = cordoner.New(platform.DomainSource(), clock.Now(), log.Named("cordoner"))
	observeDomains(reg, e.cordoner, clock)
	e.ruler = ruler.New(ruler.Source{
		Feed: e.store, Table: platform.RulesTable, Key: platform.RulesKey, Decode: platform.DecodeRules,
		Observe: func(changes *cowslipbend.Changes, whole bool, askedAt cowslipbend.Time) {
			e.cordoner.ApplyChanges(changes, whole, askedAt, clock.Now())
		},
	}, clock, log.Named("ruler"))
	url := s.URL()
	life := cowslipbend.Incarnation(cowslipbend.DrawID())
	lease := conductor.Grant(s.Bounds.MaxLease)
	var advisor cowslipbend.Advisor
	if s.Advisor != "" {
		client := platform.NewAdvisor(s.Advisor)
		client.ShareReplies(replies)
		advisor = client
	}
	newConductor := func(f *conductor.Fence) *conductor.Conductor {
		return conductor.New(conductor.Settings{
			URL: url, MaxUnconfirmed: maxUnconfirmed, Metrics: instruments, Advisor: advisor, Domains: domainSettings(e.cordoner, &s.Bounds),
			Planner: planner.Options{MaxLease: lease, MaxRunnerLease: s.Bounds.MaxLease, MaxPriorLease: maxUnconfirmed + lease + lease/leaseDenominator, FlowRetention: 2 * s.Bounds.JobRetention, MaxRow: s.MaxRow, Reserver: reservations(s.ReservedSteps)},
		}, f, e.store, e.store, e.caller, e.ruler.Rules, clock, log.Named("conductor"))
	}
	self := elector.Member{ID: cowslipbend.EntryID(s.Node), URL: url, Life: life, Strength: elector.StrengthOf(s.CPU, s.Link)}
	e.elector = elector.New(self, e.store, e.caller, clock, log.Named("elector"), newConductor)
	e.intaker = intaker.New(e.store, e.store, e.elector, e.caller, e.ruler.Rules, e.ready, clock, log.Named("intaker"), instruments)
	return e, e.listen()
}

// reservations returns the options of reservations for up to so many steps.
func reservations(steps int) reserver.Options {
	if steps <= 0 {
		return reserver.Options{}
	}
	opts := reserver.Defaults()
	opts.MaxDemands = steps
	return opts
}

// listen opens all listeners, or none if one of them fails.
func (e *Entry) listen() error {
	control, ops := http.NewServeMux(), http.NewServeMux()
	server.HandleOps(ops, e.metrics, e.ready)
	guard := func(part string, h http.Handler) http.Handler {
		return recoverer.Handler(part, e.log, e.instruments, h)
	}
	bounds := bounder.NewGroup(e.clock, e.log.Named("bounder"))
	e.metrics.MustRegister(bounds)
	shares := bounder.Divide(e.settings.Memory, e.settings.Descriptors)
	var err error
	e.servers, err = server.ListenAll(
		server.Address{Addr: e.settings.InternalAddress(), Handler: guard("internal", e.internalHandler()), Bounds: bounds.Add(shares.Internal)},
		server.Address{Addr: e.settings.Front, Handler: guard("front", platform.NewFront(e.intaker)), Bounds: bounds.Add(shares.Front)},
		server.Address{Addr: e.settings.Ready, Handler: guard("ready", platform.ReadyHandler(e.intaker)), Bounds: bounds.Add(shares.Ready)},
		server.Address{Addr: e.settings.Control, Handler: guard("control", control), Bounds: bounds.Add(shares.Control)},
		server.Address{Addr: e.settings.MetricsAddress(), Handler: guard("metrics", ops), Bounds: bounds.Add(shares.Metrics)},
	)
	return err
}

// internalHandler returns the handler of calls from agents and other entries.
func (e *Entry) internalHandler() http.Handler {
	mux := http.NewServeMux()
	e.intaker.Serve(mux)
	caller.Handle(mux, elector.PathHealth, func(context.Context, *struct{}) (elector.Health, error) {
		return e.elector.Health(), nil
	})
	caller.Handle(mux, conductor.PathReport, func(ctx context.Context, r *cowslipbend.HostReport) (cowslipbend.ReportReply, error) {
		c := e.elector.Conductor()
		if c == nil {
			return cowslipbend.ReportReply{Owner: e.elector.OwnerURL(), Entries: e.entriesFor(r)}, nil
		}
		reply, err := c.Report(ctx, r)
		reply.Entries = e.entriesFor(r)
		return reply, err
	})
	caller.Handle(mux, conductor.PathPlacement, func(_ context.Context, q *planner.Question) (planner.Answer, error) {
		if c := e.elector.Conductor(); c != nil {
			return c.Explain(q)
		}
		return planner.Answer{Owner: e.elector.OwnerURL()}, nil
	})
	return caller.CountBytes(mux, e.instruments)
}

// entriesFor returns the URLs of all entries, or nil if the reporting agent knows
// them.
func (e *Entry) entriesFor(r *cowslipbend.HostReport) []string {
	urls := e.elector.EntryURLs()
	if cowslipbend.HashStrings(urls) == r.EntriesHash {
		return nil
	}
	return urls
}

// ready returns the reason why the load balancer must not send callers to this
// entry, or nil if it may.
func (e *Entry) ready() error {
	if e.leaving.Load() {
		return cowslipbend.Fail(cowslipbend.KindLeaving, "entry is shutting down", "send callers to another entry")
	}
	if e.ruler.Rules() == nil {
		return cowslipbend.Fail(cowslipbend.KindDown, "no configuration is in force", "wait for the store")
	}
	if unreachable, _ := e.elector.StoreUnreachable(); unreachable && e.elector.ShouldRedirect() {
		return cowslipbend.Fail(cowslipbend.KindDown, "this entry cannot reach the store, but other entries can", "send callers to another entry")
	}
	return nil
}

// Run serves until the context ends, then drains the entry and waits for
// requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, workCtx := errgroup.WithContext(workCtx)
	for _, s := range e.servers {
		g.Go(s.Run)
	}
	g.Go(func() error { return e.ruler.Run(workCtx) })
	g.Go(func() error { return e.elector.Run(workCtx) })
	g.Go(func() error { return e.intaker.Run(workCtx) })
	g.Go(func() error {
		select {
		case <-workCtx.Done():
		case <-e.killed:
			stop()
			return nil
		case <-ctx.Done():
			e.drain(workCtx)
		}
		// Finish requests in flight while the other components still run.
		e.close()
		stop()
		return nil
	})
	e.log.Info("entry started", "entry", e.settings.Node, "domain", e.settings.Domain, "url", e.settings.URL())
	err := g.Wait()
	e.log.Info("entry stopped", "error", err)
	return err
}

// drain fails the readiness check, hands the flows over to another entry, and
// keeps serving until the load balancer has stopped sending callers.
func (e *Entry) drain(ctx context.Context) {
	e.log.Info("entry draining")
	e.leaving.Store(true)
	e.elector.Leave()
	timer.Sleep(ctx, e.clock, balancerDelay)
}

func (e *Entry) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout.Duration())
	defer cancel()
	for _, s := range e.servers {
		s.Shutdown(ctx)
	}
	e.caller.Close()
	e.store.Close()
}

// Kill stops the entry without draining, like a crash, for tests. It must be
// called at most once.
func (e *Entry) Kill() {
	close(e.killed)
	for _, s := range e.servers {
		s.Close()
	}
}

// OwnsFlows reports whether this entry owns the flows and runs their conductor.
func (e *Entry) OwnsFlows() bool { return e.elector.Conductor() != nil }
