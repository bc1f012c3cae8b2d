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

// Patience with an answer that does not begin.
const (
	probeTimes = 4 // the objective's time, before the agent is asked
	probeLeast = 200 * cowslipbend.Millisecond
)

// errSilent ends an attempt whose agent knows nothing of it, or has answered
// without the answer coming through.
var errSilent = errors.New("connection went silent")

// call is one attempt.
type call struct {
	router *Router
	req    *Request
	target *tracker.Target
	link   *http.Transport
	id     cowslipbend.RequestID
	token  cowslipbend.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	began  time.Time
}

// attempt sends the request to a target at which place has counted it. The
// token is that of the request's claim, if it has one, so that tombstones
// outlast a sender that was paused.
func (r *Router) attempt(ctx context.Context, req *Request, t *tracker.Target, id cowslipbend.RequestID, token cowslipbend.Time) (*Answer, error) {
	c := &call{router: r, req: req, target: t, id: id, token: token, link: r.links.Get(t.Agent.URL), began: time.Now()}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	probe := time.AfterFunc(c.patience().Duration(), c.probe)
	resp, err := c.link.RoundTrip(r.outgoing(c.ctx, req, t, id, token))
	probe.Stop()
	if err != nil {
		return c.lost(ctx, err)
	}
	c.observe(resp.Header)
	return c.accept(ctx, resp)
}

// patience is how long an answer may take to begin before the agent is asked
// on a new connection whether it has the request.
func (c *call) patience() cowslipbend.Span { return max(probeTimes*c.req.Objective, probeLeast) }

// probe asks the agent about an answer that does not begin. If the request
// runs, all is well; else the connection has gone silent.
func (c *call) probe() {
	ask := c.router.void
	if !c.req.Once {
		ask = c.router.glance
	}
	reply, err := ask(c.ctx, c.target.Agent.URL, c.question())
	if c.ctx.Err() != nil || (err == nil && reply.GetState() == running) {
		return
	}
	c.cancel(errSilent)
}

// States in a VoidReply.
const (
	never   = "never"
	running = "running"
	done    = "done"
)

func (c *call) question() *control.VoidRequest {
	return &control.VoidRequest{Request: string(c.id), Life: string(c.target.Agent.Life), Token: int64(c.token), Once: c.req.Once}
}

func (c *call) end(failed, void bool) {
	c.router.end(c.target, tracker.Result{Watch: c.req.Watch, Micros: time.Since(c.began).Microseconds(), Failed: failed, Void: void})
	c.cancel(nil)
}

// observe takes the agent's state and token from an answer.
func (c *call) observe(h http.Header) {
	if token, err := strconv.ParseInt(h.Get(cowslipbend.HeaderToken), 10, 64); err == nil {
		c.target.Agent.Refresh(cowslipbend.Time(token))
	}
	s, err := forwarder.ParseState(h.Get(cowslipbend.HeaderState))
	if err != nil {
		return
	}
	c.target.Observe(tracker.State{
		Slots: int64(s.Slots), Inflight: int64(s.Inflight), Conns: int64(s.Conns), Open: int64(s.Open), Leaving: s.Leaving,
	})
}

// accept sorts an agent's response by its outcome.
func (c *call) accept(ctx context.Context, resp *http.Response) (*Answer, error) {
	switch cowslipbend.Outcome(resp.Header.Get(cowslipbend.HeaderOutcome)) {
	case cowslipbend.Ran:
		return c.ran(ctx, resp)
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
		return nil, notRun(err) // The agent's guard stands before its gate.
	case c.req.Once:
		reply, asked := c.ask(ctx)
		return c.settle(reply, asked, err)
	}
	return nil, uncertain(err)
}

// ran passes an answer on. A small one is read whole first, so that a broken
// one can be settled instead.
func (c *call) ran(ctx context.Context, resp *http.Response) (*Answer, error) {
	failed := resp.StatusCode >= http.StatusInternalServerError
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	if a.Length < 0 || a.Length > forwarder.Small {
		a.Body = &endingBody{ReadCloser: resp.Body, end: func() { c.end(failed, false) }}
		a.Trailer = resp.Trailer
		return a, nil
	}
	body := make([]byte, a.Length)
	_, err := io.ReadFull(resp.Body, body)
	_ = resp.Body.Close()
	if err != nil {
		return c.lost(ctx, err)
	}
	c.end(failed, false)
	a.Body = io.NopCloser(bytes.NewReader(body))
	return a, nil
}

