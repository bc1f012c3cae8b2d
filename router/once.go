package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/tracker"
)

// Claim records to which agent a non-idempotent request was assigned.
type Claim struct {
	Request cowslipbend.RequestID   `json:"req"`
	Worker  cowslipbend.WorkerID    `json:"worker"`
	Life    cowslipbend.Incarnation `json:"life"`
	URL     string                  `json:"url"`
	Token   cowslipbend.Time        `json:"token"`
	// Digest covers method, path, query and body; a repeat must match it.
	Digest cowslipbend.Digest `json:"digest"`
	// Wall is the wall-clock time of the claim, for its expiry.
	Wall cowslipbend.Time `json:"wall"`

	version int64
}

// Claims stores the claims of non-idempotent requests by key. An existing
// claim may be replaced or released only if its request has certainly not run
// and never will, so that at most one request runs under a key.
type Claims interface {
	// Insert stores the claim. If the key already has one, it returns that one
	// with KindConflict.
	Insert(ctx context.Context, key string, c Claim) (Claim, error)
	// Replace replaces old by next. If the key has another claim than old, it
	// returns that one with KindConflict.
	Replace(ctx context.Context, key string, old, next Claim) (Claim, error)
	// Get returns the claim of the key, or the zero Claim if there is none.
	Get(ctx context.Context, key string) (Claim, error)
	// Release removes old. If the key has another claim than old, it returns
	// that one with KindConflict.
	Release(ctx context.Context, key string, old Claim) (Claim, error)
}

// onceRequest is the state of one non-idempotent request while it is processed.
//
// The outcome NotRun is reported only if the id has not run: either the table
// was read after the request arrived and had no claim for the id, or the last
// claim was released once its request was certain not to run. If another entry
// has replaced the claim meanwhile, this one waits for the other's request. If
// the table cannot be read, the request may be a repeat of one that ran, and
// its outcome is Uncertain.
type onceRequest struct {
	router   *Router
	req      *Request
	key      string
	digest   cowslipbend.Digest
	failed   failedAttempts
	attempts int
	// refusal is the error of the last attempt, which did not run.
	refusal  error
	reserved *tracker.Target // holds a reservation that was not yet used, or nil
}

func (r *Router) newOnceRequest(req *Request) *onceRequest {
	return &onceRequest{router: r, req: req, digest: digestOf(req), key: string(req.Team) + "/" + string(req.Service) + "/" + req.ID}
}

// doOnce runs a non-idempotent request at most once under the caller's id.
func (r *Router) doOnce(ctx context.Context, req *Request) (*Answer, error) {
	o := r.newOnceRequest(req)
	defer o.cancelReservation()
	next, err := o.newClaim(ctx)
	if err != nil {
		return o.resolveRefused(ctx, err)
	}
	current, err := r.claims.Insert(ctx, o.key, next)
	if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindConflict {
		return nil, earlierOutcomeUnknown(err)
	}
	return o.followClaims(ctx, current, err == nil)
}

// ResolveRefused determines the outcome of a non-idempotent request that was
// refused before it was claimed. If the id already has a claim, the request is
// a repeat, and the outcome of the claimed request is returned.
func (r *Router) ResolveRefused(ctx context.Context, req *Request, refusal error) (*Answer, error) {
	return r.newOnceRequest(req).resolveRefused(ctx, notRun(refusal))
}

func (o *onceRequest) resolveRefused(ctx context.Context, refusal error) (*Answer, error) {
	o.refusal = refusal
	o.attempts = o.router.opts.MaxAttempts
	select {
	case o.router.claimReads <- struct{}{}:
		defer func() { <-o.router.claimReads }()
	default:
		return nil, earlierOutcomeUnknown(refusal)
	}
	current, err := o.router.claims.Get(ctx, o.key)
	switch {
	case err != nil:
		return nil, earlierOutcomeUnknown(err)
	case current.Request == "":
		return nil, refusal
	}
	return o.followClaims(ctx, current, false)
}

// followClaims processes the current claim of the key, and each one that
// replaces it, until the outcome is known. The flag own tells whether the
// claim was made by this request.
func (o *onceRequest) followClaims(ctx context.Context, current Claim, own bool) (*Answer, error) {
	for {
		step := o.join
		if own {
			step = o.send
		}
		answer, finished, err := step(ctx, current)
		if finished {
			return answer, err
		}
		current, own, err = o.replaceOrRelease(ctx, current)
		if err != nil {
			return nil, err
		}
	}
}

