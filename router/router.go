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

// Answer is an agent's response. The caller must close the body. Read returns
// an error other than io.EOF if the body is truncated.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, negative if it is not known.
	Length int64
	Body   io.ReadCloser
	// Trailer is complete once the body has been read to its end.
	Trailer http.Header
}

// Options are the limits and time-outs of a Router.
type Options struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// VoidTimeout bounds one Void call, by which an agent is queried about a
	// request. VoidAttempts bounds the calls until the agent counts as
	// unreachable.
	VoidTimeout  cowslipbend.Span
	VoidAttempts int
	// RetryPercent is the share of requests, in percent, that may be retried
	// after an attempt that may have run.
	RetryPercent int
	// QueueLimit bounds the waiting requests of a service that declares no limit
	// of its own, QueueTimeout the wait of each request.
	QueueLimit   int
	QueueTimeout cowslipbend.Span
	// Secret is the shared secret of the system's processes, or empty.
	Secret string
	// DomainOut reports whether a failure domain is out of service, so that no
	// requests are sent there. It may be nil.
	DomainOut func(cowslipbend.Domain) bool
	// Random is the source for the routing policy; nil means the global one.
	Random *rand.Rand
}

// Defaults returns the default options.
func Defaults() Options {
	return Options{
		MaxAttempts: 4, VoidTimeout: cowslipbend.Second, VoidAttempts: 3, RetryPercent: 10,
		QueueLimit: 256, QueueTimeout: 2 * cowslipbend.Second,
	}
}

// Router sends requests to agents. It is safe for concurrent use.
type Router struct {
	tracker    *tracker.Tracker
	policy     cowslipbend.Routing
	claims     Claims
	opts       Options
	clock      cowslipbend.Clock
	log        hclog.Logger
	transports dialer.Transports
	unpooled   *http.Client
	budget     *retryBudget

	// claimReads is a semaphore for reads of claims for refused requests.
	claimReads chan struct{}

	mu     sync.Mutex
	queues map[cowslipbend.ServiceID]*queue
}

// maxClaimReads bounds the concurrent reads of claims for refused requests.
const maxClaimReads = 64

// New returns a router that sends requests to the tracker's targets.
func New(t *tracker.Tracker, policy cowslipbend.Routing, claims Claims, opts Options, clock cowslipbend.Clock, log hclog.Logger) *Router {
	return &Router{
		tracker: t, policy: policy, claims: claims, opts: opts, clock: clock, log: log,
		unpooled: dialer.Unpooled(opts.Secret, opts.VoidTimeout), budget: newRetryBudget(opts.RetryPercent),
		queues: map[cowslipbend.ServiceID]*queue{}, claimReads: make(chan struct{}, maxClaimReads),
	}
}

// Close closes the idle connections.
func (r *Router) Close() {
	r.transports.Close()
	r.unpooled.CloseIdleConnections()
}

// Do runs a request and returns its answer, or an error whose outcome OutcomeOf
// returns.
func (r *Router) Do(ctx context.Context, req *Request) (*Answer, error) {
	r.budget.deposit()
	if req.NonIdempotent {
		return r.doOnce(ctx, req)
	}
	return r.doIdempotent(ctx, req)
}

// doIdempotent sends an idempotent request to one target after another until
// one answers it or no further attempt is allowed.
func (r *Router) doIdempotent(ctx context.Context, req *Request) (*Answer, error) {
	failed := failedAttempts{}
	for n := 1; ; n++ {
		target, err := r.reserve(ctx, req, &failed)
		if err != nil {
			return nil, failed.finalError(err)
		}
		id := cowslipbend.RequestID(cowslipbend.DrawID())
		answer, err := r.attempt(ctx, req, target, id, target.Agent.Token())
		if err == nil {
			return answer, nil
		}
		failed.add(target, err)
		if n >= r.opts.MaxAttempts || !r.mayRetry(ctx, req, err) {
			return nil, failed.finalError(err)
		}
	}
}

// mayRetry reports whether a failed attempt may be followed by another. An
// attempt that may have run is retried only within the retry budget.
func (r *Router) mayRetry(ctx context.Context, req *Request, err error) bool {
	if ctx.Err() != nil || !req.Replayable {
		return false
	}
	return OutcomeOf(err) == cowslipbend.NotRun || r.budget.withdraw()
}

// failedAttempts are the failed attempts of one request.
type failedAttempts struct {
	excluded   []*tracker.Target // not to be used for another attempt
	mayHaveRun error             // of the last attempt that may have run, or nil
	last       error             // of the last attempt
}

func (t *failedAttempts) add(target *tracker.Target, err error) {
	t.last = err
	f, ok := errors.AsType[*Failure](err)
	// A busy target may have a free slot for the next attempt, and one behind a
	// stalled connection is reached by a new connection.
	if !ok || (!f.retrySameTarget && f.Err.Kind != cowslipbend.KindBusy) {
		t.excluded = append(t.excluded, target)
	}
	if OutcomeOf(err) != cowslipbend.NotRun {
		t.mayHaveRun = err
	}
}

func (t *failedAttempts) excludes(target *tracker.Target) bool {
	for _, other := range t.excluded {
		if other == target {
			return true
		}
	}
	return false
}

// finalError returns the error that is reported to the caller if err ended the
// request. An attempt that may have run takes precedence, as a later refusal
// says nothing about it. Otherwise the error of the last attempt is reported, as
// it says more than the error that no other target takes requests.
func (t *failedAttempts) finalError(err error) error {
	switch {
	case t.mayHaveRun != nil:
		return t.mayHaveRun
	case t.last != nil:
		return t.last
	}
	return err
}