// lost handles an attempt without a whole answer. Nobody is told what became
// of the request of a caller that went away.
func (c *call) lost(ctx context.Context, cause error) (*Answer, error) {
	away := errors.Is(ctx.Err(), context.Canceled)
	c.end(!away, away)
	switch {
	case dialer.Unsent(cause):
		return nil, notRun(cowslipbend.Failf(cowslipbend.KindDown, cause, "try again", "agent does not accept connections"))
	case away:
		return nil, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, cause, "ask again", "caller went away"))
	}
	reply, err := c.ask(ctx)
	if err != nil || reply.GetState() != running {
		c.router.links.Drop(c.target.Agent.URL, c.link) // It did not tell what a new one does.
	}
	return c.settle(reply, err, cause)
}

// ask asks the agent, on a new connection, what became of a request whose
// answer was lost. An idempotent one is stopped and may go elsewhere; a
// non-idempotent one is waited for.
func (c *call) ask(ctx context.Context) (*control.VoidReply, error) {
	q := c.question()
	q.Cancel = !c.req.Once
	ask := c.router.await
	if !c.req.Once {
		ask = c.router.glance
	}
	return ask(ctx, c.target.Agent.URL, q)
}

func (c *call) remedy() string {
	if c.req.Once {
		return "ask again with the same id"
	}
	return "repeat it only if it is idempotent"
}

// settle turns the agent's word, if it came, into an answer or an error.
func (c *call) settle(reply *control.VoidReply, err, cause error) (*Answer, error) {
	if err != nil {
		return nil, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, cause, c.remedy(), "request may have run"))
	}
	switch reply.GetState() {
	case never:
		return nil, &Failure{Outcome: cowslipbend.NotRun, again: true, Err: &cowslipbend.Error{
			Kind: cowslipbend.KindDown, What: "request did not reach its endpoint", Cause: cause, Remedy: "try again", After: cowslipbend.Second,
		}}
	case done:
		return kept(reply), nil
	}
	return nil, uncertain(cowslipbend.Failf(cowslipbend.KindUnknown, cause, c.remedy(), "request may have run (%s)", reply.GetState()))
}

// void asks on a new connection, a few times. The question outlives the
// caller's deadline, as the answer decides what the caller is told.
func (r *Router) void(ctx context.Context, url string, q *control.VoidRequest) (*control.VoidReply, error) {
	ctx = context.WithoutCancel(ctx)
	agent := control.NewAgentProtobufClient(url, r.fresh)
	var err error
	for range r.opts.VoidTries {
		var reply *control.VoidReply
		if reply, err = agent.Void(ctx, q); err == nil {
			return reply, nil
		}
	}
	return nil, control.FromTwirp(err)
}

// glance asks once and briefly, where the answer only saves a repeat.
func (r *Router) glance(ctx context.Context, url string, q *control.VoidRequest) (*control.VoidReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (r.opts.VoidTimeout / 4).Duration())
	defer cancel()
	reply, err := control.NewAgentProtobufClient(url, r.fresh).Void(ctx, q)
	return reply, control.FromTwirp(err)
}

// await asks until the request has ended or the caller's time has passed.
// Each question waits at the agent for a part of its timeout.
func (r *Router) await(ctx context.Context, url string, q *control.VoidRequest) (*control.VoidReply, error) {
	for {
		q.Wait = int64(r.opts.VoidTimeout / 2)
		if ctx.Err() != nil {
			q.Wait = 0
		} else if left := remaining(ctx); left > 0 {
			q.Wait = min(q.Wait, int64(left))
		}
		reply, err := r.void(ctx, url, q)
		if err != nil || reply.GetState() != running || ctx.Err() != nil {
			return reply, err
		}
	}
}
