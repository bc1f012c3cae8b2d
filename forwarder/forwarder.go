package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/server"
)

// Prefix is the path of the data path; the service name follows it.
const Prefix = "/run/"

// Forwarder is an http.Handler that runs requests on local endpoints.
type Forwarder struct {
	gate   *admitter.Gate
	client *http.Client
	limit  cowslipbend.Bytes
	// watches ends when watches must.
	watches context.Context
	end     context.CancelFunc
}

// New returns a forwarder behind the gate that keeps up to conns idle
// connections per endpoint and records answers up to the limit.
func New(gate *admitter.Gate, conns int, limit cowslipbend.Bytes) *Forwarder {
	f := &Forwarder{gate: gate, client: dialer.Local(conns), limit: limit}
	f.watches, f.end = context.WithCancel(context.Background())
	return f
}

// EndWatches ends all watches, and tells their callers that the process is
// leaving.
func (f *Forwarder) EndWatches() { f.end() }

// Close ends the watches and drops the idle connections to endpoints.
func (f *Forwarder) Close() {
	f.end()
	f.client.CloseIdleConnections()
}

// ServeHTTP runs one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := parse(r)
	if err != nil {
		f.refuse(w, a.Service, err)
		return
	}
	if err := whole(r); err != nil {
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

// maxWhole bounds a body that is read before the request is accepted.
const maxWhole = 256 << 10 // bytes

// whole reads a body of moderate known length, so that a request that breaks
// off on its way takes no slot and certainly does not run.
func whole(r *http.Request) error {
	if r.ContentLength <= 0 || r.ContentLength > maxWhole {
		return nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return cowslipbend.Failf(cowslipbend.KindDown, err, "send the request again", "request broke off on its way")
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// refuse tells a refusal. Only an id that was accepted before leaves open
// whether it ran.
func (f *Forwarder) refuse(w http.ResponseWriter, service cowslipbend.ServiceID, err error) {
	outcome := cowslipbend.NotRun
	if cowslipbend.KindOf(err) == cowslipbend.KindUnknown {
		outcome = cowslipbend.Uncertain
	}
	w.Header().Set(cowslipbend.HeaderOutcome, string(outcome))
	f.state(w.Header(), service)
	server.WriteError(w, server.Join(err))
}

// state adds the service's state and a fresh token to an answer.
func (f *Forwarder) state(h http.Header, service cowslipbend.ServiceID) {
	s := f.gate.State(service)
	h[cowslipbend.HeaderState] = []string{FormatState(State{
		Slots: s.Slots, Inflight: s.Inflight, Conns: s.Conns, Open: s.Open,
		Latency: s.Latency, Errors: s.Errors, Leaving: s.Leaving,
	})}
	h[cowslipbend.HeaderToken] = []string{strconv.FormatInt(int64(f.gate.Token()), 10)}
}

// run carries an accepted request to its endpoint. A non-idempotent one runs
// on when the entry goes away, so that its answer is there for a repeat.
func (f *Forwarder) run(w http.ResponseWriter, r *http.Request, a attempt, t *admitter.Ticket) {
	base := r.Context()
	if a.Once {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := limited(base, a.deadline)
	defer cancel()
	t.OnCancel(cancel)
	if a.Watch {
		stop := context.AfterFunc(f.watches, cancel)
		defer stop()
	}
	resp, err := f.send(ctx, r, a, t.URL+a.path)
	if err != nil {
		f.failed(ctx, w, a, t, err)
		return
	}
	defer resp.Body.Close()
	f.answer(ctx, w, resp, a, t)
}

// limited applies the time that the entry gave, if any.
func limited(ctx context.Context, deadline cowslipbend.Span) (context.Context, context.CancelFunc) {
	if deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, deadline.Duration())
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
	if a.Once {
		dialer.SendOnce(out)
	}
	copyHeader(out.Header, r.Header)
	return f.client.Transport.RoundTrip(out)
}

// failed answers for a request that got no whole answer from its endpoint.
func (f *Forwarder) failed(ctx context.Context, w http.ResponseWriter, a attempt, t *admitter.Ticket, cause error) {
	outcome := cowslipbend.Uncertain
	e := cowslipbend.Failf(cowslipbend.KindUnknown, cause, "the request may have run; repeat it only if it is idempotent", "endpoint gave no whole answer")
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
	f.state(w.Header(), a.Service)
	server.WriteError(w, e)
}
