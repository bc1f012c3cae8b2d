package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/server"
)

// PathPrefix is the URL path prefix of the data path. The service name follows
// it.
const PathPrefix = "/run/"

// Forwarder is an http.Handler that runs requests on local endpoints.
type Forwarder struct {
	gate          *admitter.Gate
	client        *http.Client
	maxAnswerSize cowslipbend.Bytes
	// watchCtx is cancelled when all watches must end.
	watchCtx      context.Context
	cancelWatches context.CancelFunc
}

// New returns a forwarder for the endpoints of the gate. It keeps up to conns
// idle connections per endpoint, and records the answers of non-idempotent
// requests up to maxAnswerSize each.
func New(gate *admitter.Gate, conns int, maxAnswerSize cowslipbend.Bytes) *Forwarder {
	f := &Forwarder{gate: gate, client: dialer.PooledHTTP1(conns), maxAnswerSize: maxAnswerSize}
	f.watchCtx, f.cancelWatches = context.WithCancel(context.Background())
	return f
}

// EndWatches ends all watches. Their trailers tell the callers that the agent is
// leaving.
func (f *Forwarder) EndWatches() { f.cancelWatches() }

// Close ends the watches and closes the idle connections to endpoints.
func (f *Forwarder) Close() {
	f.cancelWatches()
	f.client.CloseIdleConnections()
}

// ServeHTTP runs one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := parse(r)
	if err != nil {
		f.refuse(w, a.Service, err)
		return
	}
	if err := bufferBody(r); err != nil {
		f.refuse(w, a.Service, err)
		return
	}
	ticket, err := f.gate.Accept(a.Request)
	if err != nil {
		f.refuse(w, a.Service, err)
		return
	}
	f.run(w, r, a, ticket)
}

// maxBufferedBody is the size of the largest request body that is read completely
// before the request is accepted.
const maxBufferedBody = 256 << 10 // bytes

// bufferBody reads a body of known length up to maxBufferedBody, so that a
// request that is truncated in transit takes no slot and certainly does not run.
func bufferBody(r *http.Request) error {
	if r.ContentLength <= 0 || r.ContentLength > maxBufferedBody {
		bounder.Stream(r.Body)
		return nil
	}
	// The buffer grows with what arrives, as the announced length may never come.
	data, err := io.ReadAll(io.LimitReader(r.Body, r.ContentLength))
	if refusal := bounder.Refusal(err); refusal != nil {
		return refusal
	}
	if err == nil && int64(len(data)) < r.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindDown, err, "send the request again", "request body truncated")
	}
	bounder.Settle(r.Body, cowslipbend.Bytes(len(data)))
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// refuse answers a request that was not accepted. It has not run, unless its id
// was accepted before (KindUnknown): then the outcome is uncertain.
func (f *Forwarder) refuse(w http.ResponseWriter, service cowslipbend.ServiceID, err error) {
	outcome := cowslipbend.NotRun
	if cowslipbend.KindOf(err) == cowslipbend.KindUnknown {
		outcome = cowslipbend.Uncertain
	}
	w.Header().Set(cowslipbend.HeaderOutcome, string(outcome))
	f.setState(w.Header(), service)
	server.WriteError(w, server.CombineErrors(err))
}

// setState sets the headers with the service's state and a new time token.
func (f *Forwarder) setState(h http.Header, service cowslipbend.ServiceID) {
	s := f.gate.State(service)
	h[cowslipbend.HeaderState] = []string{FormatState(State{
		Slots: s.Slots, UsedSlots: s.UsedSlots, Conns: s.Conns, OpenConns: s.OpenConns,
		LatencyMicros: s.LatencyMicros, ErrorPermille: s.ErrorPermille, Leaving: s.Leaving,
	})}
	h[cowslipbend.HeaderToken] = []string{strconv.FormatInt(int64(f.gate.Token()), 10)}
}

// run forwards an accepted request to its endpoint. A non-idempotent request
// continues if the entry disconnects, so that its answer is kept for a repeated
// request.
func (f *Forwarder) run(w http.ResponseWriter, r *http.Request, a attempt, t *admitter.Ticket) {
	parent := r.Context()
	if a.NonIdempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := withTimeout(parent, a.timeout)
	defer cancel()
	t.OnCancel(cancel)
	if a.Watch {
		stop := context.AfterFunc(f.watchCtx, cancel)
		defer stop()
	}
	resp, err := f.send(ctx, r, a, t.URL+a.path)
	if err != nil {
		f.writeFailure(ctx, w, a, t, err)
		return
	}
	defer resp.Body.Close()
	f.writeAnswer(ctx, w, resp, a, t)
}

// withTimeout is context.WithTimeout, but a timeout of zero means none.
func withTimeout(ctx context.Context, timeout cowslipbend.Span) (context.Context, context.CancelFunc) {
	if timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout.Duration())
}

func (f *Forwarder) send(ctx context.Context, r *http.Request, a attempt, url string) (*http.Response, error) {
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, url, r.Body)
	if err != nil {
		return nil, &dialer.DialError{Cause: err}
	}
	out.ContentLength = r.ContentLength
	if a.NonIdempotent {
		dialer.SendOnce(out)
	}
	copyHeaders(out.Header, r.Header)
	return f.client.Transport.RoundTrip(out)
}

// writeFailure answers a request whose endpoint gave no complete answer, and
// closes the ticket.
func (f *Forwarder) writeFailure(ctx context.Context, w http.ResponseWriter, a attempt, t *admitter.Ticket, cause error) {
	outcome := cowslipbend.Uncertain
	e := cowslipbend.Failf(cowslipbend.KindUnknown, cause, "the request may have run; repeat it only if it is idempotent", "endpoint gave no complete answer")
	if dialer.Unsent(cause) {
		outcome = cowslipbend.NotRun
		e = cowslipbend.Failf(cowslipbend.KindDown, cause, "route the request elsewhere", "endpoint does not accept connections")
		t.FinishNotRun()
	} else if ctx.Err() != nil {
		t.Abandon()
	} else {
		t.Finish(admitter.Answer{}, false, true)
	}
	w.Header().Set(cowslipbend.HeaderOutcome, string(outcome))
	f.setState(w.Header(), a.Service)
	server.WriteError(w, e)
}