// earlierOutcomeUnknown returns the error of a request that was not run, but
// that may be a repeat of one that was.
func earlierOutcomeUnknown(err error) error {
	return uncertain(&cowslipbend.Error{
		Kind: cowslipbend.KindOf(err), Cause: err, After: cowslipbend.Second,
		What:   "request was not sent, but whether an earlier one with the same id ran cannot be determined now",
		Remedy: "ask again with the same id",
	})
}

func digestOf(req *Request) cowslipbend.Digest {
	sum := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query, string(req.Buffered)} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	return cowslipbend.Digest(hex.EncodeToString(sum.Sum(nil)))
}

// newClaim reserves a target and returns a claim for it that is not yet
// stored. An error means that this attempt has not run.
func (o *onceRequest) newClaim(ctx context.Context) (Claim, error) {
	o.cancelReservation()
	t, err := o.router.reserve(ctx, o.req, &o.failed)
	if err != nil {
		return Claim{}, err
	}
	o.reserved = t
	return Claim{
		Request: cowslipbend.RequestID(cowslipbend.DrawID()), Worker: t.Agent.Worker, Life: t.Agent.Life,
		URL: t.Agent.URL, Token: t.Agent.Token(), Digest: o.digest, Wall: o.router.clock.Wall(),
	}, nil
}

func (o *onceRequest) cancelReservation() {
	if o.reserved != nil {
		o.router.cancelReservation(o.reserved, o.req)
		o.reserved = nil
	}
}

// send sends the request under its own claim. It reports finished unless the
// request certainly did not run.
func (o *onceRequest) send(ctx context.Context, own Claim) (*Answer, bool, error) {
	t := o.reserved
	o.reserved = nil
	o.attempts++
	answer, err := o.router.attempt(ctx, o.req, t, own.Request, own.Token)
	if err == nil || OutcomeOf(err) != cowslipbend.NotRun {
		return answer, true, err
	}
	o.failed.add(t, err)
	o.refusal = err
	return nil, false, nil
}

// join waits for the request of a claim that this request did not make. It
// reports finished unless that request has not run and never will.
func (o *onceRequest) join(ctx context.Context, other Claim) (*Answer, bool, error) {
	o.cancelReservation()
	if other.Digest != o.digest {
		return nil, true, notRun(cowslipbend.Fail(cowslipbend.KindConflict, "id "+o.req.ID+" was used for another request", "draw a new id"))
	}
	reply, err := o.router.voidUntilEnded(ctx, other.URL, &control.VoidRequest{
		Request: string(other.Request), Life: string(other.Life), Token: int64(other.Token), Once: true,
	})
	if err != nil {
		return nil, true, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, err, "ask again with the same id", "agent to which the request was sent does not answer"))
	}
	switch reply.GetState() {
	case stateDone:
		return keptAnswer(reply), true, nil
	case stateNever:
		o.refusal = notRun(&cowslipbend.Error{
			Kind: cowslipbend.KindDown, What: "request did not reach its endpoint", Remedy: "try again", After: cowslipbend.Second,
		})
		return nil, false, nil
	case stateRunning:
		return nil, true, uncertain(&cowslipbend.Error{
			Kind: cowslipbend.KindLate, What: "request is still running", Remedy: "ask again with the same id", After: cowslipbend.Second,
		})
	}
	return nil, true, uncertain(cowslipbend.Fail(cowslipbend.KindUnknown, "request may have run (the agent reports its state as "+reply.GetState()+")", "look up what it would have changed"))
}

// replaceOrRelease replaces a claim whose request will certainly never run by
// one for the next attempt, or releases it if there is no further attempt. It
// returns the claim that the key has now and whether this request made it. The
// error is the outcome of the request.
func (o *onceRequest) replaceOrRelease(ctx context.Context, old Claim) (current Claim, own bool, err error) {
	next, refusal := Claim{}, o.refusal
	if o.attempts < o.router.opts.MaxAttempts && ctx.Err() == nil {
		next, refusal = o.newClaim(ctx)
		if refusal != nil {
			refusal = o.refusal
		}
	}
	// The claim must be changed, and the outcome reported, also after the
	// caller's deadline.
	ctx = context.WithoutCancel(ctx)
	if refusal != nil {
		current, err = o.router.claims.Release(ctx, o.key, old)
	} else {
		current, err = o.router.claims.Replace(ctx, o.key, old, next)
	}
	switch {
	case cowslipbend.KindOf(err) == cowslipbend.KindConflict:
		return current, false, nil
	case err != nil:
		return current, false, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, err, "ask again with the same id", "table did not confirm the change of the claim, so another entry may run the request"))
	case refusal != nil:
		return current, false, refusal
	}
	return current, true, nil
}
