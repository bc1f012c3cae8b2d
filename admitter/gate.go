package admitter

import (
	"net/http"
	"sync"
	"time"

	"cowslipbend.dev"
)

// Options bound the records and answers that a gate keeps.
type Options struct {
	// Retention is how long the record of a request is kept after its end, and
	// the age beyond which time tokens are refused.
	Retention cowslipbend.Span
	// AnswerRetention is how long the answer of a non-idempotent request is kept.
	AnswerRetention cowslipbend.Span
	// MaxRecords is the number of records from which the gate refuses requests.
	// Void adds tombstones up to twice that number.
	MaxRecords int
	// MaxAnswersSize bounds the sum of all kept answers.
	MaxAnswersSize cowslipbend.Bytes
	// MaxAnswerSize bounds one answer; a larger one is not kept.
	MaxAnswerSize cowslipbend.Bytes
}

// Defaults returns the default options.
func Defaults() Options {
	return Options{
		Retention:       15 * cowslipbend.Second,
		AnswerRetention: 10 * cowslipbend.Minute,
		MaxRecords:      200_000,
		MaxAnswersSize:  8 * cowslipbend.MB,
		MaxAnswerSize:   256 * cowslipbend.KB,
	}
}

// State is the state of a request as far as a gate knows it.
type State string

const (
	// Never means that the request did not run and never will.
	Never State = "never"
	// Running means that the request runs.
	Running State = "running"
	// Done means that the request ran and its answer is kept.
	Done State = "done"
	// Lost means that the request was passed to an endpoint, and that its answer
	// is not kept.
	Lost State = "lost"
	// Unknowable means that this gate has no record and cannot exclude that the
	// request ran.
	Unknowable State = "unknowable"
)

// Answer is the complete answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the approximate memory use of the answer.
func (a *Answer) size() cowslipbend.Bytes {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return cowslipbend.Bytes(n)
}

// Request is a request to be admitted.
type Request struct {
	ID      cowslipbend.RequestID
	Service cowslipbend.ServiceID
	// Life is the incarnation of the agent to which the entry sent the request.
	Life cowslipbend.Incarnation
	// Token is a time token of that incarnation.
	Token         cowslipbend.Time
	NonIdempotent bool
	// Watch marks a stream without a time limit.
	Watch bool
}

// Query asks for the state of a request. ID, Life and Token are those of the
// request.
type Query struct {
	ID    cowslipbend.RequestID
	Life  cowslipbend.Incarnation
	Token cowslipbend.Time
	// NonIdempotent is that of the request. The record of a non-idempotent request
	// is kept longer.
	NonIdempotent bool
	// Cancel also cancels the request if it runs.
	Cancel bool
}

// record is the record of one request. With state Never it is a tombstone: the
// gate refuses the id.
type record struct {
	state         State
	nonIdempotent bool
	answer        Answer
	expiresAt     cowslipbend.Time
	done          chan struct{}
	cancel        func()
}

// Gate admits requests to the endpoints of one agent. It is safe for concurrent
// use.
//
// An id has at most one record, and a request runs only while its record is in
// state Running.
type Gate struct {
	incarnation cowslipbend.Incarnation
	clock       cowslipbend.Clock
	opts        Options

	mu              sync.Mutex
	records         map[cowslipbend.RequestID]*record
	expiries        expiryHeap
	abandonedSlots  []abandonedSlot
	keptAnswersSize cowslipbend.Bytes
	endpoints       map[cowslipbend.EndpointID]*endpoint
	leaving         bool
	activeRequests  int
	idle            chan struct{} // closed when no request is active after Leave
}

// New returns a gate for one incarnation of an agent.
func New(incarnation cowslipbend.Incarnation, clock cowslipbend.Clock, opts Options) *Gate {
	return &Gate{
		incarnation: incarnation,
		clock:       clock,
		opts:        opts,
		records:     map[cowslipbend.RequestID]*record{},
		endpoints:   map[cowslipbend.EndpointID]*endpoint{},
	}
}

// Token returns a time token. Requests that carry it are accepted until the
// retention has passed.
func (g *Gate) Token() cowslipbend.Time { return g.clock.Now() }

