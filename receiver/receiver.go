package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/limiter"
	"cowslipbend.dev/router"
)

// PathPrefix is the path prefix of the protocol for callers.
const PathPrefix = "/call/"

// Config provides the configuration in force and its revision.
type Config interface {
	Set() (cowslipbend.Revision, *cowslipbend.Set)
}

// Count records the outcome of a request and the time until its answer began.
// The kind is that of the error for a request without a complete answer, and
// KindBroken for an answer with a status of 500 or above.
type Count func(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, kind cowslipbend.Kind, took time.Duration)

// Receiver serves the requests of callers.
type Receiver struct {
	router *router.Router
	limits *limiter.Limiter
	config Config
	count  Count
	log    hclog.Logger
	// watchCtx is cancelled by EndWatches.
	watchCtx      context.Context
	cancelWatches context.CancelFunc
}

// New returns a receiver that sends requests to the router.
func New(r *router.Router, l *limiter.Limiter, c Config, count Count, log hclog.Logger) *Receiver {
	rec := &Receiver{router: r, limits: l, config: c, count: count, log: log}
	rec.watchCtx, rec.cancelWatches = context.WithCancel(context.Background())
	return rec
}

// EndWatches ends all watches with the trailer value EndLeaving.
func (r *Receiver) EndWatches() { r.cancelWatches() }

// Register adds the route of the protocol to the echo server.
func (r *Receiver) Register(e *echo.Echo) { e.Any(PathPrefix+"*", r.serve) }

func (r *Receiver) serve(c echo.Context) error {
	startedAt := time.Now()
	var answeredAt time.Time
	c.Response().Before(func() { answeredAt = time.Now() })
	req, err := r.handle(c)
	if answeredAt.IsZero() {
		answeredAt = time.Now()
	}
	outcome, kind := cowslipbend.Ran, cowslipbend.Kind("")
	switch {
	case err != nil:
		outcome, kind = router.OutcomeOf(err), cowslipbend.KindOf(err)
	case c.Response().Status >= http.StatusInternalServerError:
		kind = cowslipbend.KindBroken
	}
	if c.Request().Context().Err() == nil { // Requests whose caller disconnected are not counted as failures of the service.
		r.count(req.Service, outcome, kind, answeredAt.Sub(startedAt))
	}
	if err != nil {
		r.writeFailure(c.Response(), outcome, err)
	}
	return nil
}

// writeFailure answers with the outcome and the error. If an answer has begun,
// it aborts the connection instead, so that the caller cannot take a truncated
// answer for a complete one.
func (r *Receiver) writeFailure(w *echo.Response, outcome cowslipbend.Outcome, err error) {
	if w.Committed {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(cowslipbend.HeaderOutcome, string(outcome))
	server.WriteError(w, cowslipbend.AsError(err))
}

// handle answers a request or returns the error to answer with. The returned
// request has an empty service if the service is not declared.
func (r *Receiver) handle(c echo.Context) (*router.Request, error) {
	req, err := parse(c.Request())
	if err != nil {
		return &router.Request{}, notRun(err)
	}
	if err := r.applySet(req); err != nil {
		return &router.Request{}, notRun(err)
	}
	limitErr := r.limits.Admit(req.Team, req.Service)
	if limitErr != nil && !req.NonIdempotent {
		return req, notRun(limitErr)
	}
	if err := bufferBody(c.Response(), c.Request(), req); err != nil {
		return req, notRun(err)
	}
	return req, r.run(c, req, limitErr)
}

// applySet checks the team and the service of the request against the set in
// force, and sets the timeout, objective and queue limit that the set declares.
func (r *Receiver) applySet(req *router.Request) error {
	_, set := r.config.Set()
	if len(set.Teams) > 0 && !declaresTeam(set, req.Team) {
		return cowslipbend.Fail(cowslipbend.KindMissing, "no team is named "+string(req.Team), "declare and publish it")
	}
	for i := range set.Services {
		s := &set.Services[i]
		if s.Name != req.Service {
			continue
		}
		if req.Timeout == 0 && !req.Watch {
			req.Timeout = s.Timeout
		}
		req.Objective = s.Objective.P99
		req.QueueLimit = s.Queue
		return nil
	}
	return cowslipbend.Fail(cowslipbend.KindMissing, "no service is named "+string(req.Service), "declare and publish it")
}

func declaresTeam(set *cowslipbend.Set, team cowslipbend.TeamID) bool {
	for i := range set.Teams {
		if set.Teams[i].Name == team {
			return true
		}
	}
	return false
}

// notRun returns the error of a request that certainly did not run.
func notRun(err error) error {
	return &router.Failure{Outcome: cowslipbend.NotRun, Err: server.CombineErrors(err)}
}

// run sends the request to the router and the answer to the caller. A
// non-idempotent request with a limitErr was refused by the limits; it may be
// a repeat of one that was sent, whose outcome then counts.
func (r *Receiver) run(c echo.Context, req *router.Request, limitErr error) error {
	ctx := c.Request().Context()
	if req.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Timeout.Duration())
		defer cancel()
	}
	if req.Watch {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(r.watchCtx, cancel)
		defer stop()
	}
	var answer *router.Answer
	var err error
	if limitErr != nil {
		answer, err = r.router.ResolveRefused(ctx, req, limitErr)
	} else {
		answer, err = r.router.Do(ctx, req)
	}
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return r.send(c.Response(), req, answer)
}
