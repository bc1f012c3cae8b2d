package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/tracker"
)

// Claim says where a non-idempotent request was sent.
type Claim struct {
	Request cowslipbend.RequestID   `json:"req"`
	Worker  cowslipbend.WorkerID    `json:"worker"`
	Life    cowslipbend.Incarnation `json:"life"`
	URL     string                  `json:"url"`
	Token   cowslipbend.Time        `json:"token"`
	// Digest is of method, path and body; a repeat must match.
	Digest cowslipbend.Digest `json:"digest"`
	// Wall is when the claim was made, for trimming.
	Wall cowslipbend.Time `json:"wall"`

	version int64
}

// Claims keeps claims in the platform's table. A claim that is there is
// replaced or released only after its request has certainly not run and never
// will; so at most one request runs under a key.
type Claims interface {
	// Insert makes the claim the one of the key, or returns the one that is
	// there with KindConflict.
	Insert(ctx context.Context, key string, c Claim) (Claim, error)
	// Replace makes next the claim if old still is, else it returns the one
	// that is there with KindConflict.
	Replace(ctx context.Context, key string, old, next Claim) (Claim, error)
	// Get returns the claim of the key, with an empty Request if there is none.
	Get(ctx context.Context, key string) (Claim, error)
	// Release removes the claim if it still is the one of the key, else it
	// returns the one that is there with KindConflict.
	Release(ctx context.Context, key string, old Claim) (Claim, error)
}

// oncer is one non-idempotent request on its way.
//
// An id that is told "not run" has not run: the table was read after the
// sending came and had no claim for it, or the last claim that was seen was
// released after its request was certain not to run. A claim that another
// entry has taken over meanwhile is joined. Where the table cannot be read,
// the sending may be a repeat, and its outcome is unknown.
type oncer struct {
	router *Router
	req    *Request
	key    string
	digest cowslipbend.Digest
	tried  tries
	sent   int
	// refusal is why the last attempt did not run.
	refusal error
	target  *tracker.Target // at which the request is counted, or nil
}

func (r *Router) oncer(req *Request) *oncer {
	return &oncer{router: r, req: req, digest: digest(req), key: string(req.Team) + "/" + string(req.Service) + "/" + req.ID}
}

// once runs a non-idempotent request at most once under its caller's id.
func (r *Router) once(ctx context.Context, req *Request) (*Answer, error) {
	o := r.oncer(req)
	defer o.unplace()
	next, err := o.claim(ctx)
	if err != nil {
		return o.refuse(ctx, err)
	}
	have, err := r.claims.Insert(ctx, o.key, next)
	if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindConflict {
		return nil, unclaimed(err)
	}
	return o.run(ctx, have, err == nil)
}

// Refuse ends a non-idempotent request that was refused before it was
// claimed. If it repeats one that was claimed, that one's outcome counts.
func (r *Router) Refuse(ctx context.Context, req *Request, refusal error) (*Answer, error) {
	return r.oncer(req).refuse(ctx, notRun(refusal))
}

func (o *oncer) refuse(ctx context.Context, refusal error) (*Answer, error) {
	o.refusal = refusal
	o.sent = o.router.opts.Attempts
	select {
	case o.router.looks <- struct{}{}:
		defer func() { <-o.router.looks }()
	default:
		return nil, unclaimed(refusal)
	}
	have, err := o.router.claims.Get(ctx, o.key)
	switch {
	case err != nil:
		return nil, unclaimed(err)
	case have.Request == "":
		return nil, refusal
	}
	return o.run(ctx, have, false)
}

// run follows the claim of the key until the request is settled.
func (o *oncer) run(ctx context.Context, have Claim, mine bool) (*Answer, error) {
	for {
		step := o.join
		if mine {
			step = o.send
		}
		answer, finished, err := step(ctx, have)
		if finished {
			return answer, err
		}
		have, mine, err = o.move(ctx, have)
		if err != nil {
			return nil, err
		}
	}
}

// unclaimed is the error of a sending that ran nothing, but that may repeat
// one which did.
func unclaimed(err error) error {
	return uncertain(&cowslipbend.Error{
		Kind: cowslipbend.KindOf(err), Cause: err, After: cowslipbend.Second,
		What:   "this sending did not run, but whether an earlier one with its id did cannot be looked up now",
		Remedy: "ask again with the same id",
	})
}