// Accept records the request and acquires a slot and a connection of an
// endpoint, or refuses the request. Every error means that the request did not
// run by this call. KindConflict means that the id was voided, so that nothing
// runs under it; KindUnknown means that the id was accepted before, so that the
// request may have run.
func (g *Gate) Accept(r Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.dropExpired(now)
	g.releaseAbandoned(now)
	if err := g.checkRequest(r, now); err != nil {
		return nil, err
	}
	ep, err := g.pickEndpoint(r.Service, r.Watch)
	if err != nil {
		return nil, err
	}
	ep.acquire(r.Watch)
	g.activeRequests++
	rec := &record{state: Running, nonIdempotent: r.NonIdempotent, done: make(chan struct{})}
	g.records[r.ID] = rec
	return &Ticket{gate: g, id: r.ID, rec: rec, endpoint: ep, watch: r.Watch, URL: ep.URL, acceptedAt: now, startedAt: time.Now()}, nil
}

// checkRequest returns why the request is refused, apart from the state of the
// endpoints.
func (g *Gate) checkRequest(r Request, now cowslipbend.Time) error {
	if r.Life != g.incarnation {
		return cowslipbend.Fail(cowslipbend.KindStale, "request is for an earlier incarnation of this agent", "route it again")
	}
	if g.tokenExpired(r.Token, now) {
		return cowslipbend.Fail(cowslipbend.KindStale, "time token is older than the retention or lies in the future", "use the token of the agent's last answer")
	}
	if g.leaving {
		return cowslipbend.Fail(cowslipbend.KindLeaving, "agent is shutting down", "route the request elsewhere")
	}
	if rec, exists := g.records[r.ID]; exists && rec.state == Never {
		return cowslipbend.Fail(cowslipbend.KindConflict, "request was voided", "route it again under another id")
	} else if exists {
		return cowslipbend.Fail(cowslipbend.KindUnknown, "request id was accepted before", "query its state")
	}
	if len(g.records) >= g.opts.MaxRecords {
		return &cowslipbend.Error{Kind: cowslipbend.KindBusy, What: "agent holds the maximum number of request records", Remedy: "try again later", After: cowslipbend.Second}
	}
	return nil
}

// tokenExpired reports whether requests with the token are refused.
func (g *Gate) tokenExpired(token, now cowslipbend.Time) bool {
	return token > now || now.Sub(token) > g.opts.Retention
}

// mayBeForgotten reports whether the record of the request may have been
// dropped. A record is kept for the retention after the end of the request, and
// thus for at least as long after the time of its token; that of a
// non-idempotent request is kept for the answer retention if that is longer.
func (g *Gate) mayBeForgotten(q Query, now cowslipbend.Time) bool {
	retention := g.opts.Retention
	if q.NonIdempotent {
		retention = max(retention, g.opts.AnswerRetention)
	}
	return q.Token > now || now.Sub(q.Token) > retention
}

// Void returns the state of a request whose answer did not arrive, with the
// answer if it is kept. If the request has no record, Void leaves a tombstone.
// Never means that the request has not run and that this gate refuses it from
// now on: first by the tombstone, later by the age of its token.
func (g *Gate) Void(q Query) (State, Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.dropExpired(now)
	if q.Life != g.incarnation {
		return Unknowable, Answer{}
	}
	rec, ok := g.records[q.ID]
	if !ok && (g.mayBeForgotten(q, now) || len(g.records) >= 2*g.opts.MaxRecords) {
		return Unknowable, Answer{}
	}
	if !ok {
		rec = &record{state: Never}
		g.records[q.ID] = rec
		g.scheduleExpiry(q.ID, rec, now.Add(g.opts.Retention))
		return Never, Answer{}
	}
	if q.Cancel && rec.state == Running && rec.cancel != nil {
		rec.cancel()
	}
	return rec.state, rec.answer
}

// closedChan is returned for requests that do not run.
var closedChan = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// Ended returns a channel that is closed once the request has ended, or already
// if the request does not run here.
func (g *Gate) Ended(id cowslipbend.RequestID) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	rec, ok := g.records[id]
	if !ok || rec.state != Running {
		return closedChan
	}
	return rec.done
}

// Leave makes the gate refuse all new requests, for shutdown. It returns a
// channel that is closed once no request is in flight.
func (g *Gate) Leave() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	if g.idle == nil {
		g.idle = make(chan struct{})
		if g.activeRequests == 0 {
			close(g.idle)
		}
	}
	return g.idle
}

// Leaving reports whether Leave was called.
func (g *Gate) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
