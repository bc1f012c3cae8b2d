package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/forwarder"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/tracker"
)

// An agent is probed if its answer has not begun after probeObjectives times
// the latency objective of the service, but not before minProbeDelay.
const (
	probeObjectives = 4
	minProbeDelay   = 200 * cowslipbend.Millisecond
)

// errStalled cancels an attempt whose answer has not begun although a probe on
// a new connection did not find the request running: either the request did
// not reach the agent or the answer did not reach the router.
var errStalled = errors.New("connection stalled: no answer has begun and the agent did not report the request as running")

// call is one attempt to run a request at a target.
type call struct {
	router    *Router
	req       *Request
	target    *tracker.Target
	transport *http.Transport
	id        cowslipbend.RequestID
	token     cowslipbend.Time
	ctx       context.Context
	cancel    context.CancelCauseFunc
	startedAt time.Time
}

// attempt sends the request to a target with a reservation from reserve. The
// token is that of the request's claim, if it has one: the agent refuses a
// request with an expired token, so an entry that was paused after the claim
// cannot run a request whose tombstone the agent has already dropped.
func (r *Router) attempt(ctx context.Context, req *Request, t *tracker.Target, id cowslipbend.RequestID, token cowslipbend.Time) (*Answer, error) {
	c := &call{router: r, req: req, target: t, id: id, token: token, transport: r.transports.Get(t.Agent.URL), startedAt: time.Now()}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	probe := time.AfterFunc(c.probeDelay().Duration(), c.probe)
	resp, err := c.transport.RoundTrip(r.newAttemptRequest(c.ctx, req, t, id, token))
	probe.Stop()
	if err != nil {
		return c.handleLostAnswer(ctx, err)
	}
	c.observe(resp.Header)
	return c.handleResponse(ctx, resp)
}

// probeDelay is how long an answer may take to begin before the agent is
// queried on a new connection.
func (c *call) probeDelay() cowslipbend.Span {
	return max(probeObjectives*c.req.Objective, minProbeDelay)
}

// probe queries the agent about an answer that has not begun. It cancels the
// attempt as stalled unless the agent reports the request as running.
func (c *call) probe() {
	void := c.router.voidWithRetries
	if !c.req.NonIdempotent {
		void = c.router.voidBriefly
	}
	reply, err := void(c.ctx, c.target.Agent.URL, c.voidRequest())
	if c.ctx.Err() != nil || (err == nil && reply.GetState() == stateRunning) {
		return
	}
	c.cancel(errStalled)
}

// States of a request in a VoidReply.
const (
	stateNever   = "never"
	stateRunning = "running"
	stateDone    = "done"
)

func (c *call) voidRequest() *control.VoidRequest {
	return &control.VoidRequest{Request: string(c.id), Life: string(c.target.Agent.Life), Token: int64(c.token), Once: c.req.NonIdempotent}
}

func (c *call) end(failed, unmeasured bool) {
	c.router.release(c.target, tracker.Result{Watch: c.req.Watch, Micros: time.Since(c.startedAt).Microseconds(), Failed: failed, Unmeasured: unmeasured})
	c.cancel(nil)
}

// observe updates the tracker with the agent's state and time token from the
// headers of an answer.
func (c *call) observe(h http.Header) {
	if token, err := strconv.ParseInt(h.Get(cowslipbend.HeaderToken), 10, 64); err == nil {
		c.target.Agent.UpdateToken(cowslipbend.Time(token))
	}
	s, err := forwarder.ParseState(h.Get(cowslipbend.HeaderState))
	if err != nil {
		return
	}
	c.target.Observe(tracker.State{
		Slots: int64(s.Slots), UsedSlots: int64(s.UsedSlots), Conns: int64(s.Conns), OpenConns: int64(s.OpenConns), Leaving: s.Leaving,
	})
}

// handleResponse returns the answer or the error in an agent's response,
// depending on the outcome that the response declares.
func (c *call) handleResponse(ctx context.Context, resp *http.Response) (*Answer, error) {
	switch cowslipbend.Outcome(resp.Header.Get(cowslipbend.HeaderOutcome)) {
	case cowslipbend.Ran:
		return c.passOn(ctx, resp)
	case cowslipbend.NotRun:
		err := decodeError(resp)
		c.end(cowslipbend.KindOf(err) == cowslipbend.KindDown, cowslipbend.KindOf(err) != cowslipbend.KindDown)
		return nil, notRun(err)
	case cowslipbend.Uncertain:
	}
	err := decodeError(resp)
	c.end(true, false)
	switch {
	case cowslipbend.KindOf(err) == cowslipbend.KindDenied:
		return nil, notRun(err) // The agent checks the secret before it accepts a request.
	case c.req.NonIdempotent:
		reply, voidErr := c.queryLost(ctx)
		return c.resolve(reply, voidErr, err)
	}
	return nil, uncertain(err)
}

