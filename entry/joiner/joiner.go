// Package joiner joins the parts of an entry on the users' platform into a
// process. Package runner does the same for an entry on the stand-ins.
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
	"cowslipbend.dev/elector"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/intaker"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/meter"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/planner"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/ruler"
	"cowslipbend.dev/timer"
)

// Times of an entry.
const (
	// leaseParts and leaseWhole give the part of the longest lease that is
	// granted; the rest is left for rounding and slow clocks.
	leaseParts = 9
	leaseWhole = 10
	// longestLease bounds it: long enough for an agent that stands still for
	// four seconds, and no longer, as the work of a host that was lost waits
	// for it to lapse.
	longestLease = 6 * cowslipbend.Second
	// unconfirmed is how long an owner grants leases without the store. With a
	// lease on top, work survives an outage of nine seconds; a successor waits
	// for as long before it gives up what runs on a host that it cannot reach.
	unconfirmed = 4 * cowslipbend.Second
	// balancerDelay is how long the balancer takes to notice that an entry is
	// not ready: two looks a second apart, and one more for good measure.
	balancerDelay = 2500 * cowslipbend.Millisecond
	// closeTime is for the requests in flight after that; the platform kills
	// the process six seconds after it asked it to stop.
	closeTime = 3 * cowslipbend.Second
)

// Entry is an entry on the platform.
type Entry struct {
	settings platform.Settings
	clock    cowslipbend.Clock
	log      hclog.Logger
	store    *platform.Store
	caller   *caller.Caller
	ruler    *ruler.Ruler
	elector  *elector.Elector
	intaker  *intaker.Intaker
	leaving  atomic.Bool
	servers  []*server.Server
	killed   chan struct{}
	metrics  *prometheus.Registry
}

// New opens the listeners of an entry.
func New(s platform.Settings, clock cowslipbend.Clock, log hclog.Logger) (*Entry, error) {
	e := &Entry{settings: s, clock: clock, log: log, store: platform.NewStore(s.Store, clock), caller: caller.New(), killed: make(chan struct{})}
	reg := meter.NewRegistry(func() float64 { return float64(e.version()) })
	gauge := instrumenter.New(reg)
	e.metrics = reg
	e.ruler = ruler.New(ruler.Source{Feed: e.store, Table: platform.RulesTable, Key: platform.RulesKey, Decode: platform.DecodeRules}, clock, log.Named("ruler"))
	url := "http://" + s.InternalAddress()
	life := cowslipbend.Incarnation(cowslipbend.DrawID())
	lease := min(s.Bounds.MaxLease*leaseParts/leaseWhole, longestLease)
	var advisor cowslipbend.Advisor
	if s.Advisor != "" {
		advisor = platform.NewAdvisor(s.Advisor)
	}
	conduct := func(f *conductor.Fence) *conductor.Conductor {
		return conductor.New(conductor.Settings{
			URL: url, Unconfirmed: unconfirmed, Gauge: gauge, Advisor: advisor,
			Planner: planner.Options{Lease: lease, MaxPriorLease: unconfirmed + lease + lease/leaseWhole, FlowRetention: 2 * s.Bounds.JobRetention},
		}, f, e.store, e.store, e.caller, e.ruler.Rules, clock, log.Named("conductor"))
	}
	self := elector.Member{ID: cowslipbend.EntryID(s.Node), URL: url, Life: life, Strength: elector.StrengthOf(s.CPU, s.Link)}
	e.elector = elector.New(self, e.store, e.caller, clock, log.Named("elector"), conduct)
	e.intaker = intaker.New(e.store, e.store, e.elector, e.caller, e.ruler.Rules, e.ready, clock, log.Named("intaker"), gauge)
	return e, e.listen()
}

// listen opens the listeners, or closes all if one fails.
func (e *Entry) listen() error {
	control, ops := http.NewServeMux(), http.NewServeMux()
	server.Ops(ops, e.metrics, e.ready)
	var err error
	e.servers, err = server.ListenAll(
		server.Address{Addr: e.settings.InternalAddress(), Handler: e.internal()},
		server.Address{Addr: e.settings.Front, Handler: platform.NewFront(e.intaker)},
		server.Address{Addr: e.settings.Ready, Handler: platform.ReadyHandler(e.intaker)},
		server.Address{Addr: e.settings.Control, Handler: control},
		server.Address{Addr: e.settings.MetricsAddress(), Handler: ops},
	)
	return err
}

// internal serves the agents and the other entries.
func (e *Entry) internal() http.Handler {
	mux := http.NewServeMux()
	e.intaker.Serve(mux)
	caller.Handle(mux, elector.PathHealth, func(context.Context, *struct{}) (elector.Health, error) {
		return e.elector.Health(), nil
	})
	caller.Handle(mux, conductor.PathReport, func(ctx context.Context, r *cowslipbend.HostReport) (cowslipbend.ReportReply, error) {
		c := e.elector.Conductor()
		if c == nil {
			return cowslipbend.ReportReply{Owner: e.elector.Owner(), Entries: e.elector.Entries()}, nil
		}
		reply, err := c.Report(ctx, r)
		reply.Entries = e.elector.Entries()
		return reply, err
	})
	return mux
}

// version returns that of the rules in force, or zero.
func (e *Entry) version() int64 {
	if r := e.ruler.Rules(); r != nil {
		return r.Version
	}
	return 0
}

// ready returns why callers should go elsewhere, or nil.
func (e *Entry) ready() error {
	if e.leaving.Load() {
		return cowslipbend.Fail(cowslipbend.KindLeaving, "entry is shutting down", "send callers to another entry")
	}
	if e.ruler.Rules() == nil {
		return cowslipbend.Fail(cowslipbend.KindDown, "no configuration is in force", "wait for the store")
	}
	if cut, _ := e.elector.Cut(); cut && e.elector.Others() {
		return cowslipbend.Fail(cowslipbend.KindDown, "entry is cut off from the store, others are not", "send callers to another entry")
	}
	return nil
}

// Run serves until the context ends, then lets the requests in flight finish.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	for _, s := range e.servers {
		g.Go(s.Run)
	}
	g.Go(func() error { return e.ruler.Run(work) })
	g.Go(func() error { return e.elector.Run(work) })
	g.Go(func() error { return e.intaker.Run(work) })
	g.Go(func() error {
		select {
		case <-work.Done():
		case <-e.killed:
			stop()
			return nil
		case <-ctx.Done():
			e.drain(work)
		}
		// Requests in flight are answered before the rest stops.
		e.close()
		stop()
		return nil
	})
	e.log.Info("entry runs", "entry", e.settings.Node, "domain", e.settings.Domain, "url", "http://"+e.settings.InternalAddress())
	err := g.Wait()
	e.log.Info("entry stops", "error", err)
	return err
}

// drain fails readiness, has another entry take the flows, and serves on until
// the balancer sends no more callers.
func (e *Entry) drain(ctx context.Context) {
	e.log.Info("entry drains")
	e.leaving.Store(true)
	e.elector.Leave()
	timer.Sleep(ctx, e.clock, balancerDelay)
}

func (e *Entry) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime.Duration())
	defer cancel()
	for _, s := range e.servers {
		s.Shutdown(ctx)
	}
	e.caller.Close()
	e.store.Close()
}

// Kill stops the entry at once, as a crash would. It must be called once. For
// tests.
func (e *Entry) Kill() {
	close(e.killed)
	for _, s := range e.servers {
		s.Close()
	}
}

// Conducts reports whether this entry owns the flows.
func (e *Entry) Conducts() bool { return e.elector.Conductor() != nil }