func digest(req *Request) cowslipbend.Digest {
	sum := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query, string(req.Whole)} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	return cowslipbend.Digest(hex.EncodeToString(sum.Sum(nil)))
}

// claim places the request and returns a claim for it. The error is a certain
// refusal of this placing.
func (o *oncer) claim(ctx context.Context) (Claim, error) {
	o.unplace()
	t, err := o.router.place(ctx, o.req, &o.tried)
	if err != nil {
		return Claim{}, err
	}
	o.target = t
	return Claim{
		Request: cowslipbend.RequestID(cowslipbend.DrawID()), Worker: t.Agent.Worker, Life: t.Agent.Life,
		URL: t.Agent.URL, Token: t.Agent.Token(), Digest: o.digest, Wall: o.router.clock.Wall(),
	}, nil
}

func (o *oncer) unplace() {
	if o.target != nil {
		o.router.unsent(o.target, o.req)
		o.target = nil
	}
}

// send sends the request under the own claim. It has finished unless the
// request certainly did not run.
func (o *oncer) send(ctx context.Context, mine Claim) (*Answer, bool, error) {
	t := o.target
	o.target = nil
	o.sent++
	answer, err := o.router.attempt(ctx, o.req, t, mine.Request, mine.Token)
	if err == nil || OutcomeOf(err) != cowslipbend.NotRun {
		return answer, true, err
	}
	o.tried.add(t, err)
	o.refusal = err
	return nil, false, nil
}

// join waits for the request of another's claim. It has finished unless that
// request was never seen, and so never will run.
func (o *oncer) join(ctx context.Context, have Claim) (*Answer, bool, error) {
	o.unplace()
	if have.Digest != o.digest {
		return nil, true, notRun(cowslipbend.Fail(cowslipbend.KindConflict, "id "+o.req.ID+" was used for another request", "draw a new id"))
	}
	reply, err := o.router.await(ctx, have.URL, &control.VoidRequest{
		Request: string(have.Request), Life: string(have.Life), Token: int64(have.Token), Once: true,
	})
	if err != nil {
		return nil, true, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, err, "ask again with the same id", "agent that has the request does not answer"))
	}
	switch reply.GetState() {
	case done:
		return kept(reply), true, nil
	case never:
		o.refusal = notRun(&cowslipbend.Error{
			Kind: cowslipbend.KindDown, What: "request did not reach its endpoint", Remedy: "ask again", After: cowslipbend.Second,
		})
		return nil, false, nil
	case running:
		return nil, true, uncertain(&cowslipbend.Error{
			Kind: cowslipbend.KindLate, What: "request is still running", Remedy: "ask again with the same id", After: cowslipbend.Second,
		})
	}
	return nil, true, uncertain(cowslipbend.Fail(cowslipbend.KindUnknown, "request may have run ("+reply.GetState()+")", "look up what it would have changed"))
}

// move replaces a claim whose request certainly never runs by one for the next
// attempt, or releases it if there is none. It returns the claim that now
// stands, and whether it is the own one.
func (o *oncer) move(ctx context.Context, old Claim) (have Claim, mine bool, err error) {
	next, placeErr := Claim{}, o.refusal
	if o.sent < o.router.opts.Attempts && ctx.Err() == nil {
		next, placeErr = o.claim(ctx)
		if placeErr != nil {
			placeErr = o.refusal
		}
	}
	// What is settled must be told, also after the caller's deadline.
	ctx = context.WithoutCancel(ctx)
	if placeErr != nil {
		have, err = o.router.claims.Release(ctx, o.key, old)
	} else {
		have, err = o.router.claims.Replace(ctx, o.key, old, next)
	}
	switch {
	case cowslipbend.KindOf(err) == cowslipbend.KindConflict:
		return have, false, nil
	case err != nil:
		return have, false, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, err, "ask again with the same id", "the store does not tell whether another entry runs the request"))
	case placeErr != nil:
		return have, false, placeErr
	}
	return have, true, nil
}