// passOn returns the answer of a request that ran. A small body is read
// completely first, so that a truncated answer can still be resolved by a
// query; a large one is streamed.
func (c *call) passOn(ctx context.Context, resp *http.Response) (*Answer, error) {
	failed := resp.StatusCode >= http.StatusInternalServerError
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	if a.Length < 0 || a.Length > forwarder.MaxBufferedAnswer {
		a.Body = &closeHookBody{ReadCloser: resp.Body, onClose: func() { c.end(failed, false) }}
		a.Trailer = resp.Trailer
		return a, nil
	}
	body := make([]byte, a.Length)
	_, err := io.ReadFull(resp.Body, body)
	_ = resp.Body.Close()
	if err != nil {
		return c.handleLostAnswer(ctx, err)
	}
	c.end(failed, false)
	a.Body = io.NopCloser(bytes.NewReader(body))
	return a, nil
}

// handleLostAnswer resolves an attempt without a complete answer. It makes no
// query for a caller that has disconnected, as nobody would receive the
// result.
func (c *call) handleLostAnswer(ctx context.Context, cause error) (*Answer, error) {
	callerGone := errors.Is(ctx.Err(), context.Canceled)
	c.end(!callerGone, callerGone)
	switch {
	case dialer.Unsent(cause):
		return nil, notRun(cowslipbend.Failf(cowslipbend.KindDown, cause, "try again", "no connection to the agent"))
	case callerGone:
		return nil, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, cause, "ask again", "caller disconnected before the answer was complete"))
	}
	reply, err := c.queryLost(ctx)
	if err != nil || reply.GetState() != stateRunning {
		c.router.transports.Drop(c.target.Agent.URL, c.transport) // The pooled connection did not deliver what a new one does.
	}
	return c.resolve(reply, err, cause)
}

// queryLost queries the agent, on a new connection, about a request whose
// answer was lost. An idempotent request is cancelled and may be retried
// elsewhere; for a non-idempotent one it waits until the request has ended.
func (c *call) queryLost(ctx context.Context) (*control.VoidReply, error) {
	q := c.voidRequest()
	q.Cancel = !c.req.NonIdempotent
	void := c.router.voidUntilEnded
	if !c.req.NonIdempotent {
		void = c.router.voidBriefly
	}
	return void(ctx, c.target.Agent.URL, q)
}

func (c *call) remedy() string {
	if c.req.NonIdempotent {
		return "ask again with the same id"
	}
	return "repeat it only if it is idempotent"
}

// resolve returns the answer or the error that follows from the agent's reply
// to a Void call. The err is that of the call, the cause what made the query
// necessary.
func (c *call) resolve(reply *control.VoidReply, err, cause error) (*Answer, error) {
	if err != nil {
		return nil, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, cause, c.remedy(), "request may have run, and the agent did not answer the query about it"))
	}
	switch reply.GetState() {
	case stateNever:
		return nil, &Failure{Outcome: cowslipbend.NotRun, retrySameTarget: true, Err: &cowslipbend.Error{
			Kind: cowslipbend.KindDown, What: "request did not reach its endpoint", Cause: cause, Remedy: "try again", After: cowslipbend.Second,
		}}
	case stateDone:
		return keptAnswer(reply), nil
	}
	return nil, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, cause, c.remedy(), "request may have run (the agent reports its state as %s)", reply.GetState()))
}

// voidWithRetries makes a Void call, each try on a new connection. The call
// ignores the caller's deadline, as its result decides the outcome that is
// reported to the caller.
func (r *Router) voidWithRetries(ctx context.Context, url string, q *control.VoidRequest) (*control.VoidReply, error) {
	ctx = context.WithoutCancel(ctx)
	agent := control.NewAgentProtobufClient(url, r.unpooled)
	var err error
	for range r.opts.VoidAttempts {
		var reply *control.VoidReply
		if reply, err = agent.Void(ctx, q); err == nil {
			return reply, nil
		}
	}
	return nil, control.FromTwirp(err)
}

// voidBriefly makes a Void call without retries and with a quarter of the
// usual time-out, for queries whose result only avoids an unnecessary retry.
func (r *Router) voidBriefly(ctx context.Context, url string, q *control.VoidRequest) (*control.VoidReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (r.opts.VoidTimeout / 4).Duration())
	defer cancel()
	reply, err := control.NewAgentProtobufClient(url, r.unpooled).Void(ctx, q)
	return reply, control.FromTwirp(err)
}

// voidUntilEnded repeats the Void call until the request has ended or the
// caller's deadline has passed. Each call waits at the agent for up to half of
// its time-out.
func (r *Router) voidUntilEnded(ctx context.Context, url string, q *control.VoidRequest) (*control.VoidReply, error) {
	for {
		q.Wait = int64(r.opts.VoidTimeout / 2)
		if ctx.Err() != nil {
			q.Wait = 0
		} else if left := timeLeft(ctx); left > 0 {
			q.Wait = min(q.Wait, int64(left))
		}
		reply, err := r.voidWithRetries(ctx, url, q)
		if err != nil || reply.GetState() != stateRunning || ctx.Err() != nil {
			return reply, err
		}
	}
}
