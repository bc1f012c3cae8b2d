// Package receiver is the entry's side of the callers' protocol:
//
//	ANY /call/{service}/{path...}
//
// with the headers Cowslip-Team, Cowslip-Deadline, and for a non-idempotent
// request Cowslip-Once: 1 and Cowslip-Id. Each answer has the header
// Cowslip-Outcome: ran, notrun or unknown; the body of the last two is an
// Error in JSON.
//
// A request with Cowslip-Watch: 1 may stay open without a time limit. Its
// answer ends with the trailer Cowslip-End: whole, or leaving if a process on
// the way shuts down and the caller should watch again.
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

// Prefix is the path of the callers' protocol.
const Prefix = "/call/"

// Config tells the set in force.
type Config interface {
	Set() (cowslipbend.Revision, *cowslipbend.Set)
}

// Count is told the outcome of each request and the time until its answer
// began. An answer with a status of 500 or above has KindBroken, one that
// broke off the kind of what broke it.
type Count func(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, kind cowslipbend.Kind, took time.Duration)

// Receiver serves callers.
type Receiver struct {
	router *router.Router
	limits *limiter.Limiter
	config Config
	count  Count
	log    hclog.Logger
	// watches ends when watches must.
	watches context.Context
	end     context.CancelFunc
}

// New returns a receiver.
func New(r *router.Router, l *limiter.Limiter, c Config, count Count, log hclog.Logger) *Receiver {
	rec := &Receiver{router: r, limits: l, config: c, count: count, log: log}
	rec.watches, rec.end = context.WithCancel(context.Background())
	return rec
}

// EndWatches ends all watches, and tells their callers that the process is
// leaving.
func (r *Receiver) EndWatches() { r.end() }

// Register adds the route to the echo server.
func (r *Receiver) Register(e *echo.Echo) { e.Any(Prefix+"*", r.serve) }

func (r *Receiver) serve(c echo.Context) error {
	began := time.Now()
	var answered time.Time
	c.Response().Before(func() { answered = time.Now() })
	req, err := r.handle(c)
	if answered.IsZero() {
		answered = time.Now()
	}
	outcome, kind := cowslipbend.Ran, cowslipbend.Kind("")
	switch {
	case err != nil:
		outcome, kind = router.OutcomeOf(err), cowslipbend.KindOf(err)
	case c.Response().Status >= http.StatusInternalServerError:
		kind = cowslipbend.KindBroken
	}
	if c.Request().Context().Err() == nil { // Else the caller went away, which is nobody's failure.
		r.count(req.Service, outcome, kind, answered.Sub(began))
	}
	if err != nil {
		r.fail(c.Response(), outcome, err)
	}
	return nil
}

// fail tells the outcome and the error. Once an answer has begun it aborts
// the stream instead, so that a cut answer never looks whole.
func (r *Receiver) fail(w *echo.Response, outcome cowslipbend.Outcome, err error) {
	if w.Committed {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(cowslipbend.HeaderOutcome, string(outcome))
	server.WriteError(w, cowslipbend.AsError(err))
}

// handle answers a request, or returns why not. The service of the request is
// empty unless it is declared.
func (r *Receiver) handle(c echo.Context) (*router.Request, error) {
	req, err := parse(c.Request())
	if err != nil {
		return &router.Request{}, refuse(err)
	}
	if err := r.complete(req); err != nil {
		return &router.Request{}, refuse(err)
	}
	refused := r.limits.Admit(req.Team, req.Service)
	if refused != nil && !req.Once {
		return req, refuse(refused)
	}
	if err := buffer(c.Response(), c.Request(), req); err != nil {
		return req, refuse(err)
	}
	return req, r.run(c, req, refused)
}

// complete adds what the set in force declares.
func (r *Receiver) complete(req *router.Request) error {
	_, set := r.config.Set()
	if len(set.Teams) > 0 && !declares(set, req.Team) {
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

func declares(set *cowslipbend.Set, team cowslipbend.TeamID) bool {
	for i := range set.Teams {
		if set.Teams[i].Name == team {
			return true
		}
	}
	return false
}

// refuse marks an error as certain not to have run.
func refuse(err error) error {
	return &router.Failure{Outcome: cowslipbend.NotRun, Err: server.Join(err)}
}

// run sends the request on. A non-idempotent one that the limits refuse may
// be a repeat, and then its first sending decides what the caller is told.
func (r *Receiver) run(c echo.Context, req *router.Request, refused error) error {
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
		stop := context.AfterFunc(r.watches, cancel)
		defer stop()
	}
	var answer *router.Answer
	var err error
	if refused != nil {
		answer, err = r.router.ResolveRefused(ctx, req, refused)
	} else {
		answer, err = r.router.Do(ctx, req)
	}
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return r.send(c.Response(), req, answer)
}
