package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/tracker"
)

// Answer is an agent's response; the caller closes the body. A body that
// breaks off returns an error from Read.
type Answer struct {
	Status int
	Header http.Header
	Length int64
	Body   io.ReadCloser
	// Trailer is filled when the body has been read.
	Trailer http.Header
}

// Options set the router's patience.
type Options struct {
	// Attempts bounds the tries of one request.
	Attempts int
	// VoidTimeout bounds one question after a lost answer, VoidTries their count.
	VoidTimeout cowslipbend.Span
	VoidTries   int
	// Retries is the share of requests, in percent, that may be sent again
	// after an attempt that may have run.
	Retries int
	// Queue bounds the waiting requests of a service that declares no bound,
	// and Patience how long one of them waits.
	Queue    int
	Patience cowslipbend.Span
	Secret   string
	// Random draws the candidates; nil uses the system's randomness.
	Random *rand.Rand
}

// Defaults returns the options of a usual entry.
func Defaults() Options {
	return Options{
		Attempts: 4, VoidTimeout: cowslipbend.Second, VoidTries: 3, Retries: 10,
		Queue: 256, Patience: 2 * cowslipbend.Second,
	}
}

// Router sends requests. It is safe for concurrent use.
type Router struct {
	tracker *tracker.Tracker
	policy  cowslipbend.Routing
	claims  Claims
	opts    Options
	clock   cowslipbend.Clock
	log     hclog.Logger
	links   dialer.Links
	fresh   *http.Client
	budget  *budget

	// looks bounds the refused requests whose claims are looked up at once.
	looks chan struct{}

	mu     sync.Mutex
	queues map[cowslipbend.ServiceID]*queue
}

// maxLooks bounds the reads of claims for refused requests at one time.
const maxLooks = 64

// New returns a router.
func New(t *tracker.Tracker, policy cowslipbend.Routing, claims Claims, opts Options, clock cowslipbend.Clock, log hclog.Logger) *Router {
	return &Router{
		tracker: t, policy: policy, claims: claims, opts: opts, clock: clock, log: log,
		fresh: dialer.Fresh(opts.Secret, opts.VoidTimeout), budget: newBudget(opts.Retries),
		queues: map[cowslipbend.ServiceID]*queue{}, looks: make(chan struct{}, maxLooks),
	}
}

// Close drops the idle connections.
func (r *Router) Close() {
	r.links.Close()
	r.fresh.CloseIdleConnections()
}

// Do runs a request and returns the whole answer's stream, or an error whose
// outcome OutcomeOf tells.
func (r *Router) Do(ctx context.Context, req *Request) (*Answer, error) {
	r.budget.earn()
	if req.Once {
		return r.once(ctx, req)
	}
	return r.anywhere(ctx, req)
}

// anywhere tries agents until one runs the request.
func (r *Router) anywhere(ctx context.Context, req *Request) (*Answer, error) {
	tried := tries{}
	for n := 1; ; n++ {
		target, err := r.place(ctx, req, &tried)
		if err != nil {
			return nil, tried.sum(err)
		}
		id := cowslipbend.RequestID(cowslipbend.DrawID())
		answer, err := r.attempt(ctx, req, target, id, target.Agent.Token())
		if err == nil {
			return answer, nil
		}
		tried.add(target, err)
		if n >= r.opts.Attempts || !r.again(ctx, req, err) {
			return nil, tried.sum(err)
		}
	}
}

// again reports whether a failed attempt may be followed by another. One that
// may have run is repeated within the budget only.
func (r *Router) again(ctx context.Context, req *Request, err error) bool {
	if ctx.Err() != nil || !req.Replay {
		return false
	}
	return OutcomeOf(err) == cowslipbend.NotRun || r.budget.spend()
}

// tries are the failed attempts of one request.
type tries struct {
	targets []*tracker.Target // that will not do for another attempt
	ran     error             // of an attempt that may have run
	last    error
}

func (t *tries) add(target *tracker.Target, err error) {
	t.last = err
	f, known := errors.AsType[*Failure](err)
	// A busy target may soon have room, one behind a silent connection is
	// reached by a new one.
	if !known || (!f.again && f.Err.Kind != cowslipbend.KindBusy) {
		t.targets = append(t.targets, target)
	}
	if OutcomeOf(err) != cowslipbend.NotRun {
		t.ran = err
	}
}

func (t *tries) has(target *tracker.Target) bool {
	for _, other := range t.targets {
		if other == target {
			return true
		}
	}
	return false
}

// sum returns what the caller is told when placing failed or no further
// attempt is made. Once an attempt may have run, a later refusal does not make
// that certain; and why an attempt was refused tells more than that no other
// target was left.
func (t *tries) sum(last error) error {
	switch {
	case t.ran != nil:
		return t.ran
	case t.last != nil:
		return t.last
	}
	return last
}
